#ifndef BILBERRYTRAY_SOURCE_ENTRY_CALL_ADMISSION_H
#define BILBERRYTRAY_SOURCE_ENTRY_CALL_ADMISSION_H

/** @file
 * Admission of calls, and the parameters for it that come from the rule and the account of a call.
 */

#include "entry_private.h"

/** Returns the hash that routes calls with a common prompt prefix to the same endpoint: of the
 * header, or of the first bytes of the body, that the call's rule names. 0 if the rule names
 * none or the request does not have it. */
uint64_t bt_get_call_prefix (const bt_call_t *call);

/** Returns the weight of the call's account in fair sharing, at least 1. */
int32_t bt_get_call_share (const bt_call_t *call);

#endif
