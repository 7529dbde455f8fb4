#include "delays.h"

#include <ctype.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/core/identity.h"

/** The labels by which delayed requests are counted, besides the outcome. */
typedef enum delay_label
{
  LABEL_RULE = 0,
  LABEL_PRIORITY,
  LABEL_ACCOUNT,
  LABEL_FAILURE_DOMAIN,
  LABEL_COUNT,
} delay_label_t;

typedef struct delay_family
{
  const char *name;
  const char *help;
  const char *label;
} delay_family_t;

static const delay_family_t families[LABEL_COUNT] = {
  [LABEL_RULE] = { "bilberry_delayed_by_rule_total",
                   "Late, refused and failed requests by rule and cause.", "rule" },
  [LABEL_PRIORITY] = { "bilberry_delayed_by_priority_total",
                       "Late, refused and failed requests by priority and cause.", "priority" },
  [LABEL_ACCOUNT] = { "bilberry_delayed_by_account_total",
                      "Late, refused and failed requests by client account and cause.", "account" },
  [LABEL_FAILURE_DOMAIN] = { "bilberry_delayed_by_domain_total",
                             "Late, refused and failed requests by the endpoint's failure domain "
                             "and cause.",
                             "failure_domain" },
};

static const char *const other_value = "other";

/** The counters of one value of a label. They are created at their first use, so that the metrics
 * page has no rows for what has never occurred. */
typedef struct delay_row
{
  char value[BT_NAME_BYTES];
  bt_counter_t *counters[BT_DELAY_CAUSE_COUNT];
} delay_row_t;

/** The values of one label; the last row is for all further ones. */
typedef struct delay_table
{
  delay_row_t rows[BT_MAX_DELAY_VALUES + 1];
  int32_t count;
} delay_table_t;

struct bt_delays
{
  bt_context_t *ctx;
  bt_counter_t *totals[BT_DELAY_OUTCOME_COUNT][BT_DELAY_CAUSE_COUNT];
  delay_table_t tables[LABEL_COUNT];
};

bt_delays_t *
bt_new_delays (bt_context_t *ctx)
{
  bt_delays_t *delays = bt_calloc (ctx, 1, sizeof *delays);
  char labels[BT_LABELS_BYTES];

  delays->ctx = ctx;
  for (int32_t outcome = BT_DELAY_LATE; outcome < BT_DELAY_OUTCOME_COUNT; outcome++)
    for (int32_t cause = BT_DELAY_CAUSE_NONE + 1; cause < BT_DELAY_CAUSE_COUNT; cause++)
      {
        snprintf (labels, sizeof labels, "outcome=\"%s\",cause=\"%s\"",
                  bt_name_delay_outcome ((bt_delay_outcome_t)outcome),
                  bt_name_delay_cause ((bt_delay_cause_t)cause));
        delays->totals[outcome][cause] = bt_find_labelled_counter (
            ctx, BT_COUNTER, "bilberry_delayed_requests_total",
            "Late, refused and failed requests by outcome and cause.", NULL, labels);
      }
  for (int32_t label = 0; label < LABEL_COUNT; label++)
    bt_copy_name (delays->tables[label].rows[BT_MAX_DELAY_VALUES].value, other_value);
  return delays;
}

void
bt_drop_delays (bt_context_t *ctx, bt_delays_t *delays)
{
  bt_free (ctx, delays);
}

static delay_row_t *
find_or_add_row (delay_table_t *table, const char *value)
{
  delay_row_t *row;

  for (int32_t i = 0; i < table->count; i++)
    if (strcmp (table->rows[i].value, value) == 0)
      return &table->rows[i];
  if (table->count == BT_MAX_DELAY_VALUES || strcmp (value, other_value) == 0)
    return &table->rows[BT_MAX_DELAY_VALUES];
  row = &table->rows[table->count++];
  bt_copy_name (row->value, value);
  return row;
}

/* Replaces what would end the value of a label or its line. */
static void
write_label_value (const char *value, char text[BT_NAME_BYTES])
{
  bt_copy_name (text, value);
  for (char *c = text; *c != '\0'; c++)
    if (*c == '"' || *c == '\\' || iscntrl ((unsigned char)*c))
      *c = '_';
}

static bt_counter_t *
find_row_counter (bt_delays_t *delays,
                  delay_label_t label,
                  delay_row_t *row,
                  bt_delay_cause_t cause)
{
  const delay_family_t *family = &families[label];
  char value[BT_NAME_BYTES];
  char labels[BT_LABELS_BYTES];

  if (row->counters[cause] == NULL)
    {
      write_label_value (row->value, value);
      snprintf (labels, sizeof labels, "%s=\"%s\",cause=\"%s\"", family->label, value,
                bt_name_delay_cause (cause));
      row->counters[cause] = bt_find_labelled_counter (delays->ctx, BT_COUNTER, family->name,
                                                       family->help, NULL, labels);
    }
  return row->counters[cause];
}

void
bt_count_delay (bt_delays_t *delays,
                const bt_delay_verdict_t *verdict,
                const bt_delay_labels_t *labels)
{
  const char *const values[LABEL_COUNT] = {
    [LABEL_RULE] = labels->rule,
    [LABEL_PRIORITY] = labels->priority,
    [LABEL_ACCOUNT] = labels->account,
    [LABEL_FAILURE_DOMAIN] = labels->failure_domain,
  };

  if (verdict->outcome == BT_DELAY_IN_TIME || verdict->cause == BT_DELAY_CAUSE_NONE)
    return;
  bt_add_counter (delays->totals[verdict->outcome][verdict->cause], 1);
  for (int32_t label = 0; label < LABEL_COUNT; label++)
    if (values[label] != NULL && values[label][0] != '\0')
      bt_add_counter (find_row_counter (delays, (delay_label_t)label,
                                        find_or_add_row (&delays->tables[label], values[label]),
                                        verdict->cause),
                      1);
}

void
bt_print_delay_status (const bt_delays_t *delays, FILE *out)
{
  bool is_any = false;

  for (int32_t cause = BT_DELAY_CAUSE_NONE + 1; cause < BT_DELAY_CAUSE_COUNT; cause++)
    {
      int64_t counts[BT_DELAY_OUTCOME_COUNT] = { 0 };
      int64_t sum = 0;

      for (int32_t outcome = BT_DELAY_LATE; outcome < BT_DELAY_OUTCOME_COUNT; outcome++)
        sum += counts[outcome] = bt_read_counter (delays->totals[outcome][cause]);
      if (sum == 0)
        continue;
      is_any = true;
      fprintf (out, "delayed by %s: %lld late, %lld refused, %lld failed\n",
               bt_name_delay_cause ((bt_delay_cause_t)cause), (long long)counts[BT_DELAY_LATE],
               (long long)counts[BT_DELAY_REFUSED], (long long)counts[BT_DELAY_FAILED]);
    }
  if (!is_any)
    fprintf (out, "No request was late, refused or failed.\n");
}
