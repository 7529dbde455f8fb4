#ifndef BILBERRYTRAY_SOURCE_ENTRY_ENTRY_PRIVATE_H
#define BILBERRYTRAY_SOURCE_ENTRY_ENTRY_PRIVATE_H

/** @file
 * What the parts of an entry instance share: the blackboard of its tables and their one lock.
 *
 * Lock order: the entry's lock, then a caller's or a link's.
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

/** Buckets of the table of calls. */
enum
{
  BT_CALL_BUCKETS = 4096,
};

/** An instance that the list names, and the link to it. */
typedef struct bt_peer
{
  char instance[BT_NAME_BYTES];
  char address[BT_ADDRESS_BYTES];
  char http[BT_ADDRESS_BYTES];
  bool agent;
  bool listed;         /**< The last reading of the list names it. */
  bool listed_leaving; /**< The list says that it leaves. */
  bool near;           /**< A link to it is kept up. */
  bool wanted;         /**< A call needed it although it is not near: linked from then on. */
  bool link_leaving;   /**< Its own heartbeat says so; goes before the list. */
  bt_link_t *link;     /**< NULL: none. */
  bool up;
  bool heard;             /**< A heartbeat came on this link. */
  bt_identity_t identity; /**< While the link is up. */
  int64_t dial_ms;        /**< Not dialled again before this. */
  int64_t dial_wait_ms;
  int64_t peer_now_ms; /**< Its clock at its last heartbeat. */
  struct bt_peer *next;
} bt_peer_t;

/** One request under way. */
typedef struct bt_call
{
  uint64_t id;
  bt_caller_t *caller;
  bt_declarations_t *declarations; /**< In force when it was matched; judged by them to its end. */
  bt_delivery_t *delivery;
  int32_t rule;
  int32_t app;
  int32_t priority; /**< A bt_priority_t, from its rule or the request. */
  int64_t arrived_ms;
  int64_t deadline_ms;
  bool submitted;   /**< The delivery has begun: admission let it through. */
  bool place_again; /**< A further attempt waits for admission. */
  bool finished;    /**< The caller has its final answer. */
  bool keyed;
  bool idempotent;
  bt_identity_t home; /**< Of its ticket, when keyed. */
  int32_t retries;
  bool routed;             /**< An attempt on route is under way. */
  bool waiting;            /**< In admission's queue. */
  bt_route_t route;        /**< The last that was chosen. */
  int64_t dispatched_ms;   /**< When the attempt on it went out. */
  bt_attempt_end_t ending; /**< How the attempt under way is judged if it ends now. */
  struct bt_call *next;
} bt_call_t;

struct bt_entry
{
  bt_link_handler_t links_base; /**< First, so that a handler is its entry. */
  bt_context_t *ctx;
  bt_entry_settings_t settings;
  uint64_t incarnation;
  bt_ticket_ring_t *ring;
  bt_link_loop_t *loop;
  bt_http_server_t *http;
  bt_map_control_t *maps; /**< NULL where no group is set. */
  bt_counter_t *endpoints_up;
  bt_counter_t *admitting;
  pthread_t ticker;
  bool ticking;
  atomic_bool stopping;

  pthread_mutex_t lock; /**< Guards what stands below. */
  bool leaving;
  bool closed; /**< Nothing new is taken: the calls under way are the last. */
  bt_declarations_t *declarations;
  bt_router_t *router;
  bt_admission_t *admission;
  bt_retry_budget_t *budget;
  bt_membership_t *membership;
  bt_config_driver_t *config; /**< NULL until the platform is read. */
  bt_peer_t *peers;
  bt_call_t *calls[BT_CALL_BUCKETS];
  int32_t call_count;
  uint64_t next_call;
  uint64_t seed;
};

/** The handler of this entry's links. */
extern const bt_link_handler_vtable_t bt_entry_link_vtable;

/** Dials the peers that are due. With the lock held. */
void bt_dial_peers (bt_entry_t *entry, int64_t now_ms);

/** Has an instance dialled that a call needs and that no link leads to. With the lock held. */
void bt_want_peer (bt_entry_t *entry, const char *instance);

/** The peer whose link is up as this identity, or NULL. With the lock held. */
bt_peer_t *bt_find_peer_identity (bt_entry_t *entry, const bt_identity_t *identity);

/** Takes an answer of an agent. With the lock held. */
void bt_take_answer_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame);

/** Ends what was in flight on a dead link. With the lock held. */
void bt_fail_link_calls (bt_entry_t *entry, bt_link_t *link);

/** Decides about a call that is to be placed: sends it, lets it wait, or ends it. With the lock
 * held. */
void bt_place_call (bt_entry_t *entry, bt_call_t *call, bool again);

/** Decides about the calls that wait. With the lock held. */
void bt_place_waiting_calls (bt_entry_t *entry);

/** Sends a call that was admitted to an endpoint. With the lock held. */
void bt_dispatch_call (bt_entry_t *entry, bt_call_t *call);

/** Ends a call with a refusal and frees it. With the lock held. */
void bt_refuse_call (bt_entry_t *entry,
                     bt_call_t *call,
                     bt_outcome_t outcome,
                     bt_reason_t reason,
                     int64_t retry_after_ms);

/** The call of an id, or NULL. With the lock held. */
bt_call_t *bt_find_call (bt_entry_t *entry, uint64_t id);

/** Takes a frame about the configuration. With the lock held. */
void bt_take_config_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame);

/** Tells every call that time has passed. With the lock held. */
void bt_expire_calls (bt_entry_t *entry, int64_t now_ms);

/** Ends every call, for a stop. With the lock held. */
void bt_cut_calls (bt_entry_t *entry);

/** Tells the calls that wait for this agent that its link is up. With the lock held. */
void bt_resume_calls (bt_entry_t *entry, const bt_identity_t *identity);

/** Gives an event to a call's delivery and does what follows. The call may be gone behind it. With
 * the lock held. */
void bt_drive_call (bt_entry_t *entry, bt_call_t *call, const bt_delivery_event_t *event);

/** Takes a call out of the table and frees it. With the lock held. */
void bt_remove_call (bt_entry_t *entry, bt_call_t *call);

/** Makes the delivery of a new call; @p ticket is NULL for a request without a key. */
void bt_prepare_delivery (bt_entry_t *entry, bt_call_t *call, const bt_ticket_t *ticket);

#endif
