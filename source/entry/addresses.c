#include <jansson.h>
#include <stdlib.h>

#include "entry_private.h"
#include "tickets.h"

void
bt_answer_addresses (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller)
{
  json_t *addresses = json_array ();
  json_t *answer;
  char *text;

  pthread_mutex_lock (&entry->lock);
  if (!entry->leaving)
    json_array_append_new (addresses, json_string (entry->settings.advertise));
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (!peer->agent && peer->up && !peer->link_leaving && !peer->listed_leaving)
      json_array_append_new (addresses, json_string (peer->http));
  pthread_mutex_unlock (&entry->lock);
  answer = json_pack ("{s:o,s:I}", "addresses", addresses, "life_ms",
                      (json_int_t)entry->settings.address_life_ms);
  bt_add_tickets (ctx, entry, caller, answer);
  text = json_dumps (answer, JSON_COMPACT);
  bt_answer_caller (ctx, caller, MHD_HTTP_OK, "application/json", text);
  json_decref (answer);
  free (text);
}
