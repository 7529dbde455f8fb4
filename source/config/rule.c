#include "bilberrytray/config/rule.h"

#include <string.h>
#include <strings.h>

static const char *const part_names[] = { "nothing", "account",    "app",        "method",  "path",
                                          "headers", "idempotent", "body_bytes", "priority" };

const char *
bt_name_rule_part (bt_rule_part_t part)
{
  return part_names[part];
}

/* Returns whether a list contains a value; an empty list accepts every value. */
static bool
accepts_value (char *const *values, int32_t count, const char *value)
{
  for (int32_t i = 0; i < count; i++)
    if (strcmp (values[i], value) == 0)
      return true;
  return count == 0;
}

static bool
matches_path (const char *pattern, const char *path)
{
  size_t length;

  if (pattern == NULL)
    return true;
  length = strlen (pattern);
  if (pattern[length - 1] == '*')
    return strncmp (pattern, path, length - 1) == 0;
  return strcmp (pattern, path) == 0;
}

static const char *
find_header (const bt_request_attributes_t *attributes, const char *name)
{
  for (int32_t i = 0; i < attributes->header_count; i++)
    if (strcasecmp (attributes->headers[i].name, name) == 0)
      return attributes->headers[i].value;
  return NULL;
}

static bool
matches_headers (const bt_rule_when_t *when, const bt_request_attributes_t *attributes)
{
  for (int32_t i = 0; i < when->header_count; i++)
    {
      const bt_header_condition_t *condition = &when->headers[i];
      const char *value = find_header (attributes, condition->name);

      if (value == NULL || !accepts_value (condition->values, condition->value_count, value))
        return false;
    }
  return true;
}

bt_rule_part_t
bt_check_rule (const bt_rule_t *rule, const bt_request_attributes_t *attributes)
{
  const bt_rule_when_t *when = &rule->when;

  if (!accepts_value (when->accounts, when->account_count, attributes->account))
    return BT_RULE_PART_ACCOUNT;
  if (!accepts_value (when->apps, when->app_count, attributes->app))
    return BT_RULE_PART_APP;
  if (!accepts_value (when->methods, when->method_count, attributes->method))
    return BT_RULE_PART_METHOD;
  if (!matches_path (when->path, attributes->path))
    return BT_RULE_PART_PATH;
  if (!matches_headers (when, attributes))
    return BT_RULE_PART_HEADERS;
  if (when->idempotent >= 0 && (when->idempotent == 1) != attributes->idempotent)
    return BT_RULE_PART_IDEMPOTENT;
  if (attributes->body_bytes < when->min_body_bytes
      || attributes->body_bytes > when->max_body_bytes)
    return BT_RULE_PART_BODY_BYTES;
  if (when->priorities != 0 && (when->priorities & 1U << attributes->priority) == 0)
    return BT_RULE_PART_PRIORITY;
  return BT_RULE_PART_NONE;
}

int32_t
bt_match_rules (const bt_declarations_t *declarations, const bt_request_attributes_t *attributes)
{
  for (int32_t i = 0; i < declarations->rule_count; i++)
    if (bt_check_rule (&declarations->rules[i], attributes) == BT_RULE_PART_NONE)
      return i;
  return -1;
}

/* Returns whether the list @p wide accepts every value that the list @p narrow accepts. */
static bool
covers_values (char *const *wide, int32_t wide_count, char *const *narrow, int32_t narrow_count)
{
  if (wide_count == 0)
    return true;
  if (narrow_count == 0)
    return false;
  for (int32_t i = 0; i < narrow_count; i++)
    if (!accepts_value (wide, wide_count, narrow[i]))
      return false;
  return true;
}

static bool
covers_path (const char *wide, const char *narrow)
{
  size_t length;

  if (wide == NULL)
    return true;
  if (narrow == NULL)
    return false;
  length = strlen (wide);
  if (wide[length - 1] == '*')
    return strncmp (wide, narrow, length - 1) == 0;
  return strcmp (wide, narrow) == 0;
}

