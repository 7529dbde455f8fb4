#include "bilberrytray/load/retry_budget.h"

enum
{
  /* Tokens are counted in hundredths of a retry, so that shares in percent are exact. */
  RETRY_COST = 100,
  DEFAULT_SHARE_PERCENT = 10,
  DEFAULT_RESERVE = 10,
  RESTART_DIVISOR = 2,
};

struct bt_retry_budget
{
  bt_retry_budget_options_t options;
  int64_t tokens;
};

void
bt_default_retry_budget_options (bt_retry_budget_options_t *options)
{
  options->share_percent = DEFAULT_SHARE_PERCENT;
  options->reserve = DEFAULT_RESERVE;
  options->initial = DEFAULT_RESERVE;
}

bt_retry_budget_t *
bt_new_retry_budget (bt_context_t *ctx, const bt_retry_budget_options_t *options)
{
  bt_retry_budget_t *budget = bt_calloc (ctx, 1, sizeof *budget);

  budget->options = *options;
  if (options->share_percent > 0)
    budget->tokens = (int64_t)options->initial * RETRY_COST;
  return budget;
}

void
bt_drop_retry_budget (bt_context_t *ctx, bt_retry_budget_t *budget)
{
  bt_free (ctx, budget);
}

int32_t
bt_divide_retry_reserve (int64_t total, int32_t instances)
{
  int64_t part = total / RESTART_DIVISOR / (instances > 0 ? instances : 1);

  return part > 1 ? (int32_t)part : 1;
}

void
bt_set_retry_reserve (bt_retry_budget_t *budget, int32_t reserve)
{
  const int64_t max_tokens = (int64_t)reserve * RETRY_COST;

  budget->options.reserve = reserve;
  if (budget->tokens > max_tokens)
    budget->tokens = max_tokens;
}

void
bt_record_attempt (bt_retry_budget_t *budget)
{
  const int64_t max_tokens = (int64_t)budget->options.reserve * RETRY_COST;

  budget->tokens += budget->options.share_percent;
  if (budget->tokens > max_tokens)
    budget->tokens = max_tokens;
}

bool
bt_take_retry (bt_context_t *ctx, bt_retry_budget_t *budget, bt_retry_t retry)
{
  if (budget->tokens < RETRY_COST)
    return false;
  budget->tokens -= RETRY_COST;
  bt_count_retry (ctx, retry);
  return true;
}

int32_t
bt_count_retries_left (const bt_retry_budget_t *budget)
{
  return (int32_t)(budget->tokens / RETRY_COST);
}
