#include "bilberrytray/maps/expert_map.h"

#include <string.h>

#include "bilberrytray/core/identity.h"

/* Each replica is encoded as one number: the rank in the low bits, and the highest bit set while
 * more replicas of the same expert follow. Numbers take one byte, or two in little-endian order
 * where the ranks do not fit one byte. */
enum
{
  MAGIC_0 = 'B',
  MAGIC_1 = 'M',
  FORMAT_VERSION = 2,
  HEADER_BYTES = 8,
  DIGEST_BYTES = 8,
  MAX_ONE_BYTE_RANKS = 128, /* the largest group whose numbers fit one byte */
  WIDE_BYTES = 2,
  BYTE_BITS = 8,
  BYTE_MASK = 0xff,
  DIGEST_SEED = 0x6d6170,
  LAYERS_OFFSET = 3,
  EXPERTS_OFFSET = 4,
  RANKS_OFFSET = 6,
};

struct bt_expert_map
{
  bt_map_shape_t shape;
  int32_t words_per_set;
  uint64_t words[]; /* layer-major, one set per expert */
};

static bool
check_shape (bt_map_shape_t shape, bt_error_t *error)
{
  if (shape.layers < 1 || shape.layers > BT_MAP_MAX_LAYERS)
    return bt_set_error (error, BT_ERROR_FORMAT, "A map cannot have %d layers.", shape.layers);
  if (shape.experts < 1 || shape.experts > BT_MAP_MAX_EXPERTS)
    return bt_set_error (error, BT_ERROR_FORMAT, "A layer cannot have %d experts.", shape.experts);
  if (shape.ranks < 1 || shape.ranks > BT_MAX_RANKS)
    return bt_set_error (error, BT_ERROR_FORMAT, "A group cannot have %d ranks.", shape.ranks);
  return true;
}

static size_t
count_cells (bt_map_shape_t shape)
{
  return (size_t)shape.layers * (size_t)shape.experts;
}

static size_t
count_words (bt_map_shape_t shape)
{
  return count_cells (shape) * (size_t)bt_count_rank_words (shape.ranks);
}

static size_t
get_map_bytes (bt_map_shape_t shape)
{
  return sizeof (bt_expert_map_t) + count_words (shape) * sizeof (uint64_t);
}

static bt_rank_set_t
get_cell_holders (const bt_expert_map_t *map, size_t cell)
{
  return (bt_rank_set_t){ &map->words[cell * (size_t)map->words_per_set], map->words_per_set };
}

static size_t
get_cell_index (const bt_expert_map_t *map, int32_t layer, int32_t expert)
{
  return (size_t)layer * (size_t)map->shape.experts + (size_t)expert;
}

static uint64_t *
get_holder_words (bt_expert_map_t *map, int32_t layer, int32_t expert)
{
  return &map->words[get_cell_index (map, layer, expert) * (size_t)map->words_per_set];
}

bt_expert_map_t *
bt_new_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error)
{
  bt_expert_map_t *map;

  if (!check_shape (shape, error))
    return NULL;
  map = bt_calloc (ctx, 1, get_map_bytes (shape));
  map->shape = shape;
  map->words_per_set = bt_count_rank_words (shape.ranks);
  return map;
}

bt_expert_map_t *
bt_new_block_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error)
{
  bt_expert_map_t *map = bt_new_expert_map (ctx, shape, error);

  if (map == NULL)
    return NULL;
  for (int32_t layer = 0; layer < shape.layers; layer++)
    for (int32_t expert = 0; expert < shape.experts; expert++)
      bt_add_map_holder (map, layer, expert,
                         (int32_t)((int64_t)expert * shape.ranks / shape.experts));
  return map;
}

bt_expert_map_t *
bt_copy_expert_map (bt_context_t *ctx, const bt_expert_map_t *map)
{
  return bt_memdup (ctx, map, get_map_bytes (map->shape));
}

void
bt_drop_expert_map (bt_context_t *ctx, bt_expert_map_t *map)
{
  bt_free (ctx, map);
}

bt_map_shape_t
bt_get_map_shape (const bt_expert_map_t *map)
{
  return map->shape;
}

