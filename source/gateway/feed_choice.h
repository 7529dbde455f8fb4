#ifndef BILBERRYTRAY_SOURCE_GATEWAY_FEED_CHOICE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_FEED_CHOICE_H

/** @file
 * Chooses the entry instances that read the platform's store themselves (readers), and the peers
 * from which the others receive its contents (followers).
 *
 * Every reader costs the store a pending watch call and an answer for each change. If all entries
 * were readers, the calls would grow with the fleet beyond what a store can answer, so only a few
 * are. Entries that know the same list choose the same readers without communicating.
 */

#include "bilberrytray/base/context.h"
#include "view.h"

enum
{
  /** Number of entries per reader in a small fleet. A reader sends each change this many times, so
   * readers are chosen among the entries with the most processor share if there are enough. */
  BT_ENTRIES_PER_READER = 12,
  /** In a large fleet there are so many entries per reader, times the number of readers. So neither
   * the calls on the store nor the work of a reader grow in proportion to the fleet. */
  BT_ENTRIES_PER_SQUARED_READER = 3,
  /** Number of standbys, the entries that come next after the readers. A reader whose calls to the
   * store fail, and its followers, follow one of them. */
  BT_STANDBY_READERS = 3,
  /** Maximum number of addresses in a choice. */
  BT_MAX_FEED_CANDIDATES = 12,
};

typedef struct bt_feed_choice
{
  bool listed; /**< This entry is in the list of entries. */
  bool reader; /**< This entry reads the store. */
  /** Link addresses of the peers to follow, best first: readers in this entry's failure domain,
   * readers in others, then standbys. */
  char candidates[BT_MAX_FEED_CANDIDATES][BT_ADDRESS_BYTES];
  int32_t count;
  /** Number of candidates, from the first, that may be followed while the store answers this entry.
   * They all come before it in an order that is the same for all entries, so that no two entries
   * ever follow each other: both would stop reading the store, each would notice that the other
   * stopped, and both would start again, for ever. */
  int32_t primary_count;
} bt_feed_choice_t;

/** Chooses for the entry that accepts links at @p links. Entries of one failure domain are spread
 * over its readers. An entry that is not in the list is not chosen as a reader: it reads the store
 * only if there is no peer that it can follow. */
void bt_choose_feed (bt_context_t *ctx,
                     const bt_listed_entry_t *entries,
                     int32_t count,
                     const char *links,
                     const char *failure_domain,
                     bt_feed_choice_t *choice);

/** Chooses for a process that knows no entries yet. @p seeds is a comma-separated list of link
 * addresses of instances. The process follows one of them, unless its own address is among them:
 * the seeds read the store. */
void bt_choose_seed_feed (const char *seeds, const char *links, bt_feed_choice_t *choice);

#endif
