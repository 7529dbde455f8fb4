#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LEFT_PEERS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LEFT_PEERS_H

/** @file
 * Peers that said that they leave. Zero-initialise it; its owner guards it.
 */

#include "bilberrytray/wire/link.h"

enum
{
  /** Each is of use until its listing is gone; more at a time leave only where most of a large
   * fleet is stopped at once. */
  BT_MOST_LEFT_PEERS = 256,
};

typedef struct bt_left_peers
{
  uint64_t incarnations[BT_MOST_LEFT_PEERS]; /**< The newest in place of the oldest. */
  int32_t count;                             /**< Of all that ever came. */
} bt_left_peers_t;

/** Takes in, with a log line, that the peer of a link leaves. */
void bt_note_left_peer (bt_context_t *ctx, bt_left_peers_t *left, const bt_link_t *link);

bool bt_is_left_peer (const bt_left_peers_t *left, uint64_t incarnation);

#endif
