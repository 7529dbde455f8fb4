#include "crash_items.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/json_text.h"

enum
{
  BASE_TEN = 10,
};

const char *const bt_crash_prefix = "bilberrytray/crashes/";

/* Writes "FINGERPRINT/STARTED/INSTANCE" after the prefix. The instance comes last because its name
 * may contain any character but a space. */
void
bt_write_crash_key (const bt_crash_t *crash, char key[BT_CRASH_KEY_BYTES])
{
  char text[BT_FINGERPRINT_TEXT_BYTES];

  bt_write_fingerprint (&crash->request, text);
  snprintf (key, BT_CRASH_KEY_BYTES, "%s%s/%" PRIu64 "/%s", bt_crash_prefix, text,
            crash->endpoint.incarnation, crash->endpoint.instance);
}

bool
bt_read_crash_key (const char *key, bt_crash_t *crash)
{
  const char *at = key + strlen (bt_crash_prefix);
  char *end;

  memset (crash, 0, sizeof *crash);
  if (!bt_read_fingerprint (at, &crash->request))
    return false;
  at += BT_FINGERPRINT_TEXT_BYTES - 1;
  if (at[0] != '/' || at[1] < '0' || at[1] > '9')
    return false;
  crash->endpoint.incarnation = strtoull (at + 1, &end, BASE_TEN);
  if (end[0] != '/' || end[1] == '\0' || strlen (end + 1) >= sizeof crash->endpoint.instance)
    return false;
  bt_copy_name (crash->endpoint.instance, end + 1);
  return true;
}

char *
bt_write_crash_value (bt_context_t *ctx, const bt_crash_t *crash, const char *instance)
{
  json_t *object = json_pack ("{s:s, s:I, s:b}", "instance", instance, "ended_ms",
                              (json_int_t)crash->ended_ms, "at_start", crash->at_start);
  char *text = json_dumps (object, JSON_COMPACT);
  char *copy = bt_strdup (ctx, text);

  json_decref (object);
  free (text);
  return copy;
}

void
bt_read_crash_value (const char *text, size_t bytes, bt_crash_t *crash)
{
  json_t *object = bt_load_json (text, bytes, 0, NULL);
  int64_t ended_ms = json_integer_value (json_object_get (object, "ended_ms"));

  crash->ended_ms = ended_ms > 0 ? ended_ms : 0;
  crash->at_start = json_is_true (json_object_get (object, "at_start"));
  json_decref (object);
}
