#ifndef BILBERRYTRAY_BENCH_PLACEMENT_H
#define BILBERRYTRAY_BENCH_PLACEMENT_H

/** @file
 * Effect of request placement on step-time skew: the attention work of a rank is proportional to
 * the context that it holds. Entries see the loads of the ranks with a delay, and their own
 * dispatches at once.
 */

#include <math.h>
#include <stdint.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "drift.h"

typedef enum placement_kind
{
  PLACE_RANDOM = 0,
  PLACE_ROUND_ROBIN,
  PLACE_TWO_CHOICES, /**< The less loaded of two random ranks. */
  PLACE_LEAST,       /**< The least loaded rank. */
  PLACE_LEAST_EXACT, /**< The least loaded rank by loads without delay: the best case. */
  PLACE_COUNT,
} placement_kind_t;

enum
{
  PLACE_RANKS = 16,
  PLACE_ENTRIES = 7,
  PLACE_TICK_MS = 50,
  PLACE_TICKS = 12000,
  PLACE_WARM_UP_TICKS = 1000,
  PLACE_LAG_TICKS = 10,
  PLACE_MAX_LIVE = 4096,
  PLACE_LIVE_PER_RANK = 64,
  PLACE_MEAN_DURATION_TICKS = 160,
  PLACE_SEED = 7,
};

/** A request that runs. */
typedef struct active_request
{
  int32_t rank;
  int32_t end_tick;
  double context;
} active_request_t;

/** A rank group that serves requests, and the entries' view of it. */
typedef struct placement
{
  bt_random_t random;
  placement_kind_t kind;
  active_request_t live[PLACE_MAX_LIVE];
  int32_t live_count;
  int32_t next_rank[PLACE_ENTRIES];
  double load[PLACE_RANKS];
  double reported[PLACE_RANKS];
  double unreported[PLACE_ENTRIES][PLACE_RANKS]; /* dispatches of an entry since the last report */
} placement_t;

static const char *
name_placement (placement_kind_t kind)
{
  static const char *const names[PLACE_COUNT] = { "random", "round robin", "two choices",
                                                  "least loaded", "least, no lag" };

  return names[kind];
}

static double
get_visible_load (const placement_t *placement, int32_t entry, int32_t rank)
{
  if (placement->kind == PLACE_LEAST_EXACT)
    return placement->load[rank];
  return placement->reported[rank] + placement->unreported[entry][rank];
}

static int32_t
choose_rank (placement_t *placement, int32_t entry)
{
  int32_t chosen = (int32_t)bt_random_below (&placement->random, PLACE_RANKS);
  int32_t alternative = (int32_t)bt_random_below (&placement->random, PLACE_RANKS);

  if (placement->kind == PLACE_RANDOM)
    return chosen;
  if (placement->kind == PLACE_ROUND_ROBIN)
    return placement->next_rank[entry]++ % PLACE_RANKS;
  if (placement->kind == PLACE_TWO_CHOICES)
    return get_visible_load (placement, entry, alternative)
                   < get_visible_load (placement, entry, chosen)
               ? alternative
               : chosen;
  for (int32_t rank = 0; rank < PLACE_RANKS; rank++)
    if (get_visible_load (placement, entry, rank) < get_visible_load (placement, entry, chosen))
      chosen = rank;
  return chosen;
}

static void
end_requests (placement_t *placement, int32_t tick)
{
  for (int32_t i = 0; i < placement->live_count; i++)
    if (placement->live[i].end_tick <= tick)
      {
        placement->load[placement->live[i].rank] -= placement->live[i].context;
        placement->live[i--] = placement->live[--placement->live_count];
      }
}

static void
start_request (placement_t *placement, int32_t tick)
{
  int32_t entry = (int32_t)bt_random_below (&placement->random, PLACE_ENTRIES);
  int32_t rank = choose_rank (placement, entry);
  double context = exp (bt_draw_normal (&placement->random));
  double ticks = -PLACE_MEAN_DURATION_TICKS * log (1.0 - bt_random_unit (&placement->random));

  if (placement->live_count == PLACE_MAX_LIVE)
    return;
  placement->live[placement->live_count++] =
      (active_request_t){ rank, tick + 1 + (int32_t)ticks, context };
  placement->load[rank] += context;
  placement->unreported[entry][rank] += context;
}

static double
measure_placement (const placement_t *placement)
{
  double total = 0;
  double busiest = 0;

  for (int32_t rank = 0; rank < PLACE_RANKS; rank++)
    {
      total += placement->load[rank];
      busiest = placement->load[rank] > busiest ? placement->load[rank] : busiest;
    }
  return busiest * PLACE_RANKS / total;
}

/** Simulates one placement policy; fills @p skew with PLACE_TICKS - PLACE_WARM_UP_TICKS values. */
static void
simulate_placement (placement_kind_t kind, double *skew)
{
  static placement_t placement;
  double arrivals = (double)PLACE_RANKS * PLACE_LIVE_PER_RANK / PLACE_MEAN_DURATION_TICKS;

  memset (&placement, 0, sizeof placement);
  placement.kind = kind;
  bt_seed_random (&placement.random, PLACE_SEED);
  for (int32_t tick = 0; tick < PLACE_TICKS; tick++)
    {
      int32_t count = (int32_t)(bt_draw_count (&placement.random, arrivals) + 0.5);

      end_requests (&placement, tick);
      if (tick % PLACE_LAG_TICKS == 0)
        {
          memcpy (placement.reported, placement.load, sizeof placement.load);
          memset (placement.unreported, 0, sizeof placement.unreported);
        }
      for (int32_t i = 0; i < count; i++)
        start_request (&placement, tick);
      if (tick >= PLACE_WARM_UP_TICKS)
        skew[tick - PLACE_WARM_UP_TICKS] = measure_placement (&placement);
    }
}

#endif
