#ifndef BILBERRYTRAY_SOURCE_REQUESTS_CRASH_SUSPECTS_H
#define BILBERRYTRAY_SOURCE_REQUESTS_CRASH_SUSPECTS_H

/** @file
 * Broken attempts, and incarnations of endpoints that ended, kept until they are matched with each
 * other or expire. Either may be reported first. When a list is full, its oldest item is removed.
 */

#include "bilberrytray/requests/crash_table.h"

enum
{
  BT_MAX_SUSPECTS = 512,
  BT_MAX_ENDED_INCARNATIONS = 64,
};

typedef struct bt_crash_suspect
{
  bt_crash_t attempt;
  int64_t broken_ms;
} bt_crash_suspect_t;

typedef struct bt_ended_incarnation
{
  bt_identity_t endpoint;
  int64_t ended_ms;
} bt_ended_incarnation_t;

/** Zero-initialise it. Both lists are sorted by time, oldest first. */
typedef struct bt_crash_suspects
{
  bt_crash_suspect_t list[BT_MAX_SUSPECTS];
  int32_t count;
  bt_ended_incarnation_t ended[BT_MAX_ENDED_INCARNATIONS];
  int32_t ended_count;
} bt_crash_suspects_t;

void bt_add_suspect (bt_crash_suspects_t *suspects, const bt_crash_t *attempt, int64_t now_ms);

/** Removes the oldest suspect of an endpoint's incarnation and returns it in @p attempt; false when
 * there is none. */
bool bt_remove_suspect_of (bt_crash_suspects_t *suspects,
                           const bt_identity_t *endpoint,
                           bt_crash_t *attempt);

void bt_add_ended_incarnation (bt_crash_suspects_t *suspects,
                               const bt_identity_t *endpoint,
                               int64_t now_ms);

/** Returns true and sets @p ended_ms if an endpoint's incarnation is known to have ended. */
bool bt_find_ended_incarnation (const bt_crash_suspects_t *suspects,
                                const bt_identity_t *endpoint,
                                int64_t *ended_ms);

/** Removes what a complete answer disproves: all suspects of its request, and the suspects and end
 * of its endpoint's incarnation from before @p sent_ms, when the answered request was sent. */
void bt_clear_suspects (bt_crash_suspects_t *suspects, const bt_crash_t *answered, int64_t sent_ms);

/** Removes everything older than @p before_ms. */
void bt_expire_suspects (bt_crash_suspects_t *suspects, int64_t before_ms);

#endif
