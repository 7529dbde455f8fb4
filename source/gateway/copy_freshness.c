#include "copy_freshness.h"

enum
{
  /* Beyond a whole wait of a watch. It covers the delay of two calls in a row. */
  RENEW_MARGIN_MS = 150,
  /* Beyond a whole wait of a watch. It covers the way of a reader's word to its followers, and
   * leaves them time for a call of their own within the two seconds in which a change must take
   * effect. */
  FOLLOW_MARGIN_MS = 350,
  MIN_WAIT_MS = 1,
  /* An entry that is to follow a peer waits for it until its copy has this age, before it calls the
   * store again. The time covers the links to two peers that are tried in turn. */
  PEER_PATIENCE_MS = 700,
  /* A reader whose calls to the store fail follows a peer and tries the store at this interval. */
  STORE_RETRY_MS = 1500,
};

/* Ages stay within the range of the type. */
const int64_t bt_never_complete_ms = INT64_MIN / 2;

bt_freshness_limits_t
bt_get_freshness_limits (int64_t watch_ms)
{
  return (bt_freshness_limits_t){ watch_ms, watch_ms + RENEW_MARGIN_MS,
                                  watch_ms + FOLLOW_MARGIN_MS };
}

/* Returns true if the store waited for the whole time before it answered. */
static bool
has_waited (const bt_answered_watch_t *watch)
{
  return !watch->changed && watch->answered_ms >= watch->called_ms + watch->wait_ms;
}

int64_t
bt_get_watch_as_of_ms (const bt_answered_watch_t *watch)
{
  return has_waited (watch) ? watch->called_ms + watch->wait_ms : watch->called_ms;
}

int64_t
bt_get_watch_delay_ms (const bt_answered_watch_t *watch, int64_t known_ms)
{
  return has_waited (watch) ? watch->answered_ms - watch->called_ms - watch->wait_ms : known_ms;
}

static int64_t
clamp (int64_t value, int64_t least, int64_t most)
{
  if (value < least)
    return least;
  return value < most ? value : most;
}

int64_t
bt_get_pause_ms (const bt_freshness_limits_t *limits,
                 int64_t as_of_ms,
                 int64_t delay_ms,
                 int64_t pause_ms,
                 int64_t now_ms)
{
  return clamp (as_of_ms + limits->renew_ms - delay_ms - now_ms, 0, pause_ms);
}

int64_t
bt_get_watch_wait_ms (const bt_freshness_limits_t *limits,
                      int64_t as_of_ms,
                      int64_t delay_ms,
                      bool helped,
                      int64_t now_ms)
{
  if (!helped)
    return limits->watch_ms;
  return clamp (as_of_ms + limits->renew_ms - delay_ms - now_ms, MIN_WAIT_MS, limits->watch_ms);
}

int64_t
bt_get_follow_left_ms (const bt_freshness_limits_t *limits, int64_t as_of_ms, int64_t now_ms)
{
  int64_t left_ms = as_of_ms + limits->follow_ms - now_ms;

  return left_ms > 0 ? left_ms : 0;
}

/* Returns true while an entry that has just called the store waits for a peer in its place. Without
 * this wait, each start of an entry would cost several watches. */
static bool
is_waiting_for_peer (const bt_follower_state_t *state, int64_t now_ms)
{
  if (!state->has_view || state->store_failing || !state->has_primaries)
    return false;
  return now_ms - (state->read_deferred ? state->tried_ms : state->as_of_ms) < PEER_PATIENCE_MS;
}

bt_follower_step_t
bt_choose_follower_step (const bt_follower_state_t *state, int64_t now_ms)
{
  if (!state->follows_peer)
    return is_waiting_for_peer (state, now_ms) ? BT_STEP_WAIT_FOR_PEER : BT_STEP_WATCH_STORE;
  if (state->reader && now_ms - state->tried_ms > STORE_RETRY_MS)
    return BT_STEP_RETRY_STORE;
  return BT_STEP_WAIT_FOR_UPDATE;
}
