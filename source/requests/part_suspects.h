#ifndef BILBERRYTRAY_SOURCE_REQUESTS_PART_SUSPECTS_H
#define BILBERRYTRAY_SOURCE_REQUESTS_PART_SUSPECTS_H

/** @file
 * Attempts of which it is not known yet whether their endpoint ended, with the parts of their
 * prompts, and ended incarnations of endpoints. When a list is full, its oldest item is removed.
 */

#include "bilberrytray/requests/part_table.h"

enum
{
  BT_MAX_PART_SUSPECTS = 512,
  BT_MAX_PART_ENDED = 64,
};

typedef struct bt_part_suspect
{
  bt_part_attempt_t attempt; /**< With a reference to its parts. */
  int64_t broken_ms;
} bt_part_suspect_t;

typedef struct bt_part_ended
{
  bt_identity_t endpoint;
  int64_t ended_ms;
} bt_part_ended_t;

/** Zero-initialise it; free it with bt_clear_part_suspects. Both lists are sorted by time, oldest
 * first. */
typedef struct bt_part_suspects
{
  bt_part_suspect_t list[BT_MAX_PART_SUSPECTS];
  int32_t count;
  bt_part_ended_t ended[BT_MAX_PART_ENDED];
  int32_t ended_count;
} bt_part_suspects_t;

void bt_clear_part_suspects (bt_context_t *ctx, bt_part_suspects_t *suspects);

void bt_add_part_suspect (bt_context_t *ctx,
                          bt_part_suspects_t *suspects,
                          const bt_part_attempt_t *attempt,
                          int64_t now_ms);

/** Removes the oldest suspect of an endpoint's incarnation that broke off before @p before_ms;
 * false when there is none. The caller drops its parts. */
bool bt_take_part_suspect (bt_part_suspects_t *suspects,
                           const bt_identity_t *endpoint,
                           int64_t before_ms,
                           bt_part_suspect_t *suspect);

/** Returns when an incarnation ended, by its suspects: the first break after which nothing shows
 * that it still ran. @p now_ms if there is no suspect that tells. */
int64_t bt_find_part_end_ms (const bt_part_suspects_t *suspects,
                             const bt_identity_t *endpoint,
                             int64_t now_ms);

void
bt_add_part_ended (bt_part_suspects_t *suspects, const bt_identity_t *endpoint, int64_t ended_ms);

/** Returns true and sets @p ended_ms if an incarnation is known to have ended. */
bool bt_has_part_ended (const bt_part_suspects_t *suspects,
                        const bt_identity_t *endpoint,
                        int64_t *ended_ms);

/** Forgets the end of an incarnation that was wrongly taken for ended before @p before_ms. */
void bt_remove_part_ended (bt_part_suspects_t *suspects,
                           const bt_identity_t *endpoint,
                           int64_t before_ms);

/** Removes everything older than @p before_ms. */
void bt_expire_part_suspects (bt_context_t *ctx, bt_part_suspects_t *suspects, int64_t before_ms);

#endif
