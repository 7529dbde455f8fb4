#include "harness_world.h"

enum
{
  FIRST_EVENTS = 1024,
};

static bool
is_earlier (const event_t *left, const event_t *right)
{
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us;
  return left->number < right->number;
}

static void
swap_events (world_t *world, int32_t left, int32_t right)
{
  const event_t kept = world->heap[left];

  world->heap[left] = world->heap[right];
  world->heap[right] = kept;
}

void
bt_push_event (world_t *world, const event_t *event)
{
  int32_t at = world->heap_count;

  if (at == world->heap_capacity)
    {
      world->heap_capacity = at == 0 ? FIRST_EVENTS : 2 * at;
      world->heap =
          bt_realloc (world->ctx, world->heap, (size_t)world->heap_capacity, sizeof *world->heap);
    }
  world->heap[at] = *event;
  world->heap[at].number = world->event_number++;
  world->heap_count++;
  while (at > 0 && is_earlier (&world->heap[at], &world->heap[(at - 1) / 2]))
    {
      swap_events (world, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

bool
bt_pop_event (world_t *world, event_t *event)
{
  int32_t at = 0;

  if (world->heap_count == 0)
    return false;
  *event = world->heap[0];
  world->heap[0] = world->heap[--world->heap_count];
  while (true)
    {
      int32_t least = at;

      for (int32_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < world->heap_count && is_earlier (&world->heap[child], &world->heap[least]))
          least = child;
      if (least == at)
        break;
      swap_events (world, at, least);
      at = least;
    }
  return true;
}
