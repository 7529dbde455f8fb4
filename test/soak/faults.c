#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bilberrytray/base/clock.h"
#include "soak.h"

enum
{
  MAX_ACTIVE = 64,
  /* Each seed has its own longest pause between these two. With short pauses faults overlap. With
   * long pauses gateways are undisturbed for a while, so guarantees that must hold within seconds
   * can be checked. */
  MIN_PAUSE_MS = 400,
  MAX_PAUSE_MS = 4000,
  MAX_FAULT_MS = 5000,
  MAX_DELAY_MS = 400,
  VALID_KEYS = 2,     /* numbered keys that are valid at a time */
  KILL_ALL_ODDS = 12, /* a drawn FAULT_KILL_ALL happens 1 time in this many */
  STOP_POLL_MS = 20,
  NO_TARGET = -1,
  HEX_BASE = 16,
};

/** Kinds of faults. Each fault lasts a random time, and several may overlap. */
typedef enum fault_kind
{
  FAULT_FREEZE = 0, /* SIGSTOP, later SIGCONT */
  FAULT_KILL,
  FAULT_STOP,        /* SIGTERM, and a restart after the process has exited */
  FAULT_KILL_ALL,    /* all gateways are killed at once */
  FAULT_STORE_LINK,  /* on the hop between a gateway and the store */
  FAULT_RUNNER_LINK, /* on the hop before a runner */
  FAULT_RUNNER,      /* one of runner_faults at a runner stand-in */
  FAULT_RUNNER_REPLACED,
  FAULT_STORE, /* one of store_faults at the store stand-in */
  FAULT_KINDS,
} fault_kind_t;

/* Names of fault_kind_t in the output. */
static const char *const fault_names[] = { "freeze",     "kill",   "stop",     "herd", "store-way",
                                           "runner-way", "runner", "replaced", "store" };
/* Kinds of faults of the stand-ins. */
static const char *const runner_faults[] = {
  "full", "fail", "cut", "cut-first", "unmarked", "slow"
};
/* Used instead with --notices 1, so that a seed gives the same faults as before without it. */
static const char *const runner_notices[] = { "full",    "rest:1",  "rest:0.4", "limit:4",
                                              "limit:1", "limit:0", "fail",     "cut" };
static const char *const store_faults[] = { "down", "refuse", "lost-answer", "slow", "compact" };

/** A fault in force. */
typedef struct active_fault
{
  fault_kind_t kind;
  int32_t target; /* index of the gateway or runner, or NO_TARGET */
  int64_t until_ms;
} active_fault_t;

struct bt_soak_faults
{
  bt_soak_t *soak;
  active_fault_t active[MAX_ACTIVE];
  int32_t count;
  int32_t max_pause_ms; /* longest pause between two faults for this seed */
  int64_t next_ms;      /* time of the next fault */
  int64_t next_key_ms;  /* time of the next key */
  bt_soak_restores_t *restores;
};

static int64_t
now (void)
{
  return bt_read_clock_ms (bt_system_clock ());
}

static int32_t
draw_below (bt_soak_faults_t *faults, int32_t below)
{
  return (int32_t)bt_random_below (&faults->soak->random, (uint64_t)below);
}

/* Parts of a configuration that can't be read or are not known, used in turn with --unreadable 1.
 */
static const char *const unreadable_routes[] = {
  ",{\"name\":\"x\",\"host\":\"shop.example\",\"prefix\":\"/a/x/\",\"kind\":\"duplex\","
  "\"service\":\"svc\"}",
  ",{\"name\":\"x\",\"host\":\"shop.example\",\"prefix\":\"/a/x/\",\"kind\":\"idempotent\","
  "\"service\":\"none\",\"lanes\":[1]}",
  ",{\"name\":\"x\",\"host\":7,\"prefix\":[],\"kind\":{},\"service\":null}",
  ",7,null,[]",
};

static const char *const one_service = "\"service\":\"svc\"";
static const char *const split_service = "\"backends\":[{\"service\":\"svc\",\"weight\":3},"
                                         "{\"service\":\"none\",\"weight\":1},"
                                         "{\"service\":\"svc\",\"weight\":1}]";

