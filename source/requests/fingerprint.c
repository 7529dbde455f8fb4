#include "bilberrytray/requests/fingerprint.h"

#include <sodium.h>
#include <string.h>

#include "bilberrytray/base/derived_key.h"

void
bt_derive_fingerprint_key (const char *secret, bt_fingerprint_key_t *key)
{
  bt_derive_key (secret, "bilberrytray request fingerprint", key->bytes, sizeof key->bytes);
}

/* Hashes the length before the content. Otherwise different parts whose concatenation is equal
 * would have the same fingerprint. */
static void
add_part (crypto_generichash_state *state, const void *part, size_t bytes)
{
  uint64_t length = bytes;

  crypto_generichash_update (state, (const uint8_t *)&length, sizeof length);
  if (bytes > 0)
    crypto_generichash_update (state, part, bytes);
}

void
bt_make_fingerprint (const bt_fingerprint_key_t *key,
                     const bt_request_content_t *content,
                     bt_fingerprint_t *fingerprint)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key->bytes, sizeof key->bytes, sizeof fingerprint->bytes);
  add_part (&state, content->account, strlen (content->account));
  add_part (&state, content->method, strlen (content->method));
  add_part (&state, content->target, strlen (content->target));
  add_part (&state, content->body, content->body_bytes);
  crypto_generichash_final (&state, fingerprint->bytes, sizeof fingerprint->bytes);
}

bool
bt_same_fingerprint (const bt_fingerprint_t *left, const bt_fingerprint_t *right)
{
  return memcmp (left->bytes, right->bytes, sizeof left->bytes) == 0;
}

void
bt_write_fingerprint (const bt_fingerprint_t *fingerprint, char text[BT_FINGERPRINT_TEXT_BYTES])
{
  sodium_bin2hex (text, BT_FINGERPRINT_TEXT_BYTES, fingerprint->bytes, sizeof fingerprint->bytes);
}

bool
bt_read_fingerprint (const char *text, bt_fingerprint_t *fingerprint)
{
  const size_t digits = BT_FINGERPRINT_TEXT_BYTES - 1;
  size_t bytes = 0;

  return strnlen (text, digits) == digits
         && sodium_hex2bin (fingerprint->bytes, sizeof fingerprint->bytes, text, digits, NULL,
                            &bytes, NULL)
                == 0
         && bytes == sizeof fingerprint->bytes;
}
