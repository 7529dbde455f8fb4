#include "choice.h"

#include <math.h>
#include <string.h>

#include "bilberrytray/base/random.h"

enum
{
  WHOLE_PERCENT = 100,
};

/* An emptier endpoint is a little better even when both have free slots: its steps are shorter, and
 * in a group that steps together the fullest rank sets the pace. */
static const double crowding = 0.5;

/* Run times within this part of their mean count as equal. They differ by the load of the moment;
 * following such a difference sends every entry to the endpoint that was idle when it was taken. */
static const double same_time = 0.25;

/* Above this many requests for each slot, endpoints count as no fuller. */
static const double most_fullness = 2;

/* Quiet for this many times a run's time is more than a queue before it explains. */
static const double quiet_factor = 2;

/* What is known of an endpoint's time fades so fast while it gets no work, ms. */
static const double fade_ms = 5000;

/* What the endpoints have in common. */
typedef struct field
{
  double others;     /* mean count of other entries' requests on an endpoint */
  double service_ms; /* mean time of one run */
  double fullness;   /* requests for each slot, at most most_fullness */
  int32_t entries;
  int64_t now_ms;
} field_t;

/* How far what was measured of an endpoint still holds, 0 to 1. Its own reports go on without work;
 * this entry's measurements don't. */
static double
get_trust (const bt_endpoint_state_t *state, int64_t now_ms)
{
  if (state->load.service_ms > 0)
    return 1;
  return exp (-(double)bt_get_endpoint_idle_ms (state, now_ms) / fade_ms);
}

static void
measure_field (const bt_router_options_t *options,
               bt_endpoint_state_t *const *states,
               int32_t count,
               field_t *field)
{
  double load = 0;
  double slots = 0;
  double known = 0;
  double trust;

  for (int32_t i = 0; i < count; i++)
    {
      load += bt_get_endpoint_load (states[i]);
      slots += bt_get_endpoint_slots (states[i], options);
      field->others += (double)(states[i]->total_then - states[i]->own_then) / count;
      if (!bt_knows_endpoint_service (states[i]) || states[i]->stalled_ms > 0)
        continue;
      trust = get_trust (states[i], field->now_ms);
      field->service_ms += trust * (double)bt_get_endpoint_service_ms (states[i], options);
      known += trust;
    }
  field->service_ms = known > 0 ? field->service_ms / known : (double)options->default_service_ms;
  field->fullness = slots > 0 ? fmin (load / slots, most_fullness) : 0;
}

/* The load that is expected now: own requests, those of others by the report, and as much growth
 * since as this entry has caused, once for each other entry. What others had there fades towards
 * the mean with the age of the report: after the time of one run little of it is left, and
 * believing it would send every entry to the endpoint that looked free a second ago. */
static double
expect_load (const field_t *field, const bt_endpoint_state_t *state)
{
  const double others = state->total_then - state->own_then;
  const double age_ms = (double)(field->now_ms - state->load_at_ms);
  const double trust = state->reported ? exp (-age_ms / field->service_ms) : 0;
  const double alike = (double)(field->entries - 1) * (state->own - state->own_then);

  return state->own + field->others + (others - field->others) * trust + alike;
}

/* The mean time of a run. An endpoint that was slow once gets no work while the others have room,
 * and without work it can't show that it is well again: it would stand idle for good beside others
 * that run two each. So what was measured fades towards the mean of all, and one that took longer
 * is tried again later. */
static double
get_mean_ms (const field_t *field,
             const bt_router_options_t *options,
             const bt_endpoint_state_t *state)
{
  const double trust = get_trust (state, field->now_ms);

  if (!bt_knows_endpoint_service (state))
    return field->service_ms;
  return trust * (double)bt_get_endpoint_service_ms (state, options)
         + (1 - trust) * field->service_ms;
}

/* The time of a run on an endpoint. One that has gone slow or silent ends nothing: its mean stays
 * that of better days until the first deadline passes. How long it has been quiet with work in
 * flight shows sooner. */
static double
get_service_ms (const field_t *field,
                const bt_router_options_t *options,
                const bt_endpoint_state_t *state)
{
  const double quiet_ms = (double)bt_get_endpoint_quiet_ms (state, field->now_ms);
  const double mean_ms = get_mean_ms (field, options, state);
  const double service_ms = quiet_ms > mean_ms * quiet_factor ? quiet_ms : mean_ms;

  if (fabs (service_ms - field->service_ms) < field->service_ms * same_time)
    return field->service_ms;
  return service_ms;
}

/* What a cached prefix is worth, in ms. The time that it saves is time of a slot: with slots to
 * spare it is worth little, and following it would only make a straggler; when all are taken, it is
 * work that others can have, and each miss drops a prefix that the next ones would have found. */
static double
get_prefix_ms (const field_t *field, const bt_router_options_t *options)
{
  return field->service_ms * field->fullness * options->prefix_percent / WHOLE_PERCENT;
}

/* True when an endpoint that returns from being an outlier has nothing of this entry's in flight.
 * Its record makes it the dearest, and without work it could never show that it is well again. */
static bool
is_probe_due (const bt_endpoint_state_t *state)
{
  return state->own == 0 && bt_get_outlier_share (&state->outlier) < WHOLE_PERCENT;
}

/* What sending a request there costs its caller, in ms. */
static double
get_cost_ms (const field_t *field,
             const bt_router_options_t *options,
             const bt_endpoint_state_t *state,
             const bt_route_request_t *request)
{
  const double service_ms = get_service_ms (field, options, state);
  const int32_t slots = bt_get_endpoint_slots (state, options);
  const double load = expect_load (field, state);
  const double ahead = load + 1 > slots ? load + 1 - slots : 0;
  double cost_ms = service_ms * (1 + (ahead + load * crowding) / (slots > 0 ? slots : 1));

  if (options->failure_domain[0] != 0
      && strcmp (options->failure_domain, state->endpoint.failure_domain) != 0)
    cost_ms += (double)options->remote_ms;
  if (bt_has_endpoint_prefix (state, request->prefix))
    cost_ms -= get_prefix_ms (field, options);
  return cost_ms;
}

bt_endpoint_state_t *
bt_choose_state (const bt_router_options_t *options,
                 int32_t entries,
                 bt_endpoint_state_t **states,
                 int32_t count,
                 const bt_route_request_t *request,
                 int64_t now_ms)
{
  const int32_t choices = options->choices > 0 ? options->choices : count;
  field_t field = { .entries = entries, .now_ms = now_ms };
  bt_endpoint_state_t *best = NULL;
  double best_ms = 0;
  bt_random_t random;

  measure_field (options, states, count, &field);
  bt_seed_random (&random, request->seed);
  for (int32_t i = 0; i < choices && i < count; i++)
    {
      const int32_t at = i + (int32_t)bt_random_below (&random, (uint64_t)(count - i));
      bt_endpoint_state_t *state = states[at];
      double cost_ms;

      states[at] = states[i];
      states[i] = state;
      cost_ms = get_cost_ms (&field, options, state, request);
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
