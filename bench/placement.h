#ifndef BILBERRYTRAY_BENCH_PLACEMENT_H
#define BILBERRYTRAY_BENCH_PLACEMENT_H

/** @file
 * What the placement of requests on ranks adds to step-time skew: attention costs a rank in
 * proportion to the context it holds. Entries see the ranks' loads late, and their own dispatches
 * at once.
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
  PLACE_LEAST_EXACT, /**< The same without lag: a bound. */
  PLACE_COUNT,
} placement_kind_t;

enum
{
  PLACE_RANKS = 16,
  PLACE_ENTRIES = 7,
  PLACE_TICK_MS = 50,
  PLACE_TICKS = 12000,
  PLACE_WARM_TICKS = 1000,
  PLACE_LAG_TICKS = 10,
  PLACE_MAX_LIVE = 4096,
  PLACE_LIVE_A_RANK = 64,
  PLACE_MEAN_TICKS = 160,
  PLACE_SEED = 7,
};

/** A request that runs. */
typedef struct placed
{
  int32_t rank;
  int32_t end_tick;
  double context;
} placed_t;

/** A rank group that serves requests. */
typedef struct placement
{
  bt_random_t random;
  placement_kind_t kind;
  placed_t live[PLACE_MAX_LIVE];
  int32_t live_count;
  int32_t next_rank[PLACE_ENTRIES];
  double load[PLACE_RANKS];
  double reported[PLACE_RANKS];
  double own[PLACE_ENTRIES][PLACE_RANKS]; /* an entry's dispatches since the last report */
} placement_t;

static const char *
name_placement (placement_kind_t kind)
{
  static const char *const names[PLACE_COUNT] = { "random", "round robin", "two choices",
                                                  "least loaded", "least, no lag" };

  return names[kind];
}

static double
view_load (const placement_t *placement, int32_t entry, int32_t rank)
{
  if (placement->kind == PLACE_LEAST_EXACT)
    return placement->load[rank];
  return placement->reported[rank] + placement->own[entry][rank];
}

static int32_t
choose_rank (placement_t *placement, int32_t entry)
{
  int32_t best = (int32_t)bt_random_below (&placement->random, PLACE_RANKS);
  int32_t second = (int32_t)bt_random_below (&placement->random, PLACE_RANKS);

  if (placement->kind == PLACE_RANDOM)
    return best;
  if (placement->kind == PLACE_ROUND_ROBIN)
    return placement->next_rank[entry]++ % PLACE_RANKS;
  if (placement->kind == PLACE_TWO_CHOICES)
    return view_load (placement, entry, second) < view_load (placement, entry, best) ? second
                                                                                     : best;
  for (int32_t rank = 0; rank < PLACE_RANKS; rank++)
    if (view_load (placement, entry, rank) < view_load (placement, entry, best))
      best = rank;
  return best;
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
  double ticks = -PLACE_MEAN_TICKS * log (1.0 - bt_random_unit (&placement->random));

  if (placement->live_count == PLACE_MAX_LIVE)
    return;
  placement->live[placement->live_count++] = (placed_t){ rank, tick + 1 + (int32_t)ticks, context };
  placement->load[rank] += context;
  placement->own[entry][rank] += context;
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

/** Plays one way of placing; fills @p skew with PLACE_TICKS - PLACE_WARM_TICKS values. */
static void
play_placement (placement_kind_t kind, double *skew)
{
  static placement_t placement;
  double arrivals = (double)PLACE_RANKS * PLACE_LIVE_A_RANK / PLACE_MEAN_TICKS;

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
          memset (placement.own, 0, sizeof placement.own);
        }
      for (int32_t i = 0; i < count; i++)
        start_request (&placement, tick);
      if (tick >= PLACE_WARM_TICKS)
        skew[tick - PLACE_WARM_TICKS] = measure_placement (&placement);
    }
}

#endif
