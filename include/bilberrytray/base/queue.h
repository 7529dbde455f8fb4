#ifndef BILBERRYTRAY_BASE_QUEUE_H
#define BILBERRYTRAY_BASE_QUEUE_H

/** @file
 * A bounded queue of pointers between threads, over Concurrency Kit's ring.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_queue bt_queue_t;

/** Makes a queue for up to @p capacity - 1 items; @p capacity is a power of two from 4 up. */
bt_queue_t *bt_new_queue (bt_context_t *ctx, uint32_t capacity);

/** Frees the queue, not the items in it. NULL is accepted. */
void bt_drop_queue (bt_context_t *ctx, bt_queue_t *queue);

/** Adds an item from any thread; false when the queue is full. */
bool bt_push_queue (bt_queue_t *queue, void *item);

/** Takes the oldest item, from any thread; NULL when there is none. */
void *bt_pop_queue (bt_queue_t *queue);

#endif
