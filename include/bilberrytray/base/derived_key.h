#ifndef BILBERRYTRAY_BASE_DERIVED_KEY_H
#define BILBERRYTRAY_BASE_DERIVED_KEY_H

/** @file
 * Derives keys for separate purposes from the shared secret of a deployment.
 */

#include <stddef.h>
#include <stdint.h>

/** Derives a key of @p bytes bytes (16 to 64). The same secret and purpose give the same key on all
 * instances. A key reveals nothing about the secret or about other keys. */
void bt_derive_key (const char *secret, const char *purpose, uint8_t *key, size_t bytes);

#endif
