#ifndef BILBERRYTRAY_STORE_FENCED_LEASE_H
#define BILBERRYTRAY_STORE_FENCED_LEASE_H

/** @file
 * A lease in the key-value service with a fencing number. Of the keys PREFIX NAME /controller
 * and /fence the first hangs on the lease; the second stays, and its revision is the fencing number
 * of the newest holder.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/store/kv.h"

typedef struct bt_fenced_lease bt_fenced_lease_t;

bt_fenced_lease_t *bt_new_fenced_lease (bt_context_t *ctx,
                                        bt_kv_t *kv,
                                        const char *prefix,
                                        const char *group,
                                        const char *instance,
                                        int64_t life_s);

/** NULL is accepted. The lease itself is left to lapse. */
void bt_drop_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease);

/** What became of a try to get or renew the lease. */
typedef enum bt_lease_result
{
  BT_LEASE_NONE = 0, /**< Another holds it, or the service did not answer. */
  BT_LEASE_GRANTED,  /**< Newly held; the fencing number is new. */
  BT_LEASE_RENEWED,
} bt_lease_result_t;

/** Renews the lease if it was held before, else tries to get it. Its life counts from before this
 * call. Blocks on the service. */
bt_lease_result_t
bt_hold_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease, uint64_t *fence);

/** True from when the lease was granted until it is known to have ended. */
bool bt_holds_fenced_lease (const bt_fenced_lease_t *lease);

/** Gives the lease back, so that the next holder need not wait until it lapses: for a holder that
 * has stopped for good. Without a lease nothing is done. Blocks on the service. */
void bt_give_back_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease);

/** Forgets the lease, so that only a new one can be held: for a holder that stopped in doubt. */
void bt_forget_fenced_lease (bt_fenced_lease_t *lease);

#endif
