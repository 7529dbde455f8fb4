#include <string.h>

#include "bilberrytray/base/limit.h"
#include "part_table_private.h"

enum
{
  /* All attempts at an endpoint that ends break off within this time. */
  SAME_END_MS = 1000,
};

/* Adds a part to a report, sorted. Returns false if that changes nothing or the report is full. */
static bool
add_part (bt_context_t *ctx, bt_part_end_t *end, const bt_fingerprint_t *part, bool again)
{
  int32_t at = 0;

  while (at < end->count && bt_compare_fingerprints (&end->parts[at], part) < 0)
    at++;
  if (at < end->count && bt_same_fingerprint (&end->parts[at].part, part))
    {
      bool changed = end->parts[at].again && !again;

      end->parts[at].again = end->parts[at].again && again;
      return changed;
    }
  if (end->count == BT_MAX_END_PARTS)
    {
      bt_report_limit (ctx, "parts-of-an-end", BT_MAX_END_PARTS, end->endpoint.instance,
                       "A part that ran when this endpoint ended is not recorded.");
      return false;
    }
  end->parts = bt_realloc (ctx, end->parts, (size_t)end->count + 1, sizeof *end->parts);
  memmove (&end->parts[at + 1], &end->parts[at], (size_t)(end->count - at) * sizeof *end->parts);
  end->parts[at] = (bt_end_part_t){ *part, again };
  end->count++;
  return true;
}

/* Returns true if an attempt was in progress at its endpoint when that ended, and broke off by it.
 * Whatever was sent later broke off too, if something else accepts connections at its address. */
static bool
was_running (const bt_part_suspect_t *suspect, int64_t ended_ms)
{
  return !suspect->attempt.stalled && suspect->attempt.sent_ms <= ended_ms
         && suspect->broken_ms >= ended_ms && suspect->broken_ms <= ended_ms + SAME_END_MS;
}

/* Adds what a suspect tells to this instance's report of an end, and publishes the report if that
 * changed it. A suspect whose answer had begun accuses nothing, but the end itself is reported: it
 * may share its cause with others at that moment. */
static void
report_suspect (bt_context_t *ctx,
                bt_part_table_t *table,
                const bt_part_suspect_t *suspect,
                int64_t ended_ms)
{
  const bt_part_attempt_t *attempt = &suspect->attempt;
  bt_part_end_row_t *row =
      bt_find_part_end_row (table, &attempt->endpoint, table->options.instance);
  bool changed = row == NULL;
  bt_part_end_t end = { .endpoint = attempt->endpoint, .ended_ms = ended_ms + table->offset_ms };

  if (row == NULL)
    {
      bt_copy_name (end.app, attempt->app);
      bt_copy_name (end.reporter, table->options.instance);
      row = bt_add_part_end_row (ctx, table, &end);
      row->reported = true;
    }
  for (int32_t i = 0; attempt->at_start && attempt->parts != NULL && i < attempt->parts->count; i++)
    changed = add_part (ctx, &row->end, &attempt->parts->items[i], attempt->again) || changed;
  row->unpublished = row->unpublished || changed;
}

/* Publishes the reports that have changed. */
static void
publish_ends (bt_context_t *ctx, bt_part_table_t *table)
{
  for (int32_t i = 0; i < table->end_count; i++)
    {
      if (!table->ends[i].unpublished)
        continue;
      table->ends[i].unpublished = false;
      bt_queue_part_end (ctx, table, BT_PART_PUBLISH_END, &table->ends[i].end);
    }
  bt_rebuild_part_index (ctx, table);
}

void
bt_note_broken_parts (bt_context_t *ctx,
                      bt_part_table_t *table,
                      const bt_part_attempt_t *attempt,
                      int64_t now_ms)
{
  bt_part_suspect_t suspect = { *attempt, now_ms };
  int64_t ended_ms;

  if (!bt_has_part_ended (&table->suspects, &attempt->endpoint, &ended_ms))
    {
      bt_add_part_suspect (ctx, &table->suspects, attempt, now_ms);
      return;
    }
  if (!was_running (&suspect, ended_ms))
    return;
  report_suspect (ctx, table, &suspect, ended_ms);
  publish_ends (ctx, table);
}

void
bt_note_part_end (bt_context_t *ctx,
                  bt_part_table_t *table,
                  const bt_identity_t *endpoint,
                  int64_t now_ms)
{
  int64_t ended_ms = bt_find_part_end_ms (&table->suspects, endpoint, now_ms);
  bt_part_suspect_t suspect;

  bt_add_part_ended (&table->suspects, endpoint, ended_ms);
  while (bt_take_part_suspect (&table->suspects, endpoint, INT64_MAX, &suspect))
    {
      if (was_running (&suspect, ended_ms))
        report_suspect (ctx, table, &suspect, ended_ms);
      bt_drop_prompt_parts (ctx, suspect.attempt.parts);
    }
  publish_ends (ctx, table);
}
