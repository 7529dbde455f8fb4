#ifndef BILBERRYTRAY_SOURCE_LOAD_ENDPOINT_STATE_H
#define BILBERRYTRAY_SOURCE_LOAD_ENDPOINT_STATE_H

/** @file
 * An entry's knowledge of one endpoint: requests in flight, reported load, cached prefixes, outlier
 * record.
 */

#include "bilberrytray/load/router.h"

enum
{
  BT_PREFIX_SLOTS = 16,  /**< Prefixes recorded per endpoint. */
  BT_HISTORY_SLOTS = 64, /**< Changes of own_in_flight recorded per endpoint. */
};

/** A prefix that an endpoint probably has in its cache. */
typedef struct bt_cached_prefix
{
  uint64_t prefix; /**< 0 if the entry is free. */
  int64_t used_ms;
} bt_cached_prefix_t;

/** Number of own requests in flight from a point in time on. */
typedef struct bt_own_change
{
  int64_t at_ms;
  int32_t own;
} bt_own_change_t;

/** One endpoint's state. */
typedef struct bt_endpoint_state
{
  bt_endpoint_t endpoint;
  uint64_t link_number;
  bool linked;
  int64_t down_ms;          /**< Time at which the link last died. */
  bool leaving;             /**< As its registration says. */
  bool said_leaving;        /**< As its own answers say, which may be earlier. */
  int64_t ended_until_ms;   /**< Its process is known to have ended; the endpoint is not used before
                               this time. */
  bool unselected;          /**< This entry does not use it. */
  bool evacuated;           /**< The operators have evacuated its failure domain. */
  bool paused;              /**< Its group is being formed and it refuses all requests. */
  int64_t cold_until_ms;    /**< It tolerates few requests before this time. */
  int64_t cold_interval_ms; /**< Least interval between two requests meanwhile; 0: none are sent. */
  int64_t cold_sent_ms;     /**< Time of the last request meanwhile; 0: none was sent. */
  bt_endpoint_limit_t limit;
  bt_endpoint_rest_t rest;
  bool reported; /**< A load report has arrived since the link came up. */
  bt_load_t load;
  int64_t load_at_ms;      /**< Time that the last load report describes. */
  int32_t own_in_flight;   /**< Requests of this entry in flight. */
  int32_t own_at_report;   /**< The same at load_at_ms. */
  int32_t total_at_report; /**< Requests of all entries in flight at load_at_ms. */
  bt_own_change_t history[BT_HISTORY_SLOTS];
  uint32_t change_count;    /**< Number of changes of own_in_flight since the link came up. */
  double home_virtual_time; /**< Virtual time of its next selection as home agent of a ticket. */
  uint64_t last_dispatch; /**< Number that the router gave to the last dispatch to this endpoint. */
  double service_ms; /**< Mean run time measured by this entry; 0 before the first measurement. */
  int64_t quiet_since_ms; /**< Start of the time without an answer while requests are in flight. */
  int64_t stalled_ms; /**< Longest time that a request went without an answer since the last answer;
                         0: none. */
  bt_outlier_t outlier;
  bt_cached_prefix_t prefixes[BT_PREFIX_SLOTS];
} bt_endpoint_state_t;

/** Returns the slots that may be used now: fewer while the endpoint recovers from an ejection, but
 * at least 1 unless it is ejected. */
int32_t bt_get_endpoint_slots (const bt_endpoint_state_t *state,
                               const bt_router_options_t *options);

/** Estimates the requests running or waiting at the endpoint: the reported ones, corrected by those
 * that this entry has sent and seen end since the time of the report. */
int32_t bt_get_endpoint_load (const bt_endpoint_state_t *state);

/** The same estimate under the assumption that the requests of the other entries have grown since
 * the report in the same proportion as those of this one, but by no more than this one's growth for
 * each entry. Otherwise eight entries with the same old report of a free endpoint would all fill
 * it. */
int32_t bt_get_endpoint_expected_load (const bt_endpoint_state_t *state, int32_t entries);

/** Returns true if the agent or this entry has measured the time of a run there. */
bool bt_has_endpoint_service_time (const bt_endpoint_state_t *state);

/** Returns the mean time of a run there, or the default, in ms. */
int64_t bt_get_endpoint_service_ms (const bt_endpoint_state_t *state,
                                    const bt_router_options_t *options);

/** Returns how long requests of this entry have been in flight there without any answer, in ms. */
int64_t bt_get_endpoint_quiet_ms (const bt_endpoint_state_t *state, int64_t now_ms);

/** Returns how long this entry has had no request in flight there, in ms; 0 if it has one or never
 * had any. */
int64_t bt_get_endpoint_idle_ms (const bt_endpoint_state_t *state, int64_t now_ms);

/** Records a load report. */
void bt_record_endpoint_load (bt_endpoint_state_t *state, const bt_load_t *load, int64_t now_ms);

/** Resets the request counts after the link died. The reported slots and run time are kept. */
void bt_forget_endpoint_load (bt_endpoint_state_t *state);

/** Adds @p change to the number of own requests in flight. */
void bt_add_endpoint_in_flight (bt_endpoint_state_t *state, int32_t change, int64_t now_ms);

/** Records that a request was cancelled or failed after @p took_ms without an answer. */
void bt_record_endpoint_stall (bt_endpoint_state_t *state, int64_t took_ms);

/** Records the time that an answer took, in ms. */
void bt_record_endpoint_time (bt_endpoint_state_t *state, int64_t took_ms, int64_t now_ms);

bool bt_has_endpoint_prefix (const bt_endpoint_state_t *state, uint64_t prefix);

/** Records that a prefix is cached or no longer cached. A new prefix replaces the least recently
 * used one. */
void
bt_set_endpoint_prefix (bt_endpoint_state_t *state, uint64_t prefix, bool cached, int64_t now_ms);

#endif
