#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDECAR_PRIVATE_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDECAR_PRIVATE_H

/** @file
 * State shared by the parts of the sidecar: links and orders, the reports that it sends, and the
 * ledger of requests.
 */

#include <pthread.h>

#include "bilberrytray/load/room_ledger.h"
#include "bilberrytray/wire/link.h"
#include "engine_client.h"
#include "picks_schedule.h"
#include "reported_picks.h"
#include "sidecar.h"
#include "sidecar_metrics.h"

typedef struct bt_sidecar_order bt_sidecar_order_t;

/** A link to an entry. */
typedef struct bt_sidecar_link
{
  bt_link_t *link;
  bool leads_group;  /* the entry leads the engine's group */
  bool wants_places; /* the next report carries places */
  int64_t next_ms;   /* when the next report is due */
  bt_picks_schedule_t picks_schedule;
  bt_reported_picks_t reported;
  struct bt_sidecar_link *next;
} bt_sidecar_link_t;

/** The ledger of requests at the engine. */
typedef struct bt_sidecar_room
{
  bt_room_ledger_t *ledger; /* NULL until an entry asks */
  bt_room_counts_t counted; /* what the metrics show */
  int64_t started_ms;       /* when the sidecar was created */
  int64_t wake_ms;          /* when the ledger has something to do; INT64_MAX: never */
  int64_t displaced_logged; /* displaced asks that the log tells of */
  int64_t next_log_ms;
  bool reported;
  bt_room_report_t report; /* the engine's last report */
  int64_t reported_ms;
} bt_sidecar_room_t;

struct bt_sidecar
{
  bt_link_handler_t handler; /* must be the first member */
  bt_context_t *ctx;
  const bt_sidecar_settings_t *settings;
  bt_engine_client_t *engine;
  bt_link_loop_t *links_loop;
  int32_t cancelled;
  bool engine_lost;             /* the engine did not answer the last call */
  bool engine_limited;          /* its last report named a limit */
  const char *unreadable_field; /* of its last report; NULL: none */
  int64_t engine_started_ms;    /* start time in the engine's last report; 0: not reported */
  int64_t report_read_ms;       /* when the engine's last report was requested */
  bt_sidecar_metrics_t metrics;
  /* Lock order: acquired before any call into a link. */
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t wakeup;
  bool stopping;
  uint64_t max_fence; /* the highest fencing number seen, of orders and of leaders that follow */
  int64_t next_report_ms;
  int64_t waiting_until_ms; /* when the main loop wakes up, unless it is signalled */
  bt_sidecar_room_t room;
  bt_sidecar_link_t *links;
  bt_sidecar_order_t *first_order;
  bt_sidecar_order_t **last_order;
};

/** Returns true when both start times of an engine are known (not 0) and differ. */
bool bt_is_different_engine_incarnation (int64_t first_ms, int64_t second_ms);

/** Reads the engine's state, and logs when the engine stops answering, answers again or has
 * restarted. Returns false when it did not answer. */
bool bt_read_sidecar_engine_state (bt_sidecar_t *sidecar, bt_engine_report_t *report);

/** Sends the result of an order on @p link, to the entry that sent the order. */
void bt_send_sidecar_result (bt_sidecar_t *sidecar,
                             bt_link_t *link,
                             uint64_t order_id,
                             bt_order_result_t result,
                             int32_t status,
                             const bt_engine_report_t *report);

/** Reads the engine's state once and sends it to the entries whose report is due. The leader of the
 * engine's group tracks the demand for experts and needs updates quickly; the other entries use the
 * report only to weight the engines. */
void bt_send_sidecar_reports (bt_sidecar_t *sidecar);

/** Handles a RoomAsk or RoomUse frame. One with a field that is out of range is counted and
 * dropped.
 */
void bt_handle_room_frame (bt_sidecar_t *sidecar, const bt_link_t *link, const bt_frame_t *frame);

/** Removes from the ledger what came on a link. The caller holds the lock. */
void bt_remove_sidecar_room_link (bt_sidecar_t *sidecar, const bt_link_t *link);

/** Re-evaluates the waiting asks and expires holds if that is due. The caller holds the lock. */
void bt_advance_sidecar_room (bt_sidecar_t *sidecar);

/** To be called before the engine's report is requested. */
void bt_mark_sidecar_room_report (bt_sidecar_t *sidecar);

/** Passes the engine's report to the ledger. */
void bt_pass_sidecar_room_report (bt_sidecar_t *sidecar, const bt_engine_report_t *report);

#endif
