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
  /* An instance that notes an end this much later than another had nothing there when it came. */
  LATE_REPORT_MS = 250,
};

/** One part that one report accuses. */
typedef struct accusation
{
  const bt_fingerprint_t *part;
  bool again;
  bt_part_end_row_t *row;
} accusation_t;

/** The accusations of one part, and what follows from them. */
typedef struct suspect
{
  const accusation_t *list;
  int32_t count;
  bool found;       /* it explains its ends */
  bool was_cleared; /* it has been answered before */
  bt_accused_part_t part;
} suspect_t;

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
      ends[i].explained = false;
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
list_accusations (bt_part_end_row_t *ends,
                  int32_t end_count,
                  const bt_part_mark_row_t *marks,
                  int32_t mark_count,
                  accusation_t *list)
{
  int32_t count = 0;

  for (int32_t i = 0; i < end_count; i++)
    for (int32_t j = 0; j < ends[i].end.count; j++)
      {
        const bt_fingerprint_t *part = &ends[i].end.parts[j].part;
        const bt_part_mark_row_t *mark = bt_find_part_mark (marks, mark_count, part);

        if (ends[i].end.ended_ms <= ends[i].moment_ms + LATE_REPORT_MS
            && (mark == NULL || ends[i].moment_ms > mark->mark.cleared_ms))
          list[count++] = (accusation_t){ part, ends[i].end.parts[j].again, &ends[i] };
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

/* Returns true if only retries had a part at an endpoint that ended, by all reports of that end. */
static bool
is_only_again (const accusation_t *list, int32_t count, const bt_identity_t *endpoint)
{
  for (int32_t i = 0; i < count; i++)
    if (!list[i].again && bt_same_identity (&list[i].row->end.endpoint, endpoint))
      return false;
  return true;
}

/* Describes a part by its accusations, which are sorted by time, less the explained ends. */
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
      const bt_identity_t *endpoint = &row->end.endpoint;

      if (row->explained || accuses (list, i, endpoint))
        continue;
      part.ends++;
      part.last_ended_ms = row->moment_ms;
      if (part.events == 0
          || (row->moment_ms - event_ms >= SAME_MOMENT_MS
              && !is_only_again (list, count, endpoint)))
        {
          event_ms = row->moment_ms;
          part.events++;
        }
      part.suspected = part.suspected || !has_common_cause (list, count, row, ends, end_count);
    }
  return part;
}

/* Returns a number below 0 if one part is accused more often than another, 0 if as often. */
static int32_t
compare_suspects (const suspect_t *one, const suspect_t *other)
{
  if (one->part.events != other->part.events)
    return other->part.events - one->part.events;
  return other->part.ends - one->part.ends;
}

/* Marks the ends of a part as explained. All reports of an end are marked. */
static void
explain_ends (const suspect_t *suspect, bt_part_end_row_t *ends, int32_t end_count)
{
  for (int32_t i = 0; i < end_count; i++)
    ends[i].explained =
        ends[i].explained || accuses (suspect->list, suspect->count, &ends[i].end.endpoint);
}

/* Finds the part that is accused most often of those that explain nothing yet; NULL if none is
 * accused by more than one end. A part that has been answered before is hardly at fault, but may be
 * in most prompts, and so be accused most often. */
static suspect_t *
find_most_accused (suspect_t *suspects, int32_t count)
{
  suspect_t *most = NULL;

  for (int32_t i = 0; i < count; i++)
    if (!suspects[i].found && !suspects[i].was_cleared && suspects[i].part.events > 1
        && (most == NULL || compare_suspects (&suspects[i], most) < 0))
      most = &suspects[i];
  return most;
}

/* Keeps the parts that are accused as often as the given one: nothing tells them apart yet. */
static void
keep_equals (suspect_t *suspects, int32_t count, const suspect_t *most)
{
  bt_accused_part_t part = most->part;

  for (int32_t i = 0; i < count; i++)
    suspects[i].found =
        suspects[i].found
        || (suspects[i].part.events == part.events && suspects[i].part.ends == part.ends);
}

/* Describes a part by the ends that are not explained yet. */
static void
describe_again (suspect_t *suspect, const bt_part_end_row_t *ends, int32_t end_count)
{
  bt_accused_part_t before = suspect->part;

  suspect->part = describe_part (suspect->list, suspect->count, ends, end_count);
  suspect->part.trials = before.trials;
  suspect->part.trial_ms = before.trial_ms;
}

/* Lets the most accused parts explain their ends, one after the other, so that the others are
 * accused by the ends that are left. A part with @p most_events moments stays accused. */
static void
explain_suspects (suspect_t *suspects,
                  int32_t count,
                  int32_t most_events,
                  bt_part_end_row_t *ends,
                  int32_t end_count)
{
  suspect_t *most;

  while ((most = find_most_accused (suspects, count)) != NULL)
    {
      keep_equals (suspects, count, most);
      for (int32_t i = 0; i < count; i++)
        if (suspects[i].found && !suspects[i].was_cleared)
          explain_ends (&suspects[i], ends, end_count);
      for (int32_t i = 0; i < count; i++)
        if (!suspects[i].found && suspects[i].part.events < most_events)
          describe_again (&suspects[i], ends, end_count);
    }
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

/* Groups sorted accusations by part. */
static int32_t
group_accusations (const accusation_t *list,
                   int32_t count,
                   const bt_part_end_row_t *ends,
                   int32_t end_count,
                   suspect_t *suspects)
{
  int32_t parts = 0;

  for (int32_t i = 0; i < count; i += suspects[parts++].count)
    suspects[parts] = (suspect_t){
      .list = list + i,
      .count = count_first_part (list + i, count - i),
      .part = describe_part (list + i, count_first_part (list + i, count - i), ends, end_count),
    };
  return parts;
}

static void
add_marks (suspect_t *suspects, int32_t count, const bt_part_mark_row_t *marks, int32_t mark_count)
{
  for (int32_t i = 0; i < count; i++)
    {
      const bt_part_mark_row_t *row = bt_find_part_mark (marks, mark_count, &suspects[i].part.part);

      if (row == NULL)
        continue;
      suspects[i].was_cleared = row->mark.cleared_ms > 0;
      suspects[i].part.trials = row->mark.trials;
      suspects[i].part.trial_ms = row->mark.trial_ms;
    }
}

void
bt_build_part_index (bt_context_t *ctx,
                     bt_part_index_t *index,
                     bt_part_end_row_t *ends,
                     int32_t end_count,
                     const bt_part_mark_row_t *marks,
                     int32_t mark_count,
                     int32_t most_events)
{
  int32_t capacity = count_parts (ends, end_count);
  accusation_t *list = bt_calloc (ctx, (size_t)capacity + 1, sizeof *list);
  suspect_t *suspects = bt_calloc (ctx, (size_t)capacity + 1, sizeof *suspects);
  int32_t count;

  set_moments (ends, end_count);
  count = list_accusations (ends, end_count, marks, mark_count, list);
  count = group_accusations (list, count, ends, end_count, suspects);
  add_marks (suspects, count, marks, mark_count);
  explain_suspects (suspects, count, most_events, ends, end_count);
  bt_free (ctx, index->rows);
  index->rows = count == 0 ? NULL : bt_calloc (ctx, (size_t)count, sizeof *index->rows);
  index->count = 0;
  index->judged = 0;
  for (int32_t i = 0; i < count; i++)
    if (suspects[i].part.ends > 0)
      index->rows[index->count++] = suspects[i].part;
  bt_free (ctx, suspects);
  bt_free (ctx, list);
}
