#ifndef BILBERRYTRAY_SOURCE_GATEWAY_FORWARD_H
#define BILBERRYTRAY_SOURCE_GATEWAY_FORWARD_H

/** @file
 * One request of a caller, from matching its rule to the end of its answer. Included only by the
 * files of the forwarding path.
 */

#include "bilberrytray/config/rule.h"
#include "bilberrytray/requests/attempt.h"
#include "bilberrytray/requests/event_stream.h"
#include "bilberrytray/requests/fingerprint.h"
#include "bilberrytray/requests/prompt_parts.h"
#include "gateway_private.h"

enum
{
  /** Maximum number of endpoints that one request is sent to, including those that refuse it. */
  BT_MAX_FORWARD_SENDS = 8,
  /** Parts of a prompt that a log line names. */
  BT_MAX_LOGGED_PARTS = 8,
  BT_PARTS_TEXT_BYTES = BT_MAX_LOGGED_PARTS * BT_FINGERPRINT_TEXT_BYTES,
};

/** State of a request. */
typedef enum bt_forward_state
{
  BT_FORWARD_QUEUED = 0, /**< In the admission queue. */
  BT_FORWARD_SENT,       /**< An attempt is in progress; the caller has received nothing yet. */
  BT_FORWARD_STREAMING,  /**< The caller has received the head of a stream. */
  BT_FORWARD_ENDED,
} bt_forward_state_t;

/** A request in progress. */
typedef struct bt_forward
{
  bt_exchange_handler_t handler; /**< Must be first: the callbacks cast it to bt_forward_t. */
  bt_gateway_t *gateway;
  struct bt_forward *next; /**< In the list of all requests in progress. */
  struct bt_forward *previous;
  uint64_t id; /**< Identifies the request in admission. */
  bt_forward_state_t state;
  bt_frontend_call_t *call; /**< Released when the request is freed. */
  bt_timer_t timer;         /**< Expires at deadline_ms. */

  bt_declarations_t *declarations; /**< One revision, from the match to the last retry. */
  const bt_rule_t *rule;
  int32_t app_index;           /**< Into the declared apps; valid with app. */
  const char *app;             /**< NULL until a rule that can be used has matched. */
  char account[BT_NAME_BYTES]; /**< "" for callers that need none. */
  const char *account_name;    /**< The same as declared, for endpoints; NULL for none. */
  bt_priority_t priority;
  bool contended; /**< Rules of its app name different priorities. */
  bt_request_info_t info;
  bt_fingerprint_t fingerprint;
  bool has_fingerprint;     /**< The fingerprint has been computed. */
  bt_prompt_parts_t *parts; /**< Shared parts of the prompt; NULL: unknown or not read. */
  bool has_read_parts;      /**< The parts have been read. */
  bool awaits_part_trial;   /**< It is not admitted before it is the trial of a held part. */
  bool is_part_trial;       /**< Its next attempt is the trial of a held part. */
  bool was_part_trial;      /**< An attempt was the trial of a held part. */
  bool is_crash_trial;      /**< It runs although endpoints ended while running it before. */
  int64_t arrived_ms;
  int64_t deadline_ms; /**< When the caller's or the rule's time limit ends, whichever is first. */

  bt_exchange_t *exchange; /**< The attempt in progress, or NULL. */
  bt_route_t route;
  const bt_identity_t *only; /**< The only endpoint that may be chosen now; NULL: any. */
  uint64_t grant_id;         /**< The grant by which it is sent now; 0: none. */
  uint64_t room_id;      /**< Under which the agent counts the present attempt; 0: not at all. */
  int64_t sent_ms;       /**< When the present attempt was sent. */
  int64_t first_sent_ms; /**< When the first attempt was sent; 0: none yet. */
  int64_t first_byte_ms; /**< When the caller got the first part of the answer; 0: not yet. */
  int64_t last_part_ms;  /**< When the caller last got a part. */
  bt_identity_t tried[BT_MAX_FORWARD_SENDS];
  int32_t sends;
  int32_t runs;   /**< Attempts that may have run. */
  int32_t breaks; /**< Attempts that their endpoints broke off. */
  bt_answer_info_t answer;
  bool has_noted_answer; /**< What the present answer says about its endpoint was recorded. */
  bt_frontend_header_t *headers; /**< Headers of the present attempt's answer that are passed on. */
  int32_t header_count;
  bt_delay_track_t delay;
  bt_event_stream_t events; /**< The events of a stream that the caller has received. */
  int64_t events_before;    /**< Number of them before the present attempt. */
} bt_forward_t;

enum
{
  /** A request that a leaving instance refuses can be taken by another one at once. */
  BT_STOPPING_RETRY_MS = 1,
};

/** Chooses the app of a request that its rule has matched; one of several if the rule divides its
 * requests. */
void bt_choose_forward_app (bt_forward_t *forward);

/** Returns true when the request may run more than once. */
bool bt_is_forward_repeatable (const bt_forward_t *forward);

