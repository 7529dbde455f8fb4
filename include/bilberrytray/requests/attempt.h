#ifndef BILBERRYTRAY_REQUESTS_ATTEMPT_H
#define BILBERRYTRAY_REQUESTS_ATTEMPT_H

/** @file
 * Decides what follows an attempt to run a request at an endpoint: forward the endpoint's answer to
 * the caller, retry at another endpoint, or answer the caller with a refusal or failure of our own.
 * The decision depends on whether the attempt proves that the request ran or did not run.
 */

#include "bilberrytray/core/outcome.h"
#include "bilberrytray/load/router.h"

/** How far an attempt got. */
typedef enum bt_attempt_stage
{
  BT_ATTEMPT_UNSENT = 0, /**< No byte was sent: the endpoint could not be reached. */
  BT_ATTEMPT_NO_ANSWER,  /**< The request was sent; no response head was received. */
  BT_ATTEMPT_CUT_OFF,    /**< The answer began but is incomplete. */
  BT_ATTEMPT_COMPLETE,   /**< The complete answer was received. */
} bt_attempt_stage_t;

/** Result of an attempt that has ended. */
typedef struct bt_attempt_result
{
  bt_attempt_stage_t stage;
  int32_t status; /**< HTTP status of the answer; 0 without one. */
  bool marked;    /**< The answer has the header by which the endpoint identifies it as its own. */
  bool id_mismatch; /**< The answer belongs to another request. */
  bool encoded;     /**< An intermediary re-encoded the answer's body. */
  bool not_run;     /**< The endpoint states that it did not run the request. */
} bt_attempt_result_t;

/** What may still be done for a request. */
typedef struct bt_attempt_limits
{
  bool repeatable;       /**< May run more than once: idempotent, or a resumable stream. */
  int32_t runs_left;     /**< Further endpoints on which it may run. */
  int32_t attempts_left; /**< Further attempts, whether they run or not. */
  bool answer_started;   /**< The response head was forwarded to the caller. */
  bool may_have_run;     /**< An earlier attempt may have run. */
} bt_attempt_limits_t;

/** What follows an attempt. */
typedef enum bt_attempt_next
{
  BT_NEXT_FORWARD = 0, /**< Forward the endpoint's answer unchanged. */
  BT_NEXT_RETRY,       /**< Retry at another endpoint; refuse if the retry budget forbids it. */
  BT_NEXT_REFUSE,      /**< Answer the caller ourselves, according to the reason. */
} bt_attempt_next_t;

/** Decision after an attempt. */
typedef struct bt_attempt_decision
{
  bt_attempt_next_t next;
  bt_reason_t reason; /**< Of the refusal; also used when a retry has no budget left. Its outcome is
                         not-run only if no attempt may have run. */
  bt_retry_t retry;   /**< Cause of the retry. */
  bool may_have_run;  /**< The attempt counts as a run. */
  bool endpoint_gone; /**< Another process now uses the endpoint's address. */
  bt_attempt_end_t end; /**< Result reported to the router for this endpoint. */
} bt_attempt_decision_t;

/** Decides what follows an attempt that has ended; writes all of @p decision. */
void bt_decide_after_attempt (const bt_attempt_result_t *result,
                              const bt_attempt_limits_t *limits,
                              bt_attempt_decision_t *decision);

#endif
