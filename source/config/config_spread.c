#include "bilberrytray/config/config_spread.h"

#include <string.h>

#include "config_spread_private.h"

enum
{
  INITIAL_CAPACITY = 8,
};

static const char watch_purpose[] = "watch";

bt_spread_settings_t
bt_get_default_spread_settings (void)
{
  bt_spread_settings_t settings = { .watchers = 3,
                                    .watch_wait_ms = 2000,
                                    .isolation_ms = 10000,
                                    .fallback_ms = 6000,
                                    .pull_grace_ms = 500,
                                    .pull_retry_ms = 1000,
                                    .store_retry_ms = 500 };

  return settings;
}

bool
bt_has_spread_guard (const bt_config_spread_t *spread, uint32_t guard)
{
  return (spread->settings.guards_off & guard) == 0;
}

bt_config_spread_t *
bt_new_config_spread (bt_context_t *ctx,
                      const bt_identity_t *self,
                      const bt_spread_settings_t *settings,
                      uint64_t seed,
                      int64_t now_ms)
{
  bt_config_spread_t *spread = bt_calloc (ctx, 1, sizeof *spread);
  bool accept_older = (settings->guards_off & BT_SPREAD_TAKE_OLDER) != 0;

  spread->self = *self;
  spread->settings = *settings;
  bt_seed_random (&spread->random, seed);
  spread->table = bt_new_config_table (ctx, accept_older ? BT_TABLE_ACCEPT_OLDER : 0);
  spread->fresh_ms = NEVER_MS;
  spread->next_store_ms = now_ms;
  return spread;
}

void
bt_drop_config_spread (bt_context_t *ctx, bt_config_spread_t *spread)
{
  if (spread == NULL)
    return;
  bt_drop_config_table (ctx, spread->table);
  bt_free (ctx, spread->peers);
  bt_free (ctx, spread->members);
  bt_free (ctx, spread->near_members);
  bt_free (ctx, spread);
}

void
bt_clear_spread_actions (bt_context_t *ctx, bt_spread_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    bt_clear_documents (ctx, &actions->items[i].documents);
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}

