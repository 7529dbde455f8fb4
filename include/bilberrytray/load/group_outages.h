#ifndef BILBERRYTRAY_LOAD_GROUP_OUTAGES_H
#define BILBERRYTRAY_LOAD_GROUP_OUTAGES_H

/** @file
 * Tracks which rank groups are broken and estimates when they accept requests again.
 *
 * All ranks of a group execute each pass together, so the loss of one rank stops all of them. The
 * other ranks notice the loss only after a stall. Until then they report an open group, and every
 * request sent to them is refused at the end of the stall. Therefore the whole group is paused in
 * the router as soon as one rank is known to have ended.
 *
 * An endpoint that is listed while a group of its app is broken is probably the replacement of the
 * lost rank. It is paused too until its group is open; otherwise all queued requests would be sent
 * to it, the only endpoint that seems usable, and refused.
 *
 * Does no I/O; times are arguments.
 */

#include "bilberrytray/load/router.h"

typedef struct bt_group_outages bt_group_outages_t;

/** State of a group as one of its ranks reports it. */
typedef struct bt_group_state
{
  const char *group; /**< "" for an endpoint in no group. */
  int64_t epoch;     /**< Raised each time the group is formed. */
  bool open;         /**< The group accepts requests. */
} bt_group_state_t;

/** Ranks are paused and resumed in @p router, which must outlive the result. */
bt_group_outages_t *bt_new_group_outages (bt_context_t *ctx, bt_router_t *router);

/** NULL is accepted. */
void bt_drop_group_outages (bt_context_t *ctx, bt_group_outages_t *outages);

/** Records that an incarnation of an endpoint was added to the router. */
void bt_record_rank_listed (bt_context_t *ctx,
                            bt_group_outages_t *outages,
                            const bt_identity_t *identity,
                            const char *app,
                            int64_t now_ms);

/** Records that an incarnation of an endpoint was removed from the router. */
void bt_record_rank_removed (bt_context_t *ctx,
                             bt_group_outages_t *outages,
                             const bt_identity_t *identity);

/** Records the state of a group that one of its ranks reports. Reports may be older than what is
 * known. Ranks that are not listed are ignored. */
void bt_record_rank_report (bt_context_t *ctx,
                            bt_group_outages_t *outages,
                            const bt_identity_t *identity,
                            const bt_group_state_t *state,
                            int64_t now_ms);

/** Records that the process of a rank is known to have ended. */
void bt_record_rank_end (bt_context_t *ctx,
                         bt_group_outages_t *outages,
                         const bt_identity_t *identity,
                         int64_t now_ms);

/** Resumes the broken groups of which no rank has reported for long. Call it regularly. */
void bt_expire_group_outages (bt_context_t *ctx, bt_group_outages_t *outages, int64_t now_ms);

/** Returns for how long the group of a rank has been known to be broken, in ms; 0 if it is not. */
int64_t bt_get_group_outage_ms (const bt_group_outages_t *outages,
                                const bt_identity_t *identity,
                                int64_t now_ms);

/** Returns the name of the group of a rank; "" if it is not known. */
const char *bt_get_rank_group (const bt_group_outages_t *outages, const bt_identity_t *identity);

/** Returns true if endpoints of an app are ranks of groups. */
bool bt_has_groups (const bt_group_outages_t *outages, const char *app);

/** Returns the estimated time until the first broken group of an app accepts requests again, in ms;
 * 0 if the app has no broken group. */
int64_t bt_get_group_wait_ms (const bt_group_outages_t *outages, const char *app, int64_t now_ms);

#endif
