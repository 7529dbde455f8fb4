#include <string.h>

#include "bilberrytray/config/contention.h"
#include "bilberrytray/config/rule_split.h"
#include "gateway_private.h"

/* The fraction of the longest pause accepted by callers that one pass may take up. The rest covers
 * passes that are longer because they read prompts, and the transmission of the event to the
 * caller. */
static const double pass_share = 0.70;

/* The same, and the growth of the limit between frequent jumps, where agents grant capacity.
 * Entries that guess it exceed the limit together; an agent does not, and the lower limit would
 * leave requests waiting beside slots that make no pass too long. */
static const double reserved_pass_share = 1.0;
static const double reserved_jump_growth = 0.15;

/* The busiest rank's load over the mean load that is assumed with the map of a group's formation,
 * which spreads the experts in turn, whatever the demand for them. */
static const double first_map_skew = 3.5;

/* Longest accepted pause if no rule sets one, in ms. */
static const int64_t default_pause_ms = 120;

static int64_t
find_min_pause_ms (const bt_declarations_t *declarations, int32_t app)
{
  int64_t min_ms = 0;

  for (int32_t i = 0; i < declarations->rule_count; i++)
    {
      const bt_rule_then_t *then = &declarations->rules[i].then;

      if (bt_may_rule_choose_app (then, app) && then->pause_ms > 0
          && (min_ms == 0 || then->pause_ms < min_ms))
        min_ms = then->pause_ms;
    }
  return min_ms > 0 ? min_ms : default_pause_ms;
}

static bool
is_app_reserved (const bt_gateway_t *gateway, const bt_declarations_t *declarations, int32_t app)
{
  return gateway->rooms != NULL && bt_reserves_app (gateway->rooms, declarations, app);
}

static double
get_target_pass_ms (const bt_gateway_t *gateway, const bt_declarations_t *declarations, int32_t app)
{
  const double share =
      is_app_reserved (gateway, declarations, app) ? reserved_pass_share : pass_share;

  return share * (double)find_min_pause_ms (declarations, app);
}

/* Returns how many requests an engine may run with the map of a group's formation: as many as keep
 * the passes at their target. 0 if callers of the app do not compete, or the engine's speed is not
 * known. */
static double
get_first_map_limit (const bt_gateway_t *gateway,
                     const bt_declarations_t *declarations,
                     int32_t app)
{
  const bt_engine_t *engine = &declarations->apps[app].engine;
  const double slowdown = 1 - engine->expert_share + engine->expert_share * first_map_skew;
  const double request_ms = engine->stride * engine->step_request_ms * slowdown;

  if (request_ms <= 0 || !bt_is_app_contended (declarations, app))
    return 0;
  return (get_target_pass_ms (gateway, declarations, app) - engine->stride * engine->step_ms)
         / request_ms;
}

static bt_pass_limiter_t *
find_limiter (bt_gateway_t *gateway,
              const bt_engine_report_t *report,
              const bt_declarations_t *declarations,
              int32_t app)
{
  const bt_engine_t *engine = &declarations->apps[app].engine;
  bt_pass_limiter_settings_t settings = {
    .ranks = report->ranks,
    .min_pass_ms = engine->step_ms * engine->stride,
    .target_pass_ms = get_target_pass_ms (gateway, declarations, app),
    .pause_ms = (double)find_min_pause_ms (declarations, app),
    .slots = engine->slots,
    .jump_growth = is_app_reserved (gateway, declarations, app) ? reserved_jump_growth : 0,
  };
  bt_group_limiter_t *row;

  for (int32_t i = 0; i < gateway->limiter_count; i++)
    if (strcmp (gateway->limiters[i].group, report->group) == 0)
      return gateway->limiters[i].limiter;
  gateway->limiters = bt_realloc (gateway->ctx, gateway->limiters,
                                  (size_t)gateway->limiter_count + 1, sizeof *gateway->limiters);
  row = &gateway->limiters[gateway->limiter_count++];
  bt_copy_name (row->group, report->group);
  bt_copy_name (row->app, declarations->apps[app].name);
  row->limiter = bt_new_pass_limiter (gateway->ctx, &settings);
  return row->limiter;
}

double
bt_get_app_least_pass_ms (const bt_gateway_t *gateway, const char *app)
{
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  double least_ms = 0;

  for (int32_t i = 0; i < gateway->limiter_count; i++)
    {
      double pass_ms = bt_get_least_pass_ms (gateway->limiters[i].limiter, now_ms);

      if (strcmp (gateway->limiters[i].app, app) == 0 && (least_ms == 0 || pass_ms < least_ms))
        least_ms = pass_ms;
    }
  return least_ms;
}

