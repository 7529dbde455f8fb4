#ifndef BILBERRYTRAY_MAPS_MAP_ROUND_H
#define BILBERRYTRAY_MAPS_MAP_ROUND_H

/** @file
 * The messages of a map round: orders from a controller to a rank's agent and on to its engine,
 * reports back, and questions between agents. One round changes the map of a whole group in four
 * phases: stage, arm for a step, decide at rank 0, learn.
 *
 * The decision of a round is the one that rank 0's engine stores, and the first one stored is
 * final. An armed engine that does not know the decision holds at its step, so the group is delayed
 * but never uses different maps.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

/** Identifies a round: the fencing number of the controller that began it, and a sequence number of
 * that controller. */
typedef struct bt_round_id
{
  uint64_t fence; /**< 0: no round. */
  uint64_t sequence;
} bt_round_id_t;

/** Returns a value below, equal to or above 0 when @p left is older than, the same as or newer than
 * @p right. */
int32_t bt_compare_rounds (bt_round_id_t left, bt_round_id_t right);

/** True for an id that identifies no round. */
bool bt_is_null_round (bt_round_id_t round);

/** Test-only options that each disable one safeguard; the schedule tests must then find a fault. */
typedef enum bt_map_option
{
  BT_MAP_NO_HOLD = 1 << 0,  /**< Armed engines continue without a decision. */
  BT_MAP_NO_FENCE = 1 << 1, /**< Agents accept orders with old fencing numbers. */
  BT_MAP_NO_FLOOR = 1 << 2, /**< A restarted agent starts with a floor of zero and accepts orders
                               meant for the agent before its restart. */
  BT_MAP_DECIDE_BY_TIMEOUT = 1 << 3,     /**< A waiting rank drops a round without asking. */
  BT_MAP_NO_ARM_ALL = 1 << 4,            /**< The controller decides once rank 0 is armed. */
  BT_MAP_NO_DECISION_IN_ENGINE = 1 << 5, /**< Rank 0's agent keeps the decision in memory only. */
} bt_map_option_t;

typedef enum bt_map_order_kind
{
  BT_MAP_STAGE = 0, /**< Fetch the weights that the map needs. */
  BT_MAP_ARM,       /**< Hold at the start of the step unless the round is decided. */
  BT_MAP_DECIDE,    /**< For rank 0: apply or drop the map; the first decision is final. */
  BT_MAP_LEARN,     /**< Pass on what rank 0 decided. */
  BT_MAP_CANCEL,    /**< Discard a staged map; never disarms. */
  BT_MAP_QUERY,     /**< Report the state; changes nothing in the engine. */
  BT_MAP_JOIN,      /**< For a replaced rank: the map in use and the group's next step. */
  BT_MAP_LOAD_MODEL,
  BT_MAP_LOAD_ADAPTER,
  BT_MAP_SET_VERSION,
  BT_MAP_SET_ROLE,
} bt_map_order_kind_t;

const char *bt_name_map_order (bt_map_order_kind_t kind);

/** Size of a model, adapter, version or role name with its terminating zero, in bytes. */
#define BT_MAP_ARGUMENT_BYTES 64

/** An order to one rank. It identifies its map by digest; the caller stores the encoded maps. */
typedef struct bt_map_order
{
  bt_map_order_kind_t kind;
  int32_t rank;
  uint64_t fence; /**< Fencing number of the controller that sends the order. */
  uint64_t id;    /**< Increases with each order of a controller; the report carries the same id. */
  uint64_t incarnation; /**< The engine incarnation that the order is meant for; 0 in a query:
                             any. */
  uint64_t agent;       /**< The agent incarnation that the order is meant for; 0 in a query:
                             any. */
  bt_round_id_t round;  /**< The round that the order is about, possibly of an older controller. */
  uint64_t step;        /**< ARM and LEARN: the step of the switch; JOIN: the group's next step. */
  uint64_t digest;      /**< The map of the round. */
  bool apply;           /**< DECIDE and LEARN: true to apply the map, false to drop it. */
  bool hold; /**< Set by the agent: the engine holds at the step while the round is undecided. */
  char argument[BT_MAP_ARGUMENT_BYTES];
} bt_map_order_t;

