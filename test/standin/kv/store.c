#include "store.h"

#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  KEY_BYTES = 1024,
  NUMBER_BYTES = 24,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  BASE_TEN = 10,
};

struct bt_store
{
  pthread_mutex_t lock;            /**< Guards the fields below. */
  pthread_cond_t revision_changed; /**< Signaled after each new revision. */
  int64_t revision;
  int64_t next_lease;
  json_t *keys;   /**< The "kv" documents by key, which is not encoded here. */
  json_t *leases; /**< By id: when it expires, in monotonic milliseconds, and its TTL in seconds. */
  json_t *history;           /**< Events, each with its "revision". */
  json_t *snapshot_keys;     /**< Keys of the last snapshot. */
  int64_t snapshot_revision; /**< Revision of the last snapshot. */
};

bt_store_t *
bt_new_store (void)
{
  bt_store_t *store = calloc (1, sizeof *store);
  pthread_condattr_t attributes;

  if (store == NULL)
    abort ();
  pthread_mutex_init (&store->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&store->revision_changed, &attributes);
  store->revision = 1;
  store->next_lease = 1000;
  store->keys = json_object ();
  store->leases = json_object ();
  store->history = json_array ();
  store->snapshot_keys = json_object ();
  store->snapshot_revision = 1;
  return store;
}

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static json_t *
make_number (int64_t number)
{
  char text[NUMBER_BYTES];

  snprintf (text, sizeof text, "%lld", (long long)number);
  return json_string (text);
}

static int64_t
get_number (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_integer (value))
    return json_integer_value (value);
  return json_is_string (value) ? strtoll (json_string_value (value), NULL, BASE_TEN) : 0;
}

static const char *
get_text (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  return json_is_string (value) ? json_string_value (value) : "";
}

/* Decodes a key from Base64. */
static void
get_key (const json_t *object, const char *name, char key[KEY_BYTES])
{
  const char *text = get_text (object, name);
  size_t bytes = 0;

  sodium_base642bin ((unsigned char *)key, KEY_BYTES - 1, text, strlen (text), NULL, &bytes, NULL,
                     sodium_base64_VARIANT_ORIGINAL);
  key[bytes] = '\0';
}

static bool
is_in_range (const json_t *request, const char *key)
{
  char first[KEY_BYTES];
  char end[KEY_BYTES];

  get_key (request, "key", first);
  get_key (request, "range_end", end);
  if (end[0] == '\0')
    return strcmp (key, first) == 0;
  return strcmp (key, first) >= 0 && strcmp (key, end) < 0;
}

static json_t *
make_answer (int64_t revision)
{
  return json_pack ("{s:{s:o}}", "header", "revision", make_number (revision));
}

static void
record_event (bt_store_t *store, const char *type, json_t *kv)
{
  json_array_append_new (store->history,
                         json_pack ("{s:s, s:I, s:o}", "type", type, "revision",
                                    (json_int_t)store->revision, "kv", json_deep_copy (kv)));
}

static void
put_locked (bt_store_t *store, const json_t *request)
{
  char key[KEY_BYTES];
  const json_t *old;
  json_t *kv;

  get_key (request, "key", key);
  old = json_object_get (store->keys, key);
  kv = json_pack ("{s:s, s:s, s:o, s:o, s:o, s:o}", "key", get_text (request, "key"), "value",
                  get_text (request, "value"), "mod_revision", make_number (store->revision),
                  "create_revision",
                  make_number (old == NULL ? store->revision : get_number (old, "create_revision")),
                  "version", make_number (get_number (old, "version") + 1), "lease",
                  make_number (get_number (request, "lease")));
  record_event (store, "PUT", kv);
  json_object_set_new (store->keys, key, kv);
}

static void
delete_locked (bt_store_t *store, const char *key)
{
  json_t *old = json_object_get (store->keys, key);

  if (old == NULL)
    return;
  json_object_set_new (old, "mod_revision", make_number (store->revision));
  record_event (store, "DELETE", old);
  json_object_del (store->keys, key);
}

