#ifndef BILBERRYTRAY_LOAD_RUN_QUEUE_H
#define BILBERRYTRAY_LOAD_RUN_QUEUE_H

/** @file
 * An agent's bounded queue in front of its endpoint. The agent makes the final decision, since
 * entries decide on load reports that lag and together can send more than the endpoint can take.
 * Not thread-safe: the calling code holds one lock for it.
 */

#include "bilberrytray/core/identity.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/load/router.h"

typedef struct bt_run_queue bt_run_queue_t;

/** Settings of a run queue. */
typedef struct bt_run_queue_options
{
  int32_t slots;              /**< Requests that run at once, at least 1. */
  int32_t queue_limit;        /**< Maximum number of queued requests; 0: none. */
  int64_t default_service_ms; /**< Assumed time of a run until one is measured. */
} bt_run_queue_options_t;

/** A request to decide on. The account name is copied. */
typedef struct bt_run_request
{
  uint64_t id; /**< Assigned by the calling code, unique among queued and running requests. */
  const char *account;
  int32_t priority;
  int64_t deadline_left_ms;
  int32_t share; /**< Weight of the account in fair sharing; 0 counts as 1. */
} bt_run_request_t;

/** Action to take for a request. */
typedef enum bt_run_action
{
  BT_RUN_START = 0, /**< Send it to the endpoint now; it occupies a slot until bt_end_run. */
  BT_RUN_QUEUED,    /**< Queued; bt_next_run returns the decision later. */
  BT_RUN_REFUSED,   /**< It did not run: inform the entry at once. */
} bt_run_action_t;

/** Decision on one request. */
typedef struct bt_run_decision
{
  uint64_t id;
  bt_run_action_t action;
  bt_reason_t reason; /**< Of a refusal: ENDPOINT_FULL, ENDPOINT_LEAVING or DEADLINE_UNREACHABLE. */
  int64_t retry_after_ms; /**< Of a refusal: time after which this endpoint may accept it. */
} bt_run_decision_t;

/** Sets the defaults: 8 slots, 16 queued requests, 500 ms per run. */
void bt_default_run_queue_options (bt_run_queue_options_t *options);

bt_run_queue_t *bt_new_run_queue (bt_context_t *ctx, const bt_run_queue_options_t *options);
void bt_drop_run_queue (bt_context_t *ctx, bt_run_queue_t *queue);

/** Decides on a new request. It may evict a queued request of another account or a lower priority,
 * whose refusal bt_next_run returns. */
void bt_offer_run (bt_context_t *ctx,
                   bt_run_queue_t *queue,
                   const bt_run_request_t *request,
                   int64_t now_ms,
                   bt_run_decision_t *decision);

/** Returns the next decision on a queued request, START or REFUSED, in @p decision; false if there
 * is none. Call it until it returns false: after each offer, after each end of a run, and every few
 * milliseconds while requests are queued. */
bool bt_next_run (bt_run_queue_t *queue, int64_t now_ms, bt_run_decision_t *decision);

/** Frees the slot of a run that ended for any reason. @p service_ms is its run time, or 0 if that
 * says nothing about the endpoint (a cancelled run). */
void bt_end_run (bt_run_queue_t *queue, int64_t service_ms);

/** Removes a queued request whose caller has left; returns false if it is not queued. */
bool bt_cancel_run (bt_run_queue_t *queue, uint64_t id);

/** Sets whether the agent is leaving. While it is, new requests are refused; queued and running
 * ones are completed. */
void bt_set_run_queue_leaving (bt_run_queue_t *queue, bool leaving);

/** Sets the number of slots that the endpoint reports. Requests that are already running keep their
 * slots. */
void bt_set_run_slots (bt_run_queue_t *queue, int32_t slots);

/** Returns the load to report in @p load, with an age of 0. */
void bt_get_run_load (const bt_run_queue_t *queue, bt_load_t *load);

#endif
