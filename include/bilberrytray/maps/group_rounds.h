#ifndef BILBERRYTRAY_MAPS_GROUP_ROUNDS_H
#define BILBERRYTRAY_MAPS_GROUP_ROUNDS_H

/** @file
 * Rounds that change the expert map of a group whose engines can hold the whole group before a
 * step.
 *
 * All ranks must change at the same step. A round prepares the map everywhere, holds the group
 * before a step to come, arms every rank for that step, and lets the group go on only when every
 * rank is known to be armed. So a rank that is slow, cut off or whose order was lost makes the
 * group wait, and never splits it. A hold does not expire: whoever leads next finds it in the
 * ranks' reports and resolves it.
 *
 * An order whose answer is lost may be carried out seconds later. Each order names the count of
 * orders that its engine had accepted before, and the leader's fencing number: once an engine has
 * accepted another order, what is still on its way is refused. Orders that begin nothing do not
 * raise the count, so a round that is given up raises it everywhere by preparing another version
 * before the group is let go.
 *
 * While the group is held, only the agent of the rank that holds it can let it go. If that agent
 * itself gave the hold and stood still right after it, the group would stand as long, 4 s and more.
 * So another rank's agent gives the hold, nothing is armed before every agent has been heard of
 * after it was seen in force, and a round in which one stays silent is given up while nothing is
 * armed yet.
 *
 * Pure: reports and times go in, orders come out.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

/** No step: nothing is held, or no step has begun. */
#define BT_NO_STEP INT64_C (-1)

/** What one rank's engine says of itself. */
typedef struct bt_rank_report
{
  int64_t epoch;         /**< Grows each time the group is formed; maps start anew then. */
  bool open;             /**< The group serves. */
  int64_t step;          /**< The last step that was begun. */
  int64_t version;       /**< The map in use. */
  int64_t prepared;      /**< The map whose weights are all there; 0: none. */
  int64_t armed_version; /**< The map that it changes to; 0: none. */
  int64_t armed_step;
  int64_t held_step;  /**< The step before which it holds the group; BT_NO_STEP: none. */
  int64_t sequence;   /**< Orders that it has accepted since it started. */
  int64_t started_ms; /**< When the engine started, in Unix time; 0: it does not say. */
} bt_rank_report_t;

typedef enum bt_group_order_kind
{
  BT_GROUP_PREPARE = 0, /**< Copy the weights of a map. */
  BT_GROUP_HOLD,        /**< The group does not begin the step before it is let go. */
  BT_GROUP_ARM,         /**< Change to a prepared map as the step begins. */
  BT_GROUP_DISARM,      /**< Take ARM back. */
  BT_GROUP_GO,          /**< Let the group begin the step. */
} bt_group_order_kind_t;

const char *bt_name_group_order (bt_group_order_kind_t kind);

/** An order to one rank's engine. */
typedef struct bt_group_order
{
  bt_group_order_kind_t kind;
  int32_t rank;
  int32_t via;        /**< The rank whose agent gives the order: mostly the rank's own. */
  uint64_t id;        /**< Of this order; its result repeats it. */
  uint64_t fence;     /**< The leader's fencing number. */
  int64_t epoch;      /**< Refused in any other. */
  int64_t sequence;   /**< Refused when the engine has accepted another count of orders. */
  int64_t version;    /**< PREPARE, ARM, DISARM. */
  int64_t step;       /**< HOLD, ARM, GO. */
  int64_t started_ms; /**< The start of the engine whose report the order rests on; 0: not known.
                           The engine's agent refuses it at any other. */
} bt_group_order_t;

/** What became of an order. */
typedef enum bt_order_result
{
  BT_ORDER_DONE = 0, /**< Accepted, or its state held already. */
  BT_ORDER_REFUSED,  /**< It does not fit the engine's state; the report with it says which. */
  BT_ORDER_FENCED,   /**< Another leader has a higher fencing number. */
  BT_ORDER_LOST,     /**< No answer: it may be carried out, now or later. */
} bt_order_result_t;

