#ifndef BILBERRYTRAY_PAGE_LISTENER_H
#define BILBERRYTRAY_PAGE_LISTENER_H

/** @file
 * Stops an HTTP daemon from accepting connections, and reports what the HTTP library can't survive.
 */

#include "bilberrytray/base/context.h"

struct MHD_Daemon;

/** Closes the listening socket. Established connections are still served, including those that were
 * not yet accepted. A second call has no effect. For a daemon without threads of its own. */
void bt_close_listener (struct MHD_Daemon *daemon);

/** Like bt_close_listener, for a daemon with threads. The threads remove the socket from their poll
 * sets when they wake up, and libmicrohttpd aborts the process if the socket is closed before that.
 * So the socket is only shut down and returned; the caller closes it after the daemon has stopped.
 * Returns -1 when there is no listening socket. */
int bt_shutdown_listener (struct MHD_Daemon *daemon);

/** Makes the process log the event "process-ended" with the library's message when the HTTP library
 * ends it. To be called before the first daemon is started. */
void bt_report_http_panics (bt_context_t *ctx);

#endif
