#include "http_server.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/http_field.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/page/listener.h"

enum
{
  MAX_HEAD_BYTES = 32768,
  MS_PER_S = 1000,
  BASE_TEN = 10,
};

static const char *const addresses_path = "/v1/addresses";
static const char *const bearer_prefix = "Bearer ";

struct bt_http_server
{
  bt_context_t *ctx;
  bt_entry_t *entry;
  struct MHD_Daemon *daemon;
  int listen_socket; /* set once accepting has stopped, closed after the daemon ends; -1 before */
  size_t max_body_bytes;
  atomic_int open_requests;
  bt_counter_t *connections; /* accepted so far */
};

/** Returns whether a header must not be forwarded: it concerns only this connection, or contains
 * the caller's token. */
static bool
is_unforwarded_header (const char *name)
{
  static const char *const unforwarded[] = {
    "Connection", "Keep-Alive",     "Transfer-Encoding", "TE",   "Upgrade", "Trailer",
    "Expect",     "Content-Length", "Authorization",     "Host", NULL
  };

  for (int32_t i = 0; unforwarded[i] != NULL; i++)
    if (strcasecmp (name, unforwarded[i]) == 0)
      return true;
  return false;
}

/** Argument of copy_header. */
typedef struct header_copy
{
  bt_context_t *ctx;
  bt_caller_request_t *request;
  bool overflow;
  bool invalid;
} header_copy_t;

static enum MHD_Result
copy_header (void *argument, enum MHD_ValueKind kind, const char *name, const char *value)
{
  header_copy_t *copy = argument;
  bt_caller_request_t *request = copy->request;

  if (!bt_is_field_name (name, strlen (name))
      || (value != NULL && !bt_is_field_value (value, strlen (value))))
    copy->invalid = true;
  if (is_unforwarded_header (name))
    return MHD_YES;
  if (request->header_count == BT_MAX_CALLER_HEADERS)
    {
      copy->overflow = true;
      return MHD_NO;
    }
  request->headers[request->header_count].name = bt_strdup (copy->ctx, name);
  request->headers[request->header_count].value = bt_strdup (copy->ctx, value == NULL ? "" : value);
  request->header_count++;
  return MHD_YES;
}

static bool
check_token (bt_http_server_t *server, struct MHD_Connection *connection, bt_caller_t *caller)
{
  const char *header = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Authorization");
  bt_declarations_t *declarations = bt_get_entry_declarations (server->entry);
  bt_reason_t reason = BT_REASON_NONE;
  int32_t account = -1;

  if (declarations == NULL)
    reason = BT_REASON_NOT_READY;
  else if (header == NULL || strncmp (header, bearer_prefix, strlen (bearer_prefix)) != 0)
    reason = BT_REASON_NO_TOKEN;
  else
    {
      account = bt_find_token (declarations, header + strlen (bearer_prefix));
      if (account < 0)
        reason = declarations->accounts_incomplete ? BT_REASON_DECLARATION_UNREADABLE
                                                   : BT_REASON_BAD_TOKEN;
      else if (declarations->accounts[account].unreadable)
        reason = BT_REASON_DECLARATION_UNREADABLE;
      else
        bt_set_caller_account (caller, declarations->accounts[account].name);
    }
  bt_drop_declarations (server->ctx, declarations);
  if (reason == BT_REASON_NONE)
    return true;
  bt_refuse_unprocessed_caller (server->ctx, caller, reason, 0, NULL);
  return false;
}

static bool
check_length (bt_http_server_t *server, struct MHD_Connection *connection, bt_caller_t *caller)
{
  const char *header = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Content-Length");

  if (header == NULL || strtoull (header, NULL, BASE_TEN) <= server->max_body_bytes)
    return true;
  bt_refuse_unprocessed_caller (server->ctx, caller, BT_REASON_BODY_TOO_LARGE, 0, NULL);
  return false;
}

/* The library passes only the decoded path, without the query, to the request handler. This
 * callback comes first and has the target as it was sent. */
static void *
handle_target (void *argument, const char *target, struct MHD_Connection *connection)
{
  bt_http_server_t *server = argument;

  atomic_fetch_add (&server->open_requests, 1);
  return bt_new_caller (server->ctx, connection, target);
}

/* An endpoint may read an invalid head as another one than the entry. */
static void
begin_request (bt_http_server_t *server,
               struct MHD_Connection *connection,
               bt_caller_t *caller,
               const char *url,
               const char *method)
{
  bt_caller_request_t *request = (bt_caller_request_t *)bt_get_caller_request (caller);
  header_copy_t copy = { .ctx = server->ctx, .request = request };

  bt_set_caller_method (caller, method, url);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, copy_header, &copy);
  if (copy.overflow)
    bt_refuse_unprocessed_caller (server->ctx, caller, BT_REASON_BAD_REQUEST, 0,
                                  "too many headers");
  else if (copy.invalid || !bt_is_field_name (method, strlen (method))
           || !bt_is_request_target (request->target))
    bt_refuse_unprocessed_caller (server->ctx, caller, BT_REASON_BAD_REQUEST, 0,
                                  "the target or a header is not valid");
  else if (check_token (server, connection, caller))
    check_length (server, connection, caller);
}

