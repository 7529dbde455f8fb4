#ifndef BILBERRYTRAY_STORE_KV_H
#define BILBERRYTRAY_STORE_KV_H

/** @file
 * The platform's key-value store: compare-and-swap, leases and watches with a time limit.
 *
 * Errors of all calls: BT_ERROR_TIMEOUT and BT_ERROR_CLOSED mean that the request was sent but no
 * complete answer was received, so a write may have taken effect (bt_is_kv_effect_unknown). With
 * any other code it certainly did not. Functions can be called from any thread; a watch does not
 * block other calls.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/base/name_index.h"
#include "bilberrytray/core/call_rate.h"

/** A state of the store. Eras order states first, then revisions; see bt_get_kv_era. */
typedef struct bt_kv_position
{
  int64_t era;
  int64_t revision;
} bt_kv_position_t;

/** One key with its value. The range that contains the pair owns the strings. */
typedef struct bt_kv_pair
{
  char *key;
  char *value; /**< Followed by a zero byte that is not counted in value_bytes. */
  size_t value_bytes;
  int64_t mod_revision;
  int64_t create_revision;
  int64_t lease; /**< 0 without a lease. */
} bt_kv_pair_t;

/** Result of a read. Zero-initialise it; free it with bt_drop_kv_range. */
typedef struct bt_kv_range
{
  bt_kv_pair_t *pairs;
  int32_t count;
  int64_t era;      /**< Era of the store at the read; see bt_get_kv_era. */
  int64_t revision; /**< Revision of the store at the read. */
} bt_kv_range_t;

/** A condition of a transaction: the last change of the key is at this revision. */
typedef struct bt_kv_compare
{
  const char *key;
  int64_t mod_revision; /**< 0 if the key must not exist. */
} bt_kv_compare_t;

typedef enum bt_kv_write_kind
{
  BT_KV_PUT = 0,
  BT_KV_DELETE,
} bt_kv_write_kind_t;

/** One write of a transaction. */
typedef struct bt_kv_write
{
  bt_kv_write_kind_t kind;
  const char *key;
  const char *value;
  size_t value_bytes;
  int64_t lease; /**< 0 without a lease. */
} bt_kv_write_t;

/** A transaction. If all comparisons hold, all writes are applied at one revision, otherwise none.
 */
typedef struct bt_kv_txn
{
  const bt_kv_compare_t *compares;
  int32_t compare_count;
  const bt_kv_write_t *writes;
  int32_t write_count;
} bt_kv_txn_t;

typedef struct bt_kv_txn_result
{
  bool succeeded;
  int64_t era;      /**< Era of the store; see bt_get_kv_era. */
  int64_t revision; /**< Revision of the writes, or on failure of the store at the comparison. */
} bt_kv_txn_result_t;

/** Result of a watch. Whatever the result, the caller should read the keys afterwards, since a
 * watch whose connection went silent looks like one without changes. */
typedef enum bt_kv_watch_result
{
  BT_KV_WATCH_NO_EVENTS = 0, /**< The time limit passed without an event. */
  BT_KV_WATCH_EVENTS,        /**< Something changed. */
  BT_KV_WATCH_COMPACTED,     /**< The store no longer has the history from the start revision on. */
} bt_kv_watch_result_t;

/** The changes that a watch received. Zero-initialise it; free it with bt_drop_kv_changes. */
typedef struct bt_kv_changes
{
  bt_kv_range_t written;      /**< Written keys, oldest first. The next watch starts after its
                                   revision. */
  char **removed;             /**< Removed keys. */
  int64_t *removed_revisions; /**< Revision of each removal. */
  int32_t removed_count;
  bool incomplete; /**< Changes were missed; a full read is needed. */
} bt_kv_changes_t;

typedef struct bt_kv bt_kv_t;