char *
bt_write_soak_configuration (const bt_soak_t *soak)
{
  static const char *const text =
      "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],"
      "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"k-good\"%s],\"priority\":1}],\"routes\":["
      "{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"idempotent\","
      "%s,\"timeout_ms\":3000,\"max_attempts\":2,\"public\":false},"
      "{\"name\":\"once\",\"host\":\"shop.example\",\"prefix\":\"/a/once/\","
      "\"kind\":\"non_idempotent\",\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":1,"
      "\"public\":false},"
      "{\"name\":\"stream\",\"host\":\"shop.example\",\"prefix\":\"/a/stream/\","
      "\"kind\":\"streaming\",\"resumable\":true,\"service\":\"svc\",\"timeout_ms\":3000,"
      "\"max_attempts\":2,\"public\":false}%s],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
      "\"idle_timeout_ms\":15000}}";
  char keys[BT_SOAK_TEXT_BYTES] = "";
  const size_t kinds = sizeof unreadable_routes / sizeof unreadable_routes[0];
  const char *routes =
      soak->settings.unreadable ? unreadable_routes[(size_t)soak->version % kinds] : "";
  const char *service = soak->settings.unreadable ? split_service : one_service;
  char *configuration = calloc (1, strlen (text) + sizeof keys + strlen (routes) + strlen (service)
                                       + BT_SOAK_TEXT_BYTES);

  for (int32_t i = 0; i < soak->key_count; i++)
    if (soak->keys[i].added && !soak->keys[i].removed)
      snprintf (keys + strlen (keys), sizeof keys - strlen (keys), ",\"k-%d\"", i);
  sprintf (configuration, text, soak->version, keys, service, routes);
  return configuration;
}

void
bt_put_soak_configuration (bt_soak_t *soak)
{
  char *text;

  soak->version++;
  text = bt_write_soak_configuration (soak);
  if (!bt_put_store_item (soak->testbed, "op/config", text))
    bt_print_soak_event (soak, "the store did not accept the operator's configuration");
  free (text);
}

/* Adds the next key and removes the oldest valid one in one new version of the configuration. A
 * removed key is never added again. */
static void
rotate_keys (bt_soak_faults_t *faults)
{
  bt_soak_t *soak = faults->soak;
  int32_t added = soak->key_count;
  int32_t removed = added - VALID_KEYS;

  faults->next_key_ms += BT_SOAK_KEY_INTERVAL_MS;
  if (added >= BT_SOAK_KEYS)
    return;
  soak->key_count++;
  soak->keys[added].added = true;
  if (removed >= 0)
    soak->keys[removed].removed = true;
  bt_put_soak_configuration (soak);
  soak->keys[added].added_ms = now ();
  if (removed >= 0)
    soak->keys[removed].removed_ms = now ();
}

/* Marks a gateway as disturbed until the given time plus the time to settle. */
static void
extend_disturbance (bt_soak_t *soak, int32_t gateway, int64_t until_ms)
{
  if (soak->disturbed_ms[gateway] < until_ms + BT_SOAK_SETTLE_MS)
    soak->disturbed_ms[gateway] = until_ms + BT_SOAK_SETTLE_MS;
}

/* Returns true when a process handles SIGTERM itself: a gateway blocks the signals that it waits
 * for. A gateway that has only just been started does not block SIGTERM yet, has accepted no
 * connection, and is killed by the signal. All signals may be blocked during fork, so SIGUSR1,
 * which a gateway does not block, must be unblocked. */
static bool
is_sigterm_blocked (pid_t pid)
{
  char path[BT_SOAK_TEXT_BYTES];
  char line[BT_SOAK_TEXT_BYTES];
  unsigned long long blocked = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "SigBlk:", strlen ("SigBlk:")) == 0)
      blocked = strtoull (line + strlen ("SigBlk:"), NULL, HEX_BASE);
  if (file != NULL)
    fclose (file);
  return (blocked & (1ULL << (SIGTERM - 1))) != 0 && (blocked & (1ULL << (SIGUSR1 - 1))) == 0;
}

static void
stop_gateway (bt_soak_t *soak, int32_t gateway)
{
  pid_t pid = soak->testbed->gateways[gateway];

  soak->stopped_before_ready[gateway] = !is_sigterm_blocked (pid);
  kill (pid, SIGTERM);
}

