#include "endpoint_selection.h"

#include <string.h>

#include "bilberrytray/load/endpoint_subset.h"

/** The subset of one model. */
typedef struct model_row
{
  char app[BT_NAME_BYTES];
  bt_endpoint_subset_t *subset;
} model_row_t;

struct bt_endpoint_selection
{
  bt_identity_t instance;
  model_row_t *models;
  int32_t model_count;
};

bt_endpoint_selection_t *
bt_new_endpoint_selection (bt_context_t *ctx, const bt_identity_t *instance)
{
  bt_endpoint_selection_t *selection = bt_calloc (ctx, 1, sizeof *selection);

  selection->instance = *instance;
  return selection;
}

void
bt_drop_endpoint_selection (bt_context_t *ctx, bt_endpoint_selection_t *selection)
{
  if (selection == NULL)
    return;
  for (int32_t i = 0; i < selection->model_count; i++)
    bt_drop_endpoint_subset (ctx, selection->models[i].subset);
  bt_free (ctx, selection->models);
  bt_free (ctx, selection);
}

static model_row_t *
find_model (const bt_endpoint_selection_t *selection, const char *app)
{
  for (int32_t i = 0; i < selection->model_count; i++)
    if (strcmp (selection->models[i].app, app) == 0)
      return &selection->models[i];
  return NULL;
}

static model_row_t *
find_or_add_model (bt_context_t *ctx, bt_endpoint_selection_t *selection, const char *app)
{
  model_row_t *model = find_model (selection, app);

  if (model != NULL)
    return model;
  selection->models = bt_realloc (ctx, selection->models, (size_t)selection->model_count + 1,
                                  sizeof *selection->models);
  model = &selection->models[selection->model_count++];
  bt_copy_name (model->app, app);
  model->subset = bt_new_endpoint_subset (ctx, selection->instance.instance);
  return model;
}

/* Returns the number of listed instances. It is not known before this one is listed too: while a
 * fleet starts, the list is short. */
static int32_t
count_entries (const bt_endpoint_selection_t *selection, const bt_view_t *view)
{
  for (int32_t i = 0; i < view->entry_count; i++)
    if (bt_same_identity (&view->entries[i].identity, &selection->instance))
      return view->entry_count;
  return 0;
}

/* Endpoints that accept no requests are no candidates, so that others take their places. */
static int32_t
list_candidates (const bt_endpoint_table_t *table,
                 const bt_evacuations_t *evacuations,
                 const char *app,
                 bt_subset_candidate_t *candidates)
{
  int32_t count = 0;

  for (int32_t i = 0; i < bt_count_listed_endpoints (table); i++)
    {
      const bt_listed_endpoint_t *endpoint = bt_get_listed_endpoint (table, i);

      if (endpoint == NULL || endpoint->leaving || strcmp (endpoint->app, app) != 0
          || bt_is_domain_evacuated (evacuations, endpoint->failure_domain))
        continue;
      bt_copy_name (candidates[count].instance, endpoint->id);
      bt_copy_name (candidates[count++].failure_domain, endpoint->failure_domain);
    }
  return count;
}

static void
set_selected (const bt_endpoint_selection_t *selection,
              const bt_endpoint_table_t *table,
              bt_router_t *router)
{
  for (int32_t i = 0; i < bt_count_listed_endpoints (table); i++)
    {
      const bt_listed_endpoint_t *endpoint = bt_get_listed_endpoint (table, i);
      bt_identity_t identity;

      if (endpoint == NULL)
        continue;
      bt_identify_endpoint (endpoint, &identity);
      bt_set_endpoint_selected (router, &identity, bt_is_endpoint_selected (selection, endpoint));
    }
}

void
bt_update_endpoint_selection (bt_context_t *ctx,
                              bt_endpoint_selection_t *selection,
                              const bt_endpoint_table_t *table,
                              const bt_view_t *view,
                              bt_router_t *router)
{
  const bt_declarations_t *declarations = view->declarations;
  bt_subset_candidate_t *candidates =
      bt_calloc (ctx, (size_t)bt_count_listed_endpoints (table) + 1, sizeof *candidates);
  int32_t entries = count_entries (selection, view);

  for (int32_t i = 0; declarations != NULL && i < declarations->app_count; i++)
    {
      const bt_app_t *app = &declarations->apps[i];
      bt_endpoint_subset_t *subset;
      int32_t count;

      if (app->kind != BT_APP_MODEL)
        continue;
      subset = find_or_add_model (ctx, selection, app->name)->subset;
      count = list_candidates (table, &view->evacuations, app->name, candidates);
      bt_update_endpoint_subset (ctx, subset, candidates, count,
                                 bt_get_subset_width (count, entries));
      bt_set_app_entries (ctx, router, app->name,
                          bt_get_subset_sharers (subset, view->entry_count));
    }
  set_selected (selection, table, router);
  bt_free (ctx, candidates);
}

bool
bt_is_endpoint_selected (const bt_endpoint_selection_t *selection,
                         const bt_listed_endpoint_t *endpoint)
{
  const model_row_t *model = find_model (selection, endpoint->app);

  return model == NULL || bt_is_in_endpoint_subset (model->subset, endpoint->id);
}
