#ifndef BILBERRYTRAY_STORE_HTTP_CLIENT_H
#define BILBERRYTRAY_STORE_HTTP_CLIENT_H

/** @file
 * One HTTP connection to a service of the platform, with limits on every call.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_http_client bt_http_client_t;

typedef struct bt_http_limits
{
  int64_t connect_ms;
  int64_t total_ms;
  int64_t idle_ms; /**< Rounded up to whole seconds. */
  size_t answer_bytes;
} bt_http_limits_t;

/** Looks at one line of a streamed answer; true ends the call. */
typedef bool (*bt_http_line_t) (void *data, const char *line, size_t bytes);

typedef struct bt_http_request
{
  const char *url;
  const char *method;     /**< NULL: POST with a body, GET without one. */
  const char *body;       /**< JSON to send; NULL for none. */
  int64_t total_ms;       /**< Limit for this call; 0: that of the client. */
  bool fresh;             /**< On a connection of its own. */
  int64_t wait_ms;        /**< Above 0: a streamed answer, read for this long at most. */
  bt_http_line_t on_line; /**< For a streamed answer. */
  void *line_data;
} bt_http_request_t;

/** The answer belongs to the client and lives until its next call. */
typedef struct bt_http_answer
{
  int32_t status;
  const char *body; /**< Followed by a zero byte. */
  size_t body_bytes;
} bt_http_answer_t;

/** One call at a time. @p cancelled is read while a call waits. */
bt_http_client_t *
bt_new_http_client (bt_context_t *ctx, const bt_http_limits_t *limits, const int32_t *cancelled);

/** NULL is accepted. */
void bt_drop_http_client (bt_context_t *ctx, bt_http_client_t *client);

/** Makes one call. BT_ERROR_TIMEOUT or BT_ERROR_CLOSED: the request may have been acted on;
 * BT_ERROR_SYSTEM: it was never sent. After any failure the next call opens a new connection. A
 * streamed answer that reaches its wait without being ended is a success with status 200. */
bool bt_call_http (bt_context_t *ctx,
                   bt_http_client_t *client,
                   const bt_http_request_t *request,
                   bt_http_answer_t *answer,
                   bt_error_t *error);

#endif
