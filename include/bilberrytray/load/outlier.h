#ifndef BILBERRYTRAY_LOAD_OUTLIER_H
#define BILBERRYTRAY_LOAD_OUTLIER_H

/** @file
 * Outlier detection for one endpoint. An endpoint that fails, or is far slower than its peers, is
 * ejected: it gets no work for some time. Afterwards it gets a small share of its normal work,
 * which grows with each answer until it has its full share again.
 */

#include <stdbool.h>
#include <stdint.h>

/** Settings of outlier detection. */
typedef struct bt_outlier_options
{
  int32_t failures;     /**< Consecutive failures that eject an endpoint; one is enough while it
                           recovers. */
  int32_t slow_percent; /**< An answer is slow if its time exceeds this percentage of the peers'
                           mean. */
  int32_t slow_answers; /**< Consecutive slow answers that eject an endpoint; one is enough while it
                           recovers. */
  int64_t ejection_ms; /**< Duration of the first ejection; doubles with each further ejection until
                          the endpoint has recovered. */
  int64_t max_ejection_ms;     /**< Maximum duration of an ejection. */
  int32_t max_ejected_percent; /**< Maximum percentage of an app's endpoints that may be ejected. */
  int32_t probe_percent;    /**< Initial share of its normal work after an ejection, in percent. */
  int32_t probes_in_flight; /**< Not read so far: requests that an endpoint may hold at first after
                               an ejection. */
} bt_outlier_options_t;

/** Outlier record of one endpoint. Initialise it with zeros. */
typedef struct bt_outlier
{
  int32_t failures;         /**< Consecutive failures. */
  int32_t slow;             /**< Consecutive slow answers. */
  int64_t ejected_until_ms; /**< Time at which the ejection ends; 0 if it is not ejected. */
  int64_t ejection_ms;   /**< Duration of the last ejection; 0 if there was none or the endpoint has
                            recovered since. */
  int32_t share_percent; /**< Share of its normal work while it recovers, in percent; 0 stands for
                            the full share. */
} bt_outlier_t;

/** Effect of a result on an endpoint. */
typedef enum bt_outlier_event
{
  BT_OUTLIER_NONE = 0,  /**< No change. */
  BT_OUTLIER_EJECT,     /**< It should be ejected; the caller checks bt_may_eject_outlier first. */
  BT_OUTLIER_RECOVERED, /**< It has its full share again. */
} bt_outlier_event_t;

void bt_default_outlier_options (bt_outlier_options_t *options);

/** Records a complete answer that took @p took_ms; @p peers_ms is the mean time of its peers (0:
 * not known). */
bt_outlier_event_t bt_record_outlier_answer (bt_outlier_t *outlier,
                                             const bt_outlier_options_t *options,
                                             int64_t took_ms,
                                             int64_t peers_ms);

/** Records a failure of the endpoint: no answer, a broken one, or a link lost with work in
 * flight. */
bt_outlier_event_t bt_record_outlier_failure (bt_outlier_t *outlier,
                                              const bt_outlier_options_t *options);

/** Ejects the endpoint from @p now_ms on, for longer than the last time, up to max_ejection_ms. */
void bt_eject_outlier (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms);

/** Returns true while the endpoint is ejected. When the ejection has ended, gives it a share of
 * probe_percent and returns false. */
bool
bt_is_outlier_ejected (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms);

/** Returns its share of its normal work, in percent; 0 while it is ejected. */
int32_t bt_get_outlier_share (const bt_outlier_t *outlier);

/** Returns true if one more of @p total endpoints may be ejected while @p ejected are. */
bool bt_may_eject_outlier (const bt_outlier_options_t *options, int32_t ejected, int32_t total);

#endif
