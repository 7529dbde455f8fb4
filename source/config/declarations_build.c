#include <string.h>

#include "bilberrytray/config/declarations.h"

enum
{
  /* Upper limit of the body size in a rule that matches any body. */
  ANY_BODY_BYTES = INT32_MAX,
};

/* Arrays grow by doubling, as several hundred rules may be added one after the other. */
static bool
is_full (int32_t count)
{
  return (count & (count - 1)) == 0;
}

static void *
grow (bt_context_t *ctx, void *items, int32_t count, size_t item_bytes)
{
  if (!is_full (count))
    return items;
  return bt_realloc (ctx, items, count == 0 ? 1 : 2 * (size_t)count, item_bytes);
}

bt_account_t *
bt_add_account (bt_context_t *ctx, bt_declarations_t *declarations, const char *name)
{
  bt_account_t *account;

  declarations->accounts =
      grow (ctx, declarations->accounts, declarations->account_count, sizeof *account);
  account = &declarations->accounts[declarations->account_count++];
  memset (account, 0, sizeof *account);
  bt_copy_name (account->name, name);
  if (strlen (name) >= sizeof account->name)
    account->full_name = bt_strdup (ctx, name);
  account->share = 1;
  account->priority = -1;
  return account;
}

const char *
bt_get_account_name (const bt_account_t *account)
{
  return account->full_name == NULL ? account->name : account->full_name;
}

bt_app_t *
bt_add_app (bt_context_t *ctx, bt_declarations_t *declarations, const char *name)
{
  bt_app_t *app;

  declarations->apps = grow (ctx, declarations->apps, declarations->app_count, sizeof *app);
  app = &declarations->apps[declarations->app_count++];
  memset (app, 0, sizeof *app);
  bt_copy_name (app->name, name);
  return app;
}

bt_rule_t *
bt_add_rule (bt_context_t *ctx, bt_declarations_t *declarations, const char *name, int32_t app)
{
  bt_rule_t *rule;

  declarations->rules = grow (ctx, declarations->rules, declarations->rule_count, sizeof *rule);
  rule = &declarations->rules[declarations->rule_count++];
  memset (rule, 0, sizeof *rule);
  bt_copy_name (rule->name, name);
  rule->when.idempotent = -1;
  rule->when.max_body_bytes = ANY_BODY_BYTES;
  rule->then.app = app;
  rule->then.priority = -1;
  rule->then.idempotent = -1;
  return rule;
}

void
bt_add_rule_header (bt_context_t *ctx, bt_rule_t *rule, const char *name, const char *value)
{
  bt_rule_when_t *when = &rule->when;
  bt_header_condition_t *condition;

  when->headers =
      bt_realloc (ctx, when->headers, (size_t)when->header_count + 1, sizeof *when->headers);
  condition = &when->headers[when->header_count++];
  condition->name = bt_strdup (ctx, name);
  condition->values = bt_calloc (ctx, 1, sizeof *condition->values);
  condition->values[0] = bt_strdup (ctx, value);
  condition->value_count = 1;
}
