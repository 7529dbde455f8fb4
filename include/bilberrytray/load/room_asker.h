#ifndef BILBERRYTRAY_LOAD_ROOM_ASKER_H
#define BILBERRYTRAY_LOAD_ROOM_ASKER_H

/** @file
 * The entry's side of reservations: decides which engine's agent to ask for capacity for which
 * queued request, and which request uses a grant. Events and a time go in, actions come out; the
 * calling code sends the frames. Not thread-safe: the calling code holds the router's lock.
 *
 * An engine is *reserved* while its agent answers asks. All others are used by this entry's
 * estimate. An app of which no engine is reserved is handled by admission alone.
 */

#include "bilberrytray/load/admission.h"

enum
{
  /** An agent that has not answered an ask after this time is not reserved, ms. */
  BT_ROOM_ASK_TIMEOUT_MS = 60,
  /** A grant is used within this time after its arrival, ms. */
  BT_ROOM_GRANT_USE_MS = 100,
  /** Interval in which the bound on the starts at an engine applies, ms. */
  BT_ROOM_BURST_MS = 400,
  /** Burst of an ask that the slots alone bound. */
  BT_ROOM_NO_BURST = 1024,
  /** Denials after which a request waits at engines. */
  BT_ROOM_MAX_DENIALS = 3,
  /** Engines that a request waits at. */
  BT_ROOM_WAITING_ASKS = 2,
};

typedef struct bt_room_asker bt_room_asker_t;

/** A queued request that needs capacity. The app is only read during the call. */
typedef struct bt_room_request
{
  uint64_t id; /**< As in admission. */
  const char *app;
  int32_t priority;
  int64_t target_ms; /**< Time until which it has to start to be in time; 0: no expectation. */
  int32_t prompt_tokens;
  int32_t answer_tokens;
  int64_t read_us;  /**< Time that an engine takes to read the prompt. */
  uint64_t account; /**< Keyed hash of the client account. */
  int32_t share;
} bt_room_request_t;

/** One ask, as the agent gets it. */
typedef struct bt_asker_ask
{
  uint64_t id;
  int32_t priority;
  int64_t target_left_ms;
  int32_t prompt_tokens;
  int32_t answer_tokens;
  int64_t read_us;
  int32_t slots; /**< 0: grants nothing; the answer only shows that the agent answers. */
  int32_t depth;
  int32_t burst;
  bool wait;
  uint64_t account;
  int32_t share;
} bt_asker_ask_t;

/** Verdict of an agent, as on the wire. */
typedef enum bt_asker_verdict
{
  BT_ASKER_GRANTED = 1,
  BT_ASKER_DENIED,
  BT_ASKER_DISPLACED, /**< The ask waited, and more urgent ones took its place. */
} bt_asker_verdict_t;

/** An agent's answer to an ask. */
typedef struct bt_asker_reply
{
  uint64_t id;
  bt_asker_verdict_t verdict;
  int32_t load; /**< Requests in flight and held at the engine. */
  int64_t received_ms;
} bt_asker_reply_t;

typedef enum bt_asker_action_kind
{
  BT_ASKER_ASK = 0,    /**< Send the ask to the agent of the endpoint. */
  BT_ASKER_SEND,       /**< Send the request to the endpoint, then call bt_confirm_room_send. */
  BT_ASKER_STARTED,    /**< Tell the agent that a granted request was sent. */
  BT_ASKER_ENDED,      /**< Tell it that a request ended. */
  BT_ASKER_RELEASED,   /**< Tell it that a grant is not used. */
  BT_ASKER_WITHDRAWN,  /**< Tell it that an ask need not wait any longer. */
  BT_ASKER_UNASKED,    /**< Tell it that a request was sent without an ask. */
  BT_ASKER_UNANSWERED, /**< For metrics: an ask was not answered in time. */
  BT_ASKER_UNRESERVED, /**< For the log: the agent has stopped answering. */
  BT_ASKER_RESERVED,   /**< For the log: the agent answers again. */
} bt_asker_action_kind_t;

