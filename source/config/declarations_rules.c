#include <stdio.h>
#include <string.h>

#include "bilberrytray/config/rule.h"
#include "declarations_private.h"

enum
{
  MAX_DEADLINE_MS = 3600000,
  MAX_RETRIES = 5,
  DEFAULT_RETRIES = 2,
  MAX_PER_S = 1000000,
  MAX_BODY_BYTES = 1 << 30,
  MAX_PREFIX_BYTES = 65536,
};

static void
check_accounts (bt_json_reader_t *reader,
                const char *path,
                const bt_rule_when_t *when,
                const bt_declarations_t *declarations)
{
  char field_path[BT_JSON_PATH_BYTES];

  bt_join_json_path (field_path, path, "account");
  for (int32_t i = 0; i < when->account_count; i++)
    if (bt_find_account (declarations, when->accounts[i]) < 0)
      bt_add_json_finding (reader, field_path, "There is no account \"%s\".", when->accounts[i]);
}

static void
check_apps (bt_json_reader_t *reader,
            const char *path,
            const bt_rule_when_t *when,
            const bt_declarations_t *declarations)
{
  char field_path[BT_JSON_PATH_BYTES];

  bt_join_json_path (field_path, path, "app");
  for (int32_t i = 0; i < when->app_count; i++)
    if (bt_find_app (declarations, when->apps[i]) < 0)
      bt_add_json_finding (reader, field_path, "There is no app \"%s\".", when->apps[i]);
}

static void
read_path (bt_json_reader_t *reader, const json_t *object, const char *path, bt_rule_when_t *when)
{
  char field_path[BT_JSON_PATH_BYTES];
  const char *star;

  when->path = bt_read_json_string (reader, object, path, "path");
  if (when->path == NULL)
    return;
  bt_join_json_path (field_path, path, "path");
  star = strchr (when->path, '*');
  if (when->path[0] != '/')
    bt_add_json_finding (reader, field_path, "A path starts with '/'.");
  else if (star != NULL && star[1] != '\0')
    bt_add_json_finding (reader, field_path, "'*' is allowed only at the end.");
}

static void
read_headers (bt_json_reader_t *reader,
              const json_t *object,
              const char *path,
              bt_rule_when_t *when)
{
  const json_t *headers = bt_get_json_object (reader, object, path, "headers");
  char field_path[BT_JSON_PATH_BYTES];
  const char *name;
  json_t *value;

  if (headers == NULL)
    return;
  bt_join_json_path (field_path, path, "headers");
  when->headers = bt_calloc (reader->ctx, json_object_size (headers), sizeof *when->headers);
  json_object_foreach ((json_t *)headers, name, value)
  {
    bt_header_condition_t *condition = &when->headers[when->header_count++];

    condition->name = bt_strdup (reader->ctx, name);
    if (!json_is_true (value))
      condition->values =
          bt_read_json_strings (reader, headers, field_path, name, &condition->value_count);
  }
}

static void
read_body_bytes (bt_json_reader_t *reader,
                 const json_t *object,
                 const char *path,
                 bt_rule_when_t *when)
{
  static const char *const fields[] = { "min", "max", NULL };
  const json_t *range = bt_get_json_object (reader, object, path, "body_bytes");
  char field_path[BT_JSON_PATH_BYTES];

  when->max_body_bytes = MAX_BODY_BYTES;
  if (range == NULL)
    return;
  bt_join_json_path (field_path, path, "body_bytes");
  bt_check_json_fields (reader, range, field_path, fields);
  when->min_body_bytes =
      bt_read_json_integer (reader, range, field_path, "min", 0, MAX_BODY_BYTES, 0);
  when->max_body_bytes =
      bt_read_json_integer (reader, range, field_path, "max", 0, MAX_BODY_BYTES, MAX_BODY_BYTES);
  if (when->min_body_bytes > when->max_body_bytes)
    bt_add_json_finding (reader, field_path, "The rule can never match: min is above max.");
}

