#ifndef BILBERRYTRAY_MAPS_GROUP_ROUNDS_H
#define BILBERRYTRAY_MAPS_GROUP_ROUNDS_H

/** @file
 * Rounds that change the expert map of a group whose engines can hold the whole group before a
 * step.
 *
 * All ranks must switch to the new map at the same step. A round prepares the map on every rank,
 * holds the group before a future step, arms every rank for that step, and releases the group only
 * when every rank is known to be armed. A rank that is slow, disconnected or missed its order
 * therefore makes the group wait, but never leaves the ranks with different maps. A hold does not
 * expire: the next leader finds it in the ranks' reports and resolves it.
 *
 * An order whose answer is lost may be executed seconds later. Each order carries the number of
 * orders that its engine had accepted before, and the leader's fencing number: once an engine has
 * accepted another order, it refuses the delayed ones. Orders that start nothing do not raise that
 * number, so an abandoned round raises it on every engine by preparing another version before the
 * group is released.
 *
 * While the group is held, only the agent of the rank that holds it can release it. If that agent
 * had sent the hold itself and froze right after it, the group would stand still for as long as the
 * agent does, 4 s and more. Another rank's agent therefore sends the hold, nothing is armed before
 * every agent has reported after the hold was seen in force, and the round is abandoned when an
 * agent stays silent while nothing is armed yet.
 *
 * Pure: the caller passes in reports and times and sends the resulting orders.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

/** No step: the engine holds no step, or has begun none. */
#define BT_NO_STEP INT64_C (-1)

/** The state that one rank's engine reports. */
typedef struct bt_rank_report
{
  int64_t epoch;         /**< Raised each time the group is formed, which resets all maps. */
  bool open;             /**< The group accepts requests. */
  int64_t step;          /**< The last step that the engine has begun. */
  int64_t version;       /**< The version in use. */
  int64_t prepared;      /**< The version whose weights are complete; 0: none. */
  int64_t armed_version; /**< The version that the engine switches to at armed_step; 0: none. */
  int64_t armed_step;
  int64_t held_step;  /**< The step before which it holds the group; BT_NO_STEP: none. */
  int64_t sequence;   /**< The number of orders accepted since the engine started. */
  int64_t started_ms; /**< When the engine started, in Unix time; 0: not reported. */
} bt_rank_report_t;

typedef enum bt_group_order_kind
{
  BT_GROUP_PREPARE = 0, /**< Copy the weights that a map needs. */
  BT_GROUP_HOLD,        /**< Stop the group before the step until BT_GROUP_GO. */
  BT_GROUP_ARM,         /**< Switch to a prepared map when the step begins. */
  BT_GROUP_DISARM,      /**< Cancel an ARM. */
  BT_GROUP_GO,          /**< Let the group begin the step. */
} bt_group_order_kind_t;

const char *bt_name_group_order (bt_group_order_kind_t kind);

/** An order to one rank's engine. */
typedef struct bt_group_order
{
  bt_group_order_kind_t kind;
  int32_t rank;
  int32_t via;    /**< The rank whose agent gives the order to the engine: usually the same rank. */
  uint64_t id;    /**< Identifies the order; its result carries the same id. */
  uint64_t fence; /**< The leader's fencing number. */
  int64_t epoch;  /**< Refused in any other epoch. */
  int64_t sequence;   /**< Refused when the engine has accepted another number of orders. */
  int64_t version;    /**< PREPARE, ARM, DISARM. */
  int64_t step;       /**< HOLD, ARM, GO. */
  int64_t started_ms; /**< Start time of the engine in the report that the order is based on; 0:
                         unknown. The engine's agent refuses the order if the engine has another
                         start time. */
} bt_group_order_t;

/** The outcome of an order. */
typedef enum bt_order_result
{
  BT_ORDER_DONE = 0, /**< Accepted, or the engine was already in the requested state. */
  BT_ORDER_REFUSED,  /**< Not possible in the engine's current state, which the report that comes
                        with the result shows. */
  BT_ORDER_FENCED,   /**< The engine has seen a higher fencing number. */
  BT_ORDER_LOST,     /**< No answer: the order may be executed now, later or never. */
} bt_order_result_t;

