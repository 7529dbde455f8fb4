#include "bilberrytray/load/answer_budget.h"

struct bt_answer_budget
{
  int64_t total_bytes;
  int64_t bytes; /* of all answers */
  bt_held_answer_t *first;
};

bt_answer_budget_t *
bt_new_answer_budget (bt_context_t *ctx, int64_t total_bytes)
{
  bt_answer_budget_t *budget = bt_calloc (ctx, 1, sizeof *budget);

  budget->total_bytes = total_bytes;
  return budget;
}

void
bt_drop_answer_budget (bt_context_t *ctx, bt_answer_budget_t *budget)
{
  bt_free (ctx, budget);
}

static void
add_answer (bt_answer_budget_t *budget, bt_held_answer_t *answer)
{
  answer->previous = NULL;
  answer->next = budget->first;
  if (answer->next != NULL)
    answer->next->previous = answer;
  budget->first = answer;
}

static void
remove_answer (bt_answer_budget_t *budget, bt_held_answer_t *answer)
{
  if (answer->previous != NULL)
    answer->previous->next = answer->next;
  else
    budget->first = answer->next;
  if (answer->next != NULL)
    answer->next->previous = answer->previous;
  answer->next = answer->previous = NULL;
}

void
bt_set_held_bytes (bt_answer_budget_t *budget, bt_held_answer_t *answer, int64_t bytes)
{
  if (answer->bytes == 0 && bytes > 0)
    add_answer (budget, answer);
  else if (answer->bytes > 0 && bytes == 0)
    remove_answer (budget, answer);
  budget->bytes += bytes - answer->bytes;
  answer->bytes = bytes;
}

bt_held_answer_t *
bt_find_answer_to_end (const bt_answer_budget_t *budget)
{
  bt_held_answer_t *found = NULL;

  if (budget->total_bytes == 0 || budget->bytes <= budget->total_bytes)
    return NULL;
  for (bt_held_answer_t *answer = budget->first; answer != NULL; answer = answer->next)
    if (found == NULL || answer->bytes > found->bytes)
      found = answer;
  return found;
}

int64_t
bt_get_held_bytes (const bt_answer_budget_t *budget)
{
  return budget->bytes;
}
