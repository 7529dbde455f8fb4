#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "crash_items.h"
#include "retention.h"

enum
{
  MAX_ITEMS = 8,
  VALUE_BYTES = 256,
  NOW_MS = 1000,
  /* Longer than any item that the store lacks is retained. */
  LONG_MS = 60000,
};

/** Items of a store. */
typedef struct item_list
{
  bt_kv_range_t range;
  bt_kv_pair_t pairs[MAX_ITEMS];
  char keys[MAX_ITEMS][VALUE_BYTES];
  char values[MAX_ITEMS][VALUE_BYTES];
} item_list_t;

static bt_context_t *ctx;
static const bt_platform_t *platform;
static bt_retention_t retention;
static bt_removed_keys_t removed;
static item_list_t known;
static item_list_t shown;

static void
add_item (item_list_t *list, const char *key, const char *value, int64_t revision)
{
  int32_t index = list->range.count++;
  bt_kv_pair_t *pair = &list->pairs[index];

  list->range.pairs = list->pairs;
  snprintf (list->keys[index], VALUE_BYTES, "%s", key);
  snprintf (list->values[index], VALUE_BYTES, "%s", value);
  pair->key = list->keys[index];
  pair->value = list->values[index];
  pair->value_bytes = strlen (value);
  pair->mod_revision = revision;
  pair->create_revision = revision;
}

static void
add_configuration (item_list_t *list, int32_t version, int64_t revision)
{
  char value[VALUE_BYTES];

  snprintf (value, sizeof value, "{\"version\":%d}", version);
  add_item (list, "op/config", value, revision);
}

/* @p born_ms 0: the endpoint does not state its start time. */
static void
add_endpoint (item_list_t *list, const char *state, int32_t sequence, int64_t born_ms)
{
  char value[VALUE_BYTES];
  char start[VALUE_BYTES / 4] = "";

  if (born_ms != 0)
    snprintf (start, sizeof start, ",\"born\":%lld", (long long)born_ms);
  snprintf (value, sizeof value,
            "{\"service\":\"svc\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","
            "\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,\"sequence\":%d%s}",
            state, sequence, start);
  add_item (list, "servers/i-1", value, sequence);
}

static void
begin (void)
{
  bt_begin_retention (ctx, &retention, platform, &known.range, &removed, &shown.range, NOW_MS);
}

static void
settle (int64_t now_ms)
{
  bt_settle_retention (ctx, &retention, platform, &shown.range, now_ms);
}

/* Returns the value in force of a key, "" if there is none. */
static const char *
get_in_force (const char *key)
{
  static char value[VALUE_BYTES];
  bt_kv_range_t range = bt_apply_retention (ctx, &retention, &shown.range);

  value[0] = '\0';
  for (int32_t i = 0; i < range.count; i++)
    if (strcmp (range.pairs[i].key, key) == 0)
      snprintf (value, sizeof value, "%s", range.pairs[i].value);
  bt_free (ctx, range.pairs);
  return value;
}

static void
reset (void)
{
  bt_clear_retention (ctx, &retention);
  bt_clear_removed_keys (ctx, &removed);
  memset (&known, 0, sizeof known);
  memset (&shown, 0, sizeof shown);
}

/* Guards against an older configuration: the restored store shows it, and each lost version is
 * written again. Only the version in force or a later one may replace it. */
static void
test_configuration_never_goes_back (void)
{
  reset ();
  add_configuration (&known, 7, 9);
  add_configuration (&shown, 4, 5);
  begin ();
  CU_ASSERT_STRING_EQUAL (get_in_force ("op/config"), "{\"version\":7}");
  shown.range.count = 0;
  add_configuration (&shown, 6, 6);
  settle (NOW_MS + LONG_MS);
  CU_ASSERT_STRING_EQUAL (get_in_force ("op/config"), "{\"version\":7}");
  shown.range.count = 0;
  add_configuration (&shown, 7, 7);
  settle (NOW_MS + LONG_MS);
  CU_ASSERT_EQUAL (retention.count, 0);
  CU_ASSERT_STRING_EQUAL (get_in_force ("op/config"), "{\"version\":7}");
}

/* Guards against serving without a configuration: it was first written after the backup. */
static void
test_missing_configuration_is_kept (void)
{
  reset ();
  add_configuration (&known, 7, 9);
  begin ();
  settle (NOW_MS + LONG_MS);
  CU_ASSERT_STRING_EQUAL (get_in_force ("op/config"), "{\"version\":7}");
}

static void
check_endpoint (const char *known_state,
                int32_t known_sequence,
                int64_t known_born_ms,
                const char *shown_state,
                int32_t sequence,
                int64_t born_ms,
                bool retained)
{
  reset ();
  add_endpoint (&known, known_state, known_sequence, known_born_ms);
  add_endpoint (&shown, shown_state, sequence, born_ms);
  begin ();
  CU_ASSERT_EQUAL (retention.count, retained ? 1 : 0);
}

/* Guards against requests to an endpoint that has announced its leaving, and against ignoring one
 * that says something new. */
static void
test_endpoint_stays_leaving (void)
{
  check_endpoint ("draining", 9, 100, "ready", 7, 100, true);
  check_endpoint ("draining", 9, 200, "ready", 12, 100, true);
  check_endpoint ("draining", 9, 100, "ready", 10, 100, false);
  check_endpoint ("draining", 9, 100, "ready", 1, 200, false);
  check_endpoint ("draining", 9, 200, "ready", 7, 0, true);
  check_endpoint ("draining", 9, 200, "ready", 12, 0, false);
  check_endpoint ("draining", 9, 100, "draining", 7, 100, false);
  check_endpoint ("ready", 9, 100, "draining", 7, 100, false);
  check_endpoint ("ready", 9, 100, "ready", 7, 100, false);
}

