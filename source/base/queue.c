#include "bilberrytray/base/queue.h"

#include <ck_ring.h>
#include <stdatomic.h>

struct bt_queue
{
  ck_ring_t ring;
  ck_ring_buffer_t *slots;
  /* Number of pushes. The ring already orders accesses to items, but in assembly, which
   * ThreadSanitizer does not see, so it would report a race on each item. The release and acquire
   * on this counter express the same ordering in C. */
  atomic_ullong pushes;
};

bt_queue_t *
bt_new_queue (bt_context_t *ctx, uint32_t capacity)
{
  bt_queue_t *queue = bt_calloc (ctx, 1, sizeof *queue);

  queue->slots = bt_calloc (ctx, capacity, sizeof *queue->slots);
  ck_ring_init (&queue->ring, capacity);
  return queue;
}

void
bt_drop_queue (bt_context_t *ctx, bt_queue_t *queue)
{
  if (queue == NULL)
    return;
  bt_free (ctx, queue->slots);
  bt_free (ctx, queue);
}

bool
bt_push_queue (bt_queue_t *queue, void *item)
{
  atomic_fetch_add_explicit (&queue->pushes, 1, memory_order_release);
  return ck_ring_enqueue_mpmc (&queue->ring, queue->slots, item);
}

void *
bt_pop_queue (bt_queue_t *queue)
{
  void *item = NULL;

  if (!ck_ring_dequeue_mpmc (&queue->ring, queue->slots, &item))
    return NULL;
  atomic_load_explicit (&queue->pushes, memory_order_acquire);
  return item;
}
