#include "fair_queue.h"

#include <stdlib.h>
#include <string.h>

#include "backlog_order.h"

enum
{
  NONE = -1,
  INITIAL_ACCOUNTS = 16,
  /* Virtual time that one item of an account with share 1 takes. */
  VIRTUAL_TIME_PER_ITEM = 1 << 20,
};

/* A node of the queue, linked with the others of its account. */
typedef struct node
{
  bt_fair_item_t item;
  int32_t account; /* NONE if the node is free */
  int32_t next;    /* next node of the account or of the free list */
} node_t;

/* An account with its list of items, ordered by priority and then arrival. */
typedef struct account
{
  char name[BT_NAME_BYTES];
  int32_t head;
  int32_t count;
  int32_t share;
  uint64_t start_tag; /* start tag of its next item, in virtual time */
} account_t;

struct bt_fair_queue
{
  node_t *nodes;
  int32_t limit;
  int32_t count;
  int32_t free_head;
  account_t *accounts;
  int32_t account_count;
  int32_t account_capacity;
  uint64_t virtual_time;   /* highest start tag of the items served so far */
  int64_t next_give_up_ms; /* lower bound of give_up_ms of all items */
  bool late_last;
  bt_late_turns_t turns; /* of late items if these are served last */
};

bt_fair_queue_t *
bt_new_fair_queue (bt_context_t *ctx, int32_t limit)
{
  bt_fair_queue_t *queue = bt_calloc (ctx, 1, sizeof *queue);

  queue->limit = limit;
  queue->nodes = bt_calloc (ctx, (size_t)limit + 1, sizeof *queue->nodes);
  queue->free_head = limit > 0 ? 0 : NONE;
  for (int32_t i = 0; i < limit; i++)
    {
      queue->nodes[i].account = NONE;
      queue->nodes[i].next = i + 1 < limit ? i + 1 : NONE;
    }
  queue->next_give_up_ms = INT64_MAX;
  return queue;
}

void
bt_drop_fair_queue (bt_context_t *ctx, bt_fair_queue_t *queue)
{
  if (queue == NULL)
    return;
  bt_free (ctx, queue->nodes);
  bt_free (ctx, queue->accounts);
  bt_free (ctx, queue);
}

void
bt_set_fair_queue_late_last (bt_fair_queue_t *queue, bool late_last)
{
  queue->late_last = late_last;
}

static int32_t
find_account (const bt_fair_queue_t *queue, const char *name)
{
  for (int32_t i = 0; i < queue->account_count; i++)
    if (strcmp (queue->accounts[i].name, name) == 0)
      return i;
  return NONE;
}

/* Returns the index of an account whose entry can be reused: it has no items and its start tag is
 * not ahead of the virtual time; NONE if there is none. Without reuse, account names seen once
 * would fill the table. */
static int32_t
find_reusable_account (const bt_fair_queue_t *queue)
{
  for (int32_t i = 0; i < queue->account_count; i++)
    if (queue->accounts[i].count == 0 && queue->accounts[i].start_tag <= queue->virtual_time)
      return i;
  return NONE;
}

static int32_t
find_or_add_account (bt_context_t *ctx, bt_fair_queue_t *queue, const char *name)
{
  int32_t index = find_account (queue, name);

  if (index != NONE)
    return index;
  index = find_reusable_account (queue);
  if (index == NONE && queue->account_count == queue->account_capacity)
    {
      queue->account_capacity =
          queue->account_capacity == 0 ? INITIAL_ACCOUNTS : 2 * queue->account_capacity;
      queue->accounts = bt_realloc (ctx, queue->accounts, (size_t)queue->account_capacity,
                                    sizeof *queue->accounts);
    }
  if (index == NONE)
    index = queue->account_count++;
  memset (&queue->accounts[index], 0, sizeof queue->accounts[index]);
  bt_copy_name (queue->accounts[index].name, name);
  queue->accounts[index].head = NONE;
  return index;
}

