#include "map_planning.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/limit.h"
#include "bilberrytray/base/log.h"

enum
{
  MAX_CACHED_MAPS = 6,
  MAX_STORED_MAPS = 8,
  KEY_BYTES = 256,
  PERCENT = 100,
};

/** A map in the cache. */
typedef struct cached_map
{
  uint64_t digest;
  bt_expert_map_t *map;
  bt_map_bytes_t bytes;
} cached_map_t;

struct bt_map_planning
{
  bt_context_t *ctx;
  bt_map_planning_settings_t settings;
  uint64_t first_digest;
  bt_map_history_t *history;
  uint64_t in_use;      /* as of the last update of history */
  int64_t next_plan_ms; /* time of the next plan */
  bt_counter_t *skew_gauge;
  bt_counter_t *planned_bytes_counter;
  uint64_t stored_maps[MAX_STORED_MAPS]; /* maps that may be in the store */
  int32_t stored_map_count;

  pthread_mutex_t lock; /* guards the members below */
  bt_expert_load_t *load;
  bool has_load;
  cached_map_t maps[MAX_CACHED_MAPS];
  int32_t next_cache_index; /* cache entry that is replaced next */
};

/* Adds a map to the cache, takes ownership of it and returns its digest. With the lock held. */
static uint64_t
cache_map (bt_map_planning_t *planning, bt_expert_map_t *map)
{
  cached_map_t *cached = &planning->maps[planning->next_cache_index];

  /* Discarded plans must not evict the map in use. */
  if (cached->map != NULL && cached->digest == planning->in_use)
    {
      planning->next_cache_index = (planning->next_cache_index + 1) % MAX_CACHED_MAPS;
      cached = &planning->maps[planning->next_cache_index];
    }
  bt_drop_expert_map (planning->ctx, cached->map);
  bt_free (planning->ctx, cached->bytes.data);
  memset (cached, 0, sizeof *cached);
  cached->map = map;
  cached->digest = bt_digest_expert_map (planning->ctx, map);
  bt_encode_expert_map (planning->ctx, map, &cached->bytes, NULL);
  planning->next_cache_index = (planning->next_cache_index + 1) % MAX_CACHED_MAPS;
  return cached->digest;
}

static const cached_map_t *
find_cached_map (const bt_map_planning_t *planning, uint64_t digest)
{
  for (int32_t i = 0; i < MAX_CACHED_MAPS; i++)
    if (planning->maps[i].map != NULL && planning->maps[i].digest == digest)
      return &planning->maps[i];
  return NULL;
}

bt_map_planning_t *
bt_new_map_planning (bt_context_t *ctx, const bt_map_planning_settings_t *settings)
{
  bt_map_planning_t *planning = bt_calloc (ctx, 1, sizeof *planning);
  bt_map_shape_t shape = settings->shape;

  planning->ctx = ctx;
  planning->settings = *settings;
  pthread_mutex_init (&planning->lock, NULL);
  planning->load = bt_new_expert_load (ctx, shape.layers, shape.experts, settings->half_life_ms);
  planning->history = bt_new_map_history (ctx, shape);
  planning->first_digest = cache_map (planning, bt_new_block_expert_map (ctx, shape, NULL));
  planning->skew_gauge =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_map_skew_percent",
                       "Predicted step-time skew of the map in use.", NULL, NULL);
  planning->planned_bytes_counter =
      bt_find_counter (ctx, BT_COUNTER, "bilberry_map_planned_bytes_total",
                       "Bytes of the moves that were planned.", NULL, NULL);
  return planning;
}

void
bt_drop_map_planning (bt_context_t *ctx, bt_map_planning_t *planning)
{
  if (planning == NULL)
    return;
  for (int32_t i = 0; i < MAX_CACHED_MAPS; i++)
    {
      bt_drop_expert_map (ctx, planning->maps[i].map);
      bt_free (ctx, planning->maps[i].bytes.data);
    }
  bt_drop_expert_load (ctx, planning->load);
  bt_drop_map_history (ctx, planning->history);
  pthread_mutex_destroy (&planning->lock);
  bt_free (ctx, planning);
}

uint64_t
bt_get_first_map (const bt_map_planning_t *planning)
{
  return planning->first_digest;
}

void
bt_record_map_loads (bt_map_planning_t *planning, const Bilberry__MapReport *frame, int64_t now_ms)
{
  bt_map_shape_t shape = planning->settings.shape;

  if (frame->layers != (uint32_t)shape.layers || frame->experts != (uint32_t)shape.experts
      || frame->n_expert_load != (size_t)shape.layers * (size_t)shape.experts)
    return;
  pthread_mutex_lock (&planning->lock);
  bt_decay_expert_load (planning->load, now_ms);
  for (int32_t layer = 0; layer < shape.layers; layer++)
    for (int32_t expert = 0; expert < shape.experts; expert++)
      bt_add_expert_load (planning->load, layer, expert,
                          frame->expert_load[layer * shape.experts + expert]);
  planning->has_load = true;
  pthread_mutex_unlock (&planning->lock);
}

