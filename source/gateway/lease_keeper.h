#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LEASE_KEEPER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LEASE_KEEPER_H

/** @file
 * A thread that holds a fenced lease in the platform's store, so that only one entry instance leads
 * at a time.
 */

#include "bilberrytray/gateway/platform.h"
#include "event_loop.h"

typedef struct bt_lease_keeper bt_lease_keeper_t;

/** Receives the events of the lease on the event loop. */
typedef struct bt_lease_listener
{
  /** The lease was granted with a new fencing number, or renewed (@p fence is 0). Its lifetime
   * starts at @p sent_ms, the time before the call to the store. */
  void (*on_lease) (struct bt_lease_listener *listener, uint64_t fence, int64_t sent_ms);
  /** A renewal failed. @p lost is true if the store said that the lease has ended; otherwise the
   * store did not answer, or refused the call. */
  void (*on_renewal_failed) (struct bt_lease_listener *listener, bool lost);
} bt_lease_listener_t;

typedef struct bt_lease_keeper_options
{
  const bt_platform_t *platform;
  const char *store;  /**< The store's "IP:PORT". */
  const char *prefix; /**< Prefix of the lease's keys. */
  const char *name;
  const char *instance;
  int64_t ttl_s;    /**< How long the lease lives without renewal. */
  int64_t renew_ms; /**< Interval between two renewals. */
} bt_lease_keeper_options_t;

bt_lease_keeper_t *bt_new_lease_keeper (bt_context_t *ctx,
                                        bt_event_loop_t *loop,
                                        const bt_lease_keeper_options_t *options,
                                        bt_lease_listener_t *listener);

/** Makes the thread try to get the lease after @p wait_ms and keep it, or release it if @p wanted
 * is false. Until the first try, a further call changes its time. */
void bt_set_lease_wanted (bt_lease_keeper_t *keeper, bool wanted, int64_t wait_ms);

/** NULL is accepted. */
void bt_drop_lease_keeper (bt_context_t *ctx, bt_lease_keeper_t *keeper);

#endif
