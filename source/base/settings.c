#include "bilberrytray/base/settings.h"

#include <ctype.h>
#include <errno.h>
#include <getopt.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/address.h"

enum
{
  MAX_SETTINGS = 64,
  VARIABLE_BYTES = 96,
  BASE_TEN = 10,
  OPTION_HELP = 1000,
  OPTION_VERSION,
};

static const char *const variable_prefix = "BILBERRY_";

static void
format_variable (const char *name, char *variable, size_t bytes)
{
  size_t used = (size_t)snprintf (variable, bytes, "%s", variable_prefix);

  for (; *name != '\0' && used + 1 < bytes; name++)
    variable[used++] = *name == '-' ? '_' : (char)toupper ((unsigned char)*name);
  variable[used] = '\0';
}

static void
store_integer (bt_context_t *ctx,
               const bt_setting_t *setting,
               const char *origin,
               const char *text,
               void *value,
               bt_findings_t *findings)
{
  char *end;
  long long number;

  errno = 0;
  number = strtoll (text, &end, BASE_TEN);
  if (errno != 0 || end == text || *end != '\0')
    bt_add_finding (ctx, findings, origin, 0, NULL, "\"%s\" is not a whole number.", text);
  else if (number < setting->min || number > setting->max)
    bt_add_finding (ctx, findings, origin, 0, NULL, "%lld is not between %lld and %lld.", number,
                    (long long)setting->min, (long long)setting->max);
  else
    *(int64_t *)value = number;
}

static void
store_decimal (bt_context_t *ctx,
               const bt_setting_t *setting,
               const char *origin,
               const char *text,
               void *value,
               bt_findings_t *findings)
{
  char *end;
  double number = strtod (text, &end);

  if (end == text || *end != '\0')
    bt_add_finding (ctx, findings, origin, 0, NULL, "\"%s\" is not a number.", text);
  else if (!(number >= (double)setting->min && number <= (double)setting->max))
    bt_add_finding (ctx, findings, origin, 0, NULL, "%s is not between %lld and %lld.", text,
                    (long long)setting->min, (long long)setting->max);
  else
    *(double *)value = number;
}

static void
store_flag (
    bt_context_t *ctx, const char *origin, const char *text, void *value, bt_findings_t *findings)
{
  if (strcmp (text, "true") == 0 || strcmp (text, "1") == 0)
    *(bool *)value = true;
  else if (strcmp (text, "false") == 0 || strcmp (text, "0") == 0)
    *(bool *)value = false;
  else
    bt_add_finding (ctx, findings, origin, 0, NULL, "\"%s\" is neither true nor false.", text);
}

static bool
is_address (const char *text)
{
  struct sockaddr_in address;

  return bt_parse_address (text, &address);
}

static void
store_setting (bt_context_t *ctx,
               const bt_setting_t *setting,
               const char *origin,
               const char *text,
               void *values,
               bt_findings_t *findings)
{
  void *value = (char *)values + setting->offset;

  switch (setting->kind)
    {
    case BT_SETTING_INTEGER:
      store_integer (ctx, setting, origin, text, value, findings);
      return;
    case BT_SETTING_DECIMAL:
      store_decimal (ctx, setting, origin, text, value, findings);
      return;
    case BT_SETTING_FLAG:
      store_flag (ctx, origin, text, value, findings);
      return;
    case BT_SETTING_ADDRESS:
      if (text[0] != '\0' && !is_address (text))
        bt_add_finding (ctx, findings, origin, 0, NULL, "\"%s\" is not of the form IP:PORT.", text);
      break;
    case BT_SETTING_URL:
      if (text[0] != '\0' && strncmp (text, "http://", strlen ("http://")) != 0)
        bt_add_finding (ctx, findings, origin, 0, NULL, "\"%s\" does not start with http://.",
                        text);
      break;
    case BT_SETTING_TEXT:
      break;
    }
  *(const char **)value = text;
}

static void
apply_fallbacks (bt_context_t *ctx,
                 const bt_setting_t *settings,
                 int32_t count,
                 const bool *given,
                 void *values,
                 bt_findings_t *findings)
{
  char variable[VARIABLE_BYTES];
  const char *text;

  for (int32_t i = 0; i < count; i++)
    {
      if (given[i])
        continue;
      format_variable (settings[i].name, variable, sizeof variable);
      text = getenv (variable);
      if (text != NULL)
        store_setting (ctx, &settings[i], variable, text, values, findings);
      else if (settings[i].default_text != NULL)
        store_setting (ctx, &settings[i], settings[i].name, settings[i].default_text, values,
                       findings);
      else
        bt_add_finding (ctx, findings, settings[i].name, 0, NULL, "Set --%s or %s.",
                        settings[i].name, variable);
    }
}

static void
fill_options (const bt_setting_t *settings, int32_t count, struct option *options)
{
  for (int32_t i = 0; i < count; i++)
    {
      options[i].name = settings[i].name;
      options[i].has_arg = settings[i].kind == BT_SETTING_FLAG ? no_argument : required_argument;
      options[i].val = i + 1;
    }
  options[count].name = "help";
  options[count].val = OPTION_HELP;
  options[count + 1].name = "version";
  options[count + 1].val = OPTION_VERSION;
}

bt_settings_result_t
bt_parse_settings (bt_context_t *ctx,
                   const bt_setting_t *settings,
                   int32_t count,
                   int argc,
                   char **argv,
                   void *values,
                   int32_t *first_operand,
                   bt_findings_t *findings)
{
  struct option options[MAX_SETTINGS + 3] = { 0 };
  bool given[MAX_SETTINGS] = { false };
  int chosen;

  fill_options (settings, count, options);
  optind = 0;
  opterr = 0;
  while ((chosen = getopt_long (argc, argv, "+:", options, NULL)) != -1)
    {
      if (chosen == OPTION_HELP)
        return BT_SETTINGS_HELP;
      if (chosen == OPTION_VERSION)
        return BT_SETTINGS_VERSION;
      if (chosen == ':' || chosen == '?')
        {
          bt_add_finding (ctx, findings, argv[optind - 1], 0, NULL,
                          chosen == ':' ? "The flag needs a value." : "There is no such flag.");
          continue;
        }
      given[chosen - 1] = true;
      store_setting (ctx, &settings[chosen - 1], settings[chosen - 1].name,
                     optarg == NULL ? "true" : optarg, values, findings);
    }
  if (first_operand != NULL)
    *first_operand = optind;
  else
    for (int i = optind; i < argc; i++)
      bt_add_finding (ctx, findings, argv[i], 0, NULL,
                      "No arguments are expected after the flags.");
  apply_fallbacks (ctx, settings, count, given, values, findings);
  return bt_count_findings (findings) == 0 ? BT_SETTINGS_OK : BT_SETTINGS_BAD;
}

void
bt_print_settings (const bt_setting_t *settings, int32_t count, FILE *out)
{
  char variable[VARIABLE_BYTES];

  for (int32_t i = 0; i < count; i++)
    {
      format_variable (settings[i].name, variable, sizeof variable);
      fprintf (out, "  --%-24s %s\n", settings[i].name, settings[i].help);
      if (settings[i].default_text == NULL)
        fprintf (out, "    %-24s %s, required\n", "", variable);
      else if (settings[i].default_text[0] == '\0')
        fprintf (out, "    %-24s %s\n", "", variable);
      else
        fprintf (out, "    %-24s %s, default %s\n", "", variable, settings[i].default_text);
    }
  fprintf (out, "  --%-24s %s\n  --%-24s %s\n", "help", "Print this text and exit.", "version",
           "Print the version and exit.");
}
