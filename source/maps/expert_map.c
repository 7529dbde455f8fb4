#include "bilberrytray/maps/expert_map.h"

#include <string.h>

#include "bilberrytray/core/identity.h"

/* One byte a replica: the rank in the low bits, and a flag while more of the same expert follow. */
enum
{
  MAGIC_0 = 'B',
  MAGIC_1 = 'M',
  FORMAT_VERSION = 2,
  HEADER_BYTES = 8,
  DIGEST_BYTES = 8,
  RANK_BITS = 0x7f,
  MORE_FLAG = 0x80,
  WORD_BITS = 64,
  BYTE_BITS = 8,
  BYTE_MASK = 0xff,
  DIGEST_SEED = 0x6d6170,
  AT_LAYERS = 3,
  AT_EXPERTS = 4,
  AT_RANKS = 6,
};

struct bt_expert_map
{
  bt_map_shape_t shape;
  bt_rank_mask_t ranks[]; /* layer-major, one mask an expert */
};

bt_rank_mask_t
bt_mask_rank (int32_t rank)
{
  return (bt_rank_mask_t)1 << rank;
}

int32_t
bt_count_ranks (bt_rank_mask_t ranks)
{
  return __builtin_popcountll ((uint64_t)ranks)
         + __builtin_popcountll ((uint64_t)(ranks >> WORD_BITS));
}

int32_t
bt_take_rank (bt_rank_mask_t *ranks)
{
  uint64_t low = (uint64_t)*ranks;
  int32_t rank = low != 0 ? __builtin_ctzll (low)
                          : WORD_BITS + __builtin_ctzll ((uint64_t)(*ranks >> WORD_BITS));

  *ranks &= *ranks - 1;
  return rank;
}

static bool
check_shape (bt_map_shape_t shape, bt_error_t *error)
{
  if (shape.layers < 1 || shape.layers > BT_MAP_MAX_LAYERS)
    return bt_set_error (error, BT_ERROR_FORMAT, "A map cannot have %d layers.", shape.layers);
  if (shape.experts < 1 || shape.experts > BT_MAP_MAX_EXPERTS)
    return bt_set_error (error, BT_ERROR_FORMAT, "A layer cannot have %d experts.", shape.experts);
  if (shape.ranks < 1 || shape.ranks > BT_MAP_MAX_RANKS)
    return bt_set_error (error, BT_ERROR_FORMAT, "A group cannot have %d ranks.", shape.ranks);
  return true;
}

static size_t
count_cells (bt_map_shape_t shape)
{
  return (size_t)shape.layers * (size_t)shape.experts;
}

static size_t
size_map (bt_map_shape_t shape)
{
  return sizeof (bt_expert_map_t) + count_cells (shape) * sizeof (bt_rank_mask_t);
}

static size_t
index_cell (const bt_expert_map_t *map, int32_t layer, int32_t expert)
{
  return (size_t)layer * (size_t)map->shape.experts + (size_t)expert;
}

bt_expert_map_t *
bt_new_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error)
{
  bt_expert_map_t *map;

  if (!check_shape (shape, error))
    return NULL;
  map = bt_calloc (ctx, 1, size_map (shape));
  map->shape = shape;
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
      bt_set_map_ranks (map, layer, expert,
                        bt_mask_rank ((int32_t)((int64_t)expert * shape.ranks / shape.experts)));
  return map;
}

