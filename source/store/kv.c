#include "bilberrytray/store/kv.h"

#include <string.h>

void
bt_drop_kv (bt_context_t *ctx, bt_kv_t *kv)
{
  if (kv != NULL)
    kv->vtable->drop (ctx, kv);
}

void
bt_cancel_kv (bt_context_t *ctx, bt_kv_t *kv)
{
  kv->vtable->cancel (ctx, kv);
}

bool
bt_read_kv (bt_context_t *ctx,
            bt_kv_t *kv,
            const char *key,
            bool prefix,
            bt_kv_range_t *range,
            bt_error_t *error)
{
  return kv->vtable->read_range (ctx, kv, key, prefix, 0, range, error);
}

bool
bt_read_kv_changes (bt_context_t *ctx,
                    bt_kv_t *kv,
                    const char *prefix,
                    int64_t min_revision,
                    bt_kv_range_t *range,
                    bt_error_t *error)
{
  return kv->vtable->read_range (ctx, kv, prefix, true, min_revision, range, error);
}

void
bt_drop_kv_range (bt_context_t *ctx, bt_kv_range_t *range)
{
  for (int32_t i = 0; i < range->count; i++)
    {
      bt_free (ctx, range->pairs[i].key);
      bt_free (ctx, range->pairs[i].value);
    }
  bt_free (ctx, range->pairs);
  memset (range, 0, sizeof *range);
}

bool
bt_put_kv (bt_context_t *ctx,
           bt_kv_t *kv,
           const bt_kv_write_t *write,
           int64_t *revision,
           bt_error_t *error)
{
  int64_t unused;

  return kv->vtable->put (ctx, kv, write, revision == NULL ? &unused : revision, error);
}

bool
bt_commit_kv (bt_context_t *ctx,
              bt_kv_t *kv,
              const bt_kv_txn_t *txn,
              bt_kv_txn_result_t *result,
              bt_error_t *error)
{
  return kv->vtable->commit_txn (ctx, kv, txn, result, error);
}

bool
bt_grant_kv_lease (
    bt_context_t *ctx, bt_kv_t *kv, int64_t life_s, int64_t *lease, bt_error_t *error)
{
  return kv->vtable->grant_lease (ctx, kv, life_s, lease, error);
}

bool
bt_renew_kv_lease (
    bt_context_t *ctx, bt_kv_t *kv, int64_t lease, int64_t *life_s, bt_error_t *error)
{
  return kv->vtable->renew_lease (ctx, kv, lease, life_s, error);
}

bool
bt_revoke_kv_lease (bt_context_t *ctx, bt_kv_t *kv, int64_t lease, bt_error_t *error)
{
  return kv->vtable->revoke_lease (ctx, kv, lease, error);
}

bool
bt_watch_kv (bt_context_t *ctx,
             bt_kv_t *kv,
             const char *prefix,
             int64_t start_revision,
             int64_t wait_ms,
             bt_kv_watch_result_t *result,
             bt_error_t *error)
{
  return kv->vtable->watch (ctx, kv, prefix, start_revision, wait_ms, result, error);
}

bool
bt_is_kv_effect_unknown (const bt_error_t *error)
{
  return error->code == BT_ERROR_TIMEOUT || error->code == BT_ERROR_CLOSED;
}
