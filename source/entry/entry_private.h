#ifndef BILBERRYTRAY_SOURCE_ENTRY_ENTRY_PRIVATE_H
#define BILBERRYTRAY_SOURCE_ENTRY_ENTRY_PRIVATE_H

/** @file
 * State shared by the parts of an entry instance: its tables and the one lock that guards them.
 *
 * Lock order: the entry's lock, then a caller's or a link's. "With the lock held" means the
 * entry's.
 */

#include <pthread.h>
#include <stdatomic.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/core/membership.h"
#include "bilberrytray/load/admission.h"
#include "bilberrytray/load/retry_budget.h"
#include "bilberrytray/load/router.h"
#include "bilberrytray/requests/delivery.h"
#include "bilberrytray/wire/link.h"
#include "config_driver.h"
#include "entry.h"
#include "http_server.h"
#include "map_control.h"

/** Number of buckets of the call table. */
enum
{
  BT_CALL_BUCKETS = 4096,
};

/** An instance in the instance list, and the link to it. */
typedef struct bt_peer
{
  char instance[BT_NAME_BYTES];
  char address[BT_ADDRESS_BYTES];
  char http[BT_ADDRESS_BYTES];
  bool agent;
  bool listed;            /**< The latest version of the list names it. */
  bool listed_leaving;    /**< The list marks it as leaving. */
  bool is_neighbor;       /**< A link to it is kept open permanently. */
  bool needed;            /**< Not a neighbor, but a call needed a link to it; linked since then. */
  bool heartbeat_leaving; /**< Its heartbeat marks it as leaving; this may precede the list. */
  bt_link_t *link;        /**< NULL: none. */
  bool up;
  bool heartbeat_seen;    /**< A heartbeat was received on this link. */
  bt_identity_t identity; /**< Valid while the link is up. */
  int64_t next_dial_ms;   /**< Earliest time of the next dial. */
  int64_t dial_wait_ms;
  int64_t peer_now_ms; /**< Its clock as of its last heartbeat. */
  struct bt_peer *next;
} bt_peer_t;

/** One request in progress. */
typedef struct bt_call
{
  uint64_t id;
  bt_caller_t *caller;
  bt_declarations_t *declarations; /**< In force at arrival, and used until the end. */
  bt_delivery_t *delivery;
  int32_t rule;
  int32_t app;
  int32_t priority; /**< A bt_priority_t, set by the rule or the request. */
  int64_t arrived_ms;
  int64_t deadline_ms;
  bool submitted;       /**< The delivery has started, after admission. */
  bool needs_admission; /**< A retry must pass admission. */
  bool finished;        /**< The answer to the caller is complete, refused or aborted. */
  bool has_ticket;
  bool idempotent;
  bt_identity_t home; /**< Home agent of its ticket, if any. */
  int32_t retries;
  bool attempt_active;          /**< An attempt on route is in progress. */
  bool queued;                  /**< In the admission queue. */
  bt_route_t route;             /**< The last chosen route. */
  int64_t dispatched_ms;        /**< Time when the attempt on route was sent. */
  bt_attempt_end_t attempt_end; /**< Recorded for the current attempt if it ends now. */
  struct bt_call *next;
} bt_call_t;

struct bt_entry
{
  bt_link_handler_t links_base; /**< Must be first: the handler is cast to bt_entry_t. */
  bt_context_t *ctx;
  bt_entry_settings_t settings;
  uint64_t incarnation;
  bt_ticket_ring_t *ring;
  bt_link_loop_t *loop;
  bt_http_server_t *http;
  bt_map_control_t *maps; /**< NULL if no rank group is configured. */
  bt_counter_t *endpoints_up;
  bt_counter_t *admitting;
  pthread_t ticker;
  bool ticker_started;
  atomic_bool stopping;

  pthread_mutex_t lock; /**< Guards the members below. */
  bool leaving;
  bool closed; /**< New calls are refused. */
  bt_declarations_t *declarations;
  bt_router_t *router;
  bt_admission_t *admission;
  bt_retry_budget_t *budget;
  bt_membership_t *membership;
  bt_config_driver_t *config; /**< NULL until the platform reader has started. */
  bt_peer_t *peers;
  bt_call_t *calls[BT_CALL_BUCKETS];
  int32_t call_count;
  uint64_t next_call;
  uint64_t seed;
};

/** Handles events of this entry's links. */
extern const bt_link_handler_vtable_t bt_entry_link_vtable;

/** Dials the unconnected peers whose next dial is due. With the lock held. */
void bt_dial_peers (bt_entry_t *entry, int64_t now_ms);

/** Requests a link to an instance that a call needs and that is not linked. With the lock held. */
void bt_request_peer_link (bt_entry_t *entry, const char *instance);

/** Returns the peer whose link is up with this identity, or NULL. With the lock held. */
bt_peer_t *bt_find_peer_identity (bt_entry_t *entry, const bt_identity_t *identity);

/** Handles an answer from an agent. With the lock held. */
void bt_handle_answer_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame);

/** Notifies all calls that a link is down. With the lock held. */
void bt_fail_link_calls (bt_entry_t *entry, bt_link_t *link);

/** Asks admission about a call, and sends, queues or refuses it. With the lock held. */
void bt_request_admission (bt_entry_t *entry, bt_call_t *call, bool is_retry);

/** Sends or refuses the queued calls that admission has decided on. With the lock held. */
void bt_admit_queued_calls (bt_entry_t *entry);

/** Sends an admitted call to an endpoint. With the lock held. */
void bt_dispatch_call (bt_entry_t *entry, bt_call_t *call);

/** Refuses a call and frees it. With the lock held. */
void bt_refuse_call (bt_entry_t *entry,
                     bt_call_t *call,
                     bt_outcome_t outcome,
                     bt_reason_t reason,
                     int64_t retry_after_ms);

/** Returns the call with an id, or NULL. With the lock held. */
bt_call_t *bt_find_call (bt_entry_t *entry, uint64_t id);

/** Handles a frame about the configuration. With the lock held. */
void bt_handle_config_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame);

/** Sends a tick event to every call, so that it checks its time limits. With the lock held. */
void bt_tick_calls (bt_entry_t *entry, int64_t now_ms);

/** Aborts every call at shutdown; the outcome is unknown. With the lock held. */
void bt_abort_calls (bt_entry_t *entry);

/** Notifies all calls that the link to an agent is up. With the lock held. */
void bt_resume_calls (bt_entry_t *entry, const bt_identity_t *identity);

/** Passes an event to a call's delivery and performs the resulting actions. The call may be
 * freed. With the lock held. */
void bt_handle_call_event (bt_entry_t *entry, bt_call_t *call, const bt_delivery_event_t *event);

/** Removes a call from the table and frees it. With the lock held. */
void bt_remove_call (bt_entry_t *entry, bt_call_t *call);

/** Creates the delivery of a new call; @p ticket is NULL for a request without a ticket. */
void bt_prepare_delivery (bt_entry_t *entry, bt_call_t *call, const bt_ticket_t *ticket);

#endif
