#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_THREAD_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_THREAD_H

/** @file
 * Threads that make calls of the platform's store, which may wait, so that the event loop need not.
 */

#include <pthread.h>
#include <stdbool.h>

#include "bilberrytray/base/context.h"

/** Starts a thread with a small stack; false, with a log line, when that fails. */
bool bt_start_store_thread (bt_context_t *ctx,
                            pthread_t *thread,
                            void *(*run) (void *argument),
                            void *argument);

#endif