static void
read_priorities (bt_json_reader_t *reader,
                 const json_t *object,
                 const char *path,
                 bt_rule_when_t *when)
{
  int32_t count;
  char **strings = bt_read_json_strings (reader, object, path, "priority", &count);
  char field_path[BT_JSON_PATH_BYTES];
  bt_priority_t priority;

  bt_join_json_path (field_path, path, "priority");
  for (int32_t i = 0; i < count; i++)
    {
      if (bt_parse_priority (strings[i], &priority))
        when->priorities |= 1U << priority;
      else
        bt_add_json_finding (reader, field_path, "There is no priority \"%s\".", strings[i]);
      bt_free (reader->ctx, strings[i]);
    }
  bt_free (reader->ctx, strings);
}

static void
read_when (bt_json_reader_t *reader,
           const json_t *object,
           const char *path,
           bt_rule_when_t *when,
           const bt_declarations_t *declarations)
{
  static const char *const fields[] = { "account",    "app",        "method",   "path", "headers",
                                        "idempotent", "body_bytes", "priority", NULL };

  when->idempotent = -1;
  when->max_body_bytes = MAX_BODY_BYTES;
  if (object == NULL)
    return;
  bt_check_json_fields (reader, object, path, fields);
  when->accounts = bt_read_json_strings (reader, object, path, "account", &when->account_count);
  when->apps = bt_read_json_strings (reader, object, path, "app", &when->app_count);
  when->methods = bt_read_json_strings (reader, object, path, "method", &when->method_count);
  when->idempotent = bt_read_json_bool (reader, object, path, "idempotent");
  read_path (reader, object, path, when);
  read_headers (reader, object, path, when);
  read_body_bytes (reader, object, path, when);
  read_priorities (reader, object, path, when);
  check_accounts (reader, path, when, declarations);
  check_apps (reader, path, when, declarations);
}

static void
read_limit (bt_json_reader_t *reader, const json_t *object, const char *path, bt_rule_then_t *then)
{
  static const char *const fields[] = { "per_s", "burst", NULL };
  const json_t *limit = bt_get_json_object (reader, object, path, "limit");
  char field_path[BT_JSON_PATH_BYTES];

  if (limit == NULL)
    return;
  bt_join_json_path (field_path, path, "limit");
  bt_check_json_fields (reader, limit, field_path, fields);
  then->limit_per_s = bt_read_json_integer (reader, limit, field_path, "per_s", 1, MAX_PER_S, 0);
  then->limit_burst =
      bt_read_json_integer (reader, limit, field_path, "burst", 1, MAX_PER_S, then->limit_per_s);
  if (then->limit_per_s == 0)
    bt_add_json_finding (reader, field_path, "A limit requires per_s.");
}

static void
read_affinity (bt_json_reader_t *reader,
               const json_t *object,
               const char *path,
               bt_rule_then_t *then)
{
  static const char *const fields[] = { "header", "prefix_bytes", NULL };
  const json_t *affinity = bt_get_json_object (reader, object, path, "affinity");
  char field_path[BT_JSON_PATH_BYTES];

  if (affinity == NULL)
    return;
  bt_join_json_path (field_path, path, "affinity");
  bt_check_json_fields (reader, affinity, field_path, fields);
  then->affinity_header = bt_read_json_string (reader, affinity, field_path, "header");
  then->affinity_prefix_bytes =
      bt_read_json_integer (reader, affinity, field_path, "prefix_bytes", 1, MAX_PREFIX_BYTES, 0);
}

/* Reads what callers expect of the answer; an absent field means false or 0. */
static void
read_answer (bt_json_reader_t *reader, const json_t *object, const char *path, bt_rule_then_t *then)
{
  then->open = bt_read_json_bool (reader, object, path, "open") == 1;
  then->streamed = bt_read_json_bool (reader, object, path, "streamed") == 1;
  then->resumable = bt_read_json_bool (reader, object, path, "resumable") == 1;
  then->aim_ms = bt_read_json_integer (reader, object, path, "aim_ms", 1, MAX_DEADLINE_MS, 0);
  then->pause_ms = bt_read_json_integer (reader, object, path, "pause_ms", 1, MAX_DEADLINE_MS, 0);
  if (then->resumable && !then->streamed)
    bt_add_json_finding (reader, path, "Only a streamed answer can be resumable.");
}

