#include "choice.h"

#include <math.h>
#include <string.h>

#include "bilberrytray/base/random.h"

enum
{
  WHOLE_PERCENT = 100,
};

/* Weight of the total load in the cost. Even among endpoints that all have free slots, the one
 * with fewer requests is slightly better: its steps are shorter, and in a group that steps together
 * the fullest rank determines the step time. */
static const double load_weight = 0.5;

/* Run times that differ from the mean by less than this part of it count as equal. They vary with
 * the current load; following such differences would send every entry to the endpoint that was idle
 * when it was measured. */
static const double service_time_tolerance = 0.25;

/* Upper bound of the requests per slot in averages_t.fullness. */
static const double max_fullness = 2;

/* An endpoint without an answer for more than this many times the run time is slower than a queue
 * can explain. */
static const double quiet_factor = 2;

/* Time constant with which a measured run time loses weight while the endpoint gets no work, in
 * ms. */
static const double decay_ms = 5000;

/* Averages over the usable endpoints. */
typedef struct averages
{
  double others;     /* mean number of requests of other entries on an endpoint */
  double service_ms; /* mean time of a run */
  double fullness;   /* requests per slot, at most max_fullness */
  int32_t entries;
  int64_t now_ms;
} averages_t;

/* Returns the weight of an endpoint's measured run time, 0 to 1. The endpoint's own reports stay
 * current without work from this entry; this entry's measurements do not. */
static double
get_measurement_weight (const bt_endpoint_state_t *state, int64_t now_ms)
{
  if (state->load.service_ms > 0)
    return 1;
  return exp (-(double)bt_get_endpoint_idle_ms (state, now_ms) / decay_ms);
}

static void
compute_averages (const bt_router_options_t *options,
                  bt_endpoint_state_t *const *states,
                  int32_t count,
                  averages_t *averages)
{
  double load = 0;
  double slots = 0;
  double weight_sum = 0;
  double weight;

  for (int32_t i = 0; i < count; i++)
    {
      load += bt_get_endpoint_load (states[i]);
      slots += bt_get_endpoint_slots (states[i], options);
      averages->others += (double)(states[i]->total_at_report - states[i]->own_at_report) / count;
      if (!bt_has_endpoint_service_time (states[i]) || states[i]->stalled_ms > 0)
        continue;
      weight = get_measurement_weight (states[i], averages->now_ms);
      averages->service_ms += weight * (double)bt_get_endpoint_service_ms (states[i], options);
      weight_sum += weight;
    }
  averages->service_ms =
      weight_sum > 0 ? averages->service_ms / weight_sum : (double)options->default_service_ms;
  averages->fullness = slots > 0 ? fmin (load / slots, max_fullness) : 0;
}

/* Estimates the current load: this entry's requests, those of the others according to the report,
 * and for each other entry the same growth since the report as for this one. The reported requests
 * of the others decay towards the mean with the age of the report: after the time of one run few of
 * them are left, and trusting the report would send every entry to the endpoint that looked free a
 * second ago. */
static double
estimate_load (const averages_t *averages, const bt_endpoint_state_t *state)
{
  const double others = state->total_at_report - state->own_at_report;
  const double age_ms = (double)(averages->now_ms - state->load_at_ms);
  const double weight = state->reported ? exp (-age_ms / averages->service_ms) : 0;
  const double others_growth =
      (double)(averages->entries - 1) * (state->own_in_flight - state->own_at_report);

  return state->own_in_flight + averages->others + (others - averages->others) * weight
         + others_growth;
}

/* Returns the mean time of a run. An endpoint that was slow once gets no work while the others have
 * room, and without work it cannot show that it has recovered: it would stay idle for good while
 * others run two requests each. So its measured time decays towards the mean of all endpoints, and
 * it is tried again later. */
static double
get_mean_ms (const averages_t *averages,
             const bt_router_options_t *options,
             const bt_endpoint_state_t *state)
{
  const double weight = get_measurement_weight (state, averages->now_ms);

  if (!bt_has_endpoint_service_time (state))
    return averages->service_ms;
  return weight * (double)bt_get_endpoint_service_ms (state, options)
         + (1 - weight) * averages->service_ms;
}

