#ifndef BILBERRYTRAY_SOURCE_GATEWAY_CRASH_REPORTER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_CRASH_REPORTER_H

/** @file
 * Reports crashes and what is known of them to all instances by items in the platform's store, on a
 * thread of its own. Writes that fail are retried.
 */

#include "bilberrytray/gateway/platform.h"

enum
{
  /** Size of the longest key of a report, including the terminating zero, in bytes. */
  BT_CRASH_KEY_BYTES = 192,
};

typedef struct bt_crash_reporter bt_crash_reporter_t;

/** @p store is the store's "IP:PORT". */
bt_crash_reporter_t *
bt_new_crash_reporter (bt_context_t *ctx, const bt_platform_t *platform, const char *store);

/** Stops the thread. Reports that are not written by then are lost. NULL is accepted. */
void bt_drop_crash_reporter (bt_context_t *ctx, bt_crash_reporter_t *reporter);

/** Queues a write of an item, or its removal if @p value is NULL. Takes ownership of the value. May
 * be called from any thread. */
void bt_report_crash_item (bt_crash_reporter_t *reporter, const char *key, char *value);

#endif
