#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/config/config_table.h"

static bt_document_t *
make_document (bt_context_t *ctx, const char *name, int64_t revision, const char *data)
{
  bt_document_fields_t fields = { .name = name,
                                  .revision = revision,
                                  .change = "0123456789abcdef0123456789abcdef",
                                  .data = data,
                                  .data_bytes = strlen (data) };

  return bt_new_document (ctx, &fields);
}

static bt_offer_t
offer_text (bt_context_t *ctx,
            bt_config_table_t *table,
            const char *name,
            int64_t revision,
            const char *data)
{
  bt_document_t *document = make_document (ctx, name, revision, data);
  bt_offer_t result = bt_offer_document (ctx, table, document);

  bt_drop_document (ctx, document);
  return result;
}

/* A push delayed by a minute arrives after the read that brought a newer document. The older
 * document must not come back into force, and the drop is counted. */
static void
test_older_document_is_dropped (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_config_table_t *table = bt_new_config_table (ctx, 0);

  CU_ASSERT_EQUAL (offer_text (ctx, table, "rules", 5, "new"), BT_OFFER_APPLIED);
  CU_ASSERT_EQUAL (offer_text (ctx, table, "rules", 5, "new"), BT_OFFER_SAME);
  CU_ASSERT_EQUAL (offer_text (ctx, table, "rules", 4, "old"), BT_OFFER_OLDER);
  CU_ASSERT_EQUAL (offer_text (ctx, table, "rules", 5, "other"), BT_OFFER_DIFFERENT);
  CU_ASSERT_STRING_EQUAL (bt_find_document (table, "rules")->data, "new");
  CU_ASSERT_EQUAL (bt_count_offers (table, BT_OFFER_OLDER), 1);
  CU_ASSERT_EQUAL (bt_count_offers (table, BT_OFFER_DIFFERENT), 1);
  CU_ASSERT_EQUAL (bt_get_table_revision (table), 5);
  bt_drop_config_table (ctx, table);
  table = bt_new_config_table (ctx, BT_TABLE_ACCEPT_OLDER);
  offer_text (ctx, table, "rules", 5, "new");
  offer_text (ctx, table, "rules", 4, "old");
  CU_ASSERT_STRING_EQUAL (bt_find_document (table, "rules")->data, "old");
  bt_drop_config_table (ctx, table);
  bt_drop_context (ctx);
}

static void
test_digest_does_not_depend_on_order (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_config_table_t *left = bt_new_config_table (ctx, 0);
  bt_config_table_t *right = bt_new_config_table (ctx, 0);
  bt_document_list_t above = { 0 };

  offer_text (ctx, left, "rules", 5, "r");
  offer_text (ctx, left, "accounts", 3, "a");
  offer_text (ctx, left, "models", 9, "m");
  offer_text (ctx, right, "models", 4, "older");
  offer_text (ctx, right, "models", 9, "m");
  offer_text (ctx, right, "accounts", 3, "a");
  CU_ASSERT_NOT_EQUAL (bt_get_table_digest (left), bt_get_table_digest (right));
  offer_text (ctx, right, "rules", 5, "r");
  CU_ASSERT_EQUAL (bt_get_table_digest (left), bt_get_table_digest (right));
  CU_ASSERT_STRING_EQUAL (bt_get_document (left, 0)->name, "accounts");
  bt_list_documents_above (ctx, left, 4, &above);
  CU_ASSERT_EQUAL (above.count, 2);
  bt_clear_documents (ctx, &above);
  bt_drop_config_table (ctx, left);
  bt_drop_config_table (ctx, right);
  bt_drop_context (ctx);
}

static void
test_stored_value_round_trip (void)
{
  static const char *const bad[] = { "#", "#bilberry change=x after=- deleted=0\n",
                                     "#bilberry change=- after=- deleted=\nx" };
  bt_context_t *ctx = bt_new_context ();
  bt_document_t *document = make_document (ctx, "rules", 5, "line one\nline two");
  bt_document_t *decoded;
  bt_error_t error = { 0 };
  size_t bytes;
  char *value = bt_encode_document (ctx, document, &bytes);

  decoded = bt_decode_document (ctx, "rules", 5, value, bytes, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
  if (decoded == NULL)
    return;
  CU_ASSERT_EQUAL (decoded->digest, document->digest);
  CU_ASSERT_STRING_EQUAL (decoded->data, "line one\nline two");
  CU_ASSERT_STRING_EQUAL (decoded->change, document->change);
  CU_ASSERT_STRING_EQUAL (decoded->after, "");
  bt_drop_document (ctx, decoded);
  decoded = bt_decode_document (ctx, "rules", 6, "{}", 2, &error);
  CU_ASSERT_STRING_EQUAL (decoded->data, "{}");
  CU_ASSERT_STRING_EQUAL (decoded->change, "");
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_PTR_NULL (bt_decode_document (ctx, "rules", 5, bad[i], strlen (bad[i]), &error));
  bt_free (ctx, value);
  bt_drop_document (ctx, decoded);
  bt_drop_document (ctx, document);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("config_table", NULL, NULL);
  CU_ADD_TEST (suite, test_older_document_is_dropped);
  CU_ADD_TEST (suite, test_digest_does_not_depend_on_order);
  CU_ADD_TEST (suite, test_stored_value_round_trip);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