/** Operations of a key-value store client. Parameters are as in the functions below. */
typedef struct bt_kv_vtable
{
  bool (*read_range) (bt_context_t *ctx,
                      bt_kv_t *kv,
                      const char *key,
                      bool prefix,
                      int64_t min_revision,
                      bt_kv_range_t *range,
                      bt_error_t *error);
  bool (*put) (bt_context_t *ctx,
               bt_kv_t *kv,
               const bt_kv_write_t *write,
               int64_t *revision,
               bt_error_t *error);
  bool (*commit_txn) (bt_context_t *ctx,
                      bt_kv_t *kv,
                      const bt_kv_txn_t *txn,
                      bt_kv_txn_result_t *result,
                      bt_error_t *error);
  bool (*grant_lease) (
      bt_context_t *ctx, bt_kv_t *kv, int64_t ttl_s, int64_t *lease, bt_error_t *error);
  bool (*renew_lease) (
      bt_context_t *ctx, bt_kv_t *kv, int64_t lease, int64_t *ttl_s, bt_error_t *error);
  bool (*revoke_lease) (bt_context_t *ctx, bt_kv_t *kv, int64_t lease, bt_error_t *error);
  bool (*watch) (bt_context_t *ctx,
                 bt_kv_t *kv,
                 const char *prefix,
                 int64_t start_revision,
                 int64_t wait_ms,
                 bt_kv_watch_result_t *result,
                 bt_error_t *error);
  void (*cancel) (bt_context_t *ctx, bt_kv_t *kv);
  void (*drop) (bt_context_t *ctx, bt_kv_t *kv);
  /** May be NULL if watches of this store report only that something changed. */
  bool (*follow) (bt_context_t *ctx,
                  bt_kv_t *kv,
                  const char *prefix,
                  int64_t start_revision,
                  int64_t wait_ms,
                  bt_kv_changes_t *changes,
                  bt_error_t *error);
  /** May be NULL if the store has no cheaper reads. */
  bool (*read_lagging) (
      bt_context_t *ctx, bt_kv_t *kv, const char *prefix, bt_kv_range_t *range, bt_error_t *error);
  /** May be NULL if the store does not report eras. */
  int64_t (*get_era) (bt_kv_t *kv);
} bt_kv_vtable_t;

/** Base of a key-value store client. An implementation embeds this struct as its first member. */
/** Decides which values are kept in a read of a prefix or in a watch. Zero-initialised, it keeps
 * all. */
typedef struct bt_kv_filter
{
  bool (*keeps) (const void *data, const char *key, size_t value_bytes);
  const void *data;
} bt_kv_filter_t;

struct bt_kv
{
  const bt_kv_vtable_t *vtable;
  bt_kv_filter_t filter;
};

/** Sets the filter of later calls. The value of an item that it does not keep is empty. To be
 * called before the store is used by several threads. */
void bt_set_kv_filter (bt_kv_t *kv, const bt_kv_filter_t *filter);

/** Returns true if the value of an item is kept. */
bool bt_keeps_kv_value (const bt_kv_t *kv, const char *key, size_t value_bytes);

/** Settings of the etcd client. */
typedef struct bt_kv_settings
{
  const char *url;              /**< Such as "http://127.0.0.1:2379". It is copied. */
  int64_t connect_ms;           /**< Maximum time to connect. */
  int64_t total_ms;             /**< Maximum time of a call. A watch has its own limit. */
  int64_t idle_ms;              /**< Maximum time without data, rounded up to whole seconds. */
  size_t answer_bytes;          /**< Maximum size of an answer. */
  bt_call_rate_settings_t rate; /**< Rate limit, and backoff after failures. */
  uint64_t seed;                /**< Seed for the jitter of the backoff. */
} bt_kv_settings_t;

/** Returns settings for a small fleet: time limits of a few seconds, 20 calls per second. */
bt_kv_settings_t bt_get_default_kv_settings (const char *url);

/** Creates a client of the etcd v3 JSON gateway. It connects on first use. Calls are counted in
 * "bilberry_store_calls_total" by kind, failures in "bilberry_store_failures_total" by error
 * code. */
bt_kv_t *bt_new_etcd_kv (bt_context_t *ctx, const bt_kv_settings_t *settings);

/** Frees the client. No thread may be using it. NULL is accepted. */
void bt_drop_kv (bt_context_t *ctx, bt_kv_t *kv);

/** Aborts calls in progress and makes later calls fail, for a process that is stopping. A call
 * fails with BT_ERROR_CLOSED if its request was sent, else with BT_ERROR_SYSTEM. */
void bt_cancel_kv (bt_context_t *ctx, bt_kv_t *kv);

/** Returns the era of the store according to its last answer to this client; 0 if the store does
 * not report eras. When a store is restored from a backup, a new era begins, whose number is
 * higher: changes and leases since the backup are lost, and their revisions are assigned again. */
