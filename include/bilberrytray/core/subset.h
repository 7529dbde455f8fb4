#ifndef BILBERRYTRAY_CORE_SUBSET_H
#define BILBERRYTRAY_CORE_SUBSET_H

/** @file
 * Selects a subset of many instances without communication: rendezvous hashing, spread over failure
 * domains. Every process with the same candidates computes the same subset.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

/** Number of entry instances that an agent, or an entry for itself, selects for its links. */
#define BT_AGENT_LINKS 8

typedef struct bt_subset_candidate
{
  char instance[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
} bt_subset_candidate_t;

/** Selects up to @p wanted of the candidates for @p chooser (an instance, or a purpose that all
 * share, such as "watch"). Writes their indexes, best first, to @p chosen, which has room for
 * @p wanted, and returns their number. Every failure domain contributes its best candidate before
 * any contributes its second. If one candidate is removed, at most two places change: its own and
 * the last. */
int32_t bt_choose_subset (bt_context_t *ctx,
                          const char *chooser,
                          const bt_subset_candidate_t *candidates,
                          int32_t count,
                          int32_t wanted,
                          int32_t *chosen);

#endif