/* Returns the expected time of a run on an endpoint. If an endpoint has become slow or silent, no
 * run ends and its mean keeps its earlier value until the first deadline passes. The time without
 * an answer while requests are in flight shows it sooner. */
static double
get_service_ms (const averages_t *averages,
                const bt_router_options_t *options,
                const bt_endpoint_state_t *state)
{
  const double quiet_ms = (double)bt_get_endpoint_quiet_ms (state, averages->now_ms);
  const double mean_ms = get_mean_ms (averages, options, state);
  const double service_ms = quiet_ms > mean_ms * quiet_factor ? quiet_ms : mean_ms;

  if (fabs (service_ms - averages->service_ms) < averages->service_ms * service_time_tolerance)
    return averages->service_ms;
  return service_ms;
}

/* Returns the value of a cached prefix in ms. It saves time of a slot. While slots are free it is
 * worth little, and following it would only overload one endpoint. When all slots are taken, the
 * saved time serves other requests, and each miss evicts a prefix that later requests would have
 * used. */
static double
get_prefix_ms (const averages_t *averages, const bt_router_options_t *options)
{
  return averages->service_ms * averages->fullness * options->prefix_percent / WHOLE_PERCENT;
}

/* Returns true if a recovering endpoint (after an ejection) has no request of this entry in flight.
 * Its measured time makes it the most expensive, and without work it could never recover. */
static bool
is_probe_due (const bt_endpoint_state_t *state)
{
  return state->own_in_flight == 0 && bt_get_outlier_share (&state->outlier) < WHOLE_PERCENT;
}

/* Returns the cost of sending a request to an endpoint, as time for its caller in ms. */
static double
get_cost_ms (const averages_t *averages,
             const bt_router_options_t *options,
             const bt_endpoint_state_t *state,
             const bt_route_request_t *request)
{
  const double service_ms = get_service_ms (averages, options, state);
  const int32_t slots = bt_get_endpoint_slots (state, options);
  const double load = estimate_load (averages, state);
  const double ahead = load + 1 > slots ? load + 1 - slots : 0;
  double cost_ms = service_ms * (1 + (ahead + load * load_weight) / (slots > 0 ? slots : 1));

  if (options->failure_domain[0] != 0
      && strcmp (options->failure_domain, state->endpoint.failure_domain) != 0)
    cost_ms += (double)options->remote_ms;
  if (bt_has_endpoint_prefix (state, request->prefix))
    cost_ms -= get_prefix_ms (averages, options);
  return cost_ms;
}

bt_endpoint_state_t *
bt_choose_endpoint_state (const bt_router_options_t *options,
                          int32_t entries,
                          bt_endpoint_state_t **states,
                          int32_t count,
                          const bt_route_request_t *request,
                          int64_t now_ms)
{
  const int32_t wanted = request->choices > 0 ? request->choices : options->choices;
  const int32_t choices = wanted > 0 ? wanted : count;
  averages_t averages = { .entries = entries, .now_ms = now_ms };
  bt_endpoint_state_t *best = NULL;
  double best_ms = 0;
  bt_random_t random;

  compute_averages (options, states, count, &averages);
  bt_seed_random (&random, request->seed);
  for (int32_t i = 0; i < choices && i < count; i++)
    {
      const int32_t at = i + (int32_t)bt_random_below (&random, (uint64_t)(count - i));
      bt_endpoint_state_t *state = states[at];
      double cost_ms;

      states[at] = states[i];
      states[i] = state;
      cost_ms = get_cost_ms (&averages, options, state, request);
      if (is_probe_due (state))
        return state;
      if (best != NULL
          && (cost_ms > best_ms
              || (cost_ms == best_ms && state->last_dispatch >= best->last_dispatch)))
        continue;
      best = state;
      best_ms = cost_ms;
    }
  return best;
}
