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

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("event_loop", NULL, NULL);
  CU_ADD_TEST (suite, test_queued_tasks_are_dropped_with_the_loop);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
