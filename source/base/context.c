#include "bilberrytray/base/context.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "bilberrytray/base/process_end.h"
#include "context_private.h"

enum
{
  LOG_LINE_BYTES = 1024,
  LOG_HEAD_BYTES = 160,
  MS_PER_S = 1000,
  S_PER_MINUTE = 60,
  MINUTES_PER_HOUR = 60,
  MS_PER_MINUTE = S_PER_MINUTE * MS_PER_S,
  MS_PER_HOUR = MINUTES_PER_HOUR * MS_PER_MINUTE,
  MS_PER_DAY = 24 * MS_PER_HOUR,
  DAYS_PER_YEAR = 365,
  DAYS_PER_4_YEARS = 4 * DAYS_PER_YEAR + 1,
  DAYS_PER_CENTURY = 25 * DAYS_PER_4_YEARS - 1,
  DAYS_PER_400_YEARS = 4 * DAYS_PER_CENTURY + 1,
  DAYS_FROM_MARCH_0000 = 719468,
};

bt_context_t *
bt_new_context (void)
{
  bt_context_t *ctx = calloc (1, sizeof *ctx);

  if (ctx == NULL)
    abort ();
  ctx->clock = bt_system_clock ();
  ctx->log_level = BT_LOG_INFO;
  snprintf (ctx->log_name, sizeof ctx->log_name, "-");
  ctx->events.fd = STDOUT_FILENO;
  ctx->message_stream.fd = STDERR_FILENO;
  pthread_mutex_init (&ctx->event_lock, NULL);
  pthread_mutex_init (&ctx->message_lock, NULL);
  ctx->counters = bt_new_counters (ctx);
  return ctx;
}

void
bt_drop_context (bt_context_t *ctx)
{
  if (ctx == NULL)
    return;
  bt_drop_counters (ctx, ctx->counters);
  pthread_mutex_destroy (&ctx->event_lock);
  pthread_mutex_destroy (&ctx->message_lock);
  free (ctx);
}

void
bt_set_log_level (bt_context_t *ctx, int32_t level)
{
  ck_pr_store_int (&ctx->log_level, level);
}

void
bt_set_log_name (bt_context_t *ctx, const char *name)
{
  snprintf (ctx->log_name, sizeof ctx->log_name, "%s", name);
}

void
bt_set_context_clock (bt_context_t *ctx, bt_clock_t *clock)
{
  ctx->clock = clock;
}

int64_t
bt_now_ms (bt_context_t *ctx)
{
  return bt_read_clock_ms (ctx->clock);
}

bt_counters_t *
bt_get_counters (bt_context_t *ctx)
{
  return ctx->counters;
}

static void *
check_memory (bt_context_t *ctx, void *memory, size_t bytes)
{
  if (memory == NULL)
    bt_end_process (ctx, "Out of memory: %zu bytes were refused.", bytes);
  return memory;
}

void *
bt_calloc (bt_context_t *ctx, size_t count, size_t size)
{
  return check_memory (ctx, calloc (count == 0 ? 1 : count, size == 0 ? 1 : size), count * size);
}

void *
bt_realloc (bt_context_t *ctx, void *memory, size_t count, size_t size)
{
  if (count == 0)
    count = 1;
  return check_memory (ctx, reallocarray (memory, count, size), count * size);
}

char *
bt_strdup (bt_context_t *ctx, const char *text)
{
  return check_memory (ctx, strdup (text), strlen (text) + 1);
}

void *
bt_memdup (bt_context_t *ctx, const void *data, size_t bytes)
{
  char *copy = bt_calloc (ctx, bytes + 1, 1);

  if (bytes > 0)
    memcpy (copy, data, bytes);
  return copy;
}

void
bt_free (bt_context_t *ctx, void *memory)
{
  free (memory);
}

static const char *const level_names[] = { "error", "warning", "info", "debug" };

static const char *const part_names[] = { "main",   "entry", "link",   "rules", "config", "members",
                                          "policy", "runs",  "engine", "maps",  "store" };

bool
bt_parse_log_level (const char *text, bt_log_level_t *level)
{
  for (int32_t i = BT_LOG_ERROR; i <= BT_LOG_DEBUG; i++)
    if (strcmp (text, level_names[i]) == 0)
      {
        *level = (bt_log_level_t)i;
        return true;
      }
  return false;
}

bool
bt_is_level_enabled (bt_context_t *ctx, bt_log_level_t level)
{
  return (int32_t)level <= ck_pr_load_int (&ctx->log_level);
}

const char *
bt_name_log_level (bt_log_level_t level)
{
  return level_names[level];
}

/** A day of the Gregorian calendar. */
typedef struct calendar_day
{
  int64_t year;
  int32_t month; /* 1 to 12 */
  int32_t day;   /* 1 to 31 */
} calendar_day_t;

