#ifndef BILBERRYTRAY_CORE_SUBSET_H
#define BILBERRYTRAY_CORE_SUBSET_H

/** @file
 * Choosing a few of many instances without talking to anyone: rendezvous hashing, spread over
 * failure domains. Whoever knows the same candidates chooses the same ones.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

/** How many entry instances an agent is linked to. */
#define BT_AGENT_LINKS 8

/** How many peers an entry instance links to by itself; others add as many from their side. */
#define BT_PEER_LINKS 8

typedef struct bt_subset_candidate
{
  char instance[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
} bt_subset_candidate_t;

/** Chooses up to @p wanted of the candidates for @p chooser (an instance, or a purpose that all
 * share, such as "watch"). Writes their indexes, best first, to @p chosen, which has room for
 * @p wanted; returns how many there are. Every failure domain gives its best candidate before any
 * gives its second. When one candidate goes, at most two places change: its own, and the last. */
int32_t bt_choose_subset (bt_context_t *ctx,
                          const char *chooser,
                          const bt_subset_candidate_t *candidates,
                          int32_t count,
                          int32_t wanted,
                          int32_t *chosen);

#endif
