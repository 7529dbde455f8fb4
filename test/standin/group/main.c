/** @file
 * Stand-in for a lock-step rank group: one HTTP server for the engines of all ranks.
 *
 *   GET  /ranks/R/state   the engine's state
 *   POST /ranks/R/orders  {"kind","fence","round":[F,S],"step","digest","apply","hold"}; the answer
 *                         is {"accepted":B,"state":{...}}
 *   GET  /ranks/R/loads   {"layers","experts","tokens":[...]}; one expert of each layer is hot
 *   GET  /group           {"steps","held","violation"}
 *   POST /fault           see standin_http.h: "down" and "lost-answer", matched against "R/KIND";
 *                         also "stall-R", "run-R" and "replace-R" for the engine of rank R
 *
 * The process aborts with a message that names step and rank when two ranks use different maps in
 * one step.
 *
 * Flags: --ranks N, --step-ms N, --layers N, --experts N, --ignore-fences, --port N, --life-s N.
 */

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../../maps/lockstep.h"
#include "standin_http.h"

enum
{
  DEFAULT_RANKS = 3,
  DEFAULT_STEP_MS = 6,
  DEFAULT_LAYERS = 4,
  DEFAULT_EXPERTS = 12,
  COLD_TOKENS = 100,
  HOT_TOKENS = 1500,
  HOT_STRIDE = 5,
  NS_PER_MS = 1000000,
  MS_PER_S = 1000,
  BASE_TEN = 10,
  BASE_HEX = 16,
  HEX_BYTES = 20,
  NAME_BYTES = 64,
};

/** The group, the duration of its steps and the size of its loads. */
typedef struct group_server
{
  pthread_mutex_t lock; /**< Guards the group. */
  lockstep_t group;
  int64_t step_ms;
  int64_t layers;
  int64_t experts;
} group_server_t;

/* Replaces the function of the core, which is not linked, so that the stand-in shares no logic with
 * the code under test. */
const char *
bt_name_map_order (bt_map_order_kind_t kind)
{
  static const char *const names[] = { "stage",        "arm",         "decide",  "learn",
                                       "cancel",       "query",       "join",    "load-model",
                                       "load-adapter", "set-version", "set-role" };

  return names[kind];
}

static bool
read_kind (const char *name, bt_map_order_kind_t *kind)
{
  for (int32_t i = BT_MAP_STAGE; i <= BT_MAP_SET_ROLE; i++)
    if (name != NULL && strcmp (name, bt_name_map_order ((bt_map_order_kind_t)i)) == 0)
      {
        *kind = (bt_map_order_kind_t)i;
        return true;
      }
  return false;
}

/* 64-bit numbers are sent as hexadecimal text, because JSON numbers are signed or inexact. */
static uint64_t
read_hex (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));

  return text == NULL ? 0 : strtoull (text, NULL, BASE_HEX);
}

static json_t *
make_hex (uint64_t value)
{
  char text[HEX_BYTES];

  snprintf (text, sizeof text, "%llx", (unsigned long long)value);
  return json_string (text);
}

static bt_round_id_t
read_round (const json_t *body, const char *name)
{
  const json_t *pair = json_object_get (body, name);
  bt_round_id_t round = { (uint64_t)json_integer_value (json_array_get (pair, 0)),
                          (uint64_t)json_integer_value (json_array_get (pair, 1)) };

  return round;
}

static json_t *
make_round (bt_round_id_t round)
{
  return json_pack ("[I,I]", (json_int_t)round.fence, (json_int_t)round.sequence);
}

static json_t *
make_state (const bt_engine_state_t *state)
{
  json_t *body = json_object ();

  json_object_set_new (body, "incarnation", make_hex (state->incarnation));
  json_object_set_new (body, "joined", json_boolean (state->joined));
  json_object_set_new (body, "next_step", json_integer ((json_int_t)state->next_step));
  json_object_set_new (body, "in_use", make_round (state->in_use));
  json_object_set_new (body, "in_use_digest", make_hex (state->in_use_digest));
  json_object_set_new (body, "staged", make_round (state->staged));
  json_object_set_new (body, "staged_digest", make_hex (state->staged_digest));
  json_object_set_new (body, "armed", make_round (state->armed));
  json_object_set_new (body, "armed_step", json_integer ((json_int_t)state->armed_step));
  json_object_set_new (body, "decided", make_round (state->decided));
  json_object_set_new (body, "decided_apply", json_boolean (state->decided_apply));
  return body;
}

static bool
read_order (const char *text, bt_map_order_t *order)
{
  json_t *body = json_loads (text, 0, NULL);
  bool known = read_kind (json_string_value (json_object_get (body, "kind")), &order->kind);

  order->fence = (uint64_t)json_integer_value (json_object_get (body, "fence"));
  order->round = read_round (body, "round");
  order->step = (uint64_t)json_integer_value (json_object_get (body, "step"));
  order->digest = read_hex (body, "digest");
  order->apply = json_is_true (json_object_get (body, "apply"));
  order->hold = json_is_true (json_object_get (body, "hold"));
  json_decref (body);
  return known;
}

static void
abort_on_violation (const lockstep_t *group)
{
  if (group->violation[0] == '\0')
    return;
  fprintf (stderr, "standin-group: %s\n", group->violation);
  abort ();
}

