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
test_frames_decode_as_encoded (void)
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

/* Guards against memory that grows with the links of a process: a buffer that is empty again keeps
 * little. */
static void
test_empty_buffer_keeps_little_memory (void)
{
  uint8_t bytes[64 * 1024] = { 0 };
  bt_buffer_t buffer = { 0 };

  ctx = bt_new_context ();
  bt_append_buffer (ctx, &buffer, bytes, sizeof bytes);
  bt_consume_buffer (&buffer, sizeof bytes - 1);
  bt_trim_buffer (ctx, &buffer);
  CU_ASSERT_EQUAL (bt_get_buffer_bytes (&buffer), 1);
  bt_consume_buffer (&buffer, 1);
  bt_trim_buffer (ctx, &buffer);
  CU_ASSERT_EQUAL (buffer.capacity, 0);
  bt_append_buffer (ctx, &buffer, bytes, 8);
  bt_consume_buffer (&buffer, 8);
  bt_trim_buffer (ctx, &buffer);
  CU_ASSERT (buffer.capacity > 0 && buffer.capacity <= 4096);
  bt_clear_buffer (ctx, &buffer);
  bt_drop_context (ctx);
}

static void
test_incomplete_frame_needs_more_bytes (void)
{
  bt_buffer_t complete = { 0 };
  bt_buffer_t partial = { 0 };
  bt_error_t error = { 0 };

  ctx = bt_new_context ();
  encode_piece (&complete, "text");
  for (size_t bytes = 0; bytes < bt_get_buffer_bytes (&complete); bytes++)
    {
      partial.start = partial.end = 0;
      bt_append_buffer (ctx, &partial, complete.data, bytes);
      CU_ASSERT_PTR_NULL (bt_decode_frame (&partial, LIMIT_BYTES, &error));
      CU_ASSERT_EQUAL (error.code, BT_ERROR_NONE);
    }
  bt_clear_buffer (ctx, &complete);
  bt_clear_buffer (ctx, &partial);
  bt_drop_context (ctx);
}

/* A peer announces a frame of gigabytes and sends nothing more. Waiting for it would hold memory
 * permanently, so the frame is rejected by its length. */
static void
test_long_frame_is_rejected_by_its_length (void)
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

/* Bits of a frame are flipped. Each damaged frame is rejected, waits for more bytes, or decodes as
 * another valid frame; nothing is read or written out of bounds, which ASan checks. */
static void
test_damaged_frames_are_handled_safely (void)
{
  bt_random_t random;
  int32_t rejected = 0;

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
      rejected += error.code != BT_ERROR_NONE;
      bt_drop_frame (frame);
      bt_clear_buffer (ctx, &buffer);
    }
  CU_ASSERT_TRUE (rejected > 0);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("frame", NULL, NULL);
  CU_ADD_TEST (suite, test_frames_decode_as_encoded);
  CU_ADD_TEST (suite, test_empty_buffer_keeps_little_memory);
  CU_ADD_TEST (suite, test_incomplete_frame_needs_more_bytes);
  CU_ADD_TEST (suite, test_long_frame_is_rejected_by_its_length);
  CU_ADD_TEST (suite, test_damaged_frames_are_handled_safely);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
