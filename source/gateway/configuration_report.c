#include "configuration_report.h"

#include <jansson.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"

enum
{
  /* A new field that is not known may stand in each of hundreds of routes. */
  MAX_LOGGED_FINDINGS = 32,
};

void
bt_report_configuration_findings (bt_context_t *ctx,
                                  const bt_findings_t *findings,
                                  bool rejected,
                                  int64_t revision)
{
  const bt_log_level_t level = rejected ? BT_LOG_ERROR : BT_LOG_WARNING;
  const char *event = rejected ? "configuration-rejected" : "configuration-unreadable";

  for (int32_t i = 0; i < bt_count_findings (findings) && i < MAX_LOGGED_FINDINGS; i++)
    {
      const bt_finding_t *finding = bt_get_finding (findings, i);

      bt_log_event (ctx, level, event, "{s:I, s:s, s:s, s:s}", "revision", (json_int_t)revision,
                    "file", finding->file, "path", finding->path, "message", finding->message);
    }
}

void
bt_report_configuration (bt_context_t *ctx, const bt_declarations_t *declarations, int64_t revision)
{
  static const bt_declarations_t none;
  const bt_declarations_t *in_force = declarations == NULL ? &none : declarations;

  bt_log_event (ctx, BT_LOG_INFO, "configuration", "{s:I, s:I, s:i, s:i, s:i}", "revision",
                (json_int_t)in_force->revision, "store_revision", (json_int_t)revision, "rules",
                in_force->rule_count, "accounts", in_force->account_count, "findings",
                in_force->finding_count);
  bt_set_gauge (bt_find_counter (ctx, BT_GAUGE, "bilberry_configuration_findings",
                                 "Parts of the configuration in force that were left out, since "
                                 "they can't be read or are not known.",
                                 NULL, NULL),
                in_force->finding_count);
}
