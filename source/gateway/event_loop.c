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
  EVENTS_AT_ONCE = 64,
  TASK_ROOM = 1024,
  FIRST_TIMERS = 64,
  /* Maximum wait for events, ms. */
  LONGEST_SLEEP_MS = 60000,
};

struct bt_event_loop
{
  bt_context_t *ctx;
  int epoll_fd;
  bt_watch_t wake; /* an eventfd: signalled when a task is posted or the loop is to stop */
  bt_queue_t *tasks;
  atomic_bool stopping;
  bt_timer_t **timers; /* a min-heap by at_ms: timers[1] expires next */
  int32_t timer_count;
  int32_t timer_room;
  bt_turn_t *turns;
  bool hurried;
  int64_t now_ms;
};

static void
take_wake (bt_watch_t *watch, uint32_t events)
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
  loop->tasks = bt_new_queue (ctx, TASK_ROOM);
  loop->timer_room = FIRST_TIMERS;
  loop->timers = bt_calloc (ctx, FIRST_TIMERS, sizeof (bt_timer_t *));
  loop->now_ms = bt_now_ms (ctx);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake.fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  loop->wake.on_ready = take_wake;
  if (loop->epoll_fd < 0 || loop->wake.fd < 0)
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Can't make an event loop: %s", strerror (errno));
      bt_drop_event_loop (ctx, loop);
      return NULL;
    }
  bt_set_watch (loop, &loop->wake, EPOLLIN);
  return loop;
}

void
bt_drop_event_loop (bt_context_t *ctx, bt_event_loop_t *loop)
{
  if (loop == NULL)
    return;
  if (bt_pop_queue (loop->tasks) != NULL)
    bt_log (ctx, BT_LOG_WARNING, BT_PART_MAIN, "Tasks were left when the event loop ended.");
  if (loop->epoll_fd >= 0)
    close (loop->epoll_fd);
  if (loop->wake.fd >= 0)
    close (loop->wake.fd);
  bt_drop_queue (ctx, loop->tasks);
  bt_free (ctx, loop->timers);
  bt_free (ctx, loop);
}

static void
wake_loop (bt_event_loop_t *loop)
{
  const uint64_t one = 1;

  if (write (loop->wake.fd, &one, sizeof one) < 0 && errno != EAGAIN)
    bt_log (loop->ctx, BT_LOG_ERROR, BT_PART_MAIN, "Can't wake the event loop: %s",
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
    bt_log (loop->ctx, BT_LOG_ERROR, BT_PART_MAIN, "Can't watch descriptor %d: %s", watch->fd,
            strerror (errno));
}

void
bt_clear_watch (bt_event_loop_t *loop, bt_watch_t *watch)
{
  /* A descriptor that its owner has closed is no longer in the epoll set. */
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
}

static void
put_timer (bt_event_loop_t *loop, bt_timer_t *timer, int32_t place)
{
  loop->timers[place] = timer;
  timer->place = place;
}

static void
raise_timer (bt_event_loop_t *loop, bt_timer_t *timer)
{
  int32_t place = timer->place;

  while (place > 1 && loop->timers[place / 2]->at_ms > timer->at_ms)
    {
      put_timer (loop, loop->timers[place / 2], place);
      place /= 2;
    }
  put_timer (loop, timer, place);
}

static void
sink_timer (bt_event_loop_t *loop, bt_timer_t *timer)
{
  int32_t place = timer->place;

  while (2 * place <= loop->timer_count)
    {
      int32_t child = 2 * place;

      if (child < loop->timer_count && loop->timers[child + 1]->at_ms < loop->timers[child]->at_ms)
        child++;
      if (loop->timers[child]->at_ms >= timer->at_ms)
        break;
      put_timer (loop, loop->timers[child], place);
      place = child;
    }
  put_timer (loop, timer, place);
}

void
bt_set_timer (bt_event_loop_t *loop, bt_timer_t *timer, int64_t at_ms)
{
  bt_clear_timer (loop, timer);
  if (loop->timer_count + 2 > loop->timer_room)
    {
      loop->timer_room *= 2;
      loop->timers =
          bt_realloc (loop->ctx, loop->timers, (size_t)loop->timer_room, sizeof (bt_timer_t *));
    }
  timer->at_ms = at_ms;
  put_timer (loop, timer, ++loop->timer_count);
  raise_timer (loop, timer);
}

void
bt_clear_timer (bt_event_loop_t *loop, bt_timer_t *timer)
{
  int32_t place = timer->place;
  bt_timer_t *last;

  if (place == 0)
    return;
  timer->place = 0;
  last = loop->timers[loop->timer_count--];
  if (last == timer)
    return;
  put_timer (loop, last, place);
  raise_timer (loop, last);
  sink_timer (loop, last);
}

void
bt_add_turn (bt_event_loop_t *loop, bt_turn_t *turn)
{
  turn->next = loop->turns;
  loop->turns = turn;
}

void
bt_hurry_event_loop (bt_event_loop_t *loop)
{
  loop->hurried = true;
}

int64_t
bt_get_loop_ms (const bt_event_loop_t *loop)
{
  return loop->now_ms;
}

static int
get_sleep_ms (const bt_event_loop_t *loop)
{
  int64_t sleep_ms = LONGEST_SLEEP_MS;

  if (loop->hurried)
    return 0;
  if (loop->timer_count > 0)
    sleep_ms = loop->timers[1]->at_ms - bt_now_ms (loop->ctx);
  if (sleep_ms < 0)
    return 0;
  return sleep_ms > LONGEST_SLEEP_MS ? LONGEST_SLEEP_MS : (int)sleep_ms;
}

static void
run_timers (bt_event_loop_t *loop)
{
  while (loop->timer_count > 0 && loop->timers[1]->at_ms <= loop->now_ms)
    {
      bt_timer_t *timer = loop->timers[1];

      bt_clear_timer (loop, timer);
      timer->on_time (timer);
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
  struct epoll_event events[EVENTS_AT_ONCE];

  while (!atomic_load (&loop->stopping))
    {
      int count = epoll_wait (loop->epoll_fd, events, EVENTS_AT_ONCE, get_sleep_ms (loop));

      loop->now_ms = bt_now_ms (loop->ctx);
      loop->hurried = false;
      for (int i = 0; i < count; i++)
        {
          bt_watch_t *watch = events[i].data.ptr;

          watch->on_ready (watch, events[i].events);
        }
      run_tasks (loop);
      run_timers (loop);
      for (bt_turn_t *turn = loop->turns; turn != NULL; turn = turn->next)
        turn->on_turn (turn);
    }
}
