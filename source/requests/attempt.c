#include "bilberrytray/requests/attempt.h"

#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_REDIRECT = 300,
  STATUS_TIMEOUT = 408,
  STATUS_MISDIRECTED = 421,
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_SERVER_ERROR = 500,
  STATUS_UNAVAILABLE = 503,
};

static bool
is_success (int32_t status)
{
  return status >= STATUS_OK && status < STATUS_REDIRECT;
}

/* Callers take these statuses as a promise that the request has not run. */
static bool
promises_not_run (int32_t status)
{
  return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED
         || status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
}

/* Retries when the request allows it, else refuses. */
static void
retry_or_refuse (const bt_attempt_limits_t *limits, bt_attempt_decision_t *decision)
{
  const bool run_allowed = !decision->may_have_run || (limits->repeatable && limits->runs_left > 0);

  decision->next = run_allowed && limits->attempts_left > 0 ? BT_NEXT_RETRY : BT_NEXT_REFUSE;
}

static void
decide_after_refusal (const bt_attempt_result_t *result,
                      const bt_attempt_limits_t *limits,
                      bt_attempt_decision_t *decision)
{
  decision->end = BT_ATTEMPT_REFUSED;
  decision->endpoint_gone = result->status == STATUS_MISDIRECTED;
  decision->reason = decision->endpoint_gone ? BT_REASON_WRONG_INSTANCE : BT_REASON_ENDPOINT_FULL;
  decision->retry = decision->endpoint_gone ? BT_RETRY_WRONG_INSTANCE : BT_RETRY_ENDPOINT_FULL;
  retry_or_refuse (limits, decision);
}

/* Handles a complete answer that comes from the endpoint itself. After a failure, a request that
 * may run again is retried at another endpoint. A status that promises that the request has not
 * run, without the endpoint's statement, must not reach the caller, who would send the request
 * again. */
static void
decide_after_answer (const bt_attempt_result_t *result,
                     const bt_attempt_limits_t *limits,
                     bt_attempt_decision_t *decision)
{
  decision->may_have_run = true;
  if (is_success (result->status)
      || (result->status < STATUS_SERVER_ERROR && !promises_not_run (result->status)))
    {
      decision->next = BT_NEXT_FORWARD;
      decision->end = BT_ATTEMPT_ANSWERED;
      return;
    }
  decision->end = BT_ATTEMPT_FAILED;
  decision->reason = BT_REASON_ENGINE_FAILED;
  decision->retry = BT_RETRY_ENGINE_FAILED;
  retry_or_refuse (limits, decision);
  if (decision->next == BT_NEXT_REFUSE && !promises_not_run (result->status))
    decision->next = BT_NEXT_FORWARD;
}

static void
decide (const bt_attempt_result_t *result,
        const bt_attempt_limits_t *limits,
        bt_attempt_decision_t *decision)
{
  memset (decision, 0, sizeof *decision);
  decision->end = BT_ATTEMPT_FAILED;
  if (result->stage == BT_ATTEMPT_UNSENT)
    {
      decision->reason = BT_REASON_ENGINE_UNREACHABLE;
      decision->retry = BT_RETRY_LINK_LOST;
      retry_or_refuse (limits, decision);
      return;
    }
  /* The head of a refusal is enough; its body has no further information. A late answer to an
   * earlier request may look like a refusal, but has another id. */
  if (result->stage >= BT_ATTEMPT_CUT_OFF && !result->id_mismatch
      && (result->not_run || result->status == STATUS_MISDIRECTED))
    {
      decide_after_refusal (result, limits, decision);
      return;
    }
  if (result->stage == BT_ATTEMPT_COMPLETE && !result->id_mismatch && !result->encoded
      && (result->marked || !is_success (result->status)))
    {
      decide_after_answer (result, limits, decision);
      return;
    }
  /* The answer was cut off, or is not this endpoint's answer to this request: it may have run. */
  decision->may_have_run = true;
  decision->reason = BT_REASON_ENGINE_FAILED;
  decision->retry = BT_RETRY_LINK_LOST;
  retry_or_refuse (limits, decision);
}

void
bt_decide_after_attempt (const bt_attempt_result_t *result,
                         const bt_attempt_limits_t *limits,
                         bt_attempt_decision_t *decision)
{
  decide (result, limits, decision);
  /* The refusal of the last attempt proves nothing about the earlier ones. */
  if (limits->may_have_run && bt_get_reason_outcome (decision->reason) == BT_OUTCOME_NOT_RUN)
    decision->reason = BT_REASON_ENGINE_FAILED;
}
