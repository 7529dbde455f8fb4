#include "endpoint_table.h"

#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/name_index.h"

enum
{
  /* Endpoints whose registrations lapsed with the store register again within two seconds of its
   * return. Half a second is added for the watch and the read that bring the registration here. */
  RELIST_WAIT_MS = 2500,
  /* An endpoint that leaves just then is missing as well, and must get no requests two seconds
   * later. That also holds at an entry instance that alone was cut off from the store. */
  MAX_MISSING_MS = 1800,
  /* Three missed heartbeats of an endpoint, and the delay until that is known here. */
  ENDED_SUSPENSION_MS = 5000,
};

/** One endpoint of the table. */
typedef struct table_row
{
  bt_listed_endpoint_t listed;
  bool gone; /* known to be gone; not in the router while the same registration is listed */
  int64_t missing_since_ms; /* from when on the store may not have listed it; 0: it is listed */
  int64_t ignored_start_ms; /* start time of the older registration ignored last; 0: none */
  bool evacuated;           /* as the router knows it */
  uint64_t view_number;     /* the last view that listed it */
  int64_t cold_until_ms;    /* as its registration says */
  int64_t released_ms;      /* when its failure domain was last evacuated no more; 0: never */
  int64_t released_cold_ms; /* how long it is assumed to be cold from then on */
} table_row_t;

struct bt_endpoint_table
{
  bt_router_t *router;
  bt_group_outages_t *outages; /* may be NULL */
  table_row_t **rows;
  int32_t count;
  int32_t capacity;
  bt_name_index_t *ids;       /* of the rows by id */
  bt_name_index_t *addresses; /* of the rows by address: the latest start, without those gone */
  uint64_t view_number;       /* counts the applied views */
  int64_t regained_ms;        /* when the store last became reachable again; 0: it was never lost */
  bt_endpoint_end_handler_t *end_handler;
};

void
bt_identify_endpoint (const bt_listed_endpoint_t *listed, bt_identity_t *identity)
{
  memset (identity, 0, sizeof *identity);
  bt_copy_name (identity->instance, listed->id);
  identity->incarnation = (uint64_t)listed->started_ms;
}

bool
bt_is_listed_incarnation (const bt_listed_endpoint_t *listed, int64_t started_ms)
{
  return listed->started_ms == 0 || started_ms == 0 || listed->started_ms == started_ms;
}

bt_endpoint_table_t *
bt_new_endpoint_table (bt_context_t *ctx, bt_router_t *router, bt_group_outages_t *outages)
{
  bt_endpoint_table_t *table = bt_calloc (ctx, 1, sizeof *table);

  table->router = router;
  table->outages = outages;
  table->ids = bt_new_name_index (ctx);
  table->addresses = bt_new_name_index (ctx);
  return table;
}

void
bt_drop_endpoint_table (bt_context_t *ctx, bt_endpoint_table_t *table)
{
  if (table == NULL)
    return;
  for (int32_t i = 0; i < table->count; i++)
    bt_free (ctx, table->rows[i]);
  bt_free (ctx, table->rows);
  bt_drop_name_index (ctx, table->ids);
  bt_drop_name_index (ctx, table->addresses);
  bt_free (ctx, table);
}

void
bt_set_endpoint_end_handler (bt_endpoint_table_t *table, bt_endpoint_end_handler_t *handler)
{
  table->end_handler = handler;
}

static table_row_t *
find_row (const bt_endpoint_table_t *table, const char *id)
{
  return bt_find_name (table->ids, id);
}

const bt_listed_endpoint_t *
bt_find_listed_endpoint (const bt_endpoint_table_t *table, const char *id)
{
  const table_row_t *row = find_row (table, id);

  return row == NULL ? NULL : &row->listed;
}

int32_t
bt_count_listed_endpoints (const bt_endpoint_table_t *table)
{
  return table->count;
}

