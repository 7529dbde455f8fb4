#ifndef BILBERRYTRAY_SOURCE_GATEWAY_FEED_CHOICE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_FEED_CHOICE_H

/** @file
 * Who reads the platform's store itself, and from whom the other entries learn what it holds.
 *
 * Every entry that reads the store costs it a waiting call and an answer for each change, so few
 * do: the calls of all would grow with the fleet until they are more than a store answers. Whoever
 * knows the same entries chooses the same readers, without asking anyone.
 */

#include "bilberrytray/base/context.h"
#include "view.h"

enum
{
  /** Entries for each that reads the store: what one reader is lost costs that many full reads at
   * once, and what it sends for a change is that many times the change. */
  BT_ENTRIES_A_READER = 12,
  /** Entries that come next after the readers: a reader that the store turns away, and the
   * followers it had, learn from one of them. */
  BT_STANDBY_READERS = 3,
  /** Most addresses that a choice holds. */
  BT_MAX_FEED_CANDIDATES = 12,
};

typedef struct bt_feed_choice
{
  bool reader; /**< This entry reads the store. */
  /** Where others accept links, best first: readers of its own failure domain, those of others,
   * then entries that stand by. */
  char candidates[BT_MAX_FEED_CANDIDATES][BT_ADDRESS_BYTES];
  int32_t count;
  /** How many of them, from the first, to follow while the store answers this entry. They are those
   * that come before it in an order that all know, so that no two ever follow each other: both
   * would stop to read, notice it of each other, and begin again, for ever. */
  int32_t usual;
} bt_feed_choice_t;

/** Chooses for the entry that accepts links at @p links. Entries of one failure domain are spread
 * over its readers. An entry that is not listed reads the store only for want of another. */
void bt_choose_feed (bt_context_t *ctx,
                     const bt_listed_entry_t *entries,
                     int32_t count,
                     const char *links,
                     const char *failure_domain,
                     bt_feed_choice_t *choice);

/** Chooses for a process that knows no entry yet: @p seeds are addresses, with commas between,
 * where some instances accept links; its own is left out. */
void bt_choose_seed_feed (const char *seeds, const char *links, bt_feed_choice_t *choice);

#endif
