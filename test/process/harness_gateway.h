#ifndef BILBERRYTRAY_TEST_HARNESS_GATEWAY_H
#define BILBERRYTRAY_TEST_HARNESS_GATEWAY_H

/** @file
 * Gateways on loopback with stand-ins for the users' platform: its store and its runners.
 */

#include "harness.h"
#include "hop.h"

enum
{
  BT_FIELD_GATEWAYS = 64, /* at most */
  BT_FIELD_MOST_RUNNERS = 128,
  BT_DEFAULT_RUNNERS = 3, /* of bt_new_field */
};

/** One small deployment. */
typedef struct bt_gateway_testbed
{
  pid_t store;
  int32_t gateway_count;
  int32_t runner_count;
  pid_t runners[BT_FIELD_MOST_RUNNERS];
  int32_t runner_id_counts[BT_FIELD_MOST_RUNNERS]; /**< How many ids each had. */
  int64_t runner_start_ms[BT_FIELD_MOST_RUNNERS]; /**< When each started last, Unix milliseconds. */
  pid_t
      runner_hops[BT_FIELD_MOST_RUNNERS]; /**< Before each runner; 0: callers reach it directly. */
  int32_t runner_hop_ports[BT_FIELD_MOST_RUNNERS];
  pid_t gateways[BT_FIELD_GATEWAYS];
  int32_t store_port;
  int32_t runner_ports[BT_FIELD_MOST_RUNNERS];
  int32_t caller_ports[BT_FIELD_GATEWAYS];
  int32_t address_ports[BT_FIELD_GATEWAYS];
  int32_t ready_ports[BT_FIELD_GATEWAYS];
  int32_t page_ports[BT_FIELD_GATEWAYS];
  int32_t link_ports[BT_FIELD_GATEWAYS];
  pid_t hops[BT_FIELD_GATEWAYS]; /**< Each between a gateway and the store. */
  int32_t hop_ports[BT_FIELD_GATEWAYS];
  int32_t drain_ms; /**< Longest stop of gateways that are started from now on. */
  char folder[64];
  int port_range_fd; /**< Holds the field's range of ports. */
  int32_t next_port;
} bt_field_t;

/** Starts the store, runners that are listed there as "i-0", "i-1" ... of the service "svc", and
 * @p gateways gateways; puts @p configuration into the store. Does not wait for readiness. NULL on
 * failure. */
bt_field_t *bt_new_field (int32_t gateways, const char *configuration);

/** The same with a number of runners, each behind a hop. */
bt_field_t *bt_new_large_field (int32_t gateways, int32_t runners, const char *configuration);

/** Starts a runner, or starts it again as another one at the same address; the first start of
 * number 2 is "i-2", the next "i-2-1". Does not list it. */
bool bt_start_runner_process (bt_field_t *testbed, int32_t index);

/** Kills a runner and starts it again under the id that it had, with a later start. Does not list
 * it. */
bool bt_restart_runner_process (bt_field_t *testbed, int32_t index);

/** Kills a runner that still runs. */
void bt_kill_runner_process (bt_field_t *testbed, int32_t index);

/** True, once, when a runner's process has ended by itself. */
bool bt_reap_runner_process (bt_field_t *testbed, int32_t index);

/** How often a runner that always kept its id ran a request, over all its starts. */
int32_t bt_count_logged_runs (const bt_field_t *testbed, int32_t index, const char *request_id);

/** The id of the runner's last start. */
void bt_write_runner_id (const bt_field_t *testbed, int32_t index, char *id, size_t capacity);

/** Ends every process by its id; prints the logs if @p failed. */
void bt_drop_field (bt_field_t *testbed, bool failed);

void bt_start_gateway_process (bt_field_t *testbed, int32_t index);

/** Writes an item as the operator or a runner does; @p value NULL removes it. */
bool bt_put_field_item (const bt_field_t *testbed, const char *key, const char *value);

/** Lists a runner, or one that is leaving. */
bool bt_list_field_runner (const bt_field_t *testbed, int32_t index, const char *state);

/** Sets the fault of a stand-in at a port. */
bool bt_set_field_fault (int32_t port, const char *fault);

/** Has a hop do harm to what it carries; in force when this returns. */
bool bt_set_hop_fault (int32_t port, bt_hop_fault_t fault, int32_t delay_ms);

/** Asks a gateway. @p headers are "Name: value" lines, NULL-ended. */
void bt_ask_gateway (const bt_field_t *testbed,
                     int32_t index,
                     const char *path,
                     const char *const *headers,
                     const char *body,
                     bt_reply_t *reply);

/** A call of a request that the tests' rules know, on their host. */
typedef struct bt_gateway_call
{
  int32_t gateway;
  const char *path;
  const char *id;
  const char *key;   /**< The account's; NULL: none. */
  const char *extra; /**< One more header line; NULL: none. */
  int32_t deadline_ms;
} bt_field_call_t;

/** Makes a call; the reply is to be cleared by the caller. */
void
bt_send_gateway_call (const bt_field_t *testbed, const bt_field_call_t *call, bt_reply_t *reply);

/** Makes a call; the status, 0 when there is no answer. */
int32_t bt_call_field_status (const bt_field_t *testbed, const bt_field_call_t *call);

/** Makes a call again and again until the status is as wanted; false when it never is. */
bool bt_wait_call_status (const bt_field_t *testbed, const bt_field_call_t *call, int32_t wanted);

/** The metrics of a gateway, to be cleared by the caller. */
void bt_read_gateway_metrics (const bt_field_t *testbed, int32_t index, bt_reply_t *reply);

/** One value of them, by its name with the labels, such as "x_total{kind=\"a\"}"; -1 when it is not
 * there. */
int64_t bt_read_gateway_metric (const bt_field_t *testbed, int32_t index, const char *name);

/** GET of a path at a port; the status, 0 when there is no answer. */
int32_t bt_get_http_status (int32_t port, const char *path);

/** Waits until a gateway says that it is ready. */
bool bt_wait_gateway_ready (const bt_field_t *testbed, int32_t index);

/** How often one runner ran a request. */
int32_t bt_count_runner_runs (const bt_field_t *testbed, int32_t index, const char *request_id);

/** The runs of all runners for one request id, each as logged; owned by the caller. */
json_t *bt_find_request_runs (const bt_field_t *testbed, const char *request_id);

#endif
