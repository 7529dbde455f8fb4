#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/core/membership.h"

enum
{
  ENTRIES = 4,
  LATER_MS = 20000,
};

typedef struct fixture
{
  bt_context_t *ctx;
  bt_membership_t *membership;
  bt_listed_instance_t listed[ENTRIES];
} fixture_t;

static bt_link_result_t
open_link (fixture_t *fixture, const char *instance, uint64_t incarnation, int64_t now_ms)
{
  bt_member_hello_t hello = { .role = BT_LISTED_ENTRY, .address = "", .failure_domain = "hall-0" };
  bt_link_result_t result;
  uint64_t replaced;

  bt_copy_name (hello.identity.instance, instance);
  hello.identity.incarnation = incarnation;
  result = bt_open_member_link (fixture->ctx, fixture->membership, &hello, now_ms, &replaced);
  bt_handle_member_heartbeat (fixture->membership, &hello.identity, false, true, now_ms);
  return result;
}

static void
open_fixture (fixture_t *fixture, bool trust_list)
{
  bt_membership_settings_t settings = bt_get_default_membership_settings ();
  bt_identity_t self = { "entry-0", 1 };

  settings.trust_list = trust_list;
  memset (fixture, 0, sizeof *fixture);
  fixture->ctx = bt_new_context ();
  fixture->membership = bt_new_membership (fixture->ctx, &self, BT_LISTED_ENTRY, &settings);
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      bt_listed_instance_t *listed = &fixture->listed[i];

      snprintf (listed->instance, BT_NAME_BYTES, "entry-%d", (int)i);
      snprintf (listed->address, BT_ADDRESS_BYTES, "127.0.0.1:%d", 7000 + (int)i);
      snprintf (listed->http, BT_ADDRESS_BYTES, "127.0.0.1:%d", 8000 + (int)i);
      snprintf (listed->failure_domain, BT_NAME_BYTES, "hall-%d", (int)(i % 3));
    }
  bt_apply_member_list (fixture->ctx, fixture->membership, 5, fixture->listed, ENTRIES, 0);
  bt_set_self_admitting (fixture->membership, true);
  open_link (fixture, "entry-2", 7, 0);
  open_link (fixture, "entry-3", 8, 0);
}

static void
close_fixture (fixture_t *fixture)
{
  bt_drop_membership (fixture->ctx, fixture->membership);
  bt_drop_context (fixture->ctx);
}

static bool
is_advertised (const fixture_t *fixture, const char *instance, int64_t now_ms)
{
  const bt_member_t *chosen[ENTRIES];
  int32_t count =
      bt_choose_addresses (fixture->ctx, fixture->membership, 7, now_ms, ENTRIES, chosen);

  for (int32_t i = 0; i < count; i++)
    if (strcmp (chosen[i]->listed.instance, instance) == 0)
      return true;
  return false;
}

static void
open_with_dead_entry (fixture_t *fixture, bool trust_list)
{
  bt_identity_t peer = { "entry-1", 9 };

  open_fixture (fixture, trust_list);
  open_link (fixture, "entry-1", 9, 0);
  CU_ASSERT_TRUE (is_advertised (fixture, "entry-1", 100));
  bt_close_member_link (fixture->ctx, fixture->membership, &peer);
  bt_apply_member_list (fixture->ctx, fixture->membership, 6, fixture->listed, ENTRIES, 200);
}

/* Guards against callers that are sent to a dead entry: the list still names it for a while, but
 * its link has closed. After it reconnects, callers are sent to it again. */
static void
test_link_state_overrides_list (void)
{
  fixture_t fixture;

  open_with_dead_entry (&fixture, false);
  CU_ASSERT_FALSE (is_advertised (&fixture, "entry-1", 300));
  CU_ASSERT_TRUE (is_advertised (&fixture, "entry-2", 300));
  open_link (&fixture, "entry-1", 10, 400);
  CU_ASSERT_TRUE (is_advertised (&fixture, "entry-1", 500));
  CU_ASSERT_FALSE (is_advertised (&fixture, "entry-1", LATER_MS));
  close_fixture (&fixture);
  open_with_dead_entry (&fixture, true);
  CU_ASSERT_TRUE (is_advertised (&fixture, "entry-1", 300));
  close_fixture (&fixture);
}

