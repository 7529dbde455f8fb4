#include "harness_scenarios.h"

#include <string.h>

/* Haiyun's deployment: 16 runners in groups of 4 over 3 failure domains, 10 accounts of which 2
 * are large. The requests are drafts, for which customers wait some seconds. */
static void
set_drafts (scenario_t *scenario)
{
  *scenario = (scenario_t){
    .endpoints = 16,
    .ranks = 4,
    .domains = 3,
    .slots = 8,
    .accounts = 10,
    .large_accounts = 2,
    .large_share = 0.8,
    .base_load = 0.6,
    .burst_load = 0.6,
    .length_ms = 60000,
    .deadline_min_ms = 2000,
    .deadline_max_ms = 8000,
    .report_lag_min_ms = 100,
    .report_lag_max_ms = 500,
    .prefixes = 3,
    .prefill_steps = 24,
    .output_min = 20,
    .output_max = 80,
    .step_us = 6000,
    .request_us = 250,
    .latency_us = 1500,
  };
}

/* The lookup app: 3 plain endpoints, a few milliseconds per call, for a customer who waits at the
 * counter. */
static void
set_lookups (scenario_t *scenario)
{
  set_drafts (scenario);
  scenario->endpoints = 3;
  scenario->ranks = 1;
  scenario->slots = 4;
  scenario->prefixes = 0;
  scenario->prefill_steps = 1;
  scenario->output_min = 2;
  scenario->output_max = 8;
  scenario->step_us = 800;
  scenario->request_us = 50;
  scenario->deadline_min_ms = 100;
  scenario->deadline_max_ms = 1000;
  scenario->length_ms = 12000;
  scenario->base_load = 0.1;
  scenario->burst_load = 3;
  scenario->burst_from_ms = 2000;
  scenario->burst_to_ms = 10000;
}

/* The association's deployment: like the drafts, with shorter deadlines and lower network
 * latency. */
static void
set_checks (scenario_t *scenario)
{
  set_drafts (scenario);
  scenario->latency_us = 500;
  scenario->deadline_min_ms = 1500;
  scenario->deadline_max_ms = 4000;
}

/* A part of the target deployment: 256 runners in groups of 32 ranks, 220 accounts. */
static void
set_target (scenario_t *scenario)
{
  set_drafts (scenario);
  scenario->endpoints = 256;
  scenario->ranks = 32;
  scenario->domains = 8;
  scenario->accounts = 220;
  scenario->large_accounts = 12;
  scenario->length_ms = 24000;
  scenario->base_load = 0.1;
  scenario->burst_load = 3;
  scenario->burst_from_ms = 2000;
  scenario->burst_to_ms = 22000;
}

static void
set_burst (scenario_t *scenario)
{
  scenario->base_load = 0.1;
  scenario->burst_load = 3;
  scenario->burst_from_ms = 5000;
  scenario->burst_to_ms = 65000;
  scenario->length_ms = 75000;
}

static void
set_large_burst (scenario_t *scenario)
{
  scenario->base_load = 0.5;
  scenario->burst_load = 3;
  scenario->burst_from_ms = 10000;
  scenario->burst_to_ms = 50000;
  scenario->burst_large_only = true;
}

static void
set_report_lag (scenario_t *scenario)
{
  scenario->report_lag_min_ms = 3000;
  scenario->report_lag_max_ms = 3000;
  scenario->base_load = 0.9;
  scenario->burst_load = 0.9;
}

static void
set_dialects (scenario_t *scenario, int32_t loss_percent)
{
  scenario->prefixes = 24;
  scenario->base_load = 0.8;
  scenario->burst_load = 0.8;
  scenario->cache_loss_percent = loss_percent;
}

static void
set_fault (scenario_t *scenario, fault_kind_t kind, int32_t first_endpoint, int32_t count)
{
  scenario->faults[scenario->fault_count++] = (fault_t){
    .kind = kind, .first_endpoint = first_endpoint, .count = count, .from_ms = 15000, .to_ms = 40000
  };
}

typedef enum scenario_kind
{
  STEADY = 0,
  BURST,
  LARGE_BURST,
  LAG,
  LAG_BURST,
  DIALECTS,
  DIALECTS_LOSS,
  DIALECTS_BURST,
  SLOW,
  DEAD,
  SILENT,
  FLAPPING,
  DOMAIN_GONE,
  DOMAIN_GONE_BURST,
  LOOKUPS,
  CHECKS,
  CHECKS_BURST,
  TARGET,
  SCENARIO_COUNT,
} scenario_kind_t;

static const char *const names[SCENARIO_COUNT] = {
  [STEADY] = "steady 0.6",
  [BURST] = "burst 30x to 3.0",
  [LARGE_BURST] = "large accounts burst",
  [LAG] = "load 0.9, reports 3 s late",
  [LAG_BURST] = "burst, reports 3 s late",
  [DIALECTS] = "24 prefixes, load 0.8",
  [DIALECTS_LOSS] = "the same, half the cache events lost",
  [DIALECTS_BURST] = "24 prefixes in the burst",
  [SLOW] = "one rank slowed 5x",
  [DEAD] = "one endpoint dead",
  [SILENT] = "one endpoint silent",
  [FLAPPING] = "one endpoint flapping",
  [DOMAIN_GONE] = "a failure domain gone",
  [DOMAIN_GONE_BURST] = "the same in the burst",
  [LOOKUPS] = "lookups, burst 30x to 3.0",
  [CHECKS] = "association, steady 0.6",
  [CHECKS_BURST] = "association, burst 30x to 3.0",
  [TARGET] = "256 runners, 220 accounts, burst",
};

int32_t
bt_count_scenarios (void)
{
  return SCENARIO_COUNT;
}

static void
set_kind (scenario_t *scenario, scenario_kind_t kind)
{
  switch (kind)
    {
    case BURST:
    case CHECKS_BURST:
      set_burst (scenario);
      break;
    case LARGE_BURST:
      set_large_burst (scenario);
      break;
    case LAG:
      set_report_lag (scenario);
      break;
    case LAG_BURST:
      set_report_lag (scenario);
      set_burst (scenario);
      break;
    case DIALECTS:
      set_dialects (scenario, 0);
      break;
    case DIALECTS_LOSS:
      set_dialects (scenario, 50);
      break;
    case DIALECTS_BURST:
      set_dialects (scenario, 0);
      set_burst (scenario);
      break;
    case SLOW:
      set_fault (scenario, FAULT_SLOW, 5, 1);
      break;
    case DEAD:
      set_fault (scenario, FAULT_DEAD, 5, 1);
      break;
    case SILENT:
      set_fault (scenario, FAULT_SILENT, 5, 1);
      break;
    case FLAPPING:
      set_fault (scenario, FAULT_FLAPPING, 5, 1);
      break;
    case DOMAIN_GONE_BURST:
      set_burst (scenario);
      set_fault (scenario, FAULT_DEAD, 4, 4);
      break;
    case DOMAIN_GONE:
      set_fault (scenario, FAULT_DEAD, 4, 4);
      break;
    default:
      break;
    }
}

void
bt_get_scenario (int32_t index, scenario_t *scenario)
{
  const scenario_kind_t kind = (scenario_kind_t)index;

  if (kind == LOOKUPS)
    set_lookups (scenario);
  else if (kind == CHECKS || kind == CHECKS_BURST)
    set_checks (scenario);
  else if (kind == TARGET)
    set_target (scenario);
  else
    set_drafts (scenario);
  set_kind (scenario, kind);
  scenario->name = names[kind];
}
