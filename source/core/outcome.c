#include "bilberrytray/core/outcome.h"

#include "bilberrytray/base/counters.h"

enum
{
  TOO_MANY_REQUESTS = 429,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
};

typedef struct reason_row
{
  const char *name;
  int32_t status;
  bt_outcome_t outcome;
} reason_row_t;

static const reason_row_t reasons[] = {
#define REASON_ROW(id, name, status, outcome) { name, status, BT_OUTCOME_##outcome },
  BT_REASON_LIST (REASON_ROW)
#undef REASON_ROW
};

static const char *const retries[] = {
#define RETRY_NAME(id, name) name,
  BT_RETRY_LIST (RETRY_NAME)
#undef RETRY_NAME
};

static const char *const outcomes[] = { "answered", "not-run", "unknown" };

const char *
bt_name_outcome (bt_outcome_t outcome)
{
  return outcomes[outcome];
}

const char *
bt_name_reason (bt_reason_t reason)
{
  return reasons[reason].name;
}

const char *
bt_name_retry (bt_retry_t retry)
{
  return retries[retry];
}

int32_t
bt_get_reason_status (bt_reason_t reason)
{
  return reasons[reason].status;
}

int32_t
bt_get_refusal_status (bt_reason_t reason, bt_outcome_t outcome)
{
  int32_t status = reasons[reason].status;
  bool says_not_run = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;

  return says_not_run && outcome == BT_OUTCOME_UNKNOWN ? BAD_GATEWAY : status;
}

bt_outcome_t
bt_get_reason_outcome (bt_reason_t reason)
{
  return reasons[reason].outcome;
}

static bt_counter_t *
find_refusals (bt_context_t *ctx, bt_reason_t reason)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_refusals_total", "Refused requests by reason.",
                          "reason", bt_name_reason (reason));
}

static bt_counter_t *
find_retries (bt_context_t *ctx, bt_retry_t retry)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_retries_total",
                          "Further attempts by their cause.", "reason", bt_name_retry (retry));
}

static bt_counter_t *
find_outcomes (bt_context_t *ctx, bt_outcome_t outcome)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_outcomes_total", "Ended requests by outcome.",
                          "outcome", bt_name_outcome (outcome));
}

void
bt_count_refusal (bt_context_t *ctx, bt_reason_t reason)
{
  bt_add_counter (find_refusals (ctx, reason), 1);
}

void
bt_count_retry (bt_context_t *ctx, bt_retry_t retry)
{
  bt_add_counter (find_retries (ctx, retry), 1);
}

void
bt_count_outcome (bt_context_t *ctx, bt_outcome_t outcome)
{
  bt_add_counter (find_outcomes (ctx, outcome), 1);
}

void
bt_prepare_outcome_counters (bt_context_t *ctx)
{
  for (int32_t i = BT_REASON_NONE + 1; i < BT_REASON_COUNT; i++)
    find_refusals (ctx, (bt_reason_t)i);
  for (int32_t i = 0; i < BT_RETRY_COUNT; i++)
    find_retries (ctx, (bt_retry_t)i);
  for (int32_t i = BT_OUTCOME_ANSWERED; i <= BT_OUTCOME_UNKNOWN; i++)
    find_outcomes (ctx, (bt_outcome_t)i);
}
