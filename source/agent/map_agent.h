#ifndef BILBERRYTRAY_SOURCE_AGENT_MAP_AGENT_H
#define BILBERRYTRAY_SOURCE_AGENT_MAP_AGENT_H

/** @file
 * The part of an agent that is the gate to one rank's engine: the decisions of bt_map_rank_t with
 * their thread, the calls to the engine and the one read of the service.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/wire/link.h"

typedef struct bt_map_agent bt_map_agent_t;

/** Settings; strings must outlive the agent. */
typedef struct bt_map_agent_settings
{
  const char *group;
  int64_t rank;
  const char *rank_url; /**< The engine's, such as "http://10.0.0.5:9000/ranks/3". */
  const char *store_url;
  const char *store_prefix; /**< What keys about groups begin with. */
  int64_t call_ms;          /**< Limit of one call to the engine. */
  int64_t ask_ms;
  int64_t give_up_ms;
} bt_map_agent_settings_t;

bt_map_agent_t *bt_new_map_agent (bt_context_t *ctx,
                                  const bt_map_agent_settings_t *settings,
                                  uint64_t incarnation,
                                  bt_error_t *error);

/** Ends the thread; no link may call any more. NULL is accepted. */
void bt_drop_map_agent (bt_context_t *ctx, bt_map_agent_t *agent);

/** Takes a frame about maps; others are left alone. @p agent may be NULL. */
void bt_handle_map_agent_frame (bt_map_agent_t *agent, bt_link_t *link, const bt_frame_t *frame);

/** Says on a link which group and rank stand here. @p agent may be NULL. */
void bt_announce_map_agent (bt_map_agent_t *agent, bt_link_t *link);

#endif
