#include "bilberrytray/load/endpoint_limit.h"

#include <string.h>

static int64_t
get_later_ms (int64_t left_ms, int64_t right_ms)
{
  return left_ms > right_ms ? left_ms : right_ms;
}

static bt_limit_change_t
record_named (bt_endpoint_limit_t *limit, double per_s, int64_t now_ms)
{
  bt_limit_change_t change = BT_LIMIT_CHANGED;

  if (limit->named && limit->per_s == per_s)
    return BT_LIMIT_UNCHANGED;
  if (!limit->named)
    {
      memset (limit, 0, sizeof *limit);
      limit->named = true;
      limit->named_ms = now_ms;
      limit->next_ms = BT_NEVER_MS;
      change = BT_LIMIT_NAMED;
    }
  limit->per_s = per_s;
  return change;
}

bt_limit_change_t
bt_record_limit_notice (bt_endpoint_limit_t *limit, const bt_limit_notice_t *notice, int64_t now_ms)
{
  if (notice->named)
    return record_named (limit, notice->per_s, now_ms);
  if (!limit->named || !notice->authentic || notice->request_sent_ms <= limit->named_ms)
    return BT_LIMIT_UNCHANGED;
  limit->named = false;
  return BT_LIMIT_ENDED;
}

static bool
is_larger_share (const bt_limit_share_t *share, const bt_limit_share_t *than)
{
  if (than->interval_ms == 0)
    return share->interval_ms > 0;
  return share->interval_ms > 0 && share->interval_ms < than->interval_ms;
}

/* Returns when the share that follows allows a request. Its time counts from when it comes into
 * force, so that entries whose shares grow together don't send together. */
static int64_t
get_larger_resume_ms (const bt_endpoint_limit_t *limit)
{
  int64_t first_ms = limit->larger_from_ms + limit->larger.first_ms;

  if (limit->larger_from_ms == 0)
    return BT_NEVER_MS;
  return limit->sent_ms == 0 ? first_ms
                             : get_later_ms (first_ms, limit->sent_ms + limit->larger.interval_ms);
}

/* Puts the share that follows into force if its time has come. */
static void
advance_share (bt_endpoint_limit_t *limit, int64_t now_ms)
{
  int64_t resume_ms = get_larger_resume_ms (limit);

  if (limit->larger_from_ms == 0 || now_ms < limit->larger_from_ms)
    return;
  limit->next_ms = resume_ms < limit->next_ms ? resume_ms : limit->next_ms;
  limit->share = limit->larger;
  limit->larger_from_ms = 0;
}

void
bt_set_limit_share (bt_endpoint_limit_t *limit,
                    const bt_limit_share_t *share,
                    int64_t settled_ms,
                    int64_t now_ms)
{
  advance_share (limit, now_ms);
  if (is_larger_share (share, &limit->share))
    {
      limit->larger = *share;
      limit->larger_from_ms = get_later_ms (settled_ms, now_ms);
      advance_share (limit, now_ms);
      return;
    }
  limit->larger_from_ms = 0;
  if (share->interval_ms == limit->share.interval_ms)
    return;
  limit->share = *share;
  if (share->interval_ms == 0)
    limit->next_ms = BT_NEVER_MS;
  else if (share->is_probe)
    limit->next_ms = now_ms + share->first_ms;
  else
    limit->next_ms = get_later_ms (limit->next_ms, limit->sent_ms + share->interval_ms);
}

void
bt_record_limited_dispatch (bt_endpoint_limit_t *limit, int64_t now_ms)
{
  if (!limit->named)
    return;
  advance_share (limit, now_ms);
  limit->sent++;
  limit->sent_ms = now_ms;
  limit->next_ms = limit->share.interval_ms == 0 ? BT_NEVER_MS : now_ms + limit->share.interval_ms;
}

const bt_limit_share_t *
bt_get_latest_limit_share (const bt_endpoint_limit_t *limit)
{
  return limit->larger_from_ms > 0 ? &limit->larger : &limit->share;
}

int64_t
bt_get_limit_resume_ms (const bt_endpoint_limit_t *limit)
{
  int64_t larger_ms = get_larger_resume_ms (limit);

  if (!limit->named)
    return 0;
  return larger_ms < limit->next_ms ? larger_ms : limit->next_ms;
}
