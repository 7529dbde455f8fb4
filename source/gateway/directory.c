#include <string.h>

#include "gateway_private.h"

/* Which entry instances callers may use: those the store lists, this one among them while it stays.
 * One that leaves has taken itself off the list; while the store is away it can't, and says so
 * itself. */
static int32_t
collect_addresses (bt_gateway_t *gateway, const char *addresses[BT_MAX_TOLD_ADDRESSES])
{
  const bt_view_t *view = gateway->view;
  const char *own = gateway->settings->listen;
  int32_t count = 0;

  if (!gateway->leaving)
    addresses[count++] = own;
  for (int32_t i = 0; view != NULL && i < view->entry_count && count < BT_MAX_TOLD_ADDRESSES; i++)
    if (strcmp (view->entries[i].callers, own) != 0
        && !bt_has_entry_left (gateway->follower, &view->entries[i].identity))
      addresses[count++] = view->entries[i].callers;
  return count;
}

void
bt_answer_gateway_addresses (bt_gateway_t *gateway, bt_front_call_t *call)
{
  const char *addresses[BT_MAX_TOLD_ADDRESSES];
  int32_t count = collect_addresses (gateway, addresses);
  char *body;

  if (count == 0)
    {
      bt_answer_front_call (call, bt_get_reason_status (BT_REASON_NOT_READY), "", 0);
      return;
    }
  body = gateway->platform->vtable->write_addresses (gateway->ctx, addresses, count,
                                                     gateway->settings->address_life_ms);
  bt_add_front_header (call, "Content-Type", "application/json");
  bt_answer_front_call (call, 200, body, strlen (body));
  bt_free (gateway->ctx, body);
}
