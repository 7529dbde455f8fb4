#ifndef BILBERRYTRAY_SOURCE_AGENT_MAP_AGENT_H
#define BILBERRYTRAY_SOURCE_AGENT_MAP_AGENT_H

/** @file
 * The part of an agent that controls one rank's engine: it runs bt_map_rank_t on its own thread,
 * calls the engine and reads the initial fencing floor from the lease service.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/wire/link.h"

typedef struct bt_map_agent bt_map_agent_t;

/** Settings. The strings must outlive the agent. */
typedef struct bt_map_agent_settings
{
  const char *group;
  int64_t rank;
  const char *rank_url; /**< URL of the engine, such as "http://10.0.0.5:9000/ranks/3". */
  const char *store_url;
  const char *store_prefix; /**< Prefix of the rank groups' keys. */
  int64_t call_ms;          /**< Time limit of one call to the engine. */
  int64_t ask_ms;           /**< Interval of queries to rank 0 while a round is undecided. */
  int64_t give_up_ms;       /**< Rank 0 abandons a round that is asked about for this long. */
} bt_map_agent_settings_t;

bt_map_agent_t *bt_new_map_agent (bt_context_t *ctx,
                                  const bt_map_agent_settings_t *settings,
                                  uint64_t incarnation,
                                  bt_error_t *error);

/** Stops the thread. No link may call the agent any more. NULL is accepted. */
void bt_drop_map_agent (bt_context_t *ctx, bt_map_agent_t *agent);

/** Handles a frame about maps and ignores other frames. @p agent may be NULL. */
void bt_handle_map_agent_frame (bt_map_agent_t *agent, bt_link_t *link, const bt_frame_t *frame);

/** Sends a report that names the group and the rank on @p link. @p agent may be NULL. */
void bt_announce_map_agent (bt_map_agent_t *agent, bt_link_t *link);

#endif
