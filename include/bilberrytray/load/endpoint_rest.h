#ifndef BILBERRYTRAY_LOAD_ENDPOINT_REST_H
#define BILBERRYTRAY_LOAD_ENDPOINT_REST_H

/** @file
 * The rest for which an endpoint asks when it turns a request away: the time in which it wants no
 * request from the entry that sent it. It does not concern other entries.
 */

#include <stdbool.h>
#include <stdint.h>

/** Knowledge of one endpoint's rest; zeroed: it has asked for none. */
typedef struct bt_endpoint_rest
{
  int64_t asked_ms; /**< When the endpoint first asked for the present rest. */
  int64_t until_ms; /**< When the rest ends. */
  int64_t sent;     /**< Requests sent to the endpoint since it first asked. */
} bt_endpoint_rest_t;

/** Records that an answer asked for a rest of @p rest_ms. A later end replaces an earlier one.
 * Returns true if the endpoint was not resting. */
bool bt_record_rest (bt_endpoint_rest_t *rest, int64_t rest_ms, int64_t now_ms);

/** Records that a request was sent to the endpoint. */
void bt_record_rest_dispatch (bt_endpoint_rest_t *rest, int64_t now_ms);

bool bt_is_resting (const bt_endpoint_rest_t *rest, int64_t now_ms);

#endif
