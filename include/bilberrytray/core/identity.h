#ifndef BILBERRYTRAY_CORE_IDENTITY_H
#define BILBERRYTRAY_CORE_IDENTITY_H

/** @file
 * Identifiers of instances, their incarnations and request keys. An address never identifies an
 * instance, since addresses are reused when instances are replaced.
 */

#include <stdbool.h>
#include <stdint.h>

/** Size of the longest name of an instance, endpoint, model, account or failure domain, including
 * the terminating zero, in bytes. */
#define BT_NAME_BYTES 64

/** Size of a request key, in bytes. */
#define BT_KEY_BYTES 16

/** Size of the longest "IP:PORT", including the terminating zero, in bytes. */
#define BT_ADDRESS_BYTES 32

/** One incarnation of a process: the name of its instance and a random number drawn when it
 * starts. */
typedef struct bt_identity
{
  char instance[BT_NAME_BYTES];
  uint64_t incarnation;
} bt_identity_t;

/** Key of a non-idempotent request: a random number, minted together with its ticket. */
typedef struct bt_key
{
  uint8_t bytes[BT_KEY_BYTES];
} bt_key_t;

/** Returns true if both the instance and the incarnation are equal. */
bool bt_same_identity (const bt_identity_t *left, const bt_identity_t *right);

bool bt_same_key (const bt_key_t *left, const bt_key_t *right);

/** Returns a 64-bit hash of the bytes, equal on every machine. Not cryptographic: do not use it for
 * secrets. */
uint64_t bt_hash_bytes (const void *data, uint64_t bytes, uint64_t seed);

/** Returns the score of a candidate for a chooser in rendezvous hashing, equal on every machine. */
uint64_t bt_score_candidate (const char *chooser, const char *candidate);

/** Copies a name into a buffer of BT_NAME_BYTES and truncates it to BT_NAME_BYTES - 1 bytes. */
void bt_copy_name (char *target, const char *name);

#endif
