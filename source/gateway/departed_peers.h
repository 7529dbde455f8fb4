#ifndef BILBERRYTRAY_SOURCE_GATEWAY_DEPARTED_PEERS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_DEPARTED_PEERS_H

/** @file
 * The peers that announced their shutdown. Initialised by zeroing; the owner must lock it.
 */

#include "bilberrytray/wire/link.h"

enum
{
  /** A peer is needed here until its listing in the store is gone. More peers leave at a time only
   * if most of a large fleet is stopped at once. */
  BT_MAX_DEPARTED_PEERS = 256,
};

typedef struct bt_departed_peers
{
  uint64_t incarnations[BT_MAX_DEPARTED_PEERS]; /**< A ring: the newest replaces the oldest. */
  int32_t count;                                /**< Number of peers ever added. */
} bt_departed_peers_t;

/** Records and logs that the peer of a link shuts down. */
void bt_record_departed_peer (bt_context_t *ctx, bt_departed_peers_t *peers, const bt_link_t *link);

bool bt_is_departed_peer (const bt_departed_peers_t *peers, uint64_t incarnation);

#endif
