#ifndef BILBERRYTRAY_SOURCE_AGENT_ANSWERS_H
#define BILBERRYTRAY_SOURCE_AGENT_ANSWERS_H

/** @file
 * The frames with which an agent answers a dispatch.
 */

#include "bilberrytray/core/outcome.h"
#include "bilberrytray/wire/link.h"

/** Which dispatch a frame answers. */
typedef struct bt_call_id
{
  uint64_t call;
  uint32_t attempt;
} bt_call_id_t;

void bt_send_accepted (bt_context_t *ctx, bt_link_t *link, bt_call_id_t id, bool attached);
void bt_send_refused (bt_context_t *ctx,
                      bt_link_t *link,
                      bt_call_id_t id,
                      bt_reason_t reason,
                      bt_outcome_t outcome,
                      int64_t retry_after_ms);
void bt_send_head (
    bt_context_t *ctx, bt_link_t *link, bt_call_id_t id, int32_t status, const char *content_type);
void bt_send_piece (bt_context_t *ctx,
                    bt_link_t *link,
                    bt_call_id_t id,
                    uint64_t sequence,
                    const void *data,
                    size_t bytes);
void bt_send_end (
    bt_context_t *ctx, bt_link_t *link, bt_call_id_t id, uint64_t pieces, uint64_t total_bytes);

#endif
