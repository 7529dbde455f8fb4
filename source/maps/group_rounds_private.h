#ifndef BILBERRYTRAY_GROUP_ROUNDS_PRIVATE_H
#define BILBERRYTRAY_GROUP_ROUNDS_PRIVATE_H

/** @file
 * The state of a group's rounds and the functions shared by its source files: the ranks' state
 * (group_ranks.c), the phases (group_phases.c), and the orders (group_orders.c).
 */

#include "bilberrytray/maps/group_rounds.h"

/** The known state of one rank. */
typedef struct bt_rank_state
{
  bool known;
  bt_rank_report_t report;
  int64_t reported_ms;
  uint64_t order_id; /* the pending order; 0: none */
  int64_t sent_ms;
  bool accepted;    /* the last order was accepted, and its effect may not be reported yet */
  int32_t refusals; /* number of refusals in this phase */
} bt_rank_state_t;

struct bt_group_rounds
{
  bt_group_rounds_settings_t settings;
  uint64_t fence; /* 0: not leading */
  bool fenced;
  int64_t hold_until_ms; /* from this time on no hold is started */
  uint64_t last_order_id;
  int64_t last_version;
  bt_group_phase_t phase;
  int64_t phase_ms; /* when the phase began */
  int64_t epoch;
  int64_t target;           /* the version that the round switches to; 0: no round */
  int64_t clearing_version; /* the version that is prepared only to raise the order counts */
  int64_t step;             /* the step of the switch */
  int64_t last_step;        /* the highest step named in any order so far */
  int64_t hold_due_ms;      /* when the hold order was first due */
  double orders_ms;         /* time from the hold order until the group is released; 0: unknown */
  double mean_step_ms;      /* mean step time; 0: unknown */
  int64_t timed_step;       /* the step and time from which the step time is measured next */
  int64_t timed_ms;
  int32_t holder;         /* the rank that holds the group, or is to hold it, for this leader */
  int32_t hold_attempts;  /* hold orders sent in this phase */
  bool own_hold;          /* the hold is known to be this leader's own, and is not yet released */
  bool takes_over_hold;   /* in SECURING: the hold of another leader is taken over */
  int64_t hold_seen_ms;   /* when the hold was first reported, in HOLDING */
  bool reports_requested; /* a report is to be requested from all agents */
  int32_t next_rank;      /* the next rank that the current search for orders looks at */
  bt_rank_state_t ranks[];
};

/** True when an engine is armed to switch its map at a step. */
bool bt_is_engine_armed (const bt_rank_state_t *rank);

/** True when an engine stops its group before a step. */
bool bt_is_engine_held (const bt_rank_state_t *rank);

/** True when all ranks have reported recently, from one open group. */
bool bt_is_group_complete (const bt_group_rounds_t *rounds, int64_t now_ms);

/** True when all ranks report the same version of the map. */
bool bt_has_group_one_version (const bt_group_rounds_t *rounds);

/** True when any rank is armed or holds the group. */
bool bt_is_group_armed_or_held (const bt_group_rounds_t *rounds);

/** True when any rank holds the group. */
bool bt_is_group_held (const bt_group_rounds_t *rounds);

/** The earliest step for which a rank is armed; BT_NO_STEP when none is. */
int64_t bt_find_armed_step (const bt_group_rounds_t *rounds);

/** The latest step that any rank has begun; BT_NO_STEP when none has. */
int64_t bt_find_latest_step (const bt_group_rounds_t *rounds);

/** True when all ranks have prepared a version. */
bool bt_is_group_prepared (const bt_group_rounds_t *rounds, int64_t version);

/** True when a rank is armed for the version and step of the round. */
bool bt_is_rank_armed (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank);

/** True when all ranks are armed for the version and step of the round. */
bool bt_is_group_armed (const bt_group_rounds_t *rounds);

/** The highest number of refusals by one rank in this phase. */
int32_t bt_get_max_refusals (const bt_group_rounds_t *rounds);

/** True when a rank has prepared clearing_version. It has accepted an order with this
 * leader's fencing number since, and refuses all orders sent before. */
bool bt_is_rank_cleared (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank);

/** True when no rank is armed and all ranks refuse the orders sent before. */
bool bt_is_group_cleared (const bt_group_rounds_t *rounds);

/** True when every rank has reported after the hold was seen. */
bool bt_have_all_ranks_reported (const bt_group_rounds_t *rounds);

/** Chooses a rank to take a hold: among the ranks that hold nothing and have refused least, the one
 * that reported last, whose agent is known to answer. If all ranks hold, chooses the one that
 * holds the earliest step. */
int32_t bt_choose_group_holder (const bt_group_rounds_t *rounds);

/** Updates the mean step time from the step that a rank reports. */
void bt_update_step_time (bt_group_rounds_t *rounds, int64_t step, int64_t now_ms);

/** Begins a phase and resets the refusals and results of the previous one. */
void bt_set_group_phase (bt_group_rounds_t *rounds, bt_group_phase_t phase, int64_t now_ms);

/** Moves from phase to phase as far as the reports allow. Each transition requires its condition to
 * show in reports; that an order was sent or answered proves nothing. */
void bt_advance_group (bt_group_rounds_t *rounds, int64_t now_ms);

#endif