/* A gateway that receives SIGTERM must exit with status 0, whatever other faults are in force. */
static void
check_exit_status (bt_soak_t *soak, int32_t gateway, int status)
{
  if (WIFEXITED (status) && WEXITSTATUS (status) == 0)
    return;
  if (soak->stopped_before_ready[gateway] && WIFSIGNALED (status) && WTERMSIG (status) == SIGTERM)
    return;
  soak->failed_stops++;
  bt_print_soak_event (soak,
                       "BROKEN LOST gateway %d did not exit cleanly after SIGTERM: wait status %d",
                       gateway, status);
  bt_print_gateway_log (soak->testbed, gateway);
}

static void
reap_gateway (bt_soak_t *soak, int32_t gateway, bool stopped)
{
  int status;

  if (soak->testbed->gateways[gateway] == 0)
    return;
  waitpid (soak->testbed->gateways[gateway], &status, 0);
  if (stopped)
    check_exit_status (soak, gateway, status);
  soak->testbed->gateways[gateway] = 0;
}

static void
kill_gateway (bt_soak_t *soak, int32_t gateway)
{
  if (soak->testbed->gateways[gateway] == 0)
    return;
  kill (soak->testbed->gateways[gateway], SIGKILL);
  reap_gateway (soak, gateway, false);
}

static bool
set_standin_fault (int32_t port, const char *kind, int32_t delay_ms)
{
  char fault[BT_SOAK_TEXT_BYTES];

  snprintf (fault, sizeof fault, "{\"kind\":\"%s\",\"count\":-1,\"delay_ms\":%d}", kind, delay_ms);
  return bt_set_standin_fault (port, fault);
}

/* Announces that a runner is draining. The runner goes on serving; when the fault ends, another one
 * replaces it at the same address. */
static void
replace_runner (bt_soak_t *soak, int32_t runner)
{
  soak->draining[runner] = true;
  if (!bt_put_runner_item (soak->testbed, runner, "draining"))
    bt_print_soak_event (soak, "runner %d could not be listed as draining", runner);
}

static const char *
draw_runner_fault (bt_soak_faults_t *faults)
{
  if (faults->soak->settings.notices)
    return runner_notices[draw_below (faults, sizeof runner_notices / sizeof runner_notices[0])];
  return runner_faults[draw_below (faults, sizeof runner_faults / sizeof runner_faults[0])];
}

static void
start_fault (bt_soak_faults_t *faults, active_fault_t *fault)
{
  bt_soak_t *soak = faults->soak;
  bt_gateway_testbed_t *testbed = soak->testbed;
  bt_hop_fault_t hop_fault = (bt_hop_fault_t)(1 + draw_below (faults, BT_HOP_FAULTS - 1));
  int32_t delay_ms = 1 + draw_below (faults, MAX_DELAY_MS);
  const char *detail = "";

  switch (fault->kind)
    {
    case FAULT_FREEZE:
      kill (testbed->gateways[fault->target], SIGSTOP);
      break;
    case FAULT_KILL:
      kill_gateway (soak, fault->target);
      break;
    case FAULT_STOP:
      stop_gateway (soak, fault->target);
      break;
    case FAULT_KILL_ALL:
      for (int32_t i = 0; i < testbed->gateway_count; i++)
        kill_gateway (soak, i);
      break;
    case FAULT_STORE_LINK:
      bt_set_hop_fault (testbed->hop_ports[fault->target], hop_fault, delay_ms);
      break;
    case FAULT_RUNNER_LINK:
      bt_set_hop_fault (testbed->runner_hop_ports[fault->target], hop_fault, delay_ms);
      break;
    case FAULT_RUNNER:
      detail = draw_runner_fault (faults);
      set_standin_fault (testbed->runner_ports[fault->target], detail, delay_ms);
      break;
    case FAULT_RUNNER_REPLACED:
      replace_runner (soak, fault->target);
      break;
    default:
      detail = store_faults[draw_below (faults, sizeof store_faults / sizeof store_faults[0])];
      set_standin_fault (testbed->store_port, detail, delay_ms);
      break;
    }
  bt_print_soak_event (soak, "%s %d for %lld ms %s %d", fault_names[fault->kind], fault->target,
                       (long long)(fault->until_ms - now ()), detail, (int)hop_fault);
}