/* Guards against requests to an endpoint that is gone. An item that was written again, or that the
 * store still shows after missed heartbeats would have removed it, belongs to one that is alive. */
static void
test_removed_endpoint_stays_removed (void)
{
  reset ();
  bt_add_removed_key (ctx, &removed, "servers/i-1", 9, 0);
  add_endpoint (&shown, "ready", 7, 100);
  begin ();
  CU_ASSERT_STRING_EQUAL (get_in_force ("servers/i-1"), "");
  settle (NOW_MS + LONG_MS);
  CU_ASSERT_STRING_NOT_EQUAL (get_in_force ("servers/i-1"), "");
  begin ();
  shown.pairs[0].mod_revision++;
  settle (NOW_MS);
  CU_ASSERT_STRING_NOT_EQUAL (get_in_force ("servers/i-1"), "");
  shown.pairs[0].mod_revision = 10;
  begin ();
  CU_ASSERT_STRING_NOT_EQUAL (get_in_force ("servers/i-1"), "");
}

/* Guards against the return of an endpoint that another instance has told of: this one has not seen
 * its removal itself, and the store is restored once more. */
static void
test_removal_is_retained_over_two_restorations (void)
{
  bt_retained_item_t item = { .removal = true, .shown_revision = 7, .until_ms = INT64_MAX };

  reset ();
  add_endpoint (&shown, "ready", 7, 100);
  item.pair.key = shown.keys[0];
  bt_add_retained_item (ctx, &retention, platform, &item, &shown.range);
  CU_ASSERT_STRING_EQUAL (get_in_force ("servers/i-1"), "");
  begin ();
  CU_ASSERT_STRING_EQUAL (get_in_force ("servers/i-1"), "");
}

/* Guards against requests to an evacuated failure domain, and against entry instances that callers
 * are no longer told of: their items were written after the backup. */
static void
test_missing_items_are_kept_for_a_while (void)
{
  reset ();
  add_item (&known, "op/evacuate/a", "", 9);
  add_item (&known, "bilberrytray/entries/one", "{}", 9);
  add_item (&known, "bilberrytray/maps/groups/controller", "one", 9);
  add_endpoint (&known, "ready", 7, 100);
  begin ();
  CU_ASSERT_EQUAL (retention.count, 2);
  CU_ASSERT_STRING_EQUAL (get_in_force ("bilberrytray/entries/one"), "{}");
  settle (NOW_MS + LONG_MS);
  CU_ASSERT_EQUAL (retention.count, 0);
}

/* Guards against a crash that returns after it was retracted: its request would be refused again.
 */
static void
test_retracted_crash_stays_retracted (void)
{
  char key[VALUE_BYTES];

  reset ();
  snprintf (key, sizeof key, "%ssomething", bt_crash_prefix);
  bt_add_removed_key (ctx, &removed, key, 9, 0);
  add_item (&shown, key, "{}", 7);
  begin ();
  settle (NOW_MS + LONG_MS);
  CU_ASSERT_STRING_EQUAL (get_in_force (key), "");
}

/* Guards against mistaking a retained item for a later one of the present era, since revisions are
 * assigned again. Its revisions must lie below and keep their order. */
static void
test_retained_revisions_lie_below_the_present_era (void)
{
  reset ();
  add_configuration (&known, 7, 9);
  add_item (&known, "op/evacuate/a", "", 5);
  begin ();
  CU_ASSERT_EQUAL_FATAL (retention.count, 2);
  CU_ASSERT (retention.items[0].pair.mod_revision < 0);
  CU_ASSERT (retention.items[1].pair.create_revision < retention.items[0].pair.create_revision);
}

/* Guards against an instance that starts after the restoration with what the store shows: it takes
 * over what the others retain, but nothing older than its own. */
static void
test_items_of_other_instances_are_taken_over (void)
{
  item_list_t other = { 0 };
  bt_retained_item_t item = { .until_ms = INT64_MAX };

  reset ();
  add_configuration (&shown, 4, 5);
  add_configuration (&other, 7, 9);
  item.pair = other.pairs[0];
  bt_add_retained_item (ctx, &retention, platform, &item, &shown.range);
  CU_ASSERT_STRING_EQUAL (get_in_force ("op/config"), "{\"version\":7}");
  add_configuration (&other, 6, 8);
  item.pair = other.pairs[1];
  bt_add_retained_item (ctx, &retention, platform, &item, &shown.range);
  CU_ASSERT_STRING_EQUAL (get_in_force ("op/config"), "{\"version\":7}");
  add_configuration (&other, 3, 3);
  reset ();
  add_configuration (&shown, 4, 5);
  item.pair = other.pairs[2];
  bt_add_retained_item (ctx, &retention, platform, &item, &shown.range);
  CU_ASSERT_EQUAL (retention.count, 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  platform = bt_get_platform ();
  CU_initialize_registry ();
  suite = CU_add_suite ("retention", NULL, NULL);
  CU_ADD_TEST (suite, test_configuration_never_goes_back);
  CU_ADD_TEST (suite, test_missing_configuration_is_kept);
  CU_ADD_TEST (suite, test_endpoint_stays_leaving);
  CU_ADD_TEST (suite, test_removed_endpoint_stays_removed);
  CU_ADD_TEST (suite, test_removal_is_retained_over_two_restorations);
  CU_ADD_TEST (suite, test_missing_items_are_kept_for_a_while);
  CU_ADD_TEST (suite, test_retracted_crash_stays_retracted);
  CU_ADD_TEST (suite, test_retained_revisions_lie_below_the_present_era);
  CU_ADD_TEST (suite, test_items_of_other_instances_are_taken_over);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  reset ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
