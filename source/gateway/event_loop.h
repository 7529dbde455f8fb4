#ifndef BILBERRYTRAY_SOURCE_GATEWAY_EVENT_LOOP_H
#define BILBERRYTRAY_SOURCE_GATEWAY_EVENT_LOOP_H

/** @file
 * The event loop of the one thread that serves callers and endpoints: file descriptors, timers, and
 * tasks that other threads post. All functions except bt_post_task and bt_stop_event_loop must be
 * called on that thread.
 *
 * An entry instance has a quarter of a core. A single thread with epoll spends none of it on locks
 * and context switches, which a pool of worker threads would.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_event_loop bt_event_loop_t;

/** A watched file descriptor: embed it, set on_ready, and do not move it. @p events are epoll
 * events. */
typedef struct bt_watch
{
  void (*on_ready) (struct bt_watch *watch, uint32_t events);
  int fd;
} bt_watch_t;

/** A timer: embed it, zeroed, and set on_expiry. */
typedef struct bt_timer
{
  void (*on_expiry) (struct bt_timer *timer);
  int64_t at_ms;
  int32_t heap_index; /**< Index in the heap, from 1; 0 when the timer is not set. */
} bt_timer_t;

/** A task that another thread posts: embed it and set run. */
typedef struct bt_task
{
  void (*run) (struct bt_task *task);
  /** Frees the task without running it, when the loop is dropped before it has run; NULL: the
   * poster keeps it. Must not use anything that may be dropped before the loop. */
  void (*drop) (struct bt_task *task);
} bt_task_t;

/** A callback that runs once in each iteration of the loop, after events, tasks and timers. */
typedef struct bt_loop_hook
{
  void (*on_iteration) (struct bt_loop_hook *hook);
  struct bt_loop_hook *next;
} bt_loop_hook_t;

bt_event_loop_t *bt_new_event_loop (bt_context_t *ctx, bt_error_t *error);

/** NULL is accepted. Tasks that were not run are dropped with a log line. */
void bt_drop_event_loop (bt_context_t *ctx, bt_event_loop_t *loop);

/** Runs the loop until bt_stop_event_loop. */
void bt_run_event_loop (bt_event_loop_t *loop);

/** Makes bt_run_event_loop return soon. Can be called from any thread, but not from a signal
 * handler. */
void bt_stop_event_loop (bt_event_loop_t *loop);

/** Queues a task for the loop. Can be called from any thread. @return false when the queue is full;
 * the task is not taken. */
bool bt_post_task (bt_event_loop_t *loop, bt_task_t *task);

/** Watches watch->fd for the epoll events @p events, or changes which events are watched. */
void bt_set_watch (bt_event_loop_t *loop, bt_watch_t *watch, uint32_t events);

/** Stops watching a descriptor. Does nothing when it is not watched. */
void bt_clear_watch (bt_event_loop_t *loop, bt_watch_t *watch);

/** Starts a timer that expires at @p at_ms, or moves one that is set. */
void bt_set_timer (bt_event_loop_t *loop, bt_timer_t *timer, int64_t at_ms);

/** Clears a timer. Does nothing when it is not set. */
void bt_clear_timer (bt_event_loop_t *loop, bt_timer_t *timer);

/** Adds a callback for every iteration. It can't be removed. */
void bt_add_loop_hook (bt_event_loop_t *loop, bt_loop_hook_t *hook);

/** Makes the loop run its next iteration without waiting for events. */
void bt_request_loop_iteration (bt_event_loop_t *loop);

/** Returns the time at which the current iteration began, ms. */
int64_t bt_get_loop_ms (const bt_event_loop_t *loop);

/** Returns for how long events and timers have had to wait for the loop since its start, ms:
 * iterations that took long, and wake-ups that came late since the process got no processor time.
 * The difference between two times is what one request may have waited. */
int64_t bt_get_loop_behind_ms (const bt_event_loop_t *loop);

#endif
