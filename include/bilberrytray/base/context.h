#ifndef BILBERRYTRAY_BASE_CONTEXT_H
#define BILBERRYTRAY_BASE_CONTEXT_H

/** @file
 * The context of a process: its log, counters and clock. It is the first argument of most
 * functions.
 */

#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/clock.h"

typedef struct bt_context bt_context_t;
typedef struct bt_counters bt_counters_t;

/** Creates a context that logs to standard error at level "info" and uses the system clock. */
bt_context_t *bt_new_context (void);

/** Frees a context and its counters. NULL is accepted. */
void bt_drop_context (bt_context_t *ctx);

/** Sets the most detailed level that is logged, a bt_log_level_t; -1 turns logging off (in tests).
 * Safe while other threads log: each line uses either the old or the new level. */
void bt_set_log_level (bt_context_t *ctx, int32_t level);

/** Sets the name printed after the time in each log line, usually the instance's. It is copied. */
void bt_set_log_name (bt_context_t *ctx, const char *name);

/** Sets the clock, which must outlive the context. */
void bt_set_context_clock (bt_context_t *ctx, bt_clock_t *clock);

/** Returns the time of the context's clock in milliseconds. Code in core takes the time as an
 * argument instead. */
int64_t bt_now_ms (bt_context_t *ctx);

/** Returns the counters of this context. */
bt_counters_t *bt_get_counters (bt_context_t *ctx);

/** Allocates zeroed memory for @p count items of @p size bytes each. Never returns NULL: when
 * memory runs out, the process logs it and aborts, since it could not keep its guarantees after a
 * partly executed operation. */
void *bt_calloc (bt_context_t *ctx, size_t count, size_t size);

/** Resizes memory from bt_calloc to @p count items of @p size bytes. Aborts when memory runs out.
 * New bytes are not zeroed. */
void *bt_realloc (bt_context_t *ctx, void *memory, size_t count, size_t size);

/** Returns a copy of a string. Aborts when memory runs out. */
char *bt_strdup (bt_context_t *ctx, const char *text);

/** Returns a copy of @p bytes bytes followed by a zero byte. Aborts when memory runs out. */
void *bt_memdup (bt_context_t *ctx, const void *data, size_t bytes);

/** Frees memory from the functions above. NULL is accepted. */
void bt_free (bt_context_t *ctx, void *memory);

#endif
