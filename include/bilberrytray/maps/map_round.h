#ifndef BILBERRYTRAY_MAPS_MAP_ROUND_H
#define BILBERRYTRAY_MAPS_MAP_ROUND_H

/** @file
 * What a map round is made of: the orders from a controller to a rank's agent and on to its engine,
 * the reports back, and the questions between agents. One round changes the map of a whole group:
 * stage, arm for a step, decide at rank 0, learn.
 *
 * The decision of a round is what rank 0's engine holds, and the first one it was given stands. An
 * armed engine that knows no decision holds at its step, so the group is slow but never split.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

/** Names a round: the fencing number of the controller that began it, and its count. */
typedef struct bt_round_id
{
  uint64_t fence; /**< 0: no round. */
  uint64_t sequence;
} bt_round_id_t;

/** Below, at or above 0 as @p left is older than, the same as or newer than @p right. */
int32_t bt_compare_rounds (bt_round_id_t left, bt_round_id_t right);

/** True for a round that names none. */
bool bt_is_no_round (bt_round_id_t round);

/** Test-only switches, each taking one guard out; the schedules must then find a fault. */
typedef enum bt_map_option
{
  BT_MAP_NO_HOLD = 1 << 0,               /**< Armed engines run on without a decision. */
  BT_MAP_NO_FENCE = 1 << 1,              /**< Agents take orders with old fencing numbers. */
  BT_MAP_NO_FLOOR = 1 << 2,              /**< A restarted agent starts from nothing and takes orders
                                              meant for the one before it. */
  BT_MAP_DECIDE_BY_TIMEOUT = 1 << 3,     /**< A waiting rank gives up a round by itself. */
  BT_MAP_NO_ARM_ALL = 1 << 4,            /**< The controller decides once rank 0 is armed. */
  BT_MAP_NO_DECISION_IN_ENGINE = 1 << 5, /**< Rank 0's agent only remembers what it decided. */
} bt_map_option_t;

typedef enum bt_map_order_kind
{
  BT_MAP_STAGE = 0, /**< Fetch the weights that the map needs. */
  BT_MAP_ARM,       /**< At the start of the step, hold unless the round is decided. */
  BT_MAP_DECIDE,    /**< For rank 0: take or drop the map; the first decision stands. */
  BT_MAP_LEARN,     /**< What rank 0 decided. */
  BT_MAP_CANCEL,    /**< Forget a staged map; never disarms. */
  BT_MAP_QUERY,     /**< Report; changes nothing in the engine. */
  BT_MAP_JOIN,      /**< For a replaced rank: the map in use and the group's next step. */
  BT_MAP_LOAD_MODEL,
  BT_MAP_LOAD_ADAPTER,
  BT_MAP_SET_VERSION,
  BT_MAP_SET_ROLE,
} bt_map_order_kind_t;

const char *bt_name_map_order (bt_map_order_kind_t kind);

/** Longest model, adapter, version or role, with its zero, in bytes. */
#define BT_MAP_ARGUMENT_BYTES 64

/** An order to one rank. Maps are named by digest; shells keep the bytes. */
typedef struct bt_map_order
{
  bt_map_order_kind_t kind;
  int32_t rank;
  uint64_t fence;       /**< Of the controller that sends it. */
  uint64_t id;          /**< Grows with each order of a controller; its report repeats it. */
  uint64_t incarnation; /**< The engine it is meant for; 0 in a query: any. */
  uint64_t agent;       /**< The start of the agent it is meant for; 0 in a query: any. */
  bt_round_id_t round;  /**< The round it is about, perhaps of an older controller. */
  uint64_t step;        /**< ARM and LEARN: the step of the change; JOIN: the next step. */
  uint64_t digest;      /**< The map of the round. */
  bool apply;           /**< DECIDE and LEARN: take the map, or drop it. */
  bool hold;            /**< Filled in by the agent for its engine. */
  char argument[BT_MAP_ARGUMENT_BYTES];
} bt_map_order_t;

