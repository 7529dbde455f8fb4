#include "bilberrytray/base/event_log.h"
#include "forward.h"

/* The hash covers the whole body, so it is computed only for requests that need it. */
static const bt_fingerprint_t *
get_fingerprint (bt_forward_t *forward)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  bt_request_content_t content = {
    .account = forward->account,
    .method = request->method,
    .target = request->target,
    .body = request->body,
    .body_bytes = request->body_bytes,
  };

  if (!forward->has_fingerprint)
    bt_make_fingerprint (&forward->gateway->fingerprint_key, &content, &forward->fingerprint);
  forward->has_fingerprint = true;
  return &forward->fingerprint;
}

/* Returns true if an endpoint that ended under the present attempt ended as the request began to
 * run. */
static bool
is_attempt_at_start (const bt_forward_t *forward)
{
  return forward->events.events == forward->events_before && !bt_is_attempt_stalled (forward);
}

static bt_crash_t
describe_attempt (bt_forward_t *forward)
{
  return (bt_crash_t){ .request = *get_fingerprint (forward),
                       .endpoint = forward->route.identity,
                       .at_start = is_attempt_at_start (forward) };
}

void
bt_record_broken_attempt (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  bt_crash_t attempt = describe_attempt (forward);
  const bt_listed_endpoint_t *listed =
      bt_find_listed_endpoint (gateway->endpoints, attempt.endpoint.instance);
  char text[BT_FINGERPRINT_TEXT_BYTES];
  char parts[BT_PARTS_TEXT_BYTES];

  bt_write_fingerprint (&attempt.request, text);
  bt_write_forward_parts (forward, parts);
  bt_log_event (gateway->ctx, BT_LOG_INFO, "attempt-broken",
                "{s:s, s:s, s:s, s:I, s:i, s:s, s:b, s:s}", "request", forward->info.request_id,
                "fingerprint", text, "endpoint", attempt.endpoint.instance, "started_ms",
                (json_int_t)attempt.endpoint.incarnation, "status",
                bt_get_exchange_status (forward->exchange), "fault",
                bt_get_exchange_error (forward->exchange), "begun", bt_has_attempt_begun (forward),
                "parts", parts);
  /* An endpoint that leaves as planned may break off what it has not finished in time. */
  if (listed != NULL && listed->leaving)
    return;
  bt_report_broken_forward (forward);
  bt_add_crash_suspect (gateway->crashes, &attempt, listed == NULL ? "" : listed->address);
}

/* Records an answer that ended with its connection. It proves nothing until its endpoint answers
 * something else: the process may have ended there. Where that is likely, it is looked into. */
static void
record_unproved_answer (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_listed_endpoint_t *listed =
      bt_find_listed_endpoint (gateway->endpoints, forward->route.identity.instance);
  bt_crash_t attempt;

  if (listed == NULL || listed->leaving)
    return;
  bt_report_broken_forward (forward);
  if (bt_has_attempt_begun (forward) || !bt_has_listed_parts (gateway->parts))
    return;
  attempt = describe_attempt (forward);
  bt_add_crash_suspect (gateway->crashes, &attempt, listed->address);
}

void
bt_record_answered_attempt (bt_forward_t *forward)
{
  bt_crash_t attempt;

  if (!bt_is_exchange_framed (forward->exchange))
    {
      record_unproved_answer (forward);
      return;
    }
  bt_report_answered_forward (forward);
  if (!bt_has_crash_suspects (forward->gateway->crashes))
    return;
  attempt = describe_attempt (forward);
  bt_clear_crash_suspect (forward->gateway->crashes, &attempt, forward->sent_ms);
}

bool
bt_is_forward_repeatable (const bt_forward_t *forward)
{
  const bt_rule_then_t *then = &forward->rule->then;

  return then->streamed ? then->resumable : then->idempotent == 1;
}

bool
bt_may_forward_run_again (bt_forward_t *forward)
{
  bt_crash_control_t *crashes = forward->gateway->crashes;

  return bt_is_forward_repeatable (forward)
         && (!bt_has_known_crashes (crashes)
             || bt_count_crash_ends (crashes, get_fingerprint (forward)) == 0);
}

bt_reason_t
bt_check_forward_crashing (bt_forward_t *forward, int64_t *retry_after_ms)
{
  bt_gateway_t *gateway = forward->gateway;
  bt_reason_t part_reason = bt_check_forward_parts (forward, retry_after_ms);
  bt_crash_verdict_t verdict;
  char text[BT_FINGERPRINT_TEXT_BYTES];

  if (part_reason != BT_REASON_NONE)
    return part_reason;
  if (forward->is_crash_trial || !bt_has_known_crashes (gateway->crashes))
    return BT_REASON_NONE;
  verdict =
      bt_check_crashing_request (gateway->crashes, get_fingerprint (forward),
                                 bt_has_groups (gateway->outages, forward->app), retry_after_ms);
  if (verdict == BT_CRASH_RUN)
    return BT_REASON_NONE;
  bt_write_fingerprint (get_fingerprint (forward), text);
  bt_log_event (gateway->ctx, BT_LOG_INFO,
                verdict == BT_CRASH_HOLD ? "crash-held" : "crash-refused", "{s:s, s:s, s:i}",
                "request", forward->info.request_id, "fingerprint", text, "ends",
                bt_count_crash_ends (gateway->crashes, get_fingerprint (forward)));
  return verdict == BT_CRASH_HOLD ? BT_REASON_HELD_AFTER_CRASH : BT_REASON_CRASHES_ENDPOINTS;
}

void
bt_note_crash_trial (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  char text[BT_FINGERPRINT_TEXT_BYTES];

  if (forward->is_crash_trial || !bt_has_known_crashes (gateway->crashes)
      || !bt_has_groups (gateway->outages, forward->app)
      || bt_count_crash_ends (gateway->crashes, get_fingerprint (forward)) == 0)
    return;
  forward->is_crash_trial = true;
  bt_try_held_request (gateway->crashes, get_fingerprint (forward));
  bt_write_fingerprint (get_fingerprint (forward), text);
  bt_log_event (gateway->ctx, BT_LOG_INFO, "crash-trial", "{s:s, s:s}", "request",
                forward->info.request_id, "fingerprint", text);
}

/* Returns true if the request is in the admission queue. */
static bool
is_in_admission (const bt_forward_t *forward)
{
  return forward->state == BT_FORWARD_QUEUED && !forward->awaits_part_trial;
}

/* Without this call, queued requests would be refused only once there is capacity for them. */
void
bt_refuse_crashing_forwards (bt_gateway_t *gateway)
{
  bt_forward_t *next;
  bt_reason_t reason;
  int64_t retry_after_ms;

  if (!bt_has_known_crashes (gateway->crashes) && !bt_has_listed_parts (gateway->parts))
    return;
  for (bt_forward_t *forward = gateway->first_forward; forward != NULL; forward = next)
    {
      next = forward->next;
      if (bt_must_end_for_part (forward))
        bt_refuse_forward (forward, BT_REASON_ENDED_FOR_PART, 0);
      else if (is_in_admission (forward))
        {
          reason = bt_check_forward_crashing (forward, &retry_after_ms);
          if (reason == BT_REASON_NONE)
            continue;
          bt_cancel_admission (gateway->admission, forward->id);
          bt_refuse_forward (forward, reason, retry_after_ms);
        }
    }
}
