#include <CUnit/Basic.h>

#include "event_loop.h"

/** A task that counts its calls. */
typedef struct counted_task
{
  bt_task_t task;
  int32_t runs;
  int32_t drops;
} counted_task_t;

static void
count_run (bt_task_t *task)
{
  ((counted_task_t *)task)->runs++;
}

static void
count_drop (bt_task_t *task)
{
  ((counted_task_t *)task)->drops++;
}

/* Guards against leaking tasks that a thread posts between the end of the loop and its drop. */
static void
test_queued_tasks_are_dropped_with_the_loop (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_error_t error = { 0 };
  bt_event_loop_t *loop = bt_new_event_loop (ctx, &error);
  counted_task_t tasks[3] = { 0 };

  for (int32_t i = 0; i < 3; i++)
    {
      tasks[i].task.run = count_run;
      tasks[i].task.drop = count_drop;
      CU_ASSERT_TRUE (bt_post_task (loop, &tasks[i].task));
    }
  bt_drop_event_loop (ctx, loop);
  for (int32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (tasks[i].runs, 0);
      CU_ASSERT_EQUAL (tasks[i].drops, 1);
    }
  bt_drop_context (ctx);
}

enum
{
  START_MS = 1000,
  SLOW_MS = 50,
  STEP_MS = 15,
  DUE_MS = 20, /* a second timer, due while the first one's callback still runs */
};

/** A timer whose callback takes time on a fake clock, and ends the loop if it is the last. */
typedef struct slow_timer
{
  bt_timer_t timer;
  bt_fake_clock_t *clock;
  bt_event_loop_t *loop;
  int64_t takes_ms;
  bool is_last;
} slow_timer_t;

static void
take_time (bt_timer_t *timer)
{
  slow_timer_t *slow = (slow_timer_t *)timer;

  slow->clock->now_ms += slow->takes_ms;
  if (slow->is_last)
    bt_stop_event_loop (slow->loop);
}

/* Guards against a callback that took long and is not seen, or is counted twice: it delays the next
 * timer as well. */
static void
test_time_behind_is_counted_once (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_error_t error = { 0 };
  bt_fake_clock_t clock;
  bt_event_loop_t *loop;
  slow_timer_t slow;
  slow_timer_t last;

  bt_init_fake_clock (&clock, START_MS);
  bt_set_context_clock (ctx, &clock.base);
  loop = bt_new_event_loop (ctx, &error);
  slow = (slow_timer_t){ { .on_expiry = take_time }, &clock, loop, SLOW_MS, false };
  last = (slow_timer_t){ { .on_expiry = take_time }, &clock, loop, 0, true };
  bt_set_timer (loop, &slow.timer, START_MS);
  bt_set_timer (loop, &last.timer, START_MS + DUE_MS);
  bt_run_event_loop (loop);
  CU_ASSERT_EQUAL (bt_get_loop_behind_ms (loop), SLOW_MS);
  bt_drop_event_loop (ctx, loop);
  bt_drop_context (ctx);
}

/** A clock that moves on by STEP_MS with each reading, as for a process that gets no processor time
 * between any two of them. */
typedef struct stepping_clock
{
  bt_clock_t base;
  int64_t now_ms;
} stepping_clock_t;

static int64_t
step_clock (bt_clock_t *clock)
{
  return ((stepping_clock_t *)clock)->now_ms += STEP_MS;
}

static const bt_clock_vtable_t stepping_vtable = { step_clock };

static void
stop_loop (bt_timer_t *timer)
{
  bt_stop_event_loop (((slow_timer_t *)timer)->loop);
}

/* Guards against a wake-up that comes late, since the process did not run, and is not seen: the
 * timer was due STEP_MS before it, and the iteration itself took STEP_MS. */
static void
test_late_wakeup_is_counted (void)
{
  stepping_clock_t clock = { { &stepping_vtable }, START_MS };
  bt_context_t *ctx = bt_new_context ();
  bt_error_t error = { 0 };
  bt_event_loop_t *loop;
  slow_timer_t last = { .timer = { .on_expiry = stop_loop } };

  bt_set_context_clock (ctx, &clock.base);
  loop = bt_new_event_loop (ctx, &error);
  last.loop = loop;
  bt_set_timer (loop, &last.timer, START_MS);
  bt_run_event_loop (loop);
  CU_ASSERT_EQUAL (bt_get_loop_behind_ms (loop), STEP_MS + STEP_MS);
  bt_drop_event_loop (ctx, loop);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("event_loop", NULL, NULL);
  CU_ADD_TEST (suite, test_queued_tasks_are_dropped_with_the_loop);
  CU_ADD_TEST (suite, test_time_behind_is_counted_once);
  CU_ADD_TEST (suite, test_late_wakeup_is_counted);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