/** How far a round has come. */
typedef enum bt_group_phase
{
  BT_GROUP_LOOKING = 0, /**< Not every rank is known, or the group is not one. */
  BT_GROUP_CALM,        /**< One map everywhere, nothing under way. */
  BT_GROUP_PREPARING,
  BT_GROUP_HOLDING,
  BT_GROUP_ARMING,
  BT_GROUP_LETTING_GO,
  BT_GROUP_SETTLING, /**< The group goes on; ranks change as the step begins. */
  BT_GROUP_SECURING, /**< What another leader left is held fast before it is taken back. */
  BT_GROUP_CLEARING, /**< What is left of a round that was given up is taken back. */
} bt_group_phase_t;

const char *bt_name_group_phase (bt_group_phase_t phase);

typedef struct bt_group_rounds bt_group_rounds_t;

/** How a leader behaves. */
typedef struct bt_group_rounds_settings
{
  int32_t ranks;
  int64_t hold_steps;       /**< Steps from the latest known one to the step of the first change.
                                 Later ones go by the time that the orders took. */
  int64_t resend_ms;        /**< An order without its effect is sent again after so long. */
  int64_t stale_ms;         /**< A report older than this says nothing of now. */
  int64_t prepare_limit_ms; /**< A map that is not prepared everywhere by then is given up. */
  int64_t arm_limit_ms;     /**< The same for holding and arming. */
  int64_t silence_ms;       /**< A rank that is silent for so long while the group is held, and
                                 nothing is armed, ends the round. */
} bt_group_rounds_settings_t;

/** The rounds of a group of any number of ranks. */
bt_group_rounds_t *bt_new_group_rounds (bt_context_t *ctx,
                                        const bt_group_rounds_settings_t *settings);

/** NULL is accepted. */
void bt_drop_group_rounds (bt_context_t *ctx, bt_group_rounds_t *rounds);

/** Begins to lead with a fencing number that no one had before. What was known of the ranks is
 * forgotten: it may have been read before the last leader's orders. */
void bt_lead_group (bt_group_rounds_t *rounds, uint64_t fence);

/** From this time on no group is held any more, though rounds that hold one already go on. It lies
 * before the end of the leader's lease, and moves on with each renewal. */
void bt_limit_group_holds (bt_group_rounds_t *rounds, int64_t until_ms);

/** Stops leading: no more orders. */
void bt_leave_group (bt_group_rounds_t *rounds);

/** Takes in what a rank says. Reports of a rank come in the order in which they were read. With a
 * report of another start of its engine, what was ordered of the one before is forgotten and the
 * round under way is given up. */
void bt_take_rank_report (bt_group_rounds_t *rounds,
                          int32_t rank,
                          const bt_rank_report_t *report,
                          int64_t now_ms);

/** Takes in what became of an order, with a report that was read afterwards, of the rank whose
 * agent gave it. */
void bt_take_group_order_result (bt_group_rounds_t *rounds,
                                 int32_t rank,
                                 uint64_t id,
                                 bt_order_result_t result,
                                 const bt_rank_report_t *report,
                                 int64_t now_ms);

/** Begins a round. Returns the version of the new map, whose content the caller keeps for the
 * PREPARE orders; 0 when the group is not calm. */
int64_t bt_begin_group_round (bt_group_rounds_t *rounds, int64_t now_ms);

/** The next order to send, if any is due. Call it again until it returns false; and after reports,
 * after results, and every few milliseconds while a round is under way. */
bool bt_next_group_order (bt_group_rounds_t *rounds, int64_t now_ms, bt_group_order_t *order);

bt_group_phase_t bt_get_group_phase (const bt_group_rounds_t *rounds);

/** True when all agents are to be asked for a report at once; the next call returns false. */
bool bt_take_group_ask (bt_group_rounds_t *rounds);

/** The version that the round under way changes to; 0 without one. PREPARE orders of any other
 * version ask for the map in use. */
int64_t bt_get_group_target (const bt_group_rounds_t *rounds);

/** The map in use at every rank; -1 while they are not known to agree. */
int64_t bt_get_group_version (const bt_group_rounds_t *rounds);

/** The epoch that all ranks are in; -1 while they are not known to agree. */
int64_t bt_get_group_epoch (const bt_group_rounds_t *rounds);

/** True when another leader was met: this one must stop. */
bool bt_is_group_fenced (const bt_group_rounds_t *rounds);

#endif
