#ifndef BILBERRYTRAY_SOURCE_WIRE_HANDSHAKE_H
#define BILBERRYTRAY_SOURCE_WIRE_HANDSHAKE_H

/** @file
 * The proofs of the opening of a link.
 */

#include <stdbool.h>
#include <stdint.h>

#include <sodium.h>

enum
{
  BT_NONCE_BYTES = 32,
  BT_PROOF_BYTES = crypto_auth_hmacsha256_BYTES,
};

/** One end of an opening. */
typedef struct bt_handshake_end
{
  const char *role;
  const char *instance;
  uint64_t incarnation;
} bt_handshake_end_t;

/** Makes the proof of @p prover to the holder of @p nonce. The label tells the two directions
 * apart, so that a proof sent back to its maker proves nothing. */
void bt_make_proof (const char *secret,
                    const char *label,
                    const uint8_t *nonce,
                    const bt_handshake_end_t *prover,
                    const bt_handshake_end_t *verifier,
                    uint8_t *proof);

/** True when @p proof, of @p bytes bytes, is that of the call above; in constant time. */
bool bt_check_proof (const char *secret,
                     const char *label,
                     const uint8_t *nonce,
                     const bt_handshake_end_t *prover,
                     const bt_handshake_end_t *verifier,
                     const uint8_t *proof,
                     size_t bytes);

#endif
