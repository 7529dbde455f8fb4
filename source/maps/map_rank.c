#include "bilberrytray/maps/map_rank.h"

#include <string.h>

/** Why a call to the engine was made; determines how its answer is handled. */
typedef enum call_purpose
{
  CALL_NONE = 0,
  CALL_START,  /* first query of the engine's state */
  CALL_ORDER,  /* a controller's order */
  CALL_ANSWER, /* query of the decision for an asking rank */
  CALL_SETTLE, /* a decision learned from rank 0, or made by it, without a controller */
} call_purpose_t;

struct bt_map_rank
{
  bt_map_rank_settings_t settings;
  uint64_t floor;               /* highest fencing number seen; lower ones are refused */
  bt_round_id_t newest_round;   /* highest round staged or armed */
  bt_round_id_t newest_dropped; /* highest round dropped through this agent */
  bool floor_read;
  bool engine_known;
  bt_engine_state_t engine; /* last known state */
  int64_t ready_ms;         /* the engine is not called before this time */
  int64_t next_read_ms;     /* time of the next READ_FLOOR */

  uint64_t call; /* number of the last call */
  call_purpose_t purpose;
  int64_t called_ms;
  bt_map_order_t order; /* the order that the engine is executing */
  bt_map_ask_t pending_question;

  uint64_t nonce; /* nonce of the pending question; 0: none */
  uint64_t last_nonce;
  int64_t ask_ms;             /* time of the next question */
  int64_t undecided_since_ms; /* when this agent first saw the armed round undecided */
  bt_round_id_t asked_round;  /* rank 0: the undecided round that ranks ask about */
  int64_t asked_since_ms;     /* rank 0: when they began to ask about it */
  bt_round_id_t remembered;   /* NO_DECISION_IN_ENGINE: replaces the engine's decision */
  bool remembered_apply;
};

enum
{
  READ_RETRY_MS = 200,
};

static bool
has_option (const bt_map_rank_t *rank, bt_map_option_t option)
{
  return (rank->settings.test_options & (uint32_t)option) != 0;
}

bt_map_rank_t *
bt_new_map_rank (bt_context_t *ctx, const bt_map_rank_settings_t *settings, int64_t now_ms)
{
  bt_map_rank_t *rank = bt_calloc (ctx, 1, sizeof *rank);

  rank->settings = *settings;
  rank->ready_ms = now_ms + settings->settle_ms;
  rank->next_read_ms = now_ms;
  rank->floor_read = has_option (rank, BT_MAP_NO_FLOOR);
  return rank;
}

void
bt_drop_map_rank (bt_context_t *ctx, bt_map_rank_t *rank)
{
  bt_free (ctx, rank);
}

bool
bt_is_map_rank_ready (const bt_map_rank_t *rank)
{
  return rank->floor_read && rank->engine_known;
}

const bt_engine_state_t *
bt_get_map_rank_engine (const bt_map_rank_t *rank)
{
  return &rank->engine;
}

static void
call_engine (bt_context_t *ctx,
             bt_map_rank_t *rank,
             call_purpose_t purpose,
             const bt_map_order_t *order,
             int64_t now_ms,
             bt_map_actions_t *actions)
{
  bt_map_action_t *action = bt_add_map_action (ctx, actions, BT_MAP_ENGINE_ORDER);

  rank->call++;
  rank->purpose = purpose;
  rank->called_ms = now_ms;
  rank->order = *order;
  action->call = rank->call;
  action->order = *order;
  action->order.hold = !has_option (rank, BT_MAP_NO_HOLD);
}

static void
raise_newest_round (bt_map_rank_t *rank, bt_round_id_t round)
{
  if (bt_compare_rounds (round, rank->newest_round) > 0)
    rank->newest_round = round;
}

/* Takes over the engine's state. A restarted agent has lost the fencing numbers and rounds it had
 * seen, and would accept a delayed order of an old controller. The engine's state and one read from
 * the lease service restore the floor, even where the engine itself ignores fencing numbers. */