bt_rank_set_t
bt_get_map_ranks (const bt_expert_map_t *map, int32_t layer, int32_t expert)
{
  return get_cell_holders (map, get_cell_index (map, layer, expert));
}

void
bt_set_map_ranks (bt_expert_map_t *map, int32_t layer, int32_t expert, bt_rank_set_t ranks)
{
  memcpy (get_holder_words (map, layer, expert), ranks.words,
          (size_t)map->words_per_set * sizeof *ranks.words);
}

void
bt_add_map_holder (bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank)
{
  bt_add_rank (get_holder_words (map, layer, expert), rank);
}

bool
bt_is_map_holder (const bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank)
{
  return bt_has_rank (bt_get_map_ranks (map, layer, expert), rank);
}

int32_t
bt_count_map_slots (const bt_expert_map_t *map, int32_t layer, int32_t rank)
{
  int32_t slots = 0;

  for (int32_t expert = 0; expert < map->shape.experts; expert++)
    slots += bt_is_map_holder (map, layer, expert, rank);
  return slots;
}

int64_t
bt_count_map_moves (const bt_expert_map_t *current, const bt_expert_map_t *next)
{
  int64_t moves = 0;

  for (size_t i = 0; i < count_words (current->shape); i++)
    moves += __builtin_popcountll (next->words[i] & ~current->words[i]);
  return moves;
}

static void
write_header (uint8_t *data, bt_map_shape_t shape)
{
  data[0] = MAGIC_0;
  data[1] = MAGIC_1;
  data[2] = FORMAT_VERSION;
  data[LAYERS_OFFSET] = (uint8_t)shape.layers;
  data[EXPERTS_OFFSET] = (uint8_t)(shape.experts & BYTE_MASK);
  data[EXPERTS_OFFSET + 1] = (uint8_t)(shape.experts >> BYTE_BITS);
  data[RANKS_OFFSET] = (uint8_t)(shape.ranks & BYTE_MASK);
  data[RANKS_OFFSET + 1] = (uint8_t)(shape.ranks >> BYTE_BITS);
}

/* The size of a replica's number in bytes. */
static int32_t
get_number_bytes (int32_t ranks)
{
  return ranks > MAX_ONE_BYTE_RANKS ? WIDE_BYTES : 1;
}

/* The flag that marks a number with successors: its highest bit. */
static uint32_t
get_more_flag (int32_t number_bytes)
{
  return UINT32_C (1) << (number_bytes * BYTE_BITS - 1);
}

static uint8_t *
write_replicas (uint8_t *at, bt_rank_set_t ranks, int32_t number_bytes)
{
  int32_t rank = bt_find_rank (ranks, 0);

  while (rank != BT_NO_RANK)
    {
      int32_t next = bt_find_rank (ranks, rank + 1);
      uint32_t number = (uint32_t)rank | (next == BT_NO_RANK ? 0 : get_more_flag (number_bytes));

      for (int32_t i = 0; i < number_bytes; i++)
        *at++ = (uint8_t)(number >> (BYTE_BITS * i));
      rank = next;
    }
  return at;
}

static void
write_digest (uint8_t *at, uint64_t digest)
{
  for (int32_t i = 0; i < DIGEST_BYTES; i++)
    at[i] = (uint8_t)(digest >> (BYTE_BITS * i));
}

static uint64_t
read_digest (const uint8_t *at)
{
  uint64_t digest = 0;

  for (int32_t i = 0; i < DIGEST_BYTES; i++)
    digest |= (uint64_t)at[i] << (BYTE_BITS * i);
  return digest;
}

bool
bt_encode_expert_map (bt_context_t *ctx,
                      const bt_expert_map_t *map,
                      bt_map_bytes_t *encoded,
                      bt_error_t *error)
{
  int32_t number_bytes = get_number_bytes (map->shape.ranks);
  size_t numbers = 0;
  uint8_t *at;

  for (size_t i = 0; i < count_cells (map->shape); i++)
    {
      int32_t replicas = bt_count_ranks (get_cell_holders (map, i));

      if (replicas == 0)
        {
          bt_set_error (error, BT_ERROR_FORMAT, "Expert %zu of layer %zu has no replica.",
                        i % (size_t)map->shape.experts, i / (size_t)map->shape.experts);
          return false;
        }
      numbers += (size_t)replicas;
    }
  encoded->bytes = (uint32_t)(HEADER_BYTES + numbers * (size_t)number_bytes + DIGEST_BYTES);
  encoded->data = bt_calloc (ctx, encoded->bytes, 1);
  write_header (encoded->data, map->shape);
  at = encoded->data + HEADER_BYTES;
  for (size_t i = 0; i < count_cells (map->shape); i++)
    at = write_replicas (at, get_cell_holders (map, i), number_bytes);
  write_digest (at, bt_hash_bytes (encoded->data, encoded->bytes - DIGEST_BYTES, DIGEST_SEED));
  return true;
}

