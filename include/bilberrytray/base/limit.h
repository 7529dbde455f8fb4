#ifndef BILBERRYTRAY_BASE_LIMIT_H
#define BILBERRYTRAY_BASE_LIMIT_H

/** @file
 * What a process can't hold because of a size that is fixed in it or set for it. An operator has to
 * hear of it: what hits such a bound is otherwise left out without a trace.
 */

#include "bilberrytray/base/context.h"

/** Counts that a bound was hit, in "bilberry_limits_reached_total" by @p limit, and logs it the
 * first time, the second, the fourth and so on. @p subject is what hit it, and @p message says what
 * follows. @p limit is a name in the program text. */
void bt_note_limit (
    bt_context_t *ctx, const char *limit, int64_t most, const char *subject, const char *message);

#endif
