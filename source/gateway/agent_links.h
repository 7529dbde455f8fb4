#ifndef BILBERRYTRAY_SOURCE_GATEWAY_AGENT_LINKS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_AGENT_LINKS_H

/** @file
 * Links to the agents that run beside model engines. They carry the engines' reports, and the
 * orders of a group's leader.
 *
 * An instance is linked to the agents of the endpoints that it sends requests to. The leader is
 * linked to all agents.
 *
 * Frames arrive on the links' own thread, which only stores them in a table. The event loop
 * collects them from the table in each iteration. While this instance leads, every frame wakes the
 * loop, so that the results of orders are processed without delay.
 */

#include "bilberrytray/load/room_asker.h"
#include "bilberrytray/maps/expert_map.h"
#include "endpoint_selection.h"
#include "event_loop.h"
#include "pending_update.h"

typedef struct bt_agent_links bt_agent_links_t;

/** Handles one update; called on the event loop by bt_collect_agent_updates. */
typedef void (*bt_agent_update_handler_t) (void *data, const bt_agent_update_t *update);

typedef enum bt_room_event_kind
{
  BT_ROOM_LINK_UP = 0,
  BT_ROOM_LINK_DOWN,
  BT_ROOM_REPLIED,
} bt_room_event_kind_t;

/** What happened on the link to an agent that concerns reservations. */
typedef struct bt_room_event
{
  char endpoint[BT_ADDRESS_BYTES]; /**< The engine's "IP:PORT". */
  bt_room_event_kind_t kind;
  bt_asker_reply_t reply; /**< The verdict is as received, and may be unknown. */
} bt_room_event_t;

/** Handles one event; called on the event loop by bt_collect_room_events. */
typedef void (*bt_room_event_handler_t) (void *data, const bt_room_event_t *event);

/** Ids that an agent is told of with one frame; the arrays may be NULL where the count is 0. */
typedef struct bt_room_use_ids
{
  uint64_t *started;
  size_t started_count;
  uint64_t *ended;
  size_t ended_count;
  uint64_t *released;
  size_t released_count;
  uint64_t *withdrawn;
  size_t withdrawn_count;
  uint64_t *unasked;
  size_t unasked_count;
} bt_room_use_ids_t;

typedef struct bt_agent_links_options
{
  const char *instance;
  uint64_t incarnation;
  const char *failure_domain;
  const char *secret;
  int32_t port; /**< Port on which agents accept links, at their engine's IP address. */
} bt_agent_links_options_t;

bt_agent_links_t *bt_new_agent_links (bt_context_t *ctx,
                                      bt_event_loop_t *loop,
                                      const bt_agent_links_options_t *options,
                                      bt_error_t *error);

/** NULL is accepted. */
void bt_drop_agent_links (bt_context_t *ctx, bt_agent_links_t *links);

/** Opens links to the agents of the selected endpoints of a view, and closes all others. While this
 * instance leads, it is linked to the agents of all endpoints. Endpoints of plain services have no
 * agent; the declarations of the view define which apps are models. */
void bt_set_agent_endpoints (bt_agent_links_t *links,
                             const bt_view_t *view,
                             const bt_endpoint_selection_t *selection);

/** Passes each update that arrived since the last call to @p handle_update. Returns false if there
 * are none. */
bool bt_collect_agent_updates (bt_agent_links_t *links,
                               bt_agent_update_handler_t handle_update,
                               void *data);

/** Makes this instance the leader with the fencing number @p fence: opens links to all agents, and
 * asks them to send their picks regularly and their places once. 0 ends the subscription. Agents
 * that connect later are asked too. */
void bt_subscribe_agents (bt_agent_links_t *links, uint64_t fence);

/** Asks one agent to send a report at once. */
void bt_request_agent_report (bt_agent_links_t *links, const char *endpoint);

/** Asks one agent for its places. */
void bt_request_agent_places (bt_agent_links_t *links, const char *endpoint);

/** Sends an order for the engine @p endpoint through the agent beside the engine @p via. Returns
 * false if that agent is not linked or the order can't be sent. @p map is set for PREPARE orders
 * only, else NULL. */
bool bt_send_agent_order (bt_agent_links_t *links,
                          const char *via,
                          const char *endpoint,
                          const bt_group_order_t *order,
                          const bt_map_bytes_t *map);

/** Passes each event of reservations that occurred since the last call to @p handle_event, in the
 * order in which they occurred. An answer to an ask wakes the loop at once. */
void
bt_collect_room_events (bt_agent_links_t *links, bt_room_event_handler_t handle_event, void *data);

/** Returns true if the link to the agent of an engine is up. */
bool bt_is_agent_linked (bt_agent_links_t *links, const char *endpoint);

/** Asks the agent of an engine for capacity. Returns false if it is not linked. */
bool bt_send_room_ask (bt_agent_links_t *links, const char *endpoint, const bt_asker_ask_t *ask);

/** Tells the agent of an engine what became of requests there. Returns false if it is not linked.
 */
bool bt_send_room_use (bt_agent_links_t *links, const char *endpoint, const bt_room_use_ids_t *use);

/** Returns n such that every nth report of a rank carries its picks, in a group of @p ranks ranks.
 */
int32_t bt_get_picks_interval (int32_t ranks);

#endif