static const bt_header_condition_t *
find_condition (const bt_rule_when_t *when, const char *name)
{
  for (int32_t i = 0; i < when->header_count; i++)
    if (strcasecmp (when->headers[i].name, name) == 0)
      return &when->headers[i];
  return NULL;
}

static bool
covers_headers (const bt_rule_when_t *wide, const bt_rule_when_t *narrow)
{
  for (int32_t i = 0; i < wide->header_count; i++)
    {
      const bt_header_condition_t *condition = &wide->headers[i];
      const bt_header_condition_t *other = find_condition (narrow, condition->name);

      if (other == NULL
          || !covers_values (condition->values, condition->value_count, other->values,
                             other->value_count))
        return false;
    }
  return true;
}

bool
bt_covers_rule (const bt_rule_t *earlier, const bt_rule_t *later)
{
  const bt_rule_when_t *wide = &earlier->when;
  const bt_rule_when_t *narrow = &later->when;

  return covers_values (wide->accounts, wide->account_count, narrow->accounts,
                        narrow->account_count)
         && covers_values (wide->apps, wide->app_count, narrow->apps, narrow->app_count)
         && covers_values (wide->methods, wide->method_count, narrow->methods, narrow->method_count)
         && covers_path (wide->path, narrow->path) && covers_headers (wide, narrow)
         && (wide->idempotent < 0 || wide->idempotent == narrow->idempotent)
         && wide->min_body_bytes <= narrow->min_body_bytes
         && wide->max_body_bytes >= narrow->max_body_bytes
         && (wide->priorities == 0
             || (narrow->priorities != 0 && (narrow->priorities & ~wide->priorities) == 0));
}

static void
explain_route (const bt_declarations_t *declarations,
               const bt_rule_then_t *then,
               const bt_request_attributes_t *attributes,
               FILE *out)
{
  int32_t app = then->app >= 0 ? then->app : bt_find_app (declarations, attributes->app);
  bool idempotent = then->idempotent >= 0 ? then->idempotent == 1 : attributes->idempotent;
  int32_t priority = then->priority >= 0 ? then->priority : (int32_t)attributes->priority;

  if (app < 0)
    {
      fprintf (out, "  routes to the app the request names, but there is no app \"%s\"\n",
               attributes->app);
      return;
    }
  fprintf (
      out, "  route to %s, priority %s, deadline %lld ms, retries %d, %s%s\n",
      declarations->apps[app].name, bt_name_priority ((bt_priority_t)priority),
      (long long)(then->deadline_ms > 0 ? then->deadline_ms : declarations->apps[app].deadline_ms),
      then->retries, idempotent ? "idempotent" : "not idempotent",
      then->key_required && !idempotent ? ", key required" : "");
  if (then->limit_per_s > 0)
    fprintf (out, "  limit %lld requests a second, %lld at once\n", (long long)then->limit_per_s,
             (long long)then->limit_burst);
  if (then->affinity_header != NULL)
    fprintf (out, "  affinity by the header %s\n", then->affinity_header);
  if (then->affinity_prefix_bytes > 0)
    fprintf (out, "  affinity by the first %lld bytes of the body\n",
             (long long)then->affinity_prefix_bytes);
}

void
bt_explain_rules (const bt_declarations_t *declarations,
                  const bt_request_attributes_t *attributes,
                  FILE *out)
{
  for (int32_t i = 0; i < declarations->rule_count; i++)
    {
      const bt_rule_t *rule = &declarations->rules[i];
      bt_rule_part_t part = bt_check_rule (rule, attributes);

      if (part != BT_RULE_PART_NONE)
        {
          fprintf (out, "rules[%d] %s: does not match, by %s\n", i, rule->name,
                   bt_name_rule_part (part));
          continue;
        }
      fprintf (out, "rules[%d] %s: matches and decides\n", i, rule->name);
      if (rule->then.action == BT_ACTION_ROUTE)
        explain_route (declarations, &rule->then, attributes, out);
      else
        fprintf (out, "  refuse (rule-refused)%s%s\n", rule->then.message == NULL ? "" : ": ",
                 rule->then.message == NULL ? "" : rule->then.message);
      return;
    }
  fprintf (out, "no rule matches: refuse (no-rule)\n");
}
