#ifndef BILBERRYTRAY_REQUESTS_ATTEMPT_H
#define BILBERRYTRAY_REQUESTS_ATTEMPT_H

/** @file
 * What an attempt at an endpoint proves about its request, and what may follow: the endpoint's
 * answer goes to the caller, the request goes to another endpoint, or the caller gets a refusal or
 * a failure of our own.
 */

#include "bilberrytray/core/outcome.h"
#include "bilberrytray/load/router.h"

/** How far an attempt came. */
typedef enum bt_attempt_stage
{
  BT_ATTEMPT_UNSENT = 0, /**< Not a byte left: the endpoint could not be reached. */
  BT_ATTEMPT_NO_ANSWER,  /**< Sent; no head of an answer came. */
  BT_ATTEMPT_CUT,        /**< The answer began and did not come whole. */
  BT_ATTEMPT_WHOLE,      /**< The answer came whole. */
} bt_attempt_stage_t;

/** What is known when an attempt has ended. */
typedef struct bt_attempt_result
{
  bt_attempt_stage_t stage;
  int32_t status; /**< Of the answer; 0 without one. */
  bool marked;    /**< The answer bears the endpoint's mark of origin. */
  bool other_id;  /**< It answers another request than this one. */
  bool encoded;   /**< Its body was re-encoded on the way. */
  bool not_run;   /**< The endpoint states that it did not run the request. */
} bt_attempt_result_t;

/** What a request allows. */
typedef struct bt_attempt_rights
{
  bool repeatable;     /**< It may run more than once: idempotent, or a resumable stream. */
  int32_t runs_left;   /**< Endpoints on which it may still run. */
  int32_t sends_left;  /**< Attempts that may still be made, run or not. */
  bool answer_started; /**< The caller has the head of an answer already. */
} bt_attempt_rights_t;

/** What follows. */
typedef enum bt_attempt_next
{
  BT_NEXT_PASS = 0, /**< The endpoint's answer goes to the caller as it is. */
  BT_NEXT_RETRY,    /**< Another endpoint, if the retry budget allows; else the refusal. */
  BT_NEXT_REFUSE,   /**< Our own answer, by the reason. */
} bt_attempt_next_t;

/** The decision. */
typedef struct bt_attempt_verdict
{
  bt_attempt_next_t next;
  bt_reason_t reason;   /**< Of a refusal, also of one that a retry without budget becomes. */
  bt_retry_t retry;     /**< Why it is tried again. */
  bool may_have_run;    /**< It counts as a run. */
  bool endpoint_gone;   /**< Another process has the address: the endpoint is not there. */
  bt_attempt_end_t end; /**< How the endpoint is judged by it. */
} bt_attempt_verdict_t;

/** Judges an attempt that has ended. */
void bt_judge_attempt (const bt_attempt_result_t *result,
                       const bt_attempt_rights_t *rights,
                       bt_attempt_verdict_t *verdict);

#endif
