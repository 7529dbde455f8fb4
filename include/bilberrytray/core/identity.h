#ifndef BILBERRYTRAY_CORE_IDENTITY_H
#define BILBERRYTRAY_CORE_IDENTITY_H

/** @file
 * Names of things: instances and their starts, request keys. An address is never an identity, since
 * addresses are reused when instances are replaced.
 */

#include <stdbool.h>
#include <stdint.h>

/** Longest name of an instance, endpoint, model, account or failure domain, with its zero, in
 * bytes. */
#define BT_NAME_BYTES 64

/** Size of a request key, in bytes. */
#define BT_KEY_BYTES 16

/** Longest "IP:PORT", with its zero, in bytes. */
#define BT_ADDRESS_BYTES 32

/** One start of one process: its instance's name and a random number drawn at the start. */
typedef struct bt_identity
{
  char instance[BT_NAME_BYTES];
  uint64_t incarnation;
} bt_identity_t;

/** The key of a non-idempotent request: random, minted with its ticket. */
typedef struct bt_key
{
  uint8_t bytes[BT_KEY_BYTES];
} bt_key_t;

/** True when both the instance and the incarnation agree. */
bool bt_same_identity (const bt_identity_t *left, const bt_identity_t *right);

bool bt_same_key (const bt_key_t *left, const bt_key_t *right);

/** A 64-bit hash of any bytes, the same on every machine; not for secrets. */
uint64_t bt_hash_bytes (const void *data, uint64_t bytes, uint64_t seed);

/** Copies a name, cutting it at BT_NAME_BYTES - 1 bytes. */
void bt_copy_name (char *target, const char *name);

#endif
