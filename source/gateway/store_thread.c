#include "store_thread.h"

#include <errno.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/thread.h"

bool
bt_start_store_thread (bt_context_t *ctx,
                       pthread_t *thread,
                       const char *name,
                       void *(*run) (void *argument),
                       void *argument)
{
  if (bt_start_thread (ctx, thread, name, run, argument))
    return true;
  bt_log_event (ctx, BT_LOG_ERROR, "thread-failed", "{s:s, s:s}", "thread", name, "message",
                strerror (errno));
  return false;
}
