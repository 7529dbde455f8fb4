#include "crash_control.h"

#include <stddef.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "crash_items.h"
#include "port_probes.h"

enum
{
  EXPIRY_INTERVAL_MS = 5000,
};

struct bt_crash_control
{
  bt_endpoint_end_handler_t end_handler; /* must be first: handle_end casts it */
  bt_port_probes_handler_t probe_handler;
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  int64_t keep_ms;
  bt_endpoint_table_t *endpoints;
  bt_crash_table_t *table;
  const char *instance;
  bt_crash_reporter_t *reporter;
  bt_part_control_t *parts;
  bt_port_probes_t *probes;
  bt_timer_t expire_timer;
  bt_counter_t *known_gauge;
  int64_t era;           /* of the store in the last view; 0: none */
  bt_kv_position_t seen; /* position of the newest listed crash */
};

static void
report_update (bt_crash_control_t *control, const bt_crash_update_t *update)
{
  char key[BT_CRASH_KEY_BYTES];
  char *value = NULL;

  bt_write_crash_key (&update->crash, key);
  if (update->kind == BT_CRASH_PUBLISH)
    value = bt_write_crash_value (control->ctx, &update->crash, control->instance);
  bt_report_crash_item (control->reporter, key, value);
}

/* Logs each change of the crash table and reports it to the other instances. */
static void
publish_changes (bt_crash_control_t *control)
{
  bt_crash_update_t update;

  while (bt_take_crash_update (control->table, &update))
    {
      char text[BT_FINGERPRINT_TEXT_BYTES];

      bt_write_fingerprint (&update.crash.request, text);
      bt_log_event (control->ctx, BT_LOG_INFO,
                    update.kind == BT_CRASH_PUBLISH ? "crash-known" : "crash-forgotten",
                    "{s:s, s:s, s:I, s:i, s:b}", "fingerprint", text, "endpoint",
                    update.crash.endpoint.instance, "started_ms",
                    (json_int_t)update.crash.endpoint.incarnation, "ends",
                    bt_count_crashes (control->table, &update.crash.request), "at_start",
                    update.crash.at_start);
      report_update (control, &update);
    }
  bt_set_gauge (control->known_gauge, bt_count_known_crashes (control->table));
}

static void
record_end (bt_crash_control_t *control, const bt_identity_t *endpoint)
{
  bt_note_endpoint_end (control->ctx, control->table, endpoint, bt_get_loop_ms (control->loop));
  publish_changes (control);
  bt_report_part_end (control->parts, endpoint);
}

static void
handle_end (bt_endpoint_end_handler_t *handler, const bt_identity_t *endpoint)
{
  record_end ((bt_crash_control_t *)handler, endpoint);
}

static void
handle_refused (bt_port_probes_handler_t *handler, const bt_identity_t *endpoint)
{
  bt_crash_control_t *control =
      (bt_crash_control_t *)((char *)handler - offsetof (bt_crash_control_t, probe_handler));

  bt_suspend_ended_endpoint (control->ctx, control->endpoints, endpoint,
                             bt_get_loop_ms (control->loop));
  record_end (control, endpoint);
}

static void
expire (bt_timer_t *timer)
{
  bt_crash_control_t *control =
      (bt_crash_control_t *)((char *)timer - offsetof (bt_crash_control_t, expire_timer));
  int64_t now_ms = bt_get_loop_ms (control->loop);

  bt_set_crash_clock_offset (control->table, bt_read_wall_ms () - now_ms);
  bt_expire_crashes (control->ctx, control->table, now_ms);
  publish_changes (control);
  bt_set_timer (control->loop, timer, now_ms + EXPIRY_INTERVAL_MS);
}

bt_crash_control_t *
bt_new_crash_control (bt_context_t *ctx,
                      bt_event_loop_t *loop,
                      const bt_crash_control_options_t *options,
                      bt_endpoint_table_t *endpoints)
{
  bt_crash_control_t *control = bt_calloc (ctx, 1, sizeof *control);
  bt_crash_options_t table;

  bt_default_crash_options (&table);
  table.max_ends = (int32_t)options->max_ends;
  table.hold_ms = options->hold_ms;
  table.keep_ms = options->keep_ms;
  bt_fill_secure_random (&table.seed, sizeof table.seed);
  control->ctx = ctx;
  control->loop = loop;
  control->keep_ms = options->keep_ms;
  control->endpoints = endpoints;
  control->table = bt_new_crash_table (ctx, &table);
  bt_set_crash_clock_offset (control->table, bt_read_wall_ms () - bt_get_loop_ms (loop));
  control->instance = options->instance;
  control->reporter = options->reporter;
  control->parts = options->parts;
  control->probe_handler.on_refused = handle_refused;
  control->probes = bt_new_port_probes (ctx, loop, &control->probe_handler);
  control->known_gauge =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_known_crashes",
                       "Ends of endpoints under requests that are known.", NULL, NULL);
  control->end_handler.on_end = handle_end;
  bt_set_endpoint_end_handler (endpoints, &control->end_handler);
  control->expire_timer.on_expiry = expire;
  bt_set_timer (loop, &control->expire_timer, bt_get_loop_ms (loop) + EXPIRY_INTERVAL_MS);
  return control;
}

