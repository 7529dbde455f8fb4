#include "etcd_json.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/log.h"

enum
{
  NUMBER_BYTES = 24,
  BASE_TEN = 10,
};

json_t *
bt_encode_etcd_bytes (bt_context_t *ctx, const char *data, size_t bytes)
{
  size_t capacity = sodium_base64_ENCODED_LEN (bytes, sodium_base64_VARIANT_ORIGINAL);
  char *text = bt_calloc (ctx, capacity, 1);
  json_t *string;

  sodium_bin2base64 (text, capacity, (const unsigned char *)data, bytes,
                     sodium_base64_VARIANT_ORIGINAL);
  string = json_string (text);
  bt_free (ctx, text);
  return string;
}

json_t *
bt_encode_etcd_number (int64_t number)
{
  char text[NUMBER_BYTES];

  snprintf (text, sizeof text, "%lld", (long long)number);
  return json_string (text);
}

int64_t
bt_decode_etcd_number (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_integer (value))
    return json_integer_value (value);
  if (json_is_string (value))
    return strtoll (json_string_value (value), NULL, BASE_TEN);
  return 0;
}

/* Decodes a base64 field and appends a zero byte. NULL if the text is not base64. A missing field
 * is decoded as empty, since the gateway omits empty values. */
static char *
decode_bytes (bt_context_t *ctx, const json_t *object, const char *name, size_t *bytes)
{
  const json_t *value = json_object_get (object, name);
  const char *text = json_is_string (value) ? json_string_value (value) : "";
  size_t length = strlen (text);
  char *data = bt_calloc (ctx, length + 1, 1);

  if (sodium_base642bin ((unsigned char *)data, length + 1, text, length, NULL, bytes, NULL,
                         sodium_base64_VARIANT_ORIGINAL)
      == 0)
    {
      data[*bytes] = '\0';
      return data;
    }
  bt_free (ctx, data);
  return NULL;
}

/* Sets "key" and, for a prefix, "range_end": the prefix with its last byte incremented. */
static void
set_range (bt_context_t *ctx, json_t *object, const char *key, bool prefix)
{
  size_t bytes = strlen (key);
  char *end;

  json_object_set_new (object, "key", bt_encode_etcd_bytes (ctx, key, bytes));
  if (!prefix || bytes == 0)
    return;
  end = bt_strdup (ctx, key);
  end[bytes - 1] = (char)(end[bytes - 1] + 1);
  json_object_set_new (object, "range_end", bt_encode_etcd_bytes (ctx, end, bytes));
  bt_free (ctx, end);
}

static char *
serialize (json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  json_decref (object);
  return text;
}

char *
bt_write_etcd_range (bt_context_t *ctx, const char *key, bool prefix, int64_t min_revision)
{
  json_t *object = json_object ();

  set_range (ctx, object, key, prefix);
  if (min_revision > 0)
    json_object_set_new (object, "min_mod_revision", bt_encode_etcd_number (min_revision));
  return serialize (object);
}

static json_t *
make_put (bt_context_t *ctx, const bt_kv_write_t *write)
{
  json_t *object = json_object ();

  set_range (ctx, object, write->key, false);
  json_object_set_new (object, "value",
                       bt_encode_etcd_bytes (ctx, write->value, write->value_bytes));
  if (write->lease != 0)
    json_object_set_new (object, "lease", bt_encode_etcd_number (write->lease));
  return object;
}

char *
bt_write_etcd_put (bt_context_t *ctx, const bt_kv_write_t *write)
{
  return serialize (make_put (ctx, write));
}

static json_t *
make_compare (bt_context_t *ctx, const bt_kv_compare_t *compare)
{
  json_t *object = json_object ();

  set_range (ctx, object, compare->key, false);
  json_object_set_new (object, "target", json_string ("MOD"));
  json_object_set_new (object, "result", json_string ("EQUAL"));
  json_object_set_new (object, "mod_revision", bt_encode_etcd_number (compare->mod_revision));
  return object;
}