static void
read_route (bt_json_reader_t *reader,
            const json_t *object,
            const char *path,
            bt_rule_then_t *then,
            const bt_declarations_t *declarations)
{
  static const char *const priorities[] = { "low", "normal", "high" };
  static const char *const keys[] = { "optional", "required" };
  char *app = bt_read_json_string (reader, object, path, "app");
  char field_path[BT_JSON_PATH_BYTES];

  then->app = app == NULL ? -1 : bt_find_app (declarations, app);
  bt_join_json_path (field_path, path, "app");
  if (app != NULL && then->app < 0)
    bt_add_json_finding (reader, field_path, "There is no app \"%s\".", app);
  bt_free (reader->ctx, app);
  then->priority =
      bt_read_json_choice (reader, object, path, "priority", priorities, BT_PRIORITY_COUNT, -1);
  then->deadline_ms =
      bt_read_json_integer (reader, object, path, "deadline_ms", 1, MAX_DEADLINE_MS, 0);
  then->idempotent = bt_read_json_bool (reader, object, path, "idempotent");
  then->key_required = bt_read_json_choice (reader, object, path, "key", keys, 2, 0) == 1;
  then->retries = (int32_t)bt_read_json_integer (reader, object, path, "retries", 0, MAX_RETRIES,
                                                 DEFAULT_RETRIES);
  read_limit (reader, object, path, then);
  read_affinity (reader, object, path, then);
  read_answer (reader, object, path, then);
}

static void
read_then (bt_json_reader_t *reader,
           const json_t *object,
           const char *path,
           bt_rule_then_t *then,
           const bt_declarations_t *declarations)
{
  static const char *const route_fields[] = { "action",     "app",      "priority", "deadline_ms",
                                              "idempotent", "key",      "retries",  "limit",
                                              "affinity",   "open",     "streamed", "resumable",
                                              "aim_ms",     "pause_ms", NULL };
  static const char *const refuse_fields[] = { "action", "message", "retry_after_ms", NULL };
  static const char *const actions[] = { "route", "refuse" };

  then->app = then->priority = then->idempotent = -1;
  then->action = (bt_rule_action_t)bt_read_json_choice (reader, object, path, "action", actions, 2,
                                                        BT_ACTION_ROUTE);
  if (json_object_get (object, "action") == NULL)
    bt_add_json_finding (reader, path, "A rule needs an action.");
  bt_check_json_fields (reader, object, path,
                        then->action == BT_ACTION_ROUTE ? route_fields : refuse_fields);
  if (then->action == BT_ACTION_ROUTE)
    {
      read_route (reader, object, path, then, declarations);
      return;
    }
  then->message = bt_read_json_string (reader, object, path, "message");
  then->retry_after_ms =
      bt_read_json_integer (reader, object, path, "retry_after_ms", 0, MAX_DEADLINE_MS, 0);
}

static void
check_reachable (bt_json_reader_t *reader,
                 const char *path,
                 const bt_declarations_t *declarations,
                 const bt_rule_t *rule)
{
  for (int32_t i = 0; i < declarations->rule_count; i++)
    {
      const bt_rule_t *earlier = &declarations->rules[i];

      if (strcmp (earlier->name, rule->name) == 0)
        bt_add_json_finding (reader, path, "The rule \"%s\" is declared twice.", rule->name);
      if (bt_covers_rule (earlier, rule))
        {
          bt_add_json_finding (reader, path,
                               "The rule \"%s\" can never match: \"%s\" matches all of it before.",
                               rule->name, earlier->name);
          return;
        }
    }
}