/** Chooses an endpoint and sends the request to it; refuses the request when there is none. */
void bt_send_forward (bt_forward_t *forward);

/** Returns false when this instance is leaving and a request that has not run could be cut off by
 * the end of the process. */
bool bt_may_send_late_forward (const bt_forward_t *forward);

/** Refuses a request that has not run, since this instance is leaving; removes it from the queue.
 */
void bt_refuse_unsent_forward (bt_forward_t *forward);

/** Ends the present attempt, if any, and reports @p end to the router. */
void bt_end_forward_attempt (bt_forward_t *forward, bt_attempt_end_t end);

/** Returns true while the group of the present attempt's endpoint is known to be stopped by the end
 * of a rank: its ranks begin no requests, and break off what runs. */
bool bt_is_attempt_stalled (const bt_forward_t *forward);

/** Records that the endpoint broke off an attempt that may have run there. */
void bt_record_broken_attempt (bt_forward_t *forward);

/** Records that the present attempt brought a complete answer. */
void bt_record_answered_attempt (bt_forward_t *forward);

/** Records what the head of the present answer says about the room of its endpoint, once it is
 * complete. */
void bt_note_answer_head (bt_forward_t *forward);

/** Returns true when the request may run once more after an attempt that may have run: it is
 * repeatable, and no endpoint is known to have crashed while running it. */
bool bt_may_forward_run_again (bt_forward_t *forward);

/** Returns the reason for which the request is to be refused if endpoints ended while running it,
 * or BT_REASON_NONE. It may be sent again after @p retry_after_ms. */
bt_reason_t bt_check_forward_crashing (bt_forward_t *forward, int64_t *retry_after_ms);

/** Returns true if the request waits for the trial of the one held part of its prompt, which it has
 * asked for. */
bool bt_await_part_trial (bt_forward_t *forward);

/** Returns the reason for which the request is to be refused because of a part of its prompt, or
 * BT_REASON_NONE. It may be sent again after @p retry_after_ms. */
bt_reason_t bt_check_forward_parts (bt_forward_t *forward, int64_t *retry_after_ms);

/** Returns true if a part of the prompt was found to crash endpoints, while an endpoint has not
 * begun to answer the request. */
bool bt_must_end_for_part (bt_forward_t *forward);

/** Reports that the endpoint broke off the present attempt. */
void bt_report_broken_forward (bt_forward_t *forward);

/** Reports that the endpoint has answered the present attempt completely. */
void bt_report_answered_forward (bt_forward_t *forward);

/** Notes that the request is about to run, if endpoints ended while running it before. */
void bt_note_crash_trial (bt_forward_t *forward);

/** Returns the shared parts of the request's prompt; NULL if it has none or they are unknown. */
const bt_prompt_parts_t *bt_get_forward_parts (bt_forward_t *forward);

/** Writes the hashes of the first BT_MAX_LOGGED_PARTS shared parts of the prompt, separated by
 * commas. */
void bt_write_forward_parts (bt_forward_t *forward, char text[BT_PARTS_TEXT_BYTES]);

/** Returns true if the endpoint has begun to answer the present attempt and went on: with the
 * second event at the latest it has survived the beginning. */
bool bt_has_attempt_begun (const bt_forward_t *forward);

/** Begins to capture why the request may be delayed; called when it was read. */
void bt_start_forward_delay (bt_forward_t *forward);

/** Captures a decision of admission, for an attempt the state of the endpoint that it goes to, and
 * for a part of the answer the time since the part before; the last two are called before the
 * request itself records the attempt or the part. */
void bt_note_forward_decision (bt_forward_t *forward, const bt_admission_decision_t *decision);
void bt_note_forward_send (bt_forward_t *forward);
void bt_note_forward_part (bt_forward_t *forward, int64_t now_ms);

/** Decides at the end of the request whether it was late, refused or failed, and why, and counts
 * it. */
void bt_judge_forward_delay (bt_forward_t *forward,
                             bt_outcome_t outcome,
                             bt_reason_t reason,
                             int32_t status,
                             bt_delay_verdict_t *verdict);

/** Ends the request with an answer that the gateway makes itself. When part of a stream was
 * delivered, the connection is broken instead. @p retry_after_ms 0: the answer states none. */
void bt_refuse_forward (bt_forward_t *forward, bt_reason_t reason, int64_t retry_after_ms);

/** Logs the end of a request and frees it. @p outcome and @p reason say how it ended; @p status is
 * what the caller got, 0 for nothing. */
void
bt_finish_forward (bt_forward_t *forward, bt_outcome_t outcome, bt_reason_t reason, int32_t status);

/** Returns after how long callers that found no free endpoint of @p app may retry, ms. The times
 * are spread at random, so that callers that were refused together do not return together. */
int64_t bt_draw_retry_after_ms (bt_gateway_t *gateway, const char *app);

#endif
