#ifndef BILBERRYTRAY_LOAD_ADMISSION_H
#define BILBERRYTRAY_LOAD_ADMISSION_H

/** @file
 * Admission at the entry: whether a request goes out now, waits in a bounded queue, or is refused
 * at once with when to come back. Not safe for threads: the shell holds the router's lock for it.
 */

#include "bilberrytray/load/router.h"

typedef struct bt_admission bt_admission_t;

/** Settings of admission. */
typedef struct bt_admission_options
{
  int32_t queue_limit;         /**< Requests that may wait, for each app. */
  int32_t wait_percent;        /**< Of an estimated wait that must fit into what is left. */
  int64_t demand_window_ms;    /**< Time over which accounts' demand is averaged. */
  int64_t spread_ms;           /**< Come-back times are spread over at least this. */
  int64_t max_retry_after_ms;  /**< Longest come-back time that is told. */
  int64_t no_endpoint_wait_ms; /**< How long a queue outlives its last endpoint. */
  int64_t opening_wait_ms;     /**< The same while endpoints are shut that will open again. */
} bt_admission_options_t;

/** A request as admission sees it. Strings are only read during the call. */
typedef struct bt_admission_request
{
  uint64_t id; /**< The shell's number for it, unique among those waiting. */
  const char *app;
  const char *account;
  int32_t share;    /**< Weight of the account in fair sharing; 0 counts as 1. */
  int32_t priority; /**< Higher goes first. */
  int64_t deadline_left_ms;
  int64_t aim_left_ms;     /**< Time to the first of the answer that the caller expects; 0: none. */
  const char *rule;        /**< Name of the rule that matched; NULL for none. */
  int32_t rule_per_second; /**< The rule's limit; 0: none. */
  int32_t rule_burst;      /**< Requests that the limit lets through at once; 0: one second's. */
  bool again;              /**< A further attempt: neither limited by its rule nor counted. */
  uint64_t seed;           /**< Random: come-back times are spread by it. */
} bt_admission_request_t;

/** What is to be done with a request. */
typedef enum bt_admission_action
{
  BT_ADMISSION_ADMIT = 0, /**< Choose an endpoint and send it now. */
  BT_ADMISSION_QUEUE,     /**< It waits; bt_next_admission will name it. */
  BT_ADMISSION_REFUSE,    /**< It did not run: answer at once. */
} bt_admission_action_t;

/** A decision about one request. */
typedef struct bt_admission_decision
{
  uint64_t id;
  bt_admission_action_t action;
  bt_reason_t reason;     /**< Of a refusal: RULE_LIMIT, ACCOUNT_SHARE, QUEUE_FULL, NO_ENDPOINT,
                               DEADLINE_UNREACHABLE. */
  int64_t retry_after_ms; /**< Of a refusal: when to come back. */
} bt_admission_decision_t;

/** 4096 waiting, waits taken at 150%, demand over 2 s, come-back times over 1 s up to 5 min. */
void bt_default_admission_options (bt_admission_options_t *options);

/** Makes an admission that reads capacity from @p router, which must outlive it. */
bt_admission_t *
bt_new_admission (bt_context_t *ctx, bt_router_t *router, const bt_admission_options_t *options);
void bt_drop_admission (bt_context_t *ctx, bt_admission_t *admission);

/** Decides about a new request. After ADMIT the shell chooses an endpoint and calls
 * bt_record_dispatch before the next decision, since that is what uses up room. */
void bt_decide_admission (bt_context_t *ctx,
                          bt_admission_t *admission,
                          const bt_admission_request_t *request,
                          int64_t now_ms,
                          bt_admission_decision_t *decision);

/** Tells the next decision about a waiting request: ADMIT or REFUSE. Call it until it returns false
 * after each end, each report of load, and every few milliseconds while requests wait. */
bool
bt_next_admission (bt_admission_t *admission, int64_t now_ms, bt_admission_decision_t *decision);

/** Takes a waiting request out (its caller left); false when it isn't waiting. */
bool bt_cancel_admission (bt_admission_t *admission, uint64_t id);

/** The number of requests that wait for an app. */
int32_t bt_count_waiting (const bt_admission_t *admission, const char *name);

#endif
