#include "bilberrytray/maps/group_rounds.h"

#include <string.h>

enum
{
  /* Versions of one leader: its fencing number leads, so that no other leader ever uses the same
   * version for another map. */
  VERSIONS_OF_LEADER = 1 << 20,
  /* Refusals of one rank that end a try to prepare or to hold. */
  MOST_REFUSALS = 3,
  NO_RANK = -1,
};

/** What is known of one rank. */
typedef struct rank_state
{
  bool known;
  bt_rank_report_t report;
  int64_t heard_ms;
  uint64_t order_id; /* the order under way; 0: none */
  int64_t sent_ms;
  bool accepted;    /* the last order was, and its effect may still be to come */
  int32_t refusals; /* in this phase */
} rank_state_t;

struct bt_group_rounds
{
  bt_group_rounds_settings_t settings;
  uint64_t fence; /* 0: not leading */
  bool fenced;
  int64_t hold_until_ms; /* no hold is begun from then on */
  uint64_t last_order_id;
  int64_t last_version;
  bt_group_phase_t phase;
  int64_t phase_ms; /* when it began */
  int64_t epoch;
  int64_t target;     /* the version of the round */
  int64_t clearing;   /* the version whose preparing raises the counts */
  int64_t step;       /* the step of the change */
  int64_t last_step;  /* the highest step that any round here used */
  int32_t holder;     /* the rank of this leader's own hold */
  int32_t hold_tries; /* orders to hold in this phase */
  bool own_hold;      /* it was seen in force, and was not taken back */
  bool takes_hold;    /* securing: the hold of another leader is made this one's own */
  int64_t seen_ms;    /* when it was */
  bool ask;           /* all agents are to be asked for a report */
  rank_state_t ranks[BT_MAX_GROUP_RANKS];
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
  bt_group_rounds_t *rounds = bt_calloc (ctx, 1, sizeof *rounds);

  rounds->settings = *settings;
  return rounds;
}

void
bt_drop_group_rounds (bt_context_t *ctx, bt_group_rounds_t *rounds)
{
  bt_free (ctx, rounds);
}

static void
set_phase (bt_group_rounds_t *rounds, bt_group_phase_t phase, int64_t now_ms)
{
  rounds->phase = phase;
  rounds->phase_ms = now_ms;
  rounds->hold_tries = 0;
  rounds->ask = false;
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    {
      rounds->ranks[i].refusals = 0;
      rounds->ranks[i].accepted = false;
      /* An answer to an order of an earlier phase says nothing of this one. Taken for the proof of
       * an own hold it let ranks be disarmed while another leader could let the group go. */
      rounds->ranks[i].order_id = 0;
    }
}

void
bt_lead_group (bt_group_rounds_t *rounds, uint64_t fence)
{
  memset (rounds->ranks, 0, sizeof rounds->ranks);
  rounds->fence = fence;
  rounds->fenced = false;
  rounds->own_hold = false;
  rounds->target = 0;
  rounds->hold_until_ms = INT64_MAX;
  /* A leader that pauses and goes on with its own fencing number goes on with its versions too. */
  if (rounds->last_version < (int64_t)fence * VERSIONS_OF_LEADER)
    rounds->last_version = (int64_t)fence * VERSIONS_OF_LEADER;
  set_phase (rounds, BT_GROUP_LOOKING, 0);
}

void
bt_limit_group_holds (bt_group_rounds_t *rounds, int64_t until_ms)
{
  rounds->hold_until_ms = until_ms;
}

void
bt_leave_group (bt_group_rounds_t *rounds)
{
  rounds->fence = 0;
  rounds->target = 0;
  rounds->phase = BT_GROUP_LOOKING;
}

static bool
is_armed (const rank_state_t *rank)
{
  return rank->report.armed_version != 0;
}

static bool
holds (const rank_state_t *rank)
{
  return rank->report.held_step != BT_NO_STEP;
}

