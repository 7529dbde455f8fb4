#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_THREAD_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_THREAD_H

/** @file
 * Threads for blocking calls to the platform's store, so that the event loop does not block.
 */

#include <pthread.h>
#include <stdbool.h>

#include "bilberrytray/base/context.h"

/** Does the same as bt_start_thread, and logs an error if that fails. */
bool bt_start_store_thread (bt_context_t *ctx,
                            pthread_t *thread,
                            const char *name,
                            void *(*run) (void *argument),
                            void *argument);

#endif