int64_t bt_get_kv_era (bt_kv_t *kv);

/** Returns a number below, equal to or above 0 if @p one is before, equal to or after @p other. */
int32_t bt_compare_kv_positions (bt_kv_position_t one, bt_kv_position_t other);

/** Reads one key, or with @p prefix all keys that begin with @p key. For a missing key the range is
 * empty. */
bool bt_read_kv (bt_context_t *ctx,
                 bt_kv_t *kv,
                 const char *key,
                 bool prefix,
                 bt_kv_range_t *range,
                 bt_error_t *error);

/** Reads all keys that begin with @p prefix as they were at some earlier revision, which costs the
 * store less if it can do so. The changes since then follow from a watch after the revision of the
 * range. */
bool bt_read_lagging_kv (
    bt_context_t *ctx, bt_kv_t *kv, const char *prefix, bt_kv_range_t *range, bt_error_t *error);

/** Reads the keys that begin with @p prefix and were last changed at @p min_revision or later. Keys
 * that were deleted since are not reported. */
bool bt_read_kv_changes (bt_context_t *ctx,
                         bt_kv_t *kv,
                         const char *prefix,
                         int64_t min_revision,
                         bt_kv_range_t *range,
                         bt_error_t *error);

/** Returns the pair of a key, or NULL. */
bt_kv_pair_t *bt_find_kv_pair (const bt_kv_range_t *range, const char *key);

/** Creates an index of the pairs by key, for many lookups. */
bt_name_index_t *bt_index_kv_range (bt_context_t *ctx, const bt_kv_range_t *range);

/** Frees the contents of a range and zeroes it. */
void bt_drop_kv_range (bt_context_t *ctx, bt_kv_range_t *range);

/** Writes one key unconditionally. @p revision may be NULL. */
bool bt_put_kv (bt_context_t *ctx,
                bt_kv_t *kv,
                const bt_kv_write_t *write,
                int64_t *revision,
                bt_error_t *error);

/** Commits a transaction. If a comparison does not hold, returns true and sets succeeded to false.
 */
bool bt_commit_kv (bt_context_t *ctx,
                   bt_kv_t *kv,
                   const bt_kv_txn_t *txn,
                   bt_kv_txn_result_t *result,
                   bt_error_t *error);

/** Grants a lease with a TTL of @p ttl_s seconds. The holder must count the TTL from before this
 * call. */
bool bt_grant_kv_lease (
    bt_context_t *ctx, bt_kv_t *kv, int64_t ttl_s, int64_t *lease, bt_error_t *error);

/** Renews a lease and sets @p ttl_s to its new TTL. BT_ERROR_NOT_FOUND if it has expired. The
 * holder must count the new TTL from before this call. */
bool bt_renew_kv_lease (
    bt_context_t *ctx, bt_kv_t *kv, int64_t lease, int64_t *ttl_s, bt_error_t *error);

/** Revokes a lease and deletes the keys that are attached to it. */
bool bt_revoke_kv_lease (bt_context_t *ctx, bt_kv_t *kv, int64_t lease, bt_error_t *error);

/** Waits for at most @p wait_ms until a key that begins with @p prefix changes at @p start_revision
 * or later. */
bool bt_watch_kv (bt_context_t *ctx,
                  bt_kv_t *kv,
                  const char *prefix,
                  int64_t start_revision,
                  int64_t wait_ms,
                  bt_kv_watch_result_t *result,
                  bt_error_t *error);

/** Like bt_watch_kv, but returns the changes. If the store does not report what changed, the
 * changes are marked incomplete whenever something changed. */
bool bt_follow_kv (bt_context_t *ctx,
                   bt_kv_t *kv,
                   const char *prefix,
                   int64_t start_revision,
                   int64_t wait_ms,
                   bt_kv_changes_t *changes,
                   bt_error_t *error);

/** Frees the contents of @p changes and zeroes it. */
void bt_drop_kv_changes (bt_context_t *ctx, bt_kv_changes_t *changes);

/** Updates @p range with the changes that follow its revision, and takes ownership of the written
 * pairs. */
void bt_apply_kv_changes (bt_context_t *ctx, bt_kv_range_t *range, bt_kv_changes_t *changes);

/** True if a write that failed with @p error may have taken effect. */
bool bt_is_kv_effect_unknown (const bt_error_t *error);

#endif
