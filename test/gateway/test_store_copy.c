#include <CUnit/Basic.h>
#include <string.h>

#include "feed_messages.h"
#include "store_copy.h"

static bt_context_t *ctx;

static void
add_pair (bt_kv_range_t *range, const char *key, const char *value, int64_t revision)
{
  bt_kv_pair_t *pair;

  range->pairs = bt_realloc (ctx, range->pairs, (size_t)range->count + 1, sizeof *range->pairs);
  pair = &range->pairs[range->count++];
  memset (pair, 0, sizeof *pair);
  pair->key = bt_strdup (ctx, key);
  pair->value = bt_memdup (ctx, value, strlen (value));
  pair->value_bytes = strlen (value);
  pair->mod_revision = revision;
  pair->create_revision = revision;
}

static void
add_removal (bt_kv_changes_t *changes, const char *key, int64_t revision)
{
  changes->removed = bt_realloc (ctx, changes->removed, (size_t)changes->removed_count + 1,
                                 sizeof *changes->removed);
  changes->removed_revisions =
      bt_realloc (ctx, changes->removed_revisions, (size_t)changes->removed_count + 1,
                  sizeof *changes->removed_revisions);
  changes->removed_revisions[changes->removed_count] = revision;
  changes->removed[changes->removed_count++] = bt_strdup (ctx, key);
}

static bt_store_copy_t *
make_copy (int64_t revision)
{
  bt_store_copy_t *copy = bt_new_store_copy (ctx, bt_get_platform ());
  bt_kv_range_t range = { 0 };

  add_pair (&range, "a", "old", 1);
  add_pair (&range, "b", "old", 2);
  range.revision = revision;
  CU_ASSERT_TRUE (bt_replace_copy (ctx, copy, &range, 0));
  return copy;
}

/** A key to look up in a copy, and the value found. */
typedef struct lookup
{
  const char *key;
  char value[16];
} lookup_t;

static void
find_value (void *data, const bt_kv_range_t *items)
{
  lookup_t *lookup = data;

  for (int32_t i = 0; i < items->count; i++)
    if (strcmp (items->pairs[i].key, lookup->key) == 0)
      strncpy (lookup->value, items->pairs[i].value, sizeof lookup->value - 1);
}

static void
check_value (bt_store_copy_t *copy, const char *key, const char *value)
{
  lookup_t lookup = { key, "" };

  bt_visit_copy_items (ctx, copy, find_value, &lookup);
  CU_ASSERT_STRING_EQUAL (lookup.value, value);
}

/* Passes changes through an encoded message, as a peer does, and applies them to a copy. */
static bt_update_effect_t
send_changes (bt_store_copy_t *copy, int64_t from_revision, bt_kv_changes_t *changes)
{
  Bilberry__StoreItems message;
  bt_store_update_t *update;
  bt_update_effect_t effect;

  bt_write_changes_message (ctx, from_revision, changes, &message);
  update = bt_read_items_message (ctx, &message);
  bt_clear_items_message (ctx, &message);
  effect = bt_apply_update_to_copy (ctx, copy, update, 0);
  bt_drop_store_update (ctx, update);
  bt_drop_kv_changes (ctx, changes);
  return effect;
}

/* A store replica that has not caught up must not replace newer items by older ones. */
static void
test_revision_never_goes_back (void)
{
  bt_store_copy_t *copy = make_copy (9);
  bt_kv_range_t older = { 0 };
  bt_kv_changes_t changes = { 0 };

  add_pair (&older, "a", "older", 1);
  older.revision = 8;
  CU_ASSERT_FALSE (bt_replace_copy (ctx, copy, &older, 0));
  bt_drop_kv_range (ctx, &older);
  add_pair (&changes.written, "a", "older", 5);
  changes.written.revision = 9;
  CU_ASSERT_EQUAL (send_changes (copy, 4, &changes), BT_UPDATE_OLD);
  check_value (copy, "a", "old");
  CU_ASSERT_EQUAL (bt_get_copy_position (copy).revision, 9);
  bt_drop_store_copy (ctx, copy);
}

/* A peer's update starts after the copy's revision, so changes between them are missing. Applying
 * it would lose these changes for good, since they are not sent again. */
static void
test_gap_changes_nothing (void)
{
  bt_store_copy_t *copy = make_copy (9);
  bt_kv_changes_t changes = { 0 };

  add_pair (&changes.written, "a", "new", 12);
  changes.written.revision = 12;
  CU_ASSERT_EQUAL (send_changes (copy, 11, &changes), BT_UPDATE_GAP);
  check_value (copy, "a", "old");
  CU_ASSERT_EQUAL (bt_get_copy_position (copy).revision, 9);
  bt_drop_store_copy (ctx, copy);
}

