#ifndef BILBERRYTRAY_SOURCE_LOAD_CHOICE_H
#define BILBERRYTRAY_SOURCE_LOAD_CHOICE_H

/** @file
 * The choice among the endpoints that may be used.
 */

#include "endpoint_state.h"

/** Returns the cheapest of @p count endpoints, or of a random sample of them, whose order it may
 * change; NULL when @p count is 0. Ties go to the one that was longest without a request. */
bt_endpoint_state_t *bt_choose_state (const bt_router_options_t *options,
                                      int32_t entries,
                                      bt_endpoint_state_t **states,
                                      int32_t count,
                                      const bt_route_request_t *request,
                                      int64_t now_ms);

#endif
