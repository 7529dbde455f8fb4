#include "bilberrytray/base/derived_key.h"

#include <sodium.h>
#include <string.h>

void
bt_derive_key (const char *secret, const char *purpose, uint8_t *key, size_t bytes)
{
  crypto_generichash (key, bytes, (const uint8_t *)purpose, strlen (purpose),
                      (const uint8_t *)secret, strnlen (secret, crypto_generichash_KEYBYTES_MAX));
}
