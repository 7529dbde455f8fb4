#ifndef BILBERRYTRAY_MAPS_MAP_RANK_H
#define BILBERRYTRAY_MAPS_MAP_RANK_H

/** @file
 * The agent of one rank: the gate through which each order about maps, models, adapters, versions
 * and roles reaches the rank's engine. It keeps nothing that it cannot ask its engine or the
 * service for again, so it may restart at any moment.
 */

#include "bilberrytray/maps/map_round.h"

typedef struct bt_map_rank bt_map_rank_t;

/** How an agent behaves. */
typedef struct bt_map_rank_settings
{
  int32_t rank;
  uint64_t incarnation;  /**< Random, drawn when the agent's process starts. */
  int64_t settle_ms;     /**< After a start or a lost answer: as long as a call to the engine may
                              still take effect. The engine is asked only after that. */
  int64_t call_limit_ms; /**< A call without an answer for so long is given up. */
  int64_t ask_ms;        /**< Between two questions to rank 0 while undecided. */
  int64_t give_up_ms;    /**< Rank 0 drops an undecided round that others have asked about for so
                              long; the controller is taken to be gone. */
  uint32_t test_options; /**< Bits of bt_map_option_t; 0 outside tests. */
} bt_map_rank_settings_t;

/** Makes an agent that takes no order yet; its first ticks ask for what it must know. */
bt_map_rank_t *
bt_new_map_rank (bt_context_t *ctx, const bt_map_rank_settings_t *settings, int64_t now_ms);

void bt_drop_map_rank (bt_context_t *ctx, bt_map_rank_t *rank);

/** Lets time pass: asks again for what is missing, and rank 0 for decisions. */
void bt_tick_map_rank (bt_context_t *ctx,
                       bt_map_rank_t *rank,
                       int64_t now_ms,
                       bt_map_actions_t *actions);

/** The service's answer to READ_FLOOR: the fencing number of the newest controller. */
void bt_take_map_floor (bt_map_rank_t *rank, uint64_t fence);

/** An engine's answer to the call @p call, with its state after it; NULL when it refused without
 * one or could not be reached. Answers to calls given up are dropped. */
void bt_take_engine_answer (bt_context_t *ctx,
                            bt_map_rank_t *rank,
                            uint64_t call,
                            bool accepted,
                            const bt_engine_state_t *state,
                            int64_t now_ms,
                            bt_map_actions_t *actions);

/** An order from a controller. It is refused with a report, or goes to the engine and is reported
 * with the engine's answer. */
void bt_take_map_order (bt_context_t *ctx,
                        bt_map_rank_t *rank,
                        const bt_map_order_t *order,
                        int64_t now_ms,
                        bt_map_actions_t *actions);

/** Another agent's question; only rank 0's agent answers, once there is a decision. */
void bt_take_map_ask (bt_context_t *ctx,
                      bt_map_rank_t *rank,
                      const bt_map_ask_t *ask,
                      int64_t now_ms,
                      bt_map_actions_t *actions);

/** The answer of rank 0's agent. */
void bt_take_map_tell (bt_context_t *ctx,
                       bt_map_rank_t *rank,
                       const bt_map_tell_t *tell,
                       int64_t now_ms,
                       bt_map_actions_t *actions);

/** True once the agent knows its floor and its engine, and takes orders. */
bool bt_is_map_rank_ready (const bt_map_rank_t *rank);

/** The engine's state as last heard, for status pages. */
const bt_engine_state_t *bt_get_map_rank_engine (const bt_map_rank_t *rank);

#endif