bool
bt_push_fair_item (bt_context_t *ctx,
                   bt_fair_queue_t *queue,
                   const char *name,
                   const bt_fair_item_t *item)
{
  int32_t at = queue->free_head;
  account_t *account;
  int32_t *link;
  int32_t index;

  if (at == NONE)
    return false;
  index = find_or_add_account (ctx, queue, name);
  account = &queue->accounts[index];
  queue->free_head = queue->nodes[at].next;
  if (account->count == 0 && account->start_tag < queue->virtual_time)
    account->start_tag = queue->virtual_time;
  link = &account->head;
  while (*link != NONE && queue->nodes[*link].item.priority >= item->priority
         && !(item->at_front && queue->nodes[*link].item.priority == item->priority))
    link = &queue->nodes[*link].next;
  account->share = item->share > 0 ? item->share : 1;
  queue->nodes[at].item = *item;
  queue->nodes[at].account = index;
  queue->nodes[at].next = *link;
  *link = at;
  account->count++;
  queue->count++;
  if (item->give_up_ms < queue->next_give_up_ms)
    queue->next_give_up_ms = item->give_up_ms;
  return true;
}

/* Unlinks a node from its account and frees it. */
static void
remove_node (bt_fair_queue_t *queue, int32_t at, bt_fair_item_t *item)
{
  account_t *account = &queue->accounts[queue->nodes[at].account];
  int32_t *link = &account->head;

  while (*link != at)
    link = &queue->nodes[*link].next;
  *link = queue->nodes[at].next;
  account->count--;
  queue->count--;
  if (item != NULL)
    *item = queue->nodes[at].item;
  queue->nodes[at].account = NONE;
  queue->nodes[at].next = queue->free_head;
  queue->free_head = at;
}

bool
bt_is_fair_item_late (const bt_fair_item_t *item, int64_t now_ms)
{
  return item->target_ms > 0 && now_ms > item->target_ms;
}

/* Returns the next item of an account: the first that is not late, of its highest priority unless
 * late items of all priorities are served last, or the first if all are late. */
static int32_t
find_next_of_account (const bt_fair_queue_t *queue, const account_t *account, int64_t now_ms)
{
  const int32_t priority = queue->nodes[account->head].item.priority;

  for (int32_t at = account->head; at != NONE; at = queue->nodes[at].next)
    if (queue->nodes[at].item.priority != priority && !queue->late_last)
      break;
    else if (!bt_is_fair_item_late (&queue->nodes[at].item, now_ms))
      return at;
  return account->head;
}

/** Next item of one account. */
typedef struct candidate
{
  account_t *account;
  int32_t at;
  bool late;
} candidate_t;

/* Returns true if the left candidate is served before the right one. */
static bool
is_served_before (const bt_fair_queue_t *queue, const candidate_t *left, const candidate_t *right)
{
  const bt_fair_item_t *left_item = &queue->nodes[left->at].item;
  const bt_fair_item_t *right_item = &queue->nodes[right->at].item;

  if (queue->late_last && left->late != right->late)
    return right->late;
  if (left_item->priority != right_item->priority)
    return left_item->priority > right_item->priority;
  if (left->late != right->late)
    return right->late;
  if (left->account->start_tag != right->account->start_tag)
    return left->account->start_tag < right->account->start_tag;
  return left_item->queued_ms < right_item->queued_ms;
}

/* Finds the next item in fair order. Returns false if the queue is empty. */
static bool
find_next (bt_fair_queue_t *queue, int64_t now_ms, candidate_t *next)
{
  next->account = NULL;
  for (int32_t i = 0; i < queue->account_count; i++)
    {
      candidate_t candidate = { &queue->accounts[i] };

      if (candidate.account->count == 0)
        continue;
      candidate.at = find_next_of_account (queue, candidate.account, now_ms);
      candidate.late = bt_is_fair_item_late (&queue->nodes[candidate.at].item, now_ms);
      if (next->account == NULL || is_served_before (queue, &candidate, next))
        *next = candidate;
    }
  return next->account != NULL;
}