static void
answer_order (group_server_t *server,
              bt_standin_t *standin,
              int32_t rank,
              const bt_standin_request_t *request,
              bt_standin_answer_t *answer)
{
  bt_map_order_t order = { 0 };
  char name[NAME_BYTES];
  char fault[BT_FAULT_BYTES];
  bool accepted;
  json_t *body;

  if (!read_order (request->body, &order))
    {
      answer->status = MHD_HTTP_BAD_REQUEST;
      return;
    }
  snprintf (name, sizeof name, "%d/%s", rank, bt_name_map_order (order.kind));
  bt_consume_standin_fault (standin, name, fault);
  answer->drop = strcmp (fault, "down") == 0 || strcmp (fault, "lost-answer") == 0;
  if (strcmp (fault, "down") == 0)
    return;
  pthread_mutex_lock (&server->lock);
  accepted = lockstep_order (&server->group, rank, &order);
  abort_on_violation (&server->group);
  body = json_pack ("{s:b,s:o}", "accepted", accepted, "state",
                    make_state (&server->group.ranks[rank].state));
  pthread_mutex_unlock (&server->lock);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
answer_group (group_server_t *server, bt_standin_answer_t *answer)
{
  json_t *body;

  pthread_mutex_lock (&server->lock);
  body = json_pack ("{s:I,s:I,s:s}", "steps", (json_int_t)server->group.steps, "held",
                    (json_int_t)server->group.held, "violation", server->group.violation);
  pthread_mutex_unlock (&server->lock);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
answer_state (group_server_t *server, int32_t rank, bt_standin_answer_t *answer)
{
  json_t *body;

  pthread_mutex_lock (&server->lock);
  body = make_state (&server->group.ranks[rank].state);
  pthread_mutex_unlock (&server->lock);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
answer_loads (const group_server_t *server, bt_standin_answer_t *answer)
{
  json_t *tokens = json_array ();
  json_t *body;

  for (int64_t layer = 0; layer < server->layers; layer++)
    for (int64_t expert = 0; expert < server->experts; expert++)
      json_array_append_new (
          tokens,
          json_integer (expert == layer * HOT_STRIDE % server->experts ? HOT_TOKENS : COLD_TOKENS));
  body = json_pack ("{s:I,s:I,s:o}", "layers", (json_int_t)server->layers, "experts",
                    (json_int_t)server->experts, "tokens", tokens);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
answer_request (void *data,
                bt_standin_t *standin,
                const bt_standin_request_t *request,
                bt_standin_answer_t *answer)
{
  group_server_t *server = data;
  char *path = NULL;
  long rank = -1;

  if (strcmp (request->url, "/group") == 0)
    {
      answer_group (server, answer);
      return;
    }
  if (strncmp (request->url, "/ranks/", strlen ("/ranks/")) == 0)
    rank = strtol (request->url + strlen ("/ranks/"), &path, BASE_TEN);
  if (rank < 0 || rank >= server->group.count)
    answer->status = MHD_HTTP_NOT_FOUND;
  else if (strcmp (path, "/state") == 0)
    answer_state (server, (int32_t)rank, answer);
  else if (strcmp (path, "/loads") == 0)
    answer_loads (server, answer);
  else if (strcmp (path, "/orders") == 0 && strcmp (request->method, "POST") == 0)
    answer_order (server, standin, (int32_t)rank, request, answer);
  else
    answer->status = MHD_HTTP_NOT_FOUND;
}

/* Applies the faults that act on a rank's engine at once: stall, run and replace. */
static void
apply_fault (void *data, const char *kind)
{
  group_server_t *server = data;
  const char *dash = strchr (kind, '-');
  long rank = dash == NULL ? -1 : strtol (dash + 1, NULL, BASE_TEN);

  if (rank < 0 || rank >= server->group.count)
    return;
  pthread_mutex_lock (&server->lock);
  if (strncmp (kind, "stall-", strlen ("stall-")) == 0)
    server->group.ranks[rank].stalled = true;
  else if (strncmp (kind, "run-", strlen ("run-")) == 0)
    server->group.ranks[rank].stalled = false;
  else if (strncmp (kind, "replace-", strlen ("replace-")) == 0)
    lockstep_replace (&server->group, (int32_t)rank);
  pthread_mutex_unlock (&server->lock);
}

static void *
run_steps (void *data)
{
  group_server_t *server = data;
  struct timespec pause = { server->step_ms / MS_PER_S,
                            server->step_ms % MS_PER_S * (int64_t)NS_PER_MS };

  for (;;)
    {
      nanosleep (&pause, NULL);
      pthread_mutex_lock (&server->lock);
      lockstep_step (&server->group);
      abort_on_violation (&server->group);
      pthread_mutex_unlock (&server->lock);
    }
  return NULL;
}

static int64_t
read_flag (int argc, char **argv, const char *name, int64_t value)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      value = strtoll (argv[i + 1], NULL, BASE_TEN);
  return value;
}

int
main (int argc, char **argv)
{
  static group_server_t server = { .lock = PTHREAD_MUTEX_INITIALIZER };
  bt_standin_callbacks_t callbacks = { &server, answer_request, apply_fault };
  int64_t ranks = read_flag (argc, argv, "--ranks", DEFAULT_RANKS);
  bool ignore_fences = false;
  pthread_t thread;

  for (int i = 1; i < argc; i++)
    ignore_fences = ignore_fences || strcmp (argv[i], "--ignore-fences") == 0;
  if (ranks < 1 || ranks > LOCKSTEP_MAX_RANKS)
    return 1;
  server.step_ms = read_flag (argc, argv, "--step-ms", DEFAULT_STEP_MS);
  server.layers = read_flag (argc, argv, "--layers", DEFAULT_LAYERS);
  server.experts = read_flag (argc, argv, "--experts", DEFAULT_EXPERTS);
  lockstep_start (&server.group, (int32_t)ranks, ignore_fences);
  if (pthread_create (&thread, NULL, run_steps, &server) != 0)
    return 1;
  return bt_run_standin (argc, argv, &callbacks);
}
