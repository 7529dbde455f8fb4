#ifndef BILBERRYTRAY_SOURCE_LOAD_FAIR_QUEUE_H
#define BILBERRYTRAY_SOURCE_LOAD_FAIR_QUEUE_H

/** @file
 * A bounded queue that serves the highest priority first and, within a priority, client accounts in
 * fair turns by their shares (start-time fair queueing). Entry and agent each hold one.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

typedef struct bt_fair_queue bt_fair_queue_t;

/** One waiting request. */
typedef struct bt_fair_item
{
  uint64_t id;        /**< The owner's number for it. */
  int32_t priority;   /**< Higher goes first. */
  int64_t give_up_ms; /**< Time from which starting it is of no use. */
  int64_t aim_ms; /**< Time from which starting it comes too late for what its caller expects, but
                       is still of use; 0: there is none. */
  int64_t queued_ms;
  int32_t share; /**< Weight of its account, from 1 up; 0 counts as 1. */
  bool first;    /**< Goes before its account's others of the same priority. */
} bt_fair_item_t;

bt_fair_queue_t *bt_new_fair_queue (bt_context_t *ctx, int32_t limit);
void bt_drop_fair_queue (bt_context_t *ctx, bt_fair_queue_t *queue);

/** Adds an item; false when the queue is full. */
bool bt_push_fair (bt_context_t *ctx,
                   bt_fair_queue_t *queue,
                   const char *name,
                   const bt_fair_item_t *item);

/** Takes the next item in turn; false when there is none. Of equal priority, items that can still
 * be served as their callers expect go before those that can't. When more comes than can be served,
 * serving in order of arrival alone makes every caller wait too long, one as much as the other. */
bool bt_pop_fair (bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *item);

/** Takes an item whose time to give up has come; false when there is none. */
bool bt_expire_fair (bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *item);

/** Takes out one item by its number; false when it isn't there. */
bool bt_remove_fair (bt_fair_queue_t *queue, uint64_t id);

/** Takes the last item of the account that has most waiting, to make place for one of the account
 * @p name and @p priority. False when that account has no fewer waiting, and nothing has less
 * priority. */
bool
bt_push_out_fair (bt_fair_queue_t *queue, const char *name, int32_t priority, bt_fair_item_t *item);

int32_t bt_count_fair (const bt_fair_queue_t *queue);

/** Items that would be served before a new one of this account, share and priority. */
int32_t bt_count_fair_ahead (const bt_fair_queue_t *queue,
                             const char *name,
                             int32_t share,
                             int32_t priority);

/** Items of one account. */
int32_t bt_count_fair_account (const bt_fair_queue_t *queue, const char *name);

#endif