bt_expert_map_t *
bt_copy_expert_map (bt_context_t *ctx, const bt_expert_map_t *map)
{
  return bt_memdup (ctx, map, size_map (map->shape));
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

bt_rank_mask_t
bt_get_map_ranks (const bt_expert_map_t *map, int32_t layer, int32_t expert)
{
  return map->ranks[index_cell (map, layer, expert)];
}

void
bt_set_map_ranks (bt_expert_map_t *map, int32_t layer, int32_t expert, bt_rank_mask_t ranks)
{
  map->ranks[index_cell (map, layer, expert)] = ranks;
}

void
bt_add_map_holder (bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank)
{
  bt_set_map_ranks (map, layer, expert,
                    bt_get_map_ranks (map, layer, expert) | bt_mask_rank (rank));
}

bool
bt_is_map_holder (const bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank)
{
  return (bt_get_map_ranks (map, layer, expert) >> rank & 1) != 0;
}

int32_t
bt_count_map_slots (const bt_expert_map_t *map, int32_t layer, int32_t rank)
{
  int32_t slots = 0;

  for (int32_t expert = 0; expert < map->shape.experts; expert++)
    slots += (int32_t)(bt_get_map_ranks (map, layer, expert) >> rank & 1);
  return slots;
}

int64_t
bt_count_map_moves (const bt_expert_map_t *current, const bt_expert_map_t *next)
{
  int64_t moves = 0;

  for (size_t i = 0; i < count_cells (current->shape); i++)
    moves += bt_count_ranks (next->ranks[i] & ~current->ranks[i]);
  return moves;
}

static void
write_header (uint8_t *data, bt_map_shape_t shape)
{
  data[0] = MAGIC_0;
  data[1] = MAGIC_1;
  data[2] = FORMAT_VERSION;
  data[AT_LAYERS] = (uint8_t)shape.layers;
  data[AT_EXPERTS] = (uint8_t)(shape.experts & BYTE_MASK);
  data[AT_EXPERTS + 1] = (uint8_t)(shape.experts >> BYTE_BITS);
  data[AT_RANKS] = (uint8_t)shape.ranks;
  data[AT_RANKS + 1] = 0;
}

static uint8_t *
write_cell (uint8_t *at, bt_rank_mask_t ranks)
{
  while (ranks != 0)
    {
      int32_t rank = bt_take_rank (&ranks);

      *at++ = (uint8_t)(rank | (ranks != 0 ? MORE_FLAG : 0));
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
  size_t replicas = 0;
  uint8_t *at;

  for (size_t i = 0; i < count_cells (map->shape); i++)
    {
      if (map->ranks[i] == 0)
        {
          bt_set_error (error, BT_ERROR_FORMAT, "Expert %zu of layer %zu has no replica.",
                        i % (size_t)map->shape.experts, i / (size_t)map->shape.experts);
          return false;
        }
      replicas += (size_t)bt_count_ranks (map->ranks[i]);
    }
  encoded->bytes = (uint32_t)(HEADER_BYTES + replicas + DIGEST_BYTES);
  encoded->data = bt_calloc (ctx, encoded->bytes, 1);
  write_header (encoded->data, map->shape);
  at = encoded->data + HEADER_BYTES;
  for (size_t i = 0; i < count_cells (map->shape); i++)
    at = write_cell (at, map->ranks[i]);
  write_digest (at, bt_hash_bytes (encoded->data, encoded->bytes - DIGEST_BYTES, DIGEST_SEED));
  return true;
}

static bool
read_header (const uint8_t *data, uint32_t bytes, bt_map_shape_t *shape, bt_error_t *error)
{
  if (bytes < HEADER_BYTES + DIGEST_BYTES || data[0] != MAGIC_0 || data[1] != MAGIC_1)
    return bt_set_error (error, BT_ERROR_FORMAT, "These %u bytes are no expert map.", bytes);
  if (data[2] != FORMAT_VERSION || data[AT_RANKS + 1] != 0)
    return bt_set_error (error, BT_ERROR_FORMAT, "Expert maps of format %u cannot be read.",
                         data[2]);
  if (read_digest (data + bytes - DIGEST_BYTES)
      != bt_hash_bytes (data, bytes - DIGEST_BYTES, DIGEST_SEED))
    return bt_set_error (error, BT_ERROR_FORMAT, "The expert map's digest does not fit its bytes.");
  shape->layers = data[AT_LAYERS];
  shape->experts = data[AT_EXPERTS] | data[AT_EXPERTS + 1] << BYTE_BITS;
  shape->ranks = data[AT_RANKS];
  return check_shape (*shape, error);
}

/* Reads one expert's replicas; NULL when they run past the end, repeat or leave the group. */
static const uint8_t *
read_cell (const uint8_t *at, const uint8_t *end, int32_t ranks, bt_rank_mask_t *mask)
{
  int32_t last = -1;
  bool more = true;

  *mask = 0;
  while (more)
    {
      int32_t rank;

      if (at == end)
        return NULL;
      rank = *at & RANK_BITS;
      more = (*at & MORE_FLAG) != 0;
      if (rank <= last || rank >= ranks)
        return NULL;
      *mask |= bt_mask_rank (rank);
      last = rank;
      at++;
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
      bt_set_error (error, BT_ERROR_FORMAT, "The expert map is cut short.");
      return NULL;
    }
  map = bt_new_expert_map (ctx, shape, error);
  for (size_t i = 0; i < count_cells (shape) && at != NULL; i++)
    at = read_cell (at, end, shape.ranks, &map->ranks[i]);
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
