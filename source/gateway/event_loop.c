#include "event_loop.h"

#include <errno.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "bilberrytray/base/log.h"
#include "bilberrytray/base/queue.h"

enum
{
  MAX_EVENTS_PER_WAIT = 64,
  TASK_QUEUE_CAPACITY = 1024,
  INITIAL_TIMER_CAPACITY = 64,
  /* Maximum wait for events, ms. */
  MAX_WAIT_MS = 60000,
  /* Shorter iterations and delays are usual. */
  MIN_BEHIND_MS = 10,
};

struct bt_event_loop
{
  bt_context_t *ctx;
  int epoll_fd;
  bt_watch_t wakeup_watch; /* an eventfd: signalled when a task is posted or the loop is to stop */
  bt_queue_t *tasks;
  atomic_bool stopping;
  bt_timer_t **timers; /* a min-heap by at_ms: timers[1] expires next */
  int32_t timer_count;
  int32_t timer_capacity;
  bt_loop_hook_t *hooks;
  bool iteration_requested;
  int64_t now_ms;
  int64_t behind_ms; /* sum of the times for which events had to wait */
};

static void
drain_wakeup (bt_watch_t *watch, uint32_t events)
{
  uint64_t count;

  if (read (watch->fd, &count, sizeof count) < 0 && errno != EAGAIN)
    return;
}

bt_event_loop_t *
bt_new_event_loop (bt_context_t *ctx, bt_error_t *error)
{
  bt_event_loop_t *loop = bt_calloc (ctx, 1, sizeof *loop);

  loop->ctx = ctx;
  loop->tasks = bt_new_queue (ctx, TASK_QUEUE_CAPACITY);
  loop->timer_capacity = INITIAL_TIMER_CAPACITY;
  loop->timers = bt_calloc (ctx, INITIAL_TIMER_CAPACITY, sizeof (bt_timer_t *));
  loop->now_ms = bt_now_ms (ctx);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wakeup_watch.fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  loop->wakeup_watch.on_ready = drain_wakeup;
  if (loop->epoll_fd < 0 || loop->wakeup_watch.fd < 0)
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot create the event loop: %s", strerror (errno));
      bt_drop_event_loop (ctx, loop);
      return NULL;
    }
  bt_set_watch (loop, &loop->wakeup_watch, EPOLLIN);
  return loop;
}

/* Threads may post tasks until their owners are dropped, which is after the loop has ended. */
static void
drop_queued_tasks (bt_context_t *ctx, bt_event_loop_t *loop)
{
  bt_task_t *task;

  while ((task = bt_pop_queue (loop->tasks)) != NULL)
    if (task->drop != NULL)
      task->drop (task);
    else
      bt_log (ctx, BT_LOG_WARNING, BT_PART_MAIN, "The event loop ended with a task still queued.");
}

void
bt_drop_event_loop (bt_context_t *ctx, bt_event_loop_t *loop)
{
  if (loop == NULL)
    return;
  drop_queued_tasks (ctx, loop);
  if (loop->epoll_fd >= 0)
    close (loop->epoll_fd);
  if (loop->wakeup_watch.fd >= 0)
    close (loop->wakeup_watch.fd);
  bt_drop_queue (ctx, loop->tasks);
  bt_free (ctx, loop->timers);
  bt_free (ctx, loop);
}

static void
wake_loop (bt_event_loop_t *loop)
{
  const uint64_t one = 1;

  if (write (loop->wakeup_watch.fd, &one, sizeof one) < 0 && errno != EAGAIN)
    bt_log (loop->ctx, BT_LOG_ERROR, BT_PART_MAIN, "Cannot wake the event loop: %s",
            strerror (errno));
}

void
bt_stop_event_loop (bt_event_loop_t *loop)
{
  atomic_store (&loop->stopping, true);
  wake_loop (loop);
}

bool
bt_post_task (bt_event_loop_t *loop, bt_task_t *task)
{
  if (!bt_push_queue (loop->tasks, task))
    return false;
  wake_loop (loop);
  return true;
}

void
bt_set_watch (bt_event_loop_t *loop, bt_watch_t *watch, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = watch };

  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &event) == 0)
    return;
  if (errno != EEXIST || epoll_ctl (loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event) != 0)
    bt_log (loop->ctx, BT_LOG_ERROR, BT_PART_MAIN, "Cannot watch file descriptor %d: %s", watch->fd,
            strerror (errno));
}

void
bt_clear_watch (bt_event_loop_t *loop, bt_watch_t *watch)
{
  /* A descriptor that its owner has closed is no longer in the epoll set. */
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
}

static void
set_heap_entry (bt_event_loop_t *loop, bt_timer_t *timer, int32_t heap_index)
{
  loop->timers[heap_index] = timer;
  timer->heap_index = heap_index;
}

static void
sift_up_timer (bt_event_loop_t *loop, bt_timer_t *timer)
{
  int32_t heap_index = timer->heap_index;

  while (heap_index > 1 && loop->timers[heap_index / 2]->at_ms > timer->at_ms)
    {
      set_heap_entry (loop, loop->timers[heap_index / 2], heap_index);
      heap_index /= 2;
    }
  set_heap_entry (loop, timer, heap_index);
}

