#include <CUnit/Basic.h>

#include "bilberrytray/requests/attempt.h"

static const bt_attempt_limits_t not_repeatable = { .repeatable = false,
                                                    .runs_left = 0,
                                                    .attempts_left = 2 };
static const bt_attempt_limits_t repeatable_once = { .repeatable = true,
                                                     .runs_left = 1,
                                                     .attempts_left = 2 };
static const bt_attempt_limits_t no_runs_left = { .repeatable = true,
                                                  .runs_left = 0,
                                                  .attempts_left = 2 };

static bt_attempt_decision_t
decide (bt_attempt_result_t result, const bt_attempt_limits_t *limits)
{
  bt_attempt_decision_t decision;

  bt_decide_after_attempt (&result, limits, &decision);
  return decision;
}

static void
test_complete_answer_is_forwarded (void)
{
  bt_attempt_decision_t decision =
      decide ((bt_attempt_result_t){ .stage = BT_ATTEMPT_COMPLETE, .status = 200, .marked = true },
              &not_repeatable);

  CU_ASSERT_EQUAL (decision.next, BT_NEXT_FORWARD);
  CU_ASSERT_EQUAL (decision.end, BT_ATTEMPT_ANSWERED);
  CU_ASSERT_TRUE (decision.may_have_run);
}

/* Guards against running a request twice after the connection broke before an answer: it must not
 * be retried elsewhere, and its caller, who would resend it, must not be told that it did not run.
 */
