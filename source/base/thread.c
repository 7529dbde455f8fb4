#include "bilberrytray/base/thread.h"

#include <errno.h>
#include <stdint.h>

#include "signal_stack.h"

enum
{
  THREAD_STACK_BYTES = 1 << 20,
  /* Distance from the end of a stack at which an access still belongs to it: the largest frame of a
   * function. */
  MAX_FRAME_BYTES = 65536,
};

/** What a new thread needs before it runs. */
typedef struct thread_start
{
  bt_context_t *ctx;
  const char *name;
  void *(*run) (void *argument);
  void *argument;
} thread_start_t;

static _Thread_local const char *thread_name = "main";
static _Thread_local uintptr_t stack_end; /* lowest address; 0: not known */

static uintptr_t
find_stack_end (void)
{
  pthread_attr_t attributes;
  void *end = NULL;
  size_t bytes;

  if (pthread_getattr_np (pthread_self (), &attributes) != 0)
    return 0;
  pthread_attr_getstack (&attributes, &end, &bytes);
  pthread_attr_destroy (&attributes);
  return (uintptr_t)end;
}

static void *
run_thread (void *data)
{
  thread_start_t start = *(thread_start_t *)data;
  void *signal_stack = bt_open_signal_stack ();
  void *result;

  bt_free (start.ctx, data);
  thread_name = start.name;
  stack_end = find_stack_end ();
  result = start.run (start.argument);
  bt_close_signal_stack (signal_stack);
  return result;
}

bool
bt_start_thread (bt_context_t *ctx,
                 pthread_t *thread,
                 const char *name,
                 void *(*run) (void *argument),
                 void *argument)
{
  thread_start_t *start = bt_calloc (ctx, 1, sizeof *start);
  pthread_attr_t attributes;
  int failure;

  *start = (thread_start_t){ ctx, name, run, argument };
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  failure = pthread_create (thread, &attributes, run_thread, start);
  pthread_attr_destroy (&attributes);
  if (failure == 0)
    return true;
  bt_free (ctx, start);
  errno = failure;
  return false;
}

const char *
bt_get_thread_name (void)
{
  return thread_name;
}

bool
bt_is_at_stack_end (const void *address)
{
  uintptr_t place = (uintptr_t)address;

  return stack_end != 0 && place + MAX_FRAME_BYTES >= stack_end
         && place < stack_end + MAX_FRAME_BYTES;
}
