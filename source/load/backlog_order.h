#ifndef BILBERRYTRAY_SOURCE_LOAD_BACKLOG_ORDER_H
#define BILBERRYTRAY_SOURCE_LOAD_BACKLOG_ORDER_H

/** @file
 * Order of service of a contended app while more requests wait than can be served in time: requests
 * that can still be in time go before late ones, except that every eighth served request is a late
 * one. The load is the backlog of an outage, which fresh requests meet when the endpoints return.
 */

#include <stdbool.h>
#include <stdint.h>

enum
{
  /** While a late request waits, one of this many served requests is the oldest late one. */
  BT_LATE_SERVICE_INTERVAL = 8,
};

/** Turns of late requests. Initialise it with zeros. */
typedef struct bt_late_turns
{
  int32_t served; /**< Requests served since the last turn while a late one waited. */
} bt_late_turns_t;

/** Returns true if the next request to serve is the late one that has waited longest. */
bool bt_is_late_turn (const bt_late_turns_t *turns);

/** Records that a request was served; @p late_waited is true if a late one was waiting then. */
void bt_record_late_turn (bt_late_turns_t *turns, bool late_waited);

/** Decaying average of a rate. Initialise it with zeros. */
typedef struct bt_arrival_rate
{
  double count;
  int64_t updated_ms;
} bt_arrival_rate_t;

/** Adds one arrival. */
void bt_add_arrival (bt_arrival_rate_t *arrivals, int64_t now_ms);

/** Returns the recent arrivals per second. */
double bt_get_arrival_rate (const bt_arrival_rate_t *arrivals, int64_t now_ms);

/** What serves a backlog. */
typedef struct bt_backlog_service
{
  double rate;         /**< Requests per second that can be served. */
  double arrival_rate; /**< New requests per second, which go before late ones. */
  int64_t outage_ms;   /**< Expected time until any request is served; 0 if endpoints are usable. */
} bt_backlog_service_t;

/** Returns the requests per second that are served in time order while late ones wait. */
double bt_get_in_time_service_rate (const bt_backlog_service_t *service);

/** Returns the requests per second that are served of those that do not go first: one eighth of the
 * rate, or all that new requests leave if that is more. */
double bt_get_late_service_rate (const bt_backlog_service_t *service);

/** Returns after how long the late request behind @p ahead older late ones is served, in ms. */
int64_t bt_get_late_wait_ms (const bt_backlog_service_t *service, int32_t ahead);

/** Returns after how long a request that can still be in time is served behind @p ahead others, in
 * ms. @p late_waits is true while late requests take their turns. */
int64_t
bt_get_in_time_wait_ms (const bt_backlog_service_t *service, int32_t ahead, bool late_waits);

#endif
