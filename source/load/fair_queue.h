#ifndef BILBERRYTRAY_SOURCE_LOAD_FAIR_QUEUE_H
#define BILBERRYTRAY_SOURCE_LOAD_FAIR_QUEUE_H

/** @file
 * A bounded queue that serves the highest priority first and, within a priority, client accounts by
 * weighted fair queueing (start-time fair queueing). Entry and agent each have one.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

typedef struct bt_fair_queue bt_fair_queue_t;

/** One queued request. */
typedef struct bt_fair_item
{
  uint64_t id;        /**< Number assigned by the owner of the queue. */
  int32_t priority;   /**< A higher priority is served first. */
  int64_t give_up_ms; /**< Time from which starting it is useless, because it would miss its
                         deadline. */
  int64_t target_ms;  /**< Time from which starting it is too late for the caller's expectation but
                         still useful; 0: no expectation. */
  int64_t queued_ms;
  int32_t share; /**< Weight of its account; 0 counts as 1. */
  bool at_front; /**< Placed before the other items of its account with the same priority. */
} bt_fair_item_t;

bt_fair_queue_t *bt_new_fair_queue (bt_context_t *ctx, int32_t limit);
void bt_drop_fair_queue (bt_context_t *ctx, bt_fair_queue_t *queue);

/** Sets whether items that can still meet their caller's expectation are served before all late
 * ones, whatever their priorities. Then every eighth item served while a late one waits is the one
 * that has waited longest. A queue starts without. */
void bt_set_fair_queue_late_last (bt_fair_queue_t *queue, bool late_last);

/** Adds an item; returns false if the queue is full. */
bool bt_push_fair_item (bt_context_t *ctx,
                        bt_fair_queue_t *queue,
                        const char *name,
                        const bt_fair_item_t *item);

/** Returns true if an item can no longer meet its caller's expectation. */
bool bt_is_fair_item_late (const bt_fair_item_t *item, int64_t now_ms);

/** Removes the next item in fair order; returns false if there is none. At equal priority, items
 * that can still meet their caller's expectation are served before those that cannot. Under
 * overload, order of arrival alone would make every caller wait too long. */
bool bt_pop_fair_item (bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *item);

/** Removes an item whose give_up_ms has passed; returns false if there is none. */
bool bt_expire_fair_item (bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *item);

/** Removes one item by its number; returns false if it is not in the queue. */
bool bt_remove_fair_item (bt_fair_queue_t *queue, uint64_t id);

/** Removes the last item of the account with the most items, to make room for an item of account
 * @p name with @p priority. Considers only items of lower priority, and items of equal priority
 * whose account has more items than @p name would have with its new one. Returns false if there is
 * none. */
bool bt_evict_fair_item (bt_fair_queue_t *queue,
                         const char *name,
                         int32_t priority,
                         bt_fair_item_t *item);

int32_t bt_count_fair_items (const bt_fair_queue_t *queue);

/** Returns the number of late items. */
int32_t bt_count_late_fair_items (const bt_fair_queue_t *queue, int64_t now_ms);

/** Copies all late items to @p items, which has room for as many as the queue, the one that has
 * waited longest first. Returns their number. */
int32_t
bt_list_late_fair_items (const bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *items);

/** Copies the item that is not late, has the lowest priority below @p priority and was queued last.
 * Returns false if there is none. */
bool bt_find_last_fair_item (const bt_fair_queue_t *queue,
                             int32_t priority,
                             int64_t now_ms,
                             bt_fair_item_t *item);

/** Returns the number of items that would be served before a new one of this account, share and
 * priority. Late items that are served last are not counted. */
int32_t bt_count_fair_items_ahead (const bt_fair_queue_t *queue,
                                   const char *name,
                                   int32_t share,
                                   int32_t priority,
                                   int64_t now_ms);

/** Returns the number of items of one account that have at least this priority, without late ones
 * if these are served last. */
int32_t bt_count_fair_account_items (const bt_fair_queue_t *queue,
                                     const char *name,
                                     int32_t priority,
                                     int64_t now_ms);

#endif