/* Converts days since 1970-01-01. Years are counted from March, so that a leap day is the last day
 * of its year. */
static calendar_day_t
convert_days (int64_t days)
{
  const int64_t since = days + DAYS_FROM_MARCH_0000; /* since 0000-03-01 */
  const int64_t era = since / DAYS_PER_400_YEARS;
  const int64_t day_of_era = since % DAYS_PER_400_YEARS;
  const int64_t year_of_era =
      (day_of_era - day_of_era / (DAYS_PER_4_YEARS - 1) + day_of_era / DAYS_PER_CENTURY
       - day_of_era / (DAYS_PER_400_YEARS - 1))
      / DAYS_PER_YEAR;
  const int64_t day_of_year =
      day_of_era - (DAYS_PER_YEAR * year_of_era + year_of_era / 4 - year_of_era / 100);
  const int64_t month = (5 * day_of_year + 2) / 153; /* from March, 0 to 11 */
  calendar_day_t result;

  result.day = (int32_t)(day_of_year - (153 * month + 2) / 5 + 1);
  result.month = (int32_t)(month < 10 ? month + 3 : month - 9);
  result.year = 400 * era + year_of_era + (result.month <= 2 ? 1 : 0);
  return result;
}

/* Not by gmtime_r, which allocates memory and takes a lock: a process whose memory is damaged or
 * used up stamps its last line too. */
void
bt_format_log_stamp (char stamp[BT_LOG_STAMP_BYTES])
{
  int64_t wall_ms = bt_read_wall_ms ();
  int64_t ms_of_day;
  calendar_day_t date;

  if (wall_ms < 0)
    wall_ms = 0;
  ms_of_day = wall_ms % MS_PER_DAY;
  date = convert_days (wall_ms / MS_PER_DAY);
  snprintf (stamp, BT_LOG_STAMP_BYTES, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ", (int)date.year,
            (int)date.month, (int)date.day, (int)(ms_of_day / MS_PER_HOUR),
            (int)(ms_of_day / MS_PER_MINUTE % MINUTES_PER_HOUR),
            (int)(ms_of_day / MS_PER_S % S_PER_MINUTE), (int)(ms_of_day % MS_PER_S));
}

/* Looking up a counter takes a lock, so the pointers are cached. Two threads that run this at the
 * same time get the same counters. */
void
bt_init_log_counters (bt_context_t *ctx)
{
  static const char *const family = "bilberry_log_lines_lost_total";
  static const char *const help = "Log lines that were left out, by cause.";

  if (ck_pr_load_ptr (&ctx->lost_by_budget) != NULL)
    return;
  ck_pr_store_ptr (&ctx->lost_by_reader,
                   bt_find_counter (ctx, BT_COUNTER, family, help, "cause", "reader"));
  ck_pr_fence_store ();
  ck_pr_store_ptr (&ctx->lost_by_budget,
                   bt_find_counter (ctx, BT_COUNTER, family, help, "cause", "budget"));
}

/* Never blocks: the reader of standard error may stop reading, and no thread may wait for it. */
static bool
write_message (bt_context_t *ctx, const char *head, const char *line, size_t bytes)
{
  bt_log_stream_t *stream = &ctx->message_stream;
  char notice[LOG_LINE_BYTES];
  int used;

  if (stream->lost_lines > 0)
    {
      used = snprintf (notice, sizeof notice,
                       "%s%s: %lld lines were lost because standard error was not read.\n", head,
                       part_names[BT_PART_MAIN], (long long)stream->lost_lines);
      if (!bt_write_log_line (stream, notice, (size_t)used))
        return false;
      stream->lost_lines = 0;
    }
  return bt_write_log_line (stream, line, bytes);
}

void
bt_log (bt_context_t *ctx, bt_log_level_t level, bt_log_part_t part, const char *format, ...)
{
  char head[LOG_HEAD_BYTES];
  char line[LOG_LINE_BYTES];
  char stamp[BT_LOG_STAMP_BYTES];
  va_list arguments;
  bool written;
  size_t used;

  if (!bt_is_level_enabled (ctx, level))
    return;
  bt_format_log_stamp (stamp);
  snprintf (head, sizeof head, "%s %s %s ", stamp, level_names[level], ctx->log_name);
  used = (size_t)snprintf (line, sizeof line, "%s%s: ", head, part_names[part]);
  va_start (arguments, format);
  vsnprintf (line + used, sizeof line - used - 1, format, arguments);
  va_end (arguments);
  used = strlen (line);
  line[used] = '\n';
  pthread_mutex_lock (&ctx->message_lock);
  written = write_message (ctx, head, line, used + 1);
  if (!written)
    ctx->message_stream.lost_lines++;
  pthread_mutex_unlock (&ctx->message_lock);
  if (written)
    return;
  bt_init_log_counters (ctx);
  bt_add_counter (ctx->lost_by_reader, 1);
}
