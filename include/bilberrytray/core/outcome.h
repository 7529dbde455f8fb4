#ifndef BILBERRYTRAY_CORE_OUTCOME_H
#define BILBERRYTRAY_CORE_OUTCOME_H

/** @file
 * Outcomes of requests and the reasons for them. Both sets are closed.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

/** Outcome of a request, as reported to its caller. */
typedef enum bt_outcome
{
  BT_OUTCOME_ANSWERED = 0, /**< The complete answer was delivered. */
  BT_OUTCOME_NOT_RUN,      /**< Proven: it did not run and never will under this key. */
  BT_OUTCOME_UNKNOWN,      /**< It may have run, completely or in part. */
} bt_outcome_t;

/** All reasons for a refusal: identifier, name in headers and counters, HTTP status, outcome. The
 * outcome is the strongest that the reason alone supports. A caller's key may weaken not-run to
 * unknown, never the reverse. */
#define BT_REASON_LIST(X)                                                                          \
  X (NONE, "none", 200, ANSWERED)                                                                  \
  X (BAD_REQUEST, "bad-request", 400, NOT_RUN)                                                     \
  X (NO_TOKEN, "no-token", 401, NOT_RUN)                                                           \
  X (BAD_TOKEN, "bad-token", 401, NOT_RUN)                                                         \
  X (NO_RULE, "no-rule", 403, NOT_RUN)                                                             \
  X (RULE_REFUSED, "rule-refused", 403, NOT_RUN)                                                   \
  X (NO_SUCH_PATH, "no-such-path", 404, NOT_RUN)                                                   \
  X (BODY_TOO_LARGE, "body-too-large", 413, NOT_RUN)                                               \
  X (KEY_REQUIRED, "key-required", 428, NOT_RUN)                                                   \
  X (KEY_NOT_MINTED, "key-not-minted", 428, NOT_RUN)                                               \
  X (KEY_EXPIRED, "key-expired", 428, UNKNOWN)                                                     \
  X (KEY_TOMBSTONED, "key-tombstoned", 409, NOT_RUN)                                               \
  X (KEY_REUSED, "key-reused", 409, NOT_RUN)                                                       \
  X (RULE_LIMIT, "rule-limit", 429, NOT_RUN)                                                       \
  X (ACCOUNT_SHARE, "account-share", 429, NOT_RUN)                                                 \
  X (QUEUE_FULL, "queue-full", 503, NOT_RUN)                                                       \
  X (DEADLINE_UNREACHABLE, "deadline-unreachable", 503, NOT_RUN)                                   \
  X (NO_ENDPOINT, "no-endpoint", 503, NOT_RUN)                                                     \
  X (ENDPOINT_FULL, "endpoint-full", 503, NOT_RUN)                                                 \
  X (ENDPOINT_LEAVING, "endpoint-leaving", 503, NOT_RUN)                                           \
  X (RECORDS_FULL, "records-full", 503, NOT_RUN)                                                   \
  X (WRONG_INSTANCE, "wrong-instance", 503, NOT_RUN)                                               \
  X (RETRY_BUDGET, "retry-budget", 503, NOT_RUN)                                                   \
  X (NOT_READY, "not-ready", 503, NOT_RUN)                                                         \
  X (DECLARATION_UNREADABLE, "declaration-unreadable", 503, NOT_RUN)                               \
  X (ISOLATED, "isolated", 503, NOT_RUN)                                                           \
  X (STOPPING, "stopping", 503, NOT_RUN)                                                           \
  X (STOPPED_MIDWAY, "stopped-midway", 502, UNKNOWN)                                               \
  X (DEADLINE_PASSED, "deadline-passed", 504, UNKNOWN)                                             \
  X (LINK_LOST, "link-lost", 502, UNKNOWN)                                                         \
  X (HOME_RESTARTED, "home-restarted", 502, UNKNOWN)                                               \
  X (HOME_UNREACHABLE, "home-unreachable", 502, UNKNOWN)                                           \
  X (ENGINE_FAILED, "engine-failed", 502, UNKNOWN)                                                 \
  X (ENGINE_SILENT, "engine-silent", 504, UNKNOWN)                                                 \
  X (ENGINE_UNREACHABLE, "engine-unreachable", 503, NOT_RUN)                                       \
  X (ANSWER_DROPPED, "answer-dropped", 502, UNKNOWN)                                               \
  X (CANCELLED, "cancelled", 504, UNKNOWN)                                                         \
  X (AGENT_RESTARTED, "agent-restarted", 502, UNKNOWN)                                             \
  X (NO_RUN, "no-run", 503, NOT_RUN)                                                               \
  X (CRASHES_ENDPOINTS, "crashes-endpoints", 503, NOT_RUN)                                         \
  X (HELD_AFTER_CRASH, "held-after-crash", 503, NOT_RUN)                                           \
  X (PART_CRASHES_ENDPOINTS, "part-crashes-endpoints", 503, NOT_RUN)                               \
  X (ENDED_FOR_PART, "ended-for-part", 502, UNKNOWN)                                               \
  X (BUFFERS_FULL, "buffers-full", 503, NOT_RUN)                                                   \
  X (SLOW_READER, "slow-reader", 502, UNKNOWN)

