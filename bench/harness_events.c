#include "harness_simulation.h"

enum
{
  INITIAL_EVENTS = 1024,
};

static bool
is_earlier (const event_t *left, const event_t *right)
{
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us;
  return left->sequence < right->sequence;
}

static void
swap_events (simulation_t *sim, int32_t left, int32_t right)
{
  const event_t saved = sim->heap[left];

  sim->heap[left] = sim->heap[right];
  sim->heap[right] = saved;
}

void
bt_push_event (simulation_t *sim, const event_t *event)
{
  int32_t at = sim->heap_count;

  if (at == sim->heap_capacity)
    {
      sim->heap_capacity = at == 0 ? INITIAL_EVENTS : 2 * at;
      sim->heap = bt_realloc (sim->ctx, sim->heap, (size_t)sim->heap_capacity, sizeof *sim->heap);
    }
  sim->heap[at] = *event;
  sim->heap[at].sequence = sim->next_event_sequence++;
  sim->heap_count++;
  while (at > 0 && is_earlier (&sim->heap[at], &sim->heap[(at - 1) / 2]))
    {
      swap_events (sim, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

bool
bt_pop_event (simulation_t *sim, event_t *event)
{
  int32_t at = 0;

  if (sim->heap_count == 0)
    return false;
  *event = sim->heap[0];
  sim->heap[0] = sim->heap[--sim->heap_count];
  while (true)
    {
      int32_t smallest = at;

      for (int32_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < sim->heap_count && is_earlier (&sim->heap[child], &sim->heap[smallest]))
          smallest = child;
      if (smallest == at)
        break;
      swap_events (sim, at, smallest);
      at = smallest;
    }
  return true;
}
