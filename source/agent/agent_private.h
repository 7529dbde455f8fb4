#ifndef BILBERRYTRAY_SOURCE_AGENT_AGENT_PRIVATE_H
#define BILBERRYTRAY_SOURCE_AGENT_AGENT_PRIVATE_H

/** @file
 * State shared by the source files of the agent: its tables and the lock that guards them. The
 * arbiter decides which runs exist, the run queue decides when a run gets a slot, and the upstream
 * sends it to the endpoint. The lock may be held while calling links or the upstream.
 */

#include <pthread.h>

#include "agent.h"
#include "bilberrytray/load/run_queue.h"
#include "bilberrytray/page/page.h"
#include "bilberrytray/requests/arbiter.h"
#include "bilberrytray/wire/link.h"
#include "map_agent.h"
#include "upstream.h"

/** A run that the arbiter started. */
typedef struct bt_agent_run
{
  uint64_t number; /**< The arbiter's number of the run. */
  uint64_t total_bytes;
  bt_upstream_run_t *pending; /**< The request until the run has a slot, then NULL. */
  int64_t started_ms;         /**< 0 while it is queued. */
  struct bt_agent_run *next;
} bt_agent_run_t;

/** An established link. */
typedef struct bt_agent_link
{
  bt_link_t *link;
  struct bt_agent_link *next;
} bt_agent_link_t;

struct bt_agent
{
  bt_link_handler_t
      link_handler; /**< Must be the first member: handlers are cast to their agent. */
  bt_upstream_handler_t upstream_handler;
  bt_context_t *ctx;
  bt_agent_settings_t settings;
  uint64_t incarnation;
  bt_ticket_ring_t *ticket_ring;
  bt_link_loop_t *link_loop;
  bt_upstream_t *upstream;
  bt_page_t *page;
  bt_map_agent_t *map_agent; /**< NULL when the endpoint is not a rank of a group. */
  int32_t port;

  pthread_mutex_t lock; /**< Guards the members below. */
  bool leaving;
  bt_arbiter_t *arbiter;
  bt_agent_link_t *links;
  bt_agent_run_t *runs;
  bt_run_queue_t *queue;
  bt_upstream_load_t endpoint_load;
};

/** The callbacks for the endpoint's answers and load. */
extern const bt_upstream_handler_vtable_t bt_agent_upstream_vtable;

/** Executes the arbiter's actions and empties the list. @p frame is the dispatch that caused them,
 * or NULL. The lock must be held. */
void bt_execute_arbiter_actions (bt_agent_t *agent,
                                 bt_arbiter_actions_t *actions,
                                 const Bilberry__Dispatch *frame);

/** Starts or refuses the runs that the queue releases. The lock must be held. */
void bt_start_queued_runs (bt_agent_t *agent);

/** Frees all runs. */
void bt_drop_agent_runs (bt_agent_t *agent);

#endif
