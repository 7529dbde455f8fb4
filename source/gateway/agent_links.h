#ifndef BILBERRYTRAY_SOURCE_GATEWAY_AGENT_LINKS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_AGENT_LINKS_H

/** @file
 * Links to the agents beside model engines: what the engines say of themselves, and the orders of a
 * group's leader.
 *
 * Frames come on the links' own thread, which only notes them on a table. The event loop looks at
 * the table when it turns; it is woken for what can't wait, the results of orders.
 */

#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/wire/engine_messages.h"
#include "event_loop.h"
#include "view.h"

typedef struct bt_agent_links bt_agent_links_t;

/** One agent's news. */
typedef struct bt_agent_news
{
  const char *endpoint; /**< The engine's "IP:PORT". */
  bt_engine_report_t report;
  int64_t heard_ms;
  const uint32_t *picks; /**< By set and expert, since the news before; NULL: none came. */
  int32_t pick_count;
  const uint32_t *places; /**< set << 16 | expert; NULL: none came. */
  int32_t place_count;
  int64_t places_epoch; /**< The epoch and the map that they are of. */
  int64_t places_version;
  bool answered;        /**< An order was answered: */
  uint64_t answered_id; /**< this one, */
  bt_order_result_t result;
} bt_agent_news_t;

/** Takes what is new; called on the event loop by bt_collect_agent_news. */
typedef void (*bt_take_agent_news_t) (void *data, const bt_agent_news_t *news);

typedef struct bt_agent_links_options
{
  const char *instance;
  uint64_t incarnation;
  const char *failure_domain;
  const char *secret;
  int32_t port; /**< Where agents accept links, on the address of their engine. */
} bt_agent_links_options_t;

bt_agent_links_t *bt_new_agent_links (bt_context_t *ctx,
                                      bt_event_loop_t *loop,
                                      const bt_agent_links_options_t *options,
                                      bt_error_t *error);

/** NULL is accepted. */
void bt_drop_agent_links (bt_context_t *ctx, bt_agent_links_t *links);

/** Links to the agents of these endpoints, and to no others. Endpoints of plain services have no
 * agent; @p declarations tell which apps are models. */
void bt_set_agent_endpoints (bt_agent_links_t *links,
                             const bt_view_t *view,
                             const bt_declarations_t *declarations);

/** Hands over all that came since the last call; false when nothing did. */
bool bt_collect_agent_news (bt_agent_links_t *links, bt_take_agent_news_t take, void *data);

/** Has all agents send picks, and their places once, for the leader with this fencing number; 0: no
 * longer. Agents that are linked later are told too. */
void bt_follow_agents (bt_agent_links_t *links, uint64_t fence);

/** Asks one agent for a report now. */
void bt_ask_agent_report (bt_agent_links_t *links, const char *endpoint);

/** Asks one agent for its places. */
void bt_ask_agent_places (bt_agent_links_t *links, const char *endpoint);

/** Sends an order to the agent beside the engine @p via, for the engine @p endpoint; false when
 * that agent is not linked. @p map goes with PREPARE, else NULL. */
bool bt_send_agent_order (bt_agent_links_t *links,
                          const char *via,
                          const char *endpoint,
                          const bt_group_order_t *order,
                          const bt_map_bytes_t *map);

/** Of how many reports of a rank one carries its picks, in a group of so many ranks. */
int32_t bt_get_picks_every (int32_t ranks);

#endif
