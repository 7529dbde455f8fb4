#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LEAD_ORDER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LEAD_ORDER_H

/** @file
 * The order in which the entry instances try to lead the rank groups. Each try is some calls to the
 * store, so instances try one after the other and not all at once.
 */

#include "view.h"

/** Returns how long an instance waits before it tries, from when no leader is known, in ms. The one
 * with the most processor share tries first, by name if they have the same. An instance that the
 * view does not list yet tries after the listed ones. */
int64_t bt_get_lead_delay_ms (const bt_view_t *view, const char *instance, double cores);

#endif