/* Guards against callers that are sent to a leaving entry, which the list still shows as live. A
 * heartbeat that was sent before the entry began to leave and arrives late must not make it
 * advertised again; a new incarnation does. */
static void
test_leaving_entry_is_not_advertised (void)
{
  bt_identity_t peer = { "entry-1", 9 };
  fixture_t fixture;

  open_fixture (&fixture, false);
  open_link (&fixture, "entry-1", 9, 0);
  bt_handle_member_heartbeat (fixture.membership, &peer, true, true, 100);
  bt_handle_member_heartbeat (fixture.membership, &peer, false, true, 200);
  CU_ASSERT_FALSE (is_advertised (&fixture, "entry-1", 300));
  CU_ASSERT_EQUAL (open_link (&fixture, "entry-1", 10, 400), BT_LINK_REPLACES);
  CU_ASSERT_TRUE (is_advertised (&fixture, "entry-1", 500));
  fixture.listed[2].leaving = true;
  bt_apply_member_list (fixture.ctx, fixture.membership, 7, fixture.listed, ENTRIES, 600);
  CU_ASSERT_FALSE (is_advertised (&fixture, "entry-2", 700));
  bt_set_self_leaving (fixture.membership, 800);
  CU_ASSERT_FALSE (is_advertised (&fixture, "entry-0", 900));
  CU_ASSERT_FALSE (bt_are_answers_expired (fixture.membership, 900));
  CU_ASSERT_TRUE (bt_are_answers_expired (fixture.membership, LATER_MS));
  close_fixture (&fixture);
}

/* Guards against a partitioned process that reconnects after its replacement took over. Accepted as
 * the live one, it would get requests and answer for records that it does not have. */
static void
test_replaced_incarnation_is_refused (void)
{
  bt_identity_t old = { "entry-1", 9 };
  fixture_t fixture;

  open_fixture (&fixture, false);
  CU_ASSERT_EQUAL (open_link (&fixture, "entry-1", 9, 0), BT_LINK_NEW);
  CU_ASSERT_EQUAL (open_link (&fixture, "entry-1", 10, 100), BT_LINK_REPLACES);
  CU_ASSERT_EQUAL (open_link (&fixture, "entry-1", 9, 200), BT_LINK_REFUSED);
  bt_close_member_link (fixture.ctx, fixture.membership, &old);
  CU_ASSERT_TRUE (bt_find_member (fixture.membership, "entry-1")->linked);
  close_fixture (&fixture);
}

/* Guards against callers that reach the wrong instance at a reused address. In a large fleet most
 * entries have no link here and are known from the list only. When dialling one of them meets
 * another instance, it must not be advertised to callers until the list has a new address for it.
 */
static void
test_reused_address_is_not_advertised (void)
{
  enum
  {
    MANY = 60,
  };
  bt_listed_instance_t listed[MANY];
  const bt_member_t *unlinked = NULL;
  fixture_t fixture;
  int32_t neighbor_count = 0;

  open_fixture (&fixture, false);
  for (int32_t i = 0; i < MANY; i++)
    {
      listed[i] = fixture.listed[i % ENTRIES];
      snprintf (listed[i].instance, BT_NAME_BYTES, "entry-%d", (int)i);
    }
  bt_apply_member_list (fixture.ctx, fixture.membership, 6, listed, MANY, 100);
  for (int32_t i = 0; i < MANY; i++)
    {
      const bt_member_t *member = bt_get_member (fixture.membership, i);

      neighbor_count += member->is_neighbor ? 1 : 0;
      if (!member->is_neighbor && !member->linked)
        unlinked = member;
    }
  CU_ASSERT_TRUE (neighbor_count >= 7 && neighbor_count <= MANY / 2);
  CU_ASSERT_TRUE (bt_is_member_live (fixture.membership, unlinked, 200));
  bt_note_wrong_instance (fixture.membership, unlinked->listed.instance);
  CU_ASSERT_FALSE (bt_is_member_live (fixture.membership, unlinked, 200));
  for (int32_t i = 0; i < MANY; i++)
    snprintf (listed[i].address, BT_ADDRESS_BYTES, "127.0.0.1:%d", 7100 + (int)i);
  bt_apply_member_list (fixture.ctx, fixture.membership, 7, listed, MANY, 300);
  CU_ASSERT_TRUE (bt_is_member_live (fixture.membership, unlinked, 400));
  close_fixture (&fixture);
}

