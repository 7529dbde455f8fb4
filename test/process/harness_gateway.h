#ifndef BILBERRYTRAY_TEST_HARNESS_GATEWAY_H
#define BILBERRYTRAY_TEST_HARNESS_GATEWAY_H

/** @file
 * Starts gateways on loopback with stand-ins for the users' platform: its store and its runners,
 * which are the endpoints.
 */

#include "harness.h"
#include "hop.h"

enum
{
  BT_MAX_GATEWAYS = 64,
  BT_MAX_RUNNERS = 128,
  BT_DEFAULT_RUNNERS = 3, /* started by bt_new_gateway_testbed */
};

/** A deployment for one test: a store, runners and gateways. */
typedef struct bt_gateway_testbed
{
  pid_t store;
  int32_t gateway_count;
  int32_t runner_count;
  pid_t runners[BT_MAX_RUNNERS];
  int32_t runner_id_counts[BT_MAX_RUNNERS]; /**< How many ids each runner has had. */
  int32_t runner_writes[BT_MAX_RUNNERS];    /**< How often each runner's item was written. */
  int64_t runner_start_ms[BT_MAX_RUNNERS];  /**< Start time of each runner's latest process,
                                                      Unix milliseconds. */
  pid_t runner_hops[BT_MAX_RUNNERS];        /**< TCP proxy in front of each runner; 0: requests
                                                      reach it directly. */
  int32_t runner_hop_ports[BT_MAX_RUNNERS];
  pid_t gateways[BT_MAX_GATEWAYS];
  int32_t store_port;
  int32_t runner_ports[BT_MAX_RUNNERS];
  int32_t caller_ports[BT_MAX_GATEWAYS];
  int32_t address_ports[BT_MAX_GATEWAYS];
  int32_t ready_ports[BT_MAX_GATEWAYS];
  int32_t page_ports[BT_MAX_GATEWAYS];
  int32_t link_ports[BT_MAX_GATEWAYS];
  pid_t hops[BT_MAX_GATEWAYS]; /**< TCP proxies, each between a gateway and the store. */
  int32_t hop_ports[BT_MAX_GATEWAYS];
  int32_t drain_ms; /**< Drain time of the gateways that are started from now on. */
  char folder[64];
  int port_range_fd; /**< Listens on the first port of the port range, to reserve it. */
  int32_t next_port;
} bt_gateway_testbed_t;

/** Starts the store, BT_DEFAULT_RUNNERS runners and @p gateways gateways, and writes @p
 * configuration into the store. The runners are listed in the store as "i-0", "i-1" ... of the
 * service "svc". Does not wait until the gateways are ready. Returns NULL on failure. */
bt_gateway_testbed_t *bt_new_gateway_testbed (int32_t gateways, const char *configuration);

/** Does the same as bt_new_gateway_testbed with @p runners runners. */
bt_gateway_testbed_t *
bt_new_wide_gateway_testbed (int32_t gateways, int32_t runners, const char *configuration);

/** Does the same as bt_new_gateway_testbed with @p runners runners, each behind a TCP proxy (hop).
 */
bt_gateway_testbed_t *
bt_new_large_gateway_testbed (int32_t gateways, int32_t runners, const char *configuration);

/** Starts a runner under a new id at the same address: the first process of runner 2 is "i-2", the
 * next "i-2-1". Does not list it in the store. */
bool bt_start_runner_process (bt_gateway_testbed_t *testbed, int32_t index);

/** Kills a runner and restarts it under the same id with a later start time. Does not list it in
 * the store. */
bool bt_restart_runner_process (bt_gateway_testbed_t *testbed, int32_t index);

/** Kills a runner if it is running. */
void bt_kill_runner_process (bt_gateway_testbed_t *testbed, int32_t index);

/** Returns true, once, when a runner's process has exited by itself. */
bool bt_reap_runner_process (bt_gateway_testbed_t *testbed, int32_t index);

/** Returns how often a runner that has always kept its id ran a request, over all its processes. */
int32_t
bt_count_logged_runs (const bt_gateway_testbed_t *testbed, int32_t index, const char *request_id);

/** Writes the id of the runner's latest process to @p id. */
void
bt_write_runner_id (const bt_gateway_testbed_t *testbed, int32_t index, char *id, size_t capacity);

