#ifndef BILBERRYTRAY_LOAD_BUFFER_BUDGET_H
#define BILBERRYTRAY_LOAD_BUFFER_BUDGET_H

/** @file
 * A budget of the bytes that are buffered for callers. It decides which calls are behind, so that
 * the transfers of their answers are paused, which of them to end when the budget is exceeded, and
 * whether a request body still fits.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_buffer_budget bt_buffer_budget_t;

/** Settings of a budget. */
typedef struct bt_buffer_budget_options
{
  int64_t call_bytes;  /**< A call is behind when more bytes than this wait for its caller. */
  int64_t total_bytes; /**< Bound on the buffered bytes of all calls; 0: none. */
} bt_buffer_budget_options_t;

/** One call: embed it, zeroed, and do not move it. The fields are read-only for callers. */
typedef struct bt_buffered_call
{
  int64_t waiting_bytes; /**< Bytes of the answer that its caller can take and has not taken. */
  int64_t other_bytes;   /**< The request body, and parts of the answer that can't be taken yet. */
  int64_t progress_ms;   /**< When the caller last took bytes, or bytes began to wait. */
  bool behind;           /**< Set above call_bytes, cleared below half of it. */
  struct bt_buffered_call *next; /**< In the list of the calls that are behind. */
  struct bt_buffered_call *previous;
} bt_buffered_call_t;

bt_buffer_budget_t *bt_new_buffer_budget (bt_context_t *ctx,
                                          const bt_buffer_budget_options_t *options);

/** All calls must have been removed. NULL is accepted. */
void bt_drop_buffer_budget (bt_context_t *ctx, bt_buffer_budget_t *budget);

/** Records that @p bytes more bytes of the answer wait for the caller. @return true if the call is
 * behind from now on. */
bool bt_add_waiting_bytes (bt_buffer_budget_t *budget,
                           bt_buffered_call_t *call,
                           int64_t bytes,
                           int64_t now_ms);

/** Records that the caller has taken @p bytes bytes. @return true if the call is no longer behind
 * from now on. */
bool bt_take_waiting_bytes (bt_buffer_budget_t *budget,
                            bt_buffered_call_t *call,
                            int64_t bytes,
                            int64_t now_ms);

/** Sets the number of buffered bytes of the call that do not wait for its caller. */
void bt_set_other_bytes (bt_buffer_budget_t *budget, bt_buffered_call_t *call, int64_t bytes);

/** Removes the bytes that wait for the caller. */
void bt_discard_waiting_bytes (bt_buffer_budget_t *budget, bt_buffered_call_t *call);

/** Removes all bytes of a call that ends. */
void bt_remove_buffered_call (bt_buffer_budget_t *budget, bt_buffered_call_t *call);

/** Returns true if the buffer of a request body, of @p held_bytes bytes, may grow by @p bytes. A
 * body of up to call_bytes always fits, so that small requests are served while large buffers
 * exceed the bound. The bytes that wait for callers that are behind count as free, since these
 * calls are ended first. */
bool bt_may_buffer_body (const bt_buffer_budget_t *budget, int64_t held_bytes, int64_t bytes);

/** Returns the call to end: the one whose caller has made no progress for the longest time among
 * those that are behind, of equal ones the one with the most buffered bytes. Returns NULL while the
 * bound is kept, or when no call is behind. */
bt_buffered_call_t *bt_find_call_to_end (const bt_buffer_budget_t *budget);

/** Returns true while more bytes are buffered than the bound allows. */
bool bt_is_buffer_budget_exceeded (const bt_buffer_budget_t *budget);

/** Returns the buffered bytes of all calls. */
int64_t bt_get_buffered_bytes (const bt_buffer_budget_t *budget);

#endif
