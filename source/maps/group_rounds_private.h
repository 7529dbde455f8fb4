#ifndef BILBERRYTRAY_GROUP_ROUNDS_PRIVATE_H
#define BILBERRYTRAY_GROUP_ROUNDS_PRIVATE_H

/** @file
 * The state of a group's rounds, and what its files share: what is known of the ranks
 * (group_ranks.c), the phases (group_phases.c), and the orders (group_orders.c).
 */

#include "bilberrytray/maps/group_rounds.h"

/** What is known of one rank. */
typedef struct bt_rank_state
{
  bool known;
  bt_rank_report_t report;
  int64_t heard_ms;
  uint64_t order_id; /* the order under way; 0: none */
  int64_t sent_ms;
  bool accepted;    /* the last order was, and its effect may still be to come */
  int32_t refusals; /* in this phase */
} bt_rank_state_t;

struct bt_group_rounds
{
  bt_group_rounds_settings_t settings;
  uint64_t fence; /* 0: not leading */
  bool fenced;
  int64_t hold_until_ms; /* no hold is begun from then on */
  uint64_t last_order_id;
  int64_t last_version;
  bt_group_phase_t phase;
  int64_t phase_ms; /* when it began */
  int64_t epoch;
  int64_t target;     /* the version of the round */
  int64_t clearing;   /* the version whose preparing raises the counts */
  int64_t step;       /* the step of the change */
  int64_t last_step;  /* the highest step that any round here used */
  int64_t held_ms;    /* when the order to hold was first due */
  double orders_ms;   /* time from the order to hold until the group is let go; 0: not known */
  double pass_ms;     /* time of a step; 0: not known */
  int64_t paced_step; /* the step and the time from which pass_ms is measured next */
  int64_t paced_ms;
  int32_t holder;     /* the rank of this leader's own hold */
  int32_t hold_tries; /* orders to hold in this phase */
  bool own_hold;      /* it was seen in force, and was not taken back */
  bool takes_hold;    /* securing: the hold of another leader is made this one's own */
  int64_t seen_ms;    /* when it was */
  bool ask;           /* all agents are to be asked for a report */
  int32_t next_rank;  /* the first that this search for orders has not looked at */
  bt_rank_state_t ranks[];
};

/** True when an engine is to change its map at a step. */
bool bt_is_engine_armed (const bt_rank_state_t *rank);

/** True when an engine keeps its group from beginning a step. */
bool bt_is_engine_held (const bt_rank_state_t *rank);

/** True when all ranks are heard of lately, in one open group. */
bool bt_is_group_whole (const bt_group_rounds_t *rounds, int64_t now_ms);

/** True when all ranks report the same version of the map. */
bool bt_has_group_one_version (const bt_group_rounds_t *rounds);

/** True when any rank is armed or holds. */
bool bt_is_group_armed_or_held (const bt_group_rounds_t *rounds);

/** True when any rank holds. */
bool bt_is_group_held (const bt_group_rounds_t *rounds);

/** The first step for which a rank is armed; BT_NO_STEP when none is. */
int64_t bt_find_armed_step (const bt_group_rounds_t *rounds);

/** The last step that any rank has begun; BT_NO_STEP when none has. */
int64_t bt_find_latest_step (const bt_group_rounds_t *rounds);

/** True when all ranks have prepared a version. */
bool bt_is_group_prepared (const bt_group_rounds_t *rounds, int64_t version);

/** True when a rank is armed as the round wants it. */
bool bt_is_rank_armed (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank);

/** True when all ranks are. */
bool bt_is_group_armed (const bt_group_rounds_t *rounds);

/** The refusals of the rank that refused most in this phase. */
int32_t bt_count_most_refusals (const bt_group_rounds_t *rounds);

/** True when a rank has prepared the clearing's version: it has accepted an order with this
 * leader's fencing number since, and refuses all that was sent before. */
bool bt_is_rank_cleared_of_orders (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank);

/** True when no rank is armed and all refuse what was sent before. */
bool bt_is_group_cleared (const bt_group_rounds_t *rounds);

/** True when every rank was heard of since the hold was seen. */
bool bt_is_group_heard (const bt_group_rounds_t *rounds);

/** The rank heard of last that holds nothing: its agent answers, and it can take a hold. Where all
 * hold, the one that holds the earliest step. */
int32_t bt_choose_group_holder (const bt_group_rounds_t *rounds);

/** Takes in the step that a rank reports, for the time of a step. */
void bt_note_group_step (bt_group_rounds_t *rounds, int64_t step, int64_t now_ms);

/** Begins a phase: what was refused or accepted in the one before says nothing of this one. */
void bt_set_group_phase (bt_group_rounds_t *rounds, bt_group_phase_t phase, int64_t now_ms);

/** Moves from phase to phase as far as the reports allow. Each step waits for what it needs to be
 * seen in reports; that an order was sent or answered proves nothing. */
void bt_advance_group (bt_group_rounds_t *rounds, int64_t now_ms);

#endif