/* Finds the late item that has waited longest. Returns false if there is none. */
static bool
find_oldest_late (bt_fair_queue_t *queue, int64_t now_ms, candidate_t *oldest)
{
  oldest->account = NULL;
  oldest->late = true;
  for (int32_t i = 0; i < queue->account_count; i++)
    for (int32_t at = queue->accounts[i].head; at != NONE; at = queue->nodes[at].next)
      {
        if (!bt_is_fair_item_late (&queue->nodes[at].item, now_ms))
          continue;
        if (oldest->account != NULL
            && queue->nodes[at].item.queued_ms >= queue->nodes[oldest->at].item.queued_ms)
          continue;
        oldest->account = &queue->accounts[i];
        oldest->at = at;
      }
  return oldest->account != NULL;
}

bool
bt_pop_fair_item (bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *item)
{
  candidate_t next;
  candidate_t oldest;
  bool late_waits;

  if (!find_next (queue, now_ms, &next))
    return false;
  late_waits = queue->late_last && find_oldest_late (queue, now_ms, &oldest);
  if (late_waits && bt_is_late_turn (&queue->turns))
    next = oldest;
  bt_record_late_turn (&queue->turns, late_waits);
  if (next.account->start_tag > queue->virtual_time)
    queue->virtual_time = next.account->start_tag;
  next.account->start_tag += (uint64_t)(VIRTUAL_TIME_PER_ITEM / next.account->share);
  remove_node (queue, next.at, item);
  return true;
}

bool
bt_expire_fair_item (bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *item)
{
  int64_t next_ms = INT64_MAX;

  if (queue->count == 0 || now_ms < queue->next_give_up_ms)
    return false;
  for (int32_t i = 0; i < queue->limit; i++)
    {
      const node_t *node = &queue->nodes[i];

      if (node->account == NONE)
        continue;
      if (node->item.give_up_ms <= now_ms)
        {
          remove_node (queue, i, item);
          return true;
        }
      if (node->item.give_up_ms < next_ms)
        next_ms = node->item.give_up_ms;
    }
  queue->next_give_up_ms = next_ms;
  return false;
}

bool
bt_remove_fair_item (bt_fair_queue_t *queue, uint64_t id)
{
  for (int32_t i = 0; i < queue->limit; i++)
    if (queue->nodes[i].account != NONE && queue->nodes[i].item.id == id)
      {
        remove_node (queue, i, NULL);
        return true;
      }
  return false;
}

static int32_t
find_last_of_account (const bt_fair_queue_t *queue, const account_t *account)
{
  int32_t at = account->head;

  while (at != NONE && queue->nodes[at].next != NONE)
    at = queue->nodes[at].next;
  return at;
}

bool
bt_evict_fair_item (bt_fair_queue_t *queue,
                    const char *name,
                    int32_t priority,
                    bt_fair_item_t *item)
{
  const int32_t own_index = find_account (queue, name);
  const int32_t own = own_index == NONE ? 0 : queue->accounts[own_index].count;
  const account_t *longest = NULL;
  int32_t victim = NONE;

  for (int32_t i = 0; i < queue->account_count; i++)
    {
      const account_t *account = &queue->accounts[i];
      int32_t last;

      if (account->count == 0)
        continue;
      last = find_last_of_account (queue, account);
      if (queue->nodes[last].item.priority > priority)
        continue;
      if (queue->nodes[last].item.priority == priority && account->count <= own + 1)
        continue;
      if (longest != NULL && account->count <= longest->count)
        continue;
      longest = account;
      victim = last;
    }
  if (victim == NONE)
    return false;
  remove_node (queue, victim, item);
  return true;
}

int32_t
bt_count_fair_items (const bt_fair_queue_t *queue)
{
  return queue->count;
}

