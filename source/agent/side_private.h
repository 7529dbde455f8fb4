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

typedef struct bt_side_order bt_side_order_t;

/** A link to an entry. */
typedef struct bt_side_link
{
  bt_link_t *link;
  bool follows;      /* it leads the engine's group */
  bool wants_places; /* its next report carries places */
  int64_t next_ms;   /* its next report */
  bt_picks_turn_t picks;
  bt_told_picks_t told;
  struct bt_side_link *next;
} bt_side_link_t;

struct bt_side
{
  bt_link_handler_t handler; /* first */
  bt_context_t *ctx;
  const bt_side_settings_t *settings;
  bt_engine_client_t *engine;
  bt_link_loop_t *links_loop;
  int32_t cancelled;
  bool lost;          /* the engine did not answer last */
  int64_t started_ms; /* when it started, as it said last; 0: it did not */
  uint64_t fence;     /* the highest seen */
  int64_t read_ms;    /* when the last report of the engine was asked for */
  bt_side_figures_t figures;
  int64_t next_report_ms;
  /* Lock order: taken before any call into a link. */
  pthread_mutex_t lock; /* guards what stands below */
  pthread_cond_t changed;
  bool stopping;
  bt_side_link_t *links;
  bt_side_order_t *first_order;
  bt_side_order_t **last_order;
};

/** True when two known starts of an engine differ. */
bool bt_is_other_engine_start (int64_t one_ms, int64_t other_ms);

/** Reads how the engine stands, and tells when it stops answering, answers again or was started
 * anew. */
bool bt_read_side_state (bt_side_t *side, bt_engine_report_t *report);

/** Tells who gave an order what became of it. */
void bt_send_side_result (bt_side_t *side,
                          bt_link_t *link,
                          uint64_t order_id,
                          bt_order_result_t result,
                          int32_t status,
                          const bt_engine_report_t *report);

/** Reads the engine once and tells the entries whose report is due. The leader of the engine's
 * group follows the demand for experts and needs news quickly; the others only weigh the engines.
 */
void bt_report_side_to_all (bt_side_t *side);

#endif
