#include "bilberrytray/requests/attempt.h"

#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_REDIRECT = 300,
  STATUS_TIMEOUT = 408,
  STATUS_MISDIRECTED = 421,
  STATUS_TOO_MANY = 429,
  STATUS_FAILURE = 500,
  STATUS_UNAVAILABLE = 503,
};

static bool
is_success (int32_t status)
{
  return status >= STATUS_OK && status < STATUS_REDIRECT;
}

/* Callers read these as a promise that the request has not run. */
static bool
promises_not_run (int32_t status)
{
  return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED || status == STATUS_TOO_MANY
         || status == STATUS_UNAVAILABLE;
}

/* A retry where the request allows it, else the refusal. */
static void
retry_or_refuse (const bt_attempt_rights_t *rights, bt_attempt_verdict_t *verdict)
{
  const bool run_allowed = !verdict->may_have_run || (rights->repeatable && rights->runs_left > 0);

  verdict->next = run_allowed && rights->sends_left > 0 ? BT_NEXT_RETRY : BT_NEXT_REFUSE;
}

static void
judge_refusal (const bt_attempt_result_t *result,
               const bt_attempt_rights_t *rights,
               bt_attempt_verdict_t *verdict)
{
  verdict->end = BT_ATTEMPT_REFUSED;
  verdict->endpoint_gone = result->status == STATUS_MISDIRECTED;
  verdict->reason = verdict->endpoint_gone ? BT_REASON_WRONG_INSTANCE : BT_REASON_ENDPOINT_FULL;
  verdict->retry = verdict->endpoint_gone ? BT_RETRY_WRONG_INSTANCE : BT_RETRY_ENDPOINT_FULL;
  retry_or_refuse (rights, verdict);
}

/* A whole answer that is the endpoint's own. One that fails, for a request that may run again, is
 * better answered by another endpoint; what promises that nothing ran although the endpoint did not
 * say so must not reach a caller, who would send the request again. */
static void
judge_answer (const bt_attempt_result_t *result,
              const bt_attempt_rights_t *rights,
              bt_attempt_verdict_t *verdict)
{
  verdict->may_have_run = true;
  if (is_success (result->status)
      || (result->status < STATUS_FAILURE && !promises_not_run (result->status)))
    {
      verdict->next = BT_NEXT_PASS;
      verdict->end = BT_ATTEMPT_ANSWERED;
      return;
    }
  verdict->end = BT_ATTEMPT_FAILED;
  verdict->reason = BT_REASON_ENGINE_FAILED;
  verdict->retry = BT_RETRY_ENGINE_FAILED;
  retry_or_refuse (rights, verdict);
  if (verdict->next == BT_NEXT_REFUSE && !promises_not_run (result->status))
    verdict->next = BT_NEXT_PASS;
}

void
bt_judge_attempt (const bt_attempt_result_t *result,
                  const bt_attempt_rights_t *rights,
                  bt_attempt_verdict_t *verdict)
{
  memset (verdict, 0, sizeof *verdict);
  verdict->end = BT_ATTEMPT_FAILED;
  if (result->stage == BT_ATTEMPT_UNSENT)
    {
      verdict->reason = BT_REASON_ENGINE_UNREACHABLE;
      verdict->retry = BT_RETRY_LINK_LOST;
      retry_or_refuse (rights, verdict);
      return;
    }
  /* A refusal counts by its head: its body says nothing more. A second answer to an earlier request
   * may look like one, and is known by its id. */
  if (result->stage >= BT_ATTEMPT_CUT && !result->other_id
      && (result->not_run || result->status == STATUS_MISDIRECTED))
    {
      judge_refusal (result, rights, verdict);
      return;
    }
  if (result->stage == BT_ATTEMPT_WHOLE && !result->other_id && !result->encoded
      && (result->marked || !is_success (result->status)))
    {
      judge_answer (result, rights, verdict);
      return;
    }
  /* Cut, or bytes that are not this endpoint's answer to this request: it may have run. */
  verdict->may_have_run = true;
  verdict->reason = BT_REASON_ENGINE_FAILED;
  verdict->retry = BT_RETRY_LINK_LOST;
  retry_or_refuse (rights, verdict);
}
