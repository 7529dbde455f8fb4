#include "bilberrytray/store/fenced_lease.h"

#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"

enum
{
  KEY_BYTES = 256,
  VALUE_BYTES = 128,
};

struct bt_fenced_lease
{
  bt_kv_t *kv;
  int64_t ttl_s;
  int64_t lease_id; /* 0 if not held */
  char controller_key[KEY_BYTES];
  char fence_key[KEY_BYTES];
  char instance[VALUE_BYTES];
};

bt_fenced_lease_t *
bt_new_fenced_lease (bt_context_t *ctx,
                     bt_kv_t *kv,
                     const char *prefix,
                     const char *group,
                     const char *instance,
                     int64_t ttl_s)
{
  bt_fenced_lease_t *lease = bt_calloc (ctx, 1, sizeof *lease);

  lease->kv = kv;
  lease->ttl_s = ttl_s;
  snprintf (lease->controller_key, sizeof lease->controller_key, "%s%s/controller", prefix, group);
  snprintf (lease->fence_key, sizeof lease->fence_key, "%s%s/fence", prefix, group);
  snprintf (lease->instance, sizeof lease->instance, "%s", instance);
  return lease;
}

void
bt_drop_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease)
{
  bt_free (ctx, lease);
}

void
bt_forget_fenced_lease (bt_fenced_lease_t *lease)
{
  lease->lease_id = 0;
}

/* True if the lease can be acquired: it has no holder, or the holder has the name of this instance.
 * That holder can only be an earlier incarnation of this process, which has ended; waiting for its
 * lease to expire would leave the group without a leader for seconds. Sets @p revision to the
 * revision that the key must still have when the lease is acquired. */
static bool
is_available (bt_context_t *ctx, bt_fenced_lease_t *lease, int64_t *revision)
{
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  bool available = bt_read_kv (ctx, lease->kv, lease->controller_key, false, &range, &error);

  *revision = 0;
  if (available && range.count > 0)
    {
      available = strcmp (range.pairs[0].value, lease->instance) == 0;
      *revision = range.pairs[0].mod_revision;
    }
  bt_drop_kv_range (ctx, &range);
  return available;
}

/* Writes both keys in one transaction, so that every holder has written the fencing key and its
 * fencing number is above those of all earlier holders. If the effect is unknown, the key may be
 * attached to a lease that is not renewed, and the next attempt has to wait for its expiry. */
static bt_lease_result_t
acquire_lease (bt_context_t *ctx, bt_fenced_lease_t *lease, uint64_t *fence)
{
  bt_error_t error = { 0 };
  int64_t lease_id = 0;
  bt_kv_txn_result_t result = { 0 };
  bt_kv_compare_t compare = { lease->controller_key, 0 };
  bt_kv_write_t writes[2] = {
    { BT_KV_PUT, lease->controller_key, lease->instance, strlen (lease->instance) },
    { BT_KV_PUT, lease->fence_key, lease->instance, strlen (lease->instance) }
  };
  bt_kv_txn_t txn = { &compare, 1, writes, 2 };

  if (!is_available (ctx, lease, &compare.mod_revision)
      || !bt_grant_kv_lease (ctx, lease->kv, lease->ttl_s, &lease_id, &error))
    return BT_LEASE_NONE;
  writes[0].lease = lease_id;
  if (!bt_commit_kv (ctx, lease->kv, &txn, &result, &error) || !result.succeeded)
    {
      if (error.code == BT_ERROR_NONE)
        bt_revoke_kv_lease (ctx, lease->kv, lease_id, &error);
      return BT_LEASE_NONE;
    }
  lease->lease_id = lease_id;
  *fence = (uint64_t)result.revision;
  return BT_LEASE_GRANTED;
}

bt_lease_result_t
bt_acquire_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease, uint64_t *fence)
{
  bt_error_t error = { 0 };
  int64_t ttl_s = 0;

  if (lease->lease_id == 0)
    return acquire_lease (ctx, lease, fence);
  if (bt_renew_kv_lease (ctx, lease->kv, lease->lease_id, &ttl_s, &error))
    return BT_LEASE_RENEWED;
  if (error.code == BT_ERROR_NOT_FOUND)
    lease->lease_id = 0;
  return BT_LEASE_NONE;
}

bool
bt_holds_fenced_lease (const bt_fenced_lease_t *lease)
{
  return lease->lease_id != 0;
}

void
bt_release_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease)
{
  bt_error_t error = { 0 };

  /* A lease that could not be released expires. */
  if (lease->lease_id != 0 && !bt_revoke_kv_lease (ctx, lease->kv, lease->lease_id, &error))
    bt_log_event (ctx, BT_LOG_WARNING, "lease-left", "{s:s}", "message", error.message);
  lease->lease_id = 0;
}
