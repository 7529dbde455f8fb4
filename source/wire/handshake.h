#ifndef BILBERRYTRAY_SOURCE_WIRE_HANDSHAKE_H
#define BILBERRYTRAY_SOURCE_WIRE_HANDSHAKE_H

/** @file
 * The proofs that the ends of a link exchange in its handshake.
 */

#include <stdbool.h>
#include <stdint.h>

#include <sodium.h>

enum
{
  BT_NONCE_BYTES = 32,
  BT_PROOF_BYTES = crypto_auth_hmacsha256_BYTES,
};

/** Identity of one end of a handshake. */
typedef struct bt_handshake_end
{
  const char *role;
  const char *instance;
  uint64_t incarnation;
} bt_handshake_end_t;

/** Computes the proof of @p prover for the @p nonce that @p verifier chose: an HMAC-SHA256 with the
 * secret. The label differs between the two directions, so that a proof that is reflected to its
 * sender is invalid. */
void bt_make_proof (const char *secret,
                    const char *label,
                    const uint8_t *nonce,
                    const bt_handshake_end_t *prover,
                    const bt_handshake_end_t *verifier,
                    uint8_t *proof);

/** True if @p proof, of @p bytes bytes, equals the result of bt_make_proof. Compares in constant
 * time. */
bool bt_check_proof (const char *secret,
                     const char *label,
                     const uint8_t *nonce,
                     const bt_handshake_end_t *prover,
                     const bt_handshake_end_t *verifier,
                     const uint8_t *proof,
                     size_t bytes);

#endif