/* True when all ranks are heard of lately, in one open group. */
static bool
is_group_whole (const bt_group_rounds_t *rounds, int64_t now_ms)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    {
      const rank_state_t *rank = &rounds->ranks[i];

      if (!rank->known || !rank->report.open || rank->report.epoch != rounds->ranks[0].report.epoch
          || now_ms - rank->heard_ms > rounds->settings.stale_ms)
        return false;
    }
  return true;
}

static bool
is_same_version (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 1; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.version != rounds->ranks[0].report.version)
      return false;
  return true;
}

static bool
is_anything_left (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (is_armed (&rounds->ranks[i]) || holds (&rounds->ranks[i]))
      return true;
  return false;
}

static bool
is_any_held (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (holds (&rounds->ranks[i]))
      return true;
  return false;
}

/* The first step for which a rank is armed; BT_NO_STEP when none is. */
static int64_t
find_armed_step (const bt_group_rounds_t *rounds)
{
  int64_t step = BT_NO_STEP;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (is_armed (&rounds->ranks[i])
        && (step == BT_NO_STEP || rounds->ranks[i].report.armed_step < step))
      step = rounds->ranks[i].report.armed_step;
  return step;
}

static void
start_clearing (bt_group_rounds_t *rounds, int64_t now_ms)
{
  rounds->target = 0;
  rounds->clearing = ++rounds->last_version;
  set_phase (rounds, BT_GROUP_CLEARING, now_ms);
}

/* The rank that holds the earliest step, where all hold. */
static int32_t
find_earliest_holder (const bt_group_rounds_t *rounds)
{
  int32_t best = 0;

  for (int32_t i = 1; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.held_step < rounds->ranks[best].report.held_step)
      best = i;
  return best;
}

/* The rank heard of last that holds nothing: its agent answers, and it can take a hold. */
static int32_t
choose_holder (const bt_group_rounds_t *rounds)
{
  int32_t best = NO_RANK;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (!holds (&rounds->ranks[i])
        && (best == NO_RANK || rounds->ranks[i].refusals < rounds->ranks[best].refusals
            || (rounds->ranks[i].refusals == rounds->ranks[best].refusals
                && rounds->ranks[i].heard_ms > rounds->ranks[best].heard_ms)))
      best = i;
  return best == NO_RANK ? find_earliest_holder (rounds) : best;
}

/* Makes sure of a hold before the armed step. Where every rank holds, because the answers to
 * earlier tries were lost, none can take another hold, and the group would stand for ever. One of
 * the holds is then taken over: its rank prepares a version of this leader, and refuses all earlier
 * leaders from then on. A hold later than the armed step would not do; that step comes by itself.
 */
static void
secure (bt_group_rounds_t *rounds, int64_t now_ms)
{
  const rank_state_t *rank;

  rounds->holder = choose_holder (rounds);
  rank = &rounds->ranks[rounds->holder];
  rounds->takes_hold = holds (rank);
  if (rounds->takes_hold && rank->report.held_step > rounds->step)
    return;
  if (rounds->takes_hold)
    rounds->clearing = ++rounds->last_version;
  else if (now_ms >= rounds->hold_until_ms)
    return;
  set_phase (rounds, BT_GROUP_SECURING, now_ms);
}

/* Decides what is to be done with a group that is whole, and with which no round is under way. What
 * another leader armed is taken back, even where it looks complete: that leader may be taking it
 * back itself. The ranks must not change meanwhile, so the group is first held before the step for
 * which they are armed. Is that refused, the step has begun. */
static void
look (bt_group_rounds_t *rounds, int64_t now_ms)
{
  rounds->target = 0;
  rounds->own_hold = false;
  rounds->epoch = rounds->ranks[0].report.epoch;
  if (!is_anything_left (rounds))
    {
      if (is_same_version (rounds))
        set_phase (rounds, BT_GROUP_CALM, now_ms);
      return;
    }
  rounds->step = find_armed_step (rounds);
  if (rounds->step == BT_NO_STEP)
    {
      start_clearing (rounds, now_ms);
      return;
    }
  secure (rounds, now_ms);
}