typedef struct bt_room_action
{
  bt_asker_action_kind_t kind;
  bt_identity_t endpoint;
  uint64_t id;        /**< Of the ask, or of the start without one; of BT_ASKER_SEND 0: without. */
  uint64_t request;   /**< Of BT_ASKER_SEND. */
  int64_t waited_ms;  /**< Of BT_ASKER_SEND by a grant: since the request's first ask; -1: it never
                         asked itself. */
  bt_asker_ask_t ask; /**< Of BT_ASKER_ASK. */
} bt_room_action_t;

/** Creates an asker that chooses by @p router and takes requests from the queues of @p admission,
 * which must outlive it. @p seed determines all random choices. */
bt_room_asker_t *bt_new_room_asker (bt_context_t *ctx,
                                    bt_router_t *router,
                                    bt_admission_t *admission,
                                    uint64_t seed);

/** NULL is accepted. */
void bt_drop_room_asker (bt_context_t *ctx, bt_room_asker_t *asker);

/** Sets whether capacity for an app's requests is asked for. The asks of an app for which it no
 * longer is are withdrawn. */
void bt_set_room_app (
    bt_context_t *ctx, bt_room_asker_t *asker, const char *app, bool reserved, int64_t now_ms);

/** Adds an engine, or changes the incarnation or the link of a known one. It is not reserved before
 * its agent has answered on the present link. */
void bt_set_room_engine (bt_context_t *ctx,
                         bt_room_asker_t *asker,
                         const bt_identity_t *identity,
                         const char *app,
                         bool linked,
                         int64_t now_ms);

/** Removes an engine and all asks at it. Does nothing if it does not exist. */
void bt_remove_room_engine (bt_context_t *ctx, bt_room_asker_t *asker, const char *instance);

/** Returns true if the engine's agent answers asks. */
bool bt_is_room_engine_reserved (const bt_room_asker_t *asker, const char *instance);

/** Returns true if queued requests of an app are to be added: capacity is asked for, whether or not
 * an engine is reserved now. */
bool bt_is_room_app (const bt_room_asker_t *asker, const char *app);

/** Adds a request that admission has queued. */
void
bt_add_room_request (bt_context_t *ctx, bt_room_asker_t *asker, const bt_room_request_t *request);

/** Removes a request that is no longer queued, whatever became of it. Does nothing if it was not
 * added. */
void bt_remove_room_request (bt_context_t *ctx, bt_room_asker_t *asker, uint64_t id);

/** Handles an agent's answer. Returns false if the ask is not known, or no longer. */
bool bt_handle_room_reply (bt_context_t *ctx,
                           bt_room_asker_t *asker,
                           const char *instance,
                           const bt_asker_reply_t *reply,
                           int64_t now_ms);

/** Places the asks that are due and handles time-outs; to be called after events and every few
 * milliseconds while requests are queued. Returns true if it must be called again after the actions
 * have been performed. */
bool bt_advance_room_asker (bt_context_t *ctx, bt_room_asker_t *asker, int64_t now_ms);

/** Takes the next action; false if there is none. */
bool bt_next_room_action (bt_room_asker_t *asker, bt_room_action_t *action);

/** Reports whether the request of a BT_ASKER_SEND was sent. If not, the grant is used for the next
 * queued request. */
void bt_confirm_room_send (bt_context_t *ctx,
                           bt_room_asker_t *asker,
                           const bt_room_action_t *send,
                           bool sent,
                           int64_t now_ms);

/** Records that a request was sent without an ask. Returns the number by which its end is reported;
 * 0 if the engine's app is not asked for, or its agent is not linked. */
uint64_t bt_record_unasked_start (bt_context_t *ctx,
                                  bt_room_asker_t *asker,
                                  const char *instance,
                                  int64_t now_ms);

/** Records the end of a request that was started under the number @p id. Does nothing for 0. */
void bt_record_room_end (bt_context_t *ctx, bt_room_asker_t *asker, uint64_t id);

/** Returns the greatest number of starts at one engine of an app in BT_ROOM_BURST_MS. */
int32_t bt_get_room_burst (const bt_room_asker_t *asker, const char *app, int64_t now_ms);

#endif