/* Restarts processes that have exited and lifts faults that are still in force. */
static void
end_fault (bt_soak_faults_t *faults, const active_fault_t *fault)
{
  bt_soak_t *soak = faults->soak;
  bt_gateway_testbed_t *testbed = soak->testbed;

  switch (fault->kind)
    {
    case FAULT_FREEZE:
      kill (testbed->gateways[fault->target], SIGCONT);
      break;
    case FAULT_STOP:
      reap_gateway (soak, fault->target, true);
      bt_start_gateway_process (testbed, fault->target);
      break;
    case FAULT_KILL:
      bt_start_gateway_process (testbed, fault->target);
      break;
    case FAULT_KILL_ALL:
      for (int32_t i = 0; i < testbed->gateway_count; i++)
        bt_start_gateway_process (testbed, i);
      break;
    case FAULT_STORE_LINK:
      bt_set_hop_fault (testbed->hop_ports[fault->target], BT_HOP_NONE, 0);
      break;
    case FAULT_RUNNER_LINK:
      bt_set_hop_fault (testbed->runner_hop_ports[fault->target], BT_HOP_NONE, 0);
      break;
    case FAULT_RUNNER:
      set_standin_fault (testbed->runner_ports[fault->target], "none", 0);
      break;
    case FAULT_RUNNER_REPLACED:
      {
        char key[BT_SOAK_TEXT_BYTES] = "servers/";

        bt_write_runner_id (testbed, fault->target, key + strlen (key), sizeof key - strlen (key));
        bt_kill_runner_process (testbed, fault->target);
        bt_put_store_item (testbed, key, NULL);
        soak->draining[fault->target] = false;
        bt_start_runner_process (testbed, fault->target);
        bt_put_runner_item (testbed, fault->target, "ready");
        break;
      }
    default:
      set_standin_fault (testbed->store_port, "none", 0);
      break;
    }
}

static bool
is_gateway_fault (fault_kind_t kind)
{
  return kind <= FAULT_KILL_ALL;
}

/* Returns true when a fault is already in force on the same process or link. */
static bool
conflicts_with_active (const bt_soak_faults_t *faults, const active_fault_t *wanted)
{
  for (int32_t i = 0; i < faults->count; i++)
    {
      const active_fault_t *fault = &faults->active[i];
      bool both = is_gateway_fault (fault->kind) && is_gateway_fault (wanted->kind);

      if (both
          && (fault->kind == FAULT_KILL_ALL || wanted->kind == FAULT_KILL_ALL
              || fault->target == wanted->target))
        return true;
      if (!both && fault->kind == wanted->kind && fault->target == wanted->target)
        return true;
      /* A runner stand-in has one fault at a time, and a replaced runner starts without one. So
       * both kinds exclude each other on the same runner. */
      if (fault->target == wanted->target && fault->kind >= FAULT_RUNNER
          && fault->kind <= FAULT_RUNNER_REPLACED && wanted->kind >= FAULT_RUNNER
          && wanted->kind <= FAULT_RUNNER_REPLACED)
        return true;
    }
  return false;
}

static int32_t
draw_target (bt_soak_faults_t *faults, fault_kind_t kind)
{
  if (kind == FAULT_STORE || kind == FAULT_KILL_ALL)
    return NO_TARGET;
  if (kind >= FAULT_RUNNER_LINK)
    return draw_below (faults, faults->soak->testbed->runner_count);
  return draw_below (faults, faults->soak->testbed->gateway_count);
}

/* Records until when a fault disturbs gateways, the store or the links to the runners. */
static void
record_disturbance (bt_soak_faults_t *faults, const active_fault_t *fault)
{
  bt_soak_t *soak = faults->soak;

  for (int32_t i = 0; i < soak->testbed->gateway_count; i++)
    if (fault->kind == FAULT_KILL_ALL
        || (fault->target == i && (fault->kind == FAULT_FREEZE || fault->kind == FAULT_KILL)))
      soak->halted_ms[i] = fault->until_ms;
  if (fault->kind == FAULT_STORE)
    soak->store_disturbed_ms = fault->until_ms + BT_SOAK_SETTLE_MS;
  else if (fault->kind == FAULT_RUNNER_LINK)
    soak->runner_link_disturbed_ms = fault->until_ms + BT_SOAK_SETTLE_MS;
  else if (fault->kind == FAULT_KILL_ALL)
    for (int32_t i = 0; i < soak->testbed->gateway_count; i++)
      extend_disturbance (soak, i, fault->until_ms);
  else if (fault->kind <= FAULT_STORE_LINK)
    extend_disturbance (soak, fault->target, fault->until_ms);
}