static int64_t
find_latest_step (const bt_group_rounds_t *rounds)
{
  int64_t step = BT_NO_STEP;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.step > step)
      step = rounds->ranks[i].report.step;
  return step;
}

static void
choose_step (bt_group_rounds_t *rounds, int64_t now_ms)
{
  int64_t latest = find_latest_step (rounds);

  /* A step is never used twice: an order for it may still be on its way. */
  if (latest < rounds->last_step)
    latest = rounds->last_step;
  rounds->step = latest + rounds->settings.hold_steps;
  rounds->last_step = rounds->step;
  rounds->own_hold = false;
  rounds->holder = choose_holder (rounds);
  set_phase (rounds, BT_GROUP_HOLDING, now_ms);
}

static bool
is_all_prepared (const bt_group_rounds_t *rounds, int64_t version)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.prepared != version)
      return false;
  return true;
}

static bool
is_rank_armed (const bt_group_rounds_t *rounds, const rank_state_t *rank)
{
  return rank->report.armed_version == rounds->target && rank->report.armed_step == rounds->step;
}

static bool
is_all_armed (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (!is_rank_armed (rounds, &rounds->ranks[i]))
      return false;
  return true;
}

static int32_t
count_most_refusals (const bt_group_rounds_t *rounds)
{
  int32_t most = 0;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].refusals > most)
      most = rounds->ranks[i].refusals;
  return most;
}

/* A rank that has prepared the clearing's version has accepted an order with this leader's fencing
 * number since, and refuses all that was sent before. */
static bool
is_bumped (const bt_group_rounds_t *rounds, const rank_state_t *rank)
{
  return rank->report.prepared == rounds->clearing;
}

static bool
is_cleared (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (is_armed (&rounds->ranks[i]) || !is_bumped (rounds, &rounds->ranks[i]))
      return false;
  return true;
}

/* True once this leader's hold is reported. It stays in force until this leader lets the group go:
 * every rank has prepared this leader's map by then, and refuses all earlier leaders. */
static bool
is_own_hold_seen (bt_group_rounds_t *rounds, int64_t now_ms)
{
  if (!rounds->own_hold && rounds->ranks[rounds->holder].report.held_step == rounds->step)
    {
      rounds->own_hold = true;
      rounds->seen_ms = now_ms;
      rounds->ask = true;
    }
  return rounds->own_hold;
}

/* True once the rank whose hold is taken over refuses all earlier leaders and still holds. */
static bool
is_hold_taken (const bt_group_rounds_t *rounds)
{
  const rank_state_t *rank = &rounds->ranks[rounds->holder];

  return rounds->takes_hold && is_bumped (rounds, rank) && !is_armed (rank) && holds (rank);
}

static void
advance_securing (bt_group_rounds_t *rounds, int64_t now_ms)
{
  const rank_state_t *rank = &rounds->ranks[rounds->holder];

  if (is_hold_taken (rounds))
    {
      rounds->own_hold = true;
      set_phase (rounds, BT_GROUP_CLEARING, now_ms);
    }
  else if (rounds->own_hold)
    start_clearing (rounds, now_ms);
  else if (rank->refusals > 0 || holds (rank) != rounds->takes_hold
           || find_latest_step (rounds) >= rounds->step
           || (!rounds->takes_hold && now_ms >= rounds->hold_until_ms))
    set_phase (rounds, BT_GROUP_LOOKING, now_ms);
}

/* Until this leader's hold is seen. An order that was lost is not sent again once the end of the
 * lease is near: it could hold the group with nobody in office. */
