#include "departed_peers.h"

#include "bilberrytray/base/event_log.h"

bool
bt_is_departed_peer (const bt_departed_peers_t *peers, uint64_t incarnation)
{
  int32_t count = peers->count < BT_MAX_DEPARTED_PEERS ? peers->count : BT_MAX_DEPARTED_PEERS;

  for (int32_t i = 0; i < count; i++)
    if (peers->incarnations[i] == incarnation)
      return true;
  return false;
}

void
bt_record_departed_peer (bt_context_t *ctx, bt_departed_peers_t *peers, const bt_link_t *link)
{
  uint64_t incarnation = bt_get_link_incarnation (link);

  if (bt_is_departed_peer (peers, incarnation))
    return;
  peers->incarnations[peers->count++ % BT_MAX_DEPARTED_PEERS] = incarnation;
  bt_log_event (ctx, BT_LOG_INFO, "peer-leaving", "{s:s}", "peer", bt_get_link_instance (link));
}
