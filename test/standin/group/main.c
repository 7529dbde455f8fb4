/** @file
 * A stand-in for a lock-step rank group: one HTTP server for the engines of all ranks.
 *
 *   GET  /ranks/R/state   the engine's state
 *   POST /ranks/R/orders  {"kind","fence","round":[F,S],"step","digest","apply","hold"}; the answer
 *                         is {"accepted":B,"state":{...}}
 *   GET  /ranks/R/loads   {"layers","experts","tokens":[...]}: in each layer one expert is hot
 *   GET  /group           {"steps","held","violation"}
 *   POST /fault           "down" and "lost-answer" match "R/KIND"; also "stall-R", "run-R" and
 *                         "replace-R"
 *
 * It aborts, naming step and rank, the moment two ranks use different maps in one step. Flags:
 * --ranks N, --step-ms N, --layers N, --experts N, --ignore-fences, --port N, --life-s N.
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
  COOL_TOKENS = 100,
  HOT_TOKENS = 1500,
  HOT_STRIDE = 5,
  NS_PER_MS = 1000000,
  MS_PER_S = 1000,
  BASE_TEN = 10,
  BASE_HEX = 16,
  HEX_BYTES = 20,
  NAME_BYTES = 64,
};

/** The group and its pace. */
typedef struct pace
{
  pthread_mutex_t lock; /**< Guards the group. */
  lockstep_t group;
  int64_t step_ms;
  int64_t layers;
  int64_t experts;
} pace_t;

/* The core's function is not linked here; the stand-in shares no decision with it. */
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

/* Numbers of 64 bits travel as hexadecimal text: JSON's are signed or inexact. */
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
check_group (const lockstep_t *group)
{
  if (group->violation[0] == '\0')
    return;
  fprintf (stderr, "standin-group: %s\n", group->violation);
  abort ();
}

static void
take_order (pace_t *pace,
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
  bt_take_standin_fault (standin, name, fault);
  answer->drop = strcmp (fault, "down") == 0 || strcmp (fault, "lost-answer") == 0;
  if (strcmp (fault, "down") == 0)
    return;
  pthread_mutex_lock (&pace->lock);
  accepted = lockstep_order (&pace->group, rank, &order);
  check_group (&pace->group);
  body = json_pack ("{s:b,s:o}", "accepted", accepted, "state",
                    make_state (&pace->group.ranks[rank].state));
  pthread_mutex_unlock (&pace->lock);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
show_group (pace_t *pace, bt_standin_answer_t *answer)
{
  json_t *body;

  pthread_mutex_lock (&pace->lock);
  body = json_pack ("{s:I,s:I,s:s}", "steps", (json_int_t)pace->group.steps, "held",
                    (json_int_t)pace->group.held, "violation", pace->group.violation);
  pthread_mutex_unlock (&pace->lock);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
show_rank (pace_t *pace, int32_t rank, bt_standin_answer_t *answer)
{
  json_t *body;

  pthread_mutex_lock (&pace->lock);
  body = make_state (&pace->group.ranks[rank].state);
  pthread_mutex_unlock (&pace->lock);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
show_loads (const pace_t *pace, bt_standin_answer_t *answer)
{
  json_t *tokens = json_array ();
  json_t *body;

  for (int64_t layer = 0; layer < pace->layers; layer++)
    for (int64_t expert = 0; expert < pace->experts; expert++)
      json_array_append_new (
          tokens,
          json_integer (expert == layer * HOT_STRIDE % pace->experts ? HOT_TOKENS : COOL_TOKENS));
  body = json_pack ("{s:I,s:I,s:o}", "layers", (json_int_t)pace->layers, "experts",
                    (json_int_t)pace->experts, "tokens", tokens);
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
answer_request (void *data,
                bt_standin_t *standin,
                const bt_standin_request_t *request,
                bt_standin_answer_t *answer)
{
  pace_t *pace = data;
  char *rest = NULL;
  long rank = -1;

  if (strcmp (request->url, "/group") == 0)
    {
      show_group (pace, answer);
      return;
    }
  if (strncmp (request->url, "/ranks/", strlen ("/ranks/")) == 0)
    rank = strtol (request->url + strlen ("/ranks/"), &rest, BASE_TEN);
  if (rank < 0 || rank >= pace->group.count)
    answer->status = MHD_HTTP_NOT_FOUND;
  else if (strcmp (rest, "/state") == 0)
    show_rank (pace, (int32_t)rank, answer);
  else if (strcmp (rest, "/loads") == 0)
    show_loads (pace, answer);
  else if (strcmp (rest, "/orders") == 0 && strcmp (request->method, "POST") == 0)
    take_order (pace, standin, (int32_t)rank, request, answer);
  else
    answer->status = MHD_HTTP_NOT_FOUND;
}

static void
take_fault (void *data, const char *kind)
{
  pace_t *pace = data;
  const char *dash = strchr (kind, '-');
  long rank = dash == NULL ? -1 : strtol (dash + 1, NULL, BASE_TEN);

  if (rank < 0 || rank >= pace->group.count)
    return;
  pthread_mutex_lock (&pace->lock);
  if (strncmp (kind, "stall-", strlen ("stall-")) == 0)
    pace->group.ranks[rank].stalled = true;
  else if (strncmp (kind, "run-", strlen ("run-")) == 0)
    pace->group.ranks[rank].stalled = false;
  else if (strncmp (kind, "replace-", strlen ("replace-")) == 0)
    lockstep_replace (&pace->group, (int32_t)rank);
  pthread_mutex_unlock (&pace->lock);
}

static void *
make_steps (void *data)
{
  pace_t *pace = data;
  struct timespec pause = { pace->step_ms / MS_PER_S,
                            pace->step_ms % MS_PER_S * (int64_t)NS_PER_MS };

  for (;;)
    {
      nanosleep (&pause, NULL);
      pthread_mutex_lock (&pace->lock);
      lockstep_step (&pace->group);
      check_group (&pace->group);
      pthread_mutex_unlock (&pace->lock);
    }
  return NULL;
}

static int64_t
read_number (int argc, char **argv, const char *flag, int64_t value)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], flag) == 0)
      value = strtoll (argv[i + 1], NULL, BASE_TEN);
  return value;
}

int
main (int argc, char **argv)
{
  static pace_t pace = { .lock = PTHREAD_MUTEX_INITIALIZER };
  bt_standin_routes_t routes = { &pace, answer_request, take_fault };
  int64_t ranks = read_number (argc, argv, "--ranks", DEFAULT_RANKS);
  bool ignore_fences = false;
  pthread_t thread;

  for (int i = 1; i < argc; i++)
    ignore_fences = ignore_fences || strcmp (argv[i], "--ignore-fences") == 0;
  if (ranks < 1 || ranks > LOCKSTEP_MAX_RANKS)
    return 1;
  pace.step_ms = read_number (argc, argv, "--step-ms", DEFAULT_STEP_MS);
  pace.layers = read_number (argc, argv, "--layers", DEFAULT_LAYERS);
  pace.experts = read_number (argc, argv, "--experts", DEFAULT_EXPERTS);
  lockstep_start (&pace.group, (int32_t)ranks, ignore_fences);
  if (pthread_create (&thread, NULL, make_steps, &pace) != 0)
    return 1;
  return bt_run_standin (argc, argv, &routes);
}
