#include "config_sync_private.h"

enum
{
  MAX_RETRY_MS = 8000,
};

static void
schedule_retry (bt_config_sync_t *sync, int64_t now_ms)
{
  int64_t max_delay_ms = sync->settings.store_retry_ms;
  int64_t min_delay_ms;

  for (int32_t i = 0; i < sync->store_failures && max_delay_ms < MAX_RETRY_MS; i++)
    max_delay_ms *= 2;
  min_delay_ms = max_delay_ms / 2;
  sync->store_failures++;
  sync->store_call = STORE_IDLE;
  sync->next_store_ms =
      now_ms + min_delay_ms + (int64_t)bt_random_below (&sync->random, (uint64_t)min_delay_ms + 1);
}

void
bt_begin_sync_read (bt_context_t *ctx,
                    bt_config_sync_t *sync,
                    int64_t now_ms,
                    bt_sync_actions_t *actions)
{
  bt_sync_action_t *action = bt_add_sync_action (ctx, actions, BT_SYNC_READ);

  sync->store_call = STORE_READING;
  sync->store_since = sync->floor;
  sync->store_started_ms = now_ms;
  action->since = sync->floor;
}

static void
begin_watch (bt_context_t *ctx, bt_config_sync_t *sync, bt_sync_actions_t *actions)
{
  bt_sync_action_t *action = bt_add_sync_action (ctx, actions, BT_SYNC_WATCH);

  sync->store_call = STORE_WATCHING;
  action->since = sync->floor;
  action->wait_ms = sync->settings.watch_wait_ms;
}

void
bt_handle_store_read (bt_context_t *ctx,
                      bt_config_sync_t *sync,
                      int64_t revision,
                      const bt_document_list_t *documents,
                      int64_t now_ms,
                      bt_sync_actions_t *actions)
{
  bt_sync_push_t push = { documents, sync->store_since, revision, false, 0 };

  /* After a recovery, a replica of the store may answer with a state from long before. Treated as
   * fresh, it would keep an instance admitting requests under old rules. Revisions never decrease,
   * so an answer older than the floor at the time of the request is known to be stale. */
  if (revision < sync->store_since && bt_has_sync_guard (sync, BT_SYNC_TRUST_STALE_READ))
    {
      sync->stale_reads++;
      schedule_retry (sync, now_ms);
      return;
    }
  bt_apply_sync_documents (ctx, sync, NULL, &push, actions);
  if (revision > sync->floor)
    sync->floor = revision;
  /* Dated by the start of the read, as the store may have answered at any time since. */
  bt_raise_sync_time (&sync->fresh_ms, sync->store_started_ms);
  sync->has_read = true;
  sync->store_failures = 0;
  sync->ready = true;
  sync->store_call = STORE_IDLE;
  if (sync->watcher)
    begin_watch (ctx, sync, actions);
}

void
bt_handle_store_watch (bt_context_t *ctx,
                       bt_config_sync_t *sync,
                       bool events,
                       int64_t now_ms,
                       bt_sync_actions_t *actions)
{
  /* A watch on a dead connection looks like a watch without events, and changes would never arrive.
   * So every watch is followed by a read on a connection of its own. */
  if (!events && !bt_has_sync_guard (sync, BT_SYNC_TRUST_QUIET_WATCH))
    {
      bt_raise_sync_time (&sync->fresh_ms, now_ms);
      begin_watch (ctx, sync, actions);
      return;
    }
  bt_begin_sync_read (ctx, sync, now_ms, actions);
}

void
bt_handle_store_failure (bt_context_t *ctx, bt_config_sync_t *sync, int64_t now_ms)
{
  schedule_retry (sync, now_ms);
}
