#ifndef BILBERRYTRAY_BASE_THREAD_H
#define BILBERRYTRAY_BASE_THREAD_H

/** @file
 * Threads with a stack of a fixed size, whatever the limits of the process.
 */

#include <pthread.h>
#include <stdbool.h>

#include "bilberrytray/base/context.h"

/** Starts a thread. @p name is a literal that log lines give. Returns false and sets errno if the
 * thread can't be started. */
bool bt_start_thread (bt_context_t *ctx,
                      pthread_t *thread,
                      const char *name,
                      void *(*run) (void *argument),
                      void *argument);

/** Returns the name of the calling thread; "main" for one that bt_start_thread did not start. */
const char *bt_get_thread_name (void);

/** Returns true if an address lies around the end of the calling thread's stack, so that an access
 * to it failed because the stack is full. False for a thread that bt_start_thread did not start. */
bool bt_is_at_stack_end (const void *address);

#endif
