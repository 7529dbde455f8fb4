#ifndef BILBERRYTRAY_SOURCE_GATEWAY_EVENT_LOOP_H
#define BILBERRYTRAY_SOURCE_GATEWAY_EVENT_LOOP_H

/** @file
 * The one thread that serves callers and endpoints: file descriptors, timers, and tasks that other
 * threads hand over. Everything but bt_post_loop and bt_stop_loop is called on that thread.
 *
 * An entry instance has a quarter of a core. One thread over epoll spends none of it on locks and
 * on switches between threads, which a pool of workers would.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_event_loop bt_event_loop_t;

/** A descriptor that is watched: embed it, set on_ready, and do not move it. @p events are those of
 * epoll. */
typedef struct bt_watch
{
  void (*on_ready) (struct bt_watch *watch, uint32_t events);
  int fd;
} bt_watch_t;

/** A timer: embed it, zeroed, and set on_time. */
typedef struct bt_timer
{
  void (*on_time) (struct bt_timer *timer);
  int64_t at_ms;
  int32_t place; /**< In the heap, from 1; 0 when it is not set. */
} bt_timer_t;

/** Work from another thread: embed it and set run. */
typedef struct bt_task
{
  void (*run) (struct bt_task *task);
} bt_task_t;

/** Something that is done once in each turn of the loop, after its events. */
typedef struct bt_turn
{
  void (*on_turn) (struct bt_turn *turn);
  struct bt_turn *next;
} bt_turn_t;

bt_event_loop_t *bt_new_event_loop (bt_context_t *ctx, bt_error_t *error);

/** NULL is accepted. Tasks that were not run are dropped with a log line. */
void bt_drop_event_loop (bt_context_t *ctx, bt_event_loop_t *loop);

/** Serves until bt_stop_loop. */
void bt_run_event_loop (bt_event_loop_t *loop);

/** Ends bt_run_event_loop soon. From any thread, but not from a signal handler. */
void bt_stop_event_loop (bt_event_loop_t *loop);

/** Has the loop run a task. From any thread. False when too many wait; the task is not taken. */
bool bt_post_task (bt_event_loop_t *loop, bt_task_t *task);

/** Watches watch->fd for @p events of epoll, or changes what is watched. */
void bt_set_watch (bt_event_loop_t *loop, bt_watch_t *watch, uint32_t events);

/** Stops watching. Nothing happens when it was not watched. */
void bt_clear_watch (bt_event_loop_t *loop, bt_watch_t *watch);

/** Sets or moves a timer. */
void bt_set_timer (bt_event_loop_t *loop, bt_timer_t *timer, int64_t at_ms);

/** Clears a timer. Nothing happens when it was not set. */
void bt_clear_timer (bt_event_loop_t *loop, bt_timer_t *timer);

/** Adds something to be done in every turn. It stays for good. */
void bt_add_turn (bt_event_loop_t *loop, bt_turn_t *turn);

/** Has the loop take another turn at once. */
void bt_hurry_event_loop (bt_event_loop_t *loop);

/** The time at which the loop's present turn began, ms. */
int64_t bt_get_loop_ms (const bt_event_loop_t *loop);

#endif
