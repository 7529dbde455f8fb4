#ifndef BILBERRYTRAY_SOURCE_GATEWAY_EXCHANGE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_EXCHANGE_H

/** @file
 * HTTP exchanges with endpoints, by libcurl on the event loop. Each request is sent once, on its
 * own connection.
 *
 * libcurl resends a request by itself when a reused connection turns out to be closed, and a late
 * second answer on a reused connection would be read as the answer to the next request. A fresh
 * connection excludes both: no request is sent twice, and bytes after an answer are discarded.
 */

#include "bilberrytray/base/error.h"
#include "event_loop.h"

typedef struct bt_exchange_pool bt_exchange_pool_t;
typedef struct bt_exchange bt_exchange_t;
typedef struct bt_exchange_handler bt_exchange_handler_t;

/** State of an exchange. */
typedef enum bt_exchange_state
{
  BT_EXCHANGE_OPEN = 0, /**< In progress. */
  BT_EXCHANGE_COMPLETE, /**< The complete answer has arrived; see bt_is_exchange_framed. */
  BT_EXCHANGE_UNSENT,   /**< It failed before any byte of the request was sent. */
  BT_EXCHANGE_BROKEN,   /**< The request was sent, but no complete answer arrived. */
} bt_exchange_state_t;

/** Callbacks of an exchange. */
typedef struct bt_exchange_handler_vtable
{
  /** The head, more of the body, or the end has arrived. Not called after bt_drop_exchange. */
  void (*on_progress) (bt_exchange_handler_t *handler, bt_exchange_t *exchange);
  /** One header of the answer has arrived. */
  void (*on_header) (bt_exchange_handler_t *handler, const char *name, const char *value);
} bt_exchange_handler_vtable_t;

struct bt_exchange_handler
{
  const bt_exchange_handler_vtable_t *vtable;
};

/** The request to send. */
typedef struct bt_exchange_request
{
  const char *address; /**< "IP:PORT". */
  const char *method;
  const char *target;
  const char *body; /**< Must outlive the exchange; NULL for none. */
  size_t body_bytes;
  size_t answer_bytes; /**< Maximum buffered body; a larger one fails the exchange. */
} bt_exchange_request_t;

/** Limits that all exchanges share. */
typedef struct bt_exchange_limits
{
  int64_t connect_ms;
  int64_t user_timeout_ms; /**< A peer that acknowledges no data for this long is gone. */
  int64_t answers_bytes; /**< Bound on the buffers of all unfinished answers; beyond it the largest
                              fail. 0: none. */
} bt_exchange_limits_t;

bt_exchange_pool_t *
bt_new_exchange_pool (bt_context_t *ctx, bt_event_loop_t *loop, const bt_exchange_limits_t *limits);

/** All exchanges must have been dropped. NULL is accepted. */
void bt_drop_exchange_pool (bt_context_t *ctx, bt_exchange_pool_t *pool);

/** Creates an exchange. Headers must be added before it is sent. */
bt_exchange_t *bt_new_exchange (bt_context_t *ctx,
                                bt_exchange_pool_t *pool,
                                const bt_exchange_request_t *request,
                                bt_exchange_handler_t *handler);

void bt_add_exchange_header (bt_exchange_t *exchange, const char *name, const char *value);

void bt_send_exchange (bt_exchange_t *exchange);

/** Frees an exchange in any state; an open connection is closed. NULL is accepted. */
void bt_drop_exchange (bt_context_t *ctx, bt_exchange_t *exchange);

bt_exchange_state_t bt_get_exchange_state (const bt_exchange_t *exchange);

/** Returns false if the end of the connection ends the answer, which has neither a length nor
 * chunks. A process that ends closes its connections in the same way, so that such an answer may be
 * incomplete. */
bool bt_is_exchange_framed (const bt_exchange_t *exchange);

/** Returns the status code of the answer; 0 until its head is complete. */
int32_t bt_get_exchange_status (const bt_exchange_t *exchange);

/** Returns the part of the body that has arrived and was not consumed yet, followed by a zero
 * byte. */
const char *bt_peek_exchange_body (const bt_exchange_t *exchange, size_t *bytes);

/** Removes the first @p bytes bytes from the buffered body. */
void bt_consume_exchange_body (bt_exchange_t *exchange, size_t bytes);

/** Lets the endpoint's answer wait until bt_resume_exchange: at most what was already read arrives.
 * The end of the answer is reported if it is known. The connection is not watched meanwhile. */
void bt_pause_exchange (bt_exchange_t *exchange);

/** Continues after bt_pause_exchange. Does nothing if the exchange is not paused. */
void bt_resume_exchange (bt_exchange_t *exchange);

/** Returns true if one pause is, or was until a moment ago, so long that the endpoint may have cut
 * the answer off because nobody read it. */
bool bt_is_exchange_unread (const bt_exchange_t *exchange);

/** Returns the error that ended an exchange without a complete answer. */
const char *bt_get_exchange_error (const bt_exchange_t *exchange);

#endif