/** Prints the last lines that a gateway's processes have written. */
void bt_print_gateway_log (const bt_gateway_testbed_t *testbed, int32_t index);

/** Kills every process, prints the logs if @p failed, and removes the folder. */
void bt_drop_gateway_testbed (bt_gateway_testbed_t *testbed, bool failed);

/** Sets extra arguments, NULL-terminated or NULL, for the gateways that are started from now on. */
void bt_set_gateway_arguments (const char *const *arguments);

void bt_start_gateway_process (bt_gateway_testbed_t *testbed, int32_t index);

/** Writes an item into the store as the operator or a runner does; @p value NULL removes it. */
bool bt_put_store_item (const bt_gateway_testbed_t *testbed, const char *key, const char *value);

/** Makes reads of the store that accept old items get the present ones from now on. */
bool bt_freeze_old_items (const bt_gateway_testbed_t *testbed);

/** Makes the store keep a backup of its present state. */
bool bt_backup_store (const bt_gateway_testbed_t *testbed);

/** Makes the store return to its last backup: what was written since is lost, and the revisions are
 * assigned again. */
bool bt_restore_store (const bt_gateway_testbed_t *testbed);

/** Writes a runner's item into the store with a state, such as "ready" or "draining". */
bool bt_put_runner_item (bt_gateway_testbed_t *testbed, int32_t index, const char *state);

/** Sets the fault of the stand-in that listens on a port. */
bool bt_set_standin_fault (int32_t port, const char *fault);

/** Sets the fault of a TCP proxy (hop); it is in force when this returns true. */
bool bt_set_hop_fault (int32_t port, bt_hop_fault_t fault, int32_t delay_ms);

/** Sends a request to a gateway and waits for the reply. @p headers are "Name: value" lines,
 * NULL-terminated, or NULL. */
void bt_send_gateway_request (const bt_gateway_testbed_t *testbed,
                              int32_t index,
                              const char *path,
                              const char *const *headers,
                              const char *body,
                              bt_http_reply_t *reply);

/** A request for the host that the tests' routes match. */
typedef struct bt_gateway_call
{
  int32_t gateway;
  const char *path;
  const char *id;
  const char *key;   /**< The account's API key; NULL: none. */
  const char *extra; /**< One more header line; NULL: none. */
  int32_t deadline_ms;
} bt_gateway_call_t;

/** Sends a request and waits for the reply, which the caller clears. */
void bt_send_gateway_call (const bt_gateway_testbed_t *testbed,
                           const bt_gateway_call_t *call,
                           bt_http_reply_t *reply);

/** Sends a request and returns the status, 0 without an answer. */
int32_t bt_get_call_status (const bt_gateway_testbed_t *testbed, const bt_gateway_call_t *call);

/** Repeats a request until its status is @p wanted. Returns false if it is not within
 * BT_WAIT_LIMIT_MS. */
bool bt_wait_call_status (const bt_gateway_testbed_t *testbed,
                          const bt_gateway_call_t *call,
                          int32_t wanted);

/** Reads the metrics page of a gateway; the caller clears the reply. */
void bt_read_gateway_metrics (const bt_gateway_testbed_t *testbed,
                              int32_t index,
                              bt_http_reply_t *reply);

/** Reads one value of the metrics page by its name with the labels, such as "x_total{kind=\"a\"}";
 * -1 if the page does not have it. */
int64_t
bt_read_gateway_metric (const bt_gateway_testbed_t *testbed, int32_t index, const char *name);

/** Returns whether `bilberryd status` of a gateway prints a text. */
bool bt_has_gateway_status (const bt_gateway_testbed_t *testbed, int32_t index, const char *text);

/** Sends a GET request to a port and returns the status, 0 without an answer. */
int32_t bt_get_http_status (int32_t port, const char *path);

/** Waits until a gateway reports that it is ready. */
bool bt_wait_gateway_ready (const bt_gateway_testbed_t *testbed, int32_t index);

/** Returns how often a runner ran a request, according to the log of its present process. */
int32_t
bt_count_runner_runs (const bt_gateway_testbed_t *testbed, int32_t index, const char *request_id);

/** Returns the runs of a request id by all runners, each as logged. The caller owns the array. */
json_t *bt_find_request_runs (const bt_gateway_testbed_t *testbed, const char *request_id);

#endif
