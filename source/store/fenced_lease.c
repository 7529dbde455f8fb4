#include "bilberrytray/store/fenced_lease.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/json_text.h"
#include "bilberrytray/base/log.h"

enum
{
  KEY_BYTES = 256,
  VALUE_BYTES = 128,
  MS_PER_S = 1000,
  /* The fencing numbers of an era begin at the era times two to this power. */
  ERA_SHIFT_BITS = 20,
};

struct bt_fenced_lease
{
  bt_kv_t *kv;
  int64_t ttl_s;
  int64_t lease_id;    /* 0 if not held */
  int64_t lease_era;   /* era of the store in which it was granted */
  int64_t sent_ms;     /* when the last successful call for it began; 0: there is none */
  int64_t seen_era;    /* latest era of the store that this instance has seen */
  int64_t era_seen_ms; /* when it was first seen */
  char prefix[KEY_BYTES];
  char controller_key[KEY_BYTES];
  char fence_key[KEY_BYTES];
  char instance[VALUE_BYTES];
};

/** The two keys as read from the store. */
typedef struct lease_record
{
  bool available; /* there is no other holder */
  int64_t era;    /* of the store at the read */
  int64_t controller_revision;
  int64_t fence_revision;
  int64_t fence_era; /* era in which the latest holder acquired the lease; 0: not known */
  int64_t number;    /* its fencing number */
} lease_record_t;

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
  snprintf (lease->prefix, sizeof lease->prefix, "%s%s/", prefix, group);
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
  lease->sent_ms = 0;
}

static void
record_era (bt_context_t *ctx, bt_fenced_lease_t *lease)
{
  int64_t era = bt_get_kv_era (lease->kv);

  if (era == lease->seen_era)
    return;
  lease->seen_era = era;
  lease->era_seen_ms = bt_now_ms (ctx);
}

/* The latest holder of an earlier version of this program wrote its name only, and its fencing
 * number was the revision of the key. */
static void
read_fence (const bt_kv_pair_t *pair, lease_record_t *record)
{
  json_t *object = bt_load_json (pair->value, pair->value_bytes, 0, NULL);

  record->fence_revision = pair->mod_revision;
  record->fence_era = (int64_t)json_integer_value (json_object_get (object, "era"));
  record->number = (int64_t)json_integer_value (json_object_get (object, "number"));
  if (record->number == 0)
    record->number = pair->mod_revision;
  json_decref (object);
}

/* Reads both keys. A holder with the name of this instance can only be an earlier incarnation of
 * this process, which has ended; waiting for its lease to expire would leave the group without a
 * leader for seconds. */
static bool
read_record (bt_context_t *ctx, bt_fenced_lease_t *lease, lease_record_t *record)
{
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  bool done = bt_read_kv (ctx, lease->kv, lease->prefix, true, &range, &error);

  memset (record, 0, sizeof *record);
  record_era (ctx, lease);
  record->available = true;
  record->era = range.era;
  for (int32_t i = 0; i < range.count; i++)
    {
      const bt_kv_pair_t *pair = &range.pairs[i];

      if (strcmp (pair->key, lease->fence_key) == 0)
        read_fence (pair, record);
      if (strcmp (pair->key, lease->controller_key) != 0)
        continue;
      record->controller_revision = pair->mod_revision;
      record->available = strcmp (pair->value, lease->instance) == 0;
    }
  bt_drop_kv_range (ctx, &range);
  return done;
}

/* Returns true if no other instance can believe that it holds the lease. A store that was restored
 * from a backup may have lost the lease of a holder that still counts on it. So the first holder of
 * an era is the one that held the lease when the era began, or it waits until such a lease has
 * ended. Later holders rely on the store. */
static bool
is_earlier_lease_over (bt_context_t *ctx,
                       const bt_fenced_lease_t *lease,
                       const lease_record_t *record)
{
  int64_t ttl_ms = lease->ttl_s * MS_PER_S;
  int64_t now_ms = bt_now_ms (ctx);

  if (record->era == 0 || record->fence_era == record->era)
    return true;
  if (lease->sent_ms != 0 && now_ms - lease->sent_ms < ttl_ms)
    return true;
  return now_ms - lease->era_seen_ms >= ttl_ms;
}

/* Returns a fencing number above those of all earlier holders. The numbers given out since the
 * backup are lost, but they were given out in an earlier era. */
static int64_t
get_next_number (const lease_record_t *record)
{
  int64_t first = record->era << ERA_SHIFT_BITS;

  return record->number + 1 > first ? record->number + 1 : first;
}

/* Writes the value of the fencing key. In a store without eras the fencing number is the revision
 * of the key. */
