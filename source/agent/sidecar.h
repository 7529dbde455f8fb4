#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDECAR_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDECAR_H

/** @file
 * The sidecar, an agent beside an engine that callers' requests reach directly: it reports the
 * engine's state to the entries and executes the orders of the leader of the engine's group. It
 * stores nothing and connects to nothing but its own engine; entries connect to it. Reports and
 * orders from the same instance cost the engine's group nothing, those from another instance pause
 * it.
 */

#include "bilberrytray/agent/engine_platform.h"

/** Settings. The strings must outlive the sidecar. */
typedef struct bt_sidecar_settings
{
  const char *listen; /**< Where links are accepted; also the name of this agent on its links. */
  const char *engine; /**< The engine's "IP:PORT". */
  const char *failure_domain;
  const char *secret;
  const char *log_level;
  const char *page;  /**< Where the operators' page is served; "" to serve none. */
  int64_t report_ms; /**< Interval between reports to the leader of the engine's group. */
  int64_t others_ms; /**< Interval between reports to other entries. */
  int64_t call_ms;   /**< Time limit of one call to the engine. */
  int64_t beat_ms;
  int64_t link_idle_ms;
  int64_t max_links;
} bt_sidecar_settings_t;

typedef struct bt_sidecar bt_sidecar_t;

bt_sidecar_t *bt_new_sidecar (bt_context_t *ctx,
                              const bt_engine_platform_t *platform,
                              const bt_sidecar_settings_t *settings,
                              bt_error_t *error);

/** Serves until bt_stop_sidecar is called. */
void bt_run_sidecar (bt_sidecar_t *sidecar);

/** Makes bt_run_sidecar return soon. May be called from any thread. */
void bt_stop_sidecar (bt_sidecar_t *sidecar);

/** NULL is accepted. */
void bt_drop_sidecar (bt_context_t *ctx, bt_sidecar_t *sidecar);

/** Runs `bilberry-agent side` with its flags; returns the exit code. */
int bt_run_sidecar_command (bt_context_t *ctx, int argc, char **argv);

#endif
