#include "bilberrytray/base/event_log.h"

#include <stdarg.h>
#include <string.h>

#include "context_private.h"
#include "event_fields.h"

enum
{
  MILLI = 1000,
  /* Sustained rate and burst size of one level. They keep the cost of a level at a small part of a
   * core. */
  LINES_PER_S = 40,
  LINES_BURST = 400,
};

static bool
is_failure (bt_log_level_t level)
{
  return level <= BT_LOG_WARNING;
}

static void
refill_budget (bt_log_budget_t *budget, int64_t now_ms)
{
  int64_t max_milli = (int64_t)LINES_BURST * MILLI;

  budget->lines_milli = budget->started
                            ? budget->lines_milli + (now_ms - budget->refilled_ms) * LINES_PER_S
                            : max_milli;
  budget->started = true;
  budget->refilled_ms = now_ms;
  if (budget->lines_milli > max_milli)
    budget->lines_milli = max_milli;
}

static bool
consume_line (bt_log_budget_t *budget)
{
  if (budget->lines_milli < MILLI)
    return false;
  budget->lines_milli -= MILLI;
  return true;
}

static json_t *
begin_object (bt_context_t *ctx, bt_log_level_t level, const char *event)
{
  char stamp[BT_LOG_STAMP_BYTES];

  bt_format_log_stamp (stamp);
  return json_pack ("{s:s, s:s, s:s, s:s}", "at", stamp, "level", bt_name_log_level (level),
                    "instance", ctx->log_name, "event", event);
}

/* Writes an object as one line and releases it. False when the line could not be written, usually
 * because the reader does not read. */
static bool
write_object (bt_context_t *ctx, json_t *object)
{
  char line[BT_LOG_LINE_BYTES];
  size_t bytes = json_dumpb (object, line, sizeof line - 1, JSON_COMPACT);

  json_decref (object);
  if (bytes == 0 || bytes > sizeof line - 1)
    return false;
  line[bytes] = '\n';
  return bt_write_log_line (&ctx->events, line, bytes + 1);
}

static bool
write_dropped_event (
    bt_context_t *ctx, bt_log_level_t level, const char *cause, int64_t lines, int64_t failures)
{
  json_t *object = begin_object (ctx, level, "log-left-out");

  json_object_set_new (object, "cause", json_string (cause));
  json_object_set_new (object, "lines", json_integer (lines));
  json_object_set_new (object, "failures", json_integer (failures));
  return write_object (ctx, object);
}

/* After the reader had stopped and lines were lost, reports that before any other event. Otherwise
 * the missing line of a failure would look as if there had been no failure. */
static bool
report_lost_lines (bt_context_t *ctx)
{
  bt_log_stream_t *events = &ctx->events;

  if (events->lost_lines == 0)
    return true;
  if (!write_dropped_event (ctx, BT_LOG_WARNING, "reader", events->lost_lines,
                            events->lost_failures))
    return false;
  events->lost_lines = 0;
  events->lost_failures = 0;
  return true;
}

/* Reports the lines that the budgets dropped, for every level: after a flood, a level may log no
 * further event for hours. The report itself counts against the budget of its level. */
static void
report_dropped_lines (bt_context_t *ctx, int64_t now_ms)
{
  for (int32_t level = BT_LOG_ERROR; level < BT_LOG_LEVELS; level++)
    {
      bt_log_budget_t *budget = &ctx->budgets[level];

      refill_budget (budget, now_ms);
      if (budget->dropped_lines == 0 || !consume_line (budget))
        continue;
      if (!write_dropped_event (ctx, (bt_log_level_t)level, "budget", budget->dropped_lines,
                                is_failure ((bt_log_level_t)level) ? budget->dropped_lines : 0))
        return;
      budget->dropped_lines = 0;
    }
}

/* Reports lost and dropped lines and takes the event from the budget. False if the event must be
 * dropped. It is called before the event is formatted, since during a flood most events are
 * dropped. */
static bool
admit_event (bt_context_t *ctx, bt_log_level_t level)
{
  int64_t now_ms = bt_now_ms (ctx);

  if (report_lost_lines (ctx))
    report_dropped_lines (ctx, now_ms);
  refill_budget (&ctx->budgets[level], now_ms);
  if (consume_line (&ctx->budgets[level]))
    return true;
  ctx->budgets[level].dropped_lines++;
  bt_add_counter (ctx->lost_by_budget, 1);
  return false;
}

void
bt_log_event (bt_context_t *ctx, bt_log_level_t level, const char *event, const char *format, ...)
{
  json_t *object;
  va_list arguments;

  if (!bt_is_level_enabled (ctx, level))
    return;
  bt_init_log_counters (ctx);
  pthread_mutex_lock (&ctx->event_lock);
  if (admit_event (ctx, level))
    {
      object = begin_object (ctx, level, event);
      va_start (arguments, format);
      bt_add_event_fields (object, format, arguments);
      va_end (arguments);
      if (!write_object (ctx, object))
        {
          bt_add_counter (ctx->lost_by_reader, 1);
          ctx->events.lost_lines++;
          ctx->events.lost_failures += is_failure (level);
        }
    }
  pthread_mutex_unlock (&ctx->event_lock);
}
