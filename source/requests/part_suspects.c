#include "part_suspects.h"

#include <string.h>

static void
remove_suspect (bt_part_suspects_t *suspects, int32_t index)
{
  suspects->count--;
  memmove (&suspects->list[index], &suspects->list[index + 1],
           (size_t)(suspects->count - index) * sizeof suspects->list[0]);
}

static void
remove_ended (bt_part_suspects_t *suspects, int32_t index)
{
  suspects->ended_count--;
  memmove (&suspects->ended[index], &suspects->ended[index + 1],
           (size_t)(suspects->ended_count - index) * sizeof suspects->ended[0]);
}

static void
drop_oldest_suspect (bt_context_t *ctx, bt_part_suspects_t *suspects)
{
  bt_drop_prompt_parts (ctx, suspects->list[0].attempt.parts);
  remove_suspect (suspects, 0);
}

void
bt_clear_part_suspects (bt_context_t *ctx, bt_part_suspects_t *suspects)
{
  while (suspects->count > 0)
    {
      bt_drop_prompt_parts (ctx, suspects->list[suspects->count - 1].attempt.parts);
      suspects->count--;
    }
}

void
bt_add_part_suspect (bt_context_t *ctx,
                     bt_part_suspects_t *suspects,
                     const bt_part_attempt_t *attempt,
                     int64_t now_ms)
{
  bt_part_suspect_t suspect = { *attempt, now_ms };

  if (suspects->count == BT_MAX_PART_SUSPECTS)
    drop_oldest_suspect (ctx, suspects);
  bt_keep_prompt_parts (suspect.attempt.parts);
  suspects->list[suspects->count++] = suspect;
}

bool
bt_take_part_suspect (bt_part_suspects_t *suspects,
                      const bt_identity_t *endpoint,
                      int64_t before_ms,
                      bt_part_suspect_t *suspect)
{
  for (int32_t i = 0; i < suspects->count; i++)
    {
      if (!bt_same_identity (&suspects->list[i].attempt.endpoint, endpoint)
          || suspects->list[i].broken_ms >= before_ms)
        continue;
      *suspect = suspects->list[i];
      remove_suspect (suspects, i);
      return true;
    }
  return false;
}

/* A stalled attempt tells nothing about the end of its own endpoint. */
static bool
is_suspect_of (const bt_part_suspect_t *suspect, const bt_identity_t *endpoint)
{
  return !suspect->attempt.stalled && bt_same_identity (&suspect->attempt.endpoint, endpoint);
}

int64_t
bt_find_part_end_ms (const bt_part_suspects_t *suspects,
                     const bt_identity_t *endpoint,
                     int64_t now_ms)
{
  int64_t ran_ms = INT64_MIN;

  for (int32_t i = 0; i < suspects->count; i++)
    {
      const bt_part_suspect_t *suspect = &suspects->list[i];

      if (is_suspect_of (suspect, endpoint) && suspect->attempt.answered
          && suspect->attempt.sent_ms > ran_ms)
        ran_ms = suspect->attempt.sent_ms;
    }
  for (int32_t i = 0; i < suspects->count; i++)
    if (is_suspect_of (&suspects->list[i], endpoint) && suspects->list[i].broken_ms >= ran_ms)
      return suspects->list[i].broken_ms;
  return now_ms;
}

void
bt_add_part_ended (bt_part_suspects_t *suspects, const bt_identity_t *endpoint, int64_t ended_ms)
{
  if (suspects->ended_count == BT_MAX_PART_ENDED)
    remove_ended (suspects, 0);
  suspects->ended[suspects->ended_count++] = (bt_part_ended_t){ *endpoint, ended_ms };
}

bool
bt_has_part_ended (const bt_part_suspects_t *suspects,
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
bt_remove_part_ended (bt_part_suspects_t *suspects,
                      const bt_identity_t *endpoint,
                      int64_t before_ms)
{
  for (int32_t i = suspects->ended_count - 1; i >= 0; i--)
    if (bt_same_identity (&suspects->ended[i].endpoint, endpoint)
        && suspects->ended[i].ended_ms < before_ms)
      remove_ended (suspects, i);
}

void
bt_expire_part_suspects (bt_context_t *ctx, bt_part_suspects_t *suspects, int64_t before_ms)
{
  while (suspects->count > 0 && suspects->list[0].broken_ms < before_ms)
    drop_oldest_suspect (ctx, suspects);
  while (suspects->ended_count > 0 && suspects->ended[0].ended_ms < before_ms)
    remove_ended (suspects, 0);
}
