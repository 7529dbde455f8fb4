#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDE_PRIVATE_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDE_PRIVATE_H

/** @file
 * The parts of the agent beside an engine: links and orders, and the reports that go out.
 */

#include <pthread.h>

#include "bilberrytray/wire/link.h"
#include "engine_client.h"
#include "picks_turn.h"
#include "side.h"
#include "side_figures.h"
#include "told_picks.h"

typedef struct bt_sidecar_order bt_sidecar_order_t;

/** A link to an entry. */
typedef struct bt_sidecar_link
{
  bt_link_t *link;
  bool leads_group;  /* it leads the engine's group */
  bool wants_places; /* its next report carries places */
  int64_t next_ms;   /* its next report */
  bt_picks_schedule_t picks_schedule;
  bt_reported_picks_t reported;
  struct bt_sidecar_link *next;
} bt_sidecar_link_t;

struct bt_sidecar
{
  bt_link_handler_t handler; /* first */
  bt_context_t *ctx;
  const bt_sidecar_settings_t *settings;
  bt_engine_client_t *engine;
  bt_link_loop_t *links_loop;
  int32_t cancelled;
  bool engine_lost;          /* the engine did not answer last */
  int64_t engine_started_ms; /* when it started, as it said last; 0: it did not */
  uint64_t max_fence;        /* the highest seen */
  int64_t report_read_ms;    /* when the last report of the engine was asked for */
  bt_sidecar_metrics_t metrics;
  int64_t next_report_ms;
  /* Lock order: taken before any call into a link. */
  pthread_mutex_t lock; /* guards what stands below */
  pthread_cond_t wakeup;
  bool stopping;
  bt_sidecar_link_t *links;
  bt_sidecar_order_t *first_order;
  bt_sidecar_order_t **last_order;
};

/** True when two known starts of an engine differ. */
bool bt_is_different_engine_start (int64_t first_ms, int64_t second_ms);

/** Reads how the engine stands, and tells when it stops answering, answers again or was started
 * anew. */
bool bt_read_sidecar_engine_state (bt_sidecar_t *sidecar, bt_engine_report_t *report);

/** Tells who gave an order what became of it. */
void bt_send_sidecar_result (bt_sidecar_t *sidecar,
                             bt_link_t *link,
                             uint64_t order_id,
                             bt_order_result_t result,
                             int32_t status,
                             const bt_engine_report_t *report);

/** Reads the engine once and tells the entries whose report is due. The leader of the engine's
 * group follows the demand for experts and needs news quickly; the others only weigh the engines.
 */
void bt_send_sidecar_reports (bt_sidecar_t *sidecar);

#endif
