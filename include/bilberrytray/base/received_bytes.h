#ifndef BILBERRYTRAY_BASE_RECEIVED_BYTES_H
#define BILBERRYTRAY_BASE_RECEIVED_BYTES_H

/** @file
 * Counts the bytes that a connection has received, below the HTTP library.
 */

#include <stdint.h>

/** Returns how many bytes a TCP socket has received since it was opened; -1 if the system does not
 * tell. */
int64_t bt_count_received_bytes (int fd);

#endif
