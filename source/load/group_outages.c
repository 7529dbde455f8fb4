#include "bilberrytray/load/group_outages.h"

#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/name_index.h"

enum
{
  /* Assumed durations until the first outage of a group is measured: the restart of a rank and the
   * forming of its group. */
  DEFAULT_OUTAGE_MS = 4000,
  DEFAULT_FORMING_MS = 700,
  /* Shortest estimate of the rest of an outage. */
  MIN_WAIT_MS = 200,
  /* Reports of an open group are believed this long after the last sign that it is broken: a stall
   * is shorter. */
  MAX_STALL_MS = 3000,
  /* Reports of a lower epoch than the known one are accepted if there were no others for this long:
   * the epochs of the group were reset. */
  EPOCH_RESET_MS = 3000,
  /* A broken group of which nothing was heard for this long is used again: its agents may all be
   * gone, and only the engines can tell that they are open. */
  SILENCE_MS = 10000,
};

/* Weight of the last outage in the smoothed durations. */
static const double smoothing = 0.5;

/** A listed endpoint. */
typedef struct rank_row
{
  bt_identity_t identity;
  char app[BT_NAME_BYTES];
  int32_t group; /* index; -1 until it has reported one */
  bool paused;
} rank_row_t;

typedef struct group_row
{
  char name[BT_NAME_BYTES];
  char app[BT_NAME_BYTES];
  int64_t epoch;
  int64_t epoch_seen_ms; /* last report of this epoch */
  int64_t heard_ms;      /* last report of any epoch */
  bool broken;
  bool was_open;          /* it has been open before */
  bool confirmed;         /* a rank has reported the outage */
  int64_t broken_ms;      /* start of the outage */
  int64_t broken_seen_ms; /* last sign of the outage */
  int64_t listed_ms;      /* when a replacement was last listed during the outage; 0: not yet */
  double outage_ms;       /* smoothed duration of the outages */
  double forming_ms;      /* smoothed time from the listing of the last replacement to the end */
} group_row_t;

struct bt_group_outages
{
  bt_router_t *router;
  rank_row_t **ranks;
  bt_name_index_t *index; /* of the ranks by instance; one incarnation of each is listed */
  int32_t rank_count;
  int32_t rank_capacity;
  group_row_t *groups;
  int32_t group_count;
};

bt_group_outages_t *
bt_new_group_outages (bt_context_t *ctx, bt_router_t *router)
{
  bt_group_outages_t *outages = bt_calloc (ctx, 1, sizeof *outages);

  outages->router = router;
  outages->index = bt_new_name_index (ctx);
  return outages;
}

void
bt_drop_group_outages (bt_context_t *ctx, bt_group_outages_t *outages)
{
  if (outages == NULL)
    return;
  for (int32_t i = 0; i < outages->rank_count; i++)
    bt_free (ctx, outages->ranks[i]);
  bt_free (ctx, outages->ranks);
  bt_drop_name_index (ctx, outages->index);
  bt_free (ctx, outages->groups);
  bt_free (ctx, outages);
}

static rank_row_t *
find_rank (const bt_group_outages_t *outages, const bt_identity_t *identity)
{
  rank_row_t *rank = bt_find_name (outages->index, identity->instance);

  return rank != NULL && bt_same_identity (&rank->identity, identity) ? rank : NULL;
}

static int32_t
find_or_add_group (bt_context_t *ctx,
                   bt_group_outages_t *outages,
                   const char *name,
                   const char *app,
                   int64_t epoch)
{
  group_row_t *group;

  for (int32_t i = 0; i < outages->group_count; i++)
    if (strcmp (outages->groups[i].name, name) == 0)
      return i;
  outages->groups =
      bt_realloc (ctx, outages->groups, (size_t)outages->group_count + 1, sizeof *outages->groups);
  group = &outages->groups[outages->group_count];
  memset (group, 0, sizeof *group);
  bt_copy_name (group->name, name);
  bt_copy_name (group->app, app);
  group->epoch = epoch;
  group->outage_ms = DEFAULT_OUTAGE_MS;
  group->forming_ms = DEFAULT_FORMING_MS;
  return outages->group_count++;
}

static bool
has_broken_group (const bt_group_outages_t *outages, const char *app)
{
  for (int32_t i = 0; i < outages->group_count; i++)
    if (outages->groups[i].broken && strcmp (outages->groups[i].app, app) == 0)
      return true;
  return false;
}

static void
set_rank_paused (bt_group_outages_t *outages, rank_row_t *rank, bool paused)
{
  rank->paused = paused;
  bt_set_endpoint_paused (outages->router, &rank->identity, paused);
}

