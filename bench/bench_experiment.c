/** @file
 * Simulates the loads of an experiment on the emulator of a rank group, with several variants of
 * running the group, and prints the service that callers got. Loads, variants ("ways") and seeds
 * come from a JSON file; see examples/experiments.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/group_rounds.h"
#include "harness_group.h"

enum
{
  MS_PER_S = 1000,
  MAX_SEEDS = 64,
};

/** Sums of the results of one load and variant over all seeds. */
typedef struct row
{
  bt_group_result_t sum;
  int32_t runs;
} row_t;

static void
die (const char *file, const char *what, const json_error_t *error)
{
  if (error->line > 0)
    fprintf (stderr, "%s:%d: %s: %s\n", file, error->line, what, error->text);
  else
    fprintf (stderr, "%s: %s: %s\n", file, what, error->text);
  exit (1);
}

static bool
read_shift (const char *text, bt_shift_kind_t *shift)
{
  static const char *const names[] = { "none", "jump", "drift", "return" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *shift = (bt_shift_kind_t)i;
        return true;
      }
  return false;
}

static void
read_load (const char *file, json_t *value, bt_group_load_t *load)
{
  bt_engine_t *engine = &load->engine;
  const char *name;
  const char *shift = "none";
  double seconds;
  json_int_t target_ms;
  json_int_t max_pause_ms;
  json_int_t shift_ms = 0;
  json_error_t error;

  memset (load, 0, sizeof *load);
  if (json_unpack_ex (value, &error, JSON_STRICT,
                      "{s:s, s:i, s:F, s:F, s:F, s:I, s:I, s:F, s:F, s?s, s?F, s?I,"
                      " s:{s:i, s:i, s:F, s:F, s:F, s:i, s:i, s:i, s:i, s:F, s:F, s:F}}",
                      "name", &name, "ranks", &load->ranks, "requests_a_s", &load->requests_per_s,
                      "prompt_tokens", &load->prompt_tokens, "events", &load->events, "aim_ms",
                      &target_ms, "pause_ms", &max_pause_ms, "seconds", &seconds, "skew",
                      &load->skew, "shift", &shift, "shift_share", &load->shift_share, "shift_ms",
                      &shift_ms, "engine", "slots", &engine->slots, "stride", &engine->stride,
                      "step_ms", &engine->step_ms, "step_request_ms", &engine->step_request_ms,
                      "read_tokens_per_ms", &engine->read_tokens_per_ms, "expert_sets",
                      &engine->expert_sets, "experts", &engine->experts, "places", &engine->places,
                      "spare_places", &engine->spare_places, "expert_mb", &engine->expert_mb,
                      "link_mbps", &engine->link_mbps, "expert_share", &engine->expert_share)
      != 0)
    die (file, "invalid load", &error);
  snprintf (error.text, sizeof error.text, "%s", name);
  error.line = -1;
  if (!read_shift (shift, &load->shift))
    die (file, "\"shift\" must be none, jump, drift or return in load", &error);
  if (load->ranks < 1 || load->ranks > BT_MAX_RANKS || engine->expert_sets < 1
      || engine->experts < load->ranks || engine->places * load->ranks < engine->experts
      || load->requests_per_s <= 0 || seconds <= 0 || engine->link_mbps <= 0
      || engine->read_tokens_per_ms <= 0 || (load->shift != BT_SHIFT_NONE && shift_ms <= 0))
    die (file, "values are out of range or contradict each other in load", &error);
  bt_copy_name (load->name, name);
  load->target_ms = target_ms;
  load->max_pause_ms = max_pause_ms;
  load->shift_ms = shift_ms;
  load->duration_ms = (int64_t)(seconds * MS_PER_S);
}

/* Reads a variant. Values that it does not set stay as shipped. */
static void
read_variant (const char *file, json_t *value, bt_group_variant_t *variant)
{
  const char *name;
  const char *planner = "round";
  json_int_t half_life_ms;
  int keep_past = 0;
  int known = 0;
  json_error_t error;

  *variant = bt_get_shipped_group_variant ();
  half_life_ms = variant->maps.load_half_life_ms;
  if (json_unpack_ex (value, &error, JSON_STRICT, "{s:s, s?s, s?b, s?b, s?I, s?F, s?F, s?F}",
                      "name", &name, "planner", &planner, "keep_past", &keep_past, "known", &known,
                      "half_life_ms", &half_life_ms, "copy_weight", &variant->maps.copy_weight,
                      "least_gain", &variant->maps.least_gain, "pass_part",
                      &variant->pass_time_share)
      != 0)
    die (file, "invalid entry of \"ways\"", &error);
  bt_copy_name (variant->name, name);
  variant->maps.load_half_life_ms = half_life_ms;
  variant->maps.keep_past = keep_past != 0;
  variant->demand_known = known != 0;
  if (strcmp (planner, "paying") == 0)
    variant->maps.planner = bt_get_cost_benefit_planner ();
  else if (strcmp (planner, "static") == 0)
    variant->maps.planner = bt_get_static_planner ();
}

