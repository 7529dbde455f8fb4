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

static bt_crash_t
describe_attempt (bt_forward_t *forward)
{
  return (bt_crash_t){ *get_fingerprint (forward), forward->route.identity };
}

void
bt_record_broken_attempt (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  bt_crash_t attempt = describe_attempt (forward);
  const bt_listed_endpoint_t *listed =
      bt_find_listed_endpoint (gateway->endpoints, attempt.endpoint.instance);
  char text[BT_FINGERPRINT_TEXT_BYTES];

  bt_write_fingerprint (&attempt.request, text);
  bt_log_event (gateway->ctx, BT_LOG_INFO, "attempt-broken", "{s:s, s:s, s:s, s:I, s:i, s:s}",
                "request", forward->info.request_id, "fingerprint", text, "endpoint",
                attempt.endpoint.instance, "started_ms", (json_int_t)attempt.endpoint.incarnation,
                "status", bt_get_exchange_status (forward->exchange), "fault",
                bt_get_exchange_error (forward->exchange));
  /* An endpoint that leaves as planned may break off what it has not finished in time. */
  if (listed == NULL || !listed->leaving)
    bt_add_crash_suspect (gateway->crashes, &attempt, listed == NULL ? "" : listed->address);
}

void
bt_record_answered_attempt (bt_forward_t *forward)
{
  bt_crash_t attempt;

  if (!bt_has_crash_suspects (forward->gateway->crashes))
    return;
  attempt = describe_attempt (forward);
  bt_clear_crash_suspect (forward->gateway->crashes, &attempt, forward->sent_ms);
}

bool
bt_may_forward_run_again (bt_forward_t *forward)
{
  bt_crash_control_t *crashes = forward->gateway->crashes;

  return bt_is_forward_repeatable (forward)
         && (!bt_has_known_crashes (crashes)
             || bt_count_crash_ends (crashes, get_fingerprint (forward)) == 0);
}

bool
bt_check_forward_crashing (bt_forward_t *forward, int64_t *retry_after_ms)
{
  bt_gateway_t *gateway = forward->gateway;
  char text[BT_FINGERPRINT_TEXT_BYTES];

  if (!bt_has_known_crashes (gateway->crashes)
      || !bt_check_crashing_request (gateway->crashes, get_fingerprint (forward), retry_after_ms))
    return false;
  bt_write_fingerprint (get_fingerprint (forward), text);
  bt_log_event (gateway->ctx, BT_LOG_INFO, "crash-refused", "{s:s, s:s, s:i}", "request",
                forward->info.request_id, "fingerprint", text, "ends",
                bt_count_crash_ends (gateway->crashes, get_fingerprint (forward)));
  return true;
}

/* Without this call, queued requests would be refused only once there is capacity for them. */
void
bt_refuse_crashing_forwards (bt_gateway_t *gateway)
{
  bt_forward_t *next;
  int64_t retry_after_ms;

  if (!bt_has_known_crashes (gateway->crashes))
    return;
  for (bt_forward_t *forward = gateway->first_forward; forward != NULL; forward = next)
    {
      next = forward->next;
      if (forward->state != BT_FORWARD_QUEUED
          || !bt_check_forward_crashing (forward, &retry_after_ms))
        continue;
      bt_cancel_admission (gateway->admission, forward->id);
      bt_refuse_forward (forward, BT_REASON_CRASHES_ENDPOINTS, retry_after_ms);
    }
}
