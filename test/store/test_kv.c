#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/store/kv.h"
#include "standin_process.h"

typedef struct fixture
{
  bt_context_t *ctx;
  standin_process_t store;
  bt_kv_t *kv;
} fixture_t;

static void
open_fixture (fixture_t *fixture, int64_t total_ms, int64_t calls_per_s, int64_t burst)
{
  bt_kv_settings_t settings;

  fixture->ctx = bt_new_context ();
  bt_set_log_level (fixture->ctx, -1);
  CU_ASSERT_FATAL (start_standin (&fixture->store, "standin-kv"));
  settings = bt_get_default_kv_settings (fixture->store.url);
  settings.total_ms = total_ms;
  settings.rate.calls_per_s = calls_per_s;
  settings.rate.burst = burst;
  settings.rate.backoff_first_ms = 2;
  settings.rate.backoff_last_ms = 4;
  fixture->kv = bt_new_etcd_kv (fixture->ctx, &settings);
}

static void
close_fixture (fixture_t *fixture)
{
  bt_drop_kv (fixture->ctx, fixture->kv);
  stop_standin (&fixture->store);
  bt_drop_context (fixture->ctx);
}

static bool
put_text (fixture_t *fixture, const char *key, const char *text, int64_t *revision)
{
  bt_kv_write_t write = { BT_KV_PUT, key, text, strlen (text), 0 };
  bt_error_t error = { 0 };

  return bt_put_kv (fixture->ctx, fixture->kv, &write, revision, &error);
}

static bool
swap_text (fixture_t *fixture,
           const char *key,
           int64_t base_revision,
           const char *text,
           bt_kv_txn_result_t *result,
           bt_error_t *error)
{
  bt_kv_compare_t compare = { key, base_revision };
  bt_kv_write_t write = { BT_KV_PUT, key, text, strlen (text), 0 };
  bt_kv_txn_t txn = { &compare, 1, &write, 1 };

  return bt_commit_kv (fixture->ctx, fixture->kv, &txn, result, error);
}

/* Copies the value of a key to @p text, or "" if the key is missing or the read failed. Returns the
 * revision of the key, 0 if it is missing, or -1 if the read failed. */
static int64_t
read_text (fixture_t *fixture, const char *key, char text[64])
{
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  int64_t revision = 0;

  text[0] = '\0';
  if (!bt_read_kv (fixture->ctx, fixture->kv, key, false, &range, &error))
    return -1;
  if (range.count == 1)
    {
      snprintf (text, 64, "%s", range.pairs[0].value);
      revision = range.pairs[0].mod_revision;
    }
  bt_drop_kv_range (fixture->ctx, &range);
  return revision;
}

static void
test_reads_and_writes (void)
{
  fixture_t fixture;
  bt_kv_range_t range = { 0 };
  bt_kv_txn_result_t result;
  bt_error_t error = { 0 };
  char text[64];
  int64_t revision = 0;

  open_fixture (&fixture, 3000, 1000, 1000);
  CU_ASSERT_EQUAL (read_text (&fixture, "config/rules", text), 0);
  CU_ASSERT_TRUE (put_text (&fixture, "config/rules", "one", &revision));
  CU_ASSERT_TRUE (put_text (&fixture, "config/models", "", NULL));
  CU_ASSERT_TRUE (put_text (&fixture, "confih", "other", NULL));
  CU_ASSERT_EQUAL (read_text (&fixture, "config/rules", text), revision);
  CU_ASSERT_STRING_EQUAL (text, "one");
  CU_ASSERT_TRUE (bt_read_kv (fixture.ctx, fixture.kv, "config/", true, &range, &error));
  CU_ASSERT_EQUAL (range.count, 2);
  CU_ASSERT_EQUAL (range.revision, revision + 2);
  bt_drop_kv_range (fixture.ctx, &range);
  CU_ASSERT_TRUE (
      bt_read_kv_changes (fixture.ctx, fixture.kv, "config/", revision + 1, &range, &error));
  CU_ASSERT_EQUAL_FATAL (range.count, 1);
  CU_ASSERT_STRING_EQUAL (range.pairs[0].key, "config/models");
  bt_drop_kv_range (fixture.ctx, &range);
  CU_ASSERT_TRUE (swap_text (&fixture, "config/rules", revision, "two", &result, &error));
  CU_ASSERT_TRUE (result.succeeded);
  CU_ASSERT_TRUE (swap_text (&fixture, "config/rules", revision, "three", &result, &error));
  CU_ASSERT_FALSE (result.succeeded);
  CU_ASSERT_TRUE (swap_text (&fixture, "config/rules", 0, "four", &result, &error));
  CU_ASSERT_FALSE (result.succeeded);
  CU_ASSERT_EQUAL (read_text (&fixture, "config/rules", text), revision + 3);
  CU_ASSERT_STRING_EQUAL (text, "two");
  close_fixture (&fixture);
}

