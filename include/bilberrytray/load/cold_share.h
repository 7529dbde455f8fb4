#ifndef BILBERRYTRAY_LOAD_COLD_SHARE_H
#define BILBERRYTRAY_LOAD_COLD_SHARE_H

/** @file
 * How often one entry may send a request to a cold endpoint, which has just started and tolerates
 * only a few requests per second from all entries together.
 *
 * The rate is divided without a message between the entries. If there are more entries than
 * requests in a second, rendezvous hashing decides which of them may use the endpoint.
 */

#include "bilberrytray/core/identity.h"

/** Returns the least interval between two requests of an entry to a cold endpoint, in ms; 0 if it
 * must send none. @p entries are the names of all listed entries, @p per_s the requests per second
 * that the endpoint tolerates, above 0. An entry that is not listed must send none: it does not
 * know how many there are. */
int64_t bt_get_cold_interval_ms (const char *endpoint,
                                 const char *instance,
                                 const char *const *entries,
                                 int32_t count,
                                 double per_s);

#endif
