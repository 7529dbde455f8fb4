#include "bilberrytray/load/run_queue.h"

#include <math.h>
#include <string.h>

#include "fair_queue.h"

enum
{
  DEFAULT_SLOTS = 8,
  DEFAULT_QUEUE_LIMIT = 16,
  DEFAULT_SERVICE_MS = 500,
  /* Weight of a new measurement in the mean: 1 / MEAN_WEIGHT. */
  MEAN_WEIGHT = 8,
};

struct bt_run_queue
{
  bt_run_queue_options_t options;
  bt_fair_queue_t *queued;
  int32_t running;
  double service_ms;
  bool measured; /* a run has ended with a measured time */
  bool leaving;
  bt_fair_item_t *evicted; /* evicted items whose refusals are not yet returned */
  int32_t evicted_count;
  int32_t evicted_capacity;
};

void
bt_default_run_queue_options (bt_run_queue_options_t *options)
{
  options->slots = DEFAULT_SLOTS;
  options->queue_limit = DEFAULT_QUEUE_LIMIT;
  options->default_service_ms = DEFAULT_SERVICE_MS;
}

bt_run_queue_t *
bt_new_run_queue (bt_context_t *ctx, const bt_run_queue_options_t *options)
{
  bt_run_queue_t *queue = bt_calloc (ctx, 1, sizeof *queue);

  queue->options = *options;
  queue->queued = bt_new_fair_queue (ctx, options->queue_limit);
  queue->service_ms = (double)options->default_service_ms;
  return queue;
}

void
bt_drop_run_queue (bt_context_t *ctx, bt_run_queue_t *queue)
{
  if (queue == NULL)
    return;
  bt_drop_fair_queue (ctx, queue->queued);
  bt_free (ctx, queue->evicted);
  bt_free (ctx, queue);
}

/* Returns the time until a request with @p ahead requests queued before it gets a slot. */
static int64_t
get_wait_ms (const bt_run_queue_t *queue, int32_t ahead)
{
  const int32_t before = ahead + 1 + queue->running - queue->options.slots;

  return before > 0 ? (int64_t)(queue->service_ms * before / queue->options.slots) : 0;
}

static void
refuse (bt_run_decision_t *decision, bt_reason_t reason, int64_t retry_after_ms)
{
  decision->action = BT_RUN_REFUSED;
  decision->reason = reason;
  decision->retry_after_ms = retry_after_ms;
}

static void
add_evicted (bt_context_t *ctx, bt_run_queue_t *queue, const bt_fair_item_t *item)
{
  if (queue->evicted_count == queue->evicted_capacity)
    {
      queue->evicted_capacity = 2 * queue->evicted_capacity + 1;
      queue->evicted =
          bt_realloc (ctx, queue->evicted, (size_t)queue->evicted_capacity, sizeof *queue->evicted);
    }
  queue->evicted[queue->evicted_count++] = *item;
}

/* Queues a request, if necessary by evicting one of a lower priority or of an account that has more
 * requests queued. Eight entries, each of them fair, can still fill one endpoint's queue with the
 * requests of one account. */
static bool
queue_request (bt_context_t *ctx,
               bt_run_queue_t *queue,
               const bt_run_request_t *request,
               int64_t now_ms)
{
  const bt_fair_item_t item = {
    .id = request->id,
    .priority = request->priority,
    .give_up_ms = now_ms + request->deadline_left_ms - (int64_t)queue->service_ms,
    .queued_ms = now_ms,
    .share = request->share,
  };
  bt_fair_item_t victim;

  if (bt_push_fair_item (ctx, queue->queued, request->account, &item))
    return true;
  if (!bt_evict_fair_item (queue->queued, request->account, request->priority, &victim))
    return false;
  add_evicted (ctx, queue, &victim);
  return bt_push_fair_item (ctx, queue->queued, request->account, &item);
}

void
bt_offer_run (bt_context_t *ctx,
              bt_run_queue_t *queue,
              const bt_run_request_t *request,
              int64_t now_ms,
              bt_run_decision_t *decision)
{
  int64_t wait_ms;
  int64_t late_ms;

  memset (decision, 0, sizeof *decision);
  decision->id = request->id;
  if (queue->leaving)
    {
      refuse (decision, BT_REASON_ENDPOINT_LEAVING, 0);
      return;
    }
  if (queue->running < queue->options.slots && bt_count_fair_items (queue->queued) == 0)
    {
      queue->running++;
      decision->action = BT_RUN_START;
      return;
    }
  wait_ms = get_wait_ms (queue, bt_count_fair_items_ahead (queue->queued, request->account,
                                                           request->share > 0 ? request->share : 1,
                                                           request->priority, now_ms));
  late_ms = wait_ms + (int64_t)queue->service_ms - request->deadline_left_ms;
  if (late_ms > 0)
    refuse (decision, BT_REASON_DEADLINE_UNREACHABLE, late_ms);
  else if (queue_request (ctx, queue, request, now_ms))
    decision->action = BT_RUN_QUEUED;
  else
    refuse (decision, BT_REASON_ENDPOINT_FULL, wait_ms);
}

bool
bt_next_run (bt_run_queue_t *queue, int64_t now_ms, bt_run_decision_t *decision)
{
  bt_fair_item_t item;

  memset (decision, 0, sizeof *decision);
  if (queue->evicted_count > 0)
    {
      decision->id = queue->evicted[--queue->evicted_count].id;
      refuse (decision, BT_REASON_ENDPOINT_FULL,
              get_wait_ms (queue, bt_count_fair_items (queue->queued)));
      return true;
    }
  if (bt_expire_fair_item (queue->queued, now_ms, &item))
    {
      decision->id = item.id;
      refuse (decision, BT_REASON_DEADLINE_UNREACHABLE,
              get_wait_ms (queue, bt_count_fair_items (queue->queued)));
      return true;
    }
  if (queue->running >= queue->options.slots || !bt_pop_fair_item (queue->queued, now_ms, &item))
    return false;
  queue->running++;
  decision->id = item.id;
  decision->action = BT_RUN_START;
  return true;
}

void
bt_end_run (bt_run_queue_t *queue, int64_t service_ms)
{
  if (queue->running > 0)
    queue->running--;
  if (service_ms <= 0)
    return;
  queue->measured = true;
  queue->service_ms += ((double)service_ms - queue->service_ms) / MEAN_WEIGHT;
}

bool
bt_cancel_run (bt_run_queue_t *queue, uint64_t id)
{
  for (int32_t i = 0; i < queue->evicted_count; i++)
    if (queue->evicted[i].id == id)
      {
        queue->evicted[i] = queue->evicted[--queue->evicted_count];
        return true;
      }
  return bt_remove_fair_item (queue->queued, id);
}

void
bt_set_run_queue_leaving (bt_run_queue_t *queue, bool leaving)
{
  queue->leaving = leaving;
}

void
bt_set_run_slots (bt_run_queue_t *queue, int32_t slots)
{
  queue->options.slots = slots > 0 ? slots : 1;
}

void
bt_get_run_load (const bt_run_queue_t *queue, bt_load_t *load)
{
  memset (load, 0, sizeof *load);
  load->running = queue->running;
  load->queued = bt_count_fair_items (queue->queued);
  load->slots = queue->options.slots;
  load->queue_limit = queue->options.queue_limit;
  /* The default time is not reported: an endpoint that has completed no run would look fast. */
  if (queue->measured)
    load->service_ms = queue->service_ms < 1 ? 1 : (int32_t)lround (queue->service_ms);
}
