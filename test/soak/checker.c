#include <curl/curl.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/core/identity.h"
#include "soak.h"

enum
{
  MAX_FILES = 512,
  MAX_REQUESTS = 200000,
  ID_BYTES = 24,
  LINE_BYTES = 256,
  /* Once the store has accepted a version, it is in force within this time at all undisturbed
   * gateways. */
  KEY_CHANGE_MS = 2000,
  UNAUTHORIZED = 401,
  NOT_FOUND = 404,
  MISDIRECTED = 421,
  REQUEST_TIMEOUT = 408,
  TOO_MANY_REQUESTS = 429,
  UNAVAILABLE = 503,
  KEY_PREFIX_BYTES = 2, /* length of "k-" */
};

/** One request, as logged by its caller and by the runners. */
typedef struct record
{
  char id[ID_BYTES];
  int32_t runs; /* how often runners ran it */
  bool ended;   /* the caller has logged its end; the fields below are set */
  int32_t kind;
  int32_t gateway;
  int32_t status;
  bool transfer_complete; /* libcurl reported no error */
  bool connected;         /* the caller connected to the gateway */
  bool answer_valid; /* the answer is complete, belongs to this request and has a runner's stamp */
  int64_t began_ms;
  int64_t ended_ms;
} record_t;

/** A log file and how far it has been read. */
typedef struct log_file
{
  char path[BT_SOAK_TEXT_BYTES];
  long offset;
} log_file_t;

struct bt_soak_checker
{
  bt_soak_t *soak;
  bt_soak_poison_t *poison;
  log_file_t files[MAX_FILES];
  int32_t file_count;
  record_t *records; /* hash table with open addressing by id; an empty id marks a free slot */
  int32_t violations;
  /* When each gateway first refused each key that had been valid. */
  int64_t refused_ms[BT_MAX_GATEWAYS][BT_SOAK_KEYS];
};

bt_soak_checker_t *
bt_new_soak_checker (bt_soak_t *soak, bt_soak_poison_t *poison)
{
  bt_soak_checker_t *checker = calloc (1, sizeof *checker);

  checker->soak = soak;
  checker->poison = poison;
  checker->records = calloc (MAX_REQUESTS, sizeof *checker->records);
  return checker;
}

void
bt_drop_soak_checker (bt_soak_checker_t *checker)
{
  free (checker->records);
  free (checker);
}

/* Finds the record of a request, or adds one. */
static record_t *
find_record (bt_soak_checker_t *checker, const char *id)
{
  uint64_t slot = bt_hash_bytes (id, strlen (id), 0) % MAX_REQUESTS;

  while (checker->records[slot].id[0] != '\0' && strcmp (checker->records[slot].id, id) != 0)
    slot = (slot + 1) % MAX_REQUESTS;
  snprintf (checker->records[slot].id, ID_BYTES, "%s", id);
  return &checker->records[slot];
}

static void
report_violation (bt_soak_checker_t *checker,
                  const char *guarantee,
                  const record_t *record,
                  const char *why)
{
  checker->violations++;
  bt_print_soak_event (
      checker->soak,
      "BROKEN %s %s: %s (kind %d, gateway %d, status %d, runs %d, began %lld, ended %lld)",
      guarantee, record->id, why, record->kind, record->gateway, record->status, record->runs,
      (long long)(record->began_ms - checker->soak->start_ms),
      (long long)(record->ended_ms - checker->soak->start_ms));
}

/* Returns true for statuses that assure the caller that the request was not run. */
static bool
means_not_run (int32_t status)
{
  return status == TOO_MANY_REQUESTS || status == UNAVAILABLE || status == REQUEST_TIMEOUT
         || status == MISDIRECTED;
}

/* Run lines and end lines are read in any order, so both call this. */
static void
check_runs (bt_soak_checker_t *checker, const record_t *record)
{
  if (!record->ended || record->kind != BT_SOAK_ONCE)
    return;
  if (record->runs > 1)
    report_violation (checker, "TWICE", record, "it ran more than once");
  if (record->runs > 0 && means_not_run (record->status))
    report_violation (checker, "REFUSED", record,
                      "its status says that it did not run, but it ran");
}

/* Returns true when neither the request's gateway nor the store has been disturbed since a time. */
static bool
is_undisturbed (const bt_soak_checker_t *checker, const record_t *record, int64_t since_ms)
{
  const bt_soak_t *soak = checker->soak;

  return soak->disturbed_ms[record->gateway] < since_ms && soak->store_disturbed_ms < since_ms;
}

/* Checks that a gateway applies the addition and the removal of a numbered key in time. */
static void
check_key (bt_soak_checker_t *checker, const record_t *record, const char *key)
{
  const bt_soak_t *soak = checker->soak;
  int32_t number = (int32_t)strtol (key + KEY_PREFIX_BYTES, NULL, 10);
  const bt_soak_key_t *key_state = &soak->keys[number < 0 ? 0 : number % BT_SOAK_KEYS];

  if (number < 0 || number >= soak->key_count)
    return;
  if (record->status == BT_SOAK_STATUS_OK && key_state->removed
      && record->began_ms > key_state->removed_ms + KEY_CHANGE_MS
      && is_undisturbed (checker, record, key_state->removed_ms))
    report_violation (checker, "CONFIG", record, "its key had been removed long before");
  if (record->status == UNAUTHORIZED && key_state->added
      && record->began_ms > key_state->added_ms + KEY_CHANGE_MS
      && (!key_state->removed || record->ended_ms < key_state->removed_ms)
      && is_undisturbed (checker, record, key_state->added_ms))
    report_violation (checker, "CONFIG", record, "its key had long been valid");
}

