#include "bilberrytray/requests/part_table.h"

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/limit.h"
#include "bilberrytray/base/random.h"
#include "part_index.h"
#include "part_suspects.h"
#include "part_table_private.h"

enum
{
  DEFAULT_GROUP_ENDS = 1,
  DEFAULT_ENDS = 2,
  DEFAULT_REFUSE_ENDS = 3,
  DEFAULT_MAX_TRIALS = 3,
  DEFAULT_TRIAL_MS = 60000,
  DEFAULT_TRIAL_FACTOR = 6,
  DEFAULT_KEEP_MS = 24 * 3600 * 1000,
  /* As for crashes of requests. */
  DEFAULT_MATCH_WINDOW_MS = 15000,
  DEFAULT_MAX_ENDS = 256,
  /* Reports are kept for keep_ms plus a random time of up to keep_ms / KEEP_SPREAD_DIVISOR, so that
   * one instance retracts a report for all. */
  KEEP_SPREAD_DIVISOR = 8,
};

void
bt_default_part_options (bt_part_options_t *options)
{
  memset (options, 0, sizeof *options);
  options->instance = "";
  options->group_ends = DEFAULT_GROUP_ENDS;
  options->ends = DEFAULT_ENDS;
  options->refuse_ends = DEFAULT_REFUSE_ENDS;
  options->max_trials = DEFAULT_MAX_TRIALS;
  options->trial_ms = DEFAULT_TRIAL_MS;
  options->trial_factor = DEFAULT_TRIAL_FACTOR;
  options->keep_ms = DEFAULT_KEEP_MS;
  options->match_window_ms = DEFAULT_MATCH_WINDOW_MS;
  options->max_ends = DEFAULT_MAX_ENDS;
}

bt_part_table_t *
bt_new_part_table (bt_context_t *ctx, const bt_part_options_t *options)
{
  bt_part_table_t *table = bt_calloc (ctx, 1, sizeof *table);
  bt_random_t random;

  bt_seed_random (&random, options->seed);
  table->options = *options;
  table->keep_ms =
      options->keep_ms
      + (int64_t)bt_random_below (&random, (uint64_t)options->keep_ms / KEEP_SPREAD_DIVISOR + 1);
  return table;
}

void
bt_clear_part_update (bt_context_t *ctx, bt_part_update_t *update)
{
  bt_free (ctx, update->end.parts);
  update->end.parts = NULL;
}

void
bt_drop_part_table (bt_context_t *ctx, bt_part_table_t *table)
{
  bt_part_update_t update;

  if (table == NULL)
    return;
  while (bt_take_part_update (table, &update))
    bt_clear_part_update (ctx, &update);
  for (int32_t i = 0; i < table->end_count; i++)
    bt_free (ctx, table->ends[i].end.parts);
  bt_clear_part_suspects (ctx, &table->suspects);
  bt_free (ctx, table->ends);
  bt_free (ctx, table->marks);
  bt_free (ctx, table->index.rows);
  bt_free (ctx, table->updates);
  bt_free (ctx, table);
}

void
bt_set_part_clock_offset (bt_part_table_t *table, int64_t offset_ms)
{
  table->offset_ms = offset_ms;
}

void
bt_rebuild_part_index (bt_context_t *ctx, bt_part_table_t *table)
{
  bt_build_part_index (ctx, &table->index, table->ends, table->end_count, table->marks,
                       table->mark_count, table->options.refuse_ends);
  table->version++;
}

int64_t
bt_get_part_version (const bt_part_table_t *table)
{
  return table->version;
}

static bt_part_update_t *
queue_update (bt_context_t *ctx, bt_part_table_t *table, bt_part_update_kind_t kind)
{
  bt_part_update_t *update;

  if (table->update_count == table->update_capacity)
    {
      table->update_capacity = 2 * table->update_capacity + 1;
      table->updates =
          bt_realloc (ctx, table->updates, (size_t)table->update_capacity, sizeof *table->updates);
    }
  update = &table->updates[table->update_count++];
  memset (update, 0, sizeof *update);
  update->kind = kind;
  return update;
}

bool
bt_take_part_update (bt_part_table_t *table, bt_part_update_t *update)
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

static bt_end_part_t *
copy_parts (bt_context_t *ctx, const bt_end_part_t *parts, int32_t count)
{
  return count == 0 ? NULL : bt_memdup (ctx, parts, (size_t)count * sizeof *parts);
}

