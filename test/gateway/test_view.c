#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "view.h"

enum
{
  MAX_ITEMS = 8,
  VALUE_BYTES = 512,
};

static bt_context_t *ctx;
static bt_kv_pair_t pairs[MAX_ITEMS];
static char keys[MAX_ITEMS][VALUE_BYTES];
static char values[MAX_ITEMS][VALUE_BYTES];
static bt_kv_range_t range;

static void
reset_items (void)
{
  memset (pairs, 0, sizeof pairs);
  memset (&range, 0, sizeof range);
  range.pairs = pairs;
}

static void
add_item (const char *key, const char *value, int64_t created)
{
  bt_kv_pair_t *pair = &pairs[range.count];

  snprintf (keys[range.count], VALUE_BYTES, "%s", key);
  snprintf (values[range.count], VALUE_BYTES, "%s", value);
  pair->key = keys[range.count];
  pair->value = values[range.count];
  pair->value_bytes = strlen (value);
  pair->create_revision = created;
  pair->mod_revision = created;
  range.revision = created;
  range.count++;
}

/* Adds the item of an endpoint. @p born is its start time; 0: it does not state one. */
static void
add_endpoint (const char *id, const char *address, long long born, int64_t created)
{
  char key[VALUE_BYTES];
  char value[VALUE_BYTES];
  char start[VALUE_BYTES] = "";

  snprintf (key, sizeof key, "servers/%s", id);
  if (born != 0)
    snprintf (start, sizeof start, ",\"born\":%lld", born);
  snprintf (value, sizeof value,
            "{\"service\":\"svc\",\"address\":\"%s\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1%.64s}",
            address, start);
  add_item (key, value, created);
}

static bt_view_t *
make_view (const bt_view_t *before)
{
  return bt_new_view (ctx, bt_get_platform (), &range, 1, before);
}

static bool
is_listed (const bt_view_t *view, const char *id)
{
  for (int32_t i = 0; i < view->endpoint_count; i++)
    if (strcmp (view->endpoints[i].id, id) == 0)
      return true;
  return false;
}

/* Two processes use one address in turn. The process that was listed first restarts under its id,
 * so its item keeps the older creation revision. It listens at the address and must be the one
 * listed. */
static void
test_latest_start_holds_the_address (void)
{
  bt_view_t *view;

  reset_items ();
  add_endpoint ("i-1", "127.0.0.1:1", 300, 10);
  add_endpoint ("i-2", "127.0.0.1:1", 200, 20);
  view = make_view (NULL);
  CU_ASSERT_TRUE (is_listed (view, "i-1"));
  CU_ASSERT_FALSE (is_listed (view, "i-2"));
  bt_drop_view (ctx, view);
}

/* Endpoints of older software do not state their start time. Then the item that was created last
 * must keep the address, and a mix of both must never remove all endpoints at an address. */
static void
test_without_start_times_the_last_created_item_holds_the_address (void)
{
  bt_view_t *view;

  reset_items ();
  add_endpoint ("i-1", "127.0.0.1:1", 0, 10);
  add_endpoint ("i-2", "127.0.0.1:1", 0, 20);
  view = make_view (NULL);
  CU_ASSERT_EQUAL (view->endpoint_count, 1);
  CU_ASSERT_TRUE (is_listed (view, "i-2"));
  bt_drop_view (ctx, view);
  reset_items ();
  add_endpoint ("i-1", "127.0.0.1:1", 100, 30);
  add_endpoint ("i-2", "127.0.0.1:1", 0, 20);
  add_endpoint ("i-3", "127.0.0.1:1", 200, 10);
  view = make_view (NULL);
  CU_ASSERT_EQUAL (view->endpoint_count, 1);
  bt_drop_view (ctx, view);
}

static const char *const configuration =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],\"tenants\":[],\"routes\":[],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

/* Another program copies a valid endpoint's item under another key, with a service that is not
 * declared. The copy was created later at the same address. If it were accepted, the valid endpoint
 * would be treated as an earlier process there and get no requests. The configuration may be the
 * last item. */
static void
test_undeclared_app_holds_no_address (void)
{
  bt_view_t *view;

  reset_items ();
  add_endpoint ("i-1", "127.0.0.1:1", 300, 10);
  add_item ("servers/i-2",
            "{\"service\":\"other\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"version\":\"v1\","
            "\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":400}",
            20);
  add_item ("servers/i-3", "{\"address\":\"127.0.0.1:1\",\"service\":\"svc\",\"born\":500}", 30);
  add_item ("op/config", configuration, 40);
  view = make_view (NULL);
  CU_ASSERT_PTR_NOT_NULL (view->declarations);
  CU_ASSERT_EQUAL (view->endpoint_count, 1);
  CU_ASSERT_TRUE (is_listed (view, "i-1"));
  CU_ASSERT_EQUAL (view->skipped_count, 2);
  bt_drop_view (ctx, view);
}