static void
update_state (bt_map_rank_t *rank, const bt_engine_state_t *state, int64_t now_ms)
{
  bool was_undecided = bt_is_undecided (&rank->engine);

  if (rank->engine_known && state->incarnation != rank->engine.incarnation)
    rank->nonce = 0;
  rank->engine = *state;
  rank->engine_known = true;
  /* An engine might keep no record of a round that was dropped before the engine was armed for
   * it. */
  if (bt_compare_rounds (rank->newest_dropped, state->decided) > 0)
    {
      rank->engine.decided = rank->newest_dropped;
      rank->engine.decided_apply = false;
    }
  if (bt_is_undecided (state) && !was_undecided)
    {
      rank->undecided_since_ms = now_ms;
      rank->ask_ms = now_ms + rank->settings.ask_ms;
    }
  if (has_option (rank, BT_MAP_NO_FLOOR))
    return;
  raise_newest_round (rank, state->staged);
  raise_newest_round (rank, state->armed);
  raise_newest_round (rank, state->in_use);
  if (rank->newest_round.fence > rank->floor)
    rank->floor = rank->newest_round.fence;
}

void
bt_handle_map_floor (bt_map_rank_t *rank, uint64_t fence)
{
  rank->floor_read = true;
  if (fence > rank->floor)
    rank->floor = fence;
}

static void
send_report (bt_context_t *ctx,
             bt_map_rank_t *rank,
             const bt_map_order_t *order,
             bt_map_refusal_t refusal,
             bt_map_actions_t *actions)
{
  bt_map_action_t *action = bt_add_map_action (ctx, actions, BT_MAP_REPORT);

  action->report.rank = rank->settings.rank;
  action->report.fence = order->fence;
  action->report.id = order->id;
  action->report.floor = rank->floor;
  action->report.agent = rank->settings.incarnation;
  action->report.refusal = refusal;
  action->report.engine = rank->engine;
}

/* Finds the decision of a round as far as this agent knows it; false when there is none. On rank 0,
 * a round older than one that its engine has staged, armed, decided or in use was dropped: it was
 * not armed here when the next one came, and can no longer be armed. */
static bool
find_decision (const bt_map_rank_t *rank, bt_round_id_t round, bool *apply)
{
  const bt_engine_state_t *engine = &rank->engine;

  *apply = false;
  if (has_option (rank, BT_MAP_NO_DECISION_IN_ENGINE)
      && bt_compare_rounds (rank->remembered, round) == 0)
    {
      *apply = rank->remembered_apply;
      return true;
    }
  if (bt_compare_rounds (engine->in_use, round) == 0)
    {
      *apply = true;
      return true;
    }
  if (bt_compare_rounds (engine->decided, round) == 0)
    {
      *apply = engine->decided_apply;
      return true;
    }
  return bt_compare_rounds (engine->decided, round) > 0
         || bt_compare_rounds (engine->in_use, round) > 0
         || bt_compare_rounds (engine->armed, round) > 0
         || bt_compare_rounds (engine->staged, round) > 0;
}

static bt_map_refusal_t
check_stage (const bt_map_rank_t *rank, const bt_map_order_t *order)
{
  const bt_engine_state_t *engine = &rank->engine;

  if (engine->joined && order->round.fence != order->fence)
    return BT_MAP_OLD_ROUND;
  if (bt_compare_rounds (order->round, rank->newest_round) < 0
      || bt_compare_rounds (order->round, engine->in_use) <= 0)
    return BT_MAP_OLD_ROUND;
  return bt_is_null_round (engine->armed) ? BT_MAP_ACCEPTED : BT_MAP_ARMED_OTHER;
}

static bt_map_refusal_t
check_arm (const bt_map_rank_t *rank, const bt_map_order_t *order)
{
  const bt_engine_state_t *engine = &rank->engine;

  if (order->round.fence != order->fence || bt_compare_rounds (order->round, rank->newest_round) < 0
      || bt_compare_rounds (order->round, engine->decided) <= 0)
    return BT_MAP_OLD_ROUND;
  if (bt_compare_rounds (order->round, engine->staged) != 0)
    return BT_MAP_NOT_STAGED;
  if (!bt_is_null_round (engine->armed) && bt_compare_rounds (order->round, engine->armed) != 0)
    return BT_MAP_ARMED_OTHER;
  return order->step > engine->next_step ? BT_MAP_ACCEPTED : BT_MAP_TOO_LATE;
}

