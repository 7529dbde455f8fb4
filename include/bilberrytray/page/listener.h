#ifndef BILBERRYTRAY_PAGE_LISTENER_H
#define BILBERRYTRAY_PAGE_LISTENER_H

/** @file
 * The end of listening for HTTP callers.
 */

struct MHD_Daemon;

/** Lets nobody connect any more. Connections that were made before are still served, those too that
 * wait to be accepted. A second call changes nothing. */
void bt_close_listener (struct MHD_Daemon *daemon);

#endif
