#ifndef BILBERRYTRAY_BASE_ADDRESS_H
#define BILBERRYTRAY_BASE_ADDRESS_H

/** @file
 * Addresses of the form "IP:PORT".
 */

#include <netinet/in.h>
#include <stdbool.h>

/** Reads "IP:PORT" (IPv4, port 0 to 65535) into @p address; false when it is malformed. */
bool bt_parse_address (const char *text, struct sockaddr_in *address);

/** Checks an address that was received from a peer. True for an "IP:PORT" in digits that can be
 * connected to: the address is not 0.0.0.0 and the port is not 0. */
bool bt_is_peer_address (const char *text);

#endif