static void
advance_unheld (bt_group_rounds_t *rounds, int64_t now_ms)
{
  if (now_ms - rounds->phase_ms > rounds->settings.arm_limit_ms || now_ms >= rounds->hold_until_ms)
    set_phase (rounds, BT_GROUP_LOOKING, now_ms);
  else if (rounds->ranks[rounds->holder].refusals > 0 || find_latest_step (rounds) >= rounds->step)
    choose_step (rounds, now_ms);
}

/* True when every rank was heard of since the hold was seen. */
static bool
is_everyone_heard (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].heard_ms <= rounds->seen_ms)
      return false;
  return true;
}

/* Nothing is armed yet and nothing will be, so the group can be let go without knowing what became
 * of the silent rank. */
static void
give_hold_up (bt_group_rounds_t *rounds, int64_t now_ms)
{
  rounds->target = 0;
  set_phase (rounds, BT_GROUP_LETTING_GO, now_ms);
}

/* Moves from phase to phase as far as the reports allow. Each step waits for what it needs to be
 * seen in reports; that an order was sent or answered proves nothing. */
static void
advance (bt_group_rounds_t *rounds, int64_t now_ms)
{
  const int64_t taken_ms = now_ms - rounds->phase_ms;

  switch (rounds->phase)
    {
    case BT_GROUP_LOOKING:
      if (is_group_whole (rounds, now_ms))
        look (rounds, now_ms);
      break;
    case BT_GROUP_CALM:
      if (is_anything_left (rounds) || !is_same_version (rounds))
        set_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    case BT_GROUP_PREPARING:
      if (is_all_prepared (rounds, rounds->target) && now_ms < rounds->hold_until_ms)
        choose_step (rounds, now_ms);
      else if (taken_ms > rounds->settings.prepare_limit_ms
               || count_most_refusals (rounds) >= MOST_REFUSALS)
        set_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    case BT_GROUP_HOLDING:
      if (is_own_hold_seen (rounds, now_ms) && is_everyone_heard (rounds))
        set_phase (rounds, BT_GROUP_ARMING, now_ms);
      else if (rounds->own_hold)
        {
          if (now_ms - rounds->seen_ms > rounds->settings.silence_ms)
            give_hold_up (rounds, now_ms);
        }
      else
        advance_unheld (rounds, now_ms);
      break;
    case BT_GROUP_ARMING:
      if (is_all_armed (rounds))
        set_phase (rounds, BT_GROUP_LETTING_GO, now_ms);
      else if (taken_ms > rounds->settings.arm_limit_ms)
        start_clearing (rounds, now_ms);
      break;
    case BT_GROUP_LETTING_GO:
      rounds->own_hold = false;
      if (!is_any_held (rounds))
        set_phase (rounds, BT_GROUP_SETTLING, now_ms);
      break;
    case BT_GROUP_SETTLING:
      if (!is_anything_left (rounds) && is_same_version (rounds))
        set_phase (rounds, BT_GROUP_CALM, now_ms);
      else if (is_any_held (rounds))
        set_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    case BT_GROUP_SECURING:
      advance_securing (rounds, now_ms);
      break;
    case BT_GROUP_CLEARING:
      if (find_armed_step (rounds) != BT_NO_STEP && !rounds->own_hold)
        set_phase (rounds, BT_GROUP_LOOKING, now_ms);
      else if (is_cleared (rounds) && !is_any_held (rounds))
        set_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    }
}

/* Remembers the steps that orders of any leader have named. An order to let the group go may be on
 * its way for seconds; a hold before the same step would be taken back by it. */
static void
note_steps (bt_group_rounds_t *rounds, const bt_rank_report_t *report)
{
  if (report->held_step > rounds->last_step)
    rounds->last_step = report->held_step;
  if (report->armed_version != 0 && report->armed_step > rounds->last_step)
    rounds->last_step = report->armed_step;
}

