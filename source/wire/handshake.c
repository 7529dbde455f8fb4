#include "handshake.h"

#include <string.h>

static void
add_text (crypto_auth_hmacsha256_state *state, const char *text)
{
  /* Includes the terminating zero, so that different lists of texts never give the same bytes. */
  crypto_auth_hmacsha256_update (state, (const unsigned char *)text, strlen (text) + 1);
}

static void
add_end (crypto_auth_hmacsha256_state *state, const bt_handshake_end_t *end)
{
  uint8_t bytes[sizeof end->incarnation];

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)(end->incarnation >> (8 * i));
  add_text (state, end->role);
  add_text (state, end->instance);
  crypto_auth_hmacsha256_update (state, bytes, sizeof bytes);
}

void
bt_make_proof (const char *secret,
               const char *label,
               const uint8_t *nonce,
               const bt_handshake_end_t *prover,
               const bt_handshake_end_t *verifier,
               uint8_t *proof)
{
  crypto_auth_hmacsha256_state state;

  crypto_auth_hmacsha256_init (&state, (const unsigned char *)secret, strlen (secret));
  add_text (&state, label);
  crypto_auth_hmacsha256_update (&state, nonce, BT_NONCE_BYTES);
  add_end (&state, prover);
  add_end (&state, verifier);
  crypto_auth_hmacsha256_final (&state, proof);
}

bool
bt_check_proof (const char *secret,
                const char *label,
                const uint8_t *nonce,
                const bt_handshake_end_t *prover,
                const bt_handshake_end_t *verifier,
                const uint8_t *proof,
                size_t bytes)
{
  uint8_t expected[BT_PROOF_BYTES];

  if (bytes != BT_PROOF_BYTES)
    return false;
  bt_make_proof (secret, label, nonce, prover, verifier, expected);
  return sodium_memcmp (expected, proof, BT_PROOF_BYTES) == 0;
}