void
bt_queue_part_end (bt_context_t *ctx,
                   bt_part_table_t *table,
                   bt_part_update_kind_t kind,
                   const bt_part_end_t *end)
{
  bt_part_update_t *update = queue_update (ctx, table, kind);

  update->end = *end;
  if (kind == BT_PART_RETRACT_END)
    update->end.count = 0;
  update->end.parts = copy_parts (ctx, end->parts, update->end.count);
}

void
bt_queue_part_mark (bt_context_t *ctx,
                    bt_part_table_t *table,
                    bt_part_update_kind_t kind,
                    const bt_part_mark_t *mark)
{
  queue_update (ctx, table, kind)->mark = *mark;
}

void
bt_remove_part_end_row (bt_context_t *ctx, bt_part_table_t *table, int32_t index)
{
  bt_free (ctx, table->ends[index].end.parts);
  table->end_count--;
  memmove (&table->ends[index], &table->ends[index + 1],
           (size_t)(table->end_count - index) * sizeof *table->ends);
}

/* Returns true if some part that a report names is held. */
static bool
names_held_part (const bt_part_table_t *table, const bt_part_end_t *end)
{
  for (int32_t i = 0; i < end->count; i++)
    {
      const bt_accused_part_t *part = bt_find_accused_part (&table->index, &end->parts[i].part);

      if (part != NULL && (part->trials > 0 || part->events >= table->options.ends))
        return true;
    }
  return false;
}

/* Returns the index of the report that is least likely to name a part at fault: the oldest of those
 * that name no held part, or the oldest of all. */
static int32_t
find_least_sure (const bt_part_table_t *table)
{
  int32_t found = 0;
  bool found_held = true;

  for (int32_t i = 0; i < table->end_count; i++)
    {
      bool held = names_held_part (table, &table->ends[i].end);

      if ((found_held && !held)
          || (held == found_held && table->ends[i].end.ended_ms < table->ends[found].end.ended_ms))
        {
          found = i;
          found_held = held;
        }
    }
  return found;
}

bt_part_end_row_t *
bt_add_part_end_row (bt_context_t *ctx, bt_part_table_t *table, const bt_part_end_t *end)
{
  bt_part_end_row_t *row;

  if (table->end_count == table->options.max_ends)
    {
      int32_t least = find_least_sure (table);

      bt_report_limit (ctx, "part-ends", table->options.max_ends,
                       table->ends[least].end.endpoint.instance,
                       "The parts that ran when this endpoint ended are forgotten.");
      bt_remove_part_end_row (ctx, table, least);
    }
  table->ends = bt_realloc (ctx, table->ends, (size_t)table->end_count + 1, sizeof *table->ends);
  row = &table->ends[table->end_count++];
  memset (row, 0, sizeof *row);
  row->end = *end;
  row->end.parts = copy_parts (ctx, end->parts, end->count);
  return row;
}

bt_part_end_row_t *
bt_find_part_end_row (const bt_part_table_t *table,
                      const bt_identity_t *endpoint,
                      const char *reporter)
{
  for (int32_t i = 0; i < table->end_count; i++)
    if (bt_same_identity (&table->ends[i].end.endpoint, endpoint)
        && strcmp (table->ends[i].end.reporter, reporter) == 0)
      return &table->ends[i];
  return NULL;
}

/* Returns the mark of a part, which is added if there is none. */
static bt_part_mark_row_t *
get_mark (bt_context_t *ctx, bt_part_table_t *table, const bt_fingerprint_t *part)
{
  int32_t at = 0;

  while (at < table->mark_count && bt_compare_fingerprints (&table->marks[at].mark.part, part) < 0)
    at++;
  if (at < table->mark_count && bt_same_fingerprint (&table->marks[at].mark.part, part))
    return &table->marks[at];
  table->marks =
      bt_realloc (ctx, table->marks, (size_t)table->mark_count + 1, sizeof *table->marks);
  memmove (&table->marks[at + 1], &table->marks[at],
           (size_t)(table->mark_count - at) * sizeof *table->marks);
  table->marks[at] = (bt_part_mark_row_t){ .mark = { .part = *part } };
  table->mark_count++;
  return &table->marks[at];
}

