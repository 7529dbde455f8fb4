#include "bilberrytray/base/url.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum
{
  MIN_CAPACITY = 128,
  NUMBER_BYTES = 24,
  ESCAPED_BYTES = 3, /* of one byte */
  LOW_BITS = 4,
  LOW_MASK = 0xf,
};

/* Makes room for more bytes and the terminating zero. */
static void
reserve_bytes (bt_context_t *ctx, bt_url_t *url, size_t bytes)
{
  const size_t needed = url->bytes + bytes + 1;

  if (needed <= url->capacity)
    return;
  url->capacity = 2 * needed > MIN_CAPACITY ? 2 * needed : MIN_CAPACITY;
  url->text = bt_realloc (ctx, url->text, url->capacity, 1);
}

void
bt_append_url (bt_context_t *ctx, bt_url_t *url, const char *text)
{
  const size_t bytes = strlen (text);

  reserve_bytes (ctx, url, bytes);
  memcpy (url->text + url->bytes, text, bytes + 1);
  url->bytes += bytes;
}

void
bt_append_url_number (bt_context_t *ctx, bt_url_t *url, int64_t number)
{
  char text[NUMBER_BYTES];

  snprintf (text, sizeof text, "%lld", (long long)number);
  bt_append_url (ctx, url, text);
}

/* The answer does not depend on the locale, unlike that of isalnum. */
static bool
is_alphanumeric (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

static bool
is_any_of (char c, const char *set)
{
  return c != '\0' && strchr (set, c) != NULL;
}

/* Appends text with all bytes escaped but letters, digits and those of @p plain. */
static void
append_escaped (bt_context_t *ctx, bt_url_t *url, const char *text, size_t bytes, const char *plain)
{
  static const char digits[] = "0123456789ABCDEF";

  reserve_bytes (ctx, url, ESCAPED_BYTES * bytes);
  for (size_t i = 0; i < bytes; i++)
    {
      const unsigned char byte = (unsigned char)text[i];

      if (is_alphanumeric (text[i]) || is_any_of (text[i], plain))
        {
          url->text[url->bytes++] = text[i];
          continue;
        }
      url->text[url->bytes++] = '%';
      url->text[url->bytes++] = digits[byte >> LOW_BITS];
      url->text[url->bytes++] = digits[byte & LOW_MASK];
    }
  url->text[url->bytes] = '\0';
}

void
bt_append_url_value (bt_context_t *ctx, bt_url_t *url, const char *value, size_t bytes)
{
  append_escaped (ctx, url, value, bytes, "-._~/");
}

void
bt_append_url_segment (bt_context_t *ctx, bt_url_t *url, const char *segment, size_t bytes)
{
  append_escaped (ctx, url, segment, bytes, "-._~");
}

void
bt_clear_url (bt_context_t *ctx, bt_url_t *url)
{
  bt_free (ctx, url->text);
  memset (url, 0, sizeof *url);
}
