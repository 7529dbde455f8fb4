#include "bilberrytray/base/event_log.h"

#include <stdarg.h>
#include <string.h>

#include "context_private.h"
#include "event_fields.h"

enum
{
  MILLI = 1000,
  /* Lines a second that one level may write for long, and at once after a rest: a level then takes
   * a small part of a core at the most. */
  LINES_PER_S = 40,
  LINES_AT_ONCE = 400,
};

static bool
is_failure (bt_log_level_t level)
{
  return level <= BT_LOG_WARNING;
}

static void
refill_budget (bt_log_budget_t *budget, int64_t now_ms)
{
  int64_t most_milli = (int64_t)LINES_AT_ONCE * MILLI;

  budget->lines_milli =
      budget->began ? budget->lines_milli + (now_ms - budget->filled_ms) * LINES_PER_S : most_milli;
  budget->began = true;
  budget->filled_ms = now_ms;
  if (budget->lines_milli > most_milli)
    budget->lines_milli = most_milli;
}

static bool
take_budget (bt_log_budget_t *budget)
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

/* Writes an object as one line and frees it. False when the reader does not take it. */
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
tell_left_out (
    bt_context_t *ctx, bt_log_level_t level, const char *cause, int64_t lines, int64_t failures)
{
  json_t *object = begin_object (ctx, level, "log-left-out");

  json_object_set_new (object, "cause", json_string (cause));
  json_object_set_new (object, "lines", json_integer (lines));
  json_object_set_new (object, "failures", json_integer (failures));
  return write_object (ctx, object);
}

/* The reader stood still and lines were lost: says so before anything else. Without it, a reader
 * would take the absence of a failure's line for the absence of the failure. */
static bool
tell_lost (bt_context_t *ctx)
{
  bt_log_stream_t *events = &ctx->events;

  if (events->lost_lines == 0)
    return true;
  if (!tell_left_out (ctx, BT_LOG_WARNING, "reader", events->lost_lines, events->lost_failures))
    return false;
  events->lost_lines = 0;
  events->lost_failures = 0;
  return true;
}

/* Says what the budgets left out, also of other levels: the end of a flood may be the last event of
 * its level for hours. Told lines count against the level's own budget. */
static void
tell_over_budget (bt_context_t *ctx, int64_t now_ms)
{
  for (int32_t level = BT_LOG_ERROR; level < BT_LOG_LEVELS; level++)
    {
      bt_log_budget_t *budget = &ctx->budgets[level];

      refill_budget (budget, now_ms);
      if (budget->left_out == 0 || !take_budget (budget))
        continue;
      if (!tell_left_out (ctx, (bt_log_level_t)level, "budget", budget->left_out,
                          is_failure ((bt_log_level_t)level) ? budget->left_out : 0))
        return;
      budget->left_out = 0;
    }
}

/* What the budget leaves out is not even put together: under a flood that is most lines. */
static bool
may_write (bt_context_t *ctx, bt_log_level_t level)
{
  int64_t now_ms = bt_now_ms (ctx);

  if (tell_lost (ctx))
    tell_over_budget (ctx, now_ms);
  refill_budget (&ctx->budgets[level], now_ms);
  if (take_budget (&ctx->budgets[level]))
    return true;
  ctx->budgets[level].left_out++;
  bt_add_counter (ctx->lost_by_budget, 1);
  return false;
}

void
bt_log_event (bt_context_t *ctx, bt_log_level_t level, const char *event, const char *format, ...)
{
  json_t *object;
  va_list arguments;

  if (!bt_is_logged (ctx, level))
    return;
  bt_open_log_counters (ctx);
  pthread_mutex_lock (&ctx->event_lock);
  if (may_write (ctx, level))
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
