#include <jansson.h>
#include <stdlib.h>

#include "entry_private.h"
#include "tickets.h"

enum
{
  MAX_ADDRESSES = 8,
};

/* Adds the addresses of live entry instances. The order differs per request, so that callers who
 * ask at the same time do not all start with the same instance. This instance adds its own
 * address while the instance list does not name it, unless it is leaving. */
static void
add_addresses (bt_entry_t *entry, json_t *addresses)
{
  const bt_member_t *chosen[MAX_ADDRESSES];
  int64_t now_ms = bt_now_ms (entry->ctx);
  const bt_member_t *self = bt_find_member (entry->membership, entry->settings.instance);
  int32_t count;

  bt_set_self_admitting (entry->membership,
                         bt_get_config_refusal (entry, now_ms) == BT_REASON_NONE);
  count = bt_choose_addresses (entry->ctx, entry->membership, entry->seed++, now_ms, MAX_ADDRESSES,
                               chosen);

  for (int32_t i = 0; i < count; i++)
    json_array_append_new (addresses, json_string (chosen[i]->listed.http));
  if (!entry->leaving && (self == NULL || !self->is_listed))
    json_array_append_new (addresses, json_string (entry->settings.advertise));
}

void
bt_answer_addresses (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller)
{
  json_t *addresses = json_array ();
  json_t *answer;
  char *text;

  pthread_mutex_lock (&entry->lock);
  add_addresses (entry, addresses);
  pthread_mutex_unlock (&entry->lock);
  answer = json_pack ("{s:o,s:I}", "addresses", addresses, "life_ms",
                      (json_int_t)entry->settings.address_life_ms);
  bt_add_tickets (ctx, entry, caller, answer);
  text = json_dumps (answer, JSON_COMPACT);
  bt_answer_caller (ctx, caller, MHD_HTTP_OK, "application/json", text);
  json_decref (answer);
  free (text);
}
