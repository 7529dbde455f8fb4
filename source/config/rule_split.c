#include "bilberrytray/config/rule_split.h"

/* 2 to the power of -64: scales a key to the range from 0 to 1. */
static const double key_unit = 1.0 / 18446744073709551616.0;

void
bt_add_rule_split (bt_context_t *ctx, bt_rule_t *rule, int32_t app, double weight)
{
  bt_rule_then_t *then = &rule->then;

  then->split = bt_realloc (ctx, then->split, (size_t)then->split_count + 1, sizeof *then->split);
  then->split[then->split_count++] = (bt_split_app_t){ app, weight };
}

int32_t
bt_choose_rule_app (const bt_rule_then_t *then, uint64_t key)
{
  double total = 0;
  double at;

  if (then->split_count == 0)
    return then->app;
  for (int32_t i = 0; i < then->split_count; i++)
    total += then->split[i].weight;
  at = (double)key * key_unit * total;
  for (int32_t i = 0; i < then->split_count - 1; i++)
    {
      if (at < then->split[i].weight)
        return then->split[i].app;
      at -= then->split[i].weight;
    }
  return then->split[then->split_count - 1].app;
}

bool
bt_may_rule_choose_app (const bt_rule_then_t *then, int32_t app)
{
  for (int32_t i = 0; i < then->split_count; i++)
    if (then->split[i].app == app)
      return true;
  return then->split_count == 0 && then->app == app;
}
