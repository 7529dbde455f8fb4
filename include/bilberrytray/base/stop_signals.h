#ifndef BILBERRYTRAY_BASE_STOP_SIGNALS_H
#define BILBERRYTRAY_BASE_STOP_SIGNALS_H

/** @file
 * The signals that operators send to a process that serves: SIGTERM and SIGINT stop it, SIGHUP is
 * logged.
 */

#include <pthread.h>
#include <stdbool.h>

#include "bilberrytray/base/context.h"

/** Blocks these signals in the calling thread and in those that it starts, and ignores SIGPIPE. To
 * be called before the first thread is started. */
void bt_block_stop_signals (void);

/** Waits for a signal that stops the process. Returns false if bt_end_stop_wait ended the wait. */
bool bt_wait_stop_signal (bt_context_t *ctx);

/** Ends the wait of a thread. */
void bt_end_stop_wait (pthread_t thread);

#endif
