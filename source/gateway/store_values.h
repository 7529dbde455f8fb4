#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_VALUES_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_VALUES_H

/** @file
 * Which values of the platform's store a gateway keeps. Other programs write to the store too, and
 * a gateway follows all of it.
 */

#include "bilberrytray/gateway/platform.h"
#include "bilberrytray/store/kv.h"

/** Returns a filter that keeps the values that a view is made of, unless they are larger than any
 * that is valid. */
bt_kv_filter_t bt_make_store_filter (const bt_platform_t *platform);

#endif
