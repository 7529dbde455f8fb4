#include "bilberrytray/core/identity.h"

#include <stdio.h>
#include <string.h>

bool
bt_same_identity (const bt_identity_t *left, const bt_identity_t *right)
{
  return left->incarnation == right->incarnation && strcmp (left->instance, right->instance) == 0;
}

bool
bt_same_key (const bt_key_t *left, const bt_key_t *right)
{
  return memcmp (left->bytes, right->bytes, BT_KEY_BYTES) == 0;
}

uint64_t
bt_hash_bytes (const void *data, uint64_t bytes, uint64_t seed)
{
  const uint8_t *input = data;
  uint64_t hash = 0xcbf29ce484222325U ^ seed;

  for (uint64_t i = 0; i < bytes; i++)
    hash = (hash ^ input[i]) * 0x100000001b3U;
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53U;
  return hash ^ (hash >> 33);
}

uint64_t
bt_score_candidate (const char *chooser, const char *candidate)
{
  return bt_hash_bytes (candidate, strlen (candidate),
                        bt_hash_bytes (chooser, strlen (chooser), 0));
}

void
bt_copy_name (char *target, const char *name)
{
  snprintf (target, BT_NAME_BYTES, "%s", name);
}
