/** @file
 * HTTP server of the stand-in for the key-value store. See store.h for the data.
 *
 *   GET /stats     how often each call was made
 *   POST /fault    see standin_http.h, matched against the names of routes; also "stale-read"
 *                  (ranges are as they were when the fault was set) and "silent-watch" (watches
 *                  get no events)
 */

#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin_http.h"
#include "store.h"

enum
{
  WATCH_WAIT_MS = 200,
  STREAM_BLOCK_BYTES = 65536,
  ROUTE_COUNT = 7,
  WATCH_INDEX = 6,
};

/** Handles a request and returns the answer's document. */
typedef json_t *(*handler_t) (bt_store_t *store, const json_t *request);

/** A path of the server. */
typedef struct route
{
  const char *name;
  const char *path;
  handler_t answer; /**< NULL where answer_call handles the request itself. */
} route_t;

static const route_t routes[ROUTE_COUNT] = {
  { "range", "/v3/kv/range", NULL },
  { "put", "/v3/kv/put", bt_answer_put },
  { "txn", "/v3/kv/txn", bt_answer_txn },
  { "lease-grant", "/v3/lease/grant", bt_answer_grant },
  { "lease-renew", "/v3/lease/keepalive", bt_answer_renew },
  { "lease-revoke", "/v3/lease/revoke", bt_answer_revoke },
  { "watch", "/v3/watch", NULL },
};

typedef struct server
{
  bt_store_t *store;
  uint64_t counts[ROUTE_COUNT]; /**< Requests to each path, for /stats. */
} server_t;

/** The answer to a watch. */
typedef struct stream
{
  bt_store_t *store;
  json_t *create_request;
  int64_t revision; /**< First revision that was not sent yet. */
  bool silent;      /**< Events are not sent. */
  char *pending;    /**< A line that is not sent completely yet. */
  size_t sent_bytes;
} stream_t;

static char *
make_line (json_t *document)
{
  char *text = json_dumps (document, JSON_COMPACT);
  char *line = NULL;

  json_decref (document);
  if (asprintf (&line, "%s\n", text) < 0)
    abort ();
  free (text);
  return line;
}

static ssize_t
send_pending (stream_t *stream, char *buffer, size_t max)
{
  size_t left = strlen (stream->pending) - stream->sent_bytes;
  size_t bytes = left < max ? left : max;

  memcpy (buffer, stream->pending + stream->sent_bytes, bytes);
  stream->sent_bytes += bytes;
  if (bytes == left)
    {
      free (stream->pending);
      stream->pending = NULL;
      stream->sent_bytes = 0;
    }
  return (ssize_t)bytes;
}

/* Sends the next line of a watch. Without events it sends an empty line every WATCH_WAIT_MS, so
 * that the server notices when the client has gone. */
static ssize_t
read_stream (void *data, uint64_t position, char *buffer, size_t max)
{
  stream_t *stream = data;
  json_t *answer;

  if (stream->pending == NULL)
    {
      answer = bt_wait_store_events (stream->store, stream->create_request, &stream->revision,
                                     WATCH_WAIT_MS);
      if (answer != NULL && !stream->silent)
        stream->pending = make_line (answer);
      else
        {
          json_decref (answer);
          stream->pending = strdup ("\n");
        }
    }
  return send_pending (stream, buffer, max);
}

static void
free_stream (void *data)
{
  stream_t *stream = data;

  json_decref (stream->create_request);
  free (stream->pending);
  free (stream);
}

static void
open_watch (server_t *server, const json_t *request, const char *fault, bt_standin_answer_t *answer)
{
  stream_t *stream = calloc (1, sizeof *stream);
  const char *start = json_string_value (
      json_object_get (json_object_get (request, "create_request"), "start_revision"));

  if (stream == NULL)
    abort ();
  stream->store = server->store;
  stream->create_request = json_deep_copy (json_object_get (request, "create_request"));
  stream->silent = strcmp (fault, "silent-watch") == 0;
  stream->revision = start == NULL ? bt_get_store_revision (server->store) + 1 : atoll (start);
  stream->pending = make_line (json_pack ("{s:{s:b}}", "result", "created", 1));
  answer->response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                                        read_stream, stream, free_stream);
}

static void
answer_stats (server_t *server, bt_standin_answer_t *answer)
{
  json_t *stats = json_object ();

  for (int32_t i = 0; i < ROUTE_COUNT; i++)
    json_object_set_new (stats, routes[i].name,
                         json_integer ((json_int_t)ck_pr_load_64 (&server->counts[i])));
  answer->body = json_dumps (stats, JSON_COMPACT);
  json_decref (stats);
}

static void
answer_call (server_t *server,
             int32_t index,
             const json_t *request,
             const char *fault,
             bt_standin_answer_t *answer)
{
  json_t *document;

  if (index == WATCH_INDEX)
    {
      open_watch (server, request, fault, answer);
      return;
    }
  if (routes[index].answer == NULL)
    document = bt_answer_range (server->store, request, strcmp (fault, "stale-read") == 0);
  else
    document = routes[index].answer (server->store, request);
  answer->body = json_dumps (document, JSON_COMPACT);
  answer->drop = strcmp (fault, "lost-answer") == 0;
  json_decref (document);
}

static void
answer_request (void *data,
                bt_standin_t *standin,
                const bt_standin_request_t *request,
                bt_standin_answer_t *answer)
{
  server_t *server = data;
  char fault[BT_FAULT_BYTES];
  json_t *document;
  int32_t index = 0;

  if (strcmp (request->url, "/stats") == 0)
    {
      answer_stats (server, answer);
      return;
    }
  while (index < ROUTE_COUNT && strcmp (request->url, routes[index].path) != 0)
    index++;
  if (index == ROUTE_COUNT)
    {
      answer->status = MHD_HTTP_NOT_FOUND;
      return;
    }
  ck_pr_inc_64 (&server->counts[index]);
  bt_consume_standin_fault (standin, routes[index].name, fault);
  if (strcmp (fault, "down") == 0)
    {
      answer->drop = true;
      return;
    }
  document = json_loadb (request->body, request->body_bytes, 0, NULL);
  if (document == NULL)
    answer->status = MHD_HTTP_BAD_REQUEST;
  else
    answer_call (server, index, document, fault, answer);
  json_decref (document);
}

static void
on_fault (void *data, const char *kind)
{
  if (strcmp (kind, "stale-read") == 0)
    bt_snapshot_store (((server_t *)data)->store);
}

int
main (int argc, char **argv)
{
  server_t server = { .store = bt_new_store () };
  bt_standin_callbacks_t callbacks = { &server, answer_request, on_fault };

  return bt_run_standin (argc, argv, &callbacks);
}
