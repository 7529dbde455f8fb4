#ifndef BILBERRYTRAY_SOURCE_LOAD_ROOM_ASKER_PRIVATE_H
#define BILBERRYTRAY_SOURCE_LOAD_ROOM_ASKER_PRIVATE_H

/** @file
 * The state of an asker that its source files share.
 */

#include "bilberrytray/base/name_index.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/load/room_asker.h"

enum
{
  BT_ROOM_STARTS = 256, /**< Starts of an app that are remembered. */
};

/** An app for which capacity is asked for, or was. */
typedef struct bt_room_app
{
  char name[BT_NAME_BYTES];
  bool wanted;                    /**< Capacity is asked for. */
  bool reserved;                  /**< And at least one of its engines is reserved. */
  int64_t since_ms;               /**< Since when it is wanted. */
  int64_t starts[BT_ROOM_STARTS]; /**< Times of the latest starts. */
  int64_t start_count;
  int64_t next_choice_ms; /**< Before it, no engine is looked for, since there was none. */
  int64_t next_probe_ms;  /**< When the next ask for a waiting request may be sent elsewhere. */
} bt_room_app_t;

/** An engine and its agent. */
typedef struct bt_room_engine
{
  bt_identity_t identity;
  int32_t app; /**< Index of the app. */
  bool linked;
  bool reserved;     /**< The agent has answered on the present link, and still answers. */
  bool was_reserved; /**< At the last event about it. */
  uint64_t check_id; /**< Ask for no capacity that shows whether the agent answers; 0: none. */
  int64_t check_ms;  /**< When it was sent. */
  int64_t next_check_ms;
  int64_t check_interval_ms;
} bt_room_engine_t;

/** A request that admission has queued. */
typedef struct bt_room_waiter
{
  bt_room_request_t request; /**< Its app is not used. */
  int32_t app;
  int32_t asks;    /**< Its asks that have not ended. */
  int32_t denials; /**< Of the present round. */
  bt_identity_t denied[BT_ROOM_MAX_DENIALS];
  int32_t denied_load[BT_ROOM_MAX_DENIALS];
  int64_t first_ask_ms; /**< 0: it has not asked. */
  int64_t last_ask_ms;  /**< Probes left out. */
  int64_t next_ask_ms;
} bt_room_waiter_t;

/** An ask without a final answer. */
typedef struct bt_pending_ask
{
  uint64_t id;
  uint64_t request; /**< 0: its request has left; a grant goes to the first in the queue. */
  bt_room_engine_t *engine;
  bool wait;
  bool probe; /**< Asked for a request that waits elsewhere. */
  int32_t priority;
  int64_t sent_ms;
} bt_pending_ask_t;

/** A request that was started under a number. */
typedef struct bt_room_start
{
  uint64_t id;
  bt_identity_t endpoint;
} bt_room_start_t;

struct bt_room_asker
{
  bt_router_t *router;
  bt_admission_t *admission;
  bt_random_t random;
  uint64_t last_id;
  int64_t advanced_ms; /**< Time of the last bt_advance_room_asker; 0: none. */
  bt_room_app_t *apps;
  int32_t app_count;
  bt_room_engine_t **engines;
  int32_t engine_count;
  bt_name_index_t *engine_index;
  bt_room_waiter_t *waiters; /**< In the order of arrival. */
  int32_t waiter_count;
  int32_t waiter_capacity;
  bt_pending_ask_t *asks;
  int32_t ask_count;
  int32_t ask_capacity;
  bt_room_start_t *starts;
  int32_t start_count;
  int32_t start_capacity;
  bt_room_action_t *actions; /**< From first_action on. */
  int32_t first_action;
  int32_t action_count;
  int32_t action_capacity;
};

/** Returns the index of an app, or -1. */
int32_t bt_find_room_app (const bt_room_asker_t *asker, const char *app);

/** Returns NULL if the request is not queued. */
bt_room_waiter_t *bt_find_room_waiter (const bt_room_asker_t *asker, uint64_t id);

/** Returns NULL if the request is unknown; the id 0 is. */
bt_pending_ask_t *bt_find_pending_ask (const bt_room_asker_t *asker, uint64_t id);

/** Adds an action, whose other members are 0. The pointer is valid until the next action. */
bt_room_action_t *bt_add_room_action (bt_context_t *ctx,
                                      bt_room_asker_t *asker,
                                      bt_asker_action_kind_t kind,
                                      const bt_identity_t *endpoint,
                                      uint64_t id);

/** Removes a pending ask, which is no longer counted for its request. */
void bt_remove_pending_ask (bt_room_asker_t *asker, bt_pending_ask_t *ask);

/** Removes all pending asks at an engine. */
void bt_remove_engine_asks (bt_room_asker_t *asker, const bt_room_engine_t *engine);

/** Sends the first request of the queue to an engine: by the grant @p id, or by estimate if it is
 * 0. Returns the request; 0 if the queue is empty. */
uint64_t bt_send_first_queued (bt_context_t *ctx,
                               bt_room_asker_t *asker,
                               const bt_room_engine_t *engine,
                               uint64_t id,
                               int64_t now_ms);

/** Updates whether an engine and its app are reserved. */
void bt_set_engine_reserved (bt_context_t *ctx,
                             bt_room_asker_t *asker,
                             bt_room_engine_t *engine,
                             bool reserved,
                             int64_t now_ms);

#endif
