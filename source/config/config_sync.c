#include "bilberrytray/config/config_sync.h"

#include <string.h>

#include "config_sync_private.h"

enum
{
  INITIAL_CAPACITY = 8,
};

static const char watch_purpose[] = "watch";

bt_sync_settings_t
bt_get_default_sync_settings (void)
{
  bt_sync_settings_t settings = { .watchers = 3,
                                  .watch_wait_ms = 2000,
                                  .isolation_ms = 10000,
                                  .fallback_ms = 6000,
                                  .pull_grace_ms = 500,
                                  .pull_retry_ms = 1000,
                                  .store_retry_ms = 500 };

  return settings;
}

bool
bt_has_sync_guard (const bt_config_sync_t *sync, uint32_t guard)
{
  return (sync->settings.guards_off & guard) == 0;
}

bt_config_sync_t *
bt_new_config_sync (bt_context_t *ctx,
                    const bt_identity_t *self,
                    const bt_sync_settings_t *settings,
                    uint64_t seed,
                    int64_t now_ms)
{
  bt_config_sync_t *sync = bt_calloc (ctx, 1, sizeof *sync);
  bool accept_older = (settings->guards_off & BT_SYNC_ACCEPT_OLDER) != 0;

  sync->self = *self;
  sync->settings = *settings;
  bt_seed_random (&sync->random, seed);
  sync->table = bt_new_config_table (ctx, accept_older ? BT_TABLE_ACCEPT_OLDER : 0);
  sync->fresh_ms = NEVER_MS;
  sync->next_store_ms = now_ms;
  return sync;
}

void
bt_drop_config_sync (bt_context_t *ctx, bt_config_sync_t *sync)
{
  if (sync == NULL)
    return;
  bt_drop_config_table (ctx, sync->table);
  bt_free (ctx, sync->peers);
  bt_free (ctx, sync->members);
  bt_free (ctx, sync->is_neighbor);
  bt_free (ctx, sync);
}

void
bt_clear_sync_actions (bt_context_t *ctx, bt_sync_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    bt_clear_documents (ctx, &actions->items[i].documents);
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}

