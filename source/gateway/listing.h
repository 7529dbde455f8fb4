#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LISTING_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LISTING_H

/** @file
 * The entry in the platform's store by which this instance is listed, under a lease that a thread
 * of its own renews.
 */

#include "bilberrytray/store/kv.h"
#include "view.h"

typedef struct bt_listing bt_listing_t;

/** What is pointed to must outlive the listing. */
typedef struct bt_listing_options
{
  bt_kv_t *kv;
  const bt_listed_entry_t *entry; /**< What is listed. */
  int64_t lease_s;  /**< An instance that does not renew for so long is no longer listed. */
  int64_t renew_ms; /**< Between two renewals. */
} bt_listing_options_t;

/** Until bt_set_listing_wanted this instance is not listed. */
bt_listing_t *bt_new_listing (bt_context_t *ctx, const bt_listing_options_t *options);

/** Has this instance listed, or no longer. From any thread. */
void bt_set_listing_wanted (bt_listing_t *listing, bool wanted);

/** Takes this instance off the list, unless that was tried before, and ends the thread. May wait
 * for a call of the store. NULL is accepted. */
void bt_drop_listing (bt_context_t *ctx, bt_listing_t *listing);

#endif
