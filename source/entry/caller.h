#ifndef BILBERRYTRAY_SOURCE_ENTRY_CALLER_H
#define BILBERRYTRAY_SOURCE_ENTRY_CALLER_H

/** @file
 * One caller's HTTP request and the answer that is being given to it.
 *
 * Lock order: the entry's lock, then a caller's. A caller never calls the entry while its lock is
 * held.
 */

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/config/rule.h"
#include "bilberrytray/core/outcome.h"

typedef struct bt_caller bt_caller_t;

/** Most headers of a request that rules and endpoints see. */
enum
{
  BT_MAX_CALLER_HEADERS = 64,
};

/** What the caller sent; never changed once the body is whole. */
typedef struct bt_caller_request
{
  char *method;
  char *path;
  bt_header_t headers[BT_MAX_CALLER_HEADERS];
  int32_t header_count;
  uint8_t *body;
  size_t body_bytes;
} bt_caller_request_t;

/** Makes a caller with one reference. */
bt_caller_t *bt_new_caller (bt_context_t *ctx,
                            struct MHD_Connection *connection,
                            const char *method,
                            const char *path);
bt_caller_t *bt_keep_caller (bt_caller_t *caller);

/** Drops a reference. NULL is accepted. */
void bt_drop_caller (bt_context_t *ctx, bt_caller_t *caller);

/** Adds to the body. False when it would be longer than @p max_bytes. */
bool bt_append_caller_body (
    bt_context_t *ctx, bt_caller_t *caller, const char *data, size_t bytes, size_t max_bytes);

const bt_caller_request_t *bt_get_caller_request (const bt_caller_t *caller);

/** The value of a header of the request, or NULL. */
const char *bt_find_caller_header (const bt_caller_t *caller, const char *name);

/** Begins the answer. */
void
bt_begin_answer (bt_context_t *ctx, bt_caller_t *caller, int32_t status, const char *content_type);

/** Adds to the answer. False when the caller reads so slowly that the answer was cut instead. */
bool bt_add_answer (bt_context_t *ctx, bt_caller_t *caller, const void *data, size_t bytes);

/** Ends the answer whole. */
void bt_end_answer (bt_context_t *ctx, bt_caller_t *caller);

/** Refuses, at once. Cuts the answer instead when it has begun. This is the one way to refuse a
 * caller; it counts the reason and the outcome. */
void bt_refuse_caller (bt_context_t *ctx,
                       bt_caller_t *caller,
                       bt_outcome_t outcome,
                       bt_reason_t reason,
                       int64_t retry_after_ms,
                       const char *message);

/** Refuses a request that nobody looked into. "Not run" is claimed only for one without a key: with
 * a key, another copy may be running through another instance. */
void bt_refuse_unread_caller (bt_context_t *ctx,
                              bt_caller_t *caller,
                              bt_reason_t reason,
                              int64_t retry_after_ms,
                              const char *message);

/** Answers whole with a body at once. */
void bt_answer_caller (bt_context_t *ctx,
                       bt_caller_t *caller,
                       int32_t status,
                       const char *content_type,
                       const char *text);

/** True once an answer has begun or a refusal is decided. */
bool bt_is_caller_answered (bt_caller_t *caller);

/** On the HTTP server's thread: queues the response if one is there, else suspends the connection
 * until one is. */
enum MHD_Result bt_serve_caller (bt_context_t *ctx, bt_caller_t *caller);

/** On the HTTP server's thread: the connection is gone; nothing more is given to it. */
void bt_detach_caller (bt_caller_t *caller);

/** The call that serves this caller, 0 for none; kept for the HTTP server's use. */
void bt_set_caller_call (bt_caller_t *caller, uint64_t call);
uint64_t bt_get_caller_call (bt_caller_t *caller);

/** The client account that the caller's token belongs to; "" until it is known. */
void bt_set_caller_account (bt_caller_t *caller, const char *account);
const char *bt_get_caller_account (const bt_caller_t *caller);

/** Whether the request was handed to the entry; of the HTTP server's thread alone. */
void bt_set_caller_submitted (bt_caller_t *caller);
bool bt_is_caller_submitted (const bt_caller_t *caller);

#endif
