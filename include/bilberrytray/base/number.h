#ifndef BILBERRYTRAY_BASE_NUMBER_H
#define BILBERRYTRAY_BASE_NUMBER_H

/** @file
 * Reads decimal counts from text that other programs wrote. A count that does not fit is refused,
 * never cut to its low bits.
 */

#include <stdbool.h>
#include <stdint.h>

/** Reads a count from 0 to @p max: decimal digits, with blanks around them allowed. Returns false
 * and leaves @p number as it is if @p text is anything else. */
bool bt_parse_count (const char *text, int64_t max, int64_t *number);

/** Reads exactly @p count counts from 0 to @p max with commas between them. Returns false and
 * leaves @p numbers as they are if @p text is anything else; @p count is at most
 * BT_MAX_PARSED_COUNTS. */
bool bt_parse_counts (const char *text, int32_t max, int32_t *numbers, int32_t count);

enum
{
  BT_MAX_PARSED_COUNTS = 8,
};

#endif