/* Counts the log lines about items that are not valid endpoints. */
static int32_t
count_lines (FILE *log)
{
  char line[2 * VALUE_BYTES];
  int32_t lines = 0;

  rewind (log);
  while (fgets (line, sizeof line, log) != NULL)
    lines += strstr (line, "endpoint-unreadable") != NULL ? 1 : 0;
  return lines;
}

/* Creates views in sequence while standard output is captured, and counts the log lines about
 * invalid endpoints. */
static int32_t
count_logged (int32_t views, int64_t revision_step)
{
  bt_view_t *summary = NULL;
  FILE *log = tmpfile ();
  int saved = dup (STDOUT_FILENO);
  int32_t lines;

  fflush (stdout);
  dup2 (fileno (log), STDOUT_FILENO);
  for (int32_t i = 0; i < views; i++)
    {
      bt_view_t *view = make_view (summary);

      bt_drop_view (ctx, summary);
      summary = bt_copy_view_summary (ctx, view);
      bt_drop_view (ctx, view);
      pairs[1].mod_revision += revision_step;
    }
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  bt_drop_view (ctx, summary);
  lines = count_lines (log);
  fclose (log);
  return lines;
}

/* Invalid items stay in the store, and each change there creates a view. The log must hold one line
 * for each revision of an invalid item, not one for each view. */
static void
test_invalid_item_is_logged_once_per_revision (void)
{
  reset_items ();
  add_item ("servers/x-1", "[]", 10);
  add_item ("servers/x-2", "\xff", 20);
  add_endpoint ("i-1", "127.0.0.1:1", 300, 30);
  add_item ("servers/x-3", "{}", 40);
  CU_ASSERT_EQUAL (count_logged (10, 0), 3);
  CU_ASSERT_EQUAL (count_logged (10, 1), 12);
}

/* Another program writes invalid values under the keys of the entry instances and the leader.
 * Without a check they would be advertised to callers as addresses, or connected to. */
static void
test_invalid_entry_values_are_skipped (void)
{
  static const char *const others[] = {
    "",
    "[]",
    "{}",
    "\xff\xfe",
    "{\"incarnation\":\"00000000000000aa\",\"callers\":\"host\",\"links\":\"\","
    "\"failure_domain\":\"a\"}",
    "{\"incarnation\":\"00000000000000aa\",\"callers\":7,\"links\":\"\","
    "\"failure_domain\":\"a\"}",
    "{\"incarnation\":170,\"callers\":\"10.0.0.1:80\",\"links\":\"\","
    "\"failure_domain\":\"a\"}",
    "{\"incarnation\":\"xyz\",\"callers\":\"10.0.0.1:80\",\"links\":\"\","
    "\"failure_domain\":\"a\"}",
    "{\"incarnation\":\"00000000000000aa\",\"callers\":\"10.0.0.1:80\",\"links\":\"x\","
    "\"failure_domain\":\"a\"}"
  };
  bt_listed_entry_t entry = {
    .callers = "10.0.0.2:80", .links = "", .failure_domain = "a", .cores = 0.24
  };
  char *text = bt_write_listed_entry (ctx, &entry);
  bt_view_t *view;

  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    {
      reset_items ();
      add_item ("bilberrytray/entries/other", others[i], 10);
      add_item ("bilberrytray/entries/own", text, 20);
      add_item ("bilberrytray/maps/groups/controller",
                "a name that is far too long for any instance, or no name at all: {\"x\":[1,2,3]}",
                30);
      view = make_view (NULL);
      CU_ASSERT_EQUAL (view->entry_count, 1);
      CU_ASSERT_STRING_EQUAL (view->entries[0].callers, "10.0.0.2:80");
      CU_ASSERT_DOUBLE_EQUAL (view->entries[0].cores, 0.24, 1e-9);
      CU_ASSERT_STRING_EQUAL (view->leader, "");
      bt_drop_view (ctx, view);
    }
  bt_free (ctx, text);
}

/* Other programs may write items under the prefix of crashes. Invalid ones must be skipped. */
static void
test_valid_crashes_are_read_and_others_skipped (void)
{
  bt_view_t *view;

  reset_items ();
  add_item ("bilberrytray/crashes/a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/17/i-1", "gateway-0", 10);
  add_item ("bilberrytray/crashes/of another kind", "", 20);
  add_item ("bilberrytray/crashes/a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/18/i-2", "", 30);
  view = make_view (NULL);
  CU_ASSERT_EQUAL_FATAL (view->crash_count, 2);
  CU_ASSERT_EQUAL (view->crashes[0].revision, 10);
  CU_ASSERT_STRING_EQUAL (view->crashes[1].crash.endpoint.instance, "i-2");
  CU_ASSERT_EQUAL (view->crashes[1].crash.endpoint.incarnation, 18);
  CU_ASSERT_EQUAL (view->skipped_count, 1);
  bt_drop_view (ctx, view);
}

/* Guards against decoding all items for each change: an item that has not changed is taken from the
 * previous view, and a changed one is decoded, wherever the two stand. */
