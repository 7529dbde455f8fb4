#ifndef BILBERRYTRAY_LOAD_ROUTER_H
#define BILBERRYTRAY_LOAD_ROUTER_H

/** @file
 * An entry's table of endpoints by app (a model or a plain service), and the choice of the endpoint
 * for each attempt. Not thread-safe: the calling code holds one lock for it.
 */

#include "bilberrytray/core/identity.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/load/endpoint_limit.h"
#include "bilberrytray/load/endpoint_rest.h"
#include "bilberrytray/load/outlier.h"

typedef struct bt_router bt_router_t;

/** Settings of a router. */
typedef struct bt_router_options
{
  char failure_domain[BT_NAME_BYTES]; /**< Failure domain of the entry; "" for none. */
  int32_t choices;       /**< Endpoints compared for an attempt, drawn at random; 0 for all. */
  int32_t default_slots; /**< Slots of an endpoint that has reported none. */
  int32_t queue_depth;   /**< Requests sent in excess of an endpoint's slots, to hide the network
                            delay. */
  int64_t default_service_ms; /**< Assumed time of a run until one is measured. */
  int64_t remote_ms;          /**< Cost of using another failure domain, in ms; 0: no preference. */
  int32_t prefix_percent; /**< Value of a cached prefix when all slots are taken, in percent of the
                             time of a run. */
  bt_outlier_options_t outlier;
} bt_router_options_t;

