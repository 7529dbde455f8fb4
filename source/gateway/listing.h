#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LISTING_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LISTING_H

/** @file
 * The item in the platform's store that lists this instance, under a lease that a separate thread
 * renews.
 */

#include "bilberrytray/store/kv.h"
#include "view.h"

typedef struct bt_listing bt_listing_t;

/** Objects that the options point to must outlive the listing. */
typedef struct bt_listing_options
{
  bt_kv_t *kv;
  const bt_listed_entry_t *entry; /**< The content of the listing. */
  int64_t
      lease_s; /**< An instance that does not renew its lease for this long is no longer listed. */
  int64_t renew_ms; /**< Interval between two renewals. */
} bt_listing_options_t;

/** This instance is not listed until bt_set_listing_wanted is called. Returns NULL if the thread
 * can't be started. */
bt_listing_t *bt_new_listing (bt_context_t *ctx, const bt_listing_options_t *options);

/** Requests that this instance be listed or not. May be called from any thread. */
void bt_set_listing_wanted (bt_listing_t *listing, bool wanted);

/** Removes the listing, unless that was already tried, and stops the thread. Waits for the call to
 * the store for a short time, then cancels all calls of the client. NULL is accepted. */
void bt_drop_listing (bt_context_t *ctx, bt_listing_t *listing);

#endif
