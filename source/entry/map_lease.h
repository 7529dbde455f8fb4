#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_LEASE_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_LEASE_H

/** @file
 * The lease of a group's controller in the key-value service. Of the keys PREFIX GROUP /controller
 * and /fence the first hangs on the lease; the second stays, and its revision is the fencing number
 * of the newest controller.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/store/kv.h"

typedef struct bt_map_lease bt_map_lease_t;

bt_map_lease_t *bt_new_map_lease (bt_context_t *ctx,
                                  bt_kv_t *kv,
                                  const char *prefix,
                                  const char *group,
                                  const char *instance,
                                  int64_t life_s);

/** NULL is accepted. The lease itself is left to lapse. */
void bt_drop_map_lease (bt_context_t *ctx, bt_map_lease_t *lease);

/** What became of a try to get or renew the lease. */
typedef enum bt_map_lease_result
{
  BT_MAP_LEASE_NONE = 0, /**< Another holds it, or the service did not answer. */
  BT_MAP_LEASE_GRANTED,  /**< Newly held; the fencing number is new. */
  BT_MAP_LEASE_RENEWED,
} bt_map_lease_result_t;

/** Renews the lease if it was held before, else tries to get it. Its life counts from before this
 * call. Blocks on the service. */
bt_map_lease_result_t bt_hold_map_lease (bt_context_t *ctx, bt_map_lease_t *lease, uint64_t *fence);

/** Forgets the lease, so that only a new one can be held: for a holder that stopped in doubt. */
void bt_forget_map_lease (bt_map_lease_t *lease);

#endif