/* Returns true if a rule matches some requests only. */
static bool
has_condition (const bt_rule_when_t *when)
{
  return when->account_count > 0 || when->app_count > 0 || when->method_count > 0
         || when->path != NULL || when->header_count > 0 || when->idempotent >= 0
         || when->min_body_bytes > 0 || when->max_body_bytes < MAX_BODY_BYTES
         || when->priorities != 0;
}

/* Adds a rule that has findings. It takes the requests of the conditions that could be read, which
 * are then refused: the rules behind it would treat them in another way. Without any such condition
 * it would take all requests, and is left out. */
static void
add_unreadable_rule (bt_json_reader_t *reader,
                     bt_declarations_t *declarations,
                     bt_rule_t *rule,
                     bool when_unreadable)
{
  rule->unreadable = true;
  if (!when_unreadable || has_condition (&rule->when))
    {
      declarations->rule_count++;
      return;
    }
  declarations->rules_incomplete = true;
  bt_clear_rule (reader->ctx, rule);
  memset (rule, 0, sizeof *rule);
}

static void
read_rule (bt_json_reader_t *reader,
           const json_t *object,
           const char *path,
           bt_declarations_t *declarations)
{
  static const char *const fields[] = { "name", "when", "then", NULL };
  bt_rule_t *rule = &declarations->rules[declarations->rule_count];
  int32_t findings_before = bt_count_findings (reader->findings);
  const json_t *when;
  const json_t *then;
  char field_path[BT_JSON_PATH_BYTES];
  bool when_unreadable;

  bt_check_json_fields (reader, object, path, fields);
  bt_read_json_name (reader, object, path, "name", rule->name);
  when = bt_get_json_object (reader, object, path, "when");
  then = bt_get_json_object (reader, object, path, "then");
  bt_join_json_path (field_path, path, "when");
  when_unreadable = bt_count_findings (reader->findings) > findings_before;
  read_when (reader, when, field_path, &rule->when, declarations);
  when_unreadable = when_unreadable || bt_count_findings (reader->findings) > findings_before;
  bt_join_json_path (field_path, path, "then");
  if (then == NULL)
    bt_add_json_finding (reader, path, "A rule needs \"then\".");
  else
    read_then (reader, then, field_path, &rule->then, declarations);
  if (bt_count_findings (reader->findings) > findings_before)
    {
      add_unreadable_rule (reader, declarations, rule, when_unreadable);
      return;
    }
  check_reachable (reader, path, declarations, rule);
  declarations->rule_count++;
}

void
bt_read_rules (bt_json_reader_t *reader, bt_declarations_t *declarations)
{
  const json_t *list = bt_get_json_array (reader, "rules");
  char path[BT_JSON_PATH_BYTES];

  declarations->rules =
      bt_calloc (reader->ctx, json_array_size (list), sizeof *declarations->rules);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *object = json_array_get (list, i);

      snprintf (path, sizeof path, "rules[%zu]", i);
      if (json_is_object (object))
        read_rule (reader, object, path, declarations);
      else
        {
          bt_add_json_finding (reader, path, "Expected an object.");
          declarations->rules_incomplete = true;
        }
    }
}

static void
free_strings (bt_context_t *ctx, char **strings, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    bt_free (ctx, strings[i]);
  bt_free (ctx, strings);
}

void
bt_clear_rule (bt_context_t *ctx, bt_rule_t *rule)
{
  free_strings (ctx, rule->when.accounts, rule->when.account_count);
  free_strings (ctx, rule->when.apps, rule->when.app_count);
  free_strings (ctx, rule->when.methods, rule->when.method_count);
  bt_free (ctx, rule->when.path);
  for (int32_t i = 0; i < rule->when.header_count; i++)
    {
      bt_free (ctx, rule->when.headers[i].name);
      free_strings (ctx, rule->when.headers[i].values, rule->when.headers[i].value_count);
    }
  bt_free (ctx, rule->when.headers);
  bt_free (ctx, rule->then.split);
  bt_free (ctx, rule->then.affinity_header);
  bt_free (ctx, rule->then.message);
}
