#include "engine_client.h"

#include <stdio.h>
#include <stdlib.h>

#include "bilberrytray/store/http_client.h"

enum
{
  URL_BYTES = 256,
  STATUS_OK = 200,
  MAX_ANSWER_BYTES = 4 << 20,
};

struct bt_engine_client
{
  const bt_engine_platform_t *platform;
  bt_http_client_t *http;
  char report_url[URL_BYTES];
  char picks_url[URL_BYTES];
  char places_url[URL_BYTES];
  char order_url[URL_BYTES];
};

bt_engine_client_t *
bt_new_engine_client (bt_context_t *ctx,
                      const bt_engine_platform_t *platform,
                      const char *address,
                      int64_t timeout_ms,
                      const int32_t *cancelled)
{
  bt_engine_client_t *client = bt_calloc (ctx, 1, sizeof *client);
  bt_http_limits_t limits = { timeout_ms, timeout_ms, timeout_ms, MAX_ANSWER_BYTES };

  client->platform = platform;
  client->http = bt_new_http_client (ctx, &limits, cancelled);
  snprintf (client->report_url, URL_BYTES, "http://%s%s", address, platform->report_path);
  snprintf (client->picks_url, URL_BYTES, "http://%s%s", address, platform->picks_path);
  snprintf (client->places_url, URL_BYTES, "http://%s%s", address, platform->places_path);
  snprintf (client->order_url, URL_BYTES, "http://%s%s", address, platform->order_path);
  return client;
}

void
bt_drop_engine_client (bt_context_t *ctx, bt_engine_client_t *client)
{
  if (client == NULL)
    return;
  bt_drop_http_client (ctx, client->http);
  bt_free (ctx, client);
}

static bool
call_engine (bt_context_t *ctx,
             bt_engine_client_t *client,
             const bt_http_request_t *request,
             bt_http_answer_t *answer,
             bt_error_t *error)
{
  if (!bt_call_http (ctx, client->http, request, answer, error))
    return false;
  if (answer->status == STATUS_OK)
    return true;
  return bt_set_error (error, BT_ERROR_REFUSED, "The engine answered %s with %d.", request->url,
                       (int)answer->status);
}

static bool
get_url (bt_context_t *ctx,
         bt_engine_client_t *client,
         const char *url,
         bt_http_answer_t *answer,
         bt_error_t *error)
{
  bt_http_request_t request = { .url = url };

  return call_engine (ctx, client, &request, answer, error);
}

/** Reads the limit in the head of a report. */
typedef struct limit_reader
{
  const bt_engine_platform_t *platform;
  bool limited;
  double per_s;
} limit_reader_t;

static void
read_header (void *data, const char *name, const char *value)
{
  limit_reader_t *reader = data;

  reader->limited =
      reader->platform->read_limit_header (name, value, &reader->per_s) || reader->limited;
}

bool
bt_read_engine_state (bt_context_t *ctx,
                      bt_engine_client_t *client,
                      bt_engine_report_t *report,
                      bt_error_t *error)
{
  limit_reader_t reader = { .platform = client->platform };
  bt_http_request_t request = {
    .url = client->report_url,
    .on_header = read_header,
    .header_data = &reader,
  };
  bt_http_answer_t answer;

  if (!call_engine (ctx, client, &request, &answer, error)
      || !client->platform->read_report (answer.body, answer.body_bytes, report, error))
    return false;
  report->limited = reader.limited;
  report->limit_per_s = reader.per_s;
  return true;
}

bool
bt_read_engine_picks (bt_context_t *ctx,
                      bt_engine_client_t *client,
                      bt_engine_picks_t *picks,
                      bt_error_t *error)
{
  bt_http_answer_t answer;

  return get_url (ctx, client, client->picks_url, &answer, error)
         && client->platform->read_picks (ctx, answer.body, answer.body_bytes, picks, error);
}

bool
bt_read_engine_places (bt_context_t *ctx,
                       bt_engine_client_t *client,
                       bt_engine_places_t *places,
                       bt_error_t *error)
{
  bt_http_answer_t answer;

  return get_url (ctx, client, client->places_url, &answer, error)
         && client->platform->read_places (ctx, answer.body, answer.body_bytes, places, error);
}

bt_order_result_t
bt_send_engine_order (bt_context_t *ctx,
                      bt_engine_client_t *client,
                      const char *address,
                      const bt_group_order_t *order,
                      const bt_expert_map_t *map,
                      int32_t *status)
{
  char url[URL_BYTES];
  char *body = client->platform->write_order (order, map);
  /* Uses a new connection so that libcurl never sends the order twice. */
  bt_http_request_t request = { .url = url, .body = body, .fresh_connection = true };
  bt_http_answer_t answer = { 0 };
  bt_error_t error = { 0 };

  if (address[0] == '\0')
    snprintf (url, sizeof url, "%s", client->order_url);
  else
    snprintf (url, sizeof url, "http://%s%s", address, client->platform->order_path);
  *status = 0;
  if (bt_call_http (ctx, client->http, &request, &answer, &error))
    *status = answer.status;
  free (body);
  return client->platform->read_order_status (*status);
}
