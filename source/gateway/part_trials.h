#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PART_TRIALS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PART_TRIALS_H

/** @file
 * Takes trials of held parts from the count that all instances share: a write to the platform's
 * store that succeeds only if no other instance took the trial meanwhile. Runs on a thread of its
 * own, one trial at a time.
 */

#include "bilberrytray/gateway/platform.h"
#include "bilberrytray/requests/part_table.h"
#include "event_loop.h"

typedef struct bt_part_trials bt_part_trials_t;
typedef struct bt_part_trials_handler bt_part_trials_handler_t;

struct bt_part_trials_handler
{
  /** A trial was taken for @p request, or not. Called on the event loop. @p mark is what was to be
   * written. */
  void (*on_trial) (bt_part_trials_handler_t *handler,
                    uint64_t request,
                    const bt_part_mark_t *mark,
                    bool granted);
};

/** @p store is the store's "IP:PORT". */
bt_part_trials_t *bt_new_part_trials (bt_context_t *ctx,
                                      bt_event_loop_t *loop,
                                      const bt_platform_t *platform,
                                      const char *store,
                                      bt_part_trials_handler_t *handler);

/** Stops the thread; the handler is not called afterwards. NULL is accepted. */
void bt_drop_part_trials (bt_context_t *ctx, bt_part_trials_t *trials);

/** Starts to write @p mark if the present one still has @p revision. Returns false if another write
 * is in progress. */
bool bt_take_part_trial (bt_part_trials_t *trials,
                         uint64_t request,
                         const bt_part_mark_t *mark,
                         int64_t revision);

#endif
