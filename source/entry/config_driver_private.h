#ifndef BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DRIVER_PRIVATE_H
#define BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DRIVER_PRIVATE_H

/** @file
 * State shared by config_driver.c and config_frames.c.
 */

#include <pthread.h>
#include <stdatomic.h>

#include "config_documents.h"
#include "config_driver.h"
#include "entry_private.h"

/** Gauges on the operators' page. */
enum
{
  BT_CONFIG_GAUGE_REVISION = 0,
  BT_CONFIG_GAUGE_FRESH_AGE,
  BT_CONFIG_GAUGE_WATCHER,
  BT_CONFIG_GAUGE_STATE,
  BT_CONFIG_GAUGE_OLDER,
  BT_CONFIG_GAUGE_STALE_READS,
  BT_CONFIG_GAUGE_PULLS,
  BT_CONFIG_GAUGE_PUSHES,
  BT_CONFIG_GAUGE_FINDINGS,
  BT_CONFIG_GAUGE_COUNT,
};

/** A reply to an operator, held back until the pushed documents are in force or found invalid. */
typedef struct bt_config_reply
{
  bt_link_t *link;
  uint64_t request;
  struct bt_config_reply *next;
} bt_config_reply_t;

struct bt_config_driver
{
  bt_context_t *ctx;
  bt_entry_t *entry;
  bt_kv_t *kv;
  pthread_t threads[2];
  int32_t thread_count;
  atomic_bool stopping;
  bt_counter_t *gauges[BT_CONFIG_GAUGE_COUNT];

  /* Guarded by the entry's lock. */
  pthread_cond_t wake; /**< Signalled when work is pending. */
  bt_config_sync_t *sync;
  bool store_call_pending;
  bt_sync_action_kind_t store_kind;
  int64_t store_since;
  int64_t store_wait_ms;
  bool apply_pending;
  bt_document_list_t applied; /**< The documents that the declarations in force were parsed from. */
  bt_config_reply_t *replies;
};

/** Performs actions. @p source is the link that the event came from, or NULL. */
void
bt_run_config_actions (bt_config_driver_t *driver, bt_sync_actions_t *actions, bt_link_t *source);

/** Sends a push or a pull, or queues a reply about the documents in force. */
void bt_send_config_action (bt_config_driver_t *driver,
                            const bt_sync_action_t *action,
                            bt_link_t *source);

/** Sends the queued replies. */
void bt_send_config_replies (bt_config_driver_t *driver);

void bt_drop_config_replies (bt_config_driver_t *driver);

#endif
