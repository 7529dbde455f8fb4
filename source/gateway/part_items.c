#include "part_items.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/json_text.h"

enum
{
  BASE_TEN = 10,
  HEX_BASE = 16,
  HASH_DIGITS = 16,
  /* More trials are no valid number. */
  MAX_TRIALS_READ = 1000000,
};

const char *const bt_part_end_prefix = "bilberrytray/part-ends/";
const char *const bt_part_mark_prefix = "bilberrytray/part-marks/";

static uint64_t
hash_name (const char *name)
{
  return bt_hash_bytes (name, strlen (name), 0);
}

/* Writes "STARTED/REPORTER/ENDPOINT" after the prefix. The endpoint comes last because its name may
 * contain any character but a space; the reporter's name is hashed. */
void
bt_write_part_end_key (const bt_part_end_t *end, char key[BT_CRASH_KEY_BYTES])
{
  snprintf (key, BT_CRASH_KEY_BYTES, "%s%" PRIu64 "/%016" PRIx64 "/%s", bt_part_end_prefix,
            end->endpoint.incarnation, hash_name (end->reporter), end->endpoint.instance);
}

static bool
read_end_key (const char *key, bt_part_end_t *end, uint64_t *reporter)
{
  const char *at = key + strlen (bt_part_end_prefix);
  char *after;

  if (at[0] < '0' || at[0] > '9')
    return false;
  end->endpoint.incarnation = strtoull (at, &after, BASE_TEN);
  if (after[0] != '/' || strspn (after + 1, "0123456789abcdef") != HASH_DIGITS
      || after[1 + HASH_DIGITS] != '/')
    return false;
  *reporter = strtoull (after + 1, &after, HEX_BASE);
  if (after[1] == '\0' || strlen (after + 1) >= sizeof end->endpoint.instance)
    return false;
  bt_copy_name (end->endpoint.instance, after + 1);
  return true;
}

static char *
write_object (bt_context_t *ctx, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  char *copy = bt_strdup (ctx, text);

  json_decref (object);
  free (text);
  return copy;
}

/* Lists the parts of an end that are marked as wanted. */
static json_t *
list_parts (const bt_part_end_t *end, bool again)
{
  json_t *list = json_array ();

  for (int32_t i = 0; i < end->count; i++)
    {
      char text[BT_FINGERPRINT_TEXT_BYTES];

      if (end->parts[i].again != again)
        continue;
      bt_write_fingerprint (&end->parts[i].part, text);
      json_array_append_new (list, json_string (text));
    }
  return list;
}

char *
bt_write_part_end_value (bt_context_t *ctx, const bt_part_end_t *end)
{
  return write_object (ctx,
                       json_pack ("{s:s, s:s, s:I, s:o, s:o}", "instance", end->reporter, "app",
                                  end->app, "ended_ms", (json_int_t)end->ended_ms, "parts",
                                  list_parts (end, false), "again", list_parts (end, true)));
}

static bool
copy_name (char target[BT_NAME_BYTES], const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  if (text == NULL || text[0] == '\0' || strlen (text) >= BT_NAME_BYTES)
    return false;
  bt_copy_name (target, text);
  return true;
}

static bool
read_part (const json_t *text, bt_fingerprint_t *part)
{
  return json_is_string (text) && json_string_length (text) == BT_FINGERPRINT_TEXT_BYTES - 1
         && bt_read_fingerprint (json_string_value (text), part);
}

/* Reads one of the two lists of parts behind those that were read before. */
static bool
read_parts (const json_t *list, bool again, bt_part_end_t *end)
{
  size_t count = json_array_size (list);

  if (!json_is_array (list) || (size_t)end->count + count > BT_MAX_END_PARTS)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      bt_end_part_t *part = &end->parts[end->count++];

      part->again = again;
      if (!read_part (json_array_get (list, i), &part->part))
        return false;
    }
  return true;
}

/* Sorts the parts; false if one is there twice. */
static bool
sort_parts (bt_part_end_t *end)
{
  if (end->count > 0)
    qsort (end->parts, (size_t)end->count, sizeof *end->parts, bt_compare_fingerprints);
  for (int32_t i = 1; i < end->count; i++)
    if (bt_same_fingerprint (&end->parts[i - 1].part, &end->parts[i].part))
      return false;
  return true;
}

static bool
read_end_value (bt_context_t *ctx, const json_t *object, bt_part_end_t *end)
{
  const json_t *parts = json_object_get (object, "parts");
  const json_t *again = json_object_get (object, "again");

  end->ended_ms = json_integer_value (json_object_get (object, "ended_ms"));
  if (end->ended_ms <= 0 || !copy_name (end->reporter, object, "instance")
      || !copy_name (end->app, object, "app"))
    return false;
  end->parts = bt_calloc (ctx, BT_MAX_END_PARTS, sizeof *end->parts);
  return read_parts (parts, false, end) && read_parts (again, true, end) && sort_parts (end);
}

