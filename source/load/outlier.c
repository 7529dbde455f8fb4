#include "bilberrytray/load/outlier.h"

enum
{
  WHOLE_PERCENT = 100,
  DEFAULT_FAILURES = 3,
  DEFAULT_SLOW_PERCENT = 300,
  DEFAULT_SLOW_ANSWERS = 5,
  DEFAULT_OUT_MS = 1000,
  DEFAULT_MAX_OUT_MS = 60000,
  DEFAULT_MAX_OUT_PERCENT = 50,
  DEFAULT_PROBE_PERCENT = 10,
  DEFAULT_PROBES_IN_FLIGHT = 1,
  GROWTH = 2,
};

void
bt_default_outlier_options (bt_outlier_options_t *options)
{
  options->failures = DEFAULT_FAILURES;
  options->slow_percent = DEFAULT_SLOW_PERCENT;
  options->slow_answers = DEFAULT_SLOW_ANSWERS;
  options->out_ms = DEFAULT_OUT_MS;
  options->max_out_ms = DEFAULT_MAX_OUT_MS;
  options->max_out_percent = DEFAULT_MAX_OUT_PERCENT;
  options->probe_percent = DEFAULT_PROBE_PERCENT;
  options->probes_in_flight = DEFAULT_PROBES_IN_FLIGHT;
}

static bool
is_returning (const bt_outlier_t *outlier)
{
  return outlier->share_percent > 0 && outlier->share_percent < WHOLE_PERCENT;
}

/* Grows the share of a returning endpoint; the memory of its last time out goes when it is whole.
 */
static bt_outlier_event_t
grow_share (bt_outlier_t *outlier)
{
  outlier->share_percent *= GROWTH;
  if (outlier->share_percent < WHOLE_PERCENT)
    return BT_OUTLIER_NONE;
  outlier->share_percent = 0;
  outlier->out_ms = 0;
  return BT_OUTLIER_WHOLE;
}

bt_outlier_event_t
bt_record_outlier_answer (bt_outlier_t *outlier,
                          const bt_outlier_options_t *options,
                          int64_t took_ms,
                          int64_t peers_ms)
{
  const bool slow = peers_ms > 0 && took_ms * WHOLE_PERCENT > peers_ms * options->slow_percent;

  outlier->failures = 0;
  outlier->slow = slow ? outlier->slow + 1 : 0;
  if (slow && (is_returning (outlier) || outlier->slow >= options->slow_answers))
    return outlier->out_until_ms > 0 ? BT_OUTLIER_NONE : BT_OUTLIER_OUT;
  return is_returning (outlier) && !slow ? grow_share (outlier) : BT_OUTLIER_NONE;
}

bt_outlier_event_t
bt_record_outlier_failure (bt_outlier_t *outlier, const bt_outlier_options_t *options)
{
  outlier->failures++;
  if (outlier->out_until_ms > 0)
    return BT_OUTLIER_NONE;
  /* A flapping endpoint would fail a full run of requests on each return: the first failure while
   * it returns is enough. */
  if (is_returning (outlier) || outlier->failures >= options->failures)
    return BT_OUTLIER_OUT;
  return BT_OUTLIER_NONE;
}

void
bt_take_out_outlier (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms)
{
  outlier->out_ms = outlier->out_ms == 0 ? options->out_ms : outlier->out_ms * GROWTH;
  if (outlier->out_ms > options->max_out_ms)
    outlier->out_ms = options->max_out_ms;
  outlier->out_until_ms = now_ms + outlier->out_ms;
  outlier->failures = 0;
  outlier->slow = 0;
  outlier->share_percent = 0;
}

bool
bt_is_outlier (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms)
{
  if (outlier->out_until_ms == 0)
    return false;
  if (now_ms < outlier->out_until_ms)
    return true;
  outlier->out_until_ms = 0;
  outlier->share_percent = options->probe_percent;
  return false;
}

int32_t
bt_get_outlier_share (const bt_outlier_t *outlier)
{
  if (outlier->out_until_ms > 0)
    return 0;
  return outlier->share_percent > 0 ? outlier->share_percent : WHOLE_PERCENT;
}

bool
bt_allow_outlier (const bt_outlier_options_t *options, int32_t out, int32_t total)
{
  return (out + 1) * WHOLE_PERCENT <= total * options->max_out_percent;
}
