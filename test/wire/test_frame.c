#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/wire/frame.h"

enum
{
  LIMIT_BYTES = 4096,
  DAMAGE_ROUNDS = 20000,
};

static bt_context_t *ctx;

static void
encode_piece (bt_buffer_t *buffer, const char *text)
{
  Bilberry__AnswerPiece piece = BILBERRY__ANSWER_PIECE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  piece.call = 7;
  piece.sequence = 3;
  piece.data.data = (uint8_t *)text;
  piece.data.len = strlen (text);
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_PIECE;
  frame.answer_piece = &piece;
  bt_encode_frame (ctx, buffer, &frame);
}

static void
test_frames_come_out_as_they_went_in (void)
{
  bt_buffer_t buffer = { 0 };
  bt_error_t error = { 0 };
  bt_frame_t *frame;

  ctx = bt_new_context ();
  encode_piece (&buffer, "first");
  encode_piece (&buffer, "second");
  frame = bt_decode_frame (&buffer, LIMIT_BYTES, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (frame);
  CU_ASSERT_EQUAL (frame->answer_piece->call, 7);
  CU_ASSERT_EQUAL (frame->answer_piece->data.len, strlen ("first"));
  bt_drop_frame (frame);
  frame = bt_decode_frame (&buffer, LIMIT_BYTES, &error);
  CU_ASSERT_PTR_NOT_NULL (frame);
  bt_drop_frame (frame);
  CU_ASSERT_PTR_NULL (bt_decode_frame (&buffer, LIMIT_BYTES, &error));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_NONE);
  bt_clear_buffer (ctx, &buffer);
  bt_drop_context (ctx);
}

static void
test_half_a_frame_waits (void)
{
  bt_buffer_t whole = { 0 };
  bt_buffer_t half = { 0 };
  bt_error_t error = { 0 };

  ctx = bt_new_context ();
  encode_piece (&whole, "text");
  for (size_t bytes = 0; bytes < bt_count_buffer (&whole); bytes++)
    {
      half.start = half.end = 0;
      bt_append_buffer (ctx, &half, whole.data, bytes);
      CU_ASSERT_PTR_NULL (bt_decode_frame (&half, LIMIT_BYTES, &error));
      CU_ASSERT_EQUAL (error.code, BT_ERROR_NONE);
    }
  bt_clear_buffer (ctx, &whole);
  bt_clear_buffer (ctx, &half);
  bt_drop_context (ctx);
}

/* A peer announces a frame of gigabytes and sends nothing more. Waiting for it would hold memory
 * for good, so the length itself is refused. */
static void
test_long_frame_is_refused_by_its_length (void)
{
  static const uint8_t head[] = { 0x7f, 0xff, 0xff, 0xff };
  bt_buffer_t buffer = { 0 };
  bt_error_t error = { 0 };

  ctx = bt_new_context ();
  bt_append_buffer (ctx, &buffer, head, sizeof head);
  CU_ASSERT_PTR_NULL (bt_decode_frame (&buffer, LIMIT_BYTES, &error));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_TOO_LARGE);
  bt_clear_buffer (ctx, &buffer);
  bt_drop_context (ctx);
}

/* Bits flip on the way. Each damaged frame is refused, waits for more bytes, or is read as some
 * other well-formed frame; nothing is read or written out of bounds (ASan). */
static void
test_damaged_frames_do_no_harm (void)
{
  bt_random_t random;
  int32_t refused = 0;

  ctx = bt_new_context ();
  bt_seed_random (&random, 7);
  for (int32_t round = 0; round < DAMAGE_ROUNDS; round++)
    {
      bt_buffer_t buffer = { 0 };
      bt_error_t error = { 0 };
      bt_frame_t *frame;

      encode_piece (&buffer, "some text of a draft");
      for (int32_t i = 0; i < 2; i++)
        buffer.data[bt_random_below (&random, buffer.end)] ^=
            (uint8_t)(1U << bt_random_below (&random, 8));
      frame = bt_decode_frame (&buffer, LIMIT_BYTES, &error);
      CU_ASSERT_TRUE (frame == NULL || error.code == BT_ERROR_NONE);
      refused += error.code != BT_ERROR_NONE;
      bt_drop_frame (frame);
      bt_clear_buffer (ctx, &buffer);
    }
  CU_ASSERT_TRUE (refused > 0);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("frame", NULL, NULL);
  CU_ADD_TEST (suite, test_frames_come_out_as_they_went_in);
  CU_ADD_TEST (suite, test_half_a_frame_waits);
  CU_ADD_TEST (suite, test_long_frame_is_refused_by_its_length);
  CU_ADD_TEST (suite, test_damaged_frames_do_no_harm);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
