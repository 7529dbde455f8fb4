#include <string.h>

#include "part_table_private.h"

void
bt_remove_part_mark_row (bt_part_table_t *table, int32_t index)
{
  table->mark_count--;
  memmove (&table->marks[index], &table->marks[index + 1],
           (size_t)(table->mark_count - index) * sizeof *table->marks);
}

/* Returns true if the list is the one that was applied last. */
static bool
is_unchanged (const bt_part_table_t *table, const bt_part_list_t *list)
{
  int32_t ends = 0;
  int32_t marks = 0;

  for (int32_t i = 0; i < table->end_count; i++)
    ends += table->ends[i].revision > 0 ? 1 : 0;
  for (int32_t i = 0; i < table->mark_count; i++)
    marks += table->marks[i].revision > 0 ? 1 : 0;
  if (ends != list->end_count || marks != list->mark_count)
    return false;
  for (int32_t i = 0; i < list->end_count; i++)
    {
      const bt_part_end_row_t *row =
          bt_find_part_end_row (table, &list->ends[i].end.endpoint, list->ends[i].end.reporter);

      if (row == NULL || row->revision != list->ends[i].revision)
        return false;
    }
  for (int32_t i = 0; i < list->mark_count; i++)
    {
      const bt_part_mark_row_t *row =
          bt_find_part_mark (table->marks, table->mark_count, &list->marks[i].mark.part);

      if (row == NULL || row->revision != list->marks[i].revision)
        return false;
    }
  return true;
}

static void
apply_end (bt_context_t *ctx, bt_part_table_t *table, const bt_listed_part_end_t *listed)
{
  bt_part_end_row_t *row =
      bt_find_part_end_row (table, &listed->end.endpoint, listed->end.reporter);
  bool is_older = row != NULL && row->reported && row->end.count > listed->end.count;

  if (row == NULL)
    row = bt_add_part_end_row (ctx, table, &listed->end);
  else if (!is_older)
    {
      bt_free (ctx, row->end.parts);
      row->end = listed->end;
      row->end.parts = NULL;
      if (listed->end.count > 0)
        row->end.parts = bt_memdup (ctx, listed->end.parts,
                                    (size_t)listed->end.count * sizeof *listed->end.parts);
    }
  row->revision = listed->revision;
  row->listed = true;
}

/* Returns true if a mark is later than another of the same part: the part was cleared later, or
 * tried more often since it was cleared last. */
static bool
is_later_mark (const bt_part_mark_t *one, const bt_part_mark_t *other)
{
  if (one->cleared_ms != other->cleared_ms)
    return one->cleared_ms > other->cleared_ms;
  return one->trials > other->trials;
}

static int32_t
find_mark_position (const bt_part_table_t *table, const bt_fingerprint_t *part)
{
  int32_t at = 0;

  while (at < table->mark_count && bt_compare_fingerprints (&table->marks[at].mark.part, part) < 0)
    at++;
  return at;
}

/* Applies a listed mark. A mark that this instance knows to be later is kept: its write is on its
 * way, or the store was restored without it. */
static void
apply_mark (bt_context_t *ctx, bt_part_table_t *table, const bt_listed_part_mark_t *listed)
{
  int32_t at = find_mark_position (table, &listed->mark.part);
  bt_part_mark_row_t *row = &table->marks[at];

  if (at == table->mark_count || !bt_same_fingerprint (&row->mark.part, &listed->mark.part))
    {
      table->marks =
          bt_realloc (ctx, table->marks, (size_t)table->mark_count + 1, sizeof *table->marks);
      row = &table->marks[at];
      memmove (row + 1, row, (size_t)(table->mark_count - at) * sizeof *row);
      table->mark_count++;
      row->mark = listed->mark;
    }
  else if (!is_later_mark (&row->mark, &listed->mark))
    row->mark = listed->mark;
  row->revision = listed->revision;
  row->listed = true;
}

/* Removes what was listed before and is missing now. */
static void
remove_missing (bt_context_t *ctx, bt_part_table_t *table)
{
  for (int32_t i = table->end_count - 1; i >= 0; i--)
    if (table->ends[i].revision > 0 && !table->ends[i].listed)
      bt_remove_part_end_row (ctx, table, i);
  for (int32_t i = table->mark_count - 1; i >= 0; i--)
    if (table->marks[i].revision > 0 && !table->marks[i].listed)
      bt_remove_part_mark_row (table, i);
}

/* Publishes what the restored store lacks: the ends that this instance reported, and later marks.
 */
static void
publish_again (bt_context_t *ctx, bt_part_table_t *table, const bt_part_list_t *list)
{
  for (int32_t i = 0; i < table->end_count; i++)
    if (table->ends[i].reported && !table->ends[i].listed)
      bt_queue_part_end (ctx, table, BT_PART_PUBLISH_END, &table->ends[i].end);
  for (int32_t i = 0; i < table->mark_count; i++)
    if (!table->marks[i].listed)
      bt_queue_part_mark (ctx, table, BT_PART_PUBLISH_MARK, &table->marks[i].mark);
  for (int32_t i = 0; i < list->mark_count; i++)
    {
      const bt_part_mark_row_t *row =
          bt_find_part_mark (table->marks, table->mark_count, &list->marks[i].mark.part);

      if (row != NULL && is_later_mark (&row->mark, &list->marks[i].mark))
        bt_queue_part_mark (ctx, table, BT_PART_PUBLISH_MARK, &row->mark);
    }
}

void
bt_apply_part_list (bt_context_t *ctx,
                    bt_part_table_t *table,
                    const bt_part_list_t *list,
                    bool restored)
{
  if (!restored && is_unchanged (table, list))
    return;
  for (int32_t i = 0; i < table->end_count; i++)
    {
      table->ends[i].listed = false;
      table->ends[i].revision = restored ? 0 : table->ends[i].revision;
    }
  for (int32_t i = 0; i < table->mark_count; i++)
    {
      table->marks[i].listed = false;
      table->marks[i].revision = restored ? 0 : table->marks[i].revision;
    }
  for (int32_t i = 0; i < list->end_count; i++)
    apply_end (ctx, table, &list->ends[i]);
  for (int32_t i = 0; i < list->mark_count; i++)
    apply_mark (ctx, table, &list->marks[i]);
  remove_missing (ctx, table);
  if (restored)
    publish_again (ctx, table, list);
  bt_rebuild_part_index (ctx, table);
}
