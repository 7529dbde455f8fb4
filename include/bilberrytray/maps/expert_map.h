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

/** Bounds of a map; that of its ranks is BT_MAX_RANKS. */
enum
{
  BT_MAP_MAX_LAYERS = 128,
  BT_MAP_MAX_EXPERTS = 1024,
};

typedef struct bt_expert_map bt_expert_map_t;

/** What a map spans. */
typedef struct bt_map_shape
{
  int32_t layers;
  int32_t experts; /**< In each layer. */
  int32_t ranks;
} bt_map_shape_t;

/** Encoded bytes of a map, owned by whoever asked for them. */
typedef struct bt_map_bytes
{
  uint8_t *data; /**< Free it with bt_free. */
  uint32_t bytes;
} bt_map_bytes_t;

/** Makes a map without any replica; NULL when the shape is out of bounds. */
bt_expert_map_t *bt_new_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error);

/** Makes a map that gives each expert one replica, in equal blocks of neighbours. */
bt_expert_map_t *
bt_new_block_expert_map (bt_context_t *ctx, bt_map_shape_t shape, bt_error_t *error);

/** A copy that may be changed without changing @p map. */
bt_expert_map_t *bt_copy_expert_map (bt_context_t *ctx, const bt_expert_map_t *map);

void bt_drop_expert_map (bt_context_t *ctx, bt_expert_map_t *map);

bt_map_shape_t bt_get_map_shape (const bt_expert_map_t *map);

/** The ranks that hold an expert, as the map has them: they change with it. */
bt_rank_set_t bt_get_map_ranks (const bt_expert_map_t *map, int32_t layer, int32_t expert);

/** Replaces the ranks that hold an expert by a set of the same group. */
void bt_set_map_ranks (bt_expert_map_t *map, int32_t layer, int32_t expert, bt_rank_set_t ranks);

/** Has a rank hold an expert too. */
void bt_add_map_holder (bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank);

/** True when a rank holds an expert. */
bool bt_is_map_holder (const bt_expert_map_t *map, int32_t layer, int32_t expert, int32_t rank);

/** How many replicas a rank holds in one layer. */
int32_t bt_count_map_slots (const bt_expert_map_t *map, int32_t layer, int32_t rank);

/** Replicas that @p next has and @p current lacks, over all layers: each is one transfer. */
int64_t bt_count_map_moves (const bt_expert_map_t *current, const bt_expert_map_t *next);

/** Encodes a map: a header, one byte a replica (two in a group of more than 128 ranks), and the
 * digest of what stands before it. The same map always gives the same bytes. Fails when an expert
 * has no replica. */
bool bt_encode_expert_map (bt_context_t *ctx,
                           const bt_expert_map_t *map,
                           bt_map_bytes_t *encoded,
                           bt_error_t *error);

/** Decodes a map; NULL with BT_ERROR_FORMAT for bytes that bt_encode_expert_map cannot have
 * written, so that a cut or damaged map is never put into use. */
bt_expert_map_t *
bt_decode_expert_map (bt_context_t *ctx, const uint8_t *data, uint32_t bytes, bt_error_t *error);

/** The digest of a map, the one that ends its encoding; 0 when an expert has no replica. */
uint64_t bt_digest_expert_map (bt_context_t *ctx, const bt_expert_map_t *map);

#endif
