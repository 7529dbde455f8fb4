#ifndef BILBERRYTRAY_BASE_ADDRESS_H
#define BILBERRYTRAY_BASE_ADDRESS_H

/** @file
 * Addresses of the form "IP:PORT".
 */

#include <netinet/in.h>
#include <stdbool.h>

/** Reads "IP:PORT" (IPv4, port 0 to 65535) into @p address; false when it is malformed. */
bool bt_parse_address (const char *text, struct sockaddr_in *address);

/** True for an "IP:PORT" that one can connect to, in digits only: neither an address of no machine
 * nor port 0. For what others wrote. */
bool bt_is_peer_address (const char *text);

#endif