static void
sift_down_timer (bt_event_loop_t *loop, bt_timer_t *timer)
{
  int32_t heap_index = timer->heap_index;

  while (2 * heap_index <= loop->timer_count)
    {
      int32_t child = 2 * heap_index;

      if (child < loop->timer_count && loop->timers[child + 1]->at_ms < loop->timers[child]->at_ms)
        child++;
      if (loop->timers[child]->at_ms >= timer->at_ms)
        break;
      set_heap_entry (loop, loop->timers[child], heap_index);
      heap_index = child;
    }
  set_heap_entry (loop, timer, heap_index);
}

void
bt_set_timer (bt_event_loop_t *loop, bt_timer_t *timer, int64_t at_ms)
{
  bt_clear_timer (loop, timer);
  if (loop->timer_count + 2 > loop->timer_capacity)
    {
      loop->timer_capacity *= 2;
      loop->timers =
          bt_realloc (loop->ctx, loop->timers, (size_t)loop->timer_capacity, sizeof (bt_timer_t *));
    }
  timer->at_ms = at_ms;
  set_heap_entry (loop, timer, ++loop->timer_count);
  sift_up_timer (loop, timer);
}

void
bt_clear_timer (bt_event_loop_t *loop, bt_timer_t *timer)
{
  int32_t heap_index = timer->heap_index;
  bt_timer_t *last;

  if (heap_index == 0)
    return;
  timer->heap_index = 0;
  last = loop->timers[loop->timer_count--];
  if (last == timer)
    return;
  set_heap_entry (loop, last, heap_index);
  sift_up_timer (loop, last);
  sift_down_timer (loop, last);
}

void
bt_add_loop_hook (bt_event_loop_t *loop, bt_loop_hook_t *hook)
{
  hook->next = loop->hooks;
  loop->hooks = hook;
}

void
bt_request_loop_iteration (bt_event_loop_t *loop)
{
  loop->iteration_requested = true;
}

int64_t
bt_get_loop_ms (const bt_event_loop_t *loop)
{
  return loop->now_ms;
}

int64_t
bt_get_loop_behind_ms (const bt_event_loop_t *loop)
{
  return loop->behind_ms;
}

static void
add_behind (bt_event_loop_t *loop, int64_t late_ms)
{
  if (late_ms >= MIN_BEHIND_MS)
    loop->behind_ms += late_ms;
}

/* Counts the time by which the loop woke up after its next timer was due. A timer that became due
 * before the wait began at @p wait_began_ms was delayed by the last iteration, which was counted.
 */
static void
count_late_wakeup (bt_event_loop_t *loop, int64_t wait_began_ms)
{
  int64_t due_ms;

  if (loop->timer_count == 0)
    return;
  due_ms = loop->timers[1]->at_ms;
  add_behind (loop, loop->now_ms - (due_ms > wait_began_ms ? due_ms : wait_began_ms));
}

static int
get_wait_ms (const bt_event_loop_t *loop, int64_t now_ms)
{
  int64_t wait_ms = MAX_WAIT_MS;

  if (loop->iteration_requested)
    return 0;
  if (loop->timer_count > 0)
    wait_ms = loop->timers[1]->at_ms - now_ms;
  if (wait_ms < 0)
    return 0;
  return wait_ms > MAX_WAIT_MS ? MAX_WAIT_MS : (int)wait_ms;
}

static void
run_timers (bt_event_loop_t *loop)
{
  while (loop->timer_count > 0 && loop->timers[1]->at_ms <= loop->now_ms)
    {
      bt_timer_t *timer = loop->timers[1];

      bt_clear_timer (loop, timer);
      timer->on_expiry (timer);
    }
}

static void
run_tasks (bt_event_loop_t *loop)
{
  bt_task_t *task;

  while ((task = bt_pop_queue (loop->tasks)) != NULL)
    task->run (task);
}

void
bt_run_event_loop (bt_event_loop_t *loop)
{
  struct epoll_event events[MAX_EVENTS_PER_WAIT];
  int64_t ended_ms = bt_now_ms (loop->ctx); /* of the last iteration */

  while (!atomic_load (&loop->stopping))
    {
      int count =
          epoll_wait (loop->epoll_fd, events, MAX_EVENTS_PER_WAIT, get_wait_ms (loop, ended_ms));

      loop->now_ms = bt_now_ms (loop->ctx);
      count_late_wakeup (loop, ended_ms);
      loop->iteration_requested = false;
      for (int i = 0; i < count; i++)
        {
          bt_watch_t *watch = events[i].data.ptr;

          watch->on_ready (watch, events[i].events);
        }
      run_tasks (loop);
      run_timers (loop);
      for (bt_loop_hook_t *hook = loop->hooks; hook != NULL; hook = hook->next)
        hook->on_iteration (hook);
      ended_ms = bt_now_ms (loop->ctx);
      add_behind (loop, ended_ms - loop->now_ms);
    }
}
