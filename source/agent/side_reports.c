#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "side_private.h"

bool
bt_is_other_engine_start (int64_t one_ms, int64_t other_ms)
{
  return one_ms != 0 && other_ms != 0 && one_ms != other_ms;
}

bool
bt_read_side_state (bt_side_t *side, bt_engine_report_t *report)
{
  bt_error_t error = { 0 };
  bool there;

  side->read_ms = bt_now_ms (side->ctx);
  there = bt_read_engine_state (side->ctx, side->engine, report, &error);
  bt_record_duration (side->figures.report_call, bt_now_ms (side->ctx) - side->read_ms);
  if (there == side->lost)
    bt_log_event (side->ctx, there ? BT_LOG_INFO : BT_LOG_WARNING,
                  there ? "engine-regained" : "engine-lost", "{s:s}", "message", error.message);
  side->lost = !there;
  if (there && bt_is_other_engine_start (side->started_ms, report->maps.started_ms))
    bt_log_event (side->ctx, BT_LOG_INFO, "engine-restarted", "{s:I, s:I}", "started_ms",
                  (json_int_t)report->maps.started_ms, "before_ms", (json_int_t)side->started_ms);
  if (there)
    side->started_ms = report->maps.started_ms;
  return there;
}

/* An entry weighs an engine by a report, so it matters how old that is when it leaves. */
static void
record_age (bt_side_t *side)
{
  bt_record_duration (side->figures.report_age, bt_now_ms (side->ctx) - side->read_ms);
}

void
bt_send_side_result (bt_side_t *side,
                     bt_link_t *link,
                     uint64_t order_id,
                     bt_order_result_t result,
                     int32_t status,
                     const bt_engine_report_t *report)
{
  Bilberry__EngineReport report_message = BILBERRY__ENGINE_REPORT__INIT;
  Bilberry__EngineResult message = BILBERRY__ENGINE_RESULT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  bt_write_engine_report (report, &report_message);
  message.id = order_id;
  message.result = (uint32_t)result;
  message.status = (uint32_t)status;
  message.report = &report_message;
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_RESULT;
  frame.engine_result = &message;
  record_age (side);
  bt_send_frame (side->ctx, link, &frame);
}

/** What one report may carry beside the engine's state. */
typedef struct extras
{
  bt_engine_picks_t picks;
  bt_engine_places_t places;
  uint32_t *deltas;
} extras_t;

/* Counts the picks that are new on a link, and says whether they are told now. */
static bool
take_picks (bt_side_t *side, bt_side_link_t *row, int32_t rank, int64_t now_ms, extras_t *extras)
{
  if (extras->picks.counts == NULL || !bt_are_picks_due (&row->picks, now_ms))
    return false;
  bt_count_new_picks (side->ctx, &row->told, &extras->picks, extras->deltas);
  return bt_take_picks_turn (&row->picks, rank, side->settings->report_ms, now_ms);
}

static void
send_report (bt_side_t *side,
             bt_side_link_t *row,
             const bt_engine_report_t *report,
             int64_t now_ms,
             extras_t *extras)
{
  Bilberry__EngineReport message = BILBERRY__ENGINE_REPORT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  bt_write_engine_report (report, &message);
  if (take_picks (side, row, report->rank, now_ms, extras))
    {
      message.picks = extras->deltas;
      message.n_picks = (size_t)extras->picks.count;
    }
  if (row->wants_places && extras->places.places != NULL
      && !bt_is_other_engine_start (extras->places.started_ms, report->maps.started_ms))
    {
      message.has_places = true;
      message.places_epoch = extras->places.epoch;
      message.places_version = extras->places.version;
      message.places = extras->places.places;
      message.n_places = (size_t)extras->places.count;
      row->wants_places = false;
    }
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_REPORT;
  frame.engine_report = &message;
  record_age (side);
  bt_send_frame (side->ctx, row->link, &frame);
}

static void
read_extras (bt_side_t *side, bool picks, bool places, extras_t *extras)
{
  bt_error_t error = { 0 };

  memset (extras, 0, sizeof *extras);
  if ((picks && !bt_read_engine_picks (side->ctx, side->engine, &extras->picks, &error))
      || (places && !bt_read_engine_places (side->ctx, side->engine, &extras->places, &error)))
    bt_log_event (side->ctx, BT_LOG_WARNING, "engine-unreadable", "{s:s}", "message",
                  error.message);
  extras->deltas = bt_calloc (side->ctx, (size_t)extras->picks.count, sizeof *extras->deltas);
}

static void
drop_extras (bt_side_t *side, extras_t *extras)
{
  bt_free (side->ctx, extras->picks.counts);
  bt_free (side->ctx, extras->places.places);
  bt_free (side->ctx, extras->deltas);
}

/* True when a link is to get a report now. */
static bool
is_report_due (const bt_side_link_t *row, int64_t now_ms)
{
  return row->wants_places || now_ms >= row->next_ms;
}

void
bt_report_side_to_all (bt_side_t *side)
{
  int64_t now_ms = bt_now_ms (side->ctx);
  bt_engine_report_t report;
  extras_t extras;
  bool due = false;
  bool picks = false;
  bool places = false;

  pthread_mutex_lock (&side->lock);
  for (const bt_side_link_t *row = side->links; row != NULL; row = row->next)
    {
      due = due || is_report_due (row, now_ms);
      picks = picks || bt_are_picks_due (&row->picks, now_ms);
      places = places || row->wants_places;
    }
  pthread_mutex_unlock (&side->lock);
  if (!due || !bt_read_side_state (side, &report))
    return;
  read_extras (side, picks, places, &extras);
  pthread_mutex_lock (&side->lock);
  for (bt_side_link_t *row = side->links; row != NULL; row = row->next)
    if (is_report_due (row, now_ms))
      {
        row->next_ms =
            now_ms + (row->follows ? side->settings->report_ms : side->settings->others_ms);
        send_report (side, row, &report, now_ms, &extras);
      }
  pthread_mutex_unlock (&side->lock);
  drop_extras (side, &extras);
}