bt_sync_action_t *
bt_add_sync_action (bt_context_t *ctx, bt_sync_actions_t *actions, bt_sync_action_kind_t kind)
{
  bt_sync_action_t *action;

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

/* Returns the peer with this name, of any incarnation. */
static peer_t *
find_peer (const bt_config_sync_t *sync, const char *instance)
{
  for (int32_t i = 0; i < sync->peer_count; i++)
    if (strcmp (sync->peers[i].identity.instance, instance) == 0)
      return &sync->peers[i];
  return NULL;
}

/* Returns the peer if it is linked with the same incarnation. */
static peer_t *
find_linked_peer (const bt_config_sync_t *sync, const bt_identity_t *identity)
{
  peer_t *peer = find_peer (sync, identity->instance);

  if (peer == NULL || !peer->linked || !bt_same_identity (&peer->identity, identity))
    return NULL;
  return peer;
}

/* Adds a peer, or resets the state of a peer with the same name. */
static peer_t *
make_peer (bt_context_t *ctx, bt_config_sync_t *sync, const bt_identity_t *identity)
{
  peer_t *peer = find_peer (sync, identity->instance);

  if (peer == NULL)
    {
      if (sync->peer_count == sync->peer_capacity)
        {
          sync->peer_capacity = sync->peer_capacity * 2 + INITIAL_CAPACITY;
          sync->peers = bt_realloc (ctx, sync->peers, (size_t)sync->peer_capacity, sizeof *peer);
        }
      peer = &sync->peers[sync->peer_count++];
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
is_member (const bt_config_sync_t *sync, const char *instance, bool *is_neighbor)
{
  for (int32_t i = 0; i < sync->member_count; i++)
    if (strcmp (sync->members[i].instance, instance) == 0)
      {
        *is_neighbor = sync->is_neighbor[i];
        return true;
      }
  return false;
}

/* Removes peers that are neither members nor linked. Otherwise the table would grow without end in
 * a fleet whose instances are replaced every day. */
static void
remove_unlinked_peers (bt_config_sync_t *sync)
{
  int32_t kept = 0;
  bool is_neighbor;

  for (int32_t i = 0; i < sync->peer_count; i++)
    if (sync->peers[i].linked || is_member (sync, sync->peers[i].identity.instance, &is_neighbor))
      sync->peers[kept++] = sync->peers[i];
  sync->peer_count = kept;
}

static void
choose_watchers (bt_context_t *ctx, bt_config_sync_t *sync)
{
  int32_t wanted = sync->settings.watchers;
  int32_t *chosen = bt_calloc (ctx, (size_t)wanted, sizeof *chosen);
  int32_t count =
      bt_choose_subset (ctx, watch_purpose, sync->members, sync->member_count, wanted, chosen);

  sync->watcher = false;
  for (int32_t i = 0; i < count; i++)
    if (strcmp (sync->members[chosen[i]].instance, sync->self.instance) == 0)
      sync->watcher = true;
  bt_free (ctx, chosen);
}

void
bt_set_sync_members (bt_context_t *ctx,
                     bt_config_sync_t *sync,
                     const bt_sync_member_t *members,
                     int32_t count)
{
  sync->members = bt_realloc (ctx, sync->members, (size_t)count, sizeof *sync->members);
  sync->is_neighbor = bt_realloc (ctx, sync->is_neighbor, (size_t)count, sizeof (bool));
  sync->member_count = count;
  sync->neighborhood_size = 1;
  for (int32_t i = 0; i < count; i++)
    {
      bool self = strcmp (members[i].instance, sync->self.instance) == 0;

      bt_copy_name (sync->members[i].instance, members[i].instance);
      bt_copy_name (sync->members[i].failure_domain, members[i].failure_domain);
      sync->is_neighbor[i] = members[i].is_neighbor && !self;
      sync->neighborhood_size += sync->is_neighbor[i] ? 1 : 0;
    }
  choose_watchers (ctx, sync);
  remove_unlinked_peers (sync);
}

static bool
is_within (int64_t time_ms, int64_t now_ms, int64_t limit_ms)
{
  return time_ms != NEVER_MS && now_ms - time_ms <= limit_ms;
}

/* Counts the neighbors that had the same documents within the isolation limit or, with
 * @p start_quorum, those that count towards the start quorum. */
static int32_t
count_peers (const bt_config_sync_t *sync, int64_t now_ms, bool start_quorum)
{
  int32_t count = 0;
  bool is_neighbor;

  for (int32_t i = 0; i < sync->peer_count; i++)
    {
      const peer_t *peer = &sync->peers[i];

      if (!is_member (sync, peer->identity.instance, &is_neighbor) || !is_neighbor)
        continue;
      if (start_quorum ? peer->in_start_quorum
                       : is_within (peer->agreed_ms, now_ms, sync->settings.isolation_ms))
        count++;
    }
  return count;
}

/* Returns whether enough peers have answered for this instance to start without the store. A change
 * is accepted once more than half of the entries have it, and this instance may replace one of
 * those. So it must hear from peers that make up at least half of all entries, of which at least
 * one then has the change. With a single peer, the rules from before the last change could come
 * back. */
static bool
has_start_quorum (const bt_config_sync_t *sync)
{
  int32_t needed = (sync->neighborhood_size + 1) / 2;

  if (!bt_has_sync_guard (sync, BT_SYNC_ANY_PEER))
    needed = 1;
  return sync->member_count > 0 && count_peers (sync, 0, true) >= needed && needed > 0
         && sync->neighborhood_size > 1;
}

/* Returns whether this instance hears from a majority of the entries, itself included. While the
 * store is down for all entries, no change is accepted and all may continue. A minority that is
 * partitioned from the rest also sees the store as down, but changes may be accepted on the other
 * side. Every majority includes an entry that has the accepted change. */
static bool
has_quorum (const bt_config_sync_t *sync, int64_t now_ms)
{
  int32_t agreed = count_peers (sync, now_ms, false);

  if (!bt_has_sync_guard (sync, BT_SYNC_ANY_PEER))
    return agreed > 0;
  return sync->member_count > 0 && 2 * (agreed + 1) > sync->neighborhood_size;
}

bt_sync_state_t
bt_get_sync_state (const bt_config_sync_t *sync, int64_t now_ms)
{
  if (!sync->ready)
    return BT_SYNC_NOT_READY;
  if (is_within (sync->fresh_ms, now_ms, sync->settings.isolation_ms))
    return BT_SYNC_READY;
  /* An instance that reaches neither the store nor a majority of its peers may serve rules that an
   * operator replaced long ago, and its callers would see no sign of a fault. It cannot detect
   * this, so it stops admitting requests after the limit. */
  if (has_quorum (sync, now_ms) || !bt_has_sync_guard (sync, BT_SYNC_NEVER_ISOLATED))
    return BT_SYNC_READY;
  return BT_SYNC_ISOLATED;
}

static void
send_pull (bt_context_t *ctx,
           bt_config_sync_t *sync,
           peer_t *peer,
           int64_t now_ms,
           bt_sync_actions_t *actions)
{
  bt_sync_action_t *action;

  if (now_ms < peer->next_pull_ms || !bt_has_sync_guard (sync, BT_SYNC_NO_PULL))
    return;
  peer->next_pull_ms = now_ms + sync->settings.pull_retry_ms;
  sync->pulls++;
  action = bt_add_sync_action (ctx, actions, BT_SYNC_PULL);
  action->peer = peer->identity;
  action->since = sync->floor;
}

static void
send_push (bt_context_t *ctx,
           bt_config_sync_t *sync,
           const bt_identity_t *peer,
           const bt_sync_push_t *push,
           bt_sync_actions_t *actions)
{
  bt_sync_action_t *action = bt_add_sync_action (ctx, actions, BT_SYNC_PUSH);

  sync->pushes++;
  action->peer = *peer;
  action->from = push->from;
  action->to = push->to;
  action->whole = push->whole;
  append_documents (ctx, push->documents, &action->documents);
}

/* Forwards a push to every linked peer except its source. All documents are sent, not only those
 * that were new here: the push claims to be complete between its two revisions, and a peer may lack
 * exactly the document that this instance already had. */
static void
forward_push (bt_context_t *ctx,
              bt_config_sync_t *sync,
              const bt_identity_t *source,
              const bt_sync_push_t *push,
              bt_sync_actions_t *actions)
{
  for (int32_t i = 0; i < sync->peer_count; i++)
    {
      const peer_t *peer = &sync->peers[i];

      if (peer->linked && (source == NULL || !bt_same_identity (&peer->identity, source)))
        send_push (ctx, sync, &peer->identity, push, actions);
    }
}

/* Puts newer documents in force and forwards them, with two exceptions. An instance that is not
 * ready is filling an empty table, so what is new to it is old to all others. And an operator
 * pushes to all entries at once: if each of them forwarded the push, every entry would get every
 * document from every peer. An entry that the operator missed notices it by the digest in the next
 * heartbeat. */
void
bt_apply_sync_documents (bt_context_t *ctx,
                         bt_config_sync_t *sync,
                         const bt_identity_t *source,
                         const bt_sync_push_t *push,
                         bt_sync_actions_t *actions)
{
  bt_sync_push_t forwarded = { push->documents, push->from, push->to, false, 0 };
  bool from_operator = source != NULL && find_linked_peer (sync, source) == NULL;
  bt_document_list_t applied = { 0 };

  for (int32_t i = 0; i < push->documents->count; i++)
    if (bt_offer_document (ctx, sync->table, push->documents->items[i]) == BT_OFFER_APPLIED)
      bt_add_document (ctx, &applied, push->documents->items[i]);
  if (applied.count > 0)
    append_documents (ctx, &applied, &bt_add_sync_action (ctx, actions, BT_SYNC_APPLY)->documents);
  if (applied.count > 0 && sync->ready && !from_operator)
    forward_push (ctx, sync, source, &forwarded, actions);
  bt_clear_documents (ctx, &applied);
}

void
bt_open_sync_link (bt_context_t *ctx,
                   bt_config_sync_t *sync,
                   const bt_identity_t *identity,
                   int64_t now_ms,
                   bt_sync_actions_t *actions)
{
  peer_t *peer = make_peer (ctx, sync, identity);

  peer->linked = true;
  send_pull (ctx, sync, peer, now_ms, actions);
}

void
bt_close_sync_link (bt_context_t *ctx, bt_config_sync_t *sync, const bt_identity_t *identity)
{
  peer_t *peer = find_linked_peer (sync, identity);

  if (peer == NULL)
    return;
  peer->linked = false;
  peer->in_start_quorum = false;
  remove_unlinked_peers (sync);
}

void
bt_make_sync_heartbeat (const bt_config_sync_t *sync,
                        const bt_identity_t *identity,
                        int64_t now_ms,
                        bt_sync_heartbeat_t *heartbeat)
{
  const peer_t *peer = find_linked_peer (sync, identity);

  heartbeat->now_ms = now_ms;
  heartbeat->echo_ms = peer == NULL ? -1 : peer->clock_ms;
  heartbeat->floor = sync->ready ? sync->floor : 0;
  heartbeat->fresh_age_ms = sync->fresh_ms == NEVER_MS ? -1 : now_ms - sync->fresh_ms;
  heartbeat->revision = bt_get_table_revision (sync->table);
  heartbeat->digest = bt_get_table_digest (sync->table);
}

void
bt_raise_sync_time (int64_t *time_ms, int64_t candidate_ms)
{
  if (candidate_ms > *time_ms)
    *time_ms = candidate_ms;
}

/* Raises the floor to that of a peer with the same digest. If this table is complete up to the
 * peer's floor, also takes over the time of the peer's freshest read, dated by the local clock. */
static void
update_freshness (bt_config_sync_t *sync, const bt_sync_heartbeat_t *heartbeat, int64_t sent_ms)
{
  if (heartbeat->digest == bt_get_table_digest (sync->table) && heartbeat->floor > sync->floor)
    sync->floor = heartbeat->floor;
  if (heartbeat->floor > 0 && heartbeat->floor <= sync->floor && heartbeat->fresh_age_ms >= 0)
    bt_raise_sync_time (&sync->fresh_ms, sent_ms - heartbeat->fresh_age_ms);
}

/* Records that a peer has the same documents. Only such a peer counts towards a quorum, and only if
 * it is ready. A peer that is not ready does not know what is in force: a restarted process and an
 * entry that missed a change would form a majority of two that has only the old rules. A peer with
 * other documents shows that the local ones may be old. */
static void
record_agreement (peer_t *peer,
                  const bt_sync_heartbeat_t *heartbeat,
                  int64_t sent_ms,
                  int64_t now_ms)
{
  peer->differs_since_ms = NEVER_MS;
  if (heartbeat->floor <= 0)
    return;
  peer->in_start_quorum = true;
  if (sent_ms >= 0 && sent_ms <= now_ms)
    bt_raise_sync_time (&peer->agreed_ms, sent_ms);
}

void
bt_handle_sync_heartbeat (bt_context_t *ctx,
                          bt_config_sync_t *sync,
                          const bt_identity_t *identity,
                          const bt_sync_heartbeat_t *heartbeat,
                          int64_t now_ms,
                          bt_sync_actions_t *actions)
{
  peer_t *peer = find_linked_peer (sync, identity);
  /* A heartbeat may stay in a buffer for minutes while either process is paused. Dated by its
   * arrival, state from before a change would look newer than the change. The echo is a reading of
   * the local clock from before the heartbeat was sent, so the date is never too late. */
  int64_t sent_ms = bt_has_sync_guard (sync, BT_SYNC_TRUST_ARRIVAL) ? heartbeat->echo_ms : now_ms;

  if (peer == NULL)
    return;
  peer->clock_ms = heartbeat->now_ms;
  peer->last_heartbeat = *heartbeat;
  if (sent_ms >= 0 && sent_ms <= now_ms)
    update_freshness (sync, heartbeat, sent_ms);
  if (heartbeat->digest == bt_get_table_digest (sync->table))
    {
      record_agreement (peer, heartbeat, sent_ms, now_ms);
      return;
    }
  if (peer->differs_since_ms == NEVER_MS)
    peer->differs_since_ms = now_ms;
  if (now_ms - peer->differs_since_ms >= sync->settings.pull_grace_ms || !sync->ready)
    send_pull (ctx, sync, peer, now_ms, actions);
}

static void
reply_in_force (bt_context_t *ctx,
                bt_config_sync_t *sync,
                const bt_identity_t *source,
                const bt_sync_push_t *push,
                bt_sync_actions_t *actions)
{
  bt_sync_action_t *action = bt_add_sync_action (ctx, actions, BT_SYNC_IN_FORCE);

  action->peer = *source;
  action->request = push->request;
  for (int32_t i = 0; i < push->documents->count; i++)
    bt_add_document (ctx, &action->documents,
                     bt_find_document (sync->table, push->documents->items[i]->name));
}

void
bt_handle_sync_push (bt_context_t *ctx,
                     bt_config_sync_t *sync,
                     const bt_identity_t *source,
                     const bt_sync_push_t *push,
                     int64_t now_ms,
                     bt_sync_actions_t *actions)
{
  peer_t *peer = find_linked_peer (sync, source);

  bt_apply_sync_documents (ctx, sync, source, push, actions);
  if (push->to > 0 && push->from <= sync->floor)
    {
      if (push->to > sync->floor)
        sync->floor = push->to;
      if (peer != NULL && push->whole)
        peer->in_start_quorum = true;
    }
  else if (peer != NULL && push->to > 0)
    send_pull (ctx, sync, peer, now_ms, actions);
  if (!sync->ready && has_start_quorum (sync))
    sync->ready = true;
  if (push->request != 0)
    reply_in_force (ctx, sync, source, push, actions);
}

void
bt_handle_sync_pull (bt_context_t *ctx,
                     bt_config_sync_t *sync,
                     const bt_identity_t *source,
                     int64_t since,
                     bt_sync_actions_t *actions)
{
  bt_document_list_t documents = { 0 };
  /* An instance that is not ready sends what it has but does not claim to be complete: two
   * instances that start at the same time must not count towards each other's start quorum. */
  bt_sync_push_t push = { &documents, since, sync->ready ? sync->floor : 0, true, 0 };

  bt_list_documents_above (ctx, sync->table, since, &documents);
  send_push (ctx, sync, source, &push, actions);
  bt_clear_documents (ctx, &documents);
}

static void
pull_gaps (bt_context_t *ctx, bt_config_sync_t *sync, int64_t now_ms, bt_sync_actions_t *actions)
{
  for (int32_t i = 0; i < sync->peer_count; i++)
    {
      peer_t *peer = &sync->peers[i];
      bool gap = peer->differs_since_ms != NEVER_MS
                 && now_ms - peer->differs_since_ms >= sync->settings.pull_grace_ms
                 && peer->last_heartbeat.digest != bt_get_table_digest (sync->table);

      if (peer->linked && (gap || (!sync->ready && !peer->in_start_quorum)))
        send_pull (ctx, sync, peer, now_ms, actions);
    }
}

void
bt_tick_config_sync (bt_context_t *ctx,
                     bt_config_sync_t *sync,
                     int64_t now_ms,
                     bt_sync_actions_t *actions)
{
  bool stale = !is_within (sync->fresh_ms, now_ms, sync->settings.fallback_ms);

  pull_gaps (ctx, sync, now_ms, actions);
  if (!sync->ready && has_start_quorum (sync))
    sync->ready = true;
  if (sync->store_call == STORE_IDLE && now_ms >= sync->next_store_ms
      && (sync->watcher || !sync->has_read || stale))
    bt_begin_sync_read (ctx, sync, now_ms, actions);
}

const bt_config_table_t *
bt_get_sync_table (const bt_config_sync_t *sync)
{
  return sync->table;
}

void
bt_get_sync_status (const bt_config_sync_t *sync, int64_t now_ms, bt_sync_status_t *status)
{
  memset (status, 0, sizeof *status);
  status->floor = sync->floor;
  status->revision = bt_get_table_revision (sync->table);
  status->fresh_age_ms = sync->fresh_ms == NEVER_MS ? -1 : now_ms - sync->fresh_ms;
  status->members = sync->neighborhood_size;
  status->peers_agreed = count_peers (sync, now_ms, false);
  status->watcher = sync->watcher;
  status->stale_reads = sync->stale_reads;
  status->pulls = sync->pulls;
  status->pushes = sync->pushes;
}
