#ifndef BILBERRYTRAY_SOURCE_AGENT_AGENT_H
#define BILBERRYTRAY_SOURCE_AGENT_AGENT_H

/** @file
 * The agent process, which runs beside one endpoint and is the last component that a request passes
 * before it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_agent bt_agent_t;

/** All settings of bilberry-agent; its --help describes each. */
typedef struct bt_agent_settings
{
  const char *instance;
  const char *failure_domain;
  const char *listen;
  const char *page;
  const char *secret;
  const char *endpoint;
  const char *app;
  const char *endpoint_url;
  const char *log_level;
  bool plain;
  int64_t slots;
  int64_t queue;
  int64_t beat_ms;
  int64_t link_idle_ms;
  int64_t connect_ms;
  int64_t endpoint_idle_ms;
  int64_t resumes;
  int64_t load_ms;
  int64_t max_frame_bytes;
  int64_t max_links;
  int64_t drain_ms;
  int64_t ticket_life_ms;
  int64_t max_records;
  int64_t max_record_bytes;
  int64_t max_answer_bytes;
  int64_t keep_answer_ms;
  const char *group;
  const char *rank_url;
  const char *store_url;
  const char *map_prefix;
  int64_t rank;
  int64_t map_call_ms;
  int64_t map_ask_ms;
  int64_t map_give_up_ms;
} bt_agent_settings_t;

/** Starts the links, the upstream and the operators' page. Returns NULL and sets @p error when one
 * of them can't start. */
bt_agent_t *
bt_new_agent (bt_context_t *ctx, const bt_agent_settings_t *settings, bt_error_t *error);

/** Returns the port on which links are accepted. */
int32_t bt_get_agent_port (const bt_agent_t *agent);

/** Stops accepting new work and announces this on every link. */
void bt_drain_agent (bt_context_t *ctx, bt_agent_t *agent);

/** Returns true when no run is left and the arbiter no longer has to answer for any ticket. */
bool bt_is_agent_idle (bt_context_t *ctx, bt_agent_t *agent);

/** Stops all threads and frees the agent. NULL is accepted. */
void bt_drop_agent (bt_context_t *ctx, bt_agent_t *agent);

#endif
