#ifndef BILBERRYTRAY_SOURCE_ENTRY_ENTRY_H
#define BILBERRYTRAY_SOURCE_ENTRY_ENTRY_H

/** @file
 * One entry instance: receives callers' requests, applies the rules and dispatches requests to
 * agents.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/config/declarations.h"
#include "caller.h"

typedef struct bt_entry bt_entry_t;

/** All settings of `bilberryd serve`; see its --help for what each means. */
typedef struct bt_entry_settings
{
  const char *instance;
  const char *failure_domain;
  const char *listen;
  const char *advertise;
  const char *link_listen;
  const char *page;
  const char *secret;
  const char *store_url;
  const char *store_prefix;
  const char *instances_url;
  const char *log_level;
  int64_t workers;
  int64_t max_body_bytes;
  int64_t max_connections;
  int64_t caller_idle_ms;
  int64_t beat_ms;
  int64_t link_idle_ms;
  int64_t max_frame_bytes;
  int64_t max_links;
  int64_t instances_ms;
  int64_t isolation_ms;
  int64_t watch_wait_ms;
  int64_t watchers;
  int64_t address_life_ms;
  int64_t drain_ms;
  int64_t ticket_life_ms;
  const char *group;
  const char *map_prefix;
  int64_t ranks;
  int64_t map_lease_s;
  int64_t arm_steps;
  int64_t stage_limit_ms;
  int64_t layers;
  int64_t experts;
  int64_t expert_slots;
  int64_t expert_bytes;
  int64_t skew_weight;
  int64_t cost_weight;
  int64_t pay_percent;
  int64_t horizon_ms;
  int64_t min_stay_ms;
  int64_t move_us_per_mb;
  int64_t round_mb;
  int64_t expert_percent;
  int64_t half_life_ms;
  int64_t plan_ms;
} bt_entry_settings_t;

/** An instance in the instance list. */
typedef struct bt_entry_peer
{
  const char *instance;
  const char *address; /**< Address on which it accepts links. */
  const char *http;    /**< Address for callers; entry instances only. */
  const char *endpoint;
  const char *app;
  bool agent;
  bool leaving;
} bt_entry_peer_t;

bt_entry_t *
bt_new_entry (bt_context_t *ctx, const bt_entry_settings_t *settings, bt_error_t *error);

int32_t bt_get_entry_http_port (const bt_entry_t *entry);

/** Puts declarations in force and keeps a reference to them. Ignores them if a newer revision is
 * in force. */
void
bt_set_entry_declarations (bt_context_t *ctx, bt_entry_t *entry, bt_declarations_t *declarations);

/** Returns a new reference to the declarations in force; NULL if there are none yet. */
bt_declarations_t *bt_get_entry_declarations (bt_entry_t *entry);

/** Applies a new version of the instance list: dials new instances and drops removed ones. */
void bt_set_entry_peers (bt_context_t *ctx,
                         bt_entry_t *entry,
                         const bt_entry_peer_t *peers,
                         int32_t count);

/** Processes a request whose body is complete. Called by the HTTP server without any lock. */
void bt_submit_request (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller);

/** Answers a request for the addresses that the caller should use. */
void bt_answer_addresses (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller);

/** Reports to a call that its caller's connection is closed. Does nothing if there is no such
 * call. */
void bt_handle_caller_disconnect (bt_context_t *ctx, bt_entry_t *entry, uint64_t id);

/** Marks this instance as leaving: it is no longer advertised to callers, but still serves
 * requests. */
void bt_set_entry_leaving (bt_context_t *ctx, bt_entry_t *entry);

/** Returns true when no call is in progress and every answer is fully written. */
bool bt_is_entry_idle (bt_entry_t *entry);

/** Stops accepting connections, and refuses new requests on existing ones. */
void bt_close_entry (bt_entry_t *entry);

/** Aborts the calls still in progress, and closes all callers' connections after a short time
 * for the last answers. Call this on a closed entry, before anything that may block. */
void bt_abort_entry_callers (bt_context_t *ctx, bt_entry_t *entry);

/** Stops all threads and frees the entry. NULL is accepted. */
void bt_drop_entry (bt_context_t *ctx, bt_entry_t *entry);

#endif
