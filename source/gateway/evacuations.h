#ifndef BILBERRYTRAY_SOURCE_GATEWAY_EVACUATIONS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_EVACUATIONS_H

/** @file
 * The failure domains that the operators have evacuated: no request is sent to their endpoints.
 *
 * Endpoints of an evacuated domain stay listed, finish the requests that they run, and remain ranks
 * of their groups.
 */

#include "bilberrytray/gateway/platform.h"

/** Zeroed: no domain is evacuated. */
typedef struct bt_evacuations
{
  char (*domains)[BT_NAME_BYTES]; /**< Without duplicates. */
  int32_t count;
} bt_evacuations_t;

/** Adds a failure domain. Returns false if @p domain is not a valid name. */
bool bt_add_evacuation (bt_context_t *ctx, bt_evacuations_t *evacuations, const char *domain);

bool bt_is_domain_evacuated (const bt_evacuations_t *evacuations, const char *domain);

/** Frees the list. */
void bt_clear_evacuations (bt_context_t *ctx, bt_evacuations_t *evacuations);

/** Logs the domains that were evacuated or released between two lists, and records their number in
 * the metric bilberry_evacuated_domains. @p before may be NULL. */
void bt_report_evacuations (bt_context_t *ctx,
                            const bt_evacuations_t *before,
                            const bt_evacuations_t *now,
                            int64_t revision);

#endif
