#ifndef BILBERRYTRAY_BASE_CONTEXT_H
#define BILBERRYTRAY_BASE_CONTEXT_H

/** @file
 * The context that is passed first: the log, the counters and the clock of one process.
 */

#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/clock.h"

typedef struct bt_context bt_context_t;
typedef struct bt_counters bt_counters_t;

/** Makes a context that logs to standard error at level "info" and reads the system's clock. */
bt_context_t *bt_new_context (void);

/** Frees a context and its counters. NULL is accepted. */
void bt_drop_context (bt_context_t *ctx);

/** Sets the highest level that is logged, a bt_log_level_t; -1 turns the log off (tests). Safe
 * while other threads log: each line goes by the old level or the new one. */
void bt_set_log_level (bt_context_t *ctx, int32_t level);

/** Sets the name that each log line carries after its time, usually the instance's; copied. */
void bt_set_log_name (bt_context_t *ctx, const char *name);

/** Sets the clock, which must outlive the context. */
void bt_set_context_clock (bt_context_t *ctx, bt_clock_t *clock);

/** Reads the context's clock, in milliseconds. Code in core takes the time as an argument instead.
 */
int64_t bt_now_ms (bt_context_t *ctx);

/** The counters of this context. */
bt_counters_t *bt_get_counters (bt_context_t *ctx);

/** Zeroed memory for @p count things of @p size bytes each. Never NULL: a process that has no
 * memory left logs it and aborts, since none of its promises can be kept by going on half-way. */
void *bt_calloc (bt_context_t *ctx, size_t count, size_t size);

/** Grows or shrinks memory from bt_calloc; aborts like it. New bytes are not zeroed. */
void *bt_realloc (bt_context_t *ctx, void *memory, size_t count, size_t size);

/** A copy of a string; aborts like bt_calloc. */
char *bt_strdup (bt_context_t *ctx, const char *text);

/** A copy of @p bytes bytes with a zero behind them; aborts like bt_calloc. */
void *bt_memdup (bt_context_t *ctx, const void *data, size_t bytes);

/** Frees memory from the calls above. NULL is accepted. */
void bt_free (bt_context_t *ctx, void *memory);

#endif
