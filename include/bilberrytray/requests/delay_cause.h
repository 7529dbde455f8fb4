#ifndef BILBERRYTRAY_REQUESTS_DELAY_CAUSE_H
#define BILBERRYTRAY_REQUESTS_DELAY_CAUSE_H

/** @file
 * Decides why a request was late, refused or failed.
 *
 * A request passes stages in a fixed order: the entry, the wait for endpoints, attempts that were
 * given up, the endpoint. The cause is the first stage whose time alone, together with the usual
 * time of the later ones, exceeds what the rule allows. Does no I/O; times are arguments.
 */

#include "bilberrytray/core/outcome.h"
#include "bilberrytray/load/admission.h"

/** Whether a request met what its rule allows. */
typedef enum bt_delay_outcome
{
  BT_DELAY_IN_TIME = 0,
  BT_DELAY_LATE,    /**< The first event or a pause took longer than the rule allows. */
  BT_DELAY_REFUSED, /**< It did not run. */
  BT_DELAY_FAILED,  /**< It may have run, and its caller did not get the complete answer. */
  BT_DELAY_OUTCOME_COUNT,
} bt_delay_outcome_t;

/** All causes: identifier, label of metrics and field of events. */
#define BT_DELAY_CAUSE_LIST(X)                                                                     \
  X (NONE, "none")                                                                                 \
  X (ENTRY_SLOW, "entry-slow")                                                                     \
  X (ROOM, "room")                                                                                 \
  X (GROUP, "group")                                                                               \
  X (COLD, "cold")                                                                                 \
  X (THROTTLED, "throttled")                                                                       \
  X (ENDPOINT_QUEUE, "endpoint-queue")                                                             \
  X (PREFILL, "prefill")                                                                           \
  X (PASS_JUMP, "pass-jump")                                                                       \
  X (PASS_LOAD, "pass-load")                                                                       \
  X (RESUMED, "resumed")                                                                           \
  X (SLOW_READER, "slow-reader")                                                                   \
  X (ENDPOINT_FAILED, "endpoint-failed")                                                           \
  X (OTHER, "other")

typedef enum bt_delay_cause
{
#define BT_DELAY_CAUSE_ENUM(id, name) BT_DELAY_CAUSE_##id,
  BT_DELAY_CAUSE_LIST (BT_DELAY_CAUSE_ENUM)
#undef BT_DELAY_CAUSE_ENUM
      BT_DELAY_CAUSE_COUNT,
} bt_delay_cause_t;

/** The longest pause between two parts of an answer. The last one may be open: its part never came.
 */
typedef struct bt_delay_pause
{
  int64_t began_ms;
  int64_t length_ms;    /**< 0: there was none. */
  int64_t jump_ms;      /**< When the demand for experts last jumped before its end; 0: never. */
  bool jumps_frequent;  /**< The pass limiter reserved capacity for jumps at its end. */
  bool was_sent_within; /**< The request was sent again during the pause. */
  bool reader_behind;   /**< The caller had not read what it had been sent. */
} bt_delay_pause_t;

/** What is known of a request when it ends. Times are in ms of one clock; 0: it did not happen. A
 * time that is missing, or earlier than the one before, adds nothing to its stage. */
typedef struct bt_delay_timeline
{
  bt_outcome_t outcome;
  bt_reason_t reason; /**< Of a refusal or failure. */
  int32_t status;     /**< HTTP status of the answer; 0: none. */
  int64_t aim_ms;     /**< Time to the first event that the rule allows; 0: any. */
  int64_t pause_ms;   /**< Pause that the rule allows; 0: any. */

  int64_t arrived_ms;               /**< Its head was read. */
  int64_t read_ms;                  /**< It was read completely. */
  int64_t decided_ms;               /**< The first decision of admission. */
  int64_t admitted_ms;              /**< The decision that let it be sent. */
  int64_t first_sent_ms;            /**< The first attempt. */
  int64_t last_sent_ms;             /**< The last attempt before the first event. */
  int64_t first_event_ms;           /**< The first part of the answer. */
  int64_t ended_ms;                 /**< Its end; always set. */
  int64_t behind_ms;                /**< Time for which the event loop was behind before the first
                                         event. */
  bool was_held;                    /**< It was held for the trial of a part of its prompt. */
  int64_t waited_ms[BT_WAIT_COUNT]; /**< Time in admission's queue, by what it waited for. */
  bt_wait_reason_t last_wait;       /**< What it waited for, or was refused for, last. */

  int32_t sends;             /**< Attempts. */
  int32_t breaks;            /**< Attempts that their endpoints broke off. */
  bool has_report;           /**< The endpoint had reported its load at the last send. */
  int32_t endpoint_queued;   /**< Requests queued there, as reported. */
  int32_t endpoint_running;  /**< Slots taken there, as reported. */
  int32_t endpoint_slots;    /**< Slots there; 0: not known. */
  int32_t prompt_tokens;     /**< 0: not known. */
  double read_tokens_per_ms; /**< Speed at which an engine reads a prompt; 0: not known. */
  double least_pass_ms;      /**< Shortest time of a pass; 0: not known. */
  double last_pass_ms;       /**< Time of a pass at the last send; 0: not known. */
  bt_delay_pause_t pause;    /**< The longest pause. */
} bt_delay_timeline_t;

/** The verdict, with the times that show it. */
typedef struct bt_delay_verdict
{
  bt_delay_outcome_t outcome;
  bt_delay_cause_t cause; /**< NONE exactly for a request in time. */
  int64_t stage_ms;       /**< Time of the stage that the cause names; 0: not known. */
  int64_t usual_ms;       /**< Usual time from sending a request to its first event; 0: not used. */
  int64_t allowed_ms;     /**< What the rule allowed for it; 0: nothing was exceeded. */
} bt_delay_verdict_t;

/** Decides the outcome and the cause. */
void bt_judge_delay (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict);

const char *bt_name_delay_outcome (bt_delay_outcome_t outcome);
const char *bt_name_delay_cause (bt_delay_cause_t cause);

#endif
