#ifndef BILBERRYTRAY_GATEWAY_GATEWAY_H
#define BILBERRYTRAY_GATEWAY_GATEWAY_H

/** @file
 * The gateway: an entry instance on a platform whose endpoints are reached over HTTP, without an
 * agent. It applies the rules, admits, routes and retries requests, and answers which addresses
 * callers may use.
 */

#include "bilberrytray/gateway/platform.h"

typedef struct bt_gateway bt_gateway_t;

/** Settings; strings must outlive the gateway. */
typedef struct bt_gateway_settings
{
  const char *instance;
  const char *failure_domain;
  const char *listen;    /**< Address on which callers are served, "IP:PORT". */
  const char *addresses; /**< Address on which callers ask which instances to use. */
  const char *ready; /**< Address on which the platform probes whether this instance is ready. */
  const char *page;  /**< Address of the operators' page; "" for none. */
  const char *links; /**< Address on which links from peers are accepted. */
  const char *secret;
  const char *seeds; /**< Link addresses of some instances, separated by commas, to learn from while
                        the store does not answer at the start; may be "". */
  const char *store; /**< The platform's store, "IP:PORT". */
  const char *log_level;
  double cores; /**< Processor share in cores; the instance with the largest leads the groups. */
  int64_t max_connections;
  int64_t
      call_buffer_kb; /**< The transfer of an answer is paused while more waits for its caller. */
  int64_t buffer_mb;  /**< Bound on all that is buffered for callers; 0: see memory_mb. */
  double memory_mb;   /**< Memory of the instance; a sixteenth of it, at most 12 MB, is
                             that bound, and a quarter bounds unfinished answers of
                             endpoints; 0: no bound. */
  int64_t address_life_ms; /**< How long callers may cache an address answer. */
  int64_t drain_ms;        /**< Maximum time from SIGTERM to the end of the process. */
  int64_t watch_ms;        /**< Maximum wait of one watch on the store. */
  int64_t lease_s;         /**< Lifetime of this instance's listing without renewal. */
  int64_t renew_ms;        /**< Interval between two renewals of the listing. */
  int64_t retry_percent;   /**< Retries allowed for 100 requests of an app. */
  double retry_reserve; /**< Retries of an app that all instances together may make in addition. */
  int64_t crash_ends;   /**< Endpoints that a request may crash before it is refused. */
  int64_t crash_hold_s; /**< How long a request is held after its first crash of a rank of a group;
                           0: not at all. */
  int64_t crash_keep_s; /**< A crashing request that is not repeated for this long is forgotten. */
  int64_t agent_port;   /**< Port on which agents beside engines accept links; 0: there are none. */
  const char *reservations; /**< For which apps capacity is reserved at those agents; see
                               bt_parse_reservations. */
  int64_t lead_lease_s;  /**< Lifetime of the lease of the instance that leads the rank groups. */
  int64_t lead_renew_ms; /**< Interval between two renewals of that lease. */
  int64_t lead_past_lease_s; /**< How long a leader that the store does not answer goes on past its
                                lease, if an app with engines is contended. */
  int64_t plan_ms;           /**< Interval between two plans of a group's expert map. */
} bt_gateway_settings_t;

/** Returns the bound on what is buffered for callers, in bytes; 0: none. */
int64_t bt_get_gateway_buffer_bytes (const bt_gateway_settings_t *settings);

/** Creates a gateway and starts to serve; requests are refused until the configuration is known.
 * @return NULL, with @p error set, on failure. */
bt_gateway_t *bt_new_gateway (bt_context_t *ctx,
                              const bt_platform_t *platform,
                              const bt_gateway_settings_t *settings,
                              bt_error_t *error);

/** Returns the state of the copy of the store, and what endpoints have said of their room, as text
 * that the caller releases with free. May be called from any thread. */
char *bt_format_gateway_status (bt_gateway_t *gateway);

/** Serves until bt_stop_gateway is called and the stop is complete. */
void bt_run_gateway (bt_gateway_t *gateway);

/** Starts a graceful stop: callers are told to use other instances, requests in progress
 * are finished, then bt_run_gateway returns. Can be called from any thread; a second call has no
 * effect. */
void bt_stop_gateway (bt_gateway_t *gateway);

/** NULL is accepted. */
void bt_drop_gateway (bt_context_t *ctx, bt_gateway_t *gateway);

#endif
