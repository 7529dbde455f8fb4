#ifndef BILBERRYTRAY_STORE_HTTP_CLIENT_H
#define BILBERRYTRAY_STORE_HTTP_CLIENT_H

/** @file
 * HTTP client with one connection to a service of the platform and limits on every call.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_http_client bt_http_client_t;

typedef struct bt_http_limits
{
  int64_t connect_ms;  /**< Maximum time to connect. */
  int64_t total_ms;    /**< Maximum time of a call. */
  int64_t idle_ms;     /**< Maximum time without data, rounded up to whole seconds. Not
                            applied to a streamed call or to one with its own total_ms. */
  size_t answer_bytes; /**< Maximum size of an answer. */
} bt_http_limits_t;

/** Handles one line of a streamed answer. Returns true to end the call. */
typedef bool (*bt_http_line_t) (void *data, const char *line, size_t bytes);

/** Handles one header of an answer. */
typedef void (*bt_http_header_t) (void *data, const char *name, const char *value);

typedef struct bt_http_request
{
  const char *url;
  const char *method;    /**< NULL: POST with a body, GET without one. */
  const char *body;      /**< JSON to send; NULL for none. */
  int64_t total_ms;      /**< Limit for this call; 0 for the client's limit. */
  bool fresh_connection; /**< Use a new connection. */
  int64_t wait_ms; /**< If above 0, the answer is a stream that is read for at most this time. */
  bt_http_line_t on_line; /**< Called for each line of a streamed answer. */
  void *line_data;
  bt_http_header_t on_header; /**< Called for each header of the answer; may be NULL. */
  void *header_data;
} bt_http_request_t;

/** An answer. The client owns its body, which is valid until the next call. */
typedef struct bt_http_answer
{
  int32_t status;
  const char *body; /**< Followed by a zero byte. */
  size_t body_bytes;
} bt_http_answer_t;

/** Creates a client for one call at a time. When @p cancelled becomes non-zero, the current call is
 * aborted within a second, or at once if bt_wake_http_client is called afterwards. */
bt_http_client_t *
bt_new_http_client (bt_context_t *ctx, const bt_http_limits_t *limits, const int32_t *cancelled);

/** Makes the current call, if any, check whether it is cancelled. May be called from any thread. */
void bt_wake_http_client (bt_http_client_t *client);

/** NULL is accepted. */
void bt_drop_http_client (bt_context_t *ctx, bt_http_client_t *client);

/** Makes one call. After BT_ERROR_TIMEOUT or BT_ERROR_CLOSED the request may have been executed;
 * after BT_ERROR_SYSTEM it was never sent. After any failure the next call opens a new connection.
 * A streamed answer whose wait_ms passes is a success with the status that was received. */
bool bt_call_http (bt_context_t *ctx,
                   bt_http_client_t *client,
                   const bt_http_request_t *request,
                   bt_http_answer_t *answer,
                   bt_error_t *error);

#endif
