#ifndef BILBERRYTRAY_LOAD_OUTLIER_H
#define BILBERRYTRAY_LOAD_OUTLIER_H

/** @file
 * Whether one endpoint answers well enough to get its part of the work. An endpoint that fails, or
 * is far slower than its peers, is taken out; after a while it gets a small share, which grows with
 * each answer until it is whole again.
 */

#include <stdbool.h>
#include <stdint.h>

/** Settings of the outlier rule. */
typedef struct bt_outlier_options
{
  int32_t failures;         /**< Failures in a row that take an endpoint out. */
  int32_t slow_percent;     /**< Out when its time is over this percentage of its peers'. */
  int32_t slow_answers;     /**< Slow answers in a row before it counts as slow. */
  int64_t out_ms;           /**< First time out; doubles with each return that fails. */
  int64_t max_out_ms;       /**< Longest time out. */
  int32_t max_out_percent;  /**< Most endpoints of one app that may be out, in 100. */
  int32_t probe_percent;    /**< First share of its normal work on its return, in 100. */
  int32_t probes_in_flight; /**< Requests that a returning endpoint may hold at first. */
} bt_outlier_options_t;

/** The record of one endpoint. Zero-initialise it. */
typedef struct bt_outlier
{
  int32_t failures;      /**< In a row. */
  int32_t slow;          /**< In a row. */
  int64_t out_until_ms;  /**< 0 while it is in. */
  int64_t out_ms;        /**< Length of the last time out, 0 when long forgotten. */
  int32_t share_percent; /**< Share of its normal work while it returns; 0 stands for all. */
} bt_outlier_t;

/** What a result says about an endpoint. */
typedef enum bt_outlier_event
{
  BT_OUTLIER_NONE = 0, /**< Nothing changes. */
  BT_OUTLIER_OUT,      /**< It ought to be taken out; the caller checks max_out_percent. */
  BT_OUTLIER_WHOLE,    /**< It has returned to its whole share. */
} bt_outlier_event_t;

void bt_default_outlier_options (bt_outlier_options_t *options);

/** Records a good answer that took @p took_ms, where its peers take @p peers_ms (0: not known). */
bt_outlier_event_t bt_record_outlier_answer (bt_outlier_t *outlier,
                                             const bt_outlier_options_t *options,
                                             int64_t took_ms,
                                             int64_t peers_ms);

/** Records a failure of the endpoint: no answer, a broken one, or a lost link with work on it. */
bt_outlier_event_t bt_record_outlier_failure (bt_outlier_t *outlier,
                                              const bt_outlier_options_t *options);

/** Takes the endpoint out from now on, for longer than the last time. */
void
bt_take_out_outlier (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms);

/** True while it is out. When its time is over it starts to return at probe_percent. */
bool bt_is_outlier (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms);

/** The share of its normal work that it may have, in 100: 0 while it is out. */
int32_t bt_get_outlier_share (const bt_outlier_t *outlier);

/** True when one more of @p total endpoints may be out while @p out are. */
bool bt_allow_outlier (const bt_outlier_options_t *options, int32_t out, int32_t total);

#endif