/* A group that was formed anew has dropped all maps, holds and arms. */
static void
notice_epoch (bt_group_rounds_t *rounds, const bt_rank_report_t *report, int64_t now_ms)
{
  if (rounds->phase == BT_GROUP_LOOKING || (report->open && report->epoch == rounds->epoch))
    return;
  rounds->target = 0;
  set_phase (rounds, BT_GROUP_LOOKING, now_ms);
}

/* An engine that was started anew has the first map, nothing prepared, armed or held, and counts
 * its orders from zero. An order that names the count of before could by chance fit the new one,
 * and an order that was accepted before has no effect to wait for. */
static void
notice_start (bt_group_rounds_t *rounds,
              rank_state_t *state,
              const bt_rank_report_t *report,
              int64_t now_ms)
{
  if (!state->known || state->report.started_ms == report->started_ms)
    return;
  state->order_id = 0;
  rounds->target = 0;
  rounds->own_hold = false;
  set_phase (rounds, BT_GROUP_LOOKING, now_ms);
}

void
bt_take_rank_report (bt_group_rounds_t *rounds,
                     int32_t rank,
                     const bt_rank_report_t *report,
                     int64_t now_ms)
{
  rank_state_t *state;

  if (rounds->fence == 0 || rank < 0 || rank >= rounds->settings.ranks)
    return;
  state = &rounds->ranks[rank];
  notice_start (rounds, state, report, now_ms);
  state->known = true;
  state->report = *report;
  state->heard_ms = now_ms;
  note_steps (rounds, report);
  notice_epoch (rounds, report, now_ms);
  advance (rounds, now_ms);
}

/* The rank that an order under way is for; NULL for one that is no longer waited for. */
static rank_state_t *
find_order (bt_group_rounds_t *rounds, uint64_t id)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (id != 0 && rounds->ranks[i].order_id == id)
      return &rounds->ranks[i];
  return NULL;
}

void
bt_take_group_order_result (bt_group_rounds_t *rounds,
                            int32_t rank,
                            uint64_t id,
                            bt_order_result_t result,
                            const bt_rank_report_t *report,
                            int64_t now_ms)
{
  rank_state_t *state;

  if (rounds->fence == 0 || rank < 0 || rank >= rounds->settings.ranks)
    return;
  state = find_order (rounds, id);
  if (state != NULL)
    {
      state->order_id = 0;
      state->accepted = result == BT_ORDER_DONE;
      if (result == BT_ORDER_REFUSED)
        state->refusals++;
      if (result == BT_ORDER_FENCED)
        rounds->fenced = true;
      /* Only an order that was accepted at the count of a report without a hold proves that the
       * hold is this leader's own; one that is merely seen may be another's, who can take it back.
       */
      if (result == BT_ORDER_DONE && rounds->phase == BT_GROUP_SECURING && !rounds->takes_hold)
        rounds->own_hold = true;
      /* The answer comes from another rank's agent: that the group is held is for the holder's own
       * to say. */
      rounds->ask = rounds->ask || rounds->phase == BT_GROUP_HOLDING;
    }
  bt_take_rank_report (rounds, rank, report, now_ms);
}

int64_t
bt_begin_group_round (bt_group_rounds_t *rounds, int64_t now_ms)
{
  if (rounds->fence == 0 || rounds->phase != BT_GROUP_CALM || !is_group_whole (rounds, now_ms)
      || rounds->last_version + 2 >= ((int64_t)rounds->fence + 1) * VERSIONS_OF_LEADER)
    return 0;
  rounds->target = ++rounds->last_version;
  set_phase (rounds, BT_GROUP_PREPARING, now_ms);
  return rounds->target;
}

/* What a rank is to be ordered while a round that was given up is cleared: disarm first, since an
 * armed rank prepares nothing; then another version, which raises its count; when that is done
 * everywhere, the group is let go. */