const bt_listed_endpoint_t *
bt_get_listed_endpoint (const bt_endpoint_table_t *table, int32_t index)
{
  const table_row_t *row = table->rows[index];

  return row->gone ? NULL : &row->listed;
}

const bt_listed_endpoint_t *
bt_find_endpoint_at (const bt_endpoint_table_t *table, const char *address)
{
  const table_row_t *row = bt_find_name (table->addresses, address);

  return row == NULL ? NULL : &row->listed;
}

/* While a missing endpoint is kept, its successor at the same address may already be listed. */
static void
index_addresses (bt_endpoint_table_t *table)
{
  bt_clear_name_index (table->addresses);
  for (int32_t i = table->count - 1; i >= 0; i--)
    {
      table_row_t *row = table->rows[i];
      const table_row_t *other = bt_find_name (table->addresses, row->listed.address);

      if (!row->gone && (other == NULL || row->listed.started_ms > other->listed.started_ms))
        bt_put_name (table->addresses, row->listed.address, row);
    }
}

static void
update_router (bt_context_t *ctx,
               bt_endpoint_table_t *table,
               const bt_listed_endpoint_t *listed,
               bool is_new,
               int64_t now_ms)
{
  bt_endpoint_t endpoint = { 0 };
  bt_load_t load = { .slots = listed->slots };

  bt_identify_endpoint (listed, &endpoint.identity);
  bt_copy_name (endpoint.name, listed->id);
  bt_copy_name (endpoint.app, listed->app);
  bt_copy_name (endpoint.failure_domain, listed->failure_domain);
  bt_put_endpoint (ctx, table->router, &endpoint, now_ms);
  bt_set_endpoint_leaving (table->router, &endpoint.identity, listed->leaving);
  if (!is_new)
    return;
  bt_record_load (table->router, &endpoint.identity, &load, now_ms);
  if (table->outages != NULL)
    bt_record_rank_listed (ctx, table->outages, &endpoint.identity, listed->app, now_ms);
}

static void
log_endpoint (bt_context_t *ctx, const char *event, const bt_listed_endpoint_t *listed)
{
  bt_log_event (ctx, BT_LOG_INFO, event, "{s:s, s:s, s:s}", "endpoint", listed->id, "app",
                listed->app, "address", listed->address);
}

static void
remove_from_router (bt_context_t *ctx,
                    bt_endpoint_table_t *table,
                    const bt_listed_endpoint_t *listed)
{
  bt_identity_t identity;

  bt_identify_endpoint (listed, &identity);
  bt_remove_endpoint (ctx, table->router, &identity);
  if (table->outages != NULL)
    bt_record_rank_removed (ctx, table->outages, &identity);
  if (table->end_handler != NULL && !listed->leaving)
    table->end_handler->on_end (table->end_handler, &identity);
}

/* The registration of an incarnation that has ended may arrive late: the last write of that
 * process, or a value that another writer still held. If it were applied, requests would be routed
 * by the state of a process that no longer exists. */
static void
ignore_old_incarnation (bt_context_t *ctx, table_row_t *row, const bt_listed_endpoint_t *listed)
{
  row->missing_since_ms = 0;
  if (row->ignored_start_ms == listed->started_ms && row->ignored_start_ms != 0)
    return;
  row->ignored_start_ms = listed->started_ms;
  bt_log_event (ctx, BT_LOG_WARNING, "endpoint-old-start", "{s:s, s:I, s:I}", "endpoint",
                listed->id, "started_ms", (json_int_t)listed->started_ms, "known_ms",
                (json_int_t)row->listed.started_ms);
}

/* A restarted endpoint keeps nothing from before: its requests are lost, its slots are free, and
 * what made it slow or gone may have ended with the process. The router would keep the record of
 * its failures, so the earlier incarnation is removed first. */
