#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

/** @file
 * An HTTP server on 127.0.0.1 for stand-ins, which answers by a callback and fails on command.
 *
 * POST /fault {"kind":KIND,"count":N,"delay_ms":N,"match":TEXT} sets the one fault in force. It
 * strikes the next N calls (-1: all) whose name contains TEXT. KIND is "none", "lost-answer",
 * "slow", "down" or a word of the stand-in's own.
 */

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest word of a fault, with its zero, in bytes. */
#define BT_FAULT_BYTES 32

typedef struct bt_standin bt_standin_t;

typedef struct bt_standin_request
{
  const char *method;
  const char *url;  /**< The path without the query. */
  const char *body; /**< Followed by a zero byte. */
  size_t body_bytes;
  struct MHD_Connection *connection; /**< For headers and query arguments. */
} bt_standin_request_t;

/** What the callback answers with. It comes zeroed, which is an empty answer of status 200. */
typedef struct bt_standin_answer
{
  uint32_t status;
  char *body;                    /**< From malloc; freed by the server. Not for a stream. */
  const char *type;              /**< Content-Type; NULL is JSON. */
  bool drop;                     /**< Close the connection without an answer. */
  struct MHD_Response *response; /**< Instead of body: a response, say a stream, of one's own. */
} bt_standin_answer_t;

typedef struct bt_standin_routes
{
  void *data;
  /** Answers a request; runs in a thread of the connection and may block. */
  void (*answer) (void *data,
                  bt_standin_t *standin,
                  const bt_standin_request_t *request,
                  bt_standin_answer_t *answer);
  /** Told of each POST /fault; may be NULL. */
  void (*on_fault) (void *data, const char *kind);
} bt_standin_routes_t;

/** Starts a server; @p port 0 chooses one. NULL when the port cannot be had. */
bt_standin_t *bt_start_standin (uint16_t port, const bt_standin_routes_t *routes);

uint16_t bt_get_standin_port (const bt_standin_t *standin);

/** Ends the server; streams must end by themselves. */
void bt_stop_standin (bt_standin_t *standin);

/** Says which fault strikes the call named @p name, and counts it: "none" mostly. A "slow" one has
 * then passed its delay already. The text is copied to @p kind. */
void bt_take_standin_fault (bt_standin_t *standin, const char *name, char kind[BT_FAULT_BYTES]);

/** The main function of a stand-in: reads --port and --life-s, prints "listening PORT", serves
 * until SIGTERM or the end of its life, and exits. */
int bt_run_standin (int argc, char **argv, const bt_standin_routes_t *routes);

#endif
