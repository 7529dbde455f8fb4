#include <stdio.h>

#include "commands.h"

/** Settings of `bilberryd check`, which has none. */
typedef struct check_values
{
  bool unused;
} check_values_t;

static int
run_check (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations = NULL;
  int32_t count;

  if (operand_count != 1)
    bt_add_finding (ctx, findings, "check", 0, NULL, "Expected one folder of declarations.");
  else
    declarations = bt_load_declarations (ctx, operands[0], findings);
  count = bt_count_findings (findings);
  bt_print_findings (findings, stderr);
  if (declarations != NULL)
    printf ("%d accounts, %d apps, %d endpoints, %d rules: no findings\n",
            declarations->account_count, declarations->app_count, declarations->endpoint_count,
            declarations->rule_count);
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
  return count == 0 ? BT_EXIT_DONE : BT_EXIT_USAGE;
}

const bt_command_t bt_check_command = {
  "check",   "Read declarations from a folder and print every finding.",
  "FOLDER",  NULL,
  0,         sizeof (check_values_t),
  run_check,
};