/* Endpoints that have not reported a group are paused while any group of their app is broken. */
static void
update_ranks (bt_group_outages_t *outages, const char *app)
{
  bool any_broken = has_broken_group (outages, app);

  for (int32_t i = 0; i < outages->rank_count; i++)
    {
      rank_row_t *rank = outages->ranks[i];
      bool paused = rank->group >= 0 ? outages->groups[rank->group].broken : any_broken;

      if (strcmp (rank->app, app) == 0 && paused != rank->paused)
        set_rank_paused (outages, rank, paused);
    }
}

/* An outage that is overdue by some time is expected to last as long again. */
static int64_t
get_wait_ms (const group_row_t *group, int64_t now_ms)
{
  int64_t end_ms = group->broken_ms + (int64_t)group->outage_ms;
  int64_t wait_ms;

  if (group->listed_ms > 0)
    end_ms = group->listed_ms + (int64_t)group->forming_ms;
  wait_ms = end_ms > now_ms ? end_ms - now_ms : now_ms - end_ms;
  return wait_ms > MIN_WAIT_MS ? wait_ms : MIN_WAIT_MS;
}

static void
begin_outage (bt_context_t *ctx,
              bt_group_outages_t *outages,
              group_row_t *group,
              bool confirmed,
              int64_t now_ms)
{
  group->broken = true;
  group->confirmed = confirmed;
  group->broken_ms = now_ms;
  group->broken_seen_ms = now_ms;
  /* An instance that starts during an outage does not know its age. Often all ranks were restarted
   * with it, and only the forming of the group is left. */
  group->listed_ms = group->was_open ? 0 : now_ms;
  bt_log_event (ctx, BT_LOG_INFO, "group-broken", "{s:s, s:I, s:b, s:I}", "group", group->name,
                "epoch", (json_int_t)group->epoch, "reported", confirmed, "expected_ms",
                (json_int_t)get_wait_ms (group, now_ms));
  update_ranks (outages, group->app);
}

static void
smooth (double *mean_ms, int64_t last_ms)
{
  *mean_ms += smoothing * ((double)last_ms - *mean_ms);
}

static void
end_outage (bt_context_t *ctx, bt_group_outages_t *outages, group_row_t *group, int64_t now_ms)
{
  bt_log_event (ctx, BT_LOG_INFO, "group-open", "{s:s, s:I, s:I}", "group", group->name, "epoch",
                (json_int_t)group->epoch, "outage_ms", (json_int_t)(now_ms - group->broken_ms));
  if (group->confirmed && group->was_open)
    {
      smooth (&group->outage_ms, now_ms - group->broken_ms);
      if (group->listed_ms > 0)
        smooth (&group->forming_ms, now_ms - group->listed_ms);
    }
  group->broken = false;
  group->was_open = true;
  update_ranks (outages, group->app);
}

void
bt_record_rank_listed (bt_context_t *ctx,
                       bt_group_outages_t *outages,
                       const bt_identity_t *identity,
                       const char *app,
                       int64_t now_ms)
{
  rank_row_t *rank;

  for (int32_t i = 0; i < outages->group_count; i++)
    if (outages->groups[i].broken && strcmp (outages->groups[i].app, app) == 0)
      outages->groups[i].listed_ms = now_ms;
  if (outages->rank_count == outages->rank_capacity)
    {
      outages->rank_capacity = 2 * outages->rank_capacity + 1;
      outages->ranks =
          bt_realloc (ctx, outages->ranks, (size_t)outages->rank_capacity, sizeof (rank_row_t *));
    }
  rank = bt_calloc (ctx, 1, sizeof *rank);
  outages->ranks[outages->rank_count++] = rank;
  rank->identity = *identity;
  bt_put_name (outages->index, rank->identity.instance, rank);
  bt_copy_name (rank->app, app);
  rank->group = -1;
  if (has_broken_group (outages, app))
    set_rank_paused (outages, rank, true);
}

void
bt_record_rank_removed (bt_context_t *ctx,
                        bt_group_outages_t *outages,
                        const bt_identity_t *identity)
{
  rank_row_t *rank = find_rank (outages, identity);
  int32_t at = 0;

  if (rank == NULL)
    return;
  while (outages->ranks[at] != rank)
    at++;
  outages->ranks[at] = outages->ranks[--outages->rank_count];
  bt_remove_name (outages->index, rank->identity.instance, rank);
  bt_free (ctx, rank);
}

/* Returns true if a report is older than what is known. In one epoch a group is open first and
 * broken later, never the other way round. */