/* The store commits a write and the connection breaks before the answer. An operator who publishes
 * a change must not be told that it failed while it is in effect: the error must say that the
 * effect is unknown, and the client must not resend the write by itself. */
static void
test_lost_answer_leaves_effect_unknown (void)
{
  fixture_t fixture;
  bt_kv_txn_result_t result;
  bt_error_t error = { 0 };
  char text[64];
  char stats[256];

  open_fixture (&fixture, 3000, 1000, 1000);
  read_text (&fixture, "config/rules", text);
  CU_ASSERT_TRUE (set_fault (fixture.ctx, &fixture.store,
                             "{\"kind\":\"lost-answer\",\"count\":1,\"match\":\"txn\"}"));
  CU_ASSERT_FALSE (swap_text (&fixture, "config/rules", 0, "one", &result, &error));
  CU_ASSERT_TRUE (bt_is_kv_effect_unknown (&error));
  CU_ASSERT_TRUE (read_text (&fixture, "config/rules", text) > 0);
  CU_ASSERT_STRING_EQUAL (text, "one");
  command_standin (fixture.ctx, &fixture.store, "/stats", NULL, stats, sizeof stats);
  CU_ASSERT_PTR_NOT_NULL (strstr (stats, "\"txn\":1"));
  close_fixture (&fixture);
}

/* A write fails because the store does not listen. The request was never sent, so the error must
 * say that nothing was written. */
static void
test_unreachable_store_has_no_effect (void)
{
  fixture_t fixture;
  bt_kv_txn_result_t result;
  bt_error_t error = { 0 };

  open_fixture (&fixture, 3000, 1000, 1000);
  stop_standin (&fixture.store);
  CU_ASSERT_FALSE (swap_text (&fixture, "config/rules", 0, "one", &result, &error));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_SYSTEM);
  CU_ASSERT_FALSE (bt_is_kv_effect_unknown (&error));
  bt_drop_kv (fixture.ctx, fixture.kv);
  bt_drop_context (fixture.ctx);
}

/* One connection goes silent while the store works for other clients. The call must end at its time
 * limit with an unknown effect, and the next call must succeed. */
static void
test_silent_call_times_out_and_next_succeeds (void)
{
  fixture_t fixture;
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  char text[64];

  open_fixture (&fixture, 500, 1000, 1000);
  CU_ASSERT_TRUE (put_text (&fixture, "config/rules", "one", NULL));
  CU_ASSERT_TRUE (
      set_fault (fixture.ctx, &fixture.store,
                 "{\"kind\":\"slow\",\"count\":1,\"delay_ms\":60000,\"match\":\"range\"}"));
  CU_ASSERT_FALSE (bt_read_kv (fixture.ctx, fixture.kv, "config/", true, &range, &error));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (read_text (&fixture, "config/rules", text) > 0);
  close_fixture (&fixture);
}

/* A watch is confirmed, a key changes, and no event arrives, which looks like a watch without
 * changes. The watch must end at its time limit, and a read afterwards shows the change. */
static void
test_watch_ends_by_event_or_time_limit (void)
{
  fixture_t fixture;
  bt_kv_watch_result_t result = BT_KV_WATCH_COMPACTED;
  bt_error_t error = { 0 };
  int64_t revision = 0;
  char text[64];

  open_fixture (&fixture, 3000, 1000, 1000);
  CU_ASSERT_TRUE (put_text (&fixture, "config/rules", "one", &revision));
  CU_ASSERT_TRUE (
      bt_watch_kv (fixture.ctx, fixture.kv, "config/", revision + 1, 300, &result, &error));
  CU_ASSERT_EQUAL (result, BT_KV_WATCH_NO_EVENTS);
  CU_ASSERT_TRUE (put_text (&fixture, "config/rules", "two", NULL));
  CU_ASSERT_TRUE (
      bt_watch_kv (fixture.ctx, fixture.kv, "config/", revision + 1, 60000, &result, &error));
  CU_ASSERT_EQUAL (result, BT_KV_WATCH_EVENTS);
  set_fault (fixture.ctx, &fixture.store, "{\"kind\":\"silent-watch\",\"match\":\"watch\"}");
  CU_ASSERT_TRUE (
      bt_watch_kv (fixture.ctx, fixture.kv, "config/", revision + 1, 500, &result, &error));
  CU_ASSERT_EQUAL (result, BT_KV_WATCH_NO_EVENTS);
  CU_ASSERT_EQUAL (read_text (&fixture, "config/rules", text), revision + 1);
  close_fixture (&fixture);
}