static void
drop_earlier_incarnation (bt_context_t *ctx,
                          bt_endpoint_table_t *table,
                          table_row_t *row,
                          const bt_listed_endpoint_t *listed)
{
  bt_log_event (ctx, BT_LOG_INFO, "endpoint-restarted", "{s:s, s:I, s:I}", "endpoint", listed->id,
                "started_ms", (json_int_t)listed->started_ms, "before_ms",
                (json_int_t)row->listed.started_ms);
  remove_from_router (ctx, table, &row->listed);
  row->gone = false;
  row->ignored_start_ms = 0;
  row->evacuated = false;
  row->released_ms = 0;
}

static table_row_t *
add_row (bt_context_t *ctx, bt_endpoint_table_t *table, const char *id)
{
  table_row_t *row = bt_calloc (ctx, 1, sizeof *row);

  if (table->count == table->capacity)
    {
      table->capacity = 2 * table->capacity + 1;
      table->rows = bt_realloc (ctx, table->rows, (size_t)table->capacity, sizeof (table_row_t *));
    }
  table->rows[table->count++] = row;
  bt_copy_name (row->listed.id, id);
  bt_put_name (table->ids, row->listed.id, row);
  return row;
}

static void
remove_row (bt_context_t *ctx, bt_endpoint_table_t *table, int32_t index)
{
  table_row_t *row = table->rows[index];

  table->rows[index] = table->rows[--table->count];
  bt_remove_name (table->ids, row->listed.id, row);
  bt_free (ctx, row);
}

/* Returns true if a registration was written since the known one. Revisions of different eras are
 * not comparable. */
static bool
has_changed (const bt_listed_endpoint_t *known, const bt_listed_endpoint_t *listed)
{
  if (known->era != listed->era)
    return known->cold_left_ms != listed->cold_left_ms;
  return known->revision != listed->revision;
}

static void
apply_endpoint (bt_context_t *ctx,
                bt_endpoint_table_t *table,
                const bt_listed_endpoint_t *listed,
                int64_t now_ms)
{
  table_row_t *row = find_row (table, listed->id);
  bool is_new = row == NULL;

  if (!is_new)
    row->view_number = table->view_number;
  if (!is_new && listed->started_ms < row->listed.started_ms)
    {
      ignore_old_incarnation (ctx, row, listed);
      return;
    }
  if (!is_new && listed->started_ms > row->listed.started_ms)
    {
      drop_earlier_incarnation (ctx, table, row, listed);
      is_new = true;
    }
  else if (is_new)
    {
      row = add_row (ctx, table, listed->id);
      log_endpoint (ctx, "endpoint-listed", listed);
    }
  else if (listed->leaving && !row->listed.leaving)
    log_endpoint (ctx, "endpoint-leaving", listed);
  /* The time counts from when this instance learns of it, which is later than its endpoint says. */
  if (is_new || has_changed (&row->listed, listed))
    row->cold_until_ms = listed->cold_left_ms > 0 ? now_ms + listed->cold_left_ms : 0;
  row->listed = *listed;
  row->missing_since_ms = 0;
  row->view_number = table->view_number;
  if (!row->gone)
    update_router (ctx, table, listed, is_new, now_ms);
}

static int64_t
get_cold_ms (const bt_view_t *view, const char *app)
{
  int32_t index = view->declarations == NULL ? -1 : bt_find_app (view->declarations, app);

  return index < 0 ? 0 : view->declarations->apps[index].cold_ms;
}

/* Endpoints may have become cold shortly before the end of an evacuation, and their registrations
 * say so late. So all of them are assumed to be cold then. */
int64_t
bt_get_endpoint_cold_until_ms (const bt_endpoint_table_t *table, int32_t index)
{
  const table_row_t *row = table->rows[index];
  int64_t until_ms = row->released_ms > 0 ? row->released_ms + row->released_cold_ms : 0;

  return until_ms > row->cold_until_ms ? until_ms : row->cold_until_ms;
}

/* Marks the endpoints of evacuated failure domains, those that are kept although they are missing
 * in the view included. */