bool
bt_copy_map_bytes (bt_map_planning_t *planning, uint64_t digest, bt_map_bytes_t *bytes)
{
  const cached_map_t *cached;

  pthread_mutex_lock (&planning->lock);
  cached = find_cached_map (planning, digest);
  if (cached != NULL)
    {
      bytes->bytes = cached->bytes.bytes;
      bytes->data = bt_memdup (planning->ctx, cached->bytes.data, cached->bytes.bytes);
    }
  pthread_mutex_unlock (&planning->lock);
  return cached != NULL;
}

static void
format_map_key (const bt_map_planning_t *planning, uint64_t digest, char *key)
{
  snprintf (key, KEY_BYTES, "%s%s/map/%llx", planning->settings.store_prefix,
            planning->settings.group, (unsigned long long)digest);
}

static bool
is_map_cached (bt_map_planning_t *planning, uint64_t digest)
{
  bool cached;

  pthread_mutex_lock (&planning->lock);
  cached = find_cached_map (planning, digest) != NULL;
  pthread_mutex_unlock (&planning->lock);
  return cached;
}

/* Adds a stored map to the cache, but only if it can be decoded, has the group's shape and has
 * the requested digest. */
static void
cache_stored_map (bt_map_planning_t *planning, const bt_kv_pair_t *pair, uint64_t digest)
{
  bt_error_t error = { 0 };
  bt_expert_map_t *map = bt_decode_expert_map (planning->ctx, (const uint8_t *)pair->value,
                                               (uint32_t)pair->value_bytes, &error);
  bt_map_shape_t shape;

  if (map == NULL)
    {
      bt_log (planning->ctx, BT_LOG_ERROR, BT_PART_MAPS, "Cannot decode a stored map: %s",
              error.message);
      return;
    }
  shape = bt_get_map_shape (map);
  if (memcmp (&shape, &planning->settings.shape, sizeof shape) != 0
      || bt_digest_expert_map (planning->ctx, map) != digest)
    {
      bt_drop_expert_map (planning->ctx, map);
      return;
    }
  pthread_mutex_lock (&planning->lock);
  cache_map (planning, map);
  pthread_mutex_unlock (&planning->lock);
}

void
bt_fetch_map (bt_map_planning_t *planning, bt_kv_t *kv, uint64_t digest)
{
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  char key[KEY_BYTES];

  if (digest == 0 || is_map_cached (planning, digest))
    return;
  if (digest == planning->first_digest)
    {
      pthread_mutex_lock (&planning->lock);
      cache_map (planning, bt_new_block_expert_map (planning->ctx, planning->settings.shape, NULL));
      pthread_mutex_unlock (&planning->lock);
      return;
    }
  format_map_key (planning, digest, key);
  if (bt_read_kv (planning->ctx, kv, key, false, &range, &error) && range.count == 1)
    cache_stored_map (planning, &range.pairs[0], digest);
  bt_drop_kv_range (planning->ctx, &range);
}

/* Copies the map in use as the base of the next plan, and records its changes for the minimum
 * stay of replicas. Returns NULL if the map is not cached or no loads were reported yet. */
static bt_expert_map_t *
copy_map_in_use (bt_map_planning_t *planning, uint64_t in_use, int64_t now_ms)
{
  const cached_map_t *current;
  const cached_map_t *previous;
  bt_expert_map_t *map = NULL;

  pthread_mutex_lock (&planning->lock);
  current = find_cached_map (planning, in_use);
  previous = find_cached_map (planning, planning->in_use);
  if (current != NULL && previous != NULL && current != previous)
    bt_record_map_change (planning->history, previous->map, current->map, now_ms);
  if (current != NULL && planning->has_load)
    map = bt_copy_expert_map (planning->ctx, current->map);
  planning->in_use = in_use;
  pthread_mutex_unlock (&planning->lock);
  return map;
}

static void
add_stored_map (bt_map_planning_t *planning, uint64_t digest)
{
  for (int32_t i = 0; i < planning->stored_map_count; i++)
    if (planning->stored_maps[i] == digest)
      return;
  if (planning->stored_map_count < MAX_STORED_MAPS)
    planning->stored_maps[planning->stored_map_count++] = digest;
  else
    bt_report_limit (planning->ctx, "stored-maps", MAX_STORED_MAPS, planning->settings.group,
                     "A map that may be in the store will not be deleted.");
}

/* Stores a map and deletes the older ones, except the map in use. A controller that was
 * suspended before this could delete a map that its successor has brought into use, and a
 * replaced rank could not join; so the same transaction compares the fencing number. */
