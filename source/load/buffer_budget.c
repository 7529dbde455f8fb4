#include "bilberrytray/load/buffer_budget.h"

struct bt_buffer_budget
{
  bt_buffer_budget_options_t options;
  int64_t bytes;        /* of all calls */
  int64_t behind_bytes; /* that wait for callers that are behind */
  bt_buffered_call_t *first_behind;
};

bt_buffer_budget_t *
bt_new_buffer_budget (bt_context_t *ctx, const bt_buffer_budget_options_t *options)
{
  bt_buffer_budget_t *budget = bt_calloc (ctx, 1, sizeof *budget);

  budget->options = *options;
  return budget;
}

void
bt_drop_buffer_budget (bt_context_t *ctx, bt_buffer_budget_t *budget)
{
  bt_free (ctx, budget);
}

static void
set_behind (bt_buffer_budget_t *budget, bt_buffered_call_t *call)
{
  call->behind = true;
  call->previous = NULL;
  call->next = budget->first_behind;
  if (call->next != NULL)
    call->next->previous = call;
  budget->first_behind = call;
  budget->behind_bytes += call->waiting_bytes;
}

static void
clear_behind (bt_buffer_budget_t *budget, bt_buffered_call_t *call)
{
  call->behind = false;
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    budget->first_behind = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  call->next = call->previous = NULL;
  budget->behind_bytes -= call->waiting_bytes;
}

static void
change_waiting_bytes (bt_buffer_budget_t *budget, bt_buffered_call_t *call, int64_t bytes)
{
  call->waiting_bytes += bytes;
  budget->bytes += bytes;
  if (call->behind)
    budget->behind_bytes += bytes;
}

bool
bt_add_waiting_bytes (bt_buffer_budget_t *budget,
                      bt_buffered_call_t *call,
                      int64_t bytes,
                      int64_t now_ms)
{
  /* A caller with nothing to take is not late. */
  if (call->waiting_bytes == 0)
    call->progress_ms = now_ms;
  change_waiting_bytes (budget, call, bytes);
  if (call->behind || call->waiting_bytes <= budget->options.call_bytes)
    return false;
  set_behind (budget, call);
  return true;
}

bool
bt_take_waiting_bytes (bt_buffer_budget_t *budget,
                       bt_buffered_call_t *call,
                       int64_t bytes,
                       int64_t now_ms)
{
  if (bytes > 0)
    call->progress_ms = now_ms;
  change_waiting_bytes (budget, call, -bytes);
  if (!call->behind || 2 * call->waiting_bytes >= budget->options.call_bytes)
    return false;
  clear_behind (budget, call);
  return true;
}

void
bt_set_other_bytes (bt_buffer_budget_t *budget, bt_buffered_call_t *call, int64_t bytes)
{
  budget->bytes += bytes - call->other_bytes;
  call->other_bytes = bytes;
}

void
bt_discard_waiting_bytes (bt_buffer_budget_t *budget, bt_buffered_call_t *call)
{
  if (call->behind)
    clear_behind (budget, call);
  change_waiting_bytes (budget, call, -call->waiting_bytes);
}

void
bt_remove_buffered_call (bt_buffer_budget_t *budget, bt_buffered_call_t *call)
{
  bt_discard_waiting_bytes (budget, call);
  bt_set_other_bytes (budget, call, 0);
}

bool
bt_may_buffer_body (const bt_buffer_budget_t *budget, int64_t held_bytes, int64_t bytes)
{
  return budget->options.total_bytes == 0 || held_bytes + bytes <= budget->options.call_bytes
         || budget->bytes - budget->behind_bytes + bytes <= budget->options.total_bytes;
}

/* Returns true if @p call is to be ended before @p other. */
static bool
ends_before (const bt_buffered_call_t *call, const bt_buffered_call_t *other)
{
  if (call->progress_ms != other->progress_ms)
    return call->progress_ms < other->progress_ms;
  return call->waiting_bytes + call->other_bytes > other->waiting_bytes + other->other_bytes;
}

bt_buffered_call_t *
bt_find_call_to_end (const bt_buffer_budget_t *budget)
{
  bt_buffered_call_t *found = NULL;

  if (!bt_is_buffer_budget_exceeded (budget))
    return NULL;
  for (bt_buffered_call_t *call = budget->first_behind; call != NULL; call = call->next)
    if (found == NULL || ends_before (call, found))
      found = call;
  return found;
}

bool
bt_is_buffer_budget_exceeded (const bt_buffer_budget_t *budget)
{
  return budget->options.total_bytes > 0 && budget->bytes > budget->options.total_bytes;
}

int64_t
bt_get_buffered_bytes (const bt_buffer_budget_t *budget)
{
  return budget->bytes;
}
