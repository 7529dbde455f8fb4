#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "view.h"

enum
{
  MOST_ITEMS = 8,
  VALUE_BYTES = 512,
};

static bt_context_t *ctx;
static bt_kv_pair_t pairs[MOST_ITEMS];
static char keys[MOST_ITEMS][VALUE_BYTES];
static char values[MOST_ITEMS][VALUE_BYTES];
static bt_kv_range_t range;

static void
start (void)
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

/* Lists an endpoint; @p born 0: it does not say when it started. */
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

/* Two processes take turns at one address. The one that listed itself first is started again under
 * its id: its entry still bears the revision at which it was made. It is the one that answers. */
static void
test_latest_start_holds_the_address (void)
{
  bt_view_t *view;

  start ();
  add_endpoint ("i-1", "127.0.0.1:1", 300, 10);
  add_endpoint ("i-2", "127.0.0.1:1", 200, 20);
  view = make_view (NULL);
  CU_ASSERT_TRUE (is_listed (view, "i-1"));
  CU_ASSERT_FALSE (is_listed (view, "i-2"));
  bt_drop_view (ctx, view);
}

/* Endpoints of older software do not say when they started. The entry that was made last is the one
 * that holds the address, and never are all of them left out. */
static void
test_without_starts_the_last_entry_holds_the_address (void)
{
  bt_view_t *view;

  start ();
  add_endpoint ("i-1", "127.0.0.1:1", 0, 10);
  add_endpoint ("i-2", "127.0.0.1:1", 0, 20);
  view = make_view (NULL);
  CU_ASSERT_EQUAL (view->endpoint_count, 1);
  CU_ASSERT_TRUE (is_listed (view, "i-2"));
  bt_drop_view (ctx, view);
  start ();
  add_endpoint ("i-1", "127.0.0.1:1", 100, 30);
  add_endpoint ("i-2", "127.0.0.1:1", 0, 20);
  add_endpoint ("i-3", "127.0.0.1:1", 200, 10);
  view = make_view (NULL);
  CU_ASSERT_EQUAL (view->endpoint_count, 1);
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
  CU_ADD_TEST (suite, test_without_starts_the_last_entry_holds_the_address);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
