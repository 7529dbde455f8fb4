#include "config_spread_private.h"

enum
{
  MAX_RETRY_MS = 8000,
};

static void
schedule_retry (bt_config_spread_t *spread, int64_t now_ms)
{
  int64_t max_delay_ms = spread->settings.store_retry_ms;
  int64_t min_delay_ms;

  for (int32_t i = 0; i < spread->store_failures && max_delay_ms < MAX_RETRY_MS; i++)
    max_delay_ms *= 2;
  min_delay_ms = max_delay_ms / 2;
  spread->store_failures++;
  spread->store_call = STORE_IDLE;
  spread->next_store_ms = now_ms + min_delay_ms
                          + (int64_t)bt_random_below (&spread->random, (uint64_t)min_delay_ms + 1);
}

void
bt_begin_spread_read (bt_context_t *ctx,
                      bt_config_spread_t *spread,
                      int64_t now_ms,
                      bt_spread_actions_t *actions)
{
  bt_spread_action_t *action = bt_add_spread_action (ctx, actions, BT_SPREAD_READ);

  spread->store_call = STORE_READING;
  spread->store_since = spread->floor;
  spread->store_started_ms = now_ms;
  action->since = spread->floor;
}

static void
begin_watch (bt_context_t *ctx, bt_config_spread_t *spread, bt_spread_actions_t *actions)
{
  bt_spread_action_t *action = bt_add_spread_action (ctx, actions, BT_SPREAD_WATCH);

  spread->store_call = STORE_WATCHING;
  action->since = spread->floor;
  action->wait_ms = spread->settings.watch_wait_ms;
}

void
bt_take_store_read (bt_context_t *ctx,
                    bt_config_spread_t *spread,
                    int64_t revision,
                    const bt_document_list_t *documents,
                    int64_t now_ms,
                    bt_spread_actions_t *actions)
{
  bt_spread_push_t push = { documents, spread->store_since, revision, false, 0 };

  /* After a recovery a replica of the service may answer with how things stood long before. Seen
   * as fresh, that would keep an instance admitting under old rules. Revisions never go back, so an
   * answer below the floor that the read was sent with is known to be old. */
  if (revision < spread->store_since && bt_has_spread_guard (spread, BT_SPREAD_TRUST_STALE_READ))
    {
      spread->stale_reads++;
      schedule_retry (spread, now_ms);
      return;
    }
  bt_take_spread_documents (ctx, spread, NULL, &push, actions);
  if (revision > spread->floor)
    spread->floor = revision;
  /* Dated from before the read was sent: it may have been answered at any time since. */
  bt_raise_spread_time (&spread->fresh_ms, spread->store_started_ms);
  spread->has_read = true;
  spread->store_failures = 0;
  spread->ready = true;
  spread->store_call = STORE_IDLE;
  if (spread->watcher)
    begin_watch (ctx, spread, actions);
}

void
bt_take_store_watch (bt_context_t *ctx,
                     bt_config_spread_t *spread,
                     bool events,
                     int64_t now_ms,
                     bt_spread_actions_t *actions)
{
  /* A watch whose connection went silent looks like one on which nothing happened, and changes
   * would never arrive. So a plain read, on a connection of its own, follows every watch. */
  if (!events && !bt_has_spread_guard (spread, BT_SPREAD_TRUST_QUIET_WATCH))
    {
      bt_raise_spread_time (&spread->fresh_ms, now_ms);
      begin_watch (ctx, spread, actions);
      return;
    }
  bt_begin_spread_read (ctx, spread, now_ms, actions);
}

void
bt_take_store_failure (bt_context_t *ctx, bt_config_spread_t *spread, int64_t now_ms)
{
  schedule_retry (spread, now_ms);
}
