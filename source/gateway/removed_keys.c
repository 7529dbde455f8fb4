#include "removed_keys.h"

#include <string.h>

#include "bilberrytray/base/limit.h"

static void
drop_keys (bt_context_t *ctx, bt_removed_keys_t *removed, int32_t first, int32_t count)
{
  if (count == 0)
    return;
  for (int32_t i = first; i < first + count; i++)
    bt_free (ctx, removed->keys[i].key);
  removed->count -= count;
  memmove (&removed->keys[first], &removed->keys[first + count],
           (size_t)(removed->count - first) * sizeof *removed->keys);
}

/* Drops the keys that are too old, and the oldest one if the limit is reached. */
static void
make_space (bt_context_t *ctx, bt_removed_keys_t *removed, int64_t now_ms)
{
  int32_t old = 0;

  while (old < removed->count && now_ms - removed->keys[old].removed_ms > BT_REMOVED_KEY_KEEP_MS)
    old++;
  if (old == 0 && removed->count == BT_MAX_REMOVED_KEYS)
    {
      old = 1;
      bt_report_limit (ctx, "removed-keys", BT_MAX_REMOVED_KEYS, removed->keys[0].key,
                       "If the store is restored, this key may be taken for present.");
    }
  drop_keys (ctx, removed, 0, old);
}

void
bt_add_removed_key (bt_context_t *ctx,
                    bt_removed_keys_t *removed,
                    const char *key,
                    int64_t revision,
                    int64_t now_ms)
{
  bt_forget_removed_key (ctx, removed, key);
  make_space (ctx, removed, now_ms);
  removed->keys =
      bt_realloc (ctx, removed->keys, (size_t)removed->count + 1, sizeof *removed->keys);
  removed->keys[removed->count++] = (bt_removed_key_t){ bt_strdup (ctx, key), revision, now_ms };
}

void
bt_forget_removed_key (bt_context_t *ctx, bt_removed_keys_t *removed, const char *key)
{
  for (int32_t i = removed->count - 1; i >= 0; i--)
    if (strcmp (removed->keys[i].key, key) == 0)
      drop_keys (ctx, removed, i, 1);
}

void
bt_clear_removed_keys (bt_context_t *ctx, bt_removed_keys_t *removed)
{
  drop_keys (ctx, removed, 0, removed->count);
  bt_free (ctx, removed->keys);
  memset (removed, 0, sizeof *removed);
}