static void
test_only_changed_items_are_decoded (void)
{
  bt_listed_entry_t entry = {
    .callers = "10.0.0.2:80", .links = "", .failure_domain = "a", .cores = 0.24
  };
  char *text = bt_write_listed_entry (ctx, &entry);
  bt_view_t *first;
  bt_view_t *summary;
  bt_view_t *second;

  reset_items ();
  add_endpoint ("i-1", "127.0.0.1:1", 300, 10);
  add_endpoint ("i-2", "127.0.0.1:2", 300, 20);
  add_endpoint ("i-3", "127.0.0.1:3", 300, 30);
  add_item ("bilberrytray/entries/own", text, 40);
  first = make_view (NULL);
  summary = bt_copy_view_summary (ctx, first);
  /* Text that can't be decoded shows that the items were not decoded again. */
  reset_items ();
  add_endpoint ("i-0", "127.0.0.1:4", 300, 50);
  add_endpoint ("i-2", "127.0.0.1:5", 300, 60);
  add_item ("servers/i-3", "unread", 30);
  add_item ("servers/i-1", "unread", 10);
  add_item ("bilberrytray/entries/own", "unread", 40);
  second = make_view (summary);
  CU_ASSERT_EQUAL (second->endpoint_count, 4);
  CU_ASSERT_EQUAL (second->skipped_count, 0);
  CU_ASSERT_EQUAL (second->entry_count, 1);
  CU_ASSERT_STRING_EQUAL (second->entries[0].callers, "10.0.0.2:80");
  for (int32_t i = 0; i < second->endpoint_count; i++)
    if (strcmp (second->endpoints[i].id, "i-2") == 0)
      CU_ASSERT_STRING_EQUAL (second->endpoints[i].address, "127.0.0.1:5");
  bt_drop_view (ctx, first);
  bt_drop_view (ctx, summary);
  bt_drop_view (ctx, second);
  bt_free (ctx, text);
}

/* Guards against the state of an endpoint from before a restoration of the store: its item was
 * written again with other contents at the same revision, in another era. */
static void
test_items_of_another_era_are_decoded (void)
{
  bt_view_t *first;
  bt_view_t *second;

  reset_items ();
  add_endpoint ("i-1", "127.0.0.1:1", 300, 10);
  add_item ("op/config", "{\"version\":3,\"services\":[{\"name\":\"svc\"}],\"routes\":[]}", 11);
  first = make_view (NULL);
  reset_items ();
  range.era = 2;
  add_endpoint ("i-1", "127.0.0.1:2", 300, 10);
  add_item ("op/config", "{\"version\":4,\"services\":[{\"name\":\"svc\"}],\"routes\":[]}", 11);
  second = make_view (first);
  CU_ASSERT_EQUAL (second->era, 2);
  CU_ASSERT_EQUAL_FATAL (second->endpoint_count, 1);
  CU_ASSERT_STRING_EQUAL (second->endpoints[0].address, "127.0.0.1:2");
  CU_ASSERT_PTR_NOT_NULL_FATAL (second->declarations);
  CU_ASSERT_EQUAL (second->declarations->revision, 4);
  bt_drop_view (ctx, first);
  bt_drop_view (ctx, second);
}

/* The operators' requests to evacuate failure domains must be read, and a key that names no domain
 * must be skipped. */
static void
test_evacuated_domains_are_read (void)
{
  char key[VALUE_BYTES];
  bt_view_t *view;

  reset_items ();
  add_item ("op/evacuate/b", "", 10);
  add_item ("op/evacuate/", "c", 20);
  snprintf (key, sizeof key, "op/evacuate/%0*d", BT_NAME_BYTES, 0);
  add_item (key, "", 30);
  add_item ("op/evacuate/a", "any value", 40);
  view = make_view (NULL);
  CU_ASSERT_EQUAL (view->evacuations.count, 2);
  CU_ASSERT_TRUE (bt_is_domain_evacuated (&view->evacuations, "a"));
  CU_ASSERT_TRUE (bt_is_domain_evacuated (&view->evacuations, "b"));
  CU_ASSERT_FALSE (bt_is_domain_evacuated (&view->evacuations, "c"));
  CU_ASSERT_EQUAL (view->skipped_count, 2);
  bt_drop_view (ctx, view);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("view", NULL, NULL);
  CU_ADD_TEST (suite, test_latest_start_holds_the_address);
  CU_ADD_TEST (suite, test_without_start_times_the_last_created_item_holds_the_address);
  CU_ADD_TEST (suite, test_undeclared_app_holds_no_address);
  CU_ADD_TEST (suite, test_invalid_item_is_logged_once_per_revision);
  CU_ADD_TEST (suite, test_invalid_entry_values_are_skipped);
  CU_ADD_TEST (suite, test_valid_crashes_are_read_and_others_skipped);
  CU_ADD_TEST (suite, test_only_changed_items_are_decoded);
  CU_ADD_TEST (suite, test_items_of_another_era_are_decoded);
  CU_ADD_TEST (suite, test_evacuated_domains_are_read);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
