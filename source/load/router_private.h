#ifndef BILBERRYTRAY_SOURCE_LOAD_ROUTER_PRIVATE_H
#define BILBERRYTRAY_SOURCE_LOAD_ROUTER_PRIVATE_H

/** @file
 * The state of a router that its source files share.
 */

#include "bilberrytray/base/name_index.h"
#include "choice.h"

/** Number of entries that share the endpoints of one app. */
typedef struct bt_app_entries
{
  char app[BT_NAME_BYTES];
  int32_t entries;
} bt_app_entries_t;

struct bt_router
{
  bt_router_options_t options;
  int32_t entries;       /**< Of an app without a row below. */
  bt_entry_list_t *list; /**< NULL before the names of the entries are known. */
  bt_app_entries_t *app_entries;
  int32_t app_count;
  uint64_t last_link_number;
  uint64_t last_dispatch;
  double home_virtual_time; /**< Virtual time of the last home agent chosen. */
  bt_endpoint_state_t **endpoints;
  bt_endpoint_state_t **usable; /**< Scratch space of a choice, with room for all endpoints. */
  bt_name_index_t *index; /**< Of the endpoints by instance; there is one incarnation of each. */
  int32_t count;
  int32_t capacity;
};

/** Returns the number of entries that share the endpoints of an app. */
int32_t bt_get_app_entries (const bt_router_t *router, const char *app);

/** Returns NULL if the endpoint does not exist. */
bt_endpoint_state_t *bt_find_endpoint_state (const bt_router_t *router,
                                             const bt_identity_t *identity);

/** Returns true if an endpoint is cold and this entry must not send it a request yet. */
bool bt_is_endpoint_too_cold (const bt_endpoint_state_t *state, int64_t now_ms);

/** Returns true if an endpoint has said that it takes no request of this entry now. */
bool bt_is_endpoint_throttled (const bt_endpoint_state_t *state, int64_t now_ms);

/** Returns true if an endpoint of an app may be chosen for a request now, unless it is throttled.
 */
bool bt_is_endpoint_in_service (bt_router_t *router,
                                bt_endpoint_state_t *state,
                                const char *app,
                                int64_t now_ms);

/** Returns true if an endpoint of an app gets no request now only because it is throttled, and it
 * is known when it gets the next one. */
bool bt_is_endpoint_only_throttled (bt_router_t *router,
                                    bt_endpoint_state_t *state,
                                    const char *app,
                                    int64_t now_ms);

/** Returns true if an endpoint of an app may be chosen for a request now. */
bool bt_is_endpoint_usable (bt_router_t *router,
                            bt_endpoint_state_t *state,
                            const char *app,
                            int64_t now_ms);

#endif