/* Guards against instances that are gone and come back through a lagging replica of the list. If
 * the list's revisions really start again, the lower revision is accepted after a while. */
static void
test_older_list_is_rejected (void)
{
  fixture_t fixture;

  open_fixture (&fixture, false);
  CU_ASSERT_TRUE (
      bt_apply_member_list (fixture.ctx, fixture.membership, 8, fixture.listed, ENTRIES - 1, 100));
  CU_ASSERT_FALSE (
      bt_apply_member_list (fixture.ctx, fixture.membership, 7, fixture.listed, ENTRIES, 200));
  CU_ASSERT_FALSE (bt_find_member (fixture.membership, "entry-3")->is_listed);
  CU_ASSERT_TRUE (bt_apply_member_list (fixture.ctx, fixture.membership, 1, fixture.listed, ENTRIES,
                                        (int64_t)5 * LATER_MS));
  close_fixture (&fixture);
}

/* Guards against callers that are sent to an entry which refuses all requests, because it was
 * started without rules during an outage or is partitioned, although its links are up. It is
 * advertised only if there are no others. */
static void
test_entry_without_configuration_is_not_advertised (void)
{
  bt_identity_t peer = { "entry-2", 7 };
  bt_identity_t other = { "entry-3", 8 };
  fixture_t fixture;

  open_fixture (&fixture, false);
  bt_handle_member_heartbeat (fixture.membership, &peer, false, false, 100);
  CU_ASSERT_FALSE (is_advertised (&fixture, "entry-2", 200));
  CU_ASSERT_TRUE (is_advertised (&fixture, "entry-3", 200));
  bt_handle_member_heartbeat (fixture.membership, &other, false, false, 300);
  bt_set_self_admitting (fixture.membership, false);
  CU_ASSERT_TRUE (is_advertised (&fixture, "entry-2", 400));
  close_fixture (&fixture);
}

/* Guards against sending all callers of one moment to the same entry first. */
static void
test_first_addresses_are_spread_over_entries (void)
{
  int32_t first[ENTRIES] = { 0 };
  fixture_t fixture;

  open_fixture (&fixture, false);
  open_link (&fixture, "entry-1", 9, 0);
  for (uint64_t seed = 0; seed < 400; seed++)
    {
      const bt_member_t *chosen[2];

      CU_ASSERT_EQUAL (bt_choose_addresses (fixture.ctx, fixture.membership, seed, 100, 2, chosen),
                       2);
      first[chosen[0]->listed.instance[6] - '0']++;
    }
  for (int32_t i = 0; i < ENTRIES; i++)
    CU_ASSERT_TRUE (first[i] > 50 && first[i] < 200);
  close_fixture (&fixture);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("membership", NULL, NULL);
  CU_ADD_TEST (suite, test_link_state_overrides_list);
  CU_ADD_TEST (suite, test_leaving_entry_is_not_advertised);
  CU_ADD_TEST (suite, test_replaced_incarnation_is_refused);
  CU_ADD_TEST (suite, test_reused_address_is_not_advertised);
  CU_ADD_TEST (suite, test_older_list_is_rejected);
  CU_ADD_TEST (suite, test_entry_without_configuration_is_not_advertised);
  CU_ADD_TEST (suite, test_first_addresses_are_spread_over_entries);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
