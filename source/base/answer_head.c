#include "bilberrytray/base/answer_head.h"

#include <string.h>
#include <strings.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/http_field.h"
#include "bilberrytray/base/number.h"

enum
{
  STATUS_DIGITS = 3,
  BASE_TEN = 10,
  MIN_STATUS = 100,
  SWITCHING_PROTOCOLS = 101,
  FIRST_FINAL_STATUS = 200,
  MAX_STATUS = 599,
};

typedef struct fault_text
{
  const char *name;
  const char *description;
} fault_text_t;

static const fault_text_t fault_texts[BT_HEAD_FAULT_COUNT] = {
  [BT_HEAD_SOUND] = { "sound", "" },
  [BT_HEAD_FAULT_CUT_OFF] = { "cut-off", "The answer's head was cut off." },
  [BT_HEAD_FAULT_STATUS_LINE] = { "status-line", "The answer's status line is not valid." },
  [BT_HEAD_FAULT_UPGRADE] = { "upgrade", "The answer switches to another protocol." },
  [BT_HEAD_FAULT_FIELD_NAME] = { "field-name", "A field of the answer's head has no valid name." },
  [BT_HEAD_FAULT_FIELD_VALUE] = { "field-value",
                                  "A field of the answer's head has no valid value." },
  [BT_HEAD_FAULT_LENGTH] = { "length", "The answer's head gives its body no clear length." },
  [BT_HEAD_FAULT_TOO_LARGE] = { "too-large", "The answer's head is too large." },
};

bool
bt_is_final_status (int64_t status)
{
  return status >= FIRST_FINAL_STATUS && status <= MAX_STATUS;
}

const char *
bt_name_head_fault (bt_head_fault_t fault)
{
  return fault_texts[fault].name;
}

const char *
bt_describe_head_fault (bt_head_fault_t fault)
{
  return fault_texts[fault].description;
}

void
bt_count_faulty_head (bt_context_t *ctx, const bt_answer_head_t *head)
{
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_faulty_answers_total",
                                   "Answers of endpoints whose head is not valid, by fault.",
                                   "fault", bt_name_head_fault (head->fault)),
                  1);
}

static bt_head_line_t
set_fault (bt_answer_head_t *head, bt_head_fault_t fault)
{
  if (head->fault == BT_HEAD_SOUND)
    head->fault = fault;
  return BT_HEAD_LINE_FAULTY;
}

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Reads "HTTP/1.1 200 OK", whose reason may be missing. */
static bool
read_status (const char *line, size_t bytes, int32_t *status)
{
  static const char version[] = "HTTP/1.";
  const size_t version_bytes = sizeof version - 1;
  const char *digits = line + version_bytes + 2;
  const size_t least_bytes = version_bytes + 2 + STATUS_DIGITS;

  if (bytes < least_bytes || memcmp (line, version, version_bytes) != 0
      || !is_digit (line[version_bytes]) || line[version_bytes + 1] != ' ')
    return false;
  *status = 0;
  for (int32_t i = 0; i < STATUS_DIGITS; i++)
    {
      if (!is_digit (digits[i]))
        return false;
      *status = BASE_TEN * *status + (digits[i] - '0');
    }
  return *status >= MIN_STATUS && *status <= MAX_STATUS
         && (bytes == least_bytes || line[least_bytes] == ' ')
         && bt_is_field_value (line + least_bytes, bytes - least_bytes);
}

static bt_head_line_t
read_status_line (bt_answer_head_t *head, const char *line, size_t bytes)
{
  if (!read_status (line, bytes, &head->status))
    return set_fault (head, BT_HEAD_FAULT_STATUS_LINE);
  if (head->status == SWITCHING_PROTOCOLS)
    return set_fault (head, BT_HEAD_FAULT_UPGRADE);
  head->begun = true;
  return BT_HEAD_LINE_OTHER;
}

static bt_head_line_t
end_lines (bt_answer_head_t *head)
{
  head->begun = false;
  if (head->status < FIRST_FINAL_STATUS)
    return BT_HEAD_LINE_OTHER;
  head->complete = true;
  return BT_HEAD_LINE_END;
}

/* Reads a field that tells where the body ends. libcurl takes a sign, a prefix or a first number
 * for a length, and of two lengths one. Chunks override a length. */
static bool
read_framing (bt_answer_head_t *head, const char *name, const char *value)
{
  int64_t length_bytes;

  if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      if (head->chunked || strcasecmp (value, "chunked") != 0)
        return false;
      head->chunked = true;
    }
  else if (strcasecmp (name, "Content-Length") == 0)
    {
      if (!bt_parse_count (value, INT64_MAX, &length_bytes)
          || (head->has_length && length_bytes != head->length_bytes))
        return false;
      head->has_length = true;
      head->length_bytes = length_bytes;
    }
  head->framed = head->chunked || head->has_length;
  return true;
}

static bt_head_line_t
read_field (bt_answer_head_t *head, char *line, size_t bytes, const char **value)
{
  char *colon = memchr (line, ':', bytes);
  char *end = line + bytes;
  char *begin;

  if (colon == NULL || !bt_is_field_name (line, (size_t)(colon - line)))
    return set_fault (head, BT_HEAD_FAULT_FIELD_NAME);
  *colon = '\0';
  begin = colon + 1;
  if (!bt_is_field_value (begin, (size_t)(end - begin)))
    return set_fault (head, BT_HEAD_FAULT_FIELD_VALUE);
  begin += strspn (begin, " \t");
  while (end > begin && (end[-1] == ' ' || end[-1] == '\t'))
    end--;
  *end = '\0';
  *value = begin;
  if (head->status < FIRST_FINAL_STATUS)
    return BT_HEAD_LINE_OTHER;
  return read_framing (head, line, begin) ? BT_HEAD_LINE_FIELD
                                          : set_fault (head, BT_HEAD_FAULT_LENGTH);
}

bt_head_line_t
bt_read_head_line (bt_answer_head_t *head,
                   const char *data,
                   size_t bytes,
                   char line[BT_HEAD_LINE_BYTES],
                   const char **value)
{
  head->lines++;
  head->bytes += bytes;
  if (bytes >= BT_HEAD_LINE_BYTES || head->lines > BT_MAX_HEAD_LINES
      || head->bytes > BT_MAX_HEAD_BYTES)
    return set_fault (head, BT_HEAD_FAULT_TOO_LARGE);
  if (head->fault != BT_HEAD_SOUND)
    return BT_HEAD_LINE_FAULTY;
  /* Trailers are not passed on. */
  if (head->complete)
    return BT_HEAD_LINE_OTHER;
  if (bytes > 0 && data[bytes - 1] == '\n')
    bytes--;
  if (bytes > 0 && data[bytes - 1] == '\r')
    bytes--;
  memcpy (line, data, bytes);
  line[bytes] = '\0';
  if (!head->begun)
    return read_status_line (head, line, bytes);
  return bytes == 0 ? end_lines (head) : read_field (head, line, bytes, value);
}

bool
bt_end_head (bt_answer_head_t *head)
{
  if (!head->complete)
    set_fault (head, BT_HEAD_FAULT_CUT_OFF);
  return head->fault == BT_HEAD_SOUND;
}

void
bt_refuse_head (bt_answer_head_t *head)
{
  if (!head->complete)
    set_fault (head, head->begun ? BT_HEAD_FAULT_FIELD_VALUE : BT_HEAD_FAULT_STATUS_LINE);
}