static void
end_lease_locked (bt_store_t *store, int64_t lease)
{
  char number[NUMBER_BYTES];
  const char *key;
  void *next;
  json_t *kv;

  snprintf (number, sizeof number, "%lld", (long long)lease);
  json_object_del (store->leases, number);
  store->revision++;
  json_object_foreach_safe (store->keys, next, key, kv)
  {
    if (get_number (kv, "lease") == lease)
      delete_locked (store, key);
  }
  pthread_cond_broadcast (&store->revision_changed);
}

static void
expire_leases_locked (bt_store_t *store)
{
  const char *number;
  void *next;
  json_t *lease;
  int64_t now = now_ms ();

  json_object_foreach_safe (store->leases, next, number, lease)
  {
    if (get_number (lease, "ends_ms") <= now)
      end_lease_locked (store, strtoll (number, NULL, BASE_TEN));
  }
}

/* Takes the lock and ends the leases that have expired. */
static void
lock_store (bt_store_t *store)
{
  pthread_mutex_lock (&store->lock);
  expire_leases_locked (store);
}

void
bt_snapshot_store (bt_store_t *store)
{
  lock_store (store);
  json_decref (store->snapshot_keys);
  store->snapshot_keys = json_deep_copy (store->keys);
  store->snapshot_revision = store->revision;
  pthread_mutex_unlock (&store->lock);
}

json_t *
bt_answer_range (bt_store_t *store, const json_t *request, bool stale)
{
  json_t *found = json_array ();
  json_t *answer;
  const char *key;
  json_t *kv;

  lock_store (store);
  answer = make_answer (stale ? store->snapshot_revision : store->revision);
  json_object_foreach (stale ? store->snapshot_keys : store->keys, key, kv)
  {
    if (is_in_range (request, key)
        && get_number (kv, "mod_revision") >= get_number (request, "min_mod_revision"))
      json_array_append (found, kv);
  }
  json_object_set_new (answer, "count", make_number ((int64_t)json_array_size (found)));
  json_object_set_new (answer, "kvs", json_deep_copy (found));
  pthread_mutex_unlock (&store->lock);
  json_decref (found);
  return answer;
}

json_t *
bt_answer_put (bt_store_t *store, const json_t *request)
{
  json_t *answer;

  lock_store (store);
  store->revision++;
  put_locked (store, request);
  answer = make_answer (store->revision);
  pthread_cond_broadcast (&store->revision_changed);
  pthread_mutex_unlock (&store->lock);
  return answer;
}

static bool
compare_matches_locked (bt_store_t *store, const json_t *compare)
{
  char key[KEY_BYTES];

  get_key (compare, "key", key);
  return get_number (json_object_get (store->keys, key), "mod_revision")
         == get_number (compare, "mod_revision");
}

static void
run_writes_locked (bt_store_t *store, const json_t *writes)
{
  char key[KEY_BYTES];
  size_t index;
  json_t *write;

  store->revision++;
  json_array_foreach (writes, index, write)
  {
    const json_t *put = json_object_get (write, "request_put");

    if (put != NULL)
      put_locked (store, put);
    else
      {
        get_key (json_object_get (write, "request_delete_range"), "key", key);
        delete_locked (store, key);
      }
  }
  pthread_cond_broadcast (&store->revision_changed);
}

json_t *
bt_answer_txn (bt_store_t *store, const json_t *request)
{
  const json_t *compares = json_object_get (request, "compare");
  bool matches = true;
  json_t *answer;
  size_t index;
  json_t *compare;

  lock_store (store);
  json_array_foreach (compares, index, compare)
  {
    if (!compare_matches_locked (store, compare))
      matches = false;
  }
  if (matches)
    run_writes_locked (store, json_object_get (request, "success"));
  answer = make_answer (store->revision);
  pthread_mutex_unlock (&store->lock);
  if (matches)
    json_object_set_new (answer, "succeeded", json_true ());
  return answer;
}

