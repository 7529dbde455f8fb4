#include "map_messages.h"

#include <stdio.h>

#include "bilberrytray/maps/expert_map.h"

static bt_round_id_t
read_round (const Bilberry__MapRound *frame)
{
  return frame == NULL ? (bt_round_id_t){ 0 } : (bt_round_id_t){ frame->fence, frame->sequence };
}

static void
fill_round (Bilberry__MapRound *frame, bt_round_id_t round)
{
  bilberry__map_round__init (frame);
  frame->fence = round.fence;
  frame->sequence = round.sequence;
}

static bool
read_kind (Bilberry__MapOrder__Kind frame, bt_map_order_kind_t *kind)
{
  static const bt_map_order_kind_t kinds[] = {
    [BILBERRY__MAP_ORDER__KIND__STAGE] = BT_MAP_STAGE,
    [BILBERRY__MAP_ORDER__KIND__ARM] = BT_MAP_ARM,
    [BILBERRY__MAP_ORDER__KIND__DECIDE] = BT_MAP_DECIDE,
    [BILBERRY__MAP_ORDER__KIND__LEARN] = BT_MAP_LEARN,
    [BILBERRY__MAP_ORDER__KIND__CANCEL] = BT_MAP_CANCEL,
    [BILBERRY__MAP_ORDER__KIND__QUERY] = BT_MAP_QUERY,
    [BILBERRY__MAP_ORDER__KIND__LOAD_MODEL] = BT_MAP_LOAD_MODEL,
    [BILBERRY__MAP_ORDER__KIND__LOAD_ADAPTER] = BT_MAP_LOAD_ADAPTER,
    [BILBERRY__MAP_ORDER__KIND__SET_VERSION] = BT_MAP_SET_VERSION,
    [BILBERRY__MAP_ORDER__KIND__SET_ROLE] = BT_MAP_SET_ROLE,
    [BILBERRY__MAP_ORDER__KIND__JOIN] = BT_MAP_JOIN
  };

  if (frame < 0 || (size_t)frame >= sizeof kinds / sizeof kinds[0])
    return false;
  *kind = kinds[frame];
  return true;
}

bool
bt_read_map_order (const Bilberry__MapOrder *frame, bt_map_order_t *order)
{
  if (!read_kind (frame->kind, &order->kind) || frame->rank >= BT_MAX_RANKS)
    return false;
  order->rank = (int32_t)frame->rank;
  order->fence = frame->fence;
  order->id = frame->id;
  order->incarnation = frame->engine;
  order->agent = frame->target_incarnation;
  order->round = (bt_round_id_t){ frame->round_fence, frame->round };
  order->step = frame->step;
  order->digest = frame->digest;
  order->apply = frame->apply;
  snprintf (order->argument, sizeof order->argument, "%s", frame->argument);
  return true;
}

void
bt_read_map_ask (const Bilberry__MapAsk *frame, bt_map_ask_t *ask)
{
  ask->rank = (int32_t)frame->rank;
  ask->incarnation = frame->incarnation;
  ask->nonce = frame->nonce;
  ask->round = read_round (frame->round);
}

void
bt_read_map_tell (const Bilberry__MapTell *frame, bt_map_tell_t *tell)
{
  if (frame->ask != NULL)
    bt_read_map_ask (frame->ask, &tell->ask);
  tell->apply = frame->apply;
}

void
bt_send_map_report (bt_context_t *ctx,
                    bt_link_t *link,
                    const char *group,
                    const bt_map_report_t *report)
{
  const bt_engine_state_t *state = &report->engine;
  Bilberry__MapReport message = BILBERRY__MAP_REPORT__INIT;
  Bilberry__MapEngine engine = BILBERRY__MAP_ENGINE__INIT;
  Bilberry__MapRound rounds[4];
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  fill_round (&rounds[0], state->in_use);
  fill_round (&rounds[1], state->staged);
  fill_round (&rounds[2], state->armed);
  fill_round (&rounds[3], state->decided);
  engine.incarnation = state->incarnation;
  engine.joined = state->joined;
  engine.next_step = state->next_step;
  engine.in_use = &rounds[0];
  engine.in_use_digest = state->in_use_digest;
  engine.staged = &rounds[1];
  engine.staged_digest = state->staged_digest;
  engine.armed = &rounds[2];
  engine.armed_step = state->armed_step;
  engine.decided = &rounds[3];
  engine.decided_apply = state->decided_apply;
  message.group = (char *)group;
  message.rank = (uint32_t)report->rank;
  message.fence = report->floor;
  message.order_fence = report->fence;
  message.id = report->id;
  message.agent = report->agent;
  message.accepted = report->refusal == BT_MAP_ACCEPTED;
  message.refusal = (uint32_t)report->refusal;
  message.message = (char *)bt_name_map_refusal (report->refusal);
  message.engine = &engine;
  frame.body_case = BILBERRY__FRAME__BODY_MAP_REPORT;
  frame.map_report = &message;
  bt_send_frame (ctx, link, &frame);
}

void
bt_send_map_loads (bt_context_t *ctx,
                   bt_link_t *link,
                   const char *group,
                   int64_t rank,
                   const bt_map_loads_t *loads)
{
  Bilberry__MapReport message = BILBERRY__MAP_REPORT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  message.group = (char *)group;
  message.rank = (uint32_t)rank;
  message.layers = (uint32_t)loads->layers;
  message.experts = (uint32_t)loads->experts;
  message.n_expert_load = (size_t)loads->layers * (size_t)loads->experts;
  message.expert_load = loads->tokens;
  frame.body_case = BILBERRY__FRAME__BODY_MAP_REPORT;
  frame.map_report = &message;
  bt_send_frame (ctx, link, &frame);
}

static void
fill_ask (Bilberry__MapAsk *message,
          Bilberry__MapRound *round,
          const char *group,
          const bt_map_ask_t *ask)
{
  bilberry__map_ask__init (message);
  fill_round (round, ask->round);
  message->group = (char *)group;
  message->rank = (uint32_t)ask->rank;
  message->incarnation = ask->incarnation;
  message->nonce = ask->nonce;
  message->round = round;
}

void
bt_send_map_ask (bt_context_t *ctx, bt_link_t *link, const char *group, const bt_map_ask_t *ask)
{
  Bilberry__MapAsk message;
  Bilberry__MapRound round;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  fill_ask (&message, &round, group, ask);
  frame.body_case = BILBERRY__FRAME__BODY_MAP_ASK;
  frame.map_ask = &message;
  bt_send_frame (ctx, link, &frame);
}

void
bt_send_map_tell (bt_context_t *ctx, bt_link_t *link, const char *group, const bt_map_tell_t *tell)
{
  Bilberry__MapTell message = BILBERRY__MAP_TELL__INIT;
  Bilberry__MapAsk ask;
  Bilberry__MapRound round;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  fill_ask (&ask, &round, group, &tell->ask);
  message.ask = &ask;
  message.apply = tell->apply;
  frame.body_case = BILBERRY__FRAME__BODY_MAP_TELL;
  frame.map_tell = &message;
  bt_send_frame (ctx, link, &frame);
}
