#ifndef BILBERRYTRAY_SOURCE_GATEWAY_CRASH_CONTROL_H
#define BILBERRYTRAY_SOURCE_GATEWAY_CRASH_CONTROL_H

/** @file
 * Refuses requests that crash the endpoints which run them. Combines the crashes that this instance
 * sees and those that other instances report in one table. Runs on the event loop.
 */

#include "bilberrytray/gateway/platform.h"
#include "bilberrytray/requests/crash_table.h"
#include "crash_reporter.h"
#include "endpoint_table.h"
#include "event_loop.h"
#include "part_control.h"

typedef struct bt_crash_control bt_crash_control_t;

typedef struct bt_crash_control_options
{
  const char *instance; /**< Name of this instance. */
  bt_crash_reporter_t *reporter;
  bt_part_control_t *parts; /**< Is notified of ends of endpoints. */
  int64_t max_ends;         /**< See crash_table.h. */
  int64_t hold_ms;          /**< See crash_table.h. */
  int64_t keep_ms;          /**< See crash_table.h. */
} bt_crash_control_options_t;

/** Registers with @p endpoints to be notified when an endpoint ends. What the options point to must
 * outlive the crash control. */
bt_crash_control_t *bt_new_crash_control (bt_context_t *ctx,
                                          bt_event_loop_t *loop,
                                          const bt_crash_control_options_t *options,
                                          bt_endpoint_table_t *endpoints);

/** NULL is accepted. */
void bt_drop_crash_control (bt_context_t *ctx, bt_crash_control_t *control);

/** Records that the endpoint at @p address broke off an attempt that may have run there, and checks
 * whether its port is closed. */
void
bt_add_crash_suspect (bt_crash_control_t *control, const bt_crash_t *attempt, const char *address);

/** Records a complete answer to an attempt that was sent at @p sent_ms. */
void
bt_clear_crash_suspect (bt_crash_control_t *control, const bt_crash_t *attempt, int64_t sent_ms);

/** Applies the crashes that all instances share in the store. */
void bt_set_listed_crashes (bt_crash_control_t *control, const bt_view_t *view);

/** Returns false while no crash is known, so that requests need not be looked up by fingerprint
 * before they are sent. */
bool bt_has_known_crashes (const bt_crash_control_t *control);

/** Returns false while there is neither a known crash nor a suspect, so that answers need not be
 * recorded. */
bool bt_has_crash_suspects (const bt_crash_control_t *control);

/** Returns the number of endpoint incarnations that ended while running a request. */
int32_t bt_count_crash_ends (const bt_crash_control_t *control, const bt_fingerprint_t *request);

/** Decides whether a request may run; see bt_judge_request. If not, it may be sent again after
 * @p retry_after_ms. */
bt_crash_verdict_t bt_check_crashing_request (bt_crash_control_t *control,
                                              const bt_fingerprint_t *request,
                                              bool stops_group,
                                              int64_t *retry_after_ms);

/** Notes that a request with crashes runs once more after a hold. */
void bt_try_held_request (bt_crash_control_t *control, const bt_fingerprint_t *request);

#endif
