#include "queue_counts.h"

#include "bilberrytray/base/counters.h"

static void
count_served (bt_context_t *ctx, const char *order)
{
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_queue_served_total",
                                   "Queued requests of contended apps that were sent.", "order",
                                   order),
                  1);
}

static void
count_displaced (bt_context_t *ctx, bt_priority_t priority)
{
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_queue_displaced_total",
                                   "Queued requests that more urgent ones displaced.", "priority",
                                   bt_name_priority (priority)),
                  1);
}

void
bt_count_queue_decision (bt_context_t *ctx,
                         const bt_admission_decision_t *decision,
                         bt_priority_t priority)
{
  if (decision->order == BT_QUEUE_ORDER_IN_TIME)
    count_served (ctx, "in-time");
  else if (decision->order == BT_QUEUE_ORDER_LATE)
    count_served (ctx, "late");
  if (decision->displaced)
    count_displaced (ctx, priority);
}