/** The map state of an engine; it lasts as long as the engine process. */
typedef struct bt_engine_state
{
  uint64_t incarnation; /**< Changes with each start of the engine. */
  bool joined;          /**< Takes part in steps. */
  uint64_t next_step;
  bt_round_id_t in_use;
  uint64_t in_use_digest;
  bt_round_id_t staged;
  uint64_t staged_digest;
  bt_round_id_t armed; /**< The armed round, until it is applied or dropped. */
  uint64_t armed_step;
  bt_round_id_t decided; /**< The last round whose decision the engine knows. */
  bool decided_apply;
} bt_engine_state_t;

/** True while an engine is armed and does not know the decision. */
bool bt_is_undecided (const bt_engine_state_t *engine);

/** Why an agent refused an order. */
typedef enum bt_map_refusal
{
  BT_MAP_ACCEPTED = 0,
  BT_MAP_STARTING,       /**< The agent does not know its floor or its engine's state yet. */
  BT_MAP_BUSY,           /**< The engine is still executing another order. */
  BT_MAP_FENCED,         /**< The agent has seen a newer controller. */
  BT_MAP_OLD_ROUND,      /**< The agent has seen a newer round, or this one is over. */
  BT_MAP_WRONG_ENGINE,   /**< The engine has been replaced since the order was made. */
  BT_MAP_WRONG_AGENT,    /**< The agent has restarted since the order was made. */
  BT_MAP_NOT_STAGED,     /**< The map of the round is not staged. */
  BT_MAP_NOT_ARMED,      /**< A map can be applied only where its round is armed. */
  BT_MAP_ARMED_OTHER,    /**< Another round is armed and not yet finished. */
  BT_MAP_NOT_DECIDER,    /**< Only rank 0 decides. */
  BT_MAP_ALREADY_JOINED, /**< Only a rank outside the group can join. */
  BT_MAP_TOO_LATE,       /**< The step to arm for has already begun. */
  BT_MAP_ENGINE_REFUSED, /**< The engine refused or did not answer. */
} bt_map_refusal_t;

const char *bt_name_map_refusal (bt_map_refusal_t refusal);

/** An agent's report to a controller, always with the full engine state. */
typedef struct bt_map_report
{
  int32_t rank;
  uint64_t fence; /**< Fencing number of the order that it answers. */
  uint64_t id;    /**< Id of the order that it answers. */
  uint64_t floor; /**< The highest fencing number that the agent has seen. */
  uint64_t agent; /**< Incarnation of the agent. */
  bt_map_refusal_t refusal;
  bt_engine_state_t engine;
} bt_map_report_t;

/** A question to rank 0's agent: what was decided for a round? */
typedef struct bt_map_ask
{
  int32_t rank;         /**< The asking rank. */
  uint64_t incarnation; /**< Incarnation of the asking agent. */
  uint64_t nonce;       /**< Lets the asking agent ignore answers to abandoned questions. */
  bt_round_id_t round;
} bt_map_ask_t;

/** The answer, sent only once there is a decision. */
typedef struct bt_map_tell
{
  bt_map_ask_t ask;
  bool apply;
} bt_map_tell_t;

typedef enum bt_map_action_kind
{
  BT_MAP_SEND_ORDER = 0, /**< Controller: send an order to a rank's agent. */
  BT_MAP_ENGINE_ORDER,   /**< Agent: send an order to its engine; a query reads its state. */
  BT_MAP_READ_FLOOR,     /**< Agent: read the current fencing number from the lease service. */
  BT_MAP_REPORT,         /**< Agent: send a report to the controller that sent the order. */
  BT_MAP_ASK,            /**< Agent: send a question to rank 0's agent. */
  BT_MAP_TELL,           /**< Rank 0's agent: send an answer to the asking rank. */
} bt_map_action_kind_t;

/** One action for the caller to perform; the member that belongs to the kind is set. */
typedef struct bt_map_action
{
  bt_map_action_kind_t kind;
  uint64_t call; /**< ENGINE_ORDER: identifies the call; the caller passes it back with the engine's
                    answer. */
  bt_map_order_t order;
  bt_map_report_t report;
  bt_map_ask_t ask;
  bt_map_tell_t tell;
} bt_map_action_t;

/** A growable list of actions. Zero-initialize it; set count to 0 to empty it. */
typedef struct bt_map_actions
{
  bt_map_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_map_actions_t;

/** Appends an action of a kind with all other members zero. The pointer is valid until the next
 * call. */
bt_map_action_t *
bt_add_map_action (bt_context_t *ctx, bt_map_actions_t *actions, bt_map_action_kind_t kind);

/** Frees the list's memory. */
void bt_clear_map_actions (bt_context_t *ctx, bt_map_actions_t *actions);

#endif