static bt_map_refusal_t
check_decide (const bt_map_rank_t *rank, const bt_map_order_t *order)
{
  const bt_engine_state_t *engine = &rank->engine;
  bool armed = bt_compare_rounds (order->round, engine->armed) == 0;
  bool apply;

  if (rank->settings.rank != 0)
    return BT_MAP_NOT_DECIDER;
  /* The first decision is final; the report shows it. */
  if (find_decision (rank, order->round, &apply))
    return BT_MAP_OLD_ROUND;
  if (order->apply && !armed)
    return BT_MAP_NOT_ARMED;
  if (!armed && !bt_is_null_round (engine->armed))
    return BT_MAP_ARMED_OTHER;
  return BT_MAP_ACCEPTED;
}

static bt_map_refusal_t
check_learn (const bt_map_rank_t *rank, const bt_map_order_t *order)
{
  const bt_engine_state_t *engine = &rank->engine;

  if (bt_compare_rounds (order->round, engine->decided) <= 0)
    return BT_MAP_OLD_ROUND;
  if (!bt_is_null_round (engine->armed) && bt_compare_rounds (order->round, engine->armed) != 0)
    return BT_MAP_ARMED_OTHER;
  if (!order->apply || !bt_is_null_round (engine->armed))
    return BT_MAP_ACCEPTED;
  if (engine->joined)
    return BT_MAP_NOT_ARMED;
  return bt_compare_rounds (order->round, engine->staged) == 0 ? BT_MAP_ACCEPTED
                                                               : BT_MAP_NOT_STAGED;
}

static bt_map_refusal_t
check_kind (const bt_map_rank_t *rank, const bt_map_order_t *order)
{
  switch (order->kind)
    {
    case BT_MAP_STAGE:
      return check_stage (rank, order);
    case BT_MAP_ARM:
      return check_arm (rank, order);
    case BT_MAP_DECIDE:
      return check_decide (rank, order);
    case BT_MAP_LEARN:
      return check_learn (rank, order);
    case BT_MAP_CANCEL:
      return bt_compare_rounds (order->round, rank->engine.armed) == 0 ? BT_MAP_ARMED_OTHER
                                                                       : BT_MAP_ACCEPTED;
    case BT_MAP_JOIN:
      return rank->engine.joined ? BT_MAP_ALREADY_JOINED : BT_MAP_ACCEPTED;
    default:
      return BT_MAP_ACCEPTED;
    }
}

/* Checks an order. A controller that was paused beyond its lease resumes where it stopped, and its
 * orders would follow those of its successor, so each agent refuses fencing numbers below the
 * highest it has seen. An order for a replaced engine was based on the old engine's state and is
 * refused. So is an order for the agent before its restart, since that agent may have dropped the
 * round of the order and told other ranks so. */
static bt_map_refusal_t
check_order (const bt_map_rank_t *rank, const bt_map_order_t *order)
{
  if (!bt_is_map_rank_ready (rank))
    return BT_MAP_STARTING;
  if (order->fence < rank->floor && !has_option (rank, BT_MAP_NO_FENCE))
    return BT_MAP_FENCED;
  if (order->kind != BT_MAP_QUERY && order->incarnation != rank->engine.incarnation)
    return BT_MAP_WRONG_ENGINE;
  if (order->kind != BT_MAP_QUERY && order->agent != rank->settings.incarnation
      && !has_option (rank, BT_MAP_NO_FLOOR))
    return BT_MAP_WRONG_AGENT;
  if (rank->purpose != CALL_NONE)
    return BT_MAP_BUSY;
  return check_kind (rank, order);
}