static char *
write_fence (bt_context_t *ctx, const bt_fenced_lease_t *lease, const lease_record_t *record)
{
  json_t *object;
  char *text;
  char *copy;

  if (record->era == 0)
    return bt_strdup (ctx, lease->instance);
  object = json_pack ("{s:s, s:I, s:I}", "instance", lease->instance, "era",
                      (json_int_t)record->era, "number", (json_int_t)get_next_number (record));
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  copy = bt_strdup (ctx, text);
  free (text);
  return copy;
}

/* Writes both keys in one transaction, so that every holder has written the fencing key and its
 * fencing number is above those of all earlier holders. Fails if the store was restored between the
 * read and the transaction. */
static bool
commit_record (bt_context_t *ctx,
               bt_fenced_lease_t *lease,
               const lease_record_t *record,
               int64_t lease_id,
               uint64_t *fence,
               bt_error_t *error)
{
  char *value = write_fence (ctx, lease, record);
  bt_kv_compare_t compares[2] = { { lease->controller_key, record->controller_revision },
                                  { lease->fence_key, record->fence_revision } };
  bt_kv_write_t writes[2] = { { BT_KV_PUT, lease->controller_key, lease->instance,
                                strlen (lease->instance), lease_id },
                              { BT_KV_PUT, lease->fence_key, value, strlen (value) } };
  bt_kv_txn_t txn = { compares, 2, writes, 2 };
  bt_kv_txn_result_t result = { 0 };
  bool done = bt_commit_kv (ctx, lease->kv, &txn, &result, error);

  bt_free (ctx, value);
  if (!done || !result.succeeded || result.era != record->era)
    return false;
  *fence = record->era == 0 ? (uint64_t)result.revision : (uint64_t)get_next_number (record);
  return true;
}

/* If the effect of the transaction is unknown, the key may be attached to a lease that is not
 * renewed, and the next attempt has to wait for its expiry. */
static bt_lease_result_t
acquire_lease (bt_context_t *ctx, bt_fenced_lease_t *lease, uint64_t *fence)
{
  int64_t sent_ms = bt_now_ms (ctx);
  bt_error_t error = { 0 };
  int64_t lease_id = 0;
  lease_record_t record;

  if (!read_record (ctx, lease, &record) || !record.available
      || !is_earlier_lease_over (ctx, lease, &record)
      || !bt_grant_kv_lease (ctx, lease->kv, lease->ttl_s, &lease_id, &error))
    return BT_LEASE_NONE;
  if (!commit_record (ctx, lease, &record, lease_id, fence, &error))
    {
      if (error.code == BT_ERROR_NONE)
        bt_revoke_kv_lease (ctx, lease->kv, lease_id, &error);
      return BT_LEASE_NONE;
    }
  lease->lease_id = lease_id;
  lease->lease_era = record.era;
  lease->sent_ms = sent_ms;
  return BT_LEASE_GRANTED;
}

/* Returns BT_LEASE_NONE if the lease has ended. After a restoration of the store its id may denote
 * another lease, and a lease from the backup may have had other holders since, so it counts as
 * ended then. */
static bt_lease_result_t
renew_lease (bt_context_t *ctx, bt_fenced_lease_t *lease)
{
  int64_t sent_ms = bt_now_ms (ctx);
  bt_error_t error = { 0 };
  int64_t ttl_s = 0;
  bool renewed = bt_renew_kv_lease (ctx, lease->kv, lease->lease_id, &ttl_s, &error);

  record_era (ctx, lease);
  if (lease->seen_era != lease->lease_era)
    lease->lease_id = 0;
  else if (renewed)
    {
      lease->sent_ms = sent_ms;
      return BT_LEASE_RENEWED;
    }
  else if (error.code == BT_ERROR_NOT_FOUND)
    bt_forget_fenced_lease (lease);
  return BT_LEASE_NONE;
}

bt_lease_result_t
bt_acquire_fenced_lease (bt_context_t *ctx, bt_fenced_lease_t *lease, uint64_t *fence)
{
  bool held = lease->lease_id != 0;
  bt_lease_result_t result = held ? renew_lease (ctx, lease) : BT_LEASE_NONE;

  if (result == BT_LEASE_NONE && lease->lease_id == 0
      && (!held || lease->seen_era != lease->lease_era))
    return acquire_lease (ctx, lease, fence);
  return result;
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
  if (lease->lease_id != 0 && bt_get_kv_era (lease->kv) == lease->lease_era
      && !bt_revoke_kv_lease (ctx, lease->kv, lease->lease_id, &error))
    bt_log_event (ctx, BT_LOG_WARNING, "lease-left", "{s:s}", "message", error.message);
  bt_forget_fenced_lease (lease);
}