void
bt_drop_crash_control (bt_context_t *ctx, bt_crash_control_t *control)
{
  if (control == NULL)
    return;
  bt_clear_timer (control->loop, &control->expire_timer);
  bt_drop_port_probes (ctx, control->probes);
  bt_drop_crash_table (ctx, control->table);
  bt_free (ctx, control);
}

void
bt_add_crash_suspect (bt_crash_control_t *control, const bt_crash_t *attempt, const char *address)
{
  bt_note_broken_attempt (control->ctx, control->table, attempt, bt_get_loop_ms (control->loop));
  publish_changes (control);
  bt_probe_port (control->probes, address, &attempt->endpoint);
}

void
bt_clear_crash_suspect (bt_crash_control_t *control, const bt_crash_t *attempt, int64_t sent_ms)
{
  bt_note_complete_answer (control->ctx, control->table, attempt, sent_ms);
  publish_changes (control);
}

/* Suspends the endpoints whose crash other instances report. If this instance has not noticed the
 * end of such an endpoint, a request sent to it could only run in its next incarnation, and a
 * crash there would be mistaken for the crash that is already known. */
static void
suspend_ended_endpoints (bt_crash_control_t *control, const bt_view_t *view)
{
  bt_kv_position_t newest = control->seen;

  for (int32_t i = 0; i < view->crash_count; i++)
    {
      bt_kv_position_t position = { view->era, view->crashes[i].revision };

      if (bt_compare_kv_positions (position, control->seen) > 0)
        bt_suspend_ended_endpoint (control->ctx, control->endpoints,
                                   &view->crashes[i].crash.endpoint,
                                   bt_get_loop_ms (control->loop));
      if (bt_compare_kv_positions (position, newest) > 0)
        newest = position;
    }
  control->seen = newest;
}

void
bt_set_listed_crashes (bt_crash_control_t *control, const bt_view_t *view)
{
  int64_t now_ms = bt_get_loop_ms (control->loop);
  bool restored = control->era != 0 && control->era != view->era;

  control->era = view->era;
  if (restored)
    bt_apply_restored_crashes (control->ctx, control->table, view->crashes, view->crash_count,
                               now_ms);
  else
    bt_apply_listed_crashes (control->ctx, control->table, view->crashes, view->crash_count,
                             now_ms);
  if (restored)
    publish_changes (control);
  suspend_ended_endpoints (control, view);
  bt_set_gauge (control->known_gauge, bt_count_known_crashes (control->table));
}

bool
bt_has_known_crashes (const bt_crash_control_t *control)
{
  return bt_count_known_crashes (control->table) > 0;
}

bool
bt_has_crash_suspects (const bt_crash_control_t *control)
{
  return bt_has_known_crashes (control) || bt_has_suspects (control->table);
}

int32_t
bt_count_crash_ends (const bt_crash_control_t *control, const bt_fingerprint_t *request)
{
  return bt_count_crashes (control->table, request);
}

bt_crash_verdict_t
bt_check_crashing_request (bt_crash_control_t *control,
                           const bt_fingerprint_t *request,
                           bool stops_group,
                           int64_t *retry_after_ms)
{
  int64_t now_ms = bt_get_loop_ms (control->loop);
  bt_crash_verdict_t verdict =
      bt_judge_request (control->table, request, stops_group, now_ms, retry_after_ms);

  if (verdict != BT_CRASH_REFUSE)
    return verdict;
  bt_renew_crashes (control->ctx, control->table, request, now_ms);
  publish_changes (control);
  *retry_after_ms = control->keep_ms;
  return verdict;
}

void
bt_try_held_request (bt_crash_control_t *control, const bt_fingerprint_t *request)
{
  bt_begin_crash_trial (control->table, request, bt_get_loop_ms (control->loop));
}