/** The phase of a round. */
typedef enum bt_group_phase
{
  BT_GROUP_LOOKING = 0, /**< Waits for a recent report of every rank, all from one open group. */
  BT_GROUP_CALM,        /**< All ranks use the same version, and no round is in progress. */
  BT_GROUP_PREPARING,
  BT_GROUP_HOLDING,
  BT_GROUP_ARMING,
  BT_GROUP_LETTING_GO,
  BT_GROUP_SETTLING, /**< The group is released; the ranks switch as the step begins. */
  BT_GROUP_SECURING, /**< Takes a hold before cancelling what another leader armed. */
  BT_GROUP_CLEARING, /**< Cancels the rest of an abandoned round. */
} bt_group_phase_t;

const char *bt_name_group_phase (bt_group_phase_t phase);

typedef struct bt_group_rounds bt_group_rounds_t;

/** The settings of a leader. */
typedef struct bt_group_rounds_settings
{
  int32_t ranks;
  int64_t hold_steps; /**< Steps from the latest known one to the step at which the first round
                         switches. Later rounds derive the distance from the time that the orders of
                         past rounds took. */
  int64_t resend_ms;  /**< An order whose effect is not reported within this time is sent again. */
  int64_t stale_ms;   /**< A report older than this is ignored as outdated. */
  int64_t prepare_limit_ms; /**< A round whose map is not prepared on every rank within this time is
                               abandoned. */
  int64_t arm_limit_ms;     /**< The same limit for holding and for arming. */
  int64_t silence_ms; /**< A rank that is silent for this long while the group is held and nothing
                         is armed makes the leader abandon the round. */
} bt_group_rounds_settings_t;

/** Creates the round state of one group with any number of ranks. */
bt_group_rounds_t *bt_new_group_rounds (bt_context_t *ctx,
                                        const bt_group_rounds_settings_t *settings);

/** NULL is accepted. */
void bt_drop_group_rounds (bt_context_t *ctx, bt_group_rounds_t *rounds);

/** Starts leading with a fencing number that nobody has used before. Discards all known rank state,
 * since it may have been read before the last orders of the previous leader. */
void bt_start_leading_group (bt_group_rounds_t *rounds, uint64_t fence);

/** Sets the time from which the leader starts no more holds; rounds that already hold the group
 * continue. The caller sets it before the end of the leader's lease and moves it with each
 * renewal. */
void bt_limit_group_holds (bt_group_rounds_t *rounds, int64_t until_ms);

/** Stops leading; no more orders are produced. */
void bt_stop_leading_group (bt_group_rounds_t *rounds);

/** Processes the report of a rank. Pass the reports of a rank in the order in which they were read.
 * A report with another start time, after a restart of the rank's engine, discards the order
 * pending for that rank and abandons the round in progress. */
void bt_handle_rank_report (bt_group_rounds_t *rounds,
                            int32_t rank,
                            const bt_rank_report_t *report,
                            int64_t now_ms);

/** Processes the result of an order. @p rank is the rank whose agent gave the order to the engine,
 * and @p report a report of that rank that was read after the result. */
void bt_handle_group_order_result (bt_group_rounds_t *rounds,
                                   int32_t rank,
                                   uint64_t id,
                                   bt_order_result_t result,
                                   const bt_rank_report_t *report,
                                   int64_t now_ms);

/** Begins a round and returns the version of the new map; the caller keeps the content of that map
 * for the PREPARE orders. Returns 0 when the group is not in BT_GROUP_CALM, not every rank has
 * reported recently, or the versions of this leader are used up. */
int64_t bt_begin_group_round (bt_group_rounds_t *rounds, int64_t now_ms);

/** Finds the next order to send. Call it until it returns false, and again after each report and
 * result and every few milliseconds during a round. */
bool bt_next_group_order (bt_group_rounds_t *rounds, int64_t now_ms, bt_group_order_t *order);

bt_group_phase_t bt_get_group_phase (const bt_group_rounds_t *rounds);

/** True when the caller must request a report from all agents at once. Clears the request, so that
 * the next call returns false. */
bool bt_poll_report_request (bt_group_rounds_t *rounds);

/** The version that the round in progress switches to; 0 when there is none. A PREPARE order of any
 * other version carries the content of the map in use. */
int64_t bt_get_group_target (const bt_group_rounds_t *rounds);

/** The version in use on every rank; -1 while the ranks are not known to agree. */
int64_t bt_get_group_version (const bt_group_rounds_t *rounds);

/** The epoch of all ranks; -1 while the ranks are not known to agree. */
int64_t bt_get_group_epoch (const bt_group_rounds_t *rounds);

/** True when an engine has seen the fencing number of a newer leader: this leader must stop. */
bool bt_is_group_fenced (const bt_group_rounds_t *rounds);

#endif
