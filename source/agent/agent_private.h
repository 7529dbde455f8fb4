#ifndef BILBERRYTRAY_SOURCE_AGENT_AGENT_PRIVATE_H
#define BILBERRYTRAY_SOURCE_AGENT_AGENT_PRIVATE_H

/** @file
 * What the parts of an agent share: its tables and their one lock.
 *
 * The arbiter decides which runs there are; the run queue decides when one gets a slot; the
 * upstream carries it out. The lock may be held while calling links or the upstream.
 */

#include <pthread.h>

#include "agent.h"
#include "bilberrytray/load/run_queue.h"
#include "bilberrytray/page/page.h"
#include "bilberrytray/requests/arbiter.h"
#include "bilberrytray/wire/link.h"
#include "map_agent.h"
#include "upstream.h"

/** One run that the arbiter started. */
typedef struct bt_agent_run
{
  uint64_t number; /**< The arbiter's. */
  uint64_t total_bytes;
  bt_upstream_run_t *pending; /**< Until it has a slot. */
  int64_t started_ms;         /**< 0 while it waits. */
  struct bt_agent_run *next;
} bt_agent_run_t;

/** A link that is up. */
typedef struct bt_agent_link
{
  bt_link_t *link;
  struct bt_agent_link *next;
} bt_agent_link_t;

struct bt_agent
{
  bt_link_handler_t link_handler; /**< First, so that a handler is its agent. */
  bt_upstream_handler_t upstream_handler;
  bt_context_t *ctx;
  bt_agent_settings_t settings;
  uint64_t incarnation;
  bt_ticket_ring_t *ticket_ring;
  bt_link_loop_t *link_loop;
  bt_upstream_t *upstream;
  bt_page_t *page;
  bt_map_agent_t *map_agent; /**< NULL where the endpoint is no rank of a group. */
  int32_t port;

  pthread_mutex_t lock; /**< Guards what stands below. */
  bool leaving;
  bt_arbiter_t *arbiter;
  bt_agent_link_t *links;
  bt_agent_run_t *runs;
  bt_run_queue_t *queue;
  bt_upstream_load_t endpoint_load;
};

/** The handler of what the endpoint does. */
extern const bt_upstream_handler_vtable_t bt_agent_upstream_vtable;

/** Does what the arbiter decided, and empties the list. @p frame is the dispatch that led to it, or
 * NULL. With the lock held. */
void bt_execute_arbiter_actions (bt_agent_t *agent,
                                 bt_arbiter_actions_t *actions,
                                 const Bilberry__Dispatch *frame);

/** Starts or refuses the runs whose turn it is. With the lock held. */
void bt_start_queued_runs (bt_agent_t *agent);

/** Frees all runs. */
void bt_drop_agent_runs (bt_agent_t *agent);

#endif
