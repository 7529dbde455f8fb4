#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "sidecar_private.h"

bool
bt_is_different_engine_incarnation (int64_t first_ms, int64_t second_ms)
{
  return first_ms != 0 && second_ms != 0 && first_ms != second_ms;
}

static void
log_engine_limit (bt_sidecar_t *sidecar, const bt_engine_report_t *report)
{
  if (report->limited != sidecar->engine_limited)
    bt_log_event (sidecar->ctx, BT_LOG_WARNING,
                  report->limited ? "engine-limited" : "engine-limit-ended", "{s:f}", "per_s",
                  report->limit_per_s);
  sidecar->engine_limited = report->limited;
}

/* Reports are read several times a second, so a field is logged when it begins to be unreadable. */
static void
log_unreadable_field (bt_sidecar_t *sidecar, const bt_engine_report_t *report)
{
  const char *field = report->unreadable_field;

  if (field != NULL
      && (sidecar->unreadable_field == NULL || strcmp (field, sidecar->unreadable_field) != 0))
    bt_log_event (sidecar->ctx, BT_LOG_WARNING, "engine-unreadable", "{s:s, s:s}", "field", field,
                  "message", "The field has a wrong type or value and is left out.");
  sidecar->unreadable_field = field;
}

bool
bt_read_sidecar_engine_state (bt_sidecar_t *sidecar, bt_engine_report_t *report)
{
  bt_error_t error = { 0 };
  bool answered;

  bt_mark_sidecar_room_report (sidecar);
  sidecar->report_read_ms = bt_now_ms (sidecar->ctx);
  answered = bt_read_engine_state (sidecar->ctx, sidecar->engine, report, &error);
  bt_record_duration (sidecar->metrics.report_call,
                      bt_now_ms (sidecar->ctx) - sidecar->report_read_ms);
  if (answered == sidecar->engine_lost)
    bt_log_event (sidecar->ctx, answered ? BT_LOG_INFO : BT_LOG_WARNING,
                  answered ? "engine-regained" : "engine-lost", "{s:s}", "message", error.message);
  sidecar->engine_lost = !answered;
  if (answered
      && bt_is_different_engine_incarnation (sidecar->engine_started_ms, report->maps.started_ms))
    bt_log_event (sidecar->ctx, BT_LOG_INFO, "engine-restarted", "{s:I, s:I}", "started_ms",
                  (json_int_t)report->maps.started_ms, "before_ms",
                  (json_int_t)sidecar->engine_started_ms);
  if (!answered)
    return false;
  sidecar->engine_started_ms = report->maps.started_ms;
  log_engine_limit (sidecar, report);
  log_unreadable_field (sidecar, report);
  if (!report->load_unknown)
    bt_pass_sidecar_room_report (sidecar, report);
  return true;
}

/* Entries weight an engine by its report, so the report's age when it is sent is recorded. */
static void
record_report_age (bt_sidecar_t *sidecar)
{
  bt_record_duration (sidecar->metrics.report_age,
                      bt_now_ms (sidecar->ctx) - sidecar->report_read_ms);
}

void
bt_send_sidecar_result (bt_sidecar_t *sidecar,
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
  record_report_age (sidecar);
  bt_send_frame (sidecar->ctx, link, &frame);
}

/** Optional parts of a report in addition to the engine's state. */
typedef struct extras
{
  bt_engine_picks_t picks;
  bt_engine_places_t places;
  uint32_t *deltas;
} extras_t;

/* Computes the new picks for a link. Returns true when this report carries them. */
static bool
update_picks (
    bt_sidecar_t *sidecar, bt_sidecar_link_t *peer, int32_t rank, int64_t now_ms, extras_t *extras)
{
  if (extras->picks.counts == NULL || !bt_are_picks_due (&peer->picks_schedule, now_ms))
    return false;
  bt_count_new_picks (sidecar->ctx, &peer->reported, &extras->picks, extras->deltas);
  return bt_advance_picks_schedule (&peer->picks_schedule, rank, sidecar->settings->report_ms,
                                    now_ms);
}