/** An endpoint and the agent that serves it. */
typedef struct bt_endpoint
{
  bt_identity_t identity; /**< The agent's instance and incarnation. */
  char name[BT_NAME_BYTES];
  char app[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
} bt_endpoint_t;

/** Load report of an endpoint. */
typedef struct bt_load
{
  int32_t running;
  int32_t queued;
  int32_t slots;       /**< Number of requests that may run at once; 0: not known. */
  int32_t queue_limit; /**< Number of requests that may wait at the agent. */
  int32_t service_ms;  /**< Recent mean time of a run; 0: not known. */
  int64_t age_ms;      /**< Age of the counts. */
} bt_load_t;

/** A request to route. The strings are only read during the call. */
typedef struct bt_route_request
{
  const char *app;
  const char *account;
  int32_t priority;
  int64_t deadline_left_ms;
  uint64_t prefix;               /**< Hash of the prompt's shared prefix; 0 for none. */
  const bt_identity_t *excluded; /**< Agents already tried; may be NULL. */
  int32_t excluded_count;
  const bt_identity_t *only; /**< The only agent that may be chosen; NULL: any. */
  int32_t choices; /**< Endpoints compared, drawn at random; 0: as the router's options say. */
  uint64_t seed;   /**< Random seed for the sample of endpoints and for ties. */
} bt_route_request_t;

/** Route of an attempt. The number distinguishes a link from a later one to the same agent. */
typedef struct bt_route
{
  bt_identity_t identity;
  uint64_t link_number;
} bt_route_t;

/** Result of an attempt, for the assessment of its endpoint. */
typedef enum bt_attempt_end
{
  BT_ATTEMPT_ANSWERED = 0, /**< A complete answer. */
  BT_ATTEMPT_REFUSED,      /**< The agent refused it as not-run; not counted as a failure of the
                              endpoint. */
  BT_ATTEMPT_FAILED,       /**< Broken off, silent or timed out. */
  BT_ATTEMPT_CANCELLED, /**< Cancelled by the caller, its deadline or another attempt; counts as a
                           slow answer only if it took long. */
  BT_ATTEMPT_UNREAD,    /**< It was paused since its caller did not read; says nothing about the
                           endpoint. */
} bt_attempt_end_t;

/** Capacity of an app's endpoints for this entry, as far as it knows. */
typedef struct bt_capacity
{
  int32_t endpoints; /**< Endpoints that may be chosen now. */
  int32_t paused; /**< Paused endpoints, which are expected to accept requests again within one or
                     two seconds, and cold ones that get no request now. */
  int32_t cold;   /**< Those of the paused ones that are only cold. */
  int32_t throttled; /**< Endpoints that get no request now because they have said so, and for which
                        it is known when they get the next one. */
  int32_t room; /**< Requests that can be sent without exceeding the queue depth of any endpoint. */
  int32_t in_flight;      /**< Requests of this entry in flight. */
  double slots;           /**< All slots of the usable endpoints. */
  double available_slots; /**< Slots that the other entries leave free, at least this entry's equal
                             share. */
  double equal_share;     /**< Requests that each entry may always have in flight. */
  int64_t service_ms;     /**< Mean time of a run. */
  int64_t full_queue_ms;  /**< Time that a request takes at an endpoint that is filled to its queue
                             depth: the wait and the run. */
} bt_capacity_t;

/** Sets the defaults: compares all endpoints, queue depth 4, a prefix is worth two runs, default
 * outlier options. */
void bt_default_router_options (bt_router_options_t *options);

bt_router_t *bt_new_router (bt_context_t *ctx, const bt_router_options_t *options);
void bt_drop_router (bt_context_t *ctx, bt_router_t *router);

/** Sets the number of entries that share the endpoints, including this one, according to the
 * membership; values below 1 count as 1. */
void bt_set_router_entries (bt_router_t *router, int32_t entries);

/** Sets the number of entries that share the endpoints of one app, where it differs from that of
 * the membership. */
void bt_set_app_entries (bt_context_t *ctx, bt_router_t *router, const char *app, int32_t entries);

/** Sets the names of all entries that are listed, of which @p instance is this one. Shares of
 * endpoints' limits follow from them. */
void bt_set_router_entry_names (bt_context_t *ctx,
                                bt_router_t *router,
                                const char *instance,
                                const char *const *names,
                                int32_t count,
                                int64_t now_ms);

/** Adds an endpoint or updates the one of the same identity, and records that its link is up. An
 * added endpoint takes over the outlier record of another incarnation of the same instance, which
 * is removed, and so are endpoints without a link for more than ten minutes. */
void bt_put_endpoint (bt_context_t *ctx,
                      bt_router_t *router,
                      const bt_endpoint_t *endpoint,
                      int64_t now_ms);

/** Removes an endpoint; returns false if it does not exist. */
bool bt_remove_endpoint (bt_context_t *ctx, bt_router_t *router, const bt_identity_t *identity);

/** Marks an endpoint as leaving or not; a leaving one gets no new work. Returns false if it does
 * not exist. */
bool bt_set_endpoint_leaving (bt_router_t *router, const bt_identity_t *identity, bool leaving);

/** Records that the process of an endpoint has ended: it gets no requests until @p until_ms, unless
 * a new incarnation is added. Returns false if it does not exist. */
bool bt_set_endpoint_ended (bt_router_t *router, const bt_identity_t *identity, int64_t until_ms);

/** Records that an answer of an endpoint said that it is leaving. It gets no new work in its
 * present incarnation, whatever its registration says. Returns true the first time. */
bool bt_record_endpoint_leaving (bt_router_t *router, const bt_identity_t *identity);

/** Marks an endpoint as paused while its group is being formed, or as accepting requests again.
 * Returns false if it does not exist. */
bool bt_set_endpoint_paused (bt_router_t *router, const bt_identity_t *identity, bool paused);

/** Sets whether this entry uses an endpoint at all; an added one is used. Returns false if it does
 * not exist. */
bool bt_set_endpoint_selected (bt_router_t *router, const bt_identity_t *identity, bool selected);

/** Marks an endpoint as evacuated or not; an evacuated one gets no new requests. Returns false if
 * it does not exist. */
bool bt_set_endpoint_evacuated (bt_router_t *router, const bt_identity_t *identity, bool evacuated);

/** Marks an endpoint as cold until @p until_ms: this entry sends it at most one request in
 * @p interval_ms, and none if that is 0. Returns false if it does not exist. */
bool bt_set_endpoint_cold (bt_router_t *router,
                           const bt_identity_t *identity,
                           int64_t until_ms,
                           int64_t interval_ms);

/** Records what an answer says about the limit of its endpoint. This entry keeps its share of a
 * named limit from now on. */
bt_limit_change_t bt_record_endpoint_limit (bt_router_t *router,
                                            const bt_identity_t *identity,
                                            const bt_limit_notice_t *notice,
                                            int64_t now_ms);

/** Copies what is known of an endpoint's limit. Returns false if the endpoint does not exist. */
bool bt_get_endpoint_limit (const bt_router_t *router,
                            const bt_identity_t *identity,
                            bt_endpoint_limit_t *limit);

/** Returns the number of endpoints that name a limit. */
int32_t bt_count_limited_endpoints (const bt_router_t *router);

/** Records that an endpoint asked this entry for a rest, in which it gets no requests. Returns true
 * if it was not resting, and sets @p before to what was known of its last rest. */
bool bt_record_endpoint_rest (bt_router_t *router,
                              const bt_identity_t *identity,
                              int64_t rest_ms,
                              int64_t now_ms,
                              bt_endpoint_rest_t *before);

/** What one endpoint has said of its room. */
typedef struct bt_endpoint_notices
{
  char endpoint[BT_NAME_BYTES];
  char app[BT_NAME_BYTES];
  bt_endpoint_limit_t limit;
  bt_endpoint_rest_t rest;
  bool said_leaving;
} bt_endpoint_notices_t;

/** Lists the endpoints that name a limit, rest or are leaving, in an array that the caller frees
 * with bt_free. Returns their number. */
int32_t bt_list_endpoint_notices (bt_context_t *ctx,
                                  const bt_router_t *router,
                                  int64_t now_ms,
                                  bt_endpoint_notices_t **notices);

/** Returns the number of endpoints that have asked this entry for a rest. */
int32_t bt_count_resting_endpoints (const bt_router_t *router, int64_t now_ms);

/** Records a load report from a heartbeat or a refusal. Returns false if the endpoint does not
 * exist or has no link. */
bool bt_record_load (bt_router_t *router,
                     const bt_identity_t *identity,
                     const bt_load_t *load,
                     int64_t now_ms);

/** Returns the slots that an endpoint reported last, or @p fallback. For reports that do not say
 * how many slots may be used now. */
int32_t
bt_get_reported_slots (bt_router_t *router, const bt_identity_t *identity, int32_t fallback);

/** Copies the last load report of an endpoint. Returns false if there is none since its link came
 * up. */
bool bt_get_load_report (const bt_router_t *router, const bt_identity_t *identity, bt_load_t *load);

/** Records that an endpoint has a prefix in its cache, or has evicted it. Returns false if the
 * endpoint does not exist. */
bool bt_record_prefix (bt_router_t *router,
                       const bt_identity_t *identity,
                       uint64_t prefix,
                       bool cached,
                       int64_t now_ms);

/** Chooses the endpoint for an attempt. Returns BT_REASON_NONE and sets @p route, or returns a
 * reason and sets @p retry_after_ms to the time to wait before a retry: BT_REASON_ENDPOINT_FULL if
 * the endpoints that are left are throttled, BT_REASON_NO_ENDPOINT if there are none. */
bt_reason_t bt_choose_endpoint (bt_router_t *router,
                                const bt_route_request_t *request,
                                int64_t now_ms,
                                bt_route_t *route,
                                int64_t *retry_after_ms);

/** Chooses the home agent of a ticket: usable endpoints in weighted round-robin order by their
 * slots. The current load is not used, since tickets are redeemed later and all tickets of one
 * moment would get the same home agent. */
bt_reason_t
bt_choose_home_agent (bt_router_t *router, const char *app, int64_t now_ms, bt_identity_t *home);

/** Records that an attempt was sent on a route; @p prefix as in the request. */
void
bt_record_dispatch (bt_router_t *router, const bt_route_t *route, uint64_t prefix, int64_t now_ms);

/** Records that an attempt ended, @p took_ms after its dispatch. Ignored if its link has died
 * since, because the requests in flight on that link are no longer counted. */
void bt_record_attempt_end (bt_router_t *router,
                            const bt_route_t *route,
                            bt_attempt_end_t end,
                            int64_t took_ms,
                            int64_t now_ms);

/** Records that the link to an agent died, which counts as a failure if requests were in flight.
 * Resets this entry's counts for the endpoint, which gets no work until bt_record_link_up or
 * bt_put_endpoint. */
void bt_record_link_down (bt_router_t *router, const bt_identity_t *identity, int64_t now_ms);

/** Records that the link to an agent is up again. bt_put_endpoint includes this. */
void bt_record_link_up (bt_router_t *router, const bt_identity_t *identity, int64_t now_ms);

/** Computes the total capacity of an app's endpoints. */
void
bt_get_capacity (bt_router_t *router, const char *app, int64_t now_ms, bt_capacity_t *capacity);

/** What this entry knows of the capacity of one endpoint. */
typedef struct bt_endpoint_room
{
  bool usable;  /**< It may be chosen for a request now. */
  int32_t load; /**< Requests running or waiting there, as estimated from the last report. */
  int32_t slots;
  int32_t depth; /**< Requests in excess of the slots that may be sent. */
  bool has_room; /**< By this entry's estimate, one more request may be sent. */
} bt_endpoint_room_t;

/** Returns false if the endpoint does not exist. */
bool bt_get_endpoint_room (bt_router_t *router,
                           const bt_identity_t *identity,
                           int64_t now_ms,
                           bt_endpoint_room_t *room);

/** Returns how long until the throttled endpoints of an app have got @p requests requests of this
 * entry, if nothing else changes; BT_NEVER_MS if that is more than an hour. */
int64_t
bt_get_throttle_wait_ms (bt_router_t *router, const char *app, int32_t requests, int64_t now_ms);

/** Returns the number of endpoints of an app that are ejected as outliers. */
int32_t bt_count_outliers (bt_router_t *router, const char *app, int64_t now_ms);

#endif
