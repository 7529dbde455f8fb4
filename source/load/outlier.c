#include "bilberrytray/load/outlier.h"

enum
{
  WHOLE_PERCENT = 100,
  DEFAULT_FAILURES = 3,
  DEFAULT_SLOW_PERCENT = 300,
  DEFAULT_SLOW_ANSWERS = 5,
  DEFAULT_EJECTION_MS = 1000,
  DEFAULT_MAX_EJECTION_MS = 60000,
  DEFAULT_MAX_EJECTED_PERCENT = 50,
  DEFAULT_PROBE_PERCENT = 10,
  DEFAULT_PROBES_IN_FLIGHT = 1,
  GROWTH_FACTOR = 2,
};

void
bt_default_outlier_options (bt_outlier_options_t *options)
{
  options->failures = DEFAULT_FAILURES;
  options->slow_percent = DEFAULT_SLOW_PERCENT;
  options->slow_answers = DEFAULT_SLOW_ANSWERS;
  options->ejection_ms = DEFAULT_EJECTION_MS;
  options->max_ejection_ms = DEFAULT_MAX_EJECTION_MS;
  options->max_ejected_percent = DEFAULT_MAX_EJECTED_PERCENT;
  options->probe_percent = DEFAULT_PROBE_PERCENT;
  options->probes_in_flight = DEFAULT_PROBES_IN_FLIGHT;
}

static bool
is_recovering (const bt_outlier_t *outlier)
{
  return outlier->share_percent > 0 && outlier->share_percent < WHOLE_PERCENT;
}

/* Increases the share of a recovering endpoint. At the full share, resets the duration of its last
 * ejection. */
static bt_outlier_event_t
grow_share (bt_outlier_t *outlier)
{
  outlier->share_percent *= GROWTH_FACTOR;
  if (outlier->share_percent < WHOLE_PERCENT)
    return BT_OUTLIER_NONE;
  outlier->share_percent = 0;
  outlier->ejection_ms = 0;
  return BT_OUTLIER_RECOVERED;
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
  if (slow && (is_recovering (outlier) || outlier->slow >= options->slow_answers))
    return outlier->ejected_until_ms > 0 ? BT_OUTLIER_NONE : BT_OUTLIER_EJECT;
  return is_recovering (outlier) && !slow ? grow_share (outlier) : BT_OUTLIER_NONE;
}

bt_outlier_event_t
bt_record_outlier_failure (bt_outlier_t *outlier, const bt_outlier_options_t *options)
{
  outlier->failures++;
  if (outlier->ejected_until_ms > 0)
    return BT_OUTLIER_NONE;
  /* A flapping endpoint would fail several requests after each ejection; so the first failure while
   * it recovers ejects it again. */
  if (is_recovering (outlier) || outlier->failures >= options->failures)
    return BT_OUTLIER_EJECT;
  return BT_OUTLIER_NONE;
}

void
bt_eject_outlier (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms)
{
  outlier->ejection_ms =
      outlier->ejection_ms == 0 ? options->ejection_ms : outlier->ejection_ms * GROWTH_FACTOR;
  if (outlier->ejection_ms > options->max_ejection_ms)
    outlier->ejection_ms = options->max_ejection_ms;
  outlier->ejected_until_ms = now_ms + outlier->ejection_ms;
  outlier->failures = 0;
  outlier->slow = 0;
  outlier->share_percent = 0;
}

bool
bt_is_outlier_ejected (bt_outlier_t *outlier, const bt_outlier_options_t *options, int64_t now_ms)
{
  if (outlier->ejected_until_ms == 0)
    return false;
  if (now_ms < outlier->ejected_until_ms)
    return true;
  outlier->ejected_until_ms = 0;
  outlier->share_percent = options->probe_percent;
  return false;
}

int32_t
bt_get_outlier_share (const bt_outlier_t *outlier)
{
  if (outlier->ejected_until_ms > 0)
    return 0;
  return outlier->share_percent > 0 ? outlier->share_percent : WHOLE_PERCENT;
}

bool
bt_may_eject_outlier (const bt_outlier_options_t *options, int32_t ejected, int32_t total)
{
  return (ejected + 1) * WHOLE_PERCENT <= total * options->max_ejected_percent;
}
