#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LED_GROUP_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LED_GROUP_H

/** @file
 * One rank group as its leader sees it: its rounds, its maps, and the links to its agents. It is
 * kept by instances that do not lead too, so that one that begins to lead knows the demand.
 */

#include "agent_links.h"

typedef struct bt_led_group bt_led_group_t;

/** What a leader may do with its groups now. */
typedef struct bt_led_turn
{
  int64_t now_ms;
  uint64_t fence;        /**< Of its lease. */
  int64_t hold_until_ms; /**< No group is held from then on. */
  int64_t plan_ms;       /**< Between two plans. */
  bool begins_rounds;    /**< False for one that is to hand over. */
} bt_led_turn_t;

/** Makes the record of the group that a report names; NULL when no map can have its sizes. */
bt_led_group_t *bt_new_led_group (bt_context_t *ctx,
                                  bt_agent_links_t *links,
                                  const bt_engine_t *engine,
                                  const bt_engine_report_t *report);

/** NULL is accepted. */
void bt_drop_led_group (bt_context_t *ctx, bt_led_group_t *group);

/** True when a report is of an engine of this group. */
bool bt_is_report_of_group (const bt_led_group_t *group, const bt_engine_report_t *report);

/** Begins to lead the group, knowing nothing of its map; ends it. */
void bt_begin_leading_group (bt_led_group_t *group, uint64_t fence);
void bt_end_leading_group (bt_led_group_t *group);

/** Takes in what an agent says of its engine, and how many requests that engine may run now. */
void bt_take_led_group_news (bt_led_group_t *group,
                             const bt_agent_news_t *news,
                             int32_t pass_limit,
                             int64_t now_ms);

/** True while a round is under way, or the group is not known whole. */
bool bt_is_led_round_open (const bt_led_group_t *group);

/** True while a round is under way, or what is left of one is taken back. */
bool bt_has_led_group_orders (const bt_led_group_t *group);

/** Plans, and sends what orders are due. False when an engine has seen a newer leader. */
bool bt_run_led_group (bt_led_group_t *group, const bt_led_turn_t *turn);

#endif