/* Clears those of some parts that are accused. */
static void
clear_parts (bt_context_t *ctx,
             bt_part_table_t *table,
             const bt_prompt_parts_t *parts,
             int64_t now_ms)
{
  bool changed = false;

  for (int32_t i = 0; parts != NULL && i < parts->count; i++)
    {
      const bt_accused_part_t *accused = bt_find_accused_part (&table->index, &parts->items[i]);
      bt_part_mark_row_t *row;

      bt_put_recent_part (&table->recent, &parts->items[i]);
      if (accused == NULL)
        continue;
      row = get_mark (ctx, table, &parts->items[i]);
      row->mark.cleared_ms = now_ms + table->offset_ms;
      /* The clock of the instance that reported the end may be ahead. */
      if (row->mark.cleared_ms < accused->last_ended_ms)
        row->mark.cleared_ms = accused->last_ended_ms;
      row->mark.trials = 0;
      row->mark.trial_ms = 0;
      bt_queue_part_mark (ctx, table, BT_PART_PUBLISH_MARK, &row->mark);
      changed = true;
    }
  if (changed)
    bt_rebuild_part_index (ctx, table);
}

void
bt_note_answered_parts (bt_context_t *ctx,
                        bt_part_table_t *table,
                        const bt_prompt_parts_t *parts,
                        int64_t now_ms)
{
  clear_parts (ctx, table, parts, now_ms);
}

/* An incarnation that answers what was sent later did not end before. */
static void
retract_ends (bt_context_t *ctx,
              bt_part_table_t *table,
              const bt_identity_t *endpoint,
              int64_t before_ms)
{
  bool changed = false;

  for (int32_t i = table->end_count - 1; i >= 0; i--)
    {
      const bt_part_end_t *end = &table->ends[i].end;

      if (!bt_same_identity (&end->endpoint, endpoint)
          || end->ended_ms >= before_ms + table->offset_ms)
        continue;
      bt_queue_part_end (ctx, table, BT_PART_RETRACT_END, end);
      bt_remove_part_end_row (ctx, table, i);
      changed = true;
    }
  if (changed)
    bt_rebuild_part_index (ctx, table);
}

void
bt_note_part_survival (bt_context_t *ctx,
                       bt_part_table_t *table,
                       const bt_identity_t *endpoint,
                       int64_t sent_ms,
                       int64_t now_ms)
{
  bt_part_suspect_t suspect;

  while (bt_take_part_suspect (&table->suspects, endpoint, sent_ms, &suspect))
    {
      if (suspect.attempt.begun)
        clear_parts (ctx, table, suspect.attempt.parts, now_ms);
      bt_drop_prompt_parts (ctx, suspect.attempt.parts);
    }
  bt_remove_part_ended (&table->suspects, endpoint, sent_ms);
  retract_ends (ctx, table, endpoint, sent_ms);
}

void
bt_record_part_mark (bt_context_t *ctx, bt_part_table_t *table, const bt_part_mark_t *mark)
{
  get_mark (ctx, table, &mark->part)->mark = *mark;
  bt_rebuild_part_index (ctx, table);
}

bool
bt_has_accused_parts (const bt_part_table_t *table)
{
  return table->index.count > 0;
}

bool
bt_has_part_suspects (const bt_part_table_t *table)
{
  return table->suspects.count > 0 || table->index.count > 0;
}

const bt_accused_part_t *
bt_get_accused_parts (const bt_part_table_t *table, int32_t *count)
{
  *count = table->index.count;
  return table->index.rows;
}

const bt_part_end_t *
bt_find_accusing_end (const bt_part_table_t *table, const bt_fingerprint_t *part, int32_t *index)
{
  while (*index < table->end_count)
    {
      const bt_part_end_t *end = &table->ends[(*index)++].end;

      if (end->count > 0
          && bsearch (part, end->parts, (size_t)end->count, sizeof *end->parts,
                      bt_compare_fingerprints)
                 != NULL)
        return end;
    }
  return NULL;
}

void
bt_expire_parts (bt_context_t *ctx, bt_part_table_t *table, int64_t now_ms)
{
  int64_t before_ms = now_ms + table->offset_ms - table->keep_ms;
  bool changed = false;

  bt_expire_part_suspects (ctx, &table->suspects, now_ms - table->options.match_window_ms);
  for (int32_t i = table->end_count - 1; i >= 0; i--)
    if (table->ends[i].end.ended_ms < before_ms)
      {
        bt_queue_part_end (ctx, table, BT_PART_RETRACT_END, &table->ends[i].end);
        bt_remove_part_end_row (ctx, table, i);
        changed = true;
      }
  for (int32_t i = table->mark_count - 1; i >= 0; i--)
    if (table->marks[i].mark.cleared_ms < before_ms && table->marks[i].mark.trial_ms < before_ms)
      {
        bt_queue_part_mark (ctx, table, BT_PART_RETRACT_MARK, &table->marks[i].mark);
        bt_remove_part_mark_row (table, i);
        changed = true;
      }
  if (changed)
    bt_rebuild_part_index (ctx, table);
}