static void
test_changes_are_applied (void)
{
  bt_store_copy_t *copy = make_copy (9);
  bt_kv_changes_t changes = { 0 };

  add_pair (&changes.written, "a", "new", 10);
  add_pair (&changes.written, "c", "new", 11);
  add_removal (&changes, "b", 12);
  changes.written.revision = 12;
  CU_ASSERT_EQUAL (send_changes (copy, 8, &changes), BT_UPDATE_APPLIED);
  check_value (copy, "a", "new");
  check_value (copy, "b", "");
  check_value (copy, "c", "new");
  CU_ASSERT_EQUAL (bt_get_copy_position (copy).revision, 12);
  bt_drop_store_copy (ctx, copy);
}

/** Arguments and result of send_items. */
typedef struct transfer
{
  bt_store_copy_t *target;
  bt_kv_position_t from;
  bt_update_effect_t effect;
} transfer_t;

static void
send_items (void *data, const bt_kv_range_t *items, const bt_retention_t *retained)
{
  transfer_t *transfer = data;
  Bilberry__StoreItems message;
  bt_store_update_t *update;

  bt_write_items_message (ctx, transfer->from, items, retained, 0, &message);
  update = bt_read_items_message (ctx, &message);
  bt_clear_items_message (ctx, &message);
  transfer->effect = bt_apply_update_to_copy (ctx, transfer->target, update, 0);
  bt_drop_store_update (ctx, update);
}

/* A key was removed while an entry was disconnected. The peer that it asks afterwards sends the
 * items that changed since, which do not include removals. The entry must detect the removal from
 * the list of present keys. */
static void
test_removed_key_is_detected_by_absence (void)
{
  bt_store_copy_t *behind = make_copy (9);
  bt_store_copy_t *peer = make_copy (9);
  bt_kv_changes_t changes = { 0 };
  transfer_t transfer = { behind, { 0, 9 }, BT_UPDATE_OLD };

  add_removal (&changes, "b", 10);
  add_pair (&changes.written, "c", "new", 11);
  changes.written.revision = 11;
  bt_apply_changes_to_copy (ctx, peer, &changes, 0);
  bt_drop_kv_changes (ctx, &changes);
  bt_visit_shown_items (peer, send_items, &transfer);
  CU_ASSERT_EQUAL (transfer.effect, BT_UPDATE_APPLIED);
  check_value (behind, "a", "old");
  check_value (behind, "b", "");
  check_value (behind, "c", "new");
  CU_ASSERT_EQUAL (bt_get_copy_position (behind).revision, 11);
  bt_drop_store_copy (ctx, behind);
  bt_drop_store_copy (ctx, peer);
}

/* Returns a copy of a store that was restored: its items are at revision @p revision of era 1. */
static bt_store_copy_t *
make_restored_copy (int64_t revision)
{
  bt_store_copy_t *copy = bt_new_store_copy (ctx, bt_get_platform ());
  bt_kv_range_t range = { .era = 1, .revision = revision };

  add_pair (&range, "a", "written again", revision);
  CU_ASSERT_TRUE (bt_replace_copy (ctx, copy, &range, 0));
  return copy;
}

/* Guards against ignoring a restored store: its revisions are lower than the known ones. */
static void
test_later_era_replaces_higher_revision (void)
{
  bt_store_copy_t *copy = make_copy (9);
  bt_kv_range_t restored = { .era = 1, .revision = 5 };
  bt_kv_range_t late = { .era = 0, .revision = 12 };

  add_pair (&restored, "a", "written again", 5);
  CU_ASSERT_TRUE (bt_replace_copy (ctx, copy, &restored, 0));
  check_value (copy, "a", "written again");
  check_value (copy, "b", "");
  CU_ASSERT_FALSE (bt_replace_copy (ctx, copy, &late, 0));
  CU_ASSERT_EQUAL (bt_get_copy_position (copy).era, 1);
  CU_ASSERT_EQUAL (bt_get_copy_position (copy).revision, 5);
  bt_drop_store_copy (ctx, copy);
}

/* Guards against missing changes: a peer's changes in a later era do not follow the known revision,
 * although their numbers do. The copy must wait for all items. */
static void
test_changes_of_a_later_era_are_a_gap (void)
{
  bt_store_copy_t *copy = make_copy (9);
  bt_store_copy_t *peer = make_restored_copy (11);
  bt_kv_changes_t changes = { .written = { .era = 1, .revision = 11 } };
  transfer_t transfer = { copy, { 0, 9 }, BT_UPDATE_OLD };

  add_pair (&changes.written, "a", "written again", 11);
  CU_ASSERT_EQUAL (send_changes (copy, 9, &changes), BT_UPDATE_GAP);
  check_value (copy, "a", "old");
  bt_visit_shown_items (peer, send_items, &transfer);
  CU_ASSERT_EQUAL (transfer.effect, BT_UPDATE_APPLIED);
  check_value (copy, "a", "written again");
  check_value (copy, "b", "");
  CU_ASSERT_EQUAL (bt_get_copy_position (copy).era, 1);
  bt_drop_store_copy (ctx, copy);
  bt_drop_store_copy (ctx, peer);
}

