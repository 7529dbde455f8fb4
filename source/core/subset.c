#include "bilberrytray/core/subset.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

typedef struct ranked_candidate
{
  int32_t index;
  int32_t domain_rank; /**< Number of better candidates in the same failure domain. */
  uint64_t score;
  const bt_subset_candidate_t *candidate;
} ranked_candidate_t;

static int
compare_scores (const ranked_candidate_t *left, const ranked_candidate_t *right)
{
  if (left->score != right->score)
    return left->score > right->score ? -1 : 1;
  return strcmp (left->candidate->instance, right->candidate->instance);
}

static int
compare_by_domain (const void *left, const void *right)
{
  const ranked_candidate_t *a = left;
  const ranked_candidate_t *b = right;
  int order = strcmp (a->candidate->failure_domain, b->candidate->failure_domain);

  return order != 0 ? order : compare_scores (a, b);
}

static int
compare_by_rank (const void *left, const void *right)
{
  const ranked_candidate_t *a = left;
  const ranked_candidate_t *b = right;

  if (a->domain_rank != b->domain_rank)
    return a->domain_rank < b->domain_rank ? -1 : 1;
  return compare_scores (a, b);
}

static bool
same_domain (const ranked_candidate_t *left, const ranked_candidate_t *right)
{
  return strcmp (left->candidate->failure_domain, right->candidate->failure_domain) == 0;
}

int32_t
bt_choose_subset (bt_context_t *ctx,
                  const char *chooser,
                  const bt_subset_candidate_t *candidates,
                  int32_t count,
                  int32_t wanted,
                  int32_t *chosen)
{
  ranked_candidate_t *ranked = bt_calloc (ctx, (size_t)count, sizeof *ranked);
  int32_t chosen_count = count < wanted ? count : wanted;

  for (int32_t i = 0; i < count; i++)
    {
      ranked[i].index = i;
      ranked[i].candidate = &candidates[i];
      ranked[i].score = bt_score_candidate (chooser, candidates[i].instance);
    }
  qsort (ranked, (size_t)count, sizeof *ranked, compare_by_domain);
  for (int32_t i = 1; i < count; i++)
    if (same_domain (&ranked[i - 1], &ranked[i]))
      ranked[i].domain_rank = ranked[i - 1].domain_rank + 1;
  qsort (ranked, (size_t)count, sizeof *ranked, compare_by_rank);
  for (int32_t i = 0; i < chosen_count; i++)
    chosen[i] = ranked[i].index;
  bt_free (ctx, ranked);
  return chosen_count;
}
