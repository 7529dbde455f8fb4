#include <strings.h>

#include "bilberrytray/base/event_log.h"
#include "forward.h"

enum
{
  /* Events of an attempt that show that its endpoint survived the beginning of the answer. */
  BEGUN_EVENTS = 2,
  /* The other ranks of a group break off their requests at least this long after one has ended.
   * Ends of several ranks at about one moment, of which the first is already known, are shorter
   * apart. */
  MIN_STALL_MS = 500,
  MIN_SUCCESS_STATUS = 200,
  MAX_SUCCESS_STATUS = 299,
};

static void
add_part (void *data, const char *id, size_t bytes)
{
  bt_add_prompt_part (data, id, bytes);
}

/* Returns the value of the header that lists the parts; NULL unless there is exactly one. */
static const char *
find_parts_header (const bt_forward_t *forward)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  const char *value = NULL;

  for (int32_t i = 0; i < request->header_count; i++)
    {
      if (strcasecmp (request->headers[i].name, forward->gateway->platform->prompt_parts_header)
          != 0)
        continue;
      if (value != NULL)
        return NULL;
      value = request->headers[i].value;
    }
  return value;
}

static bt_prompt_parts_t *
read_parts (const bt_forward_t *forward)
{
  const bt_gateway_t *gateway = forward->gateway;
  const char *value = find_parts_header (forward);
  bt_prompt_draft_t draft;

  if (value == NULL || forward->app == NULL)
    return NULL;
  bt_begin_prompt (&draft, &gateway->fingerprint_key, forward->app);
  if (!gateway->platform->vtable->read_prompt_parts (value, add_part, &draft))
    return NULL;
  return bt_finish_prompt (gateway->ctx, &draft);
}

const bt_prompt_parts_t *
bt_get_forward_parts (bt_forward_t *forward)
{
  if (!forward->has_read_parts)
    forward->parts = read_parts (forward);
  forward->has_read_parts = true;
  return forward->parts;
}

bool
bt_has_attempt_begun (const bt_forward_t *forward)
{
  return forward->events.events - forward->events_before >= BEGUN_EVENTS;
}

void
bt_write_forward_parts (bt_forward_t *forward, char text[BT_PARTS_TEXT_BYTES])
{
  const bt_prompt_parts_t *parts = bt_get_forward_parts (forward);
  size_t bytes = 0;

  text[0] = '\0';
  for (int32_t i = 0; parts != NULL && i < parts->count && i < BT_MAX_LOGGED_PARTS; i++)
    {
      if (i > 0)
        text[bytes++] = ',';
      bt_write_fingerprint (&parts->items[i], text + bytes);
      bytes += BT_FINGERPRINT_TEXT_BYTES - 1;
    }
}

/* Judges the request by its parts, unless its next attempt is a trial. */
static bt_part_verdict_t
judge (bt_forward_t *forward, bt_part_judgement_t *judgement)
{
  bt_part_control_t *control = forward->gateway->parts;

  judgement->verdict = BT_PART_RUN;
  if (!forward->is_part_trial && bt_has_listed_parts (control))
    bt_check_parts (control, bt_get_forward_parts (forward), forward->app, judgement);
  return judgement->verdict;
}

static void
log_judgement (const bt_forward_t *forward, const char *event, const bt_part_judgement_t *judgement)
{
  char text[BT_FINGERPRINT_TEXT_BYTES];

  bt_write_fingerprint (&judgement->part, text);
  bt_log_event (forward->gateway->ctx, BT_LOG_INFO, event, "{s:s, s:s, s:i}", "request",
                forward->info.request_id, "part", text, "ends", judgement->ends);
}

bool
bt_await_part_trial (bt_forward_t *forward)
{
  bt_part_judgement_t judgement;

  if (judge (forward, &judgement) != BT_PART_TRY
      || !bt_ask_part_trial (forward->gateway->parts, &judgement.part, forward->id))
    return false;
  forward->awaits_part_trial = true;
  log_judgement (forward, "part-trial", &judgement);
  return true;
}

bt_reason_t
bt_check_forward_parts (bt_forward_t *forward, int64_t *retry_after_ms)
{
  bt_part_judgement_t judgement;

  if (judge (forward, &judgement) == BT_PART_RUN)
    return BT_REASON_NONE;
  *retry_after_ms = judgement.retry_after_ms;
  log_judgement (forward, "part-refused", &judgement);
  return BT_REASON_PART_CRASHES_ENDPOINTS;
}

bool
bt_must_end_for_part (bt_forward_t *forward)
{
  bt_part_judgement_t judgement;

  if (forward->state != BT_FORWARD_SENT || forward->exchange == NULL || forward->was_part_trial
      || forward->events.events > forward->events_before)
    return false;
  return judge (forward, &judgement) == BT_PART_REFUSE;
}

/* Returns true if the answer ended after some content, be it with its connection. */
static bool
has_ended_with_content (const bt_forward_t *forward)
{
  size_t bytes;

  bt_peek_exchange_body (forward->exchange, &bytes);
  return bt_get_exchange_state (forward->exchange) == BT_EXCHANGE_COMPLETE
         && (bytes > 0 || forward->events.events > forward->events_before);
}

bool
bt_is_attempt_stalled (const bt_forward_t *forward)
{
  const bt_gateway_t *gateway = forward->gateway;
  int64_t now_ms = bt_get_loop_ms (gateway->loop);

  return bt_get_group_outage_ms (gateway->outages, &forward->route.identity, now_ms)
         >= MIN_STALL_MS;
}

static bt_part_attempt_t
describe_attempt (bt_forward_t *forward)
{
  bt_part_attempt_t attempt = { .endpoint = forward->route.identity };

  bt_get_forward_parts (forward);
  attempt.parts = forward->parts;
  attempt.at_start = !bt_has_attempt_begun (forward);
  attempt.begun = !attempt.at_start || has_ended_with_content (forward);
  attempt.again = forward->breaks > 0;
  attempt.answered = bt_get_exchange_status (forward->exchange) > 0;
  attempt.stalled = bt_is_attempt_stalled (forward);
  attempt.sent_ms = forward->sent_ms;
  bt_copy_name (attempt.app, forward->app);
  return attempt;
}

void
bt_report_broken_forward (bt_forward_t *forward)
{
  bt_part_attempt_t attempt = describe_attempt (forward);

  bt_report_broken_parts (forward->gateway->parts, &attempt);
  forward->breaks++;
}

void
bt_report_answered_forward (bt_forward_t *forward)
{
  bt_part_control_t *control = forward->gateway->parts;
  int32_t status = bt_get_exchange_status (forward->exchange);

  /* Other answers do not show that the endpoint began to run the request. */
  if (bt_needs_part_answers (control) && forward->answer.marked && status >= MIN_SUCCESS_STATUS
      && status <= MAX_SUCCESS_STATUS)
    bt_report_answered_parts (control, bt_get_forward_parts (forward));
}

void
bt_clear_begun_forwards (bt_gateway_t *gateway)
{
  for (bt_forward_t *forward = gateway->first_forward; forward != NULL; forward = forward->next)
    if (forward->exchange != NULL && bt_has_attempt_begun (forward)
        && bt_has_listed_parts (gateway->parts))
      bt_report_answered_parts (gateway->parts, bt_get_forward_parts (forward));
}
