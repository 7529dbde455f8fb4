#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LEASE_KEEPER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LEASE_KEEPER_H

/** @file
 * The thread that holds a fenced lease in the platform's store, so that one entry instance leads.
 */

#include "bilberrytray/gateway/platform.h"
#include "event_loop.h"

typedef struct bt_lease_keeper bt_lease_keeper_t;

/** Takes what becomes of the lease; called on the event loop. */
typedef struct bt_lease_listener
{
  /** Granted with a new fencing number, or renewed (@p fence 0). Its life counts from @p sent_ms,
   * before the call. */
  void (*on_lease) (struct bt_lease_listener *listener, uint64_t fence, int64_t sent_ms);
} bt_lease_listener_t;

typedef struct bt_lease_keeper_options
{
  const bt_platform_t *platform;
  const char *store;  /**< The store's "IP:PORT". */
  const char *prefix; /**< What the lease's keys begin with. */
  const char *name;
  const char *instance;
  int64_t life_s;
  int64_t renew_ms;
} bt_lease_keeper_options_t;

bt_lease_keeper_t *bt_new_lease_keeper (bt_context_t *ctx,
                                        bt_event_loop_t *loop,
                                        const bt_lease_keeper_options_t *options,
                                        bt_lease_listener_t *listener);

/** Has the thread try to get the lease in @p wait_ms, and then keep it; or give it back. */
void bt_want_lease (bt_lease_keeper_t *keeper, bool wanted, int64_t wait_ms);

/** NULL is accepted. */
void bt_drop_lease_keeper (bt_context_t *ctx, bt_lease_keeper_t *keeper);

#endif
