#include "part_index.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Processes that one event ends, such as a loss of power, end within a few milliseconds. A retry
   * of a request that ended one endpoint takes longer to end the next. */
  SAME_MOMENT_MS = 10,
  /* An end within this time of another may have the same cause. */
  COMMON_CAUSE_MS = 200,
};

/** One part that one report accuses. */
typedef struct accusation
{
  const bt_fingerprint_t *part;
  const bt_part_end_row_t *row;
} accusation_t;

static int
compare_mark_part (const void *part, const void *row)
{
  return bt_compare_fingerprints (part, &((const bt_part_mark_row_t *)row)->mark.part);
}

const bt_part_mark_row_t *
bt_find_part_mark (const bt_part_mark_row_t *marks, int32_t count, const bt_fingerprint_t *part)
{
  return count == 0 ? NULL : bsearch (part, marks, (size_t)count, sizeof *marks, compare_mark_part);
}

static int
compare_accused_part (const void *part, const void *row)
{
  return bt_compare_fingerprints (part, &((const bt_accused_part_t *)row)->part);
}

bt_accused_part_t *
bt_find_accused_part (const bt_part_index_t *index, const bt_fingerprint_t *part)
{
  return index->count == 0 ? NULL
                           : bsearch (part, index->rows, (size_t)index->count, sizeof *index->rows,
                                      compare_accused_part);
}

/* Instances note the same end at slightly different times. */
static void
set_moments (bt_part_end_row_t *ends, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      ends[i].moment_ms = ends[i].end.ended_ms;
      for (int32_t j = 0; j < count; j++)
        if (bt_same_identity (&ends[i].end.endpoint, &ends[j].end.endpoint)
            && ends[j].end.ended_ms < ends[i].moment_ms)
          ends[i].moment_ms = ends[j].end.ended_ms;
    }
}

static int
compare_accusations (const void *left, const void *right)
{
  const accusation_t *one = left;
  const accusation_t *other = right;
  int order = bt_compare_fingerprints (one->part, other->part);

  if (order == 0 && one->row->moment_ms != other->row->moment_ms)
    order = one->row->moment_ms < other->row->moment_ms ? -1 : 1;
  if (order == 0)
    order = strcmp (one->row->end.endpoint.instance, other->row->end.endpoint.instance);
  return order;
}

/* Lists what the reports accuse, less what was cleared since; sorted by part and time. */
static int32_t
list_accusations (const bt_part_end_row_t *ends,
                  int32_t end_count,
                  const bt_part_mark_row_t *marks,
                  int32_t mark_count,
                  accusation_t *list)
{
  int32_t count = 0;

  for (int32_t i = 0; i < end_count; i++)
    for (int32_t j = 0; j < ends[i].end.count; j++)
      {
        const bt_fingerprint_t *part = &ends[i].end.parts[j];
        const bt_part_mark_row_t *mark = bt_find_part_mark (marks, mark_count, part);

        if (mark == NULL || ends[i].moment_ms > mark->mark.cleared_ms)
          list[count++] = (accusation_t){ part, &ends[i] };
      }
  if (count > 0)
    qsort (list, (size_t)count, sizeof *list, compare_accusations);
  return count;
}

static bool
accuses (const accusation_t *list, int32_t count, const bt_identity_t *endpoint)
{
  for (int32_t i = 0; i < count; i++)
    if (bt_same_identity (&list[i].row->end.endpoint, endpoint))
      return true;
  return false;
}

/* Returns true if another endpoint ended at the moment of an end that accuses a part, and did not
 * have that part. @p list has all accusations of the part. */
static bool
has_common_cause (const accusation_t *list,
                  int32_t count,
                  const bt_part_end_row_t *row,
                  const bt_part_end_row_t *ends,
                  int32_t end_count)
{
  for (int32_t i = 0; i < end_count; i++)
    if (llabs (ends[i].moment_ms - row->moment_ms) < COMMON_CAUSE_MS
        && !accuses (list, count, &ends[i].end.endpoint))
      return true;
  return false;
}

/* Describes a part by its accusations, which are sorted by time. */
static bt_accused_part_t
describe_part (const accusation_t *list,
               int32_t count,
               const bt_part_end_row_t *ends,
               int32_t end_count)
{
  bt_accused_part_t part = { .part = *list[0].part, .app = list[0].row->end.app };
  int64_t event_ms = 0;

  for (int32_t i = 0; i < count; i++)
    {
      const bt_part_end_row_t *row = list[i].row;

      if (accuses (list, i, &row->end.endpoint))
        continue;
      part.ends++;
      part.last_ended_ms = row->moment_ms;
      if (part.events == 0 || row->moment_ms - event_ms >= SAME_MOMENT_MS)
        {
          event_ms = row->moment_ms;
          part.events++;
        }
      part.suspected = part.suspected || !has_common_cause (list, count, row, ends, end_count);
    }
  return part;
}

static int32_t
count_parts (const bt_part_end_row_t *ends, int32_t count)
{
  int32_t parts = 0;

  for (int32_t i = 0; i < count; i++)
    parts += ends[i].end.count;
  return parts;
}

/* Returns the number of accusations of the first part in the list. */
static int32_t
count_first_part (const accusation_t *list, int32_t count)
{
  int32_t same = 1;

  while (same < count && bt_same_fingerprint (list[same].part, list[0].part))
    same++;
  return same;
}

void
bt_build_part_index (bt_context_t *ctx,
                     bt_part_index_t *index,
                     bt_part_end_row_t *ends,
                     int32_t end_count,
                     const bt_part_mark_row_t *marks,
                     int32_t mark_count)
{
  int32_t capacity = count_parts (ends, end_count);
  accusation_t *list = bt_calloc (ctx, (size_t)capacity + 1, sizeof *list);
  int32_t count;

  set_moments (ends, end_count);
  count = list_accusations (ends, end_count, marks, mark_count, list);
  bt_free (ctx, index->rows);
  index->rows = count == 0 ? NULL : bt_calloc (ctx, (size_t)count, sizeof *index->rows);
  index->count = 0;
  index->judged = 0;
  for (int32_t i = 0, same; i < count; i += same)
    {
      const bt_part_mark_row_t *mark = bt_find_part_mark (marks, mark_count, list[i].part);
      bt_accused_part_t part;

      same = count_first_part (list + i, count - i);
      part = describe_part (list + i, same, ends, end_count);
      part.trials = mark == NULL ? 0 : mark->mark.trials;
      part.trial_ms = mark == NULL ? 0 : mark->mark.trial_ms;
      part.trial_revision = mark == NULL ? 0 : mark->revision;
      index->rows[index->count++] = part;
    }
  bt_free (ctx, list);
}