/** All that an engine knows of maps; it lives as long as the engine. */
typedef struct bt_engine_state
{
  uint64_t incarnation; /**< Another after each start of the engine. */
  bool joined;          /**< Takes part in steps. */
  uint64_t next_step;
  bt_round_id_t in_use;
  uint64_t in_use_digest;
  bt_round_id_t staged;
  uint64_t staged_digest;
  bt_round_id_t armed; /**< Until the round is applied or dropped. */
  uint64_t armed_step;
  bt_round_id_t decided; /**< The last round whose decision it holds. */
  bool decided_apply;
} bt_engine_state_t;

/** True while an engine is armed and does not know the decision. */
bool bt_is_undecided (const bt_engine_state_t *engine);

/** Why an agent refuses an order. */
typedef enum bt_map_refusal
{
  BT_MAP_ACCEPTED = 0,
  BT_MAP_STARTING,       /**< The agent does not know its floor yet. */
  BT_MAP_BUSY,           /**< Another order is with the engine. */
  BT_MAP_FENCED,         /**< A newer controller has been seen. */
  BT_MAP_OLD_ROUND,      /**< A newer round has been seen, or this one is over. */
  BT_MAP_WRONG_ENGINE,   /**< The engine it was meant for is gone. */
  BT_MAP_WRONG_AGENT,    /**< The agent it was meant for has restarted. */
  BT_MAP_NOT_STAGED,     /**< Its map is not there. */
  BT_MAP_NOT_ARMED,      /**< A round can be taken only where it is armed. */
  BT_MAP_ARMED_OTHER,    /**< Another round is armed and not over. */
  BT_MAP_NOT_DECIDER,    /**< Only rank 0 decides. */
  BT_MAP_ALREADY_JOINED, /**< Only a rank outside the group can join it. */
  BT_MAP_TOO_LATE,       /**< The step to arm for has begun. */
  BT_MAP_ENGINE_REFUSED, /**< The engine refused or did not answer. */
} bt_map_refusal_t;

const char *bt_name_map_refusal (bt_map_refusal_t refusal);

/** What an agent says to a controller, always with all that its engine knows. */
typedef struct bt_map_report
{
  int32_t rank;
  uint64_t fence; /**< Of the order that it answers. */
  uint64_t id;    /**< Of the order that it answers. */
  uint64_t floor; /**< The highest fencing number seen. */
  uint64_t agent; /**< The agent's start. */
  bt_map_refusal_t refusal;
  bt_engine_state_t engine;
} bt_map_report_t;

/** A question to rank 0's agent: what was decided? */
typedef struct bt_map_ask
{
  int32_t rank;         /**< Who asks. */
  uint64_t incarnation; /**< The asking agent's start. */
  uint64_t nonce;       /**< Makes the answer to an abandoned question worthless. */
  bt_round_id_t round;
} bt_map_ask_t;

/** The answer, given only once there is a decision. */
typedef struct bt_map_tell
{
  bt_map_ask_t ask;
  bool apply;
} bt_map_tell_t;

typedef enum bt_map_action_kind
{
  BT_MAP_SEND_ORDER = 0, /**< Controller: order to a rank's agent. */
  BT_MAP_ENGINE_ORDER,   /**< Agent: order to its engine; a query asks for its state. */
  BT_MAP_READ_FLOOR,     /**< Agent: read the current fencing number from the service. */
  BT_MAP_REPORT,         /**< Agent: report to the controller that sent the order. */
  BT_MAP_ASK,            /**< Agent: question to rank 0's agent. */
  BT_MAP_TELL,           /**< Rank 0's agent: answer to the asking rank. */
} bt_map_action_kind_t;

/** One thing for a shell to do; the member of that kind is set. */
typedef struct bt_map_action
{
  bt_map_action_kind_t kind;
  uint64_t call; /**< ENGINE_ORDER: comes back with the engine's answer. */
  bt_map_order_t order;
  bt_map_report_t report;
  bt_map_ask_t ask;
  bt_map_tell_t tell;
} bt_map_action_t;

/** A growable list of actions. Zero-initialise it; empty it by setting count to 0. */
typedef struct bt_map_actions
{
  bt_map_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_map_actions_t;

/** Appends an action of a kind, zeroed but for the kind; valid until the next call. */
bt_map_action_t *
bt_add_map_action (bt_context_t *ctx, bt_map_actions_t *actions, bt_map_action_kind_t kind);

/** Frees the list's memory. */
void bt_clear_map_actions (bt_context_t *ctx, bt_map_actions_t *actions);

#endif
