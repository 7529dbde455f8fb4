#ifndef BILBERRYTRAY_SOURCE_GATEWAY_CRASH_REPORTER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_CRASH_REPORTER_H

/** @file
 * Reports crashes to all instances by items in the platform's store, on a thread of its own. Writes
 * that fail are retried.
 */

#include "bilberrytray/gateway/platform.h"
#include "bilberrytray/requests/crash_table.h"

typedef struct bt_crash_reporter bt_crash_reporter_t;

/** @p store is the store's "IP:PORT", @p instance the name of this instance; both must outlive the
 * reporter. */
bt_crash_reporter_t *bt_new_crash_reporter (bt_context_t *ctx,
                                            const bt_platform_t *platform,
                                            const char *store,
                                            const char *instance);

/** Stops the thread. Reports that are not written by then are lost. NULL is accepted. */
void bt_drop_crash_reporter (bt_context_t *ctx, bt_crash_reporter_t *reporter);

/** Queues a crash update to be written to the store. May be called from any thread. */
void bt_report_crash (bt_crash_reporter_t *reporter, const bt_crash_update_t *update);

#endif
