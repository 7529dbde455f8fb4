#include <string.h>

#include "gateway_private.h"

enum
{
  /* An instance that is among the first to return after all were lost sees few others to share the
     reserve with, and would start with a large part of it. */
  MAX_INITIAL_RETRIES = 8,
};

static int32_t
get_retry_reserve (const bt_gateway_t *gateway)
{
  return bt_divide_retry_reserve ((int64_t)gateway->settings->retry_reserve,
                                  gateway->view == NULL ? 1 : gateway->view->entry_count);
}

static bt_retry_budget_t *
new_budget (const bt_gateway_t *gateway)
{
  bt_retry_budget_options_t options = {
    .share_percent = (int32_t)gateway->settings->retry_percent,
    .reserve = get_retry_reserve (gateway),
  };

  options.initial = options.reserve < MAX_INITIAL_RETRIES ? options.reserve : MAX_INITIAL_RETRIES;
  return bt_new_retry_budget (gateway->ctx, &options);
}

static bt_retry_budget_t *
find_budget (bt_gateway_t *gateway, const char *app)
{
  bt_app_budget_t *row;

  for (int32_t i = 0; i < gateway->budget_count; i++)
    if (strcmp (gateway->budgets[i].app, app) == 0)
      return gateway->budgets[i].budget;
  gateway->budgets = bt_realloc (gateway->ctx, gateway->budgets, (size_t)gateway->budget_count + 1,
                                 sizeof *gateway->budgets);
  row = &gateway->budgets[gateway->budget_count++];
  bt_copy_name (row->app, app);
  row->budget = new_budget (gateway);
  return row->budget;
}

void
bt_record_app_request (bt_gateway_t *gateway, const char *app)
{
  bt_record_attempt (find_budget (gateway, app));
}

bool
bt_take_app_retry (bt_gateway_t *gateway, const char *app, bt_retry_t retry)
{
  return bt_take_retry (gateway->ctx, find_budget (gateway, app), retry);
}

void
bt_update_app_budgets (bt_gateway_t *gateway)
{
  for (int32_t i = 0; i < gateway->budget_count; i++)
    bt_set_retry_reserve (gateway->budgets[i].budget, get_retry_reserve (gateway));
}

void
bt_drop_app_budgets (bt_gateway_t *gateway)
{
  for (int32_t i = 0; i < gateway->budget_count; i++)
    bt_drop_retry_budget (gateway->ctx, gateway->budgets[i].budget);
  bt_free (gateway->ctx, gateway->budgets);
}
