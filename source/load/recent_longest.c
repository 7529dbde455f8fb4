#include "bilberrytray/load/recent_longest.h"

enum
{
  /* Long enough to hold the ends of several of the longest streams, 6 s on a slow group, since many
   * run at a time; short enough to forget a stall within the stop of a process. */
  SPAN_MS = 2000,
};

/* How many spans have begun since the one that is kept as the present one. */
static int64_t
count_spans (const bt_recent_longest_t *recent, int64_t now_ms)
{
  return (now_ms - recent->span_start_ms) / SPAN_MS;
}

void
bt_record_taken (bt_recent_longest_t *recent, int64_t taken_ms, int64_t now_ms)
{
  int64_t spans = count_spans (recent, now_ms);

  if (spans > 0)
    {
      recent->longest_before_ms = spans == 1 ? recent->longest_ms : 0;
      recent->longest_ms = 0;
      recent->span_start_ms += spans * SPAN_MS;
    }
  if (taken_ms > recent->longest_ms)
    recent->longest_ms = taken_ms;
}

int64_t
bt_get_recent_longest_ms (const bt_recent_longest_t *recent, int64_t now_ms)
{
  int64_t spans = count_spans (recent, now_ms);

  if (spans > 1)
    return 0;
  if (spans == 1)
    return recent->longest_ms;
  return recent->longest_ms > recent->longest_before_ms ? recent->longest_ms
                                                        : recent->longest_before_ms;
}