typedef enum bt_reason
{
#define BT_REASON_ENUM(id, name, status, outcome) BT_REASON_##id,
  BT_REASON_LIST (BT_REASON_ENUM)
#undef BT_REASON_ENUM
      BT_REASON_COUNT,
} bt_reason_t;

/** All reasons for a retry: identifier, name in counters. */
#define BT_RETRY_LIST(X)                                                                           \
  X (ENDPOINT_FULL, "endpoint-full")                                                               \
  X (ENDPOINT_LEAVING, "endpoint-leaving")                                                         \
  X (LINK_LOST, "link-lost")                                                                       \
  X (ENGINE_FAILED, "engine-failed")                                                               \
  X (ENGINE_SILENT, "engine-silent")                                                               \
  X (WRONG_INSTANCE, "wrong-instance")                                                             \
  X (REGRANT, "regrant")                                                                           \
  X (ATTACH, "attach")                                                                             \
  X (HEDGE, "hedge")

typedef enum bt_retry
{
#define BT_RETRY_ENUM(id, name) BT_RETRY_##id,
  BT_RETRY_LIST (BT_RETRY_ENUM)
#undef BT_RETRY_ENUM
      BT_RETRY_COUNT,
} bt_retry_t;

const char *bt_name_outcome (bt_outcome_t outcome);
const char *bt_name_reason (bt_reason_t reason);
const char *bt_name_retry (bt_retry_t retry);

/** Returns the HTTP status that reports @p reason to a caller. */
int32_t bt_get_reason_status (bt_reason_t reason);

/** Returns the HTTP status of a refusal with an outcome that may be weaker than the reason's. Where
 * the status of the reason says that nothing ran, and something may have, it is 502. */
int32_t bt_get_refusal_status (bt_reason_t reason, bt_outcome_t outcome);

/** Returns the strongest outcome that @p reason alone supports. */
bt_outcome_t bt_get_reason_outcome (bt_reason_t reason);

/** Counts a refusal. Every refusal of a program goes through this function, so that none is left
 * uncounted. */
void bt_count_refusal (bt_context_t *ctx, bt_reason_t reason);

/** Counts a retry. */
void bt_count_retry (bt_context_t *ctx, bt_retry_t retry);

/** Counts the outcome of a request for its caller. */
void bt_count_outcome (bt_context_t *ctx, bt_outcome_t outcome);

/** Creates all counters of the three families, so that the metrics page shows zeros from the
 * start. */
void bt_prepare_outcome_counters (bt_context_t *ctx);

#endif