static void
add_result (row_t *row, const bt_group_result_t *result)
{
  row->sum.requests += result->requests;
  row->sum.in_time += result->in_time;
  row->sum.late += result->late;
  row->sum.abandoned += result->abandoned;
  row->sum.pass_ms += result->pass_ms;
  row->sum.skew += result->skew;
  row->sum.rounds += result->rounds;
  row->sum.copies += result->copies;
  row->runs++;
}

static void
print_row (const char *name, const row_t *row, double ceiling)
{
  const bt_group_result_t *sum = &row->sum;
  double requests = sum->requests;

  printf ("| %s | %.3f | %.2f | %.3f | %.3f | %.1f | %.2f | %.0f | %.0f |\n", name,
          sum->in_time / requests, ceiling > 0 ? sum->in_time / requests / ceiling : 0,
          sum->late / requests, sum->abandoned / requests, sum->pass_ms / row->runs,
          sum->skew / row->runs, (double)sum->rounds / row->runs, (double)sum->copies / row->runs);
}

/* Runs one load with all variants. The last variant that knows the demand in advance is the
 * ceiling. */
static void
run_load (bt_context_t *ctx,
          const bt_group_load_t *load,
          const bt_group_variant_t *variants,
          size_t variant_count,
          const uint64_t *seeds,
          size_t seed_count)
{
  row_t *rows = bt_calloc (ctx, variant_count, sizeof *rows);
  double ceiling = 0;

  for (size_t i = 0; i < variant_count; i++)
    {
      for (size_t seed = 0; seed < seed_count; seed++)
        {
          bt_group_result_t result;

          bt_simulate_group (ctx, load, &variants[i], seeds[seed], &result);
          add_result (&rows[i], &result);
        }
      if (variants[i].demand_known)
        ceiling = (double)rows[i].sum.in_time / rows[i].sum.requests;
    }
  printf ("\n%s: %d requests, %zu seeds\n\n", load->name, rows[0].sum.requests, seed_count);
  printf ("| way | in time | of ceiling | late | left | pass ms | skew | rounds | copies |\n");
  printf ("|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < variant_count; i++)
    print_row (variants[i].name, &rows[i], ceiling);
  bt_free (ctx, rows);
}

static size_t
read_seeds (const char *file, json_t *list, uint64_t *seeds)
{
  json_error_t error = { .line = -1, .text = "expected 1 to 64 integers" };
  size_t count = json_array_size (list);

  if (count < 1 || count > MAX_SEEDS)
    die (file, "invalid \"seeds\"", &error);
  for (size_t i = 0; i < count; i++)
    {
      if (!json_is_integer (json_array_get (list, i)))
        die (file, "invalid \"seeds\"", &error);
      seeds[i] = (uint64_t)json_integer_value (json_array_get (list, i));
    }
  return count;
}

static void
run_file (bt_context_t *ctx, const char *file)
{
  json_error_t error;
  json_t *root = json_load_file (file, 0, &error);
  json_t *seed_list;
  json_t *loads;
  json_t *variant_list;
  uint64_t seeds[MAX_SEEDS];
  size_t seed_count;
  bt_group_variant_t *variants;

  if (root == NULL)
    die (file, "cannot read the experiment", &error);
  if (json_unpack_ex (root, &error, JSON_STRICT, "{s:o, s:o, s:o}", "seeds", &seed_list, "loads",
                      &loads, "ways", &variant_list)
      != 0)
    die (file, "invalid experiment", &error);
  seed_count = read_seeds (file, seed_list, seeds);
  variants = bt_calloc (ctx, json_array_size (variant_list) + 1, sizeof *variants);
  for (size_t i = 0; i < json_array_size (variant_list); i++)
    read_variant (file, json_array_get (variant_list, i), &variants[i]);
  for (size_t i = 0; i < json_array_size (loads); i++)
    {
      bt_group_load_t load;

      read_load (file, json_array_get (loads, i), &load);
      run_load (ctx, &load, variants, json_array_size (variant_list), seeds, seed_count);
    }
  bt_free (ctx, variants);
  json_decref (root);
}

int
main (int argc, char **argv)
{
  static const struct option options[] = { { "help", no_argument, NULL, 'h' }, { 0 } };
  bt_context_t *ctx;

  if (getopt_long (argc, argv, "h", options, NULL) != -1 || optind >= argc)
    {
      fprintf (stderr, "usage: bench_experiment FILE...\n");
      return 2;
    }
  ctx = bt_new_context ();
  for (int i = optind; i < argc; i++)
    run_file (ctx, argv[i]);
  bt_drop_context (ctx);
  return 0;
}
