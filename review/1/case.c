/** @file
 * The operator writes a version that splits a route over two services, replaces a key and adds a
 * route. Then all entry instances are killed and start again. With TROUBLE=0 the version is the
 * same, except that no route is split.
 */

#define _GNU_SOURCE

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/fleet.h"
#include "../common/http.h"
#include "../common/runner.h"

enum
{
  EXIT_HELD = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2,
  ARGUMENTS = 3, /* the program, TROUBLE and the path of the record */
  READY_LIMIT_MS = 15000,
  STABLE_MS = 4000,        /* stable_window_ms is 3,000 */
  CONFIG_APPLY_MS = 2000,  /* the site's bound */
  CONFIG_MARGIN_MS = 1000, /* waited beyond it */
  RECOVERY_MS = 12000,     /* recovery_s is 12 */
  DOWN_MS = 1000,
  REPLY_MS = 4000,
  SLOTS = 6,    /* of a runner, as in the site's sheet */
  REPEATS = 10, /* requests of each sort to each entry instance */
  HEAD_BYTES = 1024,
  ID_BYTES = 64,
  OK = 200,
  UNAUTHORIZED = 401,
  FORBIDDEN = 403,
  NOT_FOUND = 404,
  RECOVER_DIVISOR = 4, /* less than a quarter breaks RECOVER */
};

typedef struct review_case
{
  FILE *record;
  bool trouble;
  rv_store_t *store;
  rv_fleet_t *fleet;
  rv_runner_t *depot;
  rv_runner_t *next;
  int32_t last_id;
  int32_t broken; /* requests that were handled as only the older version allows */
} review_case_t;

/** What became of the requests of one sort. */
typedef struct outcome
{
  int32_t sent;
  int32_t served;
  int32_t unauthorized;
  int32_t not_found;
  int32_t other;
  int32_t ran;
} outcome_t;

static const char *const first_version =
    "{\"version\":4,\"routes\":["
    "{\"name\":\"r-stock\",\"host\":\"ficu95.example\",\"prefix\":\"/stock/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
    "\"service\":\"depot\",\"max_attempts\":1,\"public\":false},"
    "{\"name\":\"r-slot\",\"host\":\"ficu95.example\",\"prefix\":\"/slot/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
    "\"service\":\"depot\",\"max_attempts\":2,\"public\":false}],"
    "\"services\":["
    "{\"name\":\"depot\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
    "\"tls\":false},"
    "{\"name\":\"next\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
    "\"tls\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-north\"],\"priority\":1},"
    "{\"name\":\"south\",\"api_keys\":[\"key-south-old\"],\"priority\":1}]}";

/* %s: how the route r-slot names its services. */
static const char *const second_version =
    "{\"version\":9,\"routes\":["
    "{\"name\":\"r-stock\",\"host\":\"ficu95.example\",\"prefix\":\"/stock/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
    "\"service\":\"depot\",\"max_attempts\":1,\"public\":false},"
    "{\"name\":\"r-slot\",\"host\":\"ficu95.example\",\"prefix\":\"/slot/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
    "%s,\"max_attempts\":2,\"public\":false},"
    "{\"name\":\"r-new\",\"host\":\"ficu95.example\",\"prefix\":\"/new/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
    "\"service\":\"next\",\"max_attempts\":2,\"public\":false}],"
    "\"services\":["
    "{\"name\":\"depot\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
    "\"tls\":false},"
    "{\"name\":\"next\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
    "\"tls\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-north\"],\"priority\":1},"
    "{\"name\":\"south\",\"api_keys\":[\"key-south-new\"],\"priority\":1}]}";

static const char *const whole_route = "\"service\":\"depot\"";
static const char *const split_route = "\"backends\":[{\"service\":\"depot\",\"weight\":90},"
                                       "{\"service\":\"next\",\"weight\":10}]";

static void
count_reply (const rv_reply_t *reply, outcome_t *outcome)
{
  outcome->sent++;
  if (reply->status == OK && reply->whole)
    outcome->served++;
  else if (reply->status == UNAUTHORIZED || reply->status == FORBIDDEN)
    outcome->unauthorized++;
  else if (reply->status == NOT_FOUND)
    outcome->not_found++;
  else
    outcome->other++;
}

static void
send_one (
    review_case_t *self, int32_t gateway, const char *path, const char *key, outcome_t *outcome)
{
  char head[HEAD_BYTES];
  char id[ID_BYTES];
  rv_reply_t reply = { 0 };
  int fd = rv_connect (rv_get_gateway_port (self->fleet, gateway), REPLY_MS);

  snprintf (id, sizeof id, "a%06d", (int)++self->last_id);
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nBilberrytray-Attempt-Id: %s\r\n"
            "Bilberrytray-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n"
            "Content-Length: 2\r\n\r\nx\n",
            path, id, key);
  if (fd >= 0 && rv_write_all (fd, head, strlen (head)))
    rv_read_reply (fd, &reply);
  if (fd >= 0)
    close (fd);
  count_reply (&reply, outcome);
  outcome->ran += rv_count_runs (self->depot, id) + rv_count_runs (self->next, id) > 0 ? 1 : 0;
  rv_note (self->record, "client sends %s to entry %d: %s with %s, answer %d", id, (int)gateway,
           path, key, (int)reply.status);
}

