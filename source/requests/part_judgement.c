#include <string.h>

#include "part_table_private.h"

enum
{
  /* A part that at least one request in COMMON_DIVISOR has is unlikely to be at fault, since it
   * would have ended more endpoints, and dear to hold. This is known when MIN_JUDGED requests were
   * judged. */
  COMMON_DIVISOR = 4,
  MIN_JUDGED = 64,
  COMMON_TRIAL_MS = 10000,
};

bool
bt_is_part_held (const bt_part_table_t *table, const bt_accused_part_t *part, bool stops_group)
{
  const bt_part_options_t *options = &table->options;
  bool is_recent = bt_has_recent_part (&table->recent, &part->part);

  if (part->events >= options->refuse_ends || part->ends >= options->refuse_ends)
    return true;
  /* A part that was answered before hardly begins to end endpoints. */
  if (is_recent)
    return stops_group && part->events >= options->ends;
  if (part->events >= options->ends)
    return true;
  return stops_group && part->events >= options->group_ends && part->suspected;
}

static bool
is_common (const bt_part_table_t *table, const bt_accused_part_t *part)
{
  return table->index.judged >= MIN_JUDGED && part->judged * COMMON_DIVISOR >= table->index.judged;
}

int64_t
bt_get_part_trial_ms (const bt_part_table_t *table, const bt_accused_part_t *part, bool stops_group)
{
  const bt_part_options_t *options = &table->options;
  int64_t last_ms = part->last_ended_ms > part->trial_ms ? part->last_ended_ms : part->trial_ms;
  int32_t enough = stops_group ? options->group_ends : options->ends;
  int64_t wait_ms = options->trial_ms;

  if (part->trials >= options->max_trials)
    return 0;
  if (is_common (table, part))
    return part->trials == 0 ? last_ms : last_ms + COMMON_TRIAL_MS;
  for (int32_t i = enough; i < part->events && wait_ms < options->keep_ms; i++)
    wait_ms *= options->trial_factor;
  return last_ms + wait_ms;
}

static void
describe_held (const bt_part_table_t *table,
               const bt_accused_part_t *part,
               bool stops_group,
               int64_t now_ms,
               bt_part_judgement_t *judgement)
{
  int64_t trial_ms = bt_get_part_trial_ms (table, part, stops_group);
  int64_t left_ms = trial_ms - now_ms - table->offset_ms;
  bool is_found = part->events >= table->options.refuse_ends || trial_ms == 0;

  judgement->verdict = is_found ? BT_PART_REFUSE : BT_PART_HOLD;
  judgement->part = part->part;
  judgement->ends = part->ends;
  judgement->retry_after_ms = trial_ms == 0 ? table->options.keep_ms : left_ms;
  if (judgement->retry_after_ms > 0)
    return;
  judgement->verdict = BT_PART_TRY;
  judgement->retry_after_ms = table->options.trial_ms;
}

/* A request with several held parts is never tried, since its end would not tell which of them is
 * at fault. */
static void
add_held (const bt_part_judgement_t *held, bt_part_judgement_t *judgement)
{
  bool is_first = judgement->verdict == BT_PART_RUN;

  if (is_first || (held->verdict == BT_PART_REFUSE && judgement->verdict != BT_PART_REFUSE)
      || (held->verdict == judgement->verdict && held->ends > judgement->ends))
    *judgement = *held;
  if (!is_first && judgement->verdict == BT_PART_TRY)
    judgement->verdict = BT_PART_HOLD;
}

void
bt_judge_parts (bt_part_table_t *table,
                const bt_prompt_parts_t *parts,
                bool stops_group,
                int64_t now_ms,
                bt_part_judgement_t *judgement)
{
  memset (judgement, 0, sizeof *judgement);
  if (parts == NULL || table->index.count == 0)
    return;
  table->index.judged++;
  for (int32_t i = 0; i < parts->count; i++)
    {
      bt_accused_part_t *part = bt_find_accused_part (&table->index, &parts->items[i]);
      bt_part_judgement_t held;

      if (part == NULL)
        continue;
      part->judged++;
      if (!bt_is_part_held (table, part, stops_group))
        continue;
      describe_held (table, part, stops_group, now_ms, &held);
      add_held (&held, judgement);
    }
}

bt_part_mark_t
bt_propose_part_trial (const bt_part_table_t *table,
                       const bt_fingerprint_t *part,
                       int64_t now_ms,
                       int64_t *revision)
{
  const bt_part_mark_row_t *row = bt_find_part_mark (table->marks, table->mark_count, part);
  bt_part_mark_t mark = { .part = *part };

  *revision = 0;
  if (row != NULL)
    {
      mark = row->mark;
      *revision = row->revision;
    }
  mark.trials++;
  mark.trial_ms = now_ms + table->offset_ms;
  return mark;
}