static bool
is_outdated (const group_row_t *group, const bt_group_state_t *state, int64_t now_ms)
{
  if (state->epoch < group->epoch)
    return now_ms - group->epoch_seen_ms < EPOCH_RESET_MS;
  return state->epoch == group->epoch && state->open && group->broken
         && now_ms - group->broken_seen_ms < MAX_STALL_MS;
}

void
bt_record_rank_report (bt_context_t *ctx,
                       bt_group_outages_t *outages,
                       const bt_identity_t *identity,
                       const bt_group_state_t *state,
                       int64_t now_ms)
{
  rank_row_t *rank = find_rank (outages, identity);
  group_row_t *group;

  if (rank == NULL || state->group[0] == '\0')
    return;
  rank->group = find_or_add_group (ctx, outages, state->group, rank->app, state->epoch);
  group = &outages->groups[rank->group];
  group->heard_ms = now_ms;
  if (is_outdated (group, state, now_ms))
    {
      group->epoch_seen_ms = state->epoch == group->epoch ? now_ms : group->epoch_seen_ms;
      return;
    }
  group->epoch = state->epoch;
  group->epoch_seen_ms = now_ms;
  if (state->open && !group->broken)
    group->was_open = true;
  else if (state->open)
    end_outage (ctx, outages, group, now_ms);
  else if (!group->broken)
    begin_outage (ctx, outages, group, true, now_ms);
  else
    {
      group->confirmed = true;
      group->broken_seen_ms = now_ms;
    }
  if (rank->paused != group->broken)
    set_rank_paused (outages, rank, group->broken);
}

void
bt_expire_group_outages (bt_context_t *ctx, bt_group_outages_t *outages, int64_t now_ms)
{
  for (int32_t i = 0; i < outages->group_count; i++)
    {
      group_row_t *group = &outages->groups[i];

      if (!group->broken || now_ms - group->broken_ms < SILENCE_MS
          || now_ms - group->heard_ms < SILENCE_MS)
        continue;
      group->confirmed = false;
      end_outage (ctx, outages, group, now_ms);
    }
}

/* Returns the group of a rank. One that has not reported yet can only belong to the app's group, if
 * there is a single one. */
static group_row_t *
find_group_of_rank (const bt_group_outages_t *outages, const rank_row_t *rank)
{
  group_row_t *only = NULL;

  if (rank->group >= 0)
    return &outages->groups[rank->group];
  for (int32_t i = 0; i < outages->group_count; i++)
    {
      if (strcmp (outages->groups[i].app, rank->app) != 0)
        continue;
      if (only != NULL)
        return NULL;
      only = &outages->groups[i];
    }
  return only;
}

void
bt_record_rank_end (bt_context_t *ctx,
                    bt_group_outages_t *outages,
                    const bt_identity_t *identity,
                    int64_t now_ms)
{
  const rank_row_t *rank = find_rank (outages, identity);
  group_row_t *group = rank == NULL ? NULL : find_group_of_rank (outages, rank);

  if (group != NULL && !group->broken)
    begin_outage (ctx, outages, group, false, now_ms);
}

int64_t
bt_get_group_outage_ms (const bt_group_outages_t *outages,
                        const bt_identity_t *identity,
                        int64_t now_ms)
{
  const rank_row_t *rank = find_rank (outages, identity);
  const group_row_t *group = rank == NULL ? NULL : find_group_of_rank (outages, rank);

  return group != NULL && group->broken ? now_ms - group->broken_ms : 0;
}

const char *
bt_get_rank_group (const bt_group_outages_t *outages, const bt_identity_t *identity)
{
  const rank_row_t *rank = find_rank (outages, identity);

  return rank == NULL || rank->group < 0 ? "" : outages->groups[rank->group].name;
}

bool
bt_has_groups (const bt_group_outages_t *outages, const char *app)
{
  for (int32_t i = 0; i < outages->group_count; i++)
    if (strcmp (outages->groups[i].app, app) == 0)
      return true;
  return false;
}

int64_t
bt_get_group_wait_ms (const bt_group_outages_t *outages, const char *app, int64_t now_ms)
{
  int64_t least_ms = 0;

  for (int32_t i = 0; i < outages->group_count; i++)
    {
      const group_row_t *group = &outages->groups[i];
      int64_t wait_ms;

      if (!group->broken || strcmp (group->app, app) != 0)
        continue;
      wait_ms = get_wait_ms (group, now_ms);
      if (least_ms == 0 || wait_ms < least_ms)
        least_ms = wait_ms;
    }
  return least_ms;
}
