#ifndef BILBERRYTRAY_STORE_FENCED_LEASE_H
#define BILBERRYTRAY_STORE_FENCED_LEASE_H

/** @file
 * A lease in the key-value store with a fencing number. It uses two keys, PREFIX + GROUP +
 * "/controller" and PREFIX + GROUP + "/fence". The first is bound to the lease and names its
 * holder. The second persists and holds the fencing number of the latest holder.
 *
 * In a store that reports eras, the numbers of an era begin at the era times 2^20, so that they are
 * above those of earlier eras even if the store has lost the latest ones. In a store without eras
 * the fencing number is the revision of the second key.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/store/kv.h"

typedef struct bt_fenced_lease bt_fenced_lease_t;

bt_fenced_lease_t *bt_new_fenced_lease (bt_context_t *ctx,
                                        bt_kv_t *kv,
                                        const char *prefix,
                                        const char *group,
                                        const char *instance,
                                        int64_t ttl_s);

/** Frees the object without releasing the lease, which then expires. NULL is accepted. */
void bt_drop_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease);

/** Result of an attempt to acquire or renew the lease. */
typedef enum bt_lease_result
{
  BT_LEASE_NONE = 0, /**< Another instance holds it, or the store did not answer. */
  BT_LEASE_GRANTED,  /**< Acquired, with a new fencing number. */
  BT_LEASE_RENEWED,
} bt_lease_result_t;

/** Renews the lease if it is held, else tries to acquire it; sets @p fence only when it is
 * acquired. When the store was restored from a backup, the lease ends: its holder acquires it anew,
 * and other instances wait for one TTL. The holder must count the TTL from before this call. Blocks
 * on the store. */
bt_lease_result_t
bt_acquire_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease, uint64_t *fence);

/** True from the grant of the lease until it is known to have ended. */
bool bt_holds_fenced_lease (const bt_fenced_lease_t *lease);

/** Releases the lease, so that the next holder does not have to wait for its expiry. For a holder
 * that has stopped permanently. Does nothing when no lease is held. Blocks on the store. */
void bt_release_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease);

/** Discards the lease locally, so that only a new one can be acquired. For a holder that stopped
 * because it was not sure whether it still held the lease. */
void bt_forget_fenced_lease (bt_fenced_lease_t *lease);

#endif