bool
bt_read_part_end (
    bt_context_t *ctx, const char *key, const char *text, size_t bytes, bt_part_end_t *end)
{
  json_t *object = bt_load_json (text, bytes, 0, NULL);
  uint64_t reporter;
  bool valid;

  memset (end, 0, sizeof *end);
  valid = read_end_key (key, end, &reporter) && read_end_value (ctx, object, end)
          && hash_name (end->reporter) == reporter;
  json_decref (object);
  if (valid && end->count > 0)
    return true;
  bt_free (ctx, end->parts);
  end->parts = NULL;
  return valid;
}

void
bt_write_part_mark_key (const bt_part_mark_t *mark, char key[BT_CRASH_KEY_BYTES])
{
  char text[BT_FINGERPRINT_TEXT_BYTES];

  bt_write_fingerprint (&mark->part, text);
  snprintf (key, BT_CRASH_KEY_BYTES, "%s%s", bt_part_mark_prefix, text);
}

char *
bt_write_part_mark_value (bt_context_t *ctx, const bt_part_mark_t *mark)
{
  return write_object (ctx, json_pack ("{s:I, s:i, s:I}", "cleared_ms",
                                       (json_int_t)mark->cleared_ms, "trials", (int)mark->trials,
                                       "trial_ms", (json_int_t)mark->trial_ms));
}

/* Reads a whole number from 0 to @p most, 0 if the field is missing. */
static bool
read_number (const json_t *object, const char *field, int64_t most, int64_t *number)
{
  const json_t *value = json_object_get (object, field);

  *number = json_integer_value (value);
  return value == NULL || (json_is_integer (value) && *number >= 0 && *number <= most);
}

bool
bt_read_part_mark (const char *key, const char *text, size_t bytes, bt_part_mark_t *mark)
{
  const char *part = key + strlen (bt_part_mark_prefix);
  json_t *object = bt_load_json (text, bytes, 0, NULL);
  int64_t trials = 0;
  bool valid;

  memset (mark, 0, sizeof *mark);
  valid = json_is_object (object)
          && read_number (object, "cleared_ms", INT64_MAX, &mark->cleared_ms)
          && read_number (object, "trials", MAX_TRIALS_READ, &trials)
          && read_number (object, "trial_ms", INT64_MAX, &mark->trial_ms)
          && bt_read_fingerprint (part, &mark->part) && part[BT_FINGERPRINT_TEXT_BYTES - 1] == '\0';
  mark->trials = (int32_t)trials;
  json_decref (object);
  return valid;
}

static bool
starts_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

bool
bt_is_part_key (const char *key)
{
  return starts_with (key, bt_part_end_prefix) || starts_with (key, bt_part_mark_prefix);
}

static bool
read_listed_end (bt_context_t *ctx, const bt_kv_pair_t *pair, bt_part_list_t *list)
{
  bt_listed_part_end_t listed = { .revision = pair->mod_revision };

  if (!bt_read_part_end (ctx, pair->key, pair->value, pair->value_bytes, &listed.end))
    return false;
  list->ends = bt_realloc (ctx, list->ends, (size_t)list->end_count + 1, sizeof *list->ends);
  list->ends[list->end_count++] = listed;
  return true;
}

static bool
read_listed_mark (bt_context_t *ctx, const bt_kv_pair_t *pair, bt_part_list_t *list)
{
  bt_listed_part_mark_t listed = { .revision = pair->mod_revision };

  if (!bt_read_part_mark (pair->key, pair->value, pair->value_bytes, &listed.mark))
    return false;
  list->marks = bt_realloc (ctx, list->marks, (size_t)list->mark_count + 1, sizeof *list->marks);
  list->marks[list->mark_count++] = listed;
  return true;
}

bool
bt_read_listed_part (bt_context_t *ctx, const bt_kv_pair_t *pair, bt_part_list_t *list)
{
  return starts_with (pair->key, bt_part_end_prefix) ? read_listed_end (ctx, pair, list)
                                                     : read_listed_mark (ctx, pair, list);
}

void
bt_clear_part_list (bt_context_t *ctx, bt_part_list_t *list)
{
  for (int32_t i = 0; i < list->end_count; i++)
    bt_free (ctx, list->ends[i].end.parts);
  bt_free (ctx, list->ends);
  bt_free (ctx, list->marks);
}
