#include <jansson.h>
#include <string.h>

#include "bilberrytray/base/json_text.h"
#include "bilberrytray/base/url.h"
#include "bilberrytray/store/http_client.h"
#include "upstream.h"

enum
{
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  MAX_LIST_BYTES = 16 << 20,
};

/* Makes a call. Returns its JSON object, or NULL with an error. @p missing tells whether the engine
 * does not know what was asked for. */
static json_t *
call_engine (bt_context_t *ctx,
             bt_http_client_t *client,
             const bt_http_request_t *request,
             bool *missing,
             bt_error_t *error)
{
  bt_http_answer_t answer;
  json_t *body;

  *missing = false;
  if (!bt_call_http (ctx, client, request, &answer, error))
    return NULL;
  *missing = answer.status == HTTP_NOT_FOUND;
  body = bt_load_json (answer.body, answer.body_bytes, 0, NULL);
  if (answer.status == HTTP_OK && json_is_object (body))
    return body;
  json_decref (body);
  bt_set_error (error, BT_ERROR_CLOSED, "%s answered with status %d and no JSON object.",
                request->url, (int)answer.status);
  return NULL;
}

/* Cancels one run. A run that the engine does not know any more has ended. */
static bool
cancel_engine_run (bt_context_t *ctx,
                   bt_http_client_t *client,
                   const bt_upstream_options_t *options,
                   const char *run,
                   bt_error_t *error)
{
  bt_url_t url = { 0 };
  bt_http_request_t request = { .body = "" };
  json_t *body;
  bool missing;

  if (strcmp (run, ".") == 0 || strcmp (run, "..") == 0)
    return bt_set_error (error, BT_ERROR_FORMAT, "The run \"%s\" has no URL.", run);
  bt_append_url (ctx, &url, options->url);
  bt_append_url (ctx, &url, "/v1/runs/");
  bt_append_url_segment (ctx, &url, run, strlen (run));
  bt_append_url (ctx, &url, "/cancel");
  request.url = url.text;
  body = call_engine (ctx, client, &request, &missing, error);
  json_decref (body);
  bt_clear_url (ctx, &url);
  return body != NULL || missing;
}

/* Cancels the runs of a list that have not ended, each whether or not another could be. */
static bool
cancel_runs (bt_context_t *ctx,
             bt_http_client_t *client,
             const bt_upstream_options_t *options,
             const json_t *list,
             int32_t *cancelled,
             bt_error_t *error)
{
  json_t *run;
  size_t index;
  bool all_cancelled = true;

  json_array_foreach (list, index, run)
  {
    const char *id = json_string_value (json_object_get (run, "run"));

    if (id == NULL || id[0] == '\0' || json_is_true (json_object_get (run, "ended")))
      continue;
    if (!cancel_engine_run (ctx, client, options, id, error))
      all_cancelled = false;
    (*cancelled)++;
  }
  return all_cancelled;
}

bool
bt_cancel_orphaned_runs (bt_context_t *ctx,
                         const bt_upstream_options_t *options,
                         int32_t *cancelled,
                         bt_error_t *error)
{
  const bt_http_limits_t limits = { options->connect_ms, options->idle_ms, options->idle_ms,
                                    MAX_LIST_BYTES };
  const int32_t never = 0;
  bt_http_client_t *client;
  bt_url_t url = { 0 };
  bt_http_request_t request = { 0 };
  json_t *body;
  bool missing;
  bool done;

  *cancelled = 0;
  if (!options->is_model)
    return true;
  client = bt_new_http_client (ctx, &limits, &never);
  bt_append_url (ctx, &url, options->url);
  bt_append_url (ctx, &url, "/v1/runs");
  request.url = url.text;
  body = call_engine (ctx, client, &request, &missing, error);
  done = body != NULL
         && cancel_runs (ctx, client, options, json_object_get (body, "runs"), cancelled, error);
  json_decref (body);
  bt_clear_url (ctx, &url);
  bt_drop_http_client (ctx, client);
  return done;
}
