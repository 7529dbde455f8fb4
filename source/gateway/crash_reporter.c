#include "crash_reporter.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/limit.h"
#include "bilberrytray/base/random.h"
#include "store_thread.h"

enum
{
  /* Maximum number of writes that the store accepts in one transaction. */
  MAX_WRITES = 32,
  MAX_QUEUED = 1024,
  /* Pause between two attempts while the store fails, in addition to the client's own back-off. */
  FAILED_PAUSE_MS = 150,
  /* A batch that fails this long after its first report was queued is dropped, so that a report
     which the store never accepts does not block the others for ever. */
  GIVE_UP_MS = 600000,
};

/** A queued write of an item, or its removal. */
typedef struct report
{
  char key[BT_CRASH_KEY_BYTES];
  char *value; /* NULL: it is removed */
  int64_t queued_ms;
} report_t;

struct bt_crash_reporter
{
  bt_context_t *ctx;
  bt_kv_t *kv;
  bt_counter_t *written;
  bt_counter_t *failed;
  bool running; /* the thread was started */
  pthread_t thread;
  /* Lock order: no other lock is held with it. */
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t changed;
  bool stopping;
  report_t *queue; /* oldest first */
  int32_t count;
};

static bt_counter_t *
find_outcome_counter (bt_context_t *ctx, const char *outcome)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_crash_reports_total",
                          "Crashes told to the other instances.", "outcome", outcome);
}

bt_crash_reporter_t *
bt_new_crash_reporter (bt_context_t *ctx, const bt_platform_t *platform, const char *store)
{
  bt_crash_reporter_t *reporter = bt_calloc (ctx, 1, sizeof *reporter);
  uint64_t seed;

  bt_fill_secure_random (&seed, sizeof seed);
  reporter->ctx = ctx;
  reporter->kv = platform->vtable->new_store (ctx, store, seed);
  reporter->written = find_outcome_counter (ctx, "written");
  reporter->failed = find_outcome_counter (ctx, "failed");
  pthread_mutex_init (&reporter->lock, NULL);
  bt_init_condition (&reporter->changed);
  return reporter;
}

static void
free_values (bt_crash_reporter_t *reporter, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    bt_free (reporter->ctx, reporter->queue[i].value);
}

static void
remove_reports (bt_crash_reporter_t *reporter, int32_t count)
{
  free_values (reporter, count);
  reporter->count -= count;
  memmove (&reporter->queue[0], &reporter->queue[count],
           (size_t)reporter->count * sizeof *reporter->queue);
}

static void
fill_write (const report_t *report, bt_kv_write_t *write)
{
  memset (write, 0, sizeof *write);
  write->kind = report->value == NULL ? BT_KV_DELETE : BT_KV_PUT;
  write->key = report->key;
  write->value = report->value;
  write->value_bytes = report->value == NULL ? 0 : strlen (report->value);
}

static bool
has_key (const report_t *reports, int32_t count, const char *key)
{
  for (int32_t i = 0; i < count; i++)
    if (strcmp (reports[i].key, key) == 0)
      return true;
  return false;
}

/* Counts the reports at the head of the queue that one transaction takes: all of one kind, and no
 * key twice. */
static int32_t
count_batch (const bt_crash_reporter_t *reporter)
{
  const report_t *queue = reporter->queue;
  int32_t count = 1;

  while (count < reporter->count && count < MAX_WRITES
         && (queue[count].value == NULL) == (queue[0].value == NULL)
         && !has_key (queue, count, queue[count].key))
    count++;
  return count;
}

static bool
write_batch (bt_crash_reporter_t *reporter, const report_t *batch, int32_t count, bt_error_t *error)
{
  bt_kv_write_t writes[MAX_WRITES];
  bt_kv_txn_t txn = { .writes = writes, .write_count = count };
  bt_kv_txn_result_t result;

  for (int32_t i = 0; i < count; i++)
    fill_write (&batch[i], &writes[i]);
  return bt_commit_kv (reporter->ctx, reporter->kv, &txn, &result, error);
}

/* Writes the first batch without the lock. The batch stays at the head of the queue meanwhile: new
 * reports are only added behind it. */
