#ifndef BILBERRYTRAY_BASE_LIMIT_H
#define BILBERRYTRAY_BASE_LIMIT_H

/** @file
 * Reports that a fixed or configured size limit of the process was reached. Whatever exceeds such a
 * limit is dropped, so the operator must be informed.
 */

#include "bilberrytray/base/context.h"

/** Counts that a limit was reached, in "bilberry_limits_reached_total" by @p limit. Logs it when
 * the count is a power of two (1, 2, 4, ...), so that the log is not flooded. @p limit is a
 * constant name, @p max the limit's value, @p subject what exceeded it, and @p message the
 * consequence. */
void bt_report_limit (
    bt_context_t *ctx, const char *limit, int64_t max, const char *subject, const char *message);

#endif
