#include "bilberrytray/load/entry_list.h"

#include <math.h>
#include <string.h>

struct bt_entry_list
{
  char instance[BT_NAME_BYTES];
  char (*names)[BT_NAME_BYTES];
  int32_t count;
  int64_t changed_ms;
};

static const double ms_per_s = 1000;

/* A lower limit, in requests per second, counts as none at all. */
static const double min_per_s = 0.001;

/* What the platform tolerates in any such time: this multiple of the limit, and so many requests
 * more. */
static const double window_s = 4;
static const double tolerated_factor = 1.5;
static const double tolerated_extra = 5;

/* The same window, and by how much later one request may arrive than the next one, s. */
static const double arrival_window_s = 4.5;

/* Entries that share a limit, beyond its requests per second, when there are too many for all to
 * have a share. The rest of what is tolerated is left for probes and for lists that differ. */
static const double extra_users = 3;

bt_entry_list_t *
bt_new_entry_list (bt_context_t *ctx, const char *instance)
{
  bt_entry_list_t *list = bt_calloc (ctx, 1, sizeof *list);

  bt_copy_name (list->instance, instance);
  return list;
}

void
bt_drop_entry_list (bt_context_t *ctx, bt_entry_list_t *list)
{
  if (list == NULL)
    return;
  bt_free (ctx, list->names);
  bt_free (ctx, list);
}

static bool
has_same_names (const bt_entry_list_t *list, const char *const *names, int32_t count)
{
  if (count != list->count)
    return false;
  for (int32_t i = 0; i < count; i++)
    if (strcmp (list->names[i], names[i]) != 0)
      return false;
  return true;
}

bool
bt_set_listed_names (bt_context_t *ctx,
                     bt_entry_list_t *list,
                     const char *const *names,
                     int32_t count,
                     int64_t now_ms)
{
  if (has_same_names (list, names, count))
    return false;
  list->names = bt_realloc (ctx, list->names, (size_t)count + 1, sizeof *list->names);
  for (int32_t i = 0; i < count; i++)
    bt_copy_name (list->names[i], names[i]);
  list->count = count;
  list->changed_ms = now_ms;
  return true;
}

int64_t
bt_get_list_settled_ms (const bt_entry_list_t *list)
{
  return list->changed_ms + BT_LIST_SETTLE_MS;
}

/* Returns the number of entries that come before this one in the endpoint's rendezvous order; -1 if
 * this one is not listed. */
static int32_t
find_rank (const bt_entry_list_t *list, const char *endpoint)
{
  uint64_t own = bt_score_candidate (endpoint, list->instance);
  bool listed = false;
  int32_t before = 0;

  for (int32_t i = 0; i < list->count; i++)
    if (strcmp (list->names[i], list->instance) == 0)
      listed = true;
    else if (bt_score_candidate (endpoint, list->names[i]) > own)
      before++;
  return listed ? before : -1;
}

/* Returns the most requests that can arrive in one window from @p users entries that share a
 * limit. */
static double
get_most_arrivals (double users, double per_s)
{
  return users * (floor (arrival_window_s * per_s / users) + 1);
}

/* Returns the number of entries that have a share of a limit. */
static double
count_users (int32_t entries, double per_s)
{
  double tolerated = floor (window_s * per_s * tolerated_factor + tolerated_extra);

  if (per_s < min_per_s)
    return 0;
  return get_most_arrivals (entries, per_s) <= tolerated ? entries : floor (per_s) + extra_users;
}

/* Returns the share of an entry that may only probe. The intervals of the entries lie between half
 * and one and a half of their mean, so that entries that were told together don't probe together.
 */
static bt_limit_share_t
get_probe_share (const bt_entry_list_t *list, const char *endpoint)
{
  double mean_ms = (double)BT_PROBE_INTERVAL_MS * list->count;
  double part = (double)bt_score_candidate (list->instance, endpoint) / (double)UINT64_MAX;
  int64_t interval_ms = (int64_t)(mean_ms / 2 + mean_ms * part);

  return (bt_limit_share_t){ interval_ms, interval_ms, true };
}

bt_limit_share_t
bt_get_limit_share (const bt_entry_list_t *list, const char *endpoint, double per_s)
{
  int32_t rank = find_rank (list, endpoint);
  double users;
  double interval_ms;

  if (rank < 0)
    return (bt_limit_share_t){ 0 };
  users = count_users (list->count, per_s);
  if (rank >= users)
    return get_probe_share (list, endpoint);
  interval_ms = ceil (users * ms_per_s / per_s);
  return (bt_limit_share_t){ (int64_t)interval_ms, (int64_t)(interval_ms * (rank + 1) / users),
                             false };
}
