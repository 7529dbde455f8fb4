#ifndef BILBERRYTRAY_PAGE_LISTENER_H
#define BILBERRYTRAY_PAGE_LISTENER_H

/** @file
 * The end of listening for HTTP callers.
 */

struct MHD_Daemon;

/** Lets nobody connect any more. Connections that were made before are still served, those too that
 * wait to be accepted. A second call changes nothing. For a daemon without threads of its own. */
void bt_close_listener (struct MHD_Daemon *daemon);

/** The same for a daemon with threads. They take the socket out of their sets when they wake up,
 * and the library aborts the process when it is closed by then: it is returned, to be closed behind
 * the end of the daemon. -1 when there is none. */
int bt_shut_listener (struct MHD_Daemon *daemon);

#endif
