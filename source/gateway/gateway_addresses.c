#include <string.h>

#include "advertised_entries.h"
#include "gateway_private.h"

/* Returns true for an instance whose address callers may be given. An instance that leaves removes
 * its listing from the store; while the store is unreachable it can't, and tells its peers directly
 * instead. */
static bool
may_be_advertised (const bt_gateway_t *gateway, const bt_listed_entry_t *entry)
{
  if (strcmp (entry->callers, gateway->settings->listen) == 0)
    return !gateway->leaving;
  return !bt_has_entry_left (gateway->follower, &entry->identity);
}

/* Collects the entry instances that callers in a failure domain may use: those that the store
 * lists. While this instance is not listed and is not leaving, it adds its own address, in place of
 * the first one when the list is full. */
static int32_t
collect_addresses (bt_gateway_t *gateway,
                   const char *domain,
                   const char *addresses[BT_MAX_ADVERTISED_ADDRESSES])
{
  const bt_view_t *view = gateway->view;
  const char *own = gateway->settings->listen;
  const bt_listed_entry_t **entries = bt_calloc (
      gateway->ctx, view == NULL ? 0 : (size_t)view->entry_count, sizeof (bt_listed_entry_t *));
  bool listed = false;
  int32_t count = 0;

  for (int32_t i = 0; view != NULL && i < view->entry_count; i++)
    if (may_be_advertised (gateway, &view->entries[i]))
      {
        entries[count++] = &view->entries[i];
        listed = listed || strcmp (view->entries[i].callers, own) == 0;
      }
  count = bt_select_advertised_entries (gateway->ctx, entries, count, domain,
                                        BT_MAX_ADVERTISED_ADDRESSES);
  for (int32_t i = 0; i < count; i++)
    addresses[i] = entries[i]->callers;
  bt_free (gateway->ctx, entries);
  if (!listed && !gateway->leaving)
    addresses[count < BT_MAX_ADVERTISED_ADDRESSES ? count++ : 0] = own;
  return count;
}

void
bt_answer_gateway_addresses (bt_gateway_t *gateway, bt_frontend_call_t *call)
{
  const char *addresses[BT_MAX_ADVERTISED_ADDRESSES];
  char domain[BT_NAME_BYTES];
  int32_t count;
  char *body;

  gateway->platform->vtable->read_caller_domain (bt_get_frontend_request (call)->target, domain);
  count = collect_addresses (gateway, domain, addresses);

  if (count == 0)
    {
      bt_answer_frontend_call (call, bt_get_reason_status (BT_REASON_NOT_READY), "", 0);
      return;
    }
  body = gateway->platform->vtable->write_addresses (gateway->ctx, addresses, count,
                                                     gateway->settings->address_life_ms);
  bt_add_frontend_header (call, "Content-Type", "application/json");
  bt_answer_frontend_call (call, 200, body, strlen (body));
  bt_free (gateway->ctx, body);
}
