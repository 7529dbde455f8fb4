#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/expert_load.h"
#include "bilberrytray/maps/expert_map.h"

static const bt_map_shape_t shape = { 3, 10, 4 };

static bt_map_bytes_t
encode (bt_context_t *ctx)
{
  bt_expert_map_t *map = bt_new_block_expert_map (ctx, shape, NULL);
  bt_map_bytes_t encoded = { 0 };

  bt_set_map_ranks (map, 1, 7, (bt_rank_set_t){ &(uint64_t){ 0xb }, 1 });
  CU_ASSERT_TRUE (bt_encode_expert_map (ctx, map, &encoded, NULL));
  bt_drop_expert_map (ctx, map);
  return encoded;
}

static void
test_encoding_round_trip (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_map_bytes_t encoded = encode (ctx);
  bt_expert_map_t *map = bt_decode_expert_map (ctx, encoded.data, encoded.bytes, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (map);
  CU_ASSERT_EQUAL (bt_get_map_ranks (map, 1, 7).words[0], 0xb);
  CU_ASSERT_EQUAL (bt_get_map_ranks (map, 2, 9).words[0], 0x8);
  CU_ASSERT_EQUAL (bt_count_map_slots (map, 1, 0), 4);
  CU_ASSERT_EQUAL (
      memcmp (encoded.data + encoded.bytes - 8, &(uint64_t){ bt_digest_expert_map (ctx, map) }, 8),
      0);
  bt_drop_expert_map (ctx, map);
  bt_free (ctx, encoded.data);
  bt_drop_context (ctx);
}

/* Tests holders at both ends of each word of a set, and maps with one-byte and two-byte numbers. */
static void
test_groups_of_any_size_are_encoded (void)
{
  static const int32_t ranks[] = { 1, 63, 64, 65, 127, 128, 129, 192, 513, BT_MAX_RANKS };
  bt_context_t *ctx = bt_new_context ();

  for (size_t i = 0; i < sizeof ranks / sizeof ranks[0]; i++)
    {
      bt_map_shape_t wide = { 2, 3, ranks[i] };
      bt_expert_map_t *map = bt_new_block_expert_map (ctx, wide, NULL);
      bt_map_bytes_t encoded = { 0 };
      bt_expert_map_t *read;

      for (int32_t rank = 0; rank < ranks[i]; rank += 63)
        bt_add_map_holder (map, 1, 2, rank);
      bt_add_map_holder (map, 1, 2, ranks[i] - 1);
      CU_ASSERT_TRUE (bt_encode_expert_map (ctx, map, &encoded, NULL));
      read = bt_decode_expert_map (ctx, encoded.data, encoded.bytes, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (read);
      CU_ASSERT_EQUAL (bt_get_map_shape (read).ranks, ranks[i]);
      CU_ASSERT_EQUAL (bt_count_map_moves (map, read), 0);
      CU_ASSERT_EQUAL (bt_count_map_moves (read, map), 0);
      CU_ASSERT_TRUE (bt_is_map_holder (read, 1, 2, ranks[i] - 1));
      CU_ASSERT_EQUAL (bt_find_rank (bt_get_map_ranks (read, 1, 2), ranks[i]), BT_NO_RANK);
      for (uint32_t bytes = 0; bytes < encoded.bytes; bytes++)
        CU_ASSERT_PTR_NULL (bt_decode_expert_map (ctx, encoded.data, bytes, NULL));
      bt_drop_expert_map (ctx, read);
      bt_free (ctx, encoded.data);
      bt_drop_expert_map (ctx, map);
    }
  bt_drop_context (ctx);
}

static void
test_rank_sets_span_words (void)
{
  uint64_t words[4] = { 0 };
  bt_rank_set_t set = { words, 4 };

  CU_ASSERT_EQUAL (bt_find_rank (set, 0), BT_NO_RANK);
  bt_add_rank (words, 63);
  bt_add_rank (words, 64);
  bt_add_rank (words, 255);
  CU_ASSERT_EQUAL (bt_count_ranks (set), 3);
  CU_ASSERT_EQUAL (bt_find_rank (set, 0), 63);
  CU_ASSERT_EQUAL (bt_find_rank (set, 64), 64);
  CU_ASSERT_EQUAL (bt_find_rank (set, 65), 255);
  CU_ASSERT_EQUAL (bt_find_rank (set, 256), BT_NO_RANK);
  bt_remove_rank (words, 64);
  CU_ASSERT_FALSE (bt_has_rank (set, 64));
  CU_ASSERT_TRUE (bt_has_rank (set, 63));
  CU_ASSERT_EQUAL (bt_find_rank (set, 64), 255);
  CU_ASSERT_EQUAL (bt_count_rank_words (64), 1);
  CU_ASSERT_EQUAL (bt_count_rank_words (65), 2);
}

/* Guards against a rank using a map that no other rank uses, after a frame was truncated or altered
 * in transit and still looks like a map. The digest and the strict format reject it. */
static void
test_damaged_bytes_are_refused (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_map_bytes_t encoded = encode (ctx);

  for (uint32_t bytes = 0; bytes < encoded.bytes; bytes++)
    CU_ASSERT_PTR_NULL (bt_decode_expert_map (ctx, encoded.data, bytes, NULL));
  for (uint32_t at = 0; at < encoded.bytes; at++)
    for (int32_t bit = 0; bit < 8; bit++)
      {
        encoded.data[at] ^= (uint8_t)(1 << bit);
        CU_ASSERT_PTR_NULL (bt_decode_expert_map (ctx, encoded.data, encoded.bytes, NULL));
        encoded.data[at] ^= (uint8_t)(1 << bit);
      }
  bt_free (ctx, encoded.data);
  bt_drop_context (ctx);
}

static void
test_limits_are_checked (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_error_t error = { 0 };
  bt_expert_map_t *map = bt_new_expert_map (ctx, shape, NULL);
  bt_map_bytes_t encoded = { 0 };

  CU_ASSERT_PTR_NULL (bt_new_expert_map (ctx, (bt_map_shape_t){ 1, 1, BT_MAX_RANKS + 1 }, &error));
  CU_ASSERT_PTR_NULL (bt_new_expert_map (ctx, (bt_map_shape_t){ 0, 1, 1 }, NULL));
  CU_ASSERT_PTR_NULL (bt_new_expert_map (ctx, (bt_map_shape_t){ 1, 1025, 1 }, NULL));
  CU_ASSERT_EQUAL (error.code, BT_ERROR_FORMAT);
  CU_ASSERT_FALSE (bt_encode_expert_map (ctx, map, &encoded, NULL));
  CU_ASSERT_EQUAL (bt_digest_expert_map (ctx, map), 0);
  bt_drop_expert_map (ctx, map);
  bt_drop_context (ctx);
}

static void
test_load_decays_by_half_life (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_expert_load_t *load = bt_new_expert_load (ctx, 2, 4, 1000);

  bt_decay_expert_load (load, 500);
  bt_add_expert_load (load, 1, 3, 8.0);
  bt_decay_expert_load (load, 2500);
  CU_ASSERT_DOUBLE_EQUAL (bt_get_expert_load (load, 1, 3), 2.0, 1e-9);
  bt_decay_expert_load (load, 100);
  CU_ASSERT_DOUBLE_EQUAL (bt_get_expert_load (load, 1, 3), 2.0, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (bt_get_expert_load (load, 0, 3), 0.0, 1e-9);
  bt_drop_expert_load (ctx, load);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("expert map", NULL, NULL);
  CU_ADD_TEST (suite, test_encoding_round_trip);
  CU_ADD_TEST (suite, test_groups_of_any_size_are_encoded);
  CU_ADD_TEST (suite, test_rank_sets_span_words);
  CU_ADD_TEST (suite, test_damaged_bytes_are_refused);
  CU_ADD_TEST (suite, test_limits_are_checked);
  CU_ADD_TEST (suite, test_load_decays_by_half_life);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
