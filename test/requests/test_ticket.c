#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/requests/ticket.h"

static const uint8_t old_secret[BT_TICKET_SECRET_BYTES] = { 1 };
static const uint8_t new_secret[BT_TICKET_SECRET_BYTES] = { 2 };

static bt_ticket_t
sample_ticket (void)
{
  bt_ticket_t ticket = { .home = { "agent-7", 0x1122334455667788U }, .expires_ms = 987654321 };

  ticket.account = bt_hash_account ("hotel-kitchens");
  for (int32_t i = 0; i < BT_KEY_BYTES; i++)
    ticket.key.bytes[i] = (uint8_t)(i * 17);
  return ticket;
}

static void
test_signed_text_reads_back (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_ticket_ring_t *ring = bt_new_ticket_ring (ctx);
  bt_ticket_t ticket = sample_ticket ();
  bt_ticket_t read = { 0 };
  char text[BT_TICKET_TEXT_BYTES];

  CU_ASSERT_FALSE (bt_sign_ticket (ring, &ticket, text, NULL));
  CU_ASSERT_TRUE (bt_add_ticket_key (ring, 1, old_secret, NULL));
  for (size_t bytes = 1; bytes < BT_NAME_BYTES; bytes++)
    {
      memset (ticket.home.instance, 'n', bytes);
      ticket.home.instance[bytes] = '\0';
      CU_ASSERT_TRUE (bt_sign_ticket (ring, &ticket, text, NULL));
      CU_ASSERT_TRUE (bt_parse_ticket (ring, text, &read, NULL));
      CU_ASSERT_TRUE (bt_same_identity (&read.home, &ticket.home));
      CU_ASSERT_TRUE (bt_same_key (&read.key, &ticket.key));
      CU_ASSERT_EQUAL (read.expires_ms, ticket.expires_ms);
      CU_ASSERT_EQUAL (read.account, ticket.account);
    }
  bt_drop_ticket_ring (ctx, ring);
  bt_drop_context (ctx);
}

static void
test_old_and_new_signing_keys_verify (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_ticket_ring_t *ring = bt_new_ticket_ring (ctx);
  bt_ticket_ring_t *outdated = bt_new_ticket_ring (ctx);
  bt_ticket_t ticket = sample_ticket ();
  bt_error_t error = { 0 };
  char old_text[BT_TICKET_TEXT_BYTES];
  char new_text[BT_TICKET_TEXT_BYTES];

  bt_add_ticket_key (ring, 5, old_secret, NULL);
  bt_add_ticket_key (outdated, 5, old_secret, NULL);
  bt_sign_ticket (ring, &ticket, old_text, NULL);
  bt_add_ticket_key (ring, 6, new_secret, NULL);
  bt_sign_ticket (ring, &ticket, new_text, NULL);
  CU_ASSERT_TRUE (bt_parse_ticket (ring, old_text, &ticket, NULL));
  CU_ASSERT_TRUE (bt_parse_ticket (ring, new_text, &ticket, NULL));
  CU_ASSERT_FALSE (bt_parse_ticket (outdated, new_text, &ticket, &error));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_NOT_FOUND);
  for (uint32_t id = 7; id < 10; id++)
    CU_ASSERT_TRUE (bt_add_ticket_key (ring, id, new_secret, NULL));
  CU_ASSERT_FALSE (bt_parse_ticket (ring, old_text, &ticket, NULL));
  CU_ASSERT_TRUE (bt_parse_ticket (ring, new_text, &ticket, NULL));
  CU_ASSERT_FALSE (bt_add_ticket_key (ring, 5, old_secret, NULL));
  bt_drop_ticket_ring (ctx, outdated);
  bt_drop_ticket_ring (ctx, ring);
  bt_drop_context (ctx);
}

/* Guards against accepting a key that was truncated, altered or invented, or taking it for another
 * key. */
static void
test_damaged_texts_are_refused (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_ticket_ring_t *ring = bt_new_ticket_ring (ctx);
  bt_ticket_t ticket = sample_ticket ();
  char text[BT_TICKET_TEXT_BYTES];
  char damaged[BT_TICKET_TEXT_BYTES * 3];
  size_t bytes;

  bt_add_ticket_key (ring, 1, old_secret, NULL);
  bt_sign_ticket (ring, &ticket, text, NULL);
  bytes = strlen (text);
  for (size_t cut = 0; cut < bytes; cut++)
    {
      memcpy (damaged, text, cut);
      damaged[cut] = '\0';
      CU_ASSERT_FALSE (bt_parse_ticket (ring, damaged, &ticket, NULL));
    }
  for (size_t bit = 0; bit < bytes * 8; bit++)
    {
      memcpy (damaged, text, bytes + 1);
      damaged[bit / 8] = (char)(damaged[bit / 8] ^ (1 << bit % 8));
      CU_ASSERT_FALSE (bt_parse_ticket (ring, damaged, &ticket, NULL));
    }
  memset (damaged, 'A', sizeof damaged - 1);
  damaged[sizeof damaged - 1] = '\0';
  CU_ASSERT_FALSE (bt_parse_ticket (ring, damaged, &ticket, NULL));
  damaged[BT_TICKET_TEXT_BYTES - 1] = '\0';
  CU_ASSERT_FALSE (bt_parse_ticket (ring, damaged, &ticket, NULL));
  snprintf (damaged, sizeof damaged, "%sA", text);
  CU_ASSERT_FALSE (bt_parse_ticket (ring, damaged, &ticket, NULL));
  CU_ASSERT_TRUE (bt_parse_ticket (ring, text, &ticket, NULL));
  bt_drop_ticket_ring (ctx, ring);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("ticket", NULL, NULL);
  CU_ADD_TEST (suite, test_signed_text_reads_back);
  CU_ADD_TEST (suite, test_old_and_new_signing_keys_verify);
  CU_ADD_TEST (suite, test_damaged_texts_are_refused);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