void
bt_handle_map_order (bt_context_t *ctx,
                     bt_map_rank_t *rank,
                     const bt_map_order_t *order,
                     int64_t now_ms,
                     bt_map_actions_t *actions)
{
  bt_map_refusal_t refusal = check_order (rank, order);

  if (refusal != BT_MAP_STARTING && refusal != BT_MAP_FENCED && order->fence > rank->floor)
    rank->floor = order->fence;
  if (refusal != BT_MAP_ACCEPTED)
    {
      send_report (ctx, rank, order, refusal, actions);
      return;
    }
  if (order->kind == BT_MAP_STAGE || order->kind == BT_MAP_ARM)
    raise_newest_round (rank, order->round);
  /* The controller may act on this report, so the answer to an earlier question must be ignored. */
  rank->nonce = 0;
  if (order->kind == BT_MAP_DECIDE && has_option (rank, BT_MAP_NO_DECISION_IN_ENGINE))
    {
      rank->remembered = order->round;
      rank->remembered_apply = order->apply;
      rank->engine.decided = order->round;
      rank->engine.decided_apply = order->apply;
      send_report (ctx, rank, order, BT_MAP_ACCEPTED, actions);
      return;
    }
  call_engine (ctx, rank, CALL_ORDER, order, now_ms, actions);
}

static void
forget_engine (bt_map_rank_t *rank, int64_t now_ms)
{
  rank->purpose = CALL_NONE;
  rank->engine_known = false;
  rank->ready_ms = now_ms + rank->settings.settle_ms;
}

static void
send_drop (bt_context_t *ctx,
           bt_map_rank_t *rank,
           call_purpose_t purpose,
           bt_map_order_kind_t kind,
           bt_round_id_t round,
           int64_t now_ms,
           bt_map_actions_t *actions)
{
  bt_map_order_t order = { kind, rank->settings.rank };

  order.incarnation = rank->engine.incarnation;
  order.round = round;
  call_engine (ctx, rank, purpose, &order, now_ms, actions);
}

/* Drops a round whose controller is presumed dead, once ranks have asked about it for
 * give_up_ms: the controller died between arming and deciding, the lease service is down so that no
 * successor takes over, and the armed ranks would hold forever. Rank 0 may drop the round by
 * itself: the round is decided only there, so no rank can have been told otherwise. No other rank
 * may do so. */
static void
drop_abandoned_round (bt_context_t *ctx,
                      bt_map_rank_t *rank,
                      bt_round_id_t round,
                      int64_t now_ms,
                      bt_map_actions_t *actions)
{
  bt_map_order_t order = { BT_MAP_DECIDE };

  order.round = round;
  if (bt_compare_rounds (round, rank->asked_round) != 0)
    {
      rank->asked_round = round;
      rank->asked_since_ms = now_ms;
    }
  if (rank->engine.joined && now_ms - rank->asked_since_ms >= rank->settings.give_up_ms
      && check_decide (rank, &order) == BT_MAP_ACCEPTED)
    send_drop (ctx, rank, CALL_SETTLE, BT_MAP_DECIDE, round, now_ms, actions);
}

static void
answer_question (bt_context_t *ctx, bt_map_rank_t *rank, int64_t now_ms, bt_map_actions_t *actions)
{
  bt_map_tell_t tell = { rank->pending_question };
  bool known = rank->engine.joined && find_decision (rank, tell.ask.round, &tell.apply);

  if (known)
    bt_add_map_action (ctx, actions, BT_MAP_TELL)->tell = tell;
  else
    drop_abandoned_round (ctx, rank, tell.ask.round, now_ms, actions);
}

void
bt_handle_engine_answer (bt_context_t *ctx,
                         bt_map_rank_t *rank,
                         uint64_t call,
                         bool accepted,
                         const bt_engine_state_t *state,
                         int64_t now_ms,
                         bt_map_actions_t *actions)
{
  call_purpose_t purpose = rank->purpose;
  bt_map_order_t order = rank->order;

  if (call != rank->call || purpose == CALL_NONE)
    return;
  rank->purpose = CALL_NONE;
  if (state == NULL)
    {
      forget_engine (rank, now_ms);
      if (purpose == CALL_ORDER)
        send_report (ctx, rank, &order, BT_MAP_ENGINE_REFUSED, actions);
      return;
    }
  if (accepted && !order.apply && (order.kind == BT_MAP_DECIDE || order.kind == BT_MAP_LEARN)
      && bt_compare_rounds (order.round, rank->newest_dropped) > 0)
    rank->newest_dropped = order.round;
  update_state (rank, state, now_ms);
  if (purpose == CALL_ORDER)
    send_report (ctx, rank, &order, accepted ? BT_MAP_ACCEPTED : BT_MAP_ENGINE_REFUSED, actions);
  else if (purpose == CALL_ANSWER)
    answer_question (ctx, rank, now_ms, actions);
}

