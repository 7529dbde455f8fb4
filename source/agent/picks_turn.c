#include "picks_turn.h"

void
bt_want_picks (bt_picks_turn_t *turn, bool wanted, int32_t every)
{
  if (wanted && !turn->wanted)
    {
      turn->next_ms = 0;
      turn->begun = false;
    }
  turn->wanted = wanted;
  turn->every = every > 1 ? every : 1;
}

bool
bt_are_picks_due (const bt_picks_turn_t *turn, int64_t now_ms)
{
  return turn->wanted && now_ms >= turn->next_ms;
}

bool
bt_take_picks_turn (bt_picks_turn_t *turn, int32_t rank, int64_t report_ms, int64_t now_ms)
{
  bool first = turn->next_ms == 0;
  bool told = turn->every == 1 || turn->begun;
  int32_t reports = 1;

  if (first)
    reports += rank % turn->every;
  else if (told && turn->every > 1)
    reports = turn->every - 1;
  turn->begun = !told && !first;
  turn->next_ms = now_ms + reports * report_ms;
  return told;
}
