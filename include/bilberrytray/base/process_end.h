#ifndef BILBERRYTRAY_BASE_PROCESS_END_H
#define BILBERRYTRAY_BASE_PROCESS_END_H

/** @file
 * The last log line of a process that a signal ends: the event "process-ended".
 */

#include "bilberrytray/base/context.h"

/** Logs the event when a signal such as SIGSEGV or SIGABRT ends the process, which then ends by
 * that signal as it would have. Signals that already have a handler are left alone. @p ctx must
 * outlive the process's other threads. */
void bt_install_end_handlers (bt_context_t *ctx);

/** Ends the process by SIGABRT, with a message in the event. Allocates no memory. */
void bt_end_process (bt_context_t *ctx, const char *format, ...)
    __attribute__ ((format (printf, 2, 3), noreturn));

/** Sets what the calling thread is reading, such as the key of an item, for the event. The text is
 * not copied; NULL: nothing. */
void bt_set_thread_subject (const char *subject);

#endif
