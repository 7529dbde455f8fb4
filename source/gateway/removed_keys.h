#ifndef BILBERRYTRAY_SOURCE_GATEWAY_REMOVED_KEYS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_REMOVED_KEYS_H

/** @file
 * The keys that were removed from the platform's store a short while ago. A store that is restored
 * from a backup can show them again.
 */

#include "bilberrytray/store/kv.h"

enum
{
  /** How long a removed key is kept. Backups are some seconds old. */
  BT_REMOVED_KEY_KEEP_MS = 60000,
  /** Maximum number of removed keys; beyond it the oldest ones are dropped. */
  BT_MAX_REMOVED_KEYS = 4096,
};

typedef struct bt_removed_key
{
  char *key;
  int64_t revision; /**< Of the removal. */
  int64_t removed_ms;
} bt_removed_key_t;

/** Zero-initialise it; free it with bt_clear_removed_keys. */
typedef struct bt_removed_keys
{
  bt_removed_key_t *keys; /**< Oldest first. */
  int32_t count;
} bt_removed_keys_t;

/** Adds a key, and drops those that are too old. */
void bt_add_removed_key (bt_context_t *ctx,
                         bt_removed_keys_t *removed,
                         const char *key,
                         int64_t revision,
                         int64_t now_ms);

/** Drops a key that was written again. */
void bt_forget_removed_key (bt_context_t *ctx, bt_removed_keys_t *removed, const char *key);

void bt_clear_removed_keys (bt_context_t *ctx, bt_removed_keys_t *removed);

#endif
