#ifndef BILBERRYTRAY_REQUESTS_TICKET_H
#define BILBERRYTRAY_REQUESTS_TICKET_H

/** @file
 * Tickets: signed idempotency keys. A ticket names the one agent (its home) that decides where and
 * whether the key runs, and until when, in that agent's own monotonic clock.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/core/identity.h"

/** Size of a signing key, in bytes. */
#define BT_TICKET_SECRET_BYTES 32

/** Most signing keys that overlap in a ring. */
#define BT_TICKET_RING_KEYS 4

/** Room for the text of any ticket with its closing zero, in bytes. */
#define BT_TICKET_TEXT_BYTES 192

typedef struct bt_ticket
{
  bt_identity_t home; /**< The agent that arbitrates the key. */
  bt_key_t key;       /**< 16 random bytes, drawn by the minting entry. */
  int64_t expires_ms; /**< In the home's monotonic clock. */
  uint64_t account;   /**< Hash of the client account it was given to (bt_hash_account). */
} bt_ticket_t;

/** The hash by which a ticket names its client account. */
uint64_t bt_hash_account (const char *account);

/** The signing keys in use. The one with the highest id signs, all of them verify. */
typedef struct bt_ticket_ring bt_ticket_ring_t;

bt_ticket_ring_t *bt_new_ticket_ring (bt_context_t *ctx);

/** Wipes and frees the ring. NULL is accepted. */
void bt_drop_ticket_ring (bt_context_t *ctx, bt_ticket_ring_t *ring);

/** Adds a key, or replaces the one with this id. A full ring gives up its lowest id; BT_ERROR_USAGE
 * when @p id is lower than all of a full ring. */
bool bt_add_ticket_key (bt_ticket_ring_t *ring,
                        uint32_t id,
                        const uint8_t secret[BT_TICKET_SECRET_BYTES],
                        bt_error_t *error);

/** Adds the key that follows from the deployment's secret, so that all its processes share one. */
void bt_derive_ticket_key (bt_ticket_ring_t *ring, const char *secret);

/** Writes the signed text of @p ticket, with a closing zero, into BT_TICKET_TEXT_BYTES of @p text.
 * BT_ERROR_NOT_FOUND when the ring is empty. */
bool bt_sign_ticket (const bt_ticket_ring_t *ring,
                     const bt_ticket_t *ticket,
                     char *text,
                     bt_error_t *error);

/** Checks a text and reads it into @p ticket, which is written only on success. BT_ERROR_TOO_LARGE
 * and BT_ERROR_FORMAT: no ticket of ours; BT_ERROR_NOT_FOUND: signed by a key that the ring lacks,
 * which a peer may have; BT_ERROR_REFUSED: the signature is wrong. */
bool bt_parse_ticket (const bt_ticket_ring_t *ring,
                      const char *text,
                      bt_ticket_t *ticket,
                      bt_error_t *error);

#endif