static bool
get_clearing_order (const bt_group_rounds_t *rounds, int32_t index, bt_group_order_t *order)
{
  const rank_state_t *rank = &rounds->ranks[index];

  if (is_armed (rank))
    {
      order->kind = BT_GROUP_DISARM;
      order->version = rank->report.armed_version;
      return true;
    }
  if (!is_bumped (rounds, rank))
    {
      order->kind = BT_GROUP_PREPARE;
      order->version = rounds->clearing;
      return true;
    }
  order->kind = BT_GROUP_GO;
  order->step = rank->report.held_step;
  return holds (rank) && is_cleared (rounds);
}

/* The rank whose agent gives the hold: another one with each try, never the holder's own unless it
 * is alone. */
static int32_t
choose_giver (const bt_group_rounds_t *rounds)
{
  int32_t others = rounds->settings.ranks - 1;

  if (others == 0)
    return rounds->holder;
  return (rounds->holder + 1 + rounds->hold_tries % others) % rounds->settings.ranks;
}

/* What a rank is to be ordered now, if anything. */
static bool
get_order (const bt_group_rounds_t *rounds, int32_t index, bt_group_order_t *order)
{
  const rank_state_t *rank = &rounds->ranks[index];

  order->version = rounds->target;
  order->step = rounds->step;
  switch (rounds->phase)
    {
    case BT_GROUP_PREPARING:
      order->kind = BT_GROUP_PREPARE;
      return rank->report.prepared != rounds->target;
    case BT_GROUP_SECURING:
      if (rounds->takes_hold)
        return index == rounds->holder && get_clearing_order (rounds, index, order);
      /* fall through */
    case BT_GROUP_HOLDING:
      order->kind = BT_GROUP_HOLD;
      order->via = choose_giver (rounds);
      return index == rounds->holder && !rounds->own_hold;
    case BT_GROUP_ARMING:
      order->kind = BT_GROUP_ARM;
      return !is_rank_armed (rounds, rank);
    case BT_GROUP_LETTING_GO:
      order->kind = BT_GROUP_GO;
      order->step = rank->report.held_step;
      return holds (rank);
    case BT_GROUP_CLEARING:
      return get_clearing_order (rounds, index, order);
    default:
      return false;
    }
}

static bool
is_order_due (const bt_group_rounds_t *rounds, const rank_state_t *rank, int64_t now_ms)
{
  /* The effect of an order that was accepted shows in a later report: a copy takes its time. */
  return rank->known
         && ((rank->order_id == 0 && !rank->accepted)
             || now_ms - rank->sent_ms >= rounds->settings.resend_ms);
}

bool
bt_next_group_order (bt_group_rounds_t *rounds, int64_t now_ms, bt_group_order_t *order)
{
  if (rounds->fence == 0 || rounds->fenced)
    return false;
  advance (rounds, now_ms);
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    {
      rank_state_t *rank = &rounds->ranks[i];

      memset (order, 0, sizeof *order);
      order->via = i;
      if (!is_order_due (rounds, rank, now_ms) || !get_order (rounds, i, order))
        continue;
      order->rank = i;
      order->id = ++rounds->last_order_id;
      order->fence = rounds->fence;
      order->epoch = rounds->epoch;
      order->sequence = rank->report.sequence;
      order->started_ms = rank->report.started_ms;
      rank->order_id = order->id;
      rank->accepted = false;
      rank->sent_ms = now_ms;
      rounds->hold_tries += order->kind == BT_GROUP_HOLD ? 1 : 0;
      return true;
    }
  return false;
}

bt_group_phase_t
bt_get_group_phase (const bt_group_rounds_t *rounds)
{
  return rounds->phase;
}

bool
bt_take_group_ask (bt_group_rounds_t *rounds)
{
  bool ask = rounds->ask;

  rounds->ask = false;
  return ask;
}

int64_t
bt_get_group_target (const bt_group_rounds_t *rounds)
{
  return rounds->target;
}

int64_t
bt_get_group_version (const bt_group_rounds_t *rounds)
{
  if (rounds->phase == BT_GROUP_LOOKING || !is_same_version (rounds))
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