static void
route_request (bt_http_server_t *server, bt_caller_t *caller)
{
  const bt_caller_request_t *request = bt_get_caller_request (caller);

  if (strcmp (request->path, addresses_path) == 0 && strcmp (request->method, "GET") == 0)
    bt_answer_addresses (server->ctx, server->entry, caller);
  else
    bt_submit_request (server->ctx, server->entry, caller);
}

static enum MHD_Result
handle_request (void *argument,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *data,
                size_t *bytes,
                void **state)
{
  bt_http_server_t *server = argument;
  bt_caller_t *caller = *state;

  if (bt_get_caller_request (caller)->method == NULL)
    {
      begin_request (server, connection, caller, url, method);
      /* A refusal that does not depend on the body is sent before the body is read. */
      return bt_is_caller_answered (caller) ? bt_respond_or_suspend (server->ctx, caller) : MHD_YES;
    }
  if (*bytes > 0)
    {
      if (!bt_append_caller_body (server->ctx, caller, data, *bytes, server->max_body_bytes)
          && !bt_is_caller_answered (caller))
        bt_refuse_unprocessed_caller (server->ctx, caller, BT_REASON_BODY_TOO_LARGE, 0, NULL);
      *bytes = 0;
      return MHD_YES;
    }
  if (!bt_is_caller_submitted (caller) && !bt_is_caller_answered (caller))
    {
      bt_set_caller_submitted (caller);
      route_request (server, caller);
    }
  return bt_respond_or_suspend (server->ctx, caller);
}

static void
complete_request (void *argument,
                  struct MHD_Connection *connection,
                  void **state,
                  enum MHD_RequestTerminationCode code)
{
  bt_http_server_t *server = argument;
  bt_caller_t *caller = *state;

  if (caller == NULL)
    return;
  *state = NULL;
  atomic_fetch_sub (&server->open_requests, 1);
  bt_detach_caller (caller);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    bt_handle_caller_disconnect (server->ctx, server->entry, bt_get_caller_call (caller));
  bt_drop_caller (server->ctx, caller);
}

static void
count_connection (void *argument,
                  struct MHD_Connection *connection,
                  void **state,
                  enum MHD_ConnectionNotificationCode code)
{
  bt_http_server_t *server = argument;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    bt_add_counter (server->connections, 1);
}

bt_http_server_t *
bt_new_http_server (bt_context_t *ctx,
                    bt_entry_t *entry,
                    const bt_entry_settings_t *settings,
                    bt_error_t *error)
{
  bt_http_server_t *server = bt_calloc (ctx, 1, sizeof *server);
  struct sockaddr_in address;

  server->ctx = ctx;
  server->entry = entry;
  server->listen_socket = -1;
  server->connections = bt_find_counter (ctx, BT_COUNTER, "bilberry_connections_total",
                                         "Callers' connections that were accepted.", NULL, NULL);
  server->max_body_bytes = (size_t)settings->max_body_bytes;
  bt_parse_address (settings->listen, &address);
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_request,
      server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_URI_LOG_CALLBACK,
      handle_target, server, MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)settings->workers,
      MHD_OPTION_NOTIFY_COMPLETED, complete_request, server, MHD_OPTION_NOTIFY_CONNECTION,
      count_connection, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)settings->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)((settings->caller_idle_ms + MS_PER_S - 1) / MS_PER_S),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)MAX_HEAD_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (server->daemon != NULL)
    return server;
  bt_set_error (error, BT_ERROR_SYSTEM, "Cannot serve callers on %s.", settings->listen);
  bt_free (ctx, server);
  return NULL;
}

int32_t
bt_get_http_server_port (const bt_http_server_t *server)
{
  return MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

int32_t
bt_count_http_requests (const bt_http_server_t *server)
{
  return atomic_load (&server->open_requests);
}

void
bt_close_http_server (bt_http_server_t *server)
{
  server->listen_socket = bt_shutdown_listener (server->daemon);
}

void
bt_drop_http_server (bt_context_t *ctx, bt_http_server_t *server)
{
  if (server == NULL)
    return;
  MHD_stop_daemon (server->daemon);
  if (server->listen_socket >= 0)
    close (server->listen_socket);
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN,
          "The callers' port is closed; connections accepted: %lld.",
          (long long)bt_read_counter (server->connections));
  bt_free (ctx, server);
}
