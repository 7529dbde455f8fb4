#include "endpoint_status.h"

#include <pthread.h>

struct bt_endpoint_status
{
  pthread_mutex_t lock; /* guards the members below */
  bt_endpoint_notices_t *rows;
  int32_t count;
};

bt_endpoint_status_t *
bt_new_endpoint_status (bt_context_t *ctx)
{
  bt_endpoint_status_t *status = bt_calloc (ctx, 1, sizeof *status);

  pthread_mutex_init (&status->lock, NULL);
  return status;
}

void
bt_drop_endpoint_status (bt_context_t *ctx, bt_endpoint_status_t *status)
{
  if (status == NULL)
    return;
  pthread_mutex_destroy (&status->lock);
  bt_free (ctx, status->rows);
  bt_free (ctx, status);
}

void
bt_update_endpoint_status (bt_context_t *ctx,
                           bt_endpoint_status_t *status,
                           const bt_router_t *router,
                           int64_t now_ms)
{
  bt_endpoint_notices_t *rows = NULL;
  int32_t count = bt_list_endpoint_notices (ctx, router, now_ms, &rows);

  pthread_mutex_lock (&status->lock);
  bt_free (ctx, status->rows);
  status->rows = rows;
  status->count = count;
  pthread_mutex_unlock (&status->lock);
}

static void
print_limit (FILE *out, const bt_endpoint_limit_t *limit)
{
  const bt_limit_share_t *share = bt_get_latest_limit_share (limit);

  fprintf (out, ", takes %g requests a second from all instances", limit->per_s);
  if (share->interval_ms == 0)
    fprintf (out, ", none from this one yet");
  else
    fprintf (out, ", one from this one in %lld ms%s", (long long)share->interval_ms,
             share->is_probe ? " to ask whether it still does" : "");
}

static void
print_row (FILE *out, const bt_endpoint_notices_t *row, int64_t now_ms)
{
  fprintf (out, "endpoint %s (%s)", row->endpoint, row->app);
  if (row->limit.named)
    print_limit (out, &row->limit);
  if (bt_is_resting (&row->rest, now_ms))
    fprintf (out, ", wants nothing from this instance for %lld ms",
             (long long)(row->rest.until_ms - now_ms));
  if (row->said_leaving)
    fprintf (out, ", is leaving");
  fprintf (out, "\n");
}

void
bt_print_endpoint_status (bt_endpoint_status_t *status, int64_t now_ms, FILE *out)
{
  pthread_mutex_lock (&status->lock);
  for (int32_t i = 0; i < status->count; i++)
    print_row (out, &status->rows[i], now_ms);
  if (status->count == 0)
    fprintf (out, "No endpoint limits its requests.\n");
  pthread_mutex_unlock (&status->lock);
}