void
bt_handle_map_ask (bt_context_t *ctx,
                   bt_map_rank_t *rank,
                   const bt_map_ask_t *ask,
                   int64_t now_ms,
                   bt_map_actions_t *actions)
{
  bt_map_order_t query = { BT_MAP_QUERY };

  if (rank->settings.rank != 0 || !rank->engine_known || rank->purpose != CALL_NONE)
    return;
  rank->pending_question = *ask;
  /* The engine is queried rather than this agent's memory, since it may have been replaced
   * since. */
  call_engine (ctx, rank, CALL_ANSWER, &query, now_ms, actions);
}

void
bt_handle_map_tell (bt_context_t *ctx,
                    bt_map_rank_t *rank,
                    const bt_map_tell_t *tell,
                    int64_t now_ms,
                    bt_map_actions_t *actions)
{
  bt_map_order_t order = { BT_MAP_LEARN, rank->settings.rank };

  if (rank->purpose != CALL_NONE || !rank->engine_known || rank->nonce == 0
      || tell->ask.nonce != rank->nonce || tell->ask.incarnation != rank->settings.incarnation
      || !bt_is_undecided (&rank->engine)
      || bt_compare_rounds (tell->ask.round, rank->engine.armed) != 0)
    return;
  rank->nonce = 0;
  order.incarnation = rank->engine.incarnation;
  order.round = tell->ask.round;
  order.step = rank->engine.armed_step;
  order.apply = tell->apply;
  call_engine (ctx, rank, CALL_SETTLE, &order, now_ms, actions);
}

static void
ask_rank_0 (bt_context_t *ctx, bt_map_rank_t *rank, int64_t now_ms, bt_map_actions_t *actions)
{
  bt_map_ask_t ask = { rank->settings.rank, rank->settings.incarnation };

  rank->ask_ms = now_ms + rank->settings.ask_ms;
  rank->nonce = ++rank->last_nonce;
  ask.nonce = rank->nonce;
  ask.round = rank->engine.armed;
  /* Rank 0 asks itself, so that its own abandoned round also ends. */
  if (rank->settings.rank == 0)
    bt_handle_map_ask (ctx, rank, &ask, now_ms, actions);
  else
    bt_add_map_action (ctx, actions, BT_MAP_ASK)->ask = ask;
}

static void
tick_undecided (bt_context_t *ctx, bt_map_rank_t *rank, int64_t now_ms, bt_map_actions_t *actions)
{
  if (has_option (rank, BT_MAP_DECIDE_BY_TIMEOUT)
      && now_ms - rank->undecided_since_ms >= rank->settings.give_up_ms)
    {
      send_drop (ctx, rank, CALL_SETTLE, BT_MAP_LEARN, rank->engine.armed, now_ms, actions);
      return;
    }
  if (now_ms >= rank->ask_ms)
    ask_rank_0 (ctx, rank, now_ms, actions);
}

void
bt_tick_map_rank (bt_context_t *ctx, bt_map_rank_t *rank, int64_t now_ms, bt_map_actions_t *actions)
{
  bt_map_order_t query = { BT_MAP_QUERY };

  if (!rank->floor_read && now_ms >= rank->next_read_ms)
    {
      rank->next_read_ms = now_ms + READ_RETRY_MS;
      bt_add_map_action (ctx, actions, BT_MAP_READ_FLOOR);
    }
  if (rank->purpose != CALL_NONE)
    {
      if (now_ms - rank->called_ms >= rank->settings.call_limit_ms)
        forget_engine (rank, now_ms);
      return;
    }
  if (!rank->engine_known && now_ms >= rank->ready_ms)
    call_engine (ctx, rank, CALL_START, &query, now_ms, actions);
  else if (rank->engine_known && rank->engine.joined && bt_is_undecided (&rank->engine))
    tick_undecided (ctx, rank, now_ms, actions);
}
