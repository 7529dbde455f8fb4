#include "bilberrytray/base/event_log.h"

#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <unistd.h>

#include "context_private.h"

enum
{
  /* Longest line. A pipe that polls as writable takes this many bytes without blocking. */
  LINE_BYTES = PIPE_BUF,
  MILLI = 1000,
  /* Lines a second that one level may write for long, and at once after a rest. A line takes about
   * 25 us to make and write, so a level takes at most 0.1% of a core. */
  LINES_PER_S = 40,
  LINES_AT_ONCE = 400,
};

static void
count_lost (bt_context_t *ctx)
{
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_log_lines_lost_total",
                                   "Log lines that could not be written at once.", NULL, NULL),
                  1);
}

/* Writes a line unless that would block: a request must not wait for whoever reads the log. */
static void
write_line (bt_context_t *ctx, const char *line, size_t bytes)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  if (poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0
      || write (STDOUT_FILENO, line, bytes) < 0)
    count_lost (ctx);
}

static bool
take_budget (bt_log_budget_t *budget, int64_t now_ms)
{
  budget->lines_milli += (now_ms - budget->filled_ms) * LINES_PER_S;
  budget->filled_ms = now_ms;
  if (budget->lines_milli > (int64_t)LINES_AT_ONCE * MILLI)
    budget->lines_milli = (int64_t)LINES_AT_ONCE * MILLI;
  if (budget->lines_milli < MILLI)
    {
      budget->left_out++;
      return false;
    }
  budget->lines_milli -= MILLI;
  return true;
}

static void
write_object (bt_context_t *ctx, bt_log_level_t level, const char *event, json_t *fields)
{
  char line[LINE_BYTES];
  char stamp[BT_LOG_STAMP_BYTES];
  json_t *object;
  size_t bytes;

  bt_format_log_stamp (stamp);
  object = json_pack ("{s:s, s:s, s:s, s:s}", "at", stamp, "level", bt_name_log_level (level),
                      "instance", ctx->log_name, "event", event);
  if (fields != NULL)
    json_object_update (object, fields);
  bytes = json_dumpb (object, line, sizeof line - 1, JSON_COMPACT);
  json_decref (object);
  if (bytes == 0 || bytes > sizeof line - 1)
    {
      count_lost (ctx);
      return;
    }
  line[bytes] = '\n';
  write_line (ctx, line, bytes + 1);
}

static void
tell_left_out (bt_context_t *ctx, bt_log_level_t level, bt_log_budget_t *budget)
{
  json_t *fields = json_pack ("{s:I}", "lines", (json_int_t)budget->left_out);

  budget->left_out = 0;
  write_object (ctx, level, "log-left-out", fields);
  json_decref (fields);
}

void
bt_log_event (bt_context_t *ctx, bt_log_level_t level, const char *event, const char *format, ...)
{
  json_t *fields;
  va_list arguments;

  if ((int32_t)level > ctx->log_level)
    return;
  va_start (arguments, format);
  fields = json_vpack_ex (NULL, 0, format, arguments);
  va_end (arguments);
  pthread_mutex_lock (&ctx->event_lock);
  if (take_budget (&ctx->budgets[level], bt_now_ms (ctx)))
    {
      if (ctx->budgets[level].left_out > 0)
        tell_left_out (ctx, level, &ctx->budgets[level]);
      write_object (ctx, level, event, fields);
    }
  pthread_mutex_unlock (&ctx->event_lock);
  json_decref (fields);
}
