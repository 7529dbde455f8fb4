#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"
#include "forward.h"

enum
{
  STATUS_MISDIRECTED = 421,
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_UNAVAILABLE = 503,
};

void
bt_publish_notices (bt_gateway_t *gateway)
{
  int64_t now_ms = bt_get_loop_ms (gateway->loop);

  bt_update_endpoint_status (gateway->ctx, gateway->endpoint_status, gateway->router, now_ms);
  bt_set_gauge (bt_find_counter (gateway->ctx, BT_GAUGE, "bilberry_limited_endpoints",
                                 "Endpoints that name a limit for all entries together.", NULL,
                                 NULL),
                bt_count_limited_endpoints (gateway->router));
  bt_set_gauge (bt_find_counter (gateway->ctx, BT_GAUGE, "bilberry_resting_endpoints",
                                 "Endpoints that have asked this instance for a rest.", NULL, NULL),
                bt_count_resting_endpoints (gateway->router, now_ms));
}

static void
log_limit (const bt_forward_t *forward, bt_limit_change_t change)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_identity_t *endpoint = &forward->route.identity;
  const bt_limit_share_t *share;
  bt_endpoint_limit_t limit;
  int64_t known_ms;

  if (!bt_get_endpoint_limit (gateway->router, endpoint, &limit))
    return;
  share = bt_get_latest_limit_share (&limit);
  known_ms = bt_get_loop_ms (gateway->loop) - limit.named_ms;
  bt_log_event (gateway->ctx, BT_LOG_WARNING,
                change == BT_LIMIT_ENDED ? "endpoint-limit-ended" : "endpoint-limited",
                "{s:s, s:f, s:I, s:I, s:I, s:b}", "endpoint", endpoint->instance, "per_s",
                limit.per_s, "known_ms", (json_int_t)known_ms, "sent", (json_int_t)limit.sent,
                "interval_ms", (json_int_t)share->interval_ms, "probe", share->is_probe);
  bt_publish_notices (gateway);
}

static bool
answers_other_request (const bt_forward_t *forward)
{
  const char *answered = forward->answer.request_id;

  return answered[0] != '\0' && strcmp (answered, forward->info.request_id) != 0;
}

static void
note_limit (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_answer_info_t *answer = &forward->answer;
  bt_limit_notice_t notice = {
    .named = answer->has_limit,
    .per_s = answer->limit_per_s,
    .authentic = (answer->marked || answer->not_run) && !answers_other_request (forward),
    .request_sent_ms = forward->sent_ms,
  };
  bt_limit_change_t change = bt_record_endpoint_limit (gateway->router, &forward->route.identity,
                                                       &notice, bt_get_loop_ms (gateway->loop));

  if (change != BT_LIMIT_UNCHANGED)
    log_limit (forward, change);
}

static bool
is_turned_away (int32_t status)
{
  return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
}

/* An endpoint that turns requests away may ask for rest with each answer: the log has one line for
 * a rest, and the metric counts all that ask. */
static void
note_rest (bt_forward_t *forward, int32_t status)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_identity_t *endpoint = &forward->route.identity;
  int64_t rest_ms = forward->answer.rest_ms;
  bt_endpoint_rest_t before;

  if (!is_turned_away (status) || rest_ms == 0)
    return;
  bt_add_counter (bt_find_counter (gateway->ctx, BT_COUNTER, "bilberry_endpoint_rests_total",
                                   "Answers of endpoints that asked for a rest.", NULL, NULL),
                  1);
  if (bt_record_endpoint_rest (gateway->router, endpoint, rest_ms, bt_get_loop_ms (gateway->loop),
                               &before))
    bt_log_event (gateway->ctx, BT_LOG_WARNING, "endpoint-resting", "{s:s, s:I, s:I, s:I}",
                  "endpoint", endpoint->instance, "rest_ms", (json_int_t)rest_ms, "last_rest_ms",
                  (json_int_t)(before.until_ms - before.asked_ms), "last_sent",
                  (json_int_t)before.sent);
  bt_publish_notices (gateway);
}

static void
note_leaving (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_identity_t *endpoint = &forward->route.identity;

  if (!forward->answer.leaving || !bt_record_endpoint_leaving (gateway->router, endpoint))
    return;
  bt_add_counter (bt_find_counter (gateway->ctx, BT_COUNTER, "bilberry_endpoints_leaving_total",
                                   "Endpoints whose answers said that they are leaving.", NULL,
                                   NULL),
                  1);
  bt_log_event (gateway->ctx, BT_LOG_INFO, "endpoint-says-leaving", "{s:s}", "endpoint",
                endpoint->instance);
  bt_publish_notices (gateway);
}

/* The endpoint ran when it received this request, and so it had survived all that it had begun. */
static void
note_survival (bt_forward_t *forward)
{
  bt_part_control_t *control = forward->gateway->parts;

  if (bt_needs_part_answers (control) && (forward->answer.marked || forward->answer.not_run)
      && !answers_other_request (forward))
    bt_report_part_survival (control, &forward->route.identity, forward->sent_ms);
}

void
bt_note_answer_head (bt_forward_t *forward)
{
  int32_t status = bt_get_exchange_status (forward->exchange);

  if (status == 0 || forward->has_noted_answer)
    return;
  forward->has_noted_answer = true;
  /* The address belongs to another endpoint by now. */
  if (status == STATUS_MISDIRECTED)
    return;
  note_limit (forward);
  note_rest (forward, status);
  note_leaving (forward);
  note_survival (forward);
}
