#include "bilberrytray/store/http_head.h"

#include <stdio.h>
#include <string.h>

struct curl_slist *
bt_append_http_field (bt_context_t *ctx,
                      struct curl_slist *fields,
                      const char *name,
                      const char *value)
{
  /* libcurl omits a field that ends with its colon; with a semicolon it sends the field with an
   * empty value. */
  const char *separator = value[0] == '\0' ? ";" : ": ";
  const size_t bytes = strlen (name) + strlen (separator) + strlen (value) + 1;
  char *line = bt_calloc (ctx, bytes, 1);

  snprintf (line, bytes, "%s%s%s", name, separator, value);
  fields = curl_slist_append (fields, line);
  bt_free (ctx, line);
  return fields;
}

bool
bt_end_http_head (bt_answer_head_t *head, CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return bt_end_head (head);
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_BAD_FUNCTION_ARGUMENT: /* a first field that begins with a blank */
      bt_refuse_head (head);
      return false;
    default:
      return false;
    }
}