/* The holder of a lease was paused for longer than the TTL, and its key is gone. Its renewal must
 * fail instead of reviving the lease. */
static void
test_expired_lease_is_not_renewed (void)
{
  fixture_t fixture;
  bt_error_t error = { 0 };
  int64_t lease = 0;
  int64_t ttl_s = 0;
  char text[64];
  bt_kv_write_t write = { BT_KV_PUT, "controller", "me", 2, 0 };

  open_fixture (&fixture, 3000, 1000, 1000);
  CU_ASSERT_TRUE (bt_grant_kv_lease (fixture.ctx, fixture.kv, 1, &lease, &error));
  write.lease = lease;
  CU_ASSERT_TRUE (bt_put_kv (fixture.ctx, fixture.kv, &write, NULL, &error));
  CU_ASSERT_TRUE (bt_renew_kv_lease (fixture.ctx, fixture.kv, lease, &ttl_s, &error));
  CU_ASSERT_EQUAL (ttl_s, 1);
  for (int32_t i = 0; i < 200 && read_text (&fixture, "controller", text) != 0; i++)
    usleep (50000);
  CU_ASSERT_FALSE (bt_renew_kv_lease (fixture.ctx, fixture.kv, lease, &ttl_s, &error));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_NOT_FOUND);
  bt_clear_error (&error);
  CU_ASSERT_TRUE (bt_grant_kv_lease (fixture.ctx, fixture.kv, 100, &write.lease, &error));
  CU_ASSERT_TRUE (bt_put_kv (fixture.ctx, fixture.kv, &write, NULL, &error));
  CU_ASSERT_TRUE (bt_revoke_kv_lease (fixture.ctx, fixture.kv, write.lease, &error));
  CU_ASSERT_EQUAL (read_text (&fixture, "controller", text), 0);
  close_fixture (&fixture);
}

static void
test_stale_read_shows_older_revision (void)
{
  fixture_t fixture;
  char text[64];

  open_fixture (&fixture, 3000, 1000, 1000);
  CU_ASSERT_TRUE (put_text (&fixture, "config/rules", "one", NULL));
  set_fault (fixture.ctx, &fixture.store,
             "{\"kind\":\"stale-read\",\"count\":1,\"match\":\"range\"}");
  CU_ASSERT_TRUE (put_text (&fixture, "config/rules", "two", NULL));
  read_text (&fixture, "config/rules", text);
  CU_ASSERT_STRING_EQUAL (text, "one");
  read_text (&fixture, "config/rules", text);
  CU_ASSERT_STRING_EQUAL (text, "two");
  close_fixture (&fixture);
}

/* Clients that retry without a limit would use up the whole rate of the store. Beyond the rate
 * limit a call must fail locally as not sent, and the store must not receive it. */
static void
test_rate_limit_rejects_calls_locally (void)
{
  fixture_t fixture;
  char text[64];
  char stats[256];

  open_fixture (&fixture, 100, 1, 3);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (read_text (&fixture, "config/rules", text), 0);
  CU_ASSERT_EQUAL (read_text (&fixture, "config/rules", text), -1);
  command_standin (fixture.ctx, &fixture.store, "/stats", NULL, stats, sizeof stats);
  CU_ASSERT_PTR_NOT_NULL (strstr (stats, "\"range\":3"));
  CU_ASSERT_EQUAL (bt_read_counter (bt_find_counter (
                       fixture.ctx, BT_COUNTER, "bilberry_store_calls_total", "", "kind", "range")),
                   3);
  close_fixture (&fixture);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("kv", NULL, NULL);
  CU_ADD_TEST (suite, test_reads_and_writes);
  CU_ADD_TEST (suite, test_lost_answer_leaves_effect_unknown);
  CU_ADD_TEST (suite, test_unreachable_store_has_no_effect);
  CU_ADD_TEST (suite, test_silent_call_times_out_and_next_succeeds);
  CU_ADD_TEST (suite, test_watch_ends_by_event_or_time_limit);
  CU_ADD_TEST (suite, test_expired_lease_is_not_renewed);
  CU_ADD_TEST (suite, test_stale_read_shows_older_revision);
  CU_ADD_TEST (suite, test_rate_limit_rejects_calls_locally);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
