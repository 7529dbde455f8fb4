#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

/** @file
 * A small HTTP/1.1 server and client on 127.0.0.1 for the stand-ins of the review's cases. Each
 * connection has a thread.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  RV_HEAD_BYTES = 65536,
  RV_MAX_HEADERS = 512,
};

typedef struct rv_request
{
  char *method;
  char *target;
  char *path;  /**< The target without its query. */
  char *query; /**< "" without one. */
  char *names[RV_MAX_HEADERS];
  char *values[RV_MAX_HEADERS];
  int32_t header_count;
  char *body; /**< Zero-terminated. */
  size_t body_bytes;
} rv_request_t;

/** Writes the whole answer to @p fd. Returns false to close the connection after it. */
typedef bool (*rv_answer_t) (void *data, int fd, const rv_request_t *request);

/** Listens on a free port, which is returned, and answers requests until the process ends. */
int32_t rv_serve (rv_answer_t answer, void *data);

/** Returns the first value of a header; "" without one. */
const char *rv_get_header (const rv_request_t *request, const char *name);

/** Copies the value of a query field to @p value; "" without one. */
void rv_get_field (const rv_request_t *request, const char *name, char *value, size_t bytes);

/** Writes an answer with a length. @p headers is "" or lines that end in CRLF. */
bool
rv_write_answer (int fd, int32_t status, const char *headers, const char *body, size_t body_bytes);

bool rv_write_all (int fd, const char *data, size_t bytes);

/** Connects to a port of 127.0.0.1; -1 if that fails. Reads time out after @p timeout_ms. */
int rv_connect (int32_t port, int32_t timeout_ms);

/** The result of one exchange of a client. */
typedef struct rv_reply
{
  int32_t status;     /**< 0: no answer came. */
  size_t total_bytes; /**< All bytes that came before the end of the answer or the connection. */
  bool whole;         /**< The answer came whole. */
  bool closed;        /**< The connection was closed or reset by the other side. */
} rv_reply_t;

/** Reads one answer from a kept connection. */
void rv_read_reply (int fd, rv_reply_t *reply);

int64_t rv_now_ms (void);
void rv_sleep_ms (int64_t ms);

/** Returns a port of 127.0.0.1 that nobody uses now. */
int32_t rv_find_free_port (void);

#endif
