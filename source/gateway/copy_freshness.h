#ifndef BILBERRYTRAY_SOURCE_GATEWAY_COPY_FRESHNESS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_COPY_FRESHNESS_H

/** @file
 * Decides how old an entry's copy of the platform's store may be, and what the entry does about it.
 *
 * A copy is complete as of a time if it holds all that the store held then. That time is when the
 * store surely spoke: an answer may be delayed on its way, and be handled late. The age of a copy
 * is the time since then. All times are in ms of the monotonic clock of one process.
 */

#include <stdbool.h>
#include <stdint.h>

/** As-of time of a copy that was never complete. */
extern const int64_t bt_never_complete_ms;

/** The ages at which an entry acts. */
typedef struct bt_freshness_limits
{
  int64_t watch_ms;  /**< Longest wait of a watch. */
  int64_t renew_ms;  /**< A reader ends its watches before its copy has this age. */
  int64_t follow_ms; /**< A peer whose copy has this age is not followed any more. */
} bt_freshness_limits_t;

/** Returns the limits for watches that wait at most @p watch_ms. */
bt_freshness_limits_t bt_get_freshness_limits (int64_t watch_ms);

/** A watch that the store has answered. */
typedef struct bt_answered_watch
{
  int64_t called_ms;
  int64_t answered_ms; /**< When its answer was handled. */
  int64_t wait_ms;     /**< For how long the store was to wait for a change. */
  bool changed;        /**< The answer reports changes, so it may have been sent at once. */
} bt_answered_watch_t;

/** Returns the time as of which a copy with the answer's changes is complete. */
int64_t bt_get_watch_as_of_ms (const bt_answered_watch_t *watch);

/** Returns how long the call took beyond the wait of the store, or @p known_ms if that is not known
 * since the store did not wait. */
int64_t bt_get_watch_delay_ms (const bt_answered_watch_t *watch, int64_t known_ms);

/** Returns for how long a reader may pause behind a change, at most @p pause_ms, so that a call
 * which takes @p delay_ms still renews its copy in time. */
int64_t bt_get_pause_ms (const bt_freshness_limits_t *limits,
                         int64_t as_of_ms,
                         int64_t delay_ms,
                         int64_t pause_ms,
                         int64_t now_ms);

/** Returns how long the next watch is to wait, at least 1 ms, so that its answer arrives before the
 * copy reaches renew_ms if calls take @p delay_ms beyond their wait. If the last call has not
 * @p helped, as it failed or made the copy no fresher, the next one waits for the whole time. */
int64_t bt_get_watch_wait_ms (const bt_freshness_limits_t *limits,
                              int64_t as_of_ms,
                              int64_t delay_ms,
                              bool helped,
                              int64_t now_ms);

/** Returns for how long a peer may still be followed whose copy is complete as of @p as_of_ms; 0 if
 * it may not. */
int64_t
bt_get_follow_left_ms (const bt_freshness_limits_t *limits, int64_t as_of_ms, int64_t now_ms);

/** What an entry knows when it decides what to do next about its copy. */
typedef struct bt_follower_state
{
  bool follows_peer;  /**< The followed peer is current. */
  bool has_view;      /**< The copy has been used. */
  bool reader;        /**< This entry is to read the store itself. */
  bool has_primaries; /**< There are peers to follow while the store answers this entry. */
  bool store_failing; /**< The store did not answer the last call. */
  bool read_deferred; /**< The store answered it, and the full read that is needed is left to the
                         readers for now. */
  int64_t as_of_ms;   /**< Of this entry's copy. */
  int64_t tried_ms;   /**< End of the last call on the store. */
} bt_follower_state_t;

typedef enum bt_follower_step
{
  BT_STEP_WAIT_FOR_UPDATE = 0, /**< Of the followed peer. */
  BT_STEP_WAIT_FOR_PEER,       /**< Wait until a peer is current. */
  BT_STEP_WATCH_STORE,
  BT_STEP_RETRY_STORE, /**< Find out whether the store answers again, with a short watch. */
} bt_follower_step_t;

bt_follower_step_t bt_choose_follower_step (const bt_follower_state_t *state, int64_t now_ms);

#endif
