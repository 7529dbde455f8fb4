#ifndef BILBERRYTRAY_LOAD_RUN_QUEUE_H
#define BILBERRYTRAY_LOAD_RUN_QUEUE_H

/** @file
 * The agent's bounded queue before its endpoint, which has the last word: entries decide on loads
 * that lag, and together can send more than the endpoint takes. Not safe for threads: the shell
 * holds one lock for it.
 */

#include "bilberrytray/core/identity.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/load/router.h"

typedef struct bt_run_queue bt_run_queue_t;

/** Settings of a run queue. */
typedef struct bt_run_queue_options
{
  int32_t slots;              /**< Requests that run at once, at least 1. */
  int32_t queue_limit;        /**< Requests that may wait; 0: none. */
  int64_t default_service_ms; /**< Time of one run before any was measured. */
} bt_run_queue_options_t;

/** A request as the agent sees it. The account is copied. */
typedef struct bt_run_request
{
  uint64_t id; /**< The shell's number for it, unique among those waiting and running. */
  const char *account;
  int32_t priority;
  int64_t deadline_left_ms;
  int32_t share; /**< Weight of the account in fair sharing; 0 counts as 1. */
} bt_run_request_t;

/** What is to be done with a request. */
typedef enum bt_run_action
{
  BT_RUN_START = 0, /**< Send it to the endpoint now; it holds a slot until bt_end_run. */
  BT_RUN_QUEUED,    /**< It waits; bt_next_run will name it. */
  BT_RUN_REFUSED,   /**< It did not run: tell the entry at once. */
} bt_run_action_t;

/** A decision about one request. */
typedef struct bt_run_decision
{
  uint64_t id;
  bt_run_action_t action;
  bt_reason_t reason; /**< Of a refusal: ENDPOINT_FULL, ENDPOINT_LEAVING, DEADLINE_UNREACHABLE. */
  int64_t retry_after_ms; /**< Of a refusal: when this endpoint may take it. */
} bt_run_decision_t;

/** 8 slots, 16 waiting, 500 ms. */
void bt_default_run_queue_options (bt_run_queue_options_t *options);

bt_run_queue_t *bt_new_run_queue (bt_context_t *ctx, const bt_run_queue_options_t *options);
void bt_drop_run_queue (bt_context_t *ctx, bt_run_queue_t *queue);

/** Offers a new request and decides about it. A waiting request of another account may lose its
 * place to it, which bt_next_run then tells. */
void bt_offer_run (bt_context_t *ctx,
                   bt_run_queue_t *queue,
                   const bt_run_request_t *request,
                   int64_t now_ms,
                   bt_run_decision_t *decision);

/** Tells the next decision about a waiting request: start it, or refuse it. Call it until it
 * returns false after each offer, each end, and every few milliseconds while requests wait. */
bool bt_next_run (bt_run_queue_t *queue, int64_t now_ms, bt_run_decision_t *decision);

/** Frees the slot of a run that ended, whichever way. @p service_ms is the time it ran, or 0 when
 * that says nothing about the endpoint (a cancelled run). */
void bt_end_run (bt_run_queue_t *queue, int64_t service_ms);

/** Takes a waiting request out (its caller left); false when it isn't waiting. */
bool bt_cancel_run (bt_run_queue_t *queue, uint64_t id);

/** Leaving: new requests are refused; those that wait or run are finished. */
void bt_set_run_queue_leaving (bt_run_queue_t *queue, bool leaving);

/** Changes the number of slots, as the endpoint reports it; those in use stay in use. */
void bt_set_run_slots (bt_run_queue_t *queue, int32_t slots);

/** The load to report. Its age is 0. */
void bt_get_run_load (const bt_run_queue_t *queue, bt_load_t *load);

#endif