int32_t
bt_count_late_fair_items (const bt_fair_queue_t *queue, int64_t now_ms)
{
  int32_t count = 0;

  for (int32_t i = 0; i < queue->account_count; i++)
    for (int32_t at = queue->accounts[i].head; at != NONE; at = queue->nodes[at].next)
      count += bt_is_fair_item_late (&queue->nodes[at].item, now_ms) ? 1 : 0;
  return count;
}

static int
compare_waits (const void *left_item, const void *right_item)
{
  const bt_fair_item_t *left = left_item;
  const bt_fair_item_t *right = right_item;

  if (left->queued_ms != right->queued_ms)
    return left->queued_ms < right->queued_ms ? -1 : 1;
  if (left->id != right->id)
    return left->id < right->id ? -1 : 1;
  return 0;
}

int32_t
bt_list_late_fair_items (const bt_fair_queue_t *queue, int64_t now_ms, bt_fair_item_t *items)
{
  int32_t count = 0;

  for (int32_t i = 0; i < queue->account_count; i++)
    for (int32_t at = queue->accounts[i].head; at != NONE; at = queue->nodes[at].next)
      if (bt_is_fair_item_late (&queue->nodes[at].item, now_ms))
        items[count++] = queue->nodes[at].item;
  if (count > 1)
    qsort (items, (size_t)count, sizeof *items, compare_waits);
  return count;
}

bool
bt_find_last_fair_item (const bt_fair_queue_t *queue,
                        int32_t priority,
                        int64_t now_ms,
                        bt_fair_item_t *item)
{
  const bt_fair_item_t *last = NULL;

  for (int32_t i = 0; i < queue->account_count; i++)
    for (int32_t at = queue->accounts[i].head; at != NONE; at = queue->nodes[at].next)
      {
        const bt_fair_item_t *other = &queue->nodes[at].item;

        if (other->priority >= priority || bt_is_fair_item_late (other, now_ms))
          continue;
        if (last == NULL || other->priority < last->priority
            || (other->priority == last->priority && compare_waits (last, other) < 0))
          last = other;
      }
  if (last != NULL)
    *item = *last;
  return last != NULL;
}

/* Counts the items of an account with at least this priority, without late ones if these are served
 * last. */
static int32_t
count_from_priority (const bt_fair_queue_t *queue,
                     const account_t *account,
                     int32_t priority,
                     int64_t now_ms)
{
  int32_t count = 0;

  for (int32_t at = account->head; at != NONE; at = queue->nodes[at].next)
    {
      if (queue->nodes[at].item.priority < priority)
        break;
      count += queue->late_last && bt_is_fair_item_late (&queue->nodes[at].item, now_ms) ? 0 : 1;
    }
  return count;
}

int32_t
bt_count_fair_account_items (const bt_fair_queue_t *queue,
                             const char *name,
                             int32_t priority,
                             int64_t now_ms)
{
  const int32_t index = find_account (queue, name);

  if (index == NONE)
    return 0;
  return count_from_priority (queue, &queue->accounts[index], priority, now_ms);
}

int32_t
bt_count_fair_items_ahead (
    const bt_fair_queue_t *queue, const char *name, int32_t share, int32_t priority, int64_t now_ms)
{
  const int32_t own_index = find_account (queue, name);
  int32_t own = 0;
  int32_t ahead;

  if (share <= 0)
    share = 1;

  if (own_index != NONE)
    own = count_from_priority (queue, &queue->accounts[own_index], priority, now_ms);
  ahead = own;
  for (int32_t i = 0; i < queue->account_count; i++)
    {
      const account_t *account = &queue->accounts[i];
      const int32_t above = count_from_priority (queue, account, priority + 1, now_ms);
      const int32_t equal = count_from_priority (queue, account, priority, now_ms) - above;
      const int32_t fair_ahead = ((own + 1) * account->share + share - 1) / share;

      if (i == own_index)
        continue;
      ahead += above + (equal <= fair_ahead ? equal : fair_ahead);
    }
  return ahead;
}
