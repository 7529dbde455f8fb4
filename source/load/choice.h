#ifndef BILBERRYTRAY_SOURCE_LOAD_CHOICE_H
#define BILBERRYTRAY_SOURCE_LOAD_CHOICE_H

/** @file
 * Choice among the endpoints that may be used.
 */

#include "endpoint_state.h"

/** Returns the endpoint with the lowest cost among @p count endpoints or a random sample of them;
 * NULL if @p count is 0. May reorder @p states. Among equal costs the endpoint with the oldest
 * dispatch is chosen. A recovering endpoint of the sample that has no request of this entry in
 * flight is chosen whatever its cost. */
bt_endpoint_state_t *bt_choose_endpoint_state (const bt_router_options_t *options,
                                               int32_t entries,
                                               bt_endpoint_state_t **states,
                                               int32_t count,
                                               const bt_route_request_t *request,
                                               int64_t now_ms);

#endif
