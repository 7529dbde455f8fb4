#ifndef BILBERRYTRAY_LOAD_ANSWER_BUDGET_H
#define BILBERRYTRAY_LOAD_ANSWER_BUDGET_H

/** @file
 * A budget of the memory that unfinished answers of endpoints take together. It decides which of
 * them to end when the budget is exceeded.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_answer_budget bt_answer_budget_t;

/** One answer: embed it, zeroed, and do not move it. The fields are read-only for callers. */
typedef struct bt_held_answer
{
  int64_t bytes;
  struct bt_held_answer *next; /**< In the list of the answers that hold any bytes. */
  struct bt_held_answer *previous;
} bt_held_answer_t;

/** @param total_bytes bound on the bytes of all answers; 0: none. */
bt_answer_budget_t *bt_new_answer_budget (bt_context_t *ctx, int64_t total_bytes);

/** All answers must have been set to 0 bytes. NULL is accepted. */
void bt_drop_answer_budget (bt_context_t *ctx, bt_answer_budget_t *budget);

/** Sets how many bytes an answer takes; 0 removes it. */
void bt_set_held_bytes (bt_answer_budget_t *budget, bt_held_answer_t *answer, int64_t bytes);

/** Returns the answer to end: the one with the most bytes, of equal ones the latest that was added.
 * Returns NULL while the bound is kept. */
bt_held_answer_t *bt_find_answer_to_end (const bt_answer_budget_t *budget);

/** Returns the bytes of all answers. */
int64_t bt_get_held_bytes (const bt_answer_budget_t *budget);

#endif
