#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDE_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDE_H

/** @file
 * The agent beside an engine that callers' requests reach directly: it tells the entries how the
 * engine stands, and carries out the orders of its group's leader.
 *
 * It keeps nothing and calls nobody but its own engine: entries dial it. Reports and orders of the
 * own instance cost the group nothing, those of another instance pause it.
 */

#include "bilberrytray/agent/engine_platform.h"

/** Settings; strings must outlive the agent. */
typedef struct bt_sidecar_settings
{
  const char *listen; /**< Where links are accepted; also this agent's name on them. */
  const char *engine; /**< The engine's "IP:PORT". */
  const char *failure_domain;
  const char *secret;
  const char *log_level;
  const char *page;  /**< Where the operators' page is served; "" for none. */
  int64_t report_ms; /**< Between two reports to the leader of the engine's group. */
  int64_t others_ms; /**< Between two reports to other entries. */
  int64_t call_ms;   /**< Limit of one call on the engine. */
  int64_t beat_ms;
  int64_t link_idle_ms;
  int64_t max_links;
} bt_sidecar_settings_t;

typedef struct bt_sidecar bt_sidecar_t;

bt_sidecar_t *bt_new_sidecar (bt_context_t *ctx,
                              const bt_engine_platform_t *platform,
                              const bt_sidecar_settings_t *settings,
                              bt_error_t *error);

/** Serves until bt_stop_sidecar. */
void bt_run_sidecar (bt_sidecar_t *sidecar);

/** Ends bt_run_sidecar soon, from any thread. */
void bt_stop_sidecar (bt_sidecar_t *sidecar);

/** NULL is accepted. */
void bt_drop_sidecar (bt_context_t *ctx, bt_sidecar_t *sidecar);

/** Runs `bilberry-agent side` with its flags; returns the exit code. */
int bt_run_sidecar_command (bt_context_t *ctx, int argc, char **argv);

#endif
