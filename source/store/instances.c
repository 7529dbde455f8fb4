#include "bilberrytray/store/instances.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/json_text.h"
#include "bilberrytray/base/log.h"
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

static const bt_listed_instance_t *
find_instance (const bt_instance_list_t *list, const char *name)
{
  for (int32_t i = 0; i < list->count; i++)
    if (strcmp (list->instances[i].instance, name) == 0)
      return &list->instances[i];
  return NULL;
}

/* Adds the instances of the previous list that the new one does not show. */
static void
keep_missing (bt_context_t *ctx, const bt_instance_list_t *previous, bt_instance_list_t *list)
{
  list->instances = bt_realloc (ctx, list->instances, (size_t)list->count + (size_t)previous->count,
                                sizeof *list->instances);
  for (int32_t i = 0; i < previous->count; i++)
    if (find_instance (list, previous->instances[i].instance) == NULL)
      list->instances[list->count++] = previous->instances[i];
}

/* Adds what the previous list says of an instance whose row can't be read. Returns false if the row
 * does not name one: then any that the new list does not show may be meant. */
static bool
keep_unreadable (const json_t *row, const bt_instance_list_t *previous, bt_instance_list_t *list)
{
  const char *name = json_string_value (json_object_get (row, "instance"));
  const bt_listed_instance_t *known = name == NULL ? NULL : find_instance (previous, name);

  if (known != NULL && find_instance (list, name) == NULL)
    list->instances[list->count++] = *known;
  return name != NULL;
}

/* Reads the rows of a list. One that can't be read is left out, and logged once a revision;
 * instances of the previous list that it may stand for are kept, since they may be live. */
static void
read_rows (bt_context_t *ctx,
           const json_t *rows,
           const bt_instance_list_t *previous,
           bt_instance_list_t *list)
{
  const size_t count = json_array_size (rows);
  bool *unreadable = bt_calloc (ctx, count + 1, sizeof *unreadable);
  bool named = true;

  list->instances = bt_calloc (ctx, count, sizeof *list->instances);
  for (size_t i = 0; i < count; i++)
    {
      bt_error_t error = { 0 };
      const list_reader_t reader = { json_array_get (rows, i), (int32_t)i, &error };
      bt_listed_instance_t listed = { 0 };

      unreadable[i] = !read_instance (&reader, &listed);
      if (!unreadable[i])
        list->instances[list->count++] = listed;
      else if (previous->revision != list->revision)
        bt_log (ctx, BT_LOG_ERROR, BT_PART_MEMBERS, "A row of the instance list is left out: %s",
                error.message);
    }
  for (size_t i = 0; i < count; i++)
    if (unreadable[i])
      named = keep_unreadable (json_array_get (rows, i), previous, list) && named;
  if (!named)
    keep_missing (ctx, previous, list);
  bt_free (ctx, unreadable);
}

static bool
read_list (bt_context_t *ctx,
           const json_t *root,
           const bt_instance_list_t *previous,
           bt_instance_list_t *list,
           bt_error_t *error)
{
  const json_t *instances = json_object_get (root, "instances");
  const json_t *revision = json_object_get (root, "revision");

  if (!json_is_integer (revision))
    return bt_set_error (error, BT_ERROR_FORMAT, "revision: must be a whole number.");
  if (!json_is_array (instances))
    return bt_set_error (error, BT_ERROR_FORMAT, "instances: must be a list.");
  list->revision = json_integer_value (revision);
  read_rows (ctx, instances, previous, list);
  return true;
}

bool
bt_parse_instance_list (
    bt_context_t *ctx, const char *text, size_t bytes, bt_instance_list_t *list, bt_error_t *error)
{
  bt_instance_list_t parsed = { 0 };
  json_error_t place;
  json_t *root = bt_load_json (text, bytes, JSON_REJECT_DUPLICATES, &place);
  bool valid;

  if (root == NULL)
    return bt_set_error (error, BT_ERROR_FORMAT, "Instance list, line %d: %s", place.line,
                         place.text);
  valid = read_list (ctx, root, list, &parsed, error);
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
