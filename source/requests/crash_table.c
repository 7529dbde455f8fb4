#include "bilberrytray/requests/crash_table.h"

#include <string.h>

#include "bilberrytray/base/limit.h"
#include "bilberrytray/base/random.h"
#include "crash_suspects.h"
#include "crash_verdict.h"

enum
{
  DEFAULT_MAX_ENDS = 3,
  DEFAULT_HOLD_MS = 60000,
  DEFAULT_KEEP_MS = 3600000,
  DEFAULT_MAX_CRASHES = 4096,
  /* An unresponsive endpoint is removed from the instance list after three missed heartbeats, so
   * the report of its end may come that late. */
  DEFAULT_MATCH_WINDOW_MS = 15000,
  /* Crashes are kept for keep_ms plus a random time of up to keep_ms / KEEP_SPREAD_DIVISOR that
   * differs between instances. A request that returns renews crashes older than
   * keep_ms / RENEW_AGE_DIVISOR. */
  /* Crashes of one request that are judged: one is enough to hold it, max_ends to refuse it. */
  MAX_EVIDENCE = 64,
  KEEP_SPREAD_DIVISOR = 8,
  RENEW_AGE_DIVISOR = 2,
};

/** A crash in the table. */
typedef struct crash_row
{
  bt_crash_t crash;
  int64_t known_ms; /* when it was recorded, listed with a new revision, or renewed */
  int64_t revision; /* of its entry in the shared list; 0: not seen there yet */
  bool listed;      /* found in the list that is being applied */
  bool reported;    /* this instance reported it first */
  int64_t trial_ms; /* when the request last ran after a hold; 0: never */
} crash_row_t;

struct bt_crash_table
{
  bt_crash_options_t options;
  int64_t keep_ms;   /* with the random extension of this instance */
  int64_t offset_ms; /* from the clock of the arguments to Unix time */
  crash_row_t *rows; /* sorted by compare_crashes */
  int32_t count;
  int32_t capacity;
  bt_crash_suspects_t suspects;
  bt_crash_update_t *updates; /* queue for the shared list */
  int32_t update_count;
  int32_t update_capacity;
  int32_t updates_taken;
};

void
bt_default_crash_options (bt_crash_options_t *options)
{
  memset (options, 0, sizeof *options);
  options->max_ends = DEFAULT_MAX_ENDS;
  options->hold_ms = DEFAULT_HOLD_MS;
  options->keep_ms = DEFAULT_KEEP_MS;
  options->match_window_ms = DEFAULT_MATCH_WINDOW_MS;
  options->max_crashes = DEFAULT_MAX_CRASHES;
}

bt_crash_table_t *
bt_new_crash_table (bt_context_t *ctx, const bt_crash_options_t *options)
{
  bt_crash_table_t *table = bt_calloc (ctx, 1, sizeof *table);
  bt_random_t random;

  bt_seed_random (&random, options->seed);
  table->options = *options;
  table->keep_ms =
      options->keep_ms
      + (int64_t)bt_random_below (&random, (uint64_t)options->keep_ms / KEEP_SPREAD_DIVISOR + 1);
  return table;
}

void
bt_drop_crash_table (bt_context_t *ctx, bt_crash_table_t *table)
{
  if (table == NULL)
    return;
  bt_free (ctx, table->rows);
  bt_free (ctx, table->updates);
  bt_free (ctx, table);
}

static int
compare_crashes (const bt_crash_t *left, const bt_crash_t *right)
{
  int order = memcmp (&left->request, &right->request, sizeof left->request);

  if (order == 0)
    order = strcmp (left->endpoint.instance, right->endpoint.instance);
  if (order == 0 && left->endpoint.incarnation != right->endpoint.incarnation)
    order = left->endpoint.incarnation < right->endpoint.incarnation ? -1 : 1;
  return order;
}