static void
try_batch (bt_crash_reporter_t *reporter)
{
  report_t batch[MAX_WRITES];
  int32_t count = count_batch (reporter);
  bt_error_t error = { 0 };
  bool expired;
  bool done;

  memcpy (batch, reporter->queue, (size_t)count * sizeof *batch);
  expired = bt_now_ms (reporter->ctx) - batch[0].queued_ms > GIVE_UP_MS;
  pthread_mutex_unlock (&reporter->lock);
  done = write_batch (reporter, batch, count, &error);
  bt_add_counter (done ? reporter->written : reporter->failed, count);
  if (!done)
    bt_log_event (reporter->ctx, BT_LOG_WARNING, "crash-report-failed", "{s:i, s:b, s:s}",
                  "crashes", count, "given_up", expired, "message", error.message);
  pthread_mutex_lock (&reporter->lock);
  if (done || expired)
    remove_reports (reporter, count);
  else if (!reporter->stopping)
    bt_wait_condition (&reporter->changed, &reporter->lock, FAILED_PAUSE_MS);
}

static void *
run_reporter (void *argument)
{
  bt_crash_reporter_t *reporter = argument;

  pthread_mutex_lock (&reporter->lock);
  while (!reporter->stopping)
    if (reporter->count == 0)
      pthread_cond_wait (&reporter->changed, &reporter->lock);
    else
      try_batch (reporter);
  pthread_mutex_unlock (&reporter->lock);
  return NULL;
}

/* Returns true if the latest queued report for a key says the same. */
static bool
is_queued (const bt_crash_reporter_t *reporter, const char *key, const char *value)
{
  for (int32_t i = reporter->count - 1; i >= 0; i--)
    {
      const report_t *report = &reporter->queue[i];

      if (strcmp (report->key, key) != 0)
        continue;
      if (report->value == NULL || value == NULL)
        return report->value == value;
      return strcmp (report->value, value) == 0;
    }
  return false;
}

/* Crashes are rare, so the thread and the queue are only created for the first one. */
static void
start_reporter (bt_crash_reporter_t *reporter)
{
  if (reporter->queue == NULL)
    reporter->queue = bt_calloc (reporter->ctx, MAX_QUEUED, sizeof *reporter->queue);
  if (!reporter->running)
    reporter->running = bt_start_store_thread (reporter->ctx, &reporter->thread, "crash-reports",
                                               run_reporter, reporter);
}

void
bt_report_crash_item (bt_crash_reporter_t *reporter, const char *key, char *value)
{
  report_t report = { .value = value, .queued_ms = bt_now_ms (reporter->ctx) };
  bool queued;
  bool full;

  snprintf (report.key, sizeof report.key, "%s", key);
  pthread_mutex_lock (&reporter->lock);
  start_reporter (reporter);
  queued = is_queued (reporter, report.key, value);
  full = !queued && reporter->count == MAX_QUEUED;
  if (!queued && !full)
    reporter->queue[reporter->count++] = report;
  pthread_cond_signal (&reporter->changed);
  pthread_mutex_unlock (&reporter->lock);
  if (queued || full)
    bt_free (reporter->ctx, value);
  if (full)
    bt_report_limit (reporter->ctx, "crash-reports", MAX_QUEUED, report.key,
                     "The other instances are not notified of it.");
}

void
bt_drop_crash_reporter (bt_context_t *ctx, bt_crash_reporter_t *reporter)
{
  if (reporter == NULL)
    return;
  pthread_mutex_lock (&reporter->lock);
  reporter->stopping = true;
  pthread_cond_signal (&reporter->changed);
  pthread_mutex_unlock (&reporter->lock);
  bt_cancel_kv (ctx, reporter->kv);
  if (reporter->running)
    pthread_join (reporter->thread, NULL);
  bt_drop_kv (ctx, reporter->kv);
  free_values (reporter, reporter->count);
  bt_free (ctx, reporter->queue);
  pthread_cond_destroy (&reporter->changed);
  pthread_mutex_destroy (&reporter->lock);
  bt_free (ctx, reporter);
}
