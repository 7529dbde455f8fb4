#ifndef BILBERRYTRAY_MAPS_MAP_RANK_H
#define BILBERRYTRAY_MAPS_MAP_RANK_H

/** @file
 * The agent of one rank: it checks every order about maps, models, adapters, versions and roles
 * before passing it to the rank's engine. It keeps no state that it cannot read again from its
 * engine or from the lease service, so it may restart at any time.
 */

#include "bilberrytray/maps/map_round.h"

typedef struct bt_map_rank bt_map_rank_t;

/** The settings of an agent. */
typedef struct bt_map_rank_settings
{
  int32_t rank;
  uint64_t incarnation;  /**< Random number drawn when the agent's process starts. */
  int64_t settle_ms;     /**< How long a call to the engine may still take effect after the agent's
                            start or a lost answer. The engine is queried only after that. */
  int64_t call_limit_ms; /**< A call that is not answered within this time is abandoned. */
  int64_t ask_ms;        /**< Interval between questions to rank 0 while the round is undecided. */
  int64_t give_up_ms; /**< Rank 0 drops an undecided round that ranks, itself included, have asked
                         about for this long: the controller is presumed gone. */
  uint32_t test_options; /**< Bits of bt_map_option_t; 0 outside tests. */
} bt_map_rank_settings_t;

/** Creates an agent that refuses all orders until it knows its floor, the lowest fencing number it
 * accepts, and its engine's state; its first ticks request both. */
bt_map_rank_t *
bt_new_map_rank (bt_context_t *ctx, const bt_map_rank_settings_t *settings, int64_t now_ms);

void bt_drop_map_rank (bt_context_t *ctx, bt_map_rank_t *rank);

/** Advances the agent to @p now_ms: requests missing state again, and asks rank 0 for the decision
 * of an undecided round. */
void bt_tick_map_rank (bt_context_t *ctx,
                       bt_map_rank_t *rank,
                       int64_t now_ms,
                       bt_map_actions_t *actions);

/** Processes the lease service's answer to BT_MAP_READ_FLOOR: the fencing number of the newest
 * controller. */
void bt_handle_map_floor (bt_map_rank_t *rank, uint64_t fence);

/** Processes the engine's answer to the call @p call, with the engine's state after it. @p state is
 * NULL when the engine could not be reached or refused without reporting its state. Answers to
 * abandoned calls are ignored. */
void bt_handle_engine_answer (bt_context_t *ctx,
                              bt_map_rank_t *rank,
                              uint64_t call,
                              bool accepted,
                              const bt_engine_state_t *state,
                              int64_t now_ms,
                              bt_map_actions_t *actions);

/** Processes an order from a controller. The agent either refuses it with a report, or passes it to
 * the engine and reports when the engine has answered. */
void bt_handle_map_order (bt_context_t *ctx,
                          bt_map_rank_t *rank,
                          const bt_map_order_t *order,
                          int64_t now_ms,
                          bt_map_actions_t *actions);

/** Processes another agent's question. Only rank 0's agent answers, and only once there is a
 * decision. */
void bt_handle_map_ask (bt_context_t *ctx,
                        bt_map_rank_t *rank,
                        const bt_map_ask_t *ask,
                        int64_t now_ms,
                        bt_map_actions_t *actions);

/** Processes the answer of rank 0's agent. */
void bt_handle_map_tell (bt_context_t *ctx,
                         bt_map_rank_t *rank,
                         const bt_map_tell_t *tell,
                         int64_t now_ms,
                         bt_map_actions_t *actions);

/** True once the agent knows its floor and its engine's state, and accepts orders. */
bool bt_is_map_rank_ready (const bt_map_rank_t *rank);

/** The engine's last known state, for status pages. */
const bt_engine_state_t *bt_get_map_rank_engine (const bt_map_rank_t *rank);

#endif
