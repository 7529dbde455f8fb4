#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_HTTP_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_HTTP_H

/** @file
 * The HTTP client of the test harness.
 */

#include <curl/curl.h>

#include "harness.h"

/** Appends bytes to a reply's body. It is a write callback for libcurl. */
size_t bt_append_reply_bytes (char *data, size_t size, size_t count, void *argument);

/** Returns whether a line of a metrics page is valid: the HELP or TYPE comment of a metric, or a
 * metric with its value. */
bool bt_is_metric_line (const char *line);

/** Sends a request and reads the reply. @p lines are the headers. @p lines, @p body and @p method
 * may be NULL. */
void bt_perform_request (const char *url,
                         struct curl_slist *lines,
                         const char *body,
                         const char *method,
                         bt_http_reply_t *reply);

#endif
