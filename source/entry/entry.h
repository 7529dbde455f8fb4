#ifndef BILBERRYTRAY_SOURCE_ENTRY_ENTRY_H
#define BILBERRYTRAY_SOURCE_ENTRY_ENTRY_H

/** @file
 * One entry instance: callers' requests in, the rules applied, dispatches to agents out.
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

/** An instance that the instance list names. */
typedef struct bt_entry_peer
{
  const char *instance;
  const char *address; /**< Where it accepts links. */
  const char *http;    /**< Where callers reach it; entries only. */
  const char *endpoint;
  const char *app;
  bool agent;
  bool leaving;
} bt_entry_peer_t;

bt_entry_t *
bt_new_entry (bt_context_t *ctx, const bt_entry_settings_t *settings, bt_error_t *error);

int32_t bt_get_entry_http_port (const bt_entry_t *entry);

/** Puts declarations in force; keeps a reference. Older ones are dropped. */
void
bt_set_entry_declarations (bt_context_t *ctx, bt_entry_t *entry, bt_declarations_t *declarations);

/** The declarations in force, with a reference for the caller; NULL when there are none yet. */
bt_declarations_t *bt_get_entry_declarations (bt_entry_t *entry);

/** Takes a new reading of the instance list: dials who is new, and forgets who is gone. */
void bt_set_entry_peers (bt_context_t *ctx,
                         bt_entry_t *entry,
                         const bt_entry_peer_t *peers,
                         int32_t count);

/** Serves a request whose body is whole. Called by the HTTP server without any lock. */
void bt_submit_entry (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller);

/** Tells a caller which addresses to use. */
void bt_answer_addresses (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller);

/** The caller's connection is gone. */
void bt_abandon_entry_call (bt_context_t *ctx, bt_entry_t *entry, uint64_t id);

/** No longer named in address answers; still serves. */
void bt_leave_entry (bt_context_t *ctx, bt_entry_t *entry);

/** True when no call is under way, and every answer is written to its last byte. */
bool bt_is_entry_idle (bt_entry_t *entry);

/** Lets nobody connect any more, and refuses what comes on connections that were made before. */
void bt_close_entry (bt_entry_t *entry);

/** Ends the calls that are still under way, and closes all callers' connections once they have what
 * they are told. To be called on a closed entry before anything that may block. */
void bt_end_entry_callers (bt_context_t *ctx, bt_entry_t *entry);

/** Stops all threads and frees the entry. NULL is accepted. */
void bt_drop_entry (bt_context_t *ctx, bt_entry_t *entry);

#endif