static bool
store_map (bt_map_planning_t *planning,
           bt_kv_t *kv,
           uint64_t fence,
           uint64_t in_use,
           const cached_map_t *next)
{
  char fence_key[KEY_BYTES];
  char keys[MAX_STORED_MAPS + 1][KEY_BYTES];
  bt_kv_write_t writes[MAX_STORED_MAPS + 1] = { { BT_KV_PUT, keys[0] } };
  bt_kv_compare_t compare = { fence_key, (int64_t)fence };
  bt_kv_txn_t txn = { &compare, 1, writes, 1 };
  bt_kv_txn_result_t result = { 0 };
  bt_error_t error = { 0 };

  snprintf (fence_key, sizeof fence_key, "%s%s/fence", planning->settings.store_prefix,
            planning->settings.group);
  format_map_key (planning, next->digest, keys[0]);
  writes[0].value = (const char *)next->bytes.data;
  writes[0].value_bytes = next->bytes.bytes;
  for (int32_t i = 0; i < planning->stored_map_count; i++)
    if (planning->stored_maps[i] != in_use && planning->stored_maps[i] != next->digest)
      {
        format_map_key (planning, planning->stored_maps[i], keys[txn.write_count]);
        writes[txn.write_count] = (bt_kv_write_t){ BT_KV_DELETE, keys[txn.write_count] };
        txn.write_count++;
      }
  if (!bt_commit_kv (planning->ctx, kv, &txn, &result, &error) || !result.succeeded)
    {
      add_stored_map (planning, next->digest); /* the write may have succeeded */
      return false;
    }
  planning->stored_map_count = 0;
  add_stored_map (planning, in_use);
  add_stored_map (planning, next->digest);
  return true;
}

/* Plans from a copy of the loads, so that reports do not have to wait until the plan is made. */
static bt_map_plan_t *
make_plan (bt_map_planning_t *planning, const bt_expert_map_t *map, int64_t now_ms)
{
  bt_map_shape_t shape = planning->settings.shape;
  bt_expert_load_t *load = bt_new_expert_load (planning->ctx, shape.layers, shape.experts, 1);
  bt_map_input_t input = { map, load, planning->history };
  bt_map_plan_t *plan;

  pthread_mutex_lock (&planning->lock);
  bt_decay_expert_load (planning->load, now_ms);
  for (int32_t layer = 0; layer < shape.layers; layer++)
    for (int32_t expert = 0; expert < shape.experts; expert++)
      bt_add_expert_load (load, layer, expert, bt_get_expert_load (planning->load, layer, expert));
  pthread_mutex_unlock (&planning->lock);
  input.weights = planning->settings.weights;
  input.limits = planning->settings.limits;
  input.now_ms = now_ms;
  plan = bt_plan_map (planning->ctx, bt_get_cost_benefit_planner (), &input);
  bt_drop_expert_load (planning->ctx, load);
  return plan;
}

/* Stores a plan's map, caches it and returns its digest; 0 if it could not be stored. */
static uint64_t
store_plan (bt_map_planning_t *planning,
            bt_kv_t *kv,
            uint64_t fence,
            uint64_t in_use,
            const bt_map_plan_t *plan)
{
  cached_map_t next = { bt_digest_expert_map (planning->ctx, plan->next), plan->next };
  bool stored = bt_encode_expert_map (planning->ctx, plan->next, &next.bytes, NULL)
                && store_map (planning, kv, fence, in_use, &next);

  bt_free (planning->ctx, next.bytes.data);
  if (!stored)
    return 0;
  bt_add_counter (planning->planned_bytes_counter, plan->moved_bytes);
  pthread_mutex_lock (&planning->lock);
  cache_map (planning, bt_copy_expert_map (planning->ctx, plan->next));
  pthread_mutex_unlock (&planning->lock);
  bt_log (planning->ctx, BT_LOG_INFO, BT_PART_MAPS,
          "Planned map %llx: skew %.3f to %.3f for %lld bytes.", (unsigned long long)next.digest,
          plan->skew_before, plan->skew_after, (long long)plan->moved_bytes);
  return next.digest;
}

uint64_t
bt_plan_next_map (
    bt_map_planning_t *planning, bt_kv_t *kv, uint64_t fence, uint64_t in_use, int64_t now_ms)
{
  bt_expert_map_t *map;
  bt_map_plan_t *plan;
  uint64_t digest = 0;

  if (now_ms < planning->next_plan_ms)
    return 0;
  map = copy_map_in_use (planning, in_use, now_ms);
  if (map == NULL)
    return 0;
  planning->next_plan_ms = now_ms + planning->settings.interval_ms;
  add_stored_map (planning, in_use);
  plan = make_plan (planning, map, now_ms);
  bt_set_gauge (planning->skew_gauge, (int64_t)(plan->skew_before * PERCENT));
  if (plan->move_count > 0)
    digest = store_plan (planning, kv, fence, in_use, plan);
  bt_drop_map_plan (planning->ctx, plan);
  bt_drop_expert_map (planning->ctx, map);
  return digest;
}
