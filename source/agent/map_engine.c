#include "map_engine.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "bilberrytray/base/json_text.h"
#include "bilberrytray/store/http_client.h"

enum
{
  URL_BYTES = 256,
  HEX_BYTES = 20,
  HTTP_OK = 200,
  MAX_ANSWER_BYTES = 4 << 20,
  HEX_DIGITS_PER_BYTE = 2,
  BASE_HEX = 16,
};

struct bt_map_engine
{
  bt_http_client_t *client;
  char orders_url[URL_BYTES];
  char state_url[URL_BYTES];
  char loads_url[URL_BYTES];
};

bt_map_engine_t *
bt_new_map_engine (bt_context_t *ctx, const char *url, int64_t timeout_ms, const int32_t *cancelled)
{
  bt_map_engine_t *engine = bt_calloc (ctx, 1, sizeof *engine);
  bt_http_limits_t limits = { timeout_ms, timeout_ms, timeout_ms, MAX_ANSWER_BYTES };

  snprintf (engine->orders_url, sizeof engine->orders_url, "%s/orders", url);
  snprintf (engine->state_url, sizeof engine->state_url, "%s/state", url);
  snprintf (engine->loads_url, sizeof engine->loads_url, "%s/loads", url);
  engine->client = bt_new_http_client (ctx, &limits, cancelled);
  return engine;
}

void
bt_drop_map_engine (bt_context_t *ctx, bt_map_engine_t *engine)
{
  if (engine == NULL)
    return;
  bt_drop_http_client (ctx, engine->client);
  bt_free (ctx, engine);
}

/* Unsigned 64-bit numbers are sent as hexadecimal text, because JSON numbers are signed or inexact.
 */
static uint64_t
read_hex (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));

  return text == NULL ? 0 : strtoull (text, NULL, BASE_HEX);
}

static bt_round_id_t
read_round (const json_t *body, const char *name)
{
  const json_t *pair = json_object_get (body, name);

  return (bt_round_id_t){ (uint64_t)json_integer_value (json_array_get (pair, 0)),
                          (uint64_t)json_integer_value (json_array_get (pair, 1)) };
}

static void
read_state (const json_t *body, bt_engine_state_t *state)
{
  state->incarnation = read_hex (body, "incarnation");
  state->joined = json_is_true (json_object_get (body, "joined"));
  state->next_step = (uint64_t)json_integer_value (json_object_get (body, "next_step"));
  state->in_use = read_round (body, "in_use");
  state->in_use_digest = read_hex (body, "in_use_digest");
  state->staged = read_round (body, "staged");
  state->staged_digest = read_hex (body, "staged_digest");
  state->armed = read_round (body, "armed");
  state->armed_step = (uint64_t)json_integer_value (json_object_get (body, "armed_step"));
  state->decided = read_round (body, "decided");
  state->decided_apply = json_is_true (json_object_get (body, "decided_apply"));
}

/* Encodes a map as hexadecimal text. The caller frees it with bt_free. */
static char *
write_hex (bt_context_t *ctx, const bt_map_bytes_t *map)
{
  char *text = bt_calloc (ctx, (size_t)map->bytes * HEX_DIGITS_PER_BYTE + 1, 1);

  for (uint32_t i = 0; i < map->bytes; i++)
    snprintf (text + (size_t)i * HEX_DIGITS_PER_BYTE, HEX_DIGITS_PER_BYTE + 1, "%02x",
              map->data[i]);
  return text;
}

static char *
write_order (bt_context_t *ctx, const bt_map_order_t *order, const bt_map_bytes_t *map)
{
  char *hex = write_hex (ctx, map);
  char digest[HEX_BYTES];
  json_t *body;
  char *text;

  snprintf (digest, sizeof digest, "%llx", (unsigned long long)order->digest);
  body = json_pack ("{s:s,s:I,s:[I,I],s:I,s:s,s:b,s:b,s:s,s:s}", "kind",
                    bt_name_map_order (order->kind), "fence", (json_int_t)order->fence, "round",
                    (json_int_t)order->round.fence, (json_int_t)order->round.sequence, "step",
                    (json_int_t)order->step, "digest", digest, "apply", (int)order->apply, "hold",
                    (int)order->hold, "argument", order->argument, "map", hex);
  bt_free (ctx, hex);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static bool
read_answer (const bt_http_answer_t *answer, json_t **body, bt_error_t *error)
{
  *body = bt_load_json (answer->body, answer->body_bytes, 0, NULL);
  if (answer->status == HTTP_OK && json_is_object (*body))
    return true;
  json_decref (*body);
  return bt_set_error (error, BT_ERROR_FORMAT, "The engine answered an order with status %d.",
                       answer->status);
}

bool
bt_call_map_engine (bt_context_t *ctx,
                    bt_map_engine_t *engine,
                    const bt_map_order_t *order,
                    const bt_map_bytes_t *map,
                    bool *accepted,
                    bt_engine_state_t *state,
                    bt_error_t *error)
{
  bool query = order->kind == BT_MAP_QUERY;
  char *text = query ? NULL : write_order (ctx, order, map);
  bt_http_request_t request = { .url = query ? engine->state_url : engine->orders_url,
                                .body = text };
  bt_http_answer_t answer = { 0 };
  json_t *body = NULL;
  bool called = bt_call_http (ctx, engine->client, &request, &answer, error);

  free (text);
  if (!called || !read_answer (&answer, &body, error))
    return false;
  *accepted = query || json_is_true (json_object_get (body, "accepted"));
  read_state (query ? body : json_object_get (body, "state"), state);
  json_decref (body);
  return true;
}

bool
bt_read_map_loads (bt_context_t *ctx, bt_map_engine_t *engine, bt_map_loads_t *loads)
{
  bt_http_request_t request = { .url = engine->loads_url };
  bt_http_answer_t answer = { 0 };
  bt_error_t error = { 0 };
  json_t *body = NULL;
  const json_t *tokens;

  if (!bt_call_http (ctx, engine->client, &request, &answer, &error)
      || !read_answer (&answer, &body, &error))
    return false;
  loads->layers = (int32_t)json_integer_value (json_object_get (body, "layers"));
  loads->experts = (int32_t)json_integer_value (json_object_get (body, "experts"));
  tokens = json_object_get (body, "tokens");
  if (loads->layers < 1 || loads->layers > BT_MAP_MAX_LAYERS || loads->experts < 1
      || loads->experts > BT_MAP_MAX_EXPERTS
      || json_array_size (tokens) != (size_t)loads->layers * (size_t)loads->experts)
    {
      json_decref (body);
      return false;
    }
  loads->tokens = bt_calloc (ctx, json_array_size (tokens), sizeof *loads->tokens);
  for (size_t i = 0; i < json_array_size (tokens); i++)
    loads->tokens[i] = (uint32_t)json_integer_value (json_array_get (tokens, i));
  json_decref (body);
  return true;
}
