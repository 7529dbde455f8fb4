#include "bilberrytray/config/contention.h"

#include "bilberrytray/config/rule_split.h"

static int32_t
get_priority (const bt_rule_t *rule)
{
  return rule->then.priority >= 0 ? rule->then.priority : BT_PRIORITY_NORMAL;
}

bool
bt_is_app_contended (const bt_declarations_t *declarations, int32_t app)
{
  const bt_rule_t *first = NULL;

  for (int32_t i = 0; i < declarations->rule_count; i++)
    {
      const bt_rule_t *rule = &declarations->rules[i];

      if (!bt_may_rule_choose_app (&rule->then, app))
        continue;
      if (first != NULL && get_priority (first) != get_priority (rule))
        return true;
      first = rule;
    }
  return false;
}