static json_t *
make_write (bt_context_t *ctx, const bt_kv_write_t *write)
{
  json_t *object = json_object ();
  json_t *request;

  if (write->kind == BT_KV_PUT)
    json_object_set_new (object, "request_put", make_put (ctx, write));
  else
    {
      request = json_object ();
      set_range (ctx, request, write->key, false);
      json_object_set_new (object, "request_delete_range", request);
    }
  return object;
}

char *
bt_write_etcd_txn (bt_context_t *ctx, const bt_kv_txn_t *txn)
{
  json_t *object = json_object ();
  json_t *compares = json_array ();
  json_t *writes = json_array ();

  for (int32_t i = 0; i < txn->compare_count; i++)
    json_array_append_new (compares, make_compare (ctx, &txn->compares[i]));
  for (int32_t i = 0; i < txn->write_count; i++)
    json_array_append_new (writes, make_write (ctx, &txn->writes[i]));
  json_object_set_new (object, "compare", compares);
  json_object_set_new (object, "success", writes);
  return serialize (object);
}

char *
bt_write_etcd_watch (bt_context_t *ctx, const char *prefix, int64_t start_revision)
{
  json_t *object = json_object ();
  json_t *request = json_object ();

  set_range (ctx, request, prefix, true);
  if (start_revision > 0)
    json_object_set_new (request, "start_revision", bt_encode_etcd_number (start_revision));
  json_object_set_new (object, "create_request", request);
  return serialize (object);
}

char *
bt_write_etcd_lease (int64_t lease, int64_t ttl_s)
{
  json_t *object = json_object ();

  json_object_set_new (object, "ID", bt_encode_etcd_number (lease));
  if (ttl_s > 0)
    json_object_set_new (object, "TTL", bt_encode_etcd_number (ttl_s));
  return serialize (object);
}

/* A key with a zero byte can't be kept, and must not be taken for another one that ends there. */
static bool
read_pair (bt_context_t *ctx, const json_t *object, bt_kv_pair_t *pair)
{
  size_t key_bytes;

  pair->key = decode_bytes (ctx, object, "key", &key_bytes);
  pair->value = decode_bytes (ctx, object, "value", &pair->value_bytes);
  pair->mod_revision = bt_decode_etcd_number (object, "mod_revision");
  pair->create_revision = bt_decode_etcd_number (object, "create_revision");
  pair->lease = bt_decode_etcd_number (object, "lease");
  return pair->key != NULL && strlen (pair->key) == key_bytes && pair->value != NULL
         && pair->mod_revision > 0;
}

static void
clear_pair (bt_context_t *ctx, bt_kv_pair_t *pair)
{
  bt_free (ctx, pair->key);
  bt_free (ctx, pair->value);
  memset (pair, 0, sizeof *pair);
}

bool
bt_read_etcd_range (bt_context_t *ctx, const json_t *answer, bool prefix, bt_kv_range_t *range)
{
  const json_t *pairs = json_object_get (answer, "kvs");
  bool valid;

  memset (range, 0, sizeof *range);
  range->revision = bt_read_etcd_revision (answer);
  range->pairs = bt_calloc (ctx, json_array_size (pairs), sizeof *range->pairs);
  valid = range->revision != 0;
  for (size_t i = 0; i < json_array_size (pairs); i++)
    {
      bt_kv_pair_t *pair = &range->pairs[range->count];

      if (read_pair (ctx, json_array_get (pairs, i), pair))
        {
          range->count++;
          continue;
        }
      /* Without its value, a single pair that was asked for would seem to be missing. */
      valid = valid && prefix;
      if (prefix)
        bt_log (ctx, BT_LOG_ERROR, BT_PART_STORE, "kvs[%zu] (%s) can't be read and is left out.", i,
                pair->key == NULL ? "no key" : pair->key);
      clear_pair (ctx, pair);
    }
  if (!valid)
    bt_drop_kv_range (ctx, range);
  return valid;
}

int64_t
bt_read_etcd_revision (const json_t *answer)
{
  return bt_decode_etcd_number (json_object_get (answer, "header"), "revision");
}
