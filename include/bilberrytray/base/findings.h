#ifndef BILBERRYTRAY_BASE_FINDINGS_H
#define BILBERRYTRAY_BASE_FINDINGS_H

/** @file
 * Findings are problems found in input, collected with their location and reported together.
 */

#include <stdint.h>
#include <stdio.h>

#include "bilberrytray/base/context.h"

typedef struct bt_findings bt_findings_t;

/** One finding. The list owns the strings. */
typedef struct bt_finding
{
  const char *file;    /**< The file, flag or environment variable; never NULL. */
  int32_t line;        /**< From 1; 0 if there is no line number. */
  const char *path;    /**< Location in the document, such as "rules[2].when.path"; may be "". */
  const char *message; /**< One short sentence. */
} bt_finding_t;

bt_findings_t *bt_new_findings (bt_context_t *ctx);
void bt_drop_findings (bt_context_t *ctx, bt_findings_t *findings);

/** Adds a finding. Strings are copied. @p path may be NULL. */
void bt_add_finding (bt_context_t *ctx,
                     bt_findings_t *findings,
                     const char *file,
                     int32_t line,
                     const char *path,
                     const char *format,
                     ...) __attribute__ ((format (printf, 6, 7)));

/** Returns how many findings were added. */
int32_t bt_count_findings (const bt_findings_t *findings);

/** Returns the finding at @p index, from 0, in the order of addition. Only the first 1,000 are
 * kept.
 */
const bt_finding_t *bt_get_finding (const bt_findings_t *findings, int32_t index);

/** Prints one line per finding: FILE:LINE: PATH: MESSAGE. */
void bt_print_findings (const bt_findings_t *findings, FILE *out);

#endif