bt_spread_action_t *
bt_add_spread_action (bt_context_t *ctx, bt_spread_actions_t *actions, bt_spread_action_kind_t kind)
{
  bt_spread_action_t *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity * 2 + INITIAL_CAPACITY;
      actions->items =
          bt_realloc (ctx, actions->items, (size_t)actions->capacity, sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

static void
append_documents (bt_context_t *ctx, const bt_document_list_t *from, bt_document_list_t *to)
{
  for (int32_t i = 0; i < from->count; i++)
    bt_add_document (ctx, to, from->items[i]);
}

/* The peer of this name, whatever its incarnation. */
static peer_t *
find_peer (const bt_config_spread_t *spread, const char *instance)
{
  for (int32_t i = 0; i < spread->peer_count; i++)
    if (strcmp (spread->peers[i].identity.instance, instance) == 0)
      return &spread->peers[i];
  return NULL;
}

/* The peer if it is linked under this very incarnation. */
static peer_t *
find_linked_peer (const bt_config_spread_t *spread, const bt_identity_t *identity)
{
  peer_t *peer = find_peer (spread, identity->instance);

  if (peer == NULL || !peer->linked || !bt_same_identity (&peer->identity, identity))
    return NULL;
  return peer;
}

static peer_t *
make_peer (bt_context_t *ctx, bt_config_spread_t *spread, const bt_identity_t *identity)
{
  peer_t *peer = find_peer (spread, identity->instance);

  if (peer == NULL)
    {
      if (spread->peer_count == spread->peer_capacity)
        {
          spread->peer_capacity = spread->peer_capacity * 2 + INITIAL_CAPACITY;
          spread->peers =
              bt_realloc (ctx, spread->peers, (size_t)spread->peer_capacity, sizeof *peer);
        }
      peer = &spread->peers[spread->peer_count++];
    }
  memset (peer, 0, sizeof *peer);
  peer->identity = *identity;
  peer->clock_ms = -1;
  peer->agreed_ms = NEVER_MS;
  peer->differs_since_ms = NEVER_MS;
  peer->next_pull_ms = NEVER_MS;
  return peer;
}

static bool
is_member (const bt_config_spread_t *spread, const char *instance, bool *near)
{
  for (int32_t i = 0; i < spread->member_count; i++)
    if (strcmp (spread->members[i].instance, instance) == 0)
      {
        *near = spread->near_members[i];
        return true;
      }
  return false;
}

/* Peers whose instance is gone from the list and whose link is gone: forget them, so that a fleet
 * that is replaced day by day does not fill the table. */
static void
remove_unlinked_peers (bt_config_spread_t *spread)
{
  int32_t kept = 0;
  bool near;

  for (int32_t i = 0; i < spread->peer_count; i++)
    if (spread->peers[i].linked || is_member (spread, spread->peers[i].identity.instance, &near))
      spread->peers[kept++] = spread->peers[i];
  spread->peer_count = kept;
}

static void
choose_watchers (bt_context_t *ctx, bt_config_spread_t *spread)
{
  int32_t wanted = spread->settings.watchers;
  int32_t *chosen = bt_calloc (ctx, (size_t)wanted, sizeof *chosen);
  int32_t count =
      bt_choose_subset (ctx, watch_purpose, spread->members, spread->member_count, wanted, chosen);

  spread->watcher = false;
  for (int32_t i = 0; i < count; i++)
    if (strcmp (spread->members[chosen[i]].instance, spread->self.instance) == 0)
      spread->watcher = true;
  bt_free (ctx, chosen);
}

void
bt_set_spread_members (bt_context_t *ctx,
                       bt_config_spread_t *spread,
                       const bt_spread_member_t *members,
                       int32_t count)
{
  spread->members = bt_realloc (ctx, spread->members, (size_t)count, sizeof *spread->members);
  spread->near_members = bt_realloc (ctx, spread->near_members, (size_t)count, sizeof (bool));
  spread->member_count = count;
  spread->near_count = 1;
  for (int32_t i = 0; i < count; i++)
    {
      bool self = strcmp (members[i].instance, spread->self.instance) == 0;

      bt_copy_name (spread->members[i].instance, members[i].instance);
      bt_copy_name (spread->members[i].failure_domain, members[i].failure_domain);
      spread->near_members[i] = members[i].near && !self;
      spread->near_count += spread->near_members[i] ? 1 : 0;
    }
  choose_watchers (ctx, spread);
  remove_unlinked_peers (spread);
}

static bool
is_within (int64_t time_ms, int64_t now_ms, int64_t limit_ms)
{
  return time_ms != NEVER_MS && now_ms - time_ms <= limit_ms;
}

/* Near members that agreed within the isolation limit, or that answered our first pull. */
static int32_t
count_peers (const bt_config_spread_t *spread, int64_t now_ms, bool start_quorum)
{
  int32_t count = 0;
  bool near;

  for (int32_t i = 0; i < spread->peer_count; i++)
    {
      const peer_t *peer = &spread->peers[i];

      if (!is_member (spread, peer->identity.instance, &near) || !near)
        continue;
      if (start_quorum ? peer->in_start_quorum
                       : is_within (peer->agreed_ms, now_ms, spread->settings.isolation_ms))
        count++;
    }
  return count;
}

/* Has enough of the others answered for this instance to start without the service? A change is
 * accepted once more than half of the entries have it, and this instance may stand in the place of
 * one of those. Of the others then at least half of all have to be asked to meet one that has it;
 * with a single peer the rules of before the last change could come back. */
static bool
has_start_quorum (const bt_config_spread_t *spread)
{
  int32_t needed = (spread->near_count + 1) / 2;

  if (!bt_has_spread_guard (spread, BT_SPREAD_ANY_PEER))
    needed = 1;
  return spread->member_count > 0 && count_peers (spread, 0, true) >= needed && needed > 0
         && spread->near_count > 1;
}

/* Does this instance hear from so many that no change can be accepted without one of them? While
 * the service is down for all, nothing is accepted and all go on together; but a few instances that
 * are cut off from the rest see the same thing. More than half, this one counted, cannot be cut
 * off from a change that more than half have. */
static bool
has_quorum (const bt_config_spread_t *spread, int64_t now_ms)
{
  int32_t agreed = count_peers (spread, now_ms, false);

  if (!bt_has_spread_guard (spread, BT_SPREAD_ANY_PEER))
    return agreed > 0;
  return spread->member_count > 0 && 2 * (agreed + 1) > spread->near_count;
}

bt_spread_state_t
bt_get_spread_state (const bt_config_spread_t *spread, int64_t now_ms)
{
  if (!spread->ready)
    return BT_SPREAD_NOT_READY;
  if (is_within (spread->fresh_ms, now_ms, spread->settings.isolation_ms))
    return BT_SPREAD_READY;
  /* An instance that hears neither the service nor most peers would serve rules that an operator
   * has long replaced; its callers would see old decisions with no sign of a fault. It cannot know,
   * so after the limit it stops. */
  if (has_quorum (spread, now_ms) || !bt_has_spread_guard (spread, BT_SPREAD_NEVER_ISOLATED))
    return BT_SPREAD_READY;
  return BT_SPREAD_ISOLATED;
}

static void
send_pull (bt_context_t *ctx,
           bt_config_spread_t *spread,
           peer_t *peer,
           int64_t now_ms,
           bt_spread_actions_t *actions)
{
  bt_spread_action_t *action;

  if (now_ms < peer->next_pull_ms || !bt_has_spread_guard (spread, BT_SPREAD_NO_PULL))
    return;
  peer->next_pull_ms = now_ms + spread->settings.pull_retry_ms;
  spread->pulls++;
  action = bt_add_spread_action (ctx, actions, BT_SPREAD_PULL);
  action->peer = peer->identity;
  action->since = spread->floor;
}

static void
send_push (bt_context_t *ctx,
           bt_config_spread_t *spread,
           const bt_identity_t *peer,
           const bt_spread_push_t *push,
           bt_spread_actions_t *actions)
{
  bt_spread_action_t *action = bt_add_spread_action (ctx, actions, BT_SPREAD_PUSH);

  spread->pushes++;
  action->peer = *peer;
  action->from = push->from;
  action->to = push->to;
  action->whole = push->whole;
  append_documents (ctx, push->documents, &action->documents);
}

/* Tells every linked peer but the one it came from. All documents go, not only the new ones: the
 * push claims that nothing is missing between its two revisions, and a peer may lack just the one
 * that we had before. */
static void
forward_push (bt_context_t *ctx,
              bt_config_spread_t *spread,
              const bt_identity_t *source,
              const bt_spread_push_t *push,
              bt_spread_actions_t *actions)
{
  for (int32_t i = 0; i < spread->peer_count; i++)
    {
      const peer_t *peer = &spread->peers[i];

      if (peer->linked && (source == NULL || !bt_same_identity (&peer->identity, source)))
        send_push (ctx, spread, &peer->identity, push, actions);
    }
}

/* Puts in force what is newer, and passes it on. One that is not ready is filling an empty table:
 * what is new to it is old to everyone else. And an operator hands over to all entries at once:
 * were each to pass it on, every entry would get every document from every peer. Whom the operator
 * missed is told by the next heartbeat's digest. */
void
bt_take_spread_documents (bt_context_t *ctx,
                          bt_config_spread_t *spread,
                          const bt_identity_t *source,
                          const bt_spread_push_t *push,
                          bt_spread_actions_t *actions)
{
  bt_spread_push_t forwarded = { push->documents, push->from, push->to, false, 0 };
  bool from_operator = source != NULL && find_linked_peer (spread, source) == NULL;
  bt_document_list_t applied = { 0 };

  for (int32_t i = 0; i < push->documents->count; i++)
    if (bt_offer_document (ctx, spread->table, push->documents->items[i]) == BT_OFFER_APPLIED)
      bt_add_document (ctx, &applied, push->documents->items[i]);
  if (applied.count > 0)
    append_documents (ctx, &applied,
                      &bt_add_spread_action (ctx, actions, BT_SPREAD_APPLY)->documents);
  if (applied.count > 0 && spread->ready && !from_operator)
    forward_push (ctx, spread, source, &forwarded, actions);
  bt_clear_documents (ctx, &applied);
}

void
bt_open_spread_link (bt_context_t *ctx,
                     bt_config_spread_t *spread,
                     const bt_identity_t *identity,
                     int64_t now_ms,
                     bt_spread_actions_t *actions)
{
  peer_t *peer = make_peer (ctx, spread, identity);

  peer->linked = true;
  send_pull (ctx, spread, peer, now_ms, actions);
}

void
bt_close_spread_link (bt_context_t *ctx, bt_config_spread_t *spread, const bt_identity_t *identity)
{
  peer_t *peer = find_linked_peer (spread, identity);

  if (peer == NULL)
    return;
  peer->linked = false;
  peer->in_start_quorum = false;
  remove_unlinked_peers (spread);
}

void
bt_make_spread_heartbeat (const bt_config_spread_t *spread,
                          const bt_identity_t *identity,
                          int64_t now_ms,
                          bt_spread_heartbeat_t *heartbeat)
{
  const peer_t *peer = find_linked_peer (spread, identity);

  heartbeat->now_ms = now_ms;
  heartbeat->echo_ms = peer == NULL ? -1 : peer->clock_ms;
  heartbeat->floor = spread->ready ? spread->floor : 0;
  heartbeat->fresh_age_ms = spread->fresh_ms == NEVER_MS ? -1 : now_ms - spread->fresh_ms;
  heartbeat->revision = bt_get_table_revision (spread->table);
  heartbeat->digest = bt_get_table_digest (spread->table);
}

void
bt_raise_spread_time (int64_t *time_ms, int64_t candidate_ms)
{
  if (candidate_ms > *time_ms)
    *time_ms = candidate_ms;
}

/* Learns from a peer whose table we hold to be ours, too. */
static void
update_freshness (bt_config_spread_t *spread,
                  const bt_spread_heartbeat_t *heartbeat,
                  int64_t sent_ms)
{
  if (heartbeat->digest == bt_get_table_digest (spread->table) && heartbeat->floor > spread->floor)
    spread->floor = heartbeat->floor;
  if (heartbeat->floor > 0 && heartbeat->floor <= spread->floor && heartbeat->fresh_age_ms >= 0)
    bt_raise_spread_time (&spread->fresh_ms, sent_ms - heartbeat->fresh_age_ms);
}

/* Only a peer that is ready and has the same documents counts towards a majority. One that is not
 * ready knows nothing of what is in force: a replaced process beside one that had missed a change
 * would make a majority of two that know the old rules only. And one that has other documents shows
 * that ours may be old. */
static void
record_agreement (peer_t *peer,
                  const bt_spread_heartbeat_t *heartbeat,
                  int64_t sent_ms,
                  int64_t now_ms)
{
  peer->differs_since_ms = NEVER_MS;
  if (heartbeat->floor <= 0)
    return;
  peer->in_start_quorum = true;
  if (sent_ms >= 0 && sent_ms <= now_ms)
    bt_raise_spread_time (&peer->agreed_ms, sent_ms);
}

void
bt_take_spread_heartbeat (bt_context_t *ctx,
                          bt_config_spread_t *spread,
                          const bt_identity_t *identity,
                          const bt_spread_heartbeat_t *heartbeat,
                          int64_t now_ms,
                          bt_spread_actions_t *actions)
{
  peer_t *peer = find_linked_peer (spread, identity);
  /* A heartbeat may lie in a buffer for minutes, behind a pause of either process; dated by its
   * arrival, news of before a change would look like news of after it. The echo is a reading of
   * our own clock, applied before the heartbeat was sent, so the news is at least that old. */
  int64_t sent_ms =
      bt_has_spread_guard (spread, BT_SPREAD_TRUST_ARRIVAL) ? heartbeat->echo_ms : now_ms;

  if (peer == NULL)
    return;
  peer->clock_ms = heartbeat->now_ms;
  peer->last_heartbeat = *heartbeat;
  if (sent_ms >= 0 && sent_ms <= now_ms)
    update_freshness (spread, heartbeat, sent_ms);
  if (heartbeat->digest == bt_get_table_digest (spread->table))
    {
      record_agreement (peer, heartbeat, sent_ms, now_ms);
      return;
    }
  if (peer->differs_since_ms == NEVER_MS)
    peer->differs_since_ms = now_ms;
  if (now_ms - peer->differs_since_ms >= spread->settings.pull_grace_ms || !spread->ready)
    send_pull (ctx, spread, peer, now_ms, actions);
}

static void
reply_in_force (bt_context_t *ctx,
                bt_config_spread_t *spread,
                const bt_identity_t *source,
                const bt_spread_push_t *push,
                bt_spread_actions_t *actions)
{
  bt_spread_action_t *action = bt_add_spread_action (ctx, actions, BT_SPREAD_IN_FORCE);

  action->peer = *source;
  action->request = push->request;
  for (int32_t i = 0; i < push->documents->count; i++)
    bt_add_document (ctx, &action->documents,
                     bt_find_document (spread->table, push->documents->items[i]->name));
}

void
bt_take_spread_push (bt_context_t *ctx,
                     bt_config_spread_t *spread,
                     const bt_identity_t *source,
                     const bt_spread_push_t *push,
                     int64_t now_ms,
                     bt_spread_actions_t *actions)
{
  peer_t *peer = find_linked_peer (spread, source);

  bt_take_spread_documents (ctx, spread, source, push, actions);
  if (push->to > 0 && push->from <= spread->floor)
    {
      if (push->to > spread->floor)
        spread->floor = push->to;
      if (peer != NULL && push->whole)
        peer->in_start_quorum = true;
    }
  else if (peer != NULL && push->to > 0)
    send_pull (ctx, spread, peer, now_ms, actions);
  if (!spread->ready && has_start_quorum (spread))
    spread->ready = true;
  if (push->request != 0)
    reply_in_force (ctx, spread, source, push, actions);
}

void
bt_take_spread_pull (bt_context_t *ctx,
                     bt_config_spread_t *spread,
                     const bt_identity_t *source,
                     int64_t since,
                     bt_spread_actions_t *actions)
{
  bt_document_list_t documents = { 0 };
  /* One that is not ready itself gives what it has, but claims nothing: two that start together
   * must not take each other for witnesses of what is in force. */
  bt_spread_push_t push = { &documents, since, spread->ready ? spread->floor : 0, true, 0 };

  bt_list_documents_above (ctx, spread->table, since, &documents);
  send_push (ctx, spread, source, &push, actions);
  bt_clear_documents (ctx, &documents);
}

static void
pull_gaps (bt_context_t *ctx,
           bt_config_spread_t *spread,
           int64_t now_ms,
           bt_spread_actions_t *actions)
{
  for (int32_t i = 0; i < spread->peer_count; i++)
    {
      peer_t *peer = &spread->peers[i];
      bool gap = peer->differs_since_ms != NEVER_MS
                 && now_ms - peer->differs_since_ms >= spread->settings.pull_grace_ms
                 && peer->last_heartbeat.digest != bt_get_table_digest (spread->table);

      if (peer->linked && (gap || (!spread->ready && !peer->in_start_quorum)))
        send_pull (ctx, spread, peer, now_ms, actions);
    }
}

void
bt_tick_config_spread (bt_context_t *ctx,
                       bt_config_spread_t *spread,
                       int64_t now_ms,
                       bt_spread_actions_t *actions)
{
  bool stale = !is_within (spread->fresh_ms, now_ms, spread->settings.fallback_ms);

  pull_gaps (ctx, spread, now_ms, actions);
  if (!spread->ready && has_start_quorum (spread))
    spread->ready = true;
  if (spread->store_call == STORE_IDLE && now_ms >= spread->next_store_ms
      && (spread->watcher || !spread->has_read || stale))
    bt_begin_spread_read (ctx, spread, now_ms, actions);
}

const bt_config_table_t *
bt_get_spread_table (const bt_config_spread_t *spread)
{
  return spread->table;
}

void
bt_get_spread_status (const bt_config_spread_t *spread, int64_t now_ms, bt_spread_status_t *status)
{
  memset (status, 0, sizeof *status);
  status->floor = spread->floor;
  status->revision = bt_get_table_revision (spread->table);
  status->fresh_age_ms = spread->fresh_ms == NEVER_MS ? -1 : now_ms - spread->fresh_ms;
  status->members = spread->near_count;
  status->peers_agreed = count_peers (spread, now_ms, false);
  status->watcher = spread->watcher;
  status->stale_reads = spread->stale_reads;
  status->pulls = spread->pulls;
  status->pushes = spread->pushes;
}
