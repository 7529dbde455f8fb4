#ifndef BILBERRYTRAY_MAPS_EXPERT_MAP_H
#define BILBERRYTRAY_MAPS_EXPERT_MAP_H

/** @file
 * An expert map: which ranks of a group hold a replica of each expert of each layer.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/maps/rank_set.h"

/** Limits of a map; the limit on ranks is BT_MAX_RANKS. */
enum
{
  BT_MAP_MAX_LAYERS = 128,
  BT_MAP_MAX_EXPERTS = 1024,
};

typedef struct bt_expert_map bt_expert_map_t;

/** The dimensions of a map. */
typedef struct bt_map_shape
{
  int32_t layers;
  int32_t experts; /**< In each layer. */
  int32_t ranks;
} bt_map_shape_t;

/** An encoded map, owned by the caller that requested the encoding. */
typedef struct bt_map_bytes
{
  uint8_t *data; /**< Free it with bt_free. */
  uint32_t bytes;
} bt_map_bytes_t;

/** Creates a map without any replica; NULL when the shape is out of bounds. */
bt_expert_map_t *bt_new_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error);

/** Creates a map with one replica of each expert, assigned to the ranks in equal contiguous blocks;
 * NULL when the shape is out of bounds. */
bt_expert_map_t *
bt_new_block_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error);

/** Returns an independent copy of @p map. */
bt_expert_map_t *bt_copy_expert_map (bt_context_t *ctx, const bt_expert_map_t *map);

void bt_drop_expert_map (bt_context_t *ctx, bt_expert_map_t *map);

bt_map_shape_t bt_get_map_shape (const bt_expert_map_t *map);

/** The ranks that hold an expert. The set refers to the map's storage and changes with it. */
bt_rank_set_t bt_get_map_ranks (const bt_expert_map_t *map, int32_t layer, int32_t expert);

/** Replaces the ranks that hold an expert; @p ranks must be a set of the same group. */
void bt_set_map_ranks (bt_expert_map_t *map, int32_t layer, int32_t expert, bt_rank_set_t ranks);

/** Adds a rank to those that hold an expert. */
void bt_add_map_holder (bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank);

/** True when a rank holds an expert. */
bool bt_is_map_holder (const bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank);

/** The number of replicas that a rank holds in one layer. */
int32_t bt_count_map_slots (const bt_expert_map_t *map, int32_t layer, int32_t rank);

/** Counts the replicas that @p next has and @p current lacks, over all layers. Each one is a
 * transfer. */
int64_t bt_count_map_moves (const bt_expert_map_t *current, const bt_expert_map_t *next);

/** Encodes a map as a header, one byte per replica (two in a group of more than 128 ranks), and a
 * digest of all preceding bytes. The same map always encodes to the same bytes. Fails when an
 * expert has no replica. */
bool bt_encode_expert_map (bt_context_t *ctx,
                           const bt_expert_map_t *map,
                           bt_map_bytes_t *encoded,
                           bt_error_t *error);

/** Decodes a map. Returns NULL with BT_ERROR_FORMAT for bytes that bt_encode_expert_map cannot have
 * written, so that a truncated or damaged map is never used. */
bt_expert_map_t *
bt_decode_expert_map (bt_context_t *ctx, const uint8_t *data, uint32_t bytes, bt_error_t *error);

/** The digest that ends the encoding of a map; 0 when an expert has no replica. */
uint64_t bt_digest_expert_map (bt_context_t *ctx, const bt_expert_map_t *map);

#endif
