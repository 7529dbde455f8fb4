#include "store_thread.h"

#include "bilberrytray/base/event_log.h"

enum
{
  THREAD_STACK_BYTES = 256 * 1024,
};

bool
bt_start_store_thread (bt_context_t *ctx,
                       pthread_t *thread,
                       void *(*run) (void *argument),
                       void *argument)
{
  pthread_attr_t attributes;
  bool started;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  started = pthread_create (thread, &attributes, run, argument) == 0;
  if (!started)
    bt_log_event (ctx, BT_LOG_ERROR, "thread-failed", "{s:s}", "message",
                  "A thread for the store could not be started.");
  pthread_attr_destroy (&attributes);
  return started;
}
