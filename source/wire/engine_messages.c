#include "bilberrytray/wire/engine_messages.h"

#include <string.h>

static const double permille = 1000;

void
bt_write_engine_report (const bt_engine_report_t *report, Bilberry__EngineReport *message)
{
  message->group = (char *)report->group;
  message->rank = (uint32_t)report->rank;
  message->ranks = (uint32_t)report->ranks;
  message->epoch = report->maps.epoch;
  message->open = report->maps.open;
  message->step = report->maps.step;
  message->version = report->maps.version;
  message->prepared = report->maps.prepared;
  message->armed_version = report->maps.armed_version;
  message->armed_step = report->maps.armed_step;
  message->held_step = report->maps.held_step;
  message->sequence = report->maps.sequence;
  message->started_ms = report->maps.started_ms;
  message->load_unknown = report->load_unknown;
  message->running = (uint32_t)report->running;
  message->queued = (uint32_t)report->queued;
  message->memory_used = (uint64_t)report->memory_used;
  message->memory = (uint64_t)report->memory;
  message->pace_permille = (uint32_t)(report->pace * permille);
}

void
bt_read_engine_report (const Bilberry__EngineReport *message, bt_engine_report_t *report)
{
  memset (report, 0, sizeof *report);
  bt_copy_name (report->group, message->group);
  report->rank = (int32_t)message->rank;
  report->ranks = (int32_t)message->ranks;
  report->maps.epoch = message->epoch;
  report->maps.open = message->open;
  report->maps.step = message->step;
  report->maps.version = message->version;
  report->maps.prepared = message->prepared;
  report->maps.armed_version = message->armed_version;
  report->maps.armed_step = message->armed_step;
  report->maps.held_step = message->held_step;
  report->maps.sequence = message->sequence;
  report->maps.started_ms = message->started_ms;
  report->load_unknown = message->load_unknown;
  report->running = (int32_t)message->running;
  report->queued = (int32_t)message->queued;
  report->memory_used = (int64_t)message->memory_used;
  report->memory = (int64_t)message->memory;
  report->pace = message->pace_permille / permille;
}

void
bt_write_engine_order (const bt_group_order_t *order, Bilberry__EngineOrder *message)
{
  message->id = order->id;
  message->fence = order->fence;
  message->kind = (uint32_t)order->kind;
  message->version = order->version;
  message->step = order->step;
  message->epoch = order->epoch;
  message->sequence = order->sequence;
  message->started_ms = order->started_ms;
}

bool
bt_read_engine_order (const Bilberry__EngineOrder *message, bt_group_order_t *order)
{
  memset (order, 0, sizeof *order);
  if (message->kind > BT_GROUP_GO)
    return false;
  order->id = message->id;
  order->fence = message->fence;
  order->kind = (bt_group_order_kind_t)message->kind;
  order->version = message->version;
  order->step = message->step;
  order->epoch = message->epoch;
  order->sequence = message->sequence;
  order->started_ms = message->started_ms;
  return true;
}
