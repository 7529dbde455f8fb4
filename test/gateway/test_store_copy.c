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
  changes->removed_at = bt_realloc (ctx, changes->removed_at, (size_t)changes->removed_count + 1,
                                    sizeof *changes->removed_at);
  changes->removed_at[changes->removed_count] = revision;
  changes->removed[changes->removed_count++] = bt_strdup (ctx, key);
}

static bt_store_copy_t *
make_copy (int64_t revision)
{
  bt_store_copy_t *copy = bt_new_store_copy (ctx);
  bt_kv_range_t range = { 0 };

  add_pair (&range, "a", "old", 1);
  add_pair (&range, "b", "old", 2);
  range.revision = revision;
  CU_ASSERT_TRUE (bt_replace_copy (ctx, copy, &range));
  return copy;
}

/** A key to look up in a copy, and the value found. */
typedef struct look
{
  const char *key;
  char value[16];
} look_t;

static void
look_for (void *data, const bt_kv_range_t *items)
{
  look_t *look = data;

  for (int32_t i = 0; i < items->count; i++)
    if (strcmp (items->pairs[i].key, look->key) == 0)
      strncpy (look->value, items->pairs[i].value, sizeof look->value - 1);
}

static void
expect (bt_store_copy_t *copy, const char *key, const char *value)
{
  look_t look = { key, "" };

  bt_look_at_copy (copy, look_for, &look);
  CU_ASSERT_STRING_EQUAL (look.value, value);
}

/* Passes changes through an encoded message, as a peer does, and applies them to a copy. */
static bt_news_effect_t
pass_changes (bt_store_copy_t *copy, int64_t from_revision, bt_kv_changes_t *changes)
{
  Bilberry__StoreItems message;
  bt_store_news_t *news;
  bt_news_effect_t effect;

  bt_write_changes_message (ctx, from_revision, changes, &message);
  news = bt_read_items_message (ctx, &message);
  bt_clear_items_message (ctx, &message);
  effect = bt_add_news_to_copy (ctx, copy, news);
  bt_drop_store_news (ctx, news);
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
  CU_ASSERT_FALSE (bt_replace_copy (ctx, copy, &older));
  bt_drop_kv_range (ctx, &older);
  add_pair (&changes.written, "a", "older", 5);
  changes.written.revision = 9;
  CU_ASSERT_EQUAL (pass_changes (copy, 4, &changes), BT_NEWS_OLD);
  expect (copy, "a", "old");
  CU_ASSERT_EQUAL (bt_get_copy_revision (copy), 9);
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
  CU_ASSERT_EQUAL (pass_changes (copy, 11, &changes), BT_NEWS_GAP);
  expect (copy, "a", "old");
  CU_ASSERT_EQUAL (bt_get_copy_revision (copy), 9);
  bt_drop_store_copy (ctx, copy);
}

static void
test_changes_are_taken (void)
{
  bt_store_copy_t *copy = make_copy (9);
  bt_kv_changes_t changes = { 0 };

  add_pair (&changes.written, "a", "new", 10);
  add_pair (&changes.written, "c", "new", 11);
  add_removal (&changes, "b", 12);
  changes.written.revision = 12;
  CU_ASSERT_EQUAL (pass_changes (copy, 8, &changes), BT_NEWS_TAKEN);
  expect (copy, "a", "new");
  expect (copy, "b", "");
  expect (copy, "c", "new");
  CU_ASSERT_EQUAL (bt_get_copy_revision (copy), 12);
  bt_drop_store_copy (ctx, copy);
}

/** Arguments and result of send_items. */
typedef struct carrier
{
  bt_store_copy_t *target;
  int64_t from_revision;
  bt_news_effect_t effect;
} carrier_t;

static void
carry (void *data, const bt_kv_range_t *items)
{
  carrier_t *carrier = data;
  Bilberry__StoreItems message;
  bt_store_news_t *news;

  bt_write_items_message (ctx, carrier->from_revision, items, &message);
  news = bt_read_items_message (ctx, &message);
  bt_clear_items_message (ctx, &message);
  carrier->effect = bt_add_news_to_copy (ctx, carrier->target, news);
  bt_drop_store_news (ctx, news);
}

/* A key was removed while an entry was disconnected. The peer that it asks afterwards sends the
 * items that changed since, which do not include removals. The entry must detect the removal from
 * the list of present keys. */
static void
test_removed_key_is_told_by_absence (void)
{
  bt_store_copy_t *behind = make_copy (9);
  bt_store_copy_t *peer = make_copy (9);
  bt_kv_changes_t changes = { 0 };
  carrier_t carrier = { behind, 9, BT_NEWS_OLD };

  add_removal (&changes, "b", 10);
  add_pair (&changes.written, "c", "new", 11);
  changes.written.revision = 11;
  bt_change_copy (ctx, peer, &changes);
  bt_drop_kv_changes (ctx, &changes);
  bt_look_at_copy (peer, carry, &carrier);
  CU_ASSERT_EQUAL (carrier.effect, BT_NEWS_TAKEN);
  expect (behind, "a", "old");
  expect (behind, "b", "");
  expect (behind, "c", "new");
  CU_ASSERT_EQUAL (bt_get_copy_revision (behind), 11);
  bt_drop_store_copy (ctx, behind);
  bt_drop_store_copy (ctx, peer);
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
  CU_ADD_TEST (suite, test_changes_are_taken);
  CU_ADD_TEST (suite, test_removed_key_is_told_by_absence);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
