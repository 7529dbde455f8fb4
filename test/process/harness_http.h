#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_HTTP_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_HTTP_H

/** @file
 * The HTTP half of the harness.
 */

#include <curl/curl.h>

#include "harness.h"

/** Appends bytes to a reply's body; of the form of libcurl's callbacks. */
size_t bt_take_reply_bytes (char *data, size_t size, size_t count, void *argument);

/** True for a line of a metrics page: a comment of a family, or a value with its name. */
bool bt_is_metric_line (const char *line);

/** Sends one request and reads its reply. @p body and @p method may be NULL. */
void bt_perform_request (const char *url,
                         struct curl_slist *lines,
                         const char *body,
                         const char *method,
                         bt_reply_t *reply);

#endif