static void
start_random_fault (bt_soak_faults_t *faults)
{
  active_fault_t fault = { (fault_kind_t)draw_below (faults, FAULT_KINDS), NO_TARGET,
                           now () + 1 + draw_below (faults, MAX_FAULT_MS) };

  faults->next_ms = now () + draw_below (faults, faults->max_pause_ms);
  fault.target = draw_target (faults, fault.kind);
  if (fault.kind == FAULT_STORE && bt_is_soak_restoring (faults->restores))
    return;
  if (faults->count == MAX_ACTIVE || conflicts_with_active (faults, &fault)
      || (fault.kind == FAULT_KILL_ALL && draw_below (faults, KILL_ALL_ODDS) != 0))
    return;
  record_disturbance (faults, &fault);
  start_fault (faults, &fault);
  faults->active[faults->count++] = fault;
}

bt_soak_faults_t *
bt_new_soak_faults (bt_soak_t *soak)
{
  bt_soak_faults_t *faults = calloc (1, sizeof *faults);

  faults->soak = soak;
  faults->max_pause_ms = MIN_PAUSE_MS + draw_below (faults, MAX_PAUSE_MS - MIN_PAUSE_MS);
  faults->next_ms = now ();
  faults->next_key_ms = soak->start_ms;
  faults->restores = bt_new_soak_restores (soak);
  return faults;
}

/* Returns true when a fault's time is over. A stop also lasts until the process has exited, which
 * is polled so that other faults go on. The time INT64_MAX ends every fault. */
static bool
has_ended (bt_soak_faults_t *faults, active_fault_t *fault, int64_t now_ms)
{
  pid_t *pid = &faults->soak->testbed->gateways[fault->target < 0 ? 0 : fault->target];
  int status;

  if (fault->until_ms > now_ms)
    return false;
  if (fault->kind != FAULT_STOP || *pid == 0 || now_ms == INT64_MAX)
    return true;
  if (waitpid (*pid, &status, WNOHANG) == *pid)
    {
      check_exit_status (faults->soak, fault->target, status);
      *pid = 0;
    }
  else
    fault->until_ms = now_ms + STOP_POLL_MS;
  return *pid == 0;
}

static void
end_due_faults (bt_soak_faults_t *faults, int64_t now_ms)
{
  for (int32_t i = faults->count - 1; i >= 0; i--)
    if (has_ended (faults, &faults->active[i], now_ms))
      {
        active_fault_t fault = faults->active[i];

        faults->active[i] = faults->active[--faults->count];
        end_fault (faults, &fault);
        fault.until_ms = now ();
        record_disturbance (faults, &fault);
      }
}

static bool
is_store_busy (const bt_soak_faults_t *faults)
{
  for (int32_t i = 0; i < faults->count; i++)
    if (faults->active[i].kind == FAULT_STORE)
      return true;
  return false;
}

void
bt_run_soak_faults (bt_soak_faults_t *faults)
{
  if (faults->soak->settings.restores)
    bt_run_soak_restores (faults->restores, is_store_busy (faults));
  if (now () >= faults->next_key_ms)
    rotate_keys (faults);
  end_due_faults (faults, now ());
  if (now () >= faults->next_ms)
    start_random_fault (faults);
}

bool
bt_end_soak_faults (bt_soak_faults_t *faults)
{
  bt_soak_t *soak = faults->soak;
  bool ready = true;

  end_due_faults (faults, INT64_MAX);
  bt_end_soak_restores (faults->restores);
  for (int32_t i = 0; i < soak->testbed->gateway_count; i++)
    if (!bt_wait_gateway_ready (soak->testbed, i))
      {
        bt_print_soak_event (soak, "BROKEN RECOVER gateway %d is not ready", i);
        ready = false;
      }
  return ready;
}

void
bt_drop_soak_faults (bt_soak_faults_t *faults)
{
  bt_drop_soak_restores (faults->restores);
  free (faults);
}