void
bt_drop_group_limiters (bt_gateway_t *gateway)
{
  for (int32_t i = 0; i < gateway->limiter_count; i++)
    bt_drop_pass_limiter (gateway->ctx, gateway->limiters[i].limiter);
  bt_free (gateway->ctx, gateway->limiters);
}

/* Records a report in the group's pass limiter. Returns the number of concurrent requests that each
 * engine of the group may run now; 0 if the engine is in no group. */
static int32_t
record_pass (bt_gateway_t *gateway,
             const bt_agent_update_t *update,
             const bt_declarations_t *declarations,
             int32_t app)
{
  const bt_engine_report_t *report = &update->report;
  bt_pass_limiter_t *limiter;

  if (report->group[0] == '\0' || report->ranks < 1 || app < 0
      || declarations->apps[app].engine.slots == 0)
    return 0;
  limiter = find_limiter (gateway, report, declarations, app);
  if (report->maps.open && bt_is_group_newly_formed (limiter, report->maps.epoch))
    bt_record_group_formation (limiter, report->maps.epoch, report->maps.version,
                               get_first_map_limit (gateway, declarations, app));
  bt_record_rank_slowdown (limiter, report->rank, report->pace, update->received_ms);
  if (!report->load_unknown)
    bt_record_pass (limiter, report->rank, report->maps.step, report->running, update->received_ms);
  return bt_get_running_limit (limiter);
}

/* Returns the number of concurrent requests that this engine may run now. Every pass waits for the
 * slowest rank, so a slow rank gets fewer requests: its part of a pass then takes no longer than
 * that of the others. */
static int32_t
get_slot_limit (const bt_engine_report_t *report, int32_t listed_slots, int32_t pass_limit)
{
  int32_t slots = pass_limit;

  if (pass_limit == 0)
    return listed_slots;
  if (report->pace > 1)
    slots = (int32_t)(pass_limit / report->pace) > 1 ? (int32_t)(pass_limit / report->pace) : 1;
  return slots < listed_slots ? slots : listed_slots;
}

static void
record_load (bt_gateway_t *gateway,
             const bt_agent_update_t *update,
             const bt_identity_t *identity,
             int32_t slots)
{
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  const bt_load_t load = { .running = update->report.running,
                           .queued = update->report.queued,
                           .slots = slots,
                           .age_ms = now_ms - update->received_ms };

  if (update->report.load_unknown)
    return;
  bt_record_duration (gateway->timings.load_age, load.age_ms);
  bt_record_load (gateway->router, identity, &load, now_ms);
}

/* Passes an engine's report to the router and to the group control. The agent may report an
 * incarnation of the engine that the store does not list yet. Its load does not belong to the
 * listed incarnation and is ignored, but the state of its group applies to everything that is sent
 * to the address. A report of an incarnation before the listed one is outdated and is ignored. */
static void
handle_update (void *data, const bt_agent_update_t *update)
{
  bt_gateway_t *gateway = data;
  const bt_listed_endpoint_t *listed = bt_find_endpoint_at (gateway->endpoints, update->endpoint);
  const bt_declarations_t *declarations =
      gateway->view == NULL ? NULL : gateway->view->declarations;
  int64_t started_ms = update->report.maps.started_ms;
  bt_group_state_t state = { update->report.group, update->report.maps.epoch,
                             update->report.maps.open };
  bt_identity_t identity;
  int32_t pass_limit = 0;
  int32_t app;

  if (listed == NULL || declarations == NULL
      || (!bt_is_listed_incarnation (listed, started_ms) && started_ms < listed->started_ms))
    return;
  app = bt_find_app (declarations, listed->app);
  bt_identify_endpoint (listed, &identity);
  if (bt_is_listed_incarnation (listed, started_ms))
    {
      pass_limit = record_pass (gateway, update, declarations, app);
      record_load (gateway, update, &identity,
                   get_slot_limit (&update->report, listed->slots, pass_limit));
    }
  bt_record_rank_report (gateway->ctx, gateway->outages, &identity, &state,
                         bt_get_loop_ms (gateway->loop));
  if (app >= 0)
    bt_handle_group_update (gateway->groups, &declarations->apps[app].engine, update, pass_limit);
}

bool
bt_handle_agent_updates (bt_gateway_t *gateway)
{
  bt_expire_group_outages (gateway->ctx, gateway->outages, bt_get_loop_ms (gateway->loop));
  return bt_collect_agent_updates (gateway->agents, handle_update, gateway);
}
