#include "group_rounds_private.h"

#include <string.h>

enum
{
  /* Number of versions per leader. The fencing number forms the high part of a version, so that no
   * other leader ever uses the same version for a different map. */
  VERSIONS_PER_LEADER = 1 << 20,
};

static const char *const order_names[] = { "prepare", "hold", "arm", "disarm", "go" };

static const char *const phase_names[] = { "looking",  "calm",     "preparing",
                                           "holding",  "arming",   "letting-go",
                                           "settling", "securing", "clearing" };

const char *
bt_name_group_order (bt_group_order_kind_t kind)
{
  return order_names[kind];
}

const char *
bt_name_group_phase (bt_group_phase_t phase)
{
  return phase_names[phase];
}

bt_group_rounds_t *
bt_new_group_rounds (bt_context_t *ctx, const bt_group_rounds_settings_t *settings)
{
  size_t ranks = (size_t)settings->ranks;
  bt_group_rounds_t *rounds = bt_calloc (ctx, 1, sizeof *rounds + ranks * sizeof rounds->ranks[0]);

  rounds->settings = *settings;
  return rounds;
}

void
bt_drop_group_rounds (bt_context_t *ctx, bt_group_rounds_t *rounds)
{
  bt_free (ctx, rounds);
}

void
bt_start_leading_group (bt_group_rounds_t *rounds, uint64_t fence)
{
  memset (rounds->ranks, 0, (size_t)rounds->settings.ranks * sizeof rounds->ranks[0]);
  rounds->fence = fence;
  rounds->fenced = false;
  rounds->own_hold = false;
  rounds->target = 0;
  rounds->orders_ms = 0;
  rounds->mean_step_ms = 0;
  rounds->timed_ms = 0;
  rounds->hold_until_ms = INT64_MAX;
  /* A leader that resumes with its own fencing number also continues its own versions. */
  if (rounds->last_version < (int64_t)fence * VERSIONS_PER_LEADER)
    rounds->last_version = (int64_t)fence * VERSIONS_PER_LEADER;
  bt_set_group_phase (rounds, BT_GROUP_LOOKING, 0);
}

void
bt_limit_group_holds (bt_group_rounds_t *rounds, int64_t until_ms)
{
  rounds->hold_until_ms = until_ms;
}

void
bt_stop_leading_group (bt_group_rounds_t *rounds)
{
  rounds->fence = 0;
  rounds->target = 0;
  rounds->phase = BT_GROUP_LOOKING;
}

/* Records the steps named in orders of any leader. A delayed GO order may arrive seconds later and
 * would cancel a new hold before the same step. */
static void
record_ordered_steps (bt_group_rounds_t *rounds, const bt_rank_report_t *report)
{
  if (report->held_step > rounds->last_step)
    rounds->last_step = report->held_step;
  if (report->armed_version != 0 && report->armed_step > rounds->last_step)
    rounds->last_step = report->armed_step;
}

/* Handles a new epoch. A re-formed group has dropped all maps, holds and arms. */
static void
handle_new_epoch (bt_group_rounds_t *rounds, const bt_rank_report_t *report, int64_t now_ms)
{
  if (rounds->phase == BT_GROUP_LOOKING || (report->open && report->epoch == rounds->epoch))
    return;
  rounds->target = 0;
  bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
}

/* Handles a restart of an engine. The new process has the first map, nothing prepared, armed or
 * held, and an order count of zero. An order with an old count could match the new count by chance,
 * and the effect of an order accepted before the restart will never show. */
static void
handle_engine_restart (bt_group_rounds_t *rounds,
                       bt_rank_state_t *state,
                       const bt_rank_report_t *report,
                       int64_t now_ms)
{
  if (!state->known || state->report.started_ms == report->started_ms)
    return;
  state->order_id = 0;
  rounds->target = 0;
  rounds->own_hold = false;
  bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
}

void
bt_handle_rank_report (bt_group_rounds_t *rounds,
                       int32_t rank,
                       const bt_rank_report_t *report,
                       int64_t now_ms)
{
  bt_rank_state_t *state;

  if (rounds->fence == 0 || rank < 0 || rank >= rounds->settings.ranks)
    return;
  state = &rounds->ranks[rank];
  handle_engine_restart (rounds, state, report, now_ms);
  state->known = true;
  state->report = *report;
  state->reported_ms = now_ms;
  record_ordered_steps (rounds, report);
  bt_update_step_time (rounds, report->step, now_ms);
  handle_new_epoch (rounds, report, now_ms);
  rounds->next_rank = 0;
  bt_advance_group (rounds, now_ms);
}

/* Finds the rank whose pending order has an id; NULL when the result of that order is no longer
 * expected. */
static bt_rank_state_t *
find_ordered_rank (bt_group_rounds_t *rounds, uint64_t id)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (id != 0 && rounds->ranks[i].order_id == id)
      return &rounds->ranks[i];
  return NULL;
}

void
bt_handle_group_order_result (bt_group_rounds_t *rounds,
                              int32_t rank,
                              uint64_t id,
                              bt_order_result_t result,
                              const bt_rank_report_t *report,
                              int64_t now_ms)
{
  bt_rank_state_t *state;

  if (rounds->fence == 0 || rank < 0 || rank >= rounds->settings.ranks)
    return;
  state = find_ordered_rank (rounds, id);
  if (state != NULL)
    {
      state->order_id = 0;
      state->accepted = result == BT_ORDER_DONE;
      if (result == BT_ORDER_REFUSED)
        state->refusals++;
      if (result == BT_ORDER_FENCED)
        rounds->fenced = true;
      /* Only an order accepted at the order count of a report without a hold proves that the hold
       * is this leader's own. A hold that is merely reported may belong to another leader, who can
       * release it. */
      if (result == BT_ORDER_DONE && rounds->phase == BT_GROUP_SECURING && !rounds->takes_over_hold)
        rounds->own_hold = true;
      /* The result comes from another rank's agent; only the holder's own report shows whether the
       * group is held. */
      rounds->reports_requested = rounds->reports_requested || rounds->phase == BT_GROUP_HOLDING;
    }
  bt_handle_rank_report (rounds, rank, report, now_ms);
}

int64_t
bt_begin_group_round (bt_group_rounds_t *rounds, int64_t now_ms)
{
  if (rounds->fence == 0 || rounds->phase != BT_GROUP_CALM || !bt_is_group_complete (rounds, now_ms)
      || rounds->last_version + 2 >= ((int64_t)rounds->fence + 1) * VERSIONS_PER_LEADER)
    return 0;
  rounds->target = ++rounds->last_version;
  bt_set_group_phase (rounds, BT_GROUP_PREPARING, now_ms);
  return rounds->target;
}

bt_group_phase_t
bt_get_group_phase (const bt_group_rounds_t *rounds)
{
  return rounds->phase;
}

bool
bt_poll_report_request (bt_group_rounds_t *rounds)
{
  bool requested = rounds->reports_requested;

  rounds->reports_requested = false;
  return requested;
}

int64_t
bt_get_group_target (const bt_group_rounds_t *rounds)
{
  return rounds->target;
}

int64_t
bt_get_group_version (const bt_group_rounds_t *rounds)
{
  if (rounds->phase == BT_GROUP_LOOKING || !bt_has_group_one_version (rounds))
    return -1;
  return rounds->ranks[0].report.version;
}

int64_t
bt_get_group_epoch (const bt_group_rounds_t *rounds)
{
  return rounds->phase == BT_GROUP_LOOKING ? -1 : rounds->epoch;
}

bool
bt_is_group_fenced (const bt_group_rounds_t *rounds)
{
  return rounds->fenced;
}
