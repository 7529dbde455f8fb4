#ifndef BILBERRYTRAY_SOURCE_GATEWAY_TOLD_ENTRIES_H
#define BILBERRYTRAY_SOURCE_GATEWAY_TOLD_ENTRIES_H

/** @file
 * Which entry instances a caller is told of where there are more than one answer can hold: those of
 * its own failure domain first, then those of the domains that follow it in the order of their
 * names. So callers of one domain are always told the same, and over all domains each instance is
 * told as often as the others. The first in the list would else serve nearly all callers, and the
 * last none. No sockets, threads or clocks.
 */

#include "view.h"

/** Puts the entries that a caller in @p domain is told of in front, and returns how many they are:
 * all, or @p most. A domain that no entry is in has none of its own. */
int32_t bt_choose_told_entries (bt_context_t *ctx,
                                const bt_listed_entry_t **entries,
                                int32_t count,
                                const char *domain,
                                int32_t most);

#endif
