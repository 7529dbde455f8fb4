#ifndef BILBERRYTRAY_SOURCE_ENTRY_CALLER_H
#define BILBERRYTRAY_SOURCE_ENTRY_CALLER_H

/** @file
 * One caller's HTTP request and its answer.
 *
 * Lock order: the entry's lock, then a caller's. Code that holds a caller's lock must not call the
 * entry.
 */

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/config/rule.h"
#include "bilberrytray/core/outcome.h"

typedef struct bt_caller bt_caller_t;

/** Maximum number of headers of a request that are passed to rules and endpoints. A request with
 * more is refused. */
enum
{
  BT_MAX_CALLER_HEADERS = 64,
};

/** The caller's request. Does not change once the body is complete. */
typedef struct bt_caller_request
{
  char *target; /**< As it was sent, with its query. Endpoints get it unchanged. */
  char *method; /**< NULL until bt_set_caller_method. */
  char *path;   /**< Decoded and without the query, for rules. */
  bt_header_t headers[BT_MAX_CALLER_HEADERS];
  int32_t header_count;
  uint8_t *body;
  size_t body_bytes;
} bt_caller_request_t;

/** Creates a caller with one reference. */
bt_caller_t *
bt_new_caller (bt_context_t *ctx, struct MHD_Connection *connection, const char *target);

/** Sets the method and the path, once the head of the request was read. */
void bt_set_caller_method (bt_caller_t *caller, const char *method, const char *path);

bt_caller_t *bt_keep_caller (bt_caller_t *caller);

/** Drops a reference. NULL is accepted. */
void bt_drop_caller (bt_context_t *ctx, bt_caller_t *caller);

/** Appends to the body. Returns false if the body would be longer than @p max_bytes. */
bool bt_append_caller_body (
    bt_context_t *ctx, bt_caller_t *caller, const char *data, size_t bytes, size_t max_bytes);

const bt_caller_request_t *bt_get_caller_request (const bt_caller_t *caller);

/** Returns the value of a header of the request, or NULL. */
const char *bt_find_caller_header (const bt_caller_t *caller, const char *name);

/** Begins the answer. */
void bt_begin_caller_answer (bt_context_t *ctx,
                             bt_caller_t *caller,
                             int32_t status,
                             const char *content_type);

/** Appends to the answer. Returns false if the answer is not in progress, or if the caller reads
 * so slowly that too much of the answer is pending; the answer is then aborted. */
bool bt_add_caller_answer (bt_context_t *ctx, bt_caller_t *caller, const void *data, size_t bytes);

/** Marks the answer as complete and counts its outcome. */
void bt_end_caller_answer (bt_context_t *ctx, bt_caller_t *caller);

/** Refuses the request at once, or aborts the answer if it has begun; the outcome is then
 * unknown. All refusals go through this function, which counts the reason and the outcome. */
void bt_refuse_caller (bt_context_t *ctx,
                       bt_caller_t *caller,
                       bt_outcome_t outcome,
                       bt_reason_t reason,
                       int64_t retry_after_ms,
                       const char *message);

/** Refuses a request before it is processed. The outcome is "not run" only for a request without
 * an idempotency key: with a key, another copy may be running through another instance. */
void bt_refuse_unprocessed_caller (bt_context_t *ctx,
                                   bt_caller_t *caller,
                                   bt_reason_t reason,
                                   int64_t retry_after_ms,
                                   const char *message);

/** Sends a complete answer at once. */
void bt_answer_caller (bt_context_t *ctx,
                       bt_caller_t *caller,
                       int32_t status,
                       const char *content_type,
                       const char *text);

/** Returns true once an answer has begun or the request was refused. */
bool bt_is_caller_answered (bt_caller_t *caller);

/** Queues the response if the answer has begun or the request was refused; otherwise suspends
 * the connection until then. HTTP server thread only. */
enum MHD_Result bt_respond_or_suspend (bt_context_t *ctx, bt_caller_t *caller);

/** Detaches the caller from its closed connection, which is not used any more. HTTP server
 * thread only. */
void bt_detach_caller (bt_caller_t *caller);

/** The id of the call that serves this caller, 0 for none. Stored for the HTTP server. */
void bt_set_caller_call (bt_caller_t *caller, uint64_t call);
uint64_t bt_get_caller_call (bt_caller_t *caller);

/** The client account that the caller's token belongs to; "" until the token is checked. */
void bt_set_caller_account (bt_caller_t *caller, const char *account);
const char *bt_get_caller_account (const bt_caller_t *caller);

/** Whether the request was submitted to the entry. HTTP server thread only. */
void bt_set_caller_submitted (bt_caller_t *caller);
bool bt_is_caller_submitted (const bt_caller_t *caller);

#endif