/* A gateway that is neither killed nor frozen answers every request that it accepts, also while it
 * stops. Only a stream may be cut off, when its runner fails. */
static void
check_lost (bt_soak_checker_t *checker, const record_t *record)
{
  if (record->connected && !record->transfer_complete && record->kind != BT_SOAK_STREAM
      && checker->soak->halted_ms[record->gateway] < record->began_ms)
    report_violation (checker, "LOST", record, "it was accepted but got no complete answer");
}

static void
check_end (bt_soak_checker_t *checker, const record_t *record, const char *key)
{
  bool good_key = strcmp (key, "k-good") == 0;

  if (record->transfer_complete && record->status == BT_SOAK_STATUS_OK && !record->answer_valid)
    report_violation (checker, "MIXED", record,
                      "the answer belongs to another request or is incomplete");
  if (good_key && (record->status == UNAUTHORIZED || record->status == NOT_FOUND))
    report_violation (checker, "DENIED", record, "every version of the configuration allows it");
  if (!good_key)
    check_key (checker, record, key);
  check_lost (checker, record);
  check_runs (checker, record);
}

static void
check_poison (bt_soak_checker_t *checker, const char *id, int64_t began_ms)
{
  if (bt_check_poison_run (checker->poison, id, began_ms))
    return;
  checker->violations++;
  bt_print_soak_event (checker->soak, "BROKEN BUDGET %s: it crashes runners and is sent too often",
                       id);
}

static void
parse_line (bt_soak_checker_t *checker, const char *line)
{
  char id[ID_BYTES];
  char key[ID_BYTES];
  int32_t kind;
  int32_t gateway;
  int32_t status;
  int32_t code;
  int32_t answer_valid;
  long long began_ms;
  long long ended_ms;
  record_t *record;

  if (sscanf (line, "run %23s %23s %lld", id, key, &began_ms) == 3 && id[0] == 'p')
    check_poison (checker, id, began_ms);
  else if (sscanf (line, "run %23s", id) == 1)
    {
      record = find_record (checker, id);
      record->runs++;
      check_runs (checker, record);
    }
  else if (sscanf (line, "end %23s %d %23s %d %d %d %d %lld %lld", id, &kind, key, &gateway,
                   &status, &code, &answer_valid, &began_ms, &ended_ms)
           == 9)
    {
      record = find_record (checker, id);
      record->ended = true;
      record->kind = kind;
      record->gateway = gateway;
      record->status = status;
      record->transfer_complete = code == 0;
      record->connected = code != CURLE_COULDNT_CONNECT;
      record->answer_valid = answer_valid != 0;
      record->began_ms = began_ms;
      record->ended_ms = ended_ms;
      check_end (checker, record, key);
    }
}

static void
read_file (bt_soak_checker_t *checker, log_file_t *file)
{
  FILE *stream = fopen (file->path, "r");
  char line[LINE_BYTES];

  if (stream == NULL)
    return;
  fseek (stream, file->offset, SEEK_SET);
  while (fgets (line, sizeof line, stream) != NULL && strchr (line, '\n') != NULL)
    {
      parse_line (checker, line);
      file->offset = ftell (stream);
    }
  fclose (stream);
}

static log_file_t *
find_file (bt_soak_checker_t *checker, const char *path)
{
  for (int32_t i = 0; i < checker->file_count; i++)
    if (strcmp (checker->files[i].path, path) == 0)
      return &checker->files[i];
  if (checker->file_count == MAX_FILES)
    return NULL;
  snprintf (checker->files[checker->file_count].path, BT_SOAK_TEXT_BYTES, "%s", path);
  return &checker->files[checker->file_count++];
}

int32_t
bt_check_soak_logs (bt_soak_checker_t *checker)
{
  static const char *const patterns[] = { "i-*.log", "caller-*.log" };

  for (size_t i = 0; i < sizeof patterns / sizeof patterns[0]; i++)
    {
      char pattern[BT_SOAK_TEXT_BYTES];
      glob_t found;

      snprintf (pattern, sizeof pattern, "%s/%s", checker->soak->testbed->folder, patterns[i]);
      if (glob (pattern, 0, NULL, &found) != 0)
        continue;
      for (size_t k = 0; k < found.gl_pathc; k++)
        {
          log_file_t *file = find_file (checker, found.gl_pathv[k]);

          if (file != NULL)
            read_file (checker, file);
        }
      globfree (&found);
    }
  return checker->violations + checker->soak->failed_stops;
}

void
bt_count_soak_requests (const bt_soak_checker_t *checker,
                        int64_t since_ms,
                        int32_t *ended,
                        int32_t *served)
{
  *ended = 0;
  *served = 0;
  for (int32_t i = 0; i < MAX_REQUESTS; i++)
    {
      const record_t *record = &checker->records[i];

      if (!record->ended || record->began_ms < since_ms)
        continue;
      (*ended)++;
      *served += record->transfer_complete
                 && (record->status == BT_SOAK_STATUS_OK || record->status == UNAUTHORIZED);
    }
}