static void
test_broken_attempt_is_neither_retried_nor_reported_not_run (void)
{
  bt_attempt_decision_t decision =
      decide ((bt_attempt_result_t){ .stage = BT_ATTEMPT_NO_ANSWER }, &not_repeatable);

  CU_ASSERT_EQUAL (decision.next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (bt_get_reason_outcome (decision.reason), BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (
      decide ((bt_attempt_result_t){ .stage = BT_ATTEMPT_NO_ANSWER }, &repeatable_once).next,
      BT_NEXT_RETRY);
  CU_ASSERT_EQUAL (
      decide ((bt_attempt_result_t){ .stage = BT_ATTEMPT_NO_ANSWER }, &no_runs_left).next,
      BT_NEXT_REFUSE);
}

/* Guards against failing a request that certainly did not run, because the endpoint was unreachable
 * or refused it. Even a request that may run only once is retried elsewhere, or its caller is told
 * that it did not run. */
static void
test_request_that_did_not_run_is_retried (void)
{
  bt_attempt_result_t full = { .stage = BT_ATTEMPT_COMPLETE, .status = 503, .not_run = true };
  bt_attempt_result_t replaced = { .stage = BT_ATTEMPT_COMPLETE, .status = 421 };
  bt_attempt_limits_t no_sends = not_repeatable;

  CU_ASSERT_EQUAL (
      decide ((bt_attempt_result_t){ .stage = BT_ATTEMPT_UNSENT }, &not_repeatable).next,
      BT_NEXT_RETRY);
  CU_ASSERT_EQUAL (decide (full, &not_repeatable).next, BT_NEXT_RETRY);
  CU_ASSERT_FALSE (decide (full, &not_repeatable).may_have_run);
  CU_ASSERT_EQUAL (decide (full, &not_repeatable).end, BT_ATTEMPT_REFUSED);
  CU_ASSERT_TRUE (decide (replaced, &not_repeatable).endpoint_gone);
  no_sends.attempts_left = 0;
  CU_ASSERT_EQUAL (decide (full, &no_sends).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (bt_get_reason_outcome (decide (full, &no_sends).reason), BT_OUTCOME_NOT_RUN);
}

/* Guards against telling a caller that its request did not run because the last endpoint refused
 * it, while an earlier attempt may have run. */
static void
test_refusal_after_a_broken_attempt_is_not_reported_not_run (void)
{
  bt_attempt_result_t results[] = {
    { .stage = BT_ATTEMPT_COMPLETE, .status = 503, .not_run = true },
    { .stage = BT_ATTEMPT_COMPLETE, .status = 421 },
    { .stage = BT_ATTEMPT_UNSENT }
  };
  bt_attempt_limits_t limits = repeatable_once;

  limits.may_have_run = true;
  for (size_t i = 0; i < sizeof results / sizeof results[0]; i++)
    {
      CU_ASSERT_EQUAL (decide (results[i], &limits).next, BT_NEXT_RETRY);
      CU_ASSERT_EQUAL (bt_get_reason_outcome (decide (results[i], &limits).reason),
                       BT_OUTCOME_UNKNOWN);
    }
}

/* Guards against forwarding a status that promises that the request did not run, without the
 * endpoint's statement: the caller would resend a request that may have run. */
static void
test_unproved_not_run_status_is_not_forwarded (void)
{
  static const int32_t promises[] = { 408, 429, 503 };

  for (size_t i = 0; i < sizeof promises / sizeof promises[0]; i++)
    {
      bt_attempt_decision_t decision = decide ((bt_attempt_result_t){ .stage = BT_ATTEMPT_COMPLETE,
                                                                      .status = promises[i],
                                                                      .marked = true },
                                               &not_repeatable);

      CU_ASSERT_EQUAL (decision.next, BT_NEXT_REFUSE);
      CU_ASSERT_EQUAL (bt_get_reason_outcome (decision.reason), BT_OUTCOME_UNKNOWN);
    }
}

/* Guards against forwarding as a success what is not this endpoint's answer to this request: an
 * answer without its mark, to another request, or re-encoded by an intermediary. */
static void
test_foreign_answers_are_not_forwarded (void)
{
  bt_attempt_result_t good = { .stage = BT_ATTEMPT_COMPLETE, .status = 200, .marked = true };
  bt_attempt_result_t unmarked = good;
  bt_attempt_result_t other = good;
  bt_attempt_result_t encoded = good;
  bt_attempt_result_t other_refusal = { .stage = BT_ATTEMPT_COMPLETE,
                                        .status = 503,
                                        .not_run = true };

  unmarked.marked = false;
  other.id_mismatch = true;
  encoded.encoded = true;
  other_refusal.id_mismatch = true;
  CU_ASSERT_EQUAL (decide (unmarked, &not_repeatable).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (decide (other, &not_repeatable).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (decide (encoded, &not_repeatable).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (decide (unmarked, &repeatable_once).next, BT_NEXT_RETRY);
  CU_ASSERT_TRUE (decide (other_refusal, &not_repeatable).may_have_run);
  CU_ASSERT_EQUAL (decide (other_refusal, &not_repeatable).next, BT_NEXT_REFUSE);
}

static void
test_failure_is_retried_or_forwarded (void)
{
  bt_attempt_result_t failure = { .stage = BT_ATTEMPT_COMPLETE, .status = 500, .marked = true };
  bt_attempt_result_t missing = { .stage = BT_ATTEMPT_COMPLETE, .status = 404, .marked = true };

  CU_ASSERT_EQUAL (decide (failure, &repeatable_once).next, BT_NEXT_RETRY);
  CU_ASSERT_EQUAL (decide (failure, &no_runs_left).next, BT_NEXT_FORWARD);
  CU_ASSERT_EQUAL (decide (failure, &not_repeatable).next, BT_NEXT_FORWARD);
  CU_ASSERT_EQUAL (decide (missing, &repeatable_once).next, BT_NEXT_FORWARD);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("attempt", NULL, NULL);
  CU_ADD_TEST (suite, test_complete_answer_is_forwarded);
  CU_ADD_TEST (suite, test_broken_attempt_is_neither_retried_nor_reported_not_run);
  CU_ADD_TEST (suite, test_request_that_did_not_run_is_retried);
  CU_ADD_TEST (suite, test_refusal_after_a_broken_attempt_is_not_reported_not_run);
  CU_ADD_TEST (suite, test_unproved_not_run_status_is_not_forwarded);
  CU_ADD_TEST (suite, test_foreign_answers_are_not_forwarded);
  CU_ADD_TEST (suite, test_failure_is_retried_or_forwarded);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