/* Guards against a peer that has not noticed the restoration, and still sends what it knows. */
static void
test_update_of_an_earlier_era_is_old (void)
{
  bt_store_copy_t *copy = make_restored_copy (5);
  bt_store_copy_t *peer = make_copy (9);
  bt_kv_changes_t changes = { .written = { .era = 0, .revision = 9 } };
  transfer_t transfer = { copy, { 0, 0 }, BT_UPDATE_APPLIED };

  add_pair (&changes.written, "a", "old", 9);
  CU_ASSERT_EQUAL (send_changes (copy, 5, &changes), BT_UPDATE_OLD);
  bt_visit_shown_items (peer, send_items, &transfer);
  CU_ASSERT_EQUAL (transfer.effect, BT_UPDATE_OLD);
  check_value (copy, "a", "written again");
  bt_drop_store_copy (ctx, copy);
  bt_drop_store_copy (ctx, peer);
}

/* Reads an endpoint at a revision of an era; 0: the store does not show it. */
static void
read_endpoint (bt_store_copy_t *copy, int64_t era, int64_t revision, int64_t endpoint_revision)
{
  bt_kv_range_t range = { .era = era, .revision = revision };

  if (endpoint_revision > 0)
    add_pair (&range, "servers/i-1", "ready", endpoint_revision);
  CU_ASSERT_TRUE (bt_replace_copy (ctx, copy, &range, 0));
}

/* Guards against ignoring an endpoint that has registered again: its earlier removal had a higher
 * revision, since the store was restored in between. */
static void
test_endpoint_that_registers_again_is_no_removed_one (void)
{
  bt_store_copy_t *copy = bt_new_store_copy (ctx, bt_get_platform ());
  bt_kv_changes_t changes = { .written = { .era = 2, .revision = 25 } };

  read_endpoint (copy, 1, 10, 5);
  read_endpoint (copy, 1, 60, 0);
  read_endpoint (copy, 2, 20, 0);
  add_pair (&changes.written, "servers/i-1", "ready", 25);
  bt_apply_changes_to_copy (ctx, copy, &changes, 0);
  bt_drop_kv_changes (ctx, &changes);
  read_endpoint (copy, 3, 25, 25);
  check_value (copy, "servers/i-1", "ready");
  bt_drop_store_copy (ctx, copy);
}

/* Guards against a copy that is taken for complete by the word of a peer that is ahead of it: the
 * peer's changes are on their way. */
static void
test_claim_holds_once_the_copy_has_caught_up (void)
{
  bt_store_copy_t *copy = make_copy (5);
  bt_copy_claim_t ahead = { { 0, 6 }, 700 };
  bt_copy_claim_t behind = { { 0, 4 }, 600 };
  bt_kv_changes_t changes = { 0 };

  CU_ASSERT_EQUAL (bt_get_copy_claim (copy).as_of_ms, bt_never_complete_ms);
  CU_ASSERT_FALSE (bt_confirm_copy_claim (copy, &ahead));
  CU_ASSERT_EQUAL (bt_get_copy_claim (copy).as_of_ms, bt_never_complete_ms);
  CU_ASSERT_TRUE (bt_confirm_copy_claim (copy, &behind));
  CU_ASSERT_EQUAL (bt_get_copy_claim (copy).as_of_ms, 600);
  changes.written.revision = 6;
  bt_apply_changes_to_copy (ctx, copy, &changes, 0);
  CU_ASSERT_TRUE (bt_confirm_copy_claim (copy, &ahead));
  CU_ASSERT_EQUAL (bt_get_copy_claim (copy).as_of_ms, 700);
  /* An earlier time takes nothing back. */
  CU_ASSERT_TRUE (bt_confirm_copy_claim (copy, &behind));
  CU_ASSERT_EQUAL (bt_get_copy_claim (copy).as_of_ms, 700);
  CU_ASSERT_EQUAL (bt_get_copy_claim (copy).position.revision, 6);
  bt_drop_store_copy (ctx, copy);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("store_copy", NULL, NULL);
  CU_ADD_TEST (suite, test_revision_never_goes_back);
  CU_ADD_TEST (suite, test_gap_changes_nothing);
  CU_ADD_TEST (suite, test_changes_are_applied);
  CU_ADD_TEST (suite, test_removed_key_is_detected_by_absence);
  CU_ADD_TEST (suite, test_later_era_replaces_higher_revision);
  CU_ADD_TEST (suite, test_changes_of_a_later_era_are_a_gap);
  CU_ADD_TEST (suite, test_update_of_an_earlier_era_is_old);
  CU_ADD_TEST (suite, test_endpoint_that_registers_again_is_no_removed_one);
  CU_ADD_TEST (suite, test_claim_holds_once_the_copy_has_caught_up);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
