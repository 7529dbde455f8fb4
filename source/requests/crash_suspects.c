#include "crash_suspects.h"

#include <string.h>

static void
remove_suspect (bt_crash_suspects_t *suspects, int32_t index)
{
  suspects->count--;
  memmove (&suspects->list[index], &suspects->list[index + 1],
           (size_t)(suspects->count - index) * sizeof suspects->list[0]);
}

static void
remove_ended_incarnation (bt_crash_suspects_t *suspects, int32_t index)
{
  suspects->ended_count--;
  memmove (&suspects->ended[index], &suspects->ended[index + 1],
           (size_t)(suspects->ended_count - index) * sizeof suspects->ended[0]);
}

void
bt_add_suspect (bt_crash_suspects_t *suspects, const bt_crash_t *attempt, int64_t now_ms)
{
  if (suspects->count == BT_MAX_SUSPECTS)
    remove_suspect (suspects, 0);
  suspects->list[suspects->count++] = (bt_crash_suspect_t){ *attempt, now_ms };
}

bool
bt_remove_suspect_of (bt_crash_suspects_t *suspects,
                      const bt_identity_t *endpoint,
                      bt_crash_t *attempt)
{
  for (int32_t i = 0; i < suspects->count; i++)
    {
      if (!bt_same_identity (&suspects->list[i].attempt.endpoint, endpoint))
        continue;
      *attempt = suspects->list[i].attempt;
      remove_suspect (suspects, i);
      return true;
    }
  return false;
}

void
bt_add_ended_incarnation (bt_crash_suspects_t *suspects,
                          const bt_identity_t *endpoint,
                          int64_t now_ms)
{
  if (suspects->ended_count == BT_MAX_ENDED_INCARNATIONS)
    remove_ended_incarnation (suspects, 0);
  suspects->ended[suspects->ended_count++] = (bt_ended_incarnation_t){ *endpoint, now_ms };
}

bool
bt_find_ended_incarnation (const bt_crash_suspects_t *suspects,
                           const bt_identity_t *endpoint,
                           int64_t *ended_ms)
{
  for (int32_t i = 0; i < suspects->ended_count; i++)
    {
      if (!bt_same_identity (&suspects->ended[i].endpoint, endpoint))
        continue;
      *ended_ms = suspects->ended[i].ended_ms;
      return true;
    }
  return false;
}

void
bt_clear_suspects (bt_crash_suspects_t *suspects, const bt_crash_t *answered, int64_t sent_ms)
{
  for (int32_t i = suspects->count - 1; i >= 0; i--)
    {
      const bt_crash_suspect_t *suspect = &suspects->list[i];
      bool still_running = bt_same_identity (&suspect->attempt.endpoint, &answered->endpoint)
                           && suspect->broken_ms < sent_ms;

      if (still_running || bt_same_fingerprint (&suspect->attempt.request, &answered->request))
        remove_suspect (suspects, i);
    }
  for (int32_t i = suspects->ended_count - 1; i >= 0; i--)
    if (bt_same_identity (&suspects->ended[i].endpoint, &answered->endpoint)
        && suspects->ended[i].ended_ms < sent_ms)
      remove_ended_incarnation (suspects, i);
}

void
bt_expire_suspects (bt_crash_suspects_t *suspects, int64_t before_ms)
{
  while (suspects->count > 0 && suspects->list[0].broken_ms < before_ms)
    remove_suspect (suspects, 0);
  while (suspects->ended_count > 0 && suspects->ended[0].ended_ms < before_ms)
    remove_ended_incarnation (suspects, 0);
}
