#include "map_messages.h"

static const Bilberry__MapOrder__Kind kinds[] = {
  [BT_MAP_STAGE] = BILBERRY__MAP_ORDER__KIND__STAGE,
  [BT_MAP_ARM] = BILBERRY__MAP_ORDER__KIND__ARM,
  [BT_MAP_DECIDE] = BILBERRY__MAP_ORDER__KIND__DECIDE,
  [BT_MAP_LEARN] = BILBERRY__MAP_ORDER__KIND__LEARN,
  [BT_MAP_CANCEL] = BILBERRY__MAP_ORDER__KIND__CANCEL,
  [BT_MAP_QUERY] = BILBERRY__MAP_ORDER__KIND__QUERY,
  [BT_MAP_JOIN] = BILBERRY__MAP_ORDER__KIND__JOIN,
  [BT_MAP_LOAD_MODEL] = BILBERRY__MAP_ORDER__KIND__LOAD_MODEL,
  [BT_MAP_LOAD_ADAPTER] = BILBERRY__MAP_ORDER__KIND__LOAD_ADAPTER,
  [BT_MAP_SET_VERSION] = BILBERRY__MAP_ORDER__KIND__SET_VERSION,
  [BT_MAP_SET_ROLE] = BILBERRY__MAP_ORDER__KIND__SET_ROLE
};

void
bt_send_map_order (bt_context_t *ctx,
                   bt_link_t *link,
                   const char *group,
                   const bt_map_order_t *order,
                   const bt_map_bytes_t *map)
{
  Bilberry__MapOrder message = BILBERRY__MAP_ORDER__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  message.kind = kinds[order->kind];
  message.group = (char *)group;
  message.rank = (uint32_t)order->rank;
  message.fence = order->fence;
  message.id = order->id;
  message.engine = order->incarnation;
  message.target_incarnation = order->agent;
  message.round_fence = order->round.fence;
  message.round = order->round.sequence;
  message.step = order->step;
  message.digest = order->digest;
  message.apply = order->apply;
  message.argument = (char *)order->argument;
  message.map.data = map->data;
  message.map.len = map->bytes;
  frame.body_case = BILBERRY__FRAME__BODY_MAP_ORDER;
  frame.map_order = &message;
  bt_send_frame (ctx, link, &frame);
}

static bt_round_id_t
read_round (const Bilberry__MapRound *frame)
{
  return frame == NULL ? (bt_round_id_t){ 0 } : (bt_round_id_t){ frame->fence, frame->sequence };
}

static void
read_engine (const Bilberry__MapEngine *frame, bt_engine_state_t *state)
{
  state->incarnation = frame->incarnation;
  state->joined = frame->joined;
  state->next_step = frame->next_step;
  state->in_use = read_round (frame->in_use);
  state->in_use_digest = frame->in_use_digest;
  state->staged = read_round (frame->staged);
  state->staged_digest = frame->staged_digest;
  state->armed = read_round (frame->armed);
  state->armed_step = frame->armed_step;
  state->decided = read_round (frame->decided);
  state->decided_apply = frame->decided_apply;
}

bool
bt_read_map_report (const Bilberry__MapReport *frame, bt_map_report_t *report)
{
  if (frame->rank >= BT_MAX_RANKS || frame->engine == NULL
      || frame->refusal > BT_MAP_ENGINE_REFUSED)
    return false;
  report->rank = (int32_t)frame->rank;
  report->fence = frame->order_fence;
  report->id = frame->id;
  report->floor = frame->fence;
  report->agent = frame->agent;
  report->refusal = (bt_map_refusal_t)frame->refusal;
  read_engine (frame->engine, &report->engine);
  return true;
}
