#ifndef BILBERRYTRAY_SOURCE_ENTRY_PLACEMENT_H
#define BILBERRYTRAY_SOURCE_ENTRY_PLACEMENT_H

/** @file
 * What the rule of a call says about its place.
 */

#include "entry_private.h"

/** The hash by which calls that share a cached prefix go together: of the header or the first bytes
 * of the body that the call's rule names. 0 when it names none, or the header is absent. */
uint64_t bt_get_call_prefix (const bt_call_t *call);

/** The weight of the call's account in fair sharing, from 1 up. */
int32_t bt_get_call_share (const bt_call_t *call);

#endif
