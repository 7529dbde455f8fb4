#ifndef BILBERRYTRAY_LOAD_ENDPOINT_SUBSET_H
#define BILBERRYTRAY_LOAD_ENDPOINT_SUBSET_H

/** @file
 * The endpoints of one app that an entry instance uses: a stable subset of all, chosen by
 * rendezvous hashing and spread over the failure domains.
 *
 * An entry has a link to the agent of each endpoint that it uses, and gets its load reports. If
 * every entry used all endpoints, the reports would grow with the product of both. The width of
 * the subset is bounded from below so that an entry has a choice of endpoints, and so that each
 * endpoint is used by several entries, even after the loss of half of them.
 */

#include "bilberrytray/core/subset.h"

enum
{
  /** Endpoints that an entry uses at least. */
  BT_MIN_SUBSET_WIDTH = 64,
  /** Mean number of entries that use one endpoint, at least. */
  BT_MIN_ENTRIES_PER_ENDPOINT = 16,
};

typedef struct bt_endpoint_subset bt_endpoint_subset_t;

/** Creates the empty subset of the entry @p instance. */
bt_endpoint_subset_t *bt_new_endpoint_subset (bt_context_t *ctx, const char *instance);

/** NULL is accepted. */
void bt_drop_endpoint_subset (bt_context_t *ctx, bt_endpoint_subset_t *subset);

/** Chooses @p width of the endpoints that accept requests now. Does nothing if neither has
 * changed. */
void bt_update_endpoint_subset (bt_context_t *ctx,
                                bt_endpoint_subset_t *subset,
                                const bt_subset_candidate_t *candidates,
                                int32_t count,
                                int32_t width);

bool bt_is_in_endpoint_subset (const bt_endpoint_subset_t *subset, const char *endpoint);

/** Returns the mean number of entries that use one endpoint if there are @p entries in all; at
 * least 1. */
int32_t bt_get_subset_sharers (const bt_endpoint_subset_t *subset, int32_t entries);

/** Returns how many of @p endpoints endpoints an entry uses if @p entries entries share them; 0:
 * their number is not known. */
int32_t bt_get_subset_width (int32_t endpoints, int32_t entries);

#endif
