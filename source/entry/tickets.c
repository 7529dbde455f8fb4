#include "tickets.h"

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "entry_private.h"

enum
{
  MAX_TICKETS = 16,
  BASE_TEN = 10,
};

/* Issues one ticket for an agent that serves the app. Returns false if there is none, or
 * all of them are leaving. */
static bool
mint_ticket (bt_entry_t *entry, const char *app, const char *account, char *text)
{
  bt_ticket_t ticket = { 0 };
  bt_peer_t *peer;

  if (bt_choose_home_agent (entry->router, app, bt_now_ms (entry->ctx), &ticket.home)
      != BT_REASON_NONE)
    return false;
  peer = bt_find_peer_identity (entry, &ticket.home);
  if (peer == NULL || !peer->heartbeat_seen)
    return false;
  /* Based on the home agent's clock as of its last heartbeat: a delay only shortens the
   * lifetime. */
  ticket.expires_ms = peer->peer_now_ms + entry->settings.ticket_life_ms;
  ticket.account = bt_hash_account (account);
  bt_fill_secure_random (ticket.key.bytes, sizeof ticket.key.bytes);
  return bt_sign_ticket (entry->ring, &ticket, text, NULL);
}

void
bt_add_tickets (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller, json_t *answer)
{
  const char *requested = bt_find_caller_header (caller, "Bilberry-Tickets");
  const char *app = bt_find_caller_header (caller, "Bilberry-App");
  int64_t count = requested == NULL ? 0 : strtoll (requested, NULL, BASE_TEN);
  json_t *tickets = json_array ();
  char text[BT_TICKET_TEXT_BYTES];

  if (count > MAX_TICKETS)
    count = MAX_TICKETS;
  pthread_mutex_lock (&entry->lock);
  for (int64_t i = 0; app != NULL && i < count; i++)
    if (mint_ticket (entry, app, bt_get_caller_account (caller), text))
      json_array_append_new (tickets, json_string (text));
  pthread_mutex_unlock (&entry->lock);
  json_object_set_new (answer, "tickets", tickets);
  json_object_set_new (answer, "ticket_life_ms", json_integer (entry->settings.ticket_life_ms));
}
