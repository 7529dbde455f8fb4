#include "timings.h"

void
bt_open_timings (bt_context_t *ctx, bt_timings_t *timings)
{
  timings->queue_wait = bt_new_histogram (ctx, "bilberry_queue_wait_ms",
                                          "From a request's arrival to its first attempt.");
  timings->first_part = bt_new_histogram (ctx, "bilberry_first_part_ms",
                                          "From a request's arrival to the first of its answer.");
  timings->event_pause = bt_new_histogram (ctx, "bilberry_event_pause_ms",
                                           "Between two parts of a stream that were passed on.");
  timings->total = bt_new_histogram (ctx, "bilberry_request_ms",
                                     "From a request's arrival to its end, good or bad.");
  timings->view_age =
      bt_new_histogram (ctx, "bilberry_view_age_ms",
                        "Age of the last full read of the store when a request was sent.");
  timings->load_age = bt_new_histogram (ctx, "bilberry_load_age_ms",
                                        "Age of an engine's load when it was taken in.");
}

void
bt_close_timings (bt_context_t *ctx, bt_timings_t *timings)
{
  bt_drop_histogram (ctx, timings->queue_wait);
  bt_drop_histogram (ctx, timings->first_part);
  bt_drop_histogram (ctx, timings->event_pause);
  bt_drop_histogram (ctx, timings->total);
  bt_drop_histogram (ctx, timings->view_age);
  bt_drop_histogram (ctx, timings->load_age);
}
