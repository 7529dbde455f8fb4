#include "bilberrytray/store/instances.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/store/http_client.h"

enum
{
  URL_BYTES = 256,
  HTTP_OK = 200,
  ANSWER_BYTES = 16 << 20,
};

typedef struct http_instances
{
  bt_instances_t base;
  pthread_mutex_t lock; /**< One call at a time. */
  bt_http_client_t *client;
  int32_t cancelled;
  char url[URL_BYTES];
  bt_counter_t *done;
  bt_counter_t *failed;
} http_instances_t;

typedef struct list_reader
{
  const json_t *object;
  int32_t index;
  bt_error_t *error;
} list_reader_t;

static bool
read_text (
    const list_reader_t *reader, const char *name, bool required, char *target, size_t capacity)
{
  const json_t *value = json_object_get (reader->object, name);

  if (value == NULL && !required)
    return true;
  if (!json_is_string (value) || json_string_length (value) == 0)
    return bt_set_error (reader->error, BT_ERROR_FORMAT,
                         "instances[%d].%s: must be a string that is not empty.",
                         (int)reader->index, name);
  if (json_string_length (value) >= capacity)
    return bt_set_error (reader->error, BT_ERROR_FORMAT,
                         "instances[%d].%s: is longer than %zu bytes.", (int)reader->index, name,
                         capacity - 1);
  memcpy (target, json_string_value (value), json_string_length (value) + 1);
  return true;
}

/* Reads a field that must be one of two words. */
static bool
read_choice (const list_reader_t *reader,
             const char *name,
             const char *first,
             const char *second,
             bool *is_second)
{
  char word[BT_NAME_BYTES] = "";

  if (!read_text (reader, name, true, word, sizeof word))
    return false;
  *is_second = strcmp (word, second) == 0;
  if (!*is_second && strcmp (word, first) != 0)
    return bt_set_error (reader->error, BT_ERROR_FORMAT,
                         "instances[%d].%s: must be \"%s\" or \"%s\".", (int)reader->index, name,
                         first, second);
  return true;
}

static bool
read_instance (const list_reader_t *reader, bt_listed_instance_t *listed)
{
  bool agent;

  if (!read_choice (reader, "role", "entry", "agent", &agent)
      || !read_choice (reader, "state", "live", "leaving", &listed->leaving))
    return false;
  listed->role = agent ? BT_LISTED_AGENT : BT_LISTED_ENTRY;
  return read_text (reader, "instance", true, listed->instance, BT_NAME_BYTES)
         && read_text (reader, "address", true, listed->address, BT_ADDRESS_BYTES)
         && read_text (reader, "failure_domain", true, listed->failure_domain, BT_NAME_BYTES)
         && read_text (reader, "endpoint", agent, listed->endpoint, BT_NAME_BYTES)
         && read_text (reader, "app", agent, listed->app, BT_NAME_BYTES)
         && read_text (reader, "http", !agent, listed->http, BT_ADDRESS_BYTES);
}

static bool
read_list (bt_context_t *ctx, const json_t *root, bt_instance_list_t *list, bt_error_t *error)
{
  const json_t *instances = json_object_get (root, "instances");
  const json_t *revision = json_object_get (root, "revision");

  if (!json_is_integer (revision))
    return bt_set_error (error, BT_ERROR_FORMAT, "revision: must be a whole number.");
  if (!json_is_array (instances))
    return bt_set_error (error, BT_ERROR_FORMAT, "instances: must be a list.");
  list->revision = json_integer_value (revision);
  list->count = (int32_t)json_array_size (instances);
  list->instances = bt_calloc (ctx, (size_t)list->count, sizeof *list->instances);
  for (int32_t i = 0; i < list->count; i++)
    {
      list_reader_t reader = { json_array_get (instances, (size_t)i), i, error };

      if (!read_instance (&reader, &list->instances[i]))
        return false;
    }
  return true;
}

bool
bt_parse_instance_list (
    bt_context_t *ctx, const char *text, size_t bytes, bt_instance_list_t *list, bt_error_t *error)
{
  bt_instance_list_t parsed = { 0 };
  json_error_t place;
  json_t *root = json_loadb (text, bytes, JSON_REJECT_DUPLICATES, &place);
  bool valid;

  if (root == NULL)
    return bt_set_error (error, BT_ERROR_FORMAT, "Instance list, line %d: %s", place.line,
                         place.text);
  valid = read_list (ctx, root, &parsed, error);
  json_decref (root);
  if (!valid)
    {
      bt_drop_instance_list (ctx, &parsed);
      return false;
    }
  bt_drop_instance_list (ctx, list);
  *list = parsed;
  return true;
}

void
bt_drop_instance_list (bt_context_t *ctx, bt_instance_list_t *list)
{
  bt_free (ctx, list->instances);
  memset (list, 0, sizeof *list);
}

static bool
call_list (bt_context_t *ctx,
           http_instances_t *instances,
           bt_instance_list_t *list,
           bt_error_t *error)
{
  bt_http_request_t request = { .url = instances->url };
  bt_http_answer_t answer;

  if (!bt_call_http (ctx, instances->client, &request, &answer, error))
    return false;
  if (answer.status != HTTP_OK)
    return bt_set_error (error, BT_ERROR_REFUSED,
                         "The request for the instance list was answered with status %d.",
                         (int)answer.status);
  return bt_parse_instance_list (ctx, answer.body, answer.body_bytes, list, error);
}

static bool
http_read (bt_context_t *ctx, bt_instances_t *base, bt_instance_list_t *list, bt_error_t *error)
{
  http_instances_t *instances = (http_instances_t *)base;
  bool done;

  pthread_mutex_lock (&instances->lock);
  done = call_list (ctx, instances, list, error);
  pthread_mutex_unlock (&instances->lock);
  bt_add_counter (done ? instances->done : instances->failed, 1);
  return done;
}

static void
http_drop (bt_context_t *ctx, bt_instances_t *base)
{
  http_instances_t *instances = (http_instances_t *)base;

  bt_drop_http_client (ctx, instances->client);
  pthread_mutex_destroy (&instances->lock);
  bt_free (ctx, instances);
}

static const bt_instances_vtable_t http_vtable = { http_read, http_drop };

static bt_counter_t *
find_call_counter (bt_context_t *ctx, const char *result)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_list_calls_total",
                          "Reads of the instance list by result.", "result", result);
}

bt_instances_t *
bt_new_http_instances (bt_context_t *ctx, const char *url, int64_t total_ms)
{
  http_instances_t *instances = bt_calloc (ctx, 1, sizeof *instances);
  bt_http_limits_t limits = { total_ms, total_ms, total_ms, ANSWER_BYTES };

  instances->base.vtable = &http_vtable;
  snprintf (instances->url, URL_BYTES, "%s/instances", url);
  pthread_mutex_init (&instances->lock, NULL);
  instances->client = bt_new_http_client (ctx, &limits, &instances->cancelled);
  instances->done = find_call_counter (ctx, "done");
  instances->failed = find_call_counter (ctx, "failed");
  return &instances->base;
}

void
bt_drop_instances (bt_context_t *ctx, bt_instances_t *instances)
{
  if (instances != NULL)
    instances->vtable->drop (ctx, instances);
}

bool
bt_read_instances (bt_context_t *ctx,
                   bt_instances_t *instances,
                   bt_instance_list_t *list,
                   bt_error_t *error)
{
  return instances->vtable->read (ctx, instances, list, error);
}
