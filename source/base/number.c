#include "bilberrytray/base/number.h"

#include <stddef.h>
#include <string.h>

enum
{
  BASE_TEN = 10,
};

static const char *const blanks = " \t";

/* Returns the text behind the count and the blanks around it, or NULL if there is no count. */
static const char *
read_count (const char *text, int64_t max, int64_t *number)
{
  int64_t value = 0;

  text += strspn (text, blanks);
  if (*text < '0' || *text > '9')
    return NULL;
  for (; *text >= '0' && *text <= '9'; text++)
    {
      const int64_t digit = *text - '0';

      if (digit > max || value > (max - digit) / BASE_TEN)
        return NULL;
      value = value * BASE_TEN + digit;
    }
  *number = value;
  return text + strspn (text, blanks);
}

bool
bt_parse_count (const char *text, int64_t max, int64_t *number)
{
  int64_t value = 0;
  const char *end = read_count (text, max, &value);

  if (end == NULL || *end != '\0')
    return false;
  *number = value;
  return true;
}

bool
bt_parse_counts (const char *text, int32_t max, int32_t *numbers, int32_t count)
{
  int32_t values[BT_MAX_PARSED_COUNTS];

  if (count < 1 || count > BT_MAX_PARSED_COUNTS)
    return false;
  for (int32_t i = 0; i < count; i++)
    {
      int64_t value = 0;

      text = read_count (text, max, &value);
      if (text == NULL || *text != (i + 1 < count ? ',' : '\0'))
        return false;
      values[i] = (int32_t)value;
      text++;
    }
  memcpy (numbers, values, (size_t)count * sizeof *numbers);
  return true;
}