static void
set_lease_locked (bt_store_t *store, const char *number, int64_t ttl_s)
{
  json_int_t ends_ms = now_ms () + ttl_s * MS_PER_S;

  json_object_set_new (store->leases, number,
                       json_pack ("{s:I, s:I}", "ends_ms", ends_ms, "life_s", (json_int_t)ttl_s));
}

json_t *
bt_answer_grant (bt_store_t *store, const json_t *request)
{
  char number[NUMBER_BYTES];
  int64_t ttl_s = get_number (request, "TTL");
  json_t *answer;

  lock_store (store);
  snprintf (number, sizeof number, "%lld", (long long)++store->next_lease);
  set_lease_locked (store, number, ttl_s);
  answer = make_answer (store->revision);
  pthread_mutex_unlock (&store->lock);
  json_object_set_new (answer, "ID", json_string (number));
  json_object_set_new (answer, "TTL", make_number (ttl_s));
  return answer;
}

json_t *
bt_answer_renew (bt_store_t *store, const json_t *request)
{
  char number[NUMBER_BYTES];
  const json_t *lease;
  json_t *result;
  int64_t ttl_s;

  snprintf (number, sizeof number, "%lld", (long long)get_number (request, "ID"));
  lock_store (store);
  lease = json_object_get (store->leases, number);
  ttl_s = get_number (lease, "life_s");
  if (lease != NULL)
    set_lease_locked (store, number, ttl_s);
  result = make_answer (store->revision);
  pthread_mutex_unlock (&store->lock);
  json_object_set_new (result, "ID", json_string (number));
  if (ttl_s > 0)
    json_object_set_new (result, "TTL", make_number (ttl_s));
  return json_pack ("{s:o}", "result", result);
}

json_t *
bt_answer_revoke (bt_store_t *store, const json_t *request)
{
  json_t *answer;

  lock_store (store);
  end_lease_locked (store, get_number (request, "ID"));
  answer = make_answer (store->revision);
  pthread_mutex_unlock (&store->lock);
  return answer;
}

int64_t
bt_get_store_revision (bt_store_t *store)
{
  int64_t revision;

  lock_store (store);
  revision = store->revision;
  pthread_mutex_unlock (&store->lock);
  return revision;
}

static json_t *
find_events_locked (bt_store_t *store, const json_t *create_request, int64_t *revision)
{
  json_t *events = json_array ();
  char key[KEY_BYTES];
  size_t index;
  json_t *event;

  json_array_foreach (store->history, index, event)
  {
    get_key (json_object_get (event, "kv"), "key", key);
    if (get_number (event, "revision") >= *revision && is_in_range (create_request, key))
      json_array_append_new (events, json_deep_copy (event));
  }
  *revision = store->revision + 1;
  return events;
}

json_t *
bt_wait_store_events (bt_store_t *store,
                      const json_t *create_request,
                      int64_t *revision,
                      int64_t wait_ms)
{
  int64_t end_ms = now_ms () + wait_ms;
  struct timespec end = { end_ms / MS_PER_S, end_ms % MS_PER_S * NS_PER_MS };
  json_t *answer = NULL;
  json_t *events;
  int timed_out = 0;

  lock_store (store);
  while (store->revision < *revision && timed_out == 0)
    timed_out = pthread_cond_timedwait (&store->revision_changed, &store->lock, &end);
  events = find_events_locked (store, create_request, revision);
  if (json_array_size (events) > 0)
    {
      answer = make_answer (store->revision);
      json_object_set (answer, "events", events);
      answer = json_pack ("{s:o}", "result", answer);
    }
  pthread_mutex_unlock (&store->lock);
  json_decref (events);
  return answer;
}