static bool
read_header (const uint8_t *data, uint32_t bytes, bt_map_shape_t *shape, bt_error_t *error)
{
  if (bytes < HEADER_BYTES + DIGEST_BYTES || data[0] != MAGIC_0 || data[1] != MAGIC_1)
    return bt_set_error (error, BT_ERROR_FORMAT, "Not an expert map (%u bytes).", bytes);
  if (data[2] != FORMAT_VERSION)
    return bt_set_error (error, BT_ERROR_FORMAT, "Expert map format %u is not supported.", data[2]);
  if (read_digest (data + bytes - DIGEST_BYTES)
      != bt_hash_bytes (data, bytes - DIGEST_BYTES, DIGEST_SEED))
    return bt_set_error (error, BT_ERROR_FORMAT,
                         "The digest of the expert map does not match its content.");
  shape->layers = data[LAYERS_OFFSET];
  shape->experts = data[EXPERTS_OFFSET] | data[EXPERTS_OFFSET + 1] << BYTE_BITS;
  shape->ranks = data[RANKS_OFFSET] | data[RANKS_OFFSET + 1] << BYTE_BITS;
  return check_shape (*shape, error);
}

/* Reads the replicas of one expert. Returns NULL when they run past the end, are not in ascending
 * order, or name a rank outside the group. */
static const uint8_t *
read_replicas (const uint8_t *at, const uint8_t *end, int32_t ranks, uint64_t *words)
{
  const int32_t number_bytes = get_number_bytes (ranks);
  const uint32_t more_flag = get_more_flag (number_bytes);
  int32_t last = BT_NO_RANK;
  bool more = true;

  while (more)
    {
      uint32_t number = 0;
      int32_t rank;

      if (end - at < number_bytes)
        return NULL;
      for (int32_t i = 0; i < number_bytes; i++)
        number |= (uint32_t)*at++ << (BYTE_BITS * i);
      more = (number & more_flag) != 0;
      rank = (int32_t)(number & ~more_flag);
      if (rank <= last || rank >= ranks)
        return NULL;
      bt_add_rank (words, rank);
      last = rank;
    }
  return at;
}

bt_expert_map_t *
bt_decode_expert_map (bt_context_t *ctx, const uint8_t *data, uint32_t bytes, bt_error_t *error)
{
  const uint8_t *at = data + HEADER_BYTES;
  const uint8_t *end;
  bt_map_shape_t shape = { 0 };
  bt_expert_map_t *map;

  if (!read_header (data, bytes, &shape, error))
    return NULL;
  end = data + bytes - DIGEST_BYTES;
  if ((size_t)(end - at) < count_cells (shape))
    {
      bt_set_error (error, BT_ERROR_FORMAT, "The expert map is truncated.");
      return NULL;
    }
  map = bt_new_expert_map (ctx, shape, error);
  for (size_t i = 0; i < count_cells (shape) && at != NULL; i++)
    at = read_replicas (at, end, shape.ranks, &map->words[i * (size_t)map->words_per_set]);
  if (at == end)
    return map;
  bt_set_error (error, BT_ERROR_FORMAT, "The expert map's replicas are malformed.");
  bt_drop_expert_map (ctx, map);
  return NULL;
}

uint64_t
bt_digest_expert_map (bt_context_t *ctx, const bt_expert_map_t *map)
{
  bt_map_bytes_t encoded = { 0 };
  uint64_t digest;

  if (!bt_encode_expert_map (ctx, map, &encoded, NULL))
    return 0;
  digest = read_digest (encoded.data + encoded.bytes - DIGEST_BYTES);
  bt_free (ctx, encoded.data);
  return digest;
}
