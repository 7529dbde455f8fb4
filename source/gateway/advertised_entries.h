#ifndef BILBERRYTRAY_SOURCE_GATEWAY_ADVERTISED_ENTRIES_H
#define BILBERRYTRAY_SOURCE_GATEWAY_ADVERTISED_ENTRIES_H

/** @file
 * Selects the entry instances that are advertised to a caller if one answer can't hold all of them:
 * those of the caller's failure domain first, then those of the domains that follow it in the order
 * of their names. Callers of one domain always get the same selection, and over all domains each
 * instance is advertised about equally often. Otherwise the first instances in the list would serve
 * nearly all callers, and the last ones none. Uses no sockets, threads or clocks.
 */

#include "view.h"

/** Moves the entries to advertise to a caller in @p domain to the front of @p entries, and returns
 * their number: @p count, but at most @p max. @p domain may be one that contains no entry. */
int32_t bt_select_advertised_entries (bt_context_t *ctx,
                                      const bt_listed_entry_t **entries,
                                      int32_t count,
                                      const char *domain,
                                      int32_t max);

#endif