/* Returns the index of the first row that does not sort before a crash. */
static int32_t
find_row (const bt_crash_table_t *table, const bt_crash_t *crash)
{
  int32_t low = 0;
  int32_t high = table->count;

  while (low < high)
    {
      int32_t middle = (low + high) / 2;

      if (compare_crashes (&table->rows[middle].crash, crash) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the index of a request's first row, or where it would be inserted. */
static int32_t
find_first_row (const bt_crash_table_t *table, const bt_fingerprint_t *request)
{
  bt_crash_t least = { .request = *request };

  return find_row (table, &least);
}

static bool
is_row_of_request (const bt_crash_table_t *table, int32_t index, const bt_fingerprint_t *request)
{
  return index < table->count && bt_same_fingerprint (&table->rows[index].crash.request, request);
}

static bool
is_row_of_crash (const bt_crash_table_t *table, int32_t index, const bt_crash_t *crash)
{
  return index < table->count && compare_crashes (&table->rows[index].crash, crash) == 0;
}

static void
queue_update (bt_context_t *ctx,
              bt_crash_table_t *table,
              bt_crash_update_kind_t kind,
              const bt_crash_t *crash)
{
  if (table->update_count == table->update_capacity)
    {
      table->update_capacity = 2 * table->update_capacity + 1;
      table->updates =
          bt_realloc (ctx, table->updates, (size_t)table->update_capacity, sizeof *table->updates);
    }
  table->updates[table->update_count++] = (bt_crash_update_t){ kind, *crash };
}

bool
bt_take_crash_update (bt_crash_table_t *table, bt_crash_update_t *update)
{
  if (table->updates_taken == table->update_count)
    {
      table->updates_taken = 0;
      table->update_count = 0;
      return false;
    }
  *update = table->updates[table->updates_taken++];
  return true;
}

static void
insert_row (bt_context_t *ctx, bt_crash_table_t *table, int32_t index, const crash_row_t *row)
{
  if (table->count == table->capacity)
    {
      table->capacity = 2 * table->capacity + 1;
      table->rows = bt_realloc (ctx, table->rows, (size_t)table->capacity, sizeof *table->rows);
    }
  memmove (&table->rows[index + 1], &table->rows[index],
           (size_t)(table->count - index) * sizeof *table->rows);
  table->rows[index] = *row;
  table->count++;
}

static void
remove_row (bt_crash_table_t *table, int32_t index)
{
  table->count--;
  memmove (&table->rows[index], &table->rows[index + 1],
           (size_t)(table->count - index) * sizeof *table->rows);
}

/* Retracts crashes that are not listed yet too, since they may already be on their way to the list.
 */
static void
retract_row (bt_context_t *ctx, bt_crash_table_t *table, int32_t index)
{
  queue_update (ctx, table, BT_CRASH_RETRACT, &table->rows[index].crash);
  remove_row (table, index);
}

static bool
has_free_space (bt_context_t *ctx, const bt_crash_table_t *table, const bt_crash_t *crash)
{
  if (table->count < table->options.max_crashes)
    return true;
  bt_report_limit (ctx, "crashes", table->options.max_crashes, crash->endpoint.instance,
                   "A crash of this endpoint is not recorded: the crash table is full.");
  return false;
}

static void
add_crash (bt_context_t *ctx, bt_crash_table_t *table, const bt_crash_t *crash, int64_t now_ms)
{
  int32_t index = find_row (table, crash);
  crash_row_t row = { .crash = *crash, .known_ms = now_ms, .reported = true };

  if (is_row_of_crash (table, index, crash) || !has_free_space (ctx, table, crash))
    return;
  insert_row (ctx, table, index, &row);
  queue_update (ctx, table, BT_CRASH_PUBLISH, crash);
}

void
bt_note_broken_attempt (bt_context_t *ctx,
                        bt_crash_table_t *table,
                        const bt_crash_t *attempt,
                        int64_t now_ms)
{
  bt_crash_t crash = *attempt;
  int64_t ended_ms;

  if (!bt_find_ended_incarnation (&table->suspects, &attempt->endpoint, &ended_ms))
    {
      bt_add_suspect (&table->suspects, attempt, now_ms);
      return;
    }
  crash.ended_ms = ended_ms + table->offset_ms;
  add_crash (ctx, table, &crash, now_ms);
}

void
bt_note_endpoint_end (bt_context_t *ctx,
                      bt_crash_table_t *table,
                      const bt_identity_t *endpoint,
                      int64_t now_ms)
{
  bt_crash_t crash;

  bt_add_ended_incarnation (&table->suspects, endpoint, now_ms);
  while (bt_remove_suspect_of (&table->suspects, endpoint, &crash))
    {
      crash.ended_ms = now_ms + table->offset_ms;
      add_crash (ctx, table, &crash, now_ms);
    }
}

void
bt_note_complete_answer (bt_context_t *ctx,
                         bt_crash_table_t *table,
                         const bt_crash_t *attempt,
                         int64_t sent_ms)
{
  int32_t first = find_first_row (table, &attempt->request);

  bt_clear_suspects (&table->suspects, attempt, sent_ms);
  while (is_row_of_request (table, first, &attempt->request))
    retract_row (ctx, table, first);
}

/* Adds a listed crash, or updates the row of a known one; false when the table is full. */
static bool
apply_listed_crash (bt_context_t *ctx,
                    bt_crash_table_t *table,
                    const bt_listed_crash_t *listed,
                    int64_t now_ms)
{
  int32_t index = find_row (table, &listed->crash);
  crash_row_t row = {
    .crash = listed->crash, .known_ms = now_ms, .revision = listed->revision, .listed = true
  };

  if (is_row_of_crash (table, index, &listed->crash))
    {
      row.trial_ms = table->rows[index].trial_ms;
      row.reported = table->rows[index].reported;
      if (table->rows[index].revision == listed->revision)
        row.known_ms = table->rows[index].known_ms;
      table->rows[index] = row;
      return true;
    }
  if (!has_free_space (ctx, table, &listed->crash))
    return false;
  insert_row (ctx, table, index, &row);
  return true;
}

int32_t
bt_apply_listed_crashes (bt_context_t *ctx,
                         bt_crash_table_t *table,
                         const bt_listed_crash_t *listed,
                         int32_t count,
                         int64_t now_ms)
{
  int32_t left_out = 0;

  for (int32_t i = 0; i < table->count; i++)
    table->rows[i].listed = false;
  for (int32_t i = 0; i < count; i++)
    left_out += apply_listed_crash (ctx, table, &listed[i], now_ms) ? 0 : 1;
  for (int32_t i = table->count - 1; i >= 0; i--)
    if (table->rows[i].revision > 0 && !table->rows[i].listed)
      remove_row (table, i);
  return left_out;
}

void
bt_apply_restored_crashes (bt_context_t *ctx,
                           bt_crash_table_t *table,
                           const bt_listed_crash_t *listed,
                           int32_t count,
                           int64_t now_ms)
{
  for (int32_t i = 0; i < table->count; i++)
    table->rows[i].revision = 0;
  bt_apply_listed_crashes (ctx, table, listed, count, now_ms);
  for (int32_t i = 0; i < table->count; i++)
    if (table->rows[i].reported && !table->rows[i].listed)
      queue_update (ctx, table, BT_CRASH_PUBLISH, &table->rows[i].crash);
}

void
bt_expire_crashes (bt_context_t *ctx, bt_crash_table_t *table, int64_t now_ms)
{
  bt_expire_suspects (&table->suspects, now_ms - table->options.match_window_ms);
  for (int32_t i = table->count - 1; i >= 0; i--)
    if (now_ms - table->rows[i].known_ms > table->keep_ms)
      retract_row (ctx, table, i);
}

int32_t
bt_count_known_crashes (const bt_crash_table_t *table)
{
  return table->count;
}

bool
bt_has_suspects (const bt_crash_table_t *table)
{
  return table->suspects.count > 0;
}

int32_t
bt_count_crashes (const bt_crash_table_t *table, const bt_fingerprint_t *request)
{
  int32_t first = find_first_row (table, request);
  int32_t index = first;

  while (is_row_of_request (table, index, request))
    index++;
  return index - first;
}

void
bt_set_crash_clock_offset (bt_crash_table_t *table, int64_t offset_ms)
{
  table->offset_ms = offset_ms;
}

/* Returns true if another endpoint ended at the moment of a crash, and did not run its request. */
static bool
is_host_failure (const bt_crash_table_t *table, const bt_crash_t *crash)
{
  for (int32_t i = 0; i < table->count; i++)
    {
      bt_crash_t same_request = table->rows[i].crash;

      if (!bt_is_same_crash_moment (same_request.ended_ms, crash->ended_ms)
          || bt_same_identity (&same_request.endpoint, &crash->endpoint))
        continue;
      same_request.request = crash->request;
      if (!is_row_of_crash (table, find_row (table, &same_request), &same_request))
        return true;
    }
  return false;
}

bt_crash_verdict_t
bt_judge_request (const bt_crash_table_t *table,
                  const bt_fingerprint_t *request,
                  bool stops_group,
                  int64_t now_ms,
                  int64_t *retry_after_ms)
{
  bt_crash_evidence_t evidence[MAX_EVIDENCE];
  int32_t count = 0;

  *retry_after_ms = 0;
  if (table->count == 0)
    return BT_CRASH_RUN;
  for (int32_t i = find_first_row (table, request);
       count < MAX_EVIDENCE && is_row_of_request (table, i, request); i++)
    {
      const crash_row_t *row = &table->rows[i];

      evidence[count++] = (bt_crash_evidence_t){
        .ended_ms = row->crash.ended_ms,
        .known_ms = row->known_ms,
        .trial_ms = row->trial_ms,
        .at_start = row->crash.at_start,
        .is_host_failure = stops_group && is_host_failure (table, &row->crash),
      };
    }
  if (count == 0)
    return BT_CRASH_RUN;
  return bt_judge_crashes (&table->options, evidence, count, stops_group, now_ms, retry_after_ms);
}

void
bt_begin_crash_trial (bt_crash_table_t *table, const bt_fingerprint_t *request, int64_t now_ms)
{
  for (int32_t i = find_first_row (table, request); is_row_of_request (table, i, request); i++)
    table->rows[i].trial_ms = now_ms;
}

void
bt_renew_crashes (bt_context_t *ctx,
                  bt_crash_table_t *table,
                  const bt_fingerprint_t *request,
                  int64_t now_ms)
{
  for (int32_t i = find_first_row (table, request); is_row_of_request (table, i, request); i++)
    {
      crash_row_t *row = &table->rows[i];

      if (now_ms - row->known_ms < table->options.keep_ms / RENEW_AGE_DIVISOR)
        continue;
      row->known_ms = now_ms;
      queue_update (ctx, table, BT_CRASH_PUBLISH, &row->crash);
    }
}
