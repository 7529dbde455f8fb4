#include "bilberrytray/load/endpoint_subset.h"

#include <stdlib.h>
#include <string.h>

enum
{
  WHOLE_PERCENT = 100,
  /* A subset of more than this percentage of the endpoints saves too little to give up the choice
   * among all. */
  MAX_NARROW_PERCENT = 66,
};

struct bt_endpoint_subset
{
  char instance[BT_NAME_BYTES];
  char (*chosen)[BT_NAME_BYTES]; /* sorted */
  int32_t count;
  int32_t candidate_count;
  uint64_t input_hash; /* of the candidates and the width at the last choice */
};

bt_endpoint_subset_t *
bt_new_endpoint_subset (bt_context_t *ctx, const char *instance)
{
  bt_endpoint_subset_t *subset = bt_calloc (ctx, 1, sizeof *subset);

  bt_copy_name (subset->instance, instance);
  return subset;
}

void
bt_drop_endpoint_subset (bt_context_t *ctx, bt_endpoint_subset_t *subset)
{
  if (subset == NULL)
    return;
  bt_free (ctx, subset->chosen);
  bt_free (ctx, subset);
}

static int32_t
divide_up (int64_t dividend, int32_t divisor)
{
  return (int32_t)((dividend + divisor - 1) / divisor);
}

int32_t
bt_get_subset_width (int32_t endpoints, int32_t entries)
{
  int32_t width = BT_MIN_SUBSET_WIDTH;
  int32_t shared = 0;

  if (entries > 0)
    shared = divide_up ((int64_t)endpoints * BT_MIN_ENTRIES_PER_ENDPOINT, entries);
  if (shared > width)
    width = shared;
  return (int64_t)width * WHOLE_PERCENT > (int64_t)endpoints * MAX_NARROW_PERCENT ? endpoints
                                                                                  : width;
}

/* The sum does not depend on the order of the candidates. */
static uint64_t
hash_input (const bt_subset_candidate_t *candidates, int32_t count, int32_t width)
{
  uint64_t sum = (uint64_t)width;

  for (int32_t i = 0; i < count; i++)
    sum += bt_hash_bytes (candidates[i].instance, strlen (candidates[i].instance), 1);
  return bt_hash_bytes (&sum, sizeof sum, (uint64_t)count);
}

static int
compare_names (const void *left, const void *right)
{
  return strcmp (left, right);
}

void
bt_update_endpoint_subset (bt_context_t *ctx,
                           bt_endpoint_subset_t *subset,
                           const bt_subset_candidate_t *candidates,
                           int32_t count,
                           int32_t width)
{
  uint64_t hash = hash_input (candidates, count, width);
  int32_t *indexes;

  if (hash == subset->input_hash)
    return;
  subset->input_hash = hash;
  indexes = bt_calloc (ctx, (size_t)width + 1, sizeof *indexes);
  subset->count = bt_choose_subset (ctx, subset->instance, candidates, count, width, indexes);
  subset->chosen =
      bt_realloc (ctx, subset->chosen, (size_t)subset->count + 1, sizeof *subset->chosen);
  for (int32_t i = 0; i < subset->count; i++)
    bt_copy_name (subset->chosen[i], candidates[indexes[i]].instance);
  qsort (subset->chosen, (size_t)subset->count, sizeof *subset->chosen, compare_names);
  subset->candidate_count = count;
  bt_free (ctx, indexes);
}

bool
bt_is_in_endpoint_subset (const bt_endpoint_subset_t *subset, const char *endpoint)
{
  return subset->count > 0
         && bsearch (endpoint, subset->chosen, (size_t)subset->count, sizeof *subset->chosen,
                     compare_names)
                != NULL;
}

int32_t
bt_get_subset_sharers (const bt_endpoint_subset_t *subset, int32_t entries)
{
  if (subset->count == 0 || entries < 1)
    return 1;
  return divide_up ((int64_t)entries * subset->count, subset->candidate_count);
}