static void
send_report (bt_sidecar_t *sidecar,
             bt_sidecar_link_t *peer,
             const bt_engine_report_t *report,
             int64_t now_ms,
             extras_t *extras)
{
  Bilberry__EngineReport message = BILBERRY__ENGINE_REPORT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  bt_write_engine_report (report, &message);
  if (update_picks (sidecar, peer, report->rank, now_ms, extras))
    {
      message.picks = extras->deltas;
      message.n_picks = (size_t)extras->picks.count;
    }
  if (peer->wants_places && extras->places.places != NULL
      && !bt_is_different_engine_incarnation (extras->places.started_ms, report->maps.started_ms))
    {
      message.has_places = true;
      message.places_epoch = extras->places.epoch;
      message.places_version = extras->places.version;
      message.places = extras->places.places;
      message.n_places = (size_t)extras->places.count;
      peer->wants_places = false;
    }
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_REPORT;
  frame.engine_report = &message;
  record_report_age (sidecar);
  bt_send_frame (sidecar->ctx, peer->link, &frame);
}

static void
log_unreadable_answer (bt_sidecar_t *sidecar, const char *field, const bt_error_t *error)
{
  bt_log_event (sidecar->ctx, BT_LOG_WARNING, "engine-unreadable", "{s:s, s:s}", "field", field,
                "message", error->message);
}

/* Reads each part by itself: the picks may be unreadable while the places are not. */
static void
read_extras (bt_sidecar_t *sidecar, bool picks, bool places, extras_t *extras)
{
  bt_error_t error = { 0 };

  memset (extras, 0, sizeof *extras);
  if (picks && !bt_read_engine_picks (sidecar->ctx, sidecar->engine, &extras->picks, &error))
    log_unreadable_answer (sidecar, "picks", &error);
  bt_clear_error (&error);
  if (places && !bt_read_engine_places (sidecar->ctx, sidecar->engine, &extras->places, &error))
    log_unreadable_answer (sidecar, "places", &error);
  extras->deltas = bt_calloc (sidecar->ctx, (size_t)extras->picks.count, sizeof *extras->deltas);
}

static void
drop_extras (bt_sidecar_t *sidecar, extras_t *extras)
{
  bt_free (sidecar->ctx, extras->picks.counts);
  bt_free (sidecar->ctx, extras->places.places);
  bt_free (sidecar->ctx, extras->deltas);
}

/* Returns true when a report on a link is due. */
static bool
is_report_due (const bt_sidecar_link_t *peer, int64_t now_ms)
{
  return peer->wants_places || now_ms >= peer->next_ms;
}

void
bt_send_sidecar_reports (bt_sidecar_t *sidecar)
{
  int64_t now_ms = bt_now_ms (sidecar->ctx);
  bt_engine_report_t report;
  extras_t extras;
  bool due = false;
  bool picks = false;
  bool places = false;

  pthread_mutex_lock (&sidecar->lock);
  for (const bt_sidecar_link_t *peer = sidecar->links; peer != NULL; peer = peer->next)
    {
      due = due || is_report_due (peer, now_ms);
      picks = picks || bt_are_picks_due (&peer->picks_schedule, now_ms);
      places = places || peer->wants_places;
    }
  pthread_mutex_unlock (&sidecar->lock);
  if (!due || !bt_read_sidecar_engine_state (sidecar, &report))
    return;
  read_extras (sidecar, picks, places, &extras);
  pthread_mutex_lock (&sidecar->lock);
  for (bt_sidecar_link_t *peer = sidecar->links; peer != NULL; peer = peer->next)
    if (is_report_due (peer, now_ms))
      {
        peer->next_ms =
            now_ms
            + (peer->leads_group ? sidecar->settings->report_ms : sidecar->settings->others_ms);
        send_report (sidecar, peer, &report, now_ms, &extras);
      }
  pthread_mutex_unlock (&sidecar->lock);
  drop_extras (sidecar, &extras);
}
