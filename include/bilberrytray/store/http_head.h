#ifndef BILBERRYTRAY_STORE_HTTP_HEAD_H
#define BILBERRYTRAY_STORE_HTTP_HEAD_H

/** @file
 * Heads of requests and answers, as libcurl takes and passes them.
 *
 * An easy handle must not be used for a second transfer: some versions of libcurl keep a pointer to
 * the last field of the answer before, which is freed by then, and append a line to it that begins
 * with a blank right behind the status line. Connections are kept by a multi handle.
 */

#include <curl/curl.h>
#include <stdbool.h>

#include "bilberrytray/base/answer_head.h"

/** Appends a field to the head of a request, whatever its length. Returns the list. */
struct curl_slist *bt_append_http_field (bt_context_t *ctx,
                                         struct curl_slist *fields,
                                         const char *name,
                                         const char *value);

/** Ends the head of a transfer that ended with @p code. Returns true if the transfer succeeded with
 * a complete and sound head. A head that libcurl itself refused has a fault afterwards. */
bool bt_end_http_head (bt_answer_head_t *head, CURLcode code);

#endif
