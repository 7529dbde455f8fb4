#include "cold_endpoints.h"

#include "bilberrytray/load/cold_share.h"

static const bt_app_t *
find_app (const bt_view_t *view, const char *name)
{
  int32_t index = view->declarations == NULL ? -1 : bt_find_app (view->declarations, name);

  return index < 0 ? NULL : &view->declarations->apps[index];
}

void
bt_update_cold_endpoints (bt_context_t *ctx,
                          const bt_endpoint_table_t *table,
                          const bt_view_t *view,
                          const char *instance,
                          bt_router_t *router,
                          int64_t now_ms)
{
  const char **entries = bt_calloc (ctx, (size_t)view->entry_count + 1, sizeof (char *));

  for (int32_t i = 0; i < view->entry_count; i++)
    entries[i] = view->entries[i].identity.instance;
  for (int32_t i = 0; i < bt_count_listed_endpoints (table); i++)
    {
      const bt_listed_endpoint_t *endpoint = bt_get_listed_endpoint (table, i);
      const bt_app_t *app = endpoint == NULL ? NULL : find_app (view, endpoint->app);
      int64_t until_ms = bt_get_endpoint_cold_until_ms (table, i);
      int64_t interval_ms = 0;
      bt_identity_t identity;

      if (app == NULL)
        continue;
      if (app->cold_per_s <= 0)
        until_ms = 0;
      if (until_ms > now_ms)
        interval_ms = bt_get_cold_interval_ms (endpoint->id, instance, entries, view->entry_count,
                                               app->cold_per_s);
      bt_identify_endpoint (endpoint, &identity);
      bt_set_endpoint_cold (router, &identity, until_ms, interval_ms);
    }
  bt_free (ctx, entries);
}
