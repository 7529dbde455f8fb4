#ifndef BILBERRYTRAY_BASE_QUEUE_H
#define BILBERRYTRAY_BASE_QUEUE_H

/** @file
 * A bounded multi-producer, multi-consumer queue of pointers, based on Concurrency Kit's ck_ring.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_queue bt_queue_t;

/** Creates a queue for up to @p capacity - 1 items. @p capacity is a power of two, at least 4. */
bt_queue_t *bt_new_queue (bt_context_t *ctx, uint32_t capacity);

/** Frees the queue but not the items in it. NULL is accepted. */
void bt_drop_queue (bt_context_t *ctx, bt_queue_t *queue);

/** Adds an item. False when the queue is full. Can be called from any thread. */
bool bt_push_queue (bt_queue_t *queue, void *item);

/** Removes and returns the oldest item, or NULL when the queue is empty. Can be called from any
 * thread. */
void *bt_pop_queue (bt_queue_t *queue);

#endif
