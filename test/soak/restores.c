#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "soak.h"

enum
{
  MIN_BACKUP_PAUSE_MS = 300,
  MAX_BACKUP_PAUSE_MS = 2500,
  MIN_RESTORE_PAUSE_MS = 1500,
  MAX_RESTORE_PAUSE_MS = 6000,
  MAX_AWAY_MS = 2500,
  /* Longest time until the operators and the runners write again what was lost. */
  MAX_REWRITE_MS = 1500,
};

struct bt_soak_restores
{
  bt_soak_t *soak;
  int64_t backup_ms;  /* time of the next backup */
  int64_t restore_ms; /* when the store goes away next */
  int64_t return_ms;  /* when it returns; 0: it is not away */
  int64_t rewrite_ms; /* when the lost items are written again; 0: none are lost */
};

static int64_t
now (void)
{
  return bt_read_clock_ms (bt_system_clock ());
}

static int64_t
draw_after (bt_soak_restores_t *restores, int32_t min_ms, int32_t max_ms)
{
  return now () + min_ms
         + (int64_t)bt_random_below (&restores->soak->random, (uint64_t)(max_ms - min_ms));
}

bt_soak_restores_t *
bt_new_soak_restores (bt_soak_t *soak)
{
  bt_soak_restores_t *restores = calloc (1, sizeof *restores);

  restores->soak = soak;
  return restores;
}

bool
bt_is_soak_restoring (const bt_soak_restores_t *restores)
{
  return restores->return_ms != 0;
}

static void
set_store_down (bt_soak_t *soak, bool down)
{
  bt_set_standin_fault (soak->testbed->store_port,
                        down ? "{\"kind\":\"down\",\"count\":-1}" : "{\"kind\":\"none\"}");
}

static void
disturb_store (bt_soak_t *soak)
{
  soak->store_disturbed_ms = now () + BT_SOAK_SETTLE_MS;
}

/* Removes the items of the earlier processes of a runner, which the store may show again. */
static void
remove_earlier_items (bt_soak_t *soak, int32_t runner)
{
  for (int32_t i = 0; i + 1 < soak->testbed->runner_id_counts[runner]; i++)
    {
      char key[BT_SOAK_TEXT_BYTES];

      if (i == 0)
        snprintf (key, sizeof key, "servers/i-%d", runner);
      else
        snprintf (key, sizeof key, "servers/i-%d-%d", runner, i);
      bt_put_store_item (soak->testbed, key, NULL);
    }
}

static void
rewrite_items (bt_soak_restores_t *restores)
{
  bt_soak_t *soak = restores->soak;

  restores->rewrite_ms = 0;
  bt_put_soak_configuration (soak);
  for (int32_t i = 0; i < soak->testbed->runner_count; i++)
    {
      bt_put_runner_item (soak->testbed, i, soak->draining[i] ? "draining" : "ready");
      remove_earlier_items (soak, i);
    }
  disturb_store (soak);
}

static void
return_store (bt_soak_restores_t *restores)
{
  bt_restore_store (restores->soak->testbed);
  set_store_down (restores->soak, false);
  restores->return_ms = 0;
  restores->rewrite_ms = draw_after (restores, 1, MAX_REWRITE_MS);
  disturb_store (restores->soak);
}

void
bt_run_soak_restores (bt_soak_restores_t *restores, bool store_busy)
{
  if (restores->backup_ms == 0)
    restores->restore_ms = draw_after (restores, MIN_RESTORE_PAUSE_MS, MAX_RESTORE_PAUSE_MS);
  if (now () >= restores->backup_ms && restores->return_ms == 0 && restores->rewrite_ms == 0)
    {
      bt_backup_store (restores->soak->testbed);
      restores->backup_ms = draw_after (restores, MIN_BACKUP_PAUSE_MS, MAX_BACKUP_PAUSE_MS);
    }
  if (restores->return_ms != 0 || restores->rewrite_ms != 0)
    disturb_store (restores->soak);
  if (restores->return_ms != 0 && now () >= restores->return_ms)
    return_store (restores);
  else if (restores->rewrite_ms != 0 && now () >= restores->rewrite_ms)
    rewrite_items (restores);
  else if (restores->return_ms == 0 && now () >= restores->restore_ms && !store_busy)
    {
      restores->return_ms = draw_after (restores, 1, MAX_AWAY_MS);
      restores->restore_ms = draw_after (restores, MIN_RESTORE_PAUSE_MS, MAX_RESTORE_PAUSE_MS);
      bt_print_soak_event (restores->soak, "the store is restored in %lld ms",
                           (long long)(restores->return_ms - now ()));
      disturb_store (restores->soak);
      set_store_down (restores->soak, true);
    }
}

void
bt_end_soak_restores (bt_soak_restores_t *restores)
{
  if (restores->return_ms != 0)
    return_store (restores);
  if (restores->rewrite_ms != 0)
    rewrite_items (restores);
}

void
bt_drop_soak_restores (bt_soak_restores_t *restores)
{
  free (restores);
}
