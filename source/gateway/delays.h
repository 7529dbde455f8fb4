#ifndef BILBERRYTRAY_SOURCE_GATEWAY_DELAYS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_DELAYS_H

/** @file
 * Counts late, refused and failed requests by their cause. Used on the event loop's thread, except
 * for the status.
 */

#include <stdio.h>

#include "bilberrytray/requests/delay_cause.h"

enum
{
  /** Values of one label that are counted by name; all further ones are counted as "other". The
   * place of a value is kept until the process ends. */
  BT_MAX_DELAY_VALUES = 32,
};

typedef struct bt_delays bt_delays_t;

/** What is known of a delayed request; "" or NULL: not known, and not counted by it. */
typedef struct bt_delay_labels
{
  const char *rule;
  const char *priority;
  const char *account;
  const char *failure_domain; /**< Of the endpoint that it was last sent to. */
} bt_delay_labels_t;

/** What is captured of a request in progress; zero-initialise it. */
typedef struct bt_delay_track
{
  bt_delay_timeline_t timeline;
  int64_t loop_behind_ms;       /**< Of the loop, when the request was read. */
  bool is_queued;               /**< It waits in admission's queue. */
  bt_wait_times_t queued_times; /**< Of its app, when it was queued. */
  int32_t part_sends;           /**< Attempts by the time of the last part of the answer. */
} bt_delay_track_t;

bt_delays_t *bt_new_delays (bt_context_t *ctx);

/** NULL is accepted. */
void bt_drop_delays (bt_context_t *ctx, bt_delays_t *delays);

/** Counts the verdict on one request; one in time is not counted. */
void bt_count_delay (bt_delays_t *delays,
                     const bt_delay_verdict_t *verdict,
                     const bt_delay_labels_t *labels);

/** Prints the counts by cause. Can be called from any thread. */
void bt_print_delay_status (const bt_delays_t *delays, FILE *out);

#endif
