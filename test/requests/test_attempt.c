#include <CUnit/Basic.h>

#include "bilberrytray/requests/attempt.h"

static const bt_attempt_rights_t once = { .repeatable = false, .runs_left = 0, .sends_left = 2 };
static const bt_attempt_rights_t again = { .repeatable = true, .runs_left = 1, .sends_left = 2 };
static const bt_attempt_rights_t spent = { .repeatable = true, .runs_left = 0, .sends_left = 2 };

static bt_attempt_verdict_t
judge (bt_attempt_result_t result, const bt_attempt_rights_t *rights)
{
  bt_attempt_verdict_t verdict;

  bt_judge_attempt (&result, rights, &verdict);
  return verdict;
}

static void
test_whole_answer_is_passed (void)
{
  bt_attempt_verdict_t verdict = judge (
      (bt_attempt_result_t){ .stage = BT_ATTEMPT_WHOLE, .status = 200, .marked = true }, &once);

  CU_ASSERT_EQUAL (verdict.next, BT_NEXT_PASS);
  CU_ASSERT_EQUAL (verdict.end, BT_ATTEMPT_ANSWERED);
  CU_ASSERT_TRUE (verdict.may_have_run);
}

/* An order draft was sent and the endpoint's connection broke. Sent again elsewhere it would put
 * two pallets on a doorstep; told "not run" its caller would send it again itself. */
static void
test_cut_request_is_neither_repeated_nor_denied (void)
{
  bt_attempt_verdict_t verdict =
      judge ((bt_attempt_result_t){ .stage = BT_ATTEMPT_NO_ANSWER }, &once);

  CU_ASSERT_EQUAL (verdict.next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (bt_get_reason_outcome (verdict.reason), BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (judge ((bt_attempt_result_t){ .stage = BT_ATTEMPT_NO_ANSWER }, &again).next,
                   BT_NEXT_RETRY);
  CU_ASSERT_EQUAL (judge ((bt_attempt_result_t){ .stage = BT_ATTEMPT_NO_ANSWER }, &spent).next,
                   BT_NEXT_REFUSE);
}

/* An endpoint could not be reached, or refused as full: nothing ran, so even a request that may run
 * once may go elsewhere, and its caller may be told that it has not run. */
static void
test_what_did_not_run_may_go_elsewhere (void)
{
  bt_attempt_result_t full = { .stage = BT_ATTEMPT_WHOLE, .status = 503, .not_run = true };
  bt_attempt_result_t replaced = { .stage = BT_ATTEMPT_WHOLE, .status = 421 };
  bt_attempt_rights_t no_sends = once;

  CU_ASSERT_EQUAL (judge ((bt_attempt_result_t){ .stage = BT_ATTEMPT_UNSENT }, &once).next,
                   BT_NEXT_RETRY);
  CU_ASSERT_EQUAL (judge (full, &once).next, BT_NEXT_RETRY);
  CU_ASSERT_FALSE (judge (full, &once).may_have_run);
  CU_ASSERT_EQUAL (judge (full, &once).end, BT_ATTEMPT_REFUSED);
  CU_ASSERT_TRUE (judge (replaced, &once).endpoint_gone);
  no_sends.sends_left = 0;
  CU_ASSERT_EQUAL (judge (full, &no_sends).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (bt_get_reason_outcome (judge (full, &no_sends).reason), BT_OUTCOME_NOT_RUN);
}

/* An endpoint answers 503 without saying that it did not run the request. Passed on, the caller
 * reads it as a promise and sends the request again. */
static void
test_unproved_promise_is_not_passed (void)
{
  static const int32_t promises[] = { 408, 429, 503 };

  for (size_t i = 0; i < sizeof promises / sizeof promises[0]; i++)
    {
      bt_attempt_verdict_t verdict = judge (
          (bt_attempt_result_t){ .stage = BT_ATTEMPT_WHOLE, .status = promises[i], .marked = true },
          &once);

      CU_ASSERT_EQUAL (verdict.next, BT_NEXT_REFUSE);
      CU_ASSERT_EQUAL (bt_get_reason_outcome (verdict.reason), BT_OUTCOME_UNKNOWN);
    }
}

/* Bytes that are not this endpoint's answer to this request: without its mark, to another request,
 * or re-encoded on the way. None may reach the caller as a success. */
static void
test_strange_answers_are_not_passed (void)
{
  bt_attempt_result_t good = { .stage = BT_ATTEMPT_WHOLE, .status = 200, .marked = true };
  bt_attempt_result_t unmarked = good;
  bt_attempt_result_t other = good;
  bt_attempt_result_t encoded = good;
  bt_attempt_result_t other_refusal = { .stage = BT_ATTEMPT_WHOLE, .status = 503, .not_run = true };

  unmarked.marked = false;
  other.other_id = true;
  encoded.encoded = true;
  other_refusal.other_id = true;
  CU_ASSERT_EQUAL (judge (unmarked, &once).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (judge (other, &once).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (judge (encoded, &once).next, BT_NEXT_REFUSE);
  CU_ASSERT_EQUAL (judge (unmarked, &again).next, BT_NEXT_RETRY);
  CU_ASSERT_TRUE (judge (other_refusal, &once).may_have_run);
  CU_ASSERT_EQUAL (judge (other_refusal, &once).next, BT_NEXT_REFUSE);
}

static void
test_failure_goes_elsewhere_or_is_passed (void)
{
  bt_attempt_result_t failure = { .stage = BT_ATTEMPT_WHOLE, .status = 500, .marked = true };
  bt_attempt_result_t missing = { .stage = BT_ATTEMPT_WHOLE, .status = 404, .marked = true };

  CU_ASSERT_EQUAL (judge (failure, &again).next, BT_NEXT_RETRY);
  CU_ASSERT_EQUAL (judge (failure, &spent).next, BT_NEXT_PASS);
  CU_ASSERT_EQUAL (judge (failure, &once).next, BT_NEXT_PASS);
  CU_ASSERT_EQUAL (judge (missing, &again).next, BT_NEXT_PASS);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("attempt", NULL, NULL);
  CU_ADD_TEST (suite, test_whole_answer_is_passed);
  CU_ADD_TEST (suite, test_cut_request_is_neither_repeated_nor_denied);
  CU_ADD_TEST (suite, test_what_did_not_run_may_go_elsewhere);
  CU_ADD_TEST (suite, test_unproved_promise_is_not_passed);
  CU_ADD_TEST (suite, test_strange_answers_are_not_passed);
  CU_ADD_TEST (suite, test_failure_goes_elsewhere_or_is_passed);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
