#include "call_admission.h"

#include <string.h>

uint64_t
bt_get_call_prefix (const bt_call_t *call)
{
  const bt_rule_then_t *then = &call->declarations->rules[call->rule].then;
  const bt_caller_request_t *request = bt_get_caller_request (call->caller);
  uint64_t bytes = (uint64_t)then->affinity_prefix_bytes;
  const char *value;

  if (then->affinity_header != NULL)
    {
      value = bt_find_caller_header (call->caller, then->affinity_header);
      return value == NULL ? 0 : bt_hash_bytes (value, strlen (value), (uint64_t)call->app);
    }
  if (bytes == 0 || request->body_bytes == 0)
    return 0;
  if (bytes > request->body_bytes)
    bytes = request->body_bytes;
  return bt_hash_bytes (request->body, bytes, (uint64_t)call->app);
}

int32_t
bt_get_call_share (const bt_call_t *call)
{
  const bt_declarations_t *declarations = call->declarations;
  int32_t account = bt_find_account (declarations, bt_get_caller_account (call->caller));

  return account < 0 ? 1 : declarations->accounts[account].share;
}

static void
fill_request (bt_entry_t *entry,
              const bt_call_t *call,
              bool is_retry,
              int64_t now_ms,
              bt_admission_request_t *request)
{
  const bt_rule_t *rule = &call->declarations->rules[call->rule];

  request->id = call->id;
  request->app = call->declarations->apps[call->app].name;
  request->account = bt_get_caller_account (call->caller);
  request->share = bt_get_call_share (call);
  request->priority = call->priority;
  request->deadline_left_ms = call->deadline_ms - now_ms;
  request->rule = rule->name;
  request->rule_per_second = (int32_t)rule->then.limit_per_s;
  request->rule_burst = (int32_t)rule->then.limit_burst;
  request->is_retry = is_retry;
  request->seed = entry->seed++;
}

static void
apply_decision (bt_entry_t *entry, bt_call_t *call, const bt_admission_decision_t *decision)
{
  call->queued = decision->action == BT_ADMISSION_QUEUE;
  if (decision->action == BT_ADMISSION_ADMIT)
    bt_dispatch_call (entry, call);
  else if (decision->action == BT_ADMISSION_REFUSE)
    bt_refuse_call (entry, call, BT_OUTCOME_NOT_RUN, decision->reason, decision->retry_after_ms);
}

/* Asks admission whether a call is sent now, queued or refused. */
void
bt_request_admission (bt_entry_t *entry, bt_call_t *call, bool is_retry)
{
  int64_t now_ms = bt_now_ms (entry->ctx);
  bt_admission_request_t request = { 0 };
  bt_admission_decision_t decision = { 0 };

  fill_request (entry, call, is_retry, now_ms, &request);
  bt_decide_admission (entry->ctx, entry->admission, &request, now_ms, &decision);
  apply_decision (entry, call, &decision);
}

/* Tells the router how many entry instances send to the same endpoints. */
static void
update_router_entries (bt_entry_t *entry)
{
  int32_t entries = 1;

  for (const bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    entries += !peer->agent && peer->listed && !peer->listed_leaving;
  bt_set_router_entries (entry->router, entries);
}

void
bt_admit_queued_calls (bt_entry_t *entry)
{
  int64_t now_ms = bt_now_ms (entry->ctx);
  bt_admission_decision_t decision = { 0 };

  update_router_entries (entry);
  while (bt_next_admission (entry->admission, now_ms, &decision))
    {
      bt_call_t *call = bt_find_call (entry, decision.id);

      if (call != NULL)
        apply_decision (entry, call, &decision);
    }
}
