#ifndef BILBERRYTRAY_BASE_PROCESS_USE_H
#define BILBERRYTRAY_BASE_PROCESS_USE_H

/** @file
 * What the process uses of its limits.
 */

#include "bilberrytray/base/context.h"

/** Updates the gauges of resident memory and open descriptors from /proc/self. What can't be read
 * keeps its value. */
void bt_update_process_gauges (bt_context_t *ctx);

/** Returns the maximum number of open descriptors; INT32_MAX if there is none. */
int32_t bt_get_descriptor_limit (void);

/** Returns how many connections of callers may be open at a time, at least 1 and at most @p max, if
 * each may need a second descriptor for its request and the process may open @p descriptors. The
 * rest is left for the process's own connections. */
int32_t bt_bound_caller_connections (int32_t max, int32_t descriptors);

/** Returns the same for a port whose requests need no second descriptor and are few. */
int32_t bt_bound_control_connections (int32_t max, int32_t descriptors);

#endif