static void
apply_evacuations (bt_endpoint_table_t *table, const bt_view_t *view, int64_t now_ms)
{
  for (int32_t i = 0; i < table->count; i++)
    {
      table_row_t *row = table->rows[i];
      bool evacuated = bt_is_domain_evacuated (&view->evacuations, row->listed.failure_domain);
      bt_identity_t identity;

      if (evacuated == row->evacuated)
        continue;
      row->evacuated = evacuated;
      if (!evacuated)
        {
          row->released_ms = now_ms;
          row->released_cold_ms = get_cold_ms (view, row->listed.app);
        }
      bt_identify_endpoint (&row->listed, &identity);
      bt_set_endpoint_evacuated (table->router, &identity, evacuated);
    }
}

/* Returns from when on the store may not have listed the endpoints that a view lacks. The time
 * before the store became reachable again does not count: registrations lapsed then. */
static int64_t
get_missing_since_ms (const bt_endpoint_table_t *table, const bt_view_t *view, int64_t now_ms)
{
  int64_t since_ms = view->changed_after_ms;

  if (since_ms < table->regained_ms)
    since_ms = table->regained_ms;
  return since_ms < now_ms ? since_ms : now_ms;
}

/* Returns the time until which a missing endpoint is kept. */
static int64_t
get_keep_end_ms (const bt_endpoint_table_t *table, const table_row_t *row)
{
  int64_t relist_end_ms = table->regained_ms + RELIST_WAIT_MS;
  int64_t missing_end_ms = row->missing_since_ms + MAX_MISSING_MS;

  if (table->regained_ms == 0 || row->listed.leaving)
    return 0;
  return missing_end_ms < relist_end_ms ? missing_end_ms : relist_end_ms;
}

int64_t
bt_apply_listed_endpoints (bt_context_t *ctx,
                           bt_endpoint_table_t *table,
                           const bt_view_t *view,
                           int64_t now_ms)
{
  int64_t next_apply_ms = 0;
  int64_t keep_end_ms;

  table->view_number++;
  for (int32_t i = 0; i < view->endpoint_count; i++)
    apply_endpoint (ctx, table, &view->endpoints[i], now_ms);
  for (int32_t i = table->count - 1; i >= 0; i--)
    {
      table_row_t *row = table->rows[i];

      if (row->view_number == table->view_number)
        continue;
      if (row->missing_since_ms == 0)
        row->missing_since_ms = get_missing_since_ms (table, view, now_ms);
      keep_end_ms = get_keep_end_ms (table, row);
      if (now_ms < keep_end_ms)
        {
          if (next_apply_ms == 0 || keep_end_ms < next_apply_ms)
            next_apply_ms = keep_end_ms;
          continue;
        }
      log_endpoint (ctx, "endpoint-gone", &row->listed);
      remove_from_router (ctx, table, &row->listed);
      remove_row (ctx, table, i);
    }
  index_addresses (table);
  apply_evacuations (table, view, now_ms);
  return next_apply_ms;
}

void
bt_record_store_regained (bt_endpoint_table_t *table, int64_t now_ms)
{
  table->regained_ms = now_ms;
}

void
bt_suspend_ended_endpoint (bt_context_t *ctx,
                           bt_endpoint_table_t *table,
                           const bt_identity_t *identity,
                           int64_t now_ms)
{
  bt_set_endpoint_ended (table->router, identity, now_ms + ENDED_SUSPENSION_MS);
  if (table->outages != NULL)
    bt_record_rank_end (ctx, table->outages, identity, now_ms);
}

void
bt_remove_listed_endpoint (bt_context_t *ctx,
                           bt_endpoint_table_t *table,
                           const bt_identity_t *identity)
{
  table_row_t *row = find_row (table, identity->instance);

  /* The refusal may answer a request that was sent before the endpoint restarted. */
  if (row == NULL || row->gone || (uint64_t)row->listed.started_ms != identity->incarnation)
    return;
  row->gone = true;
  index_addresses (table);
  log_endpoint (ctx, "endpoint-replaced", &row->listed);
  remove_from_router (ctx, table, &row->listed);
}