static outcome_t
send_to_all (review_case_t *self, const char *what, const char *path, const char *key)
{
  outcome_t outcome = { 0 };

  for (int32_t i = 0; i < REPEATS; i++)
    for (int32_t gateway = 0; gateway < RV_GATEWAYS; gateway++)
      send_one (self, gateway, path, key, &outcome);
  rv_note (self->record,
           "== %s: %d sent, %d served, %d answered 401 or 403, %d answered 404, %d other, %d ran",
           what, (int)outcome.sent, (int)outcome.served, (int)outcome.unauthorized,
           (int)outcome.not_found, (int)outcome.other, (int)outcome.ran);
  return outcome;
}

static bool
start (review_case_t *self)
{
  int32_t store_port;
  int32_t depot_port;
  int32_t next_port;

  self->store = rv_start_store (&store_port);
  self->depot = rv_start_runner (self->record, "i-depot-1", "", &depot_port);
  self->next = rv_start_runner (self->record, "i-next-1", "", &next_port);
  rv_register_runner (self->store, "i-depot-1", "depot", depot_port, SLOTS);
  rv_register_runner (self->store, "i-next-1", "next", next_port, SLOTS);
  rv_put_item (self->store, "op/config", first_version);
  rv_note (self->record, "the store confirms version 4");
  self->fleet = rv_new_fleet (self->record, store_port);
  if (rv_start_gateways (self->fleet, READY_LIMIT_MS) < RV_GATEWAYS)
    return false;
  rv_sleep_ms (STABLE_MS);
  return true;
}

/* Sends what both versions treat alike and what only the first one allows. */
static bool
try_first_version (review_case_t *self)
{
  outcome_t stock =
      send_to_all (self, "version 4, /stock/ with key-north", "/stock/a", "key-north");
  outcome_t old_key =
      send_to_all (self, "version 4, /stock/ with key-south-old", "/stock/a", "key-south-old");

  return stock.served == stock.sent && old_key.served == old_key.sent;
}

/* CONFIG: run with a dropped key, or refused with 401, 403 or 404 though the key and the route are
 * there, later than config_apply_ms after the confirmation. */
static void
try_second_version (review_case_t *self)
{
  char *version;
  outcome_t old_key;
  outcome_t new_key;
  outcome_t new_route;

  if (asprintf (&version, second_version, self->trouble ? split_route : whole_route) < 0)
    return;
  rv_put_item (self->store, "op/config", version);
  rv_note (self->record, "the store confirms version 9%s",
           self->trouble ? ", which splits the route r-slot" : "");
  free (version);
  rv_sleep_ms (CONFIG_APPLY_MS + CONFIG_MARGIN_MS);
  send_to_all (self, "version 9, /slot/ with key-north", "/slot/a", "key-north");
  old_key =
      send_to_all (self, "version 9, /stock/ with the dropped key", "/stock/a", "key-south-old");
  new_key =
      send_to_all (self, "version 9, /stock/ with the added key", "/stock/a", "key-south-new");
  new_route = send_to_all (self, "version 9, the added route /new/", "/new/a", "key-north");
  self->broken = old_key.ran + new_key.unauthorized + new_route.not_found;
}

/* RECOVER: less than a quarter is served later than recovery_s after the machines are back. */
static bool
has_recovered (review_case_t *self)
{
  outcome_t stock;

  rv_kill_gateways (self->fleet);
  rv_note (self->record, "all entry instances were killed");
  rv_sleep_ms (DOWN_MS);
  rv_start_gateways (self->fleet, RECOVERY_MS);
  rv_sleep_ms (RECOVERY_MS);
  stock = send_to_all (self, "after the restart, /stock/ with key-north", "/stock/a", "key-north");
  return stock.served * RECOVER_DIVISOR >= stock.sent;
}

int
main (int argc, char **argv)
{
  static review_case_t self;
  bool recovered;

  if (argc != ARGUMENTS)
    return EXIT_NOT_RUN;
  self.trouble = strcmp (argv[1], "0") != 0;
  self.record = rv_open_record (argv[2]);
  if (self.record == NULL)
    return EXIT_NOT_RUN;
  if (!start (&self) || !try_first_version (&self) || !rv_are_gateways_alive (self.fleet))
    {
      rv_note (self.record, "The case could not run.");
      if (self.fleet != NULL)
        rv_kill_gateways (self.fleet);
      return EXIT_NOT_RUN;
    }
  try_second_version (&self);
  recovered = has_recovered (&self);
  rv_kill_gateways (self.fleet);
  rv_note (self.record, "CONFIG: %d requests were handled as only version 4 allows: %s",
           (int)self.broken, self.broken > 0 ? "broken" : "held");
  rv_note (self.record, "RECOVER: %s", recovered ? "held" : "broken");
  return self.broken > 0 || !recovered ? EXIT_BROKEN : EXIT_HELD;
}
