#include "bilberrytray/requests/ticket.h"

#include <sodium.h>
#include <string.h>

#include "bilberrytray/base/derived_key.h"

/* Binary layout of a ticket, before base64url encoding: version, id of the signing key, expiry,
 * incarnation of the home, key, account hash, length of the home's name (1 byte), the name, then
 * the HMAC over all of that. Integers are big endian. The *_AT constants are byte offsets. */
enum
{
  TICKET_VERSION = 1,
  DERIVED_KEY_ID = 1,
  ACCOUNT_SEED = 1,
  VERSION_AT = 0,
  SIGNING_KEY_ID_AT = 1,
  EXPIRES_AT = 5,
  INCARNATION_AT = 13,
  KEY_AT = 21,
  ACCOUNT_AT = KEY_AT + BT_KEY_BYTES,
  NAME_LENGTH_AT = ACCOUNT_AT + 8,
  NAME_AT = NAME_LENGTH_AT + 1,
  MAC_BYTES = crypto_auth_hmacsha256_BYTES,
  RAW_MIN_BYTES = NAME_AT + 1 + MAC_BYTES,
  RAW_MAX_BYTES = NAME_AT + BT_NAME_BYTES - 1 + MAC_BYTES,
  BITS_PER_BYTE = 8,
};

_Static_assert(sodium_base64_ENCODED_LEN (RAW_MAX_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING)
                   <= BT_TICKET_TEXT_BYTES,
               "the longest ticket must fit");
_Static_assert(BT_TICKET_SECRET_BYTES == crypto_auth_hmacsha256_KEYBYTES, "size of a signing key");

typedef struct signing_key
{
  uint32_t id;
  uint8_t secret[BT_TICKET_SECRET_BYTES];
} signing_key_t;

/* The keys are sorted by id, highest first. */
struct bt_ticket_ring
{
  signing_key_t keys[BT_TICKET_RING_MAX_KEYS];
  int32_t count;
};

bt_ticket_ring_t *
bt_new_ticket_ring (bt_context_t *ctx)
{
  return bt_calloc (ctx, 1, sizeof (bt_ticket_ring_t));
}

void
bt_drop_ticket_ring (bt_context_t *ctx, bt_ticket_ring_t *ring)
{
  if (ring == NULL)
    return;
  sodium_memzero (ring, sizeof *ring);
  bt_free (ctx, ring);
}

static const signing_key_t *
find_key (const bt_ticket_ring_t *ring, uint32_t id)
{
  for (int32_t i = 0; i < ring->count; i++)
    if (ring->keys[i].id == id)
      return &ring->keys[i];
  return NULL;
}

bool
bt_add_ticket_key (bt_ticket_ring_t *ring,
                   uint32_t id,
                   const uint8_t secret[BT_TICKET_SECRET_BYTES],
                   bt_error_t *error)
{
  int32_t at = 0;

  while (at < ring->count && ring->keys[at].id > id)
    at++;
  if (at == BT_TICKET_RING_MAX_KEYS)
    return bt_set_error (error, BT_ERROR_USAGE,
                         "The key ring is full and ticket key %u is older than all its keys.", id);
  if (at == ring->count || ring->keys[at].id != id)
    {
      if (ring->count < BT_TICKET_RING_MAX_KEYS)
        ring->count++;
      memmove (&ring->keys[at + 1], &ring->keys[at],
               (size_t)(ring->count - 1 - at) * sizeof ring->keys[0]);
    }
  ring->keys[at].id = id;
  memcpy (ring->keys[at].secret, secret, BT_TICKET_SECRET_BYTES);
  return true;
}

void
bt_derive_ticket_key (bt_ticket_ring_t *ring, const char *secret)
{
  uint8_t key[BT_TICKET_SECRET_BYTES];

  bt_derive_key (secret, "bilberrytray ticket", key, sizeof key);
  bt_add_ticket_key (ring, DERIVED_KEY_ID, key, NULL);
  sodium_memzero (key, sizeof key);
}

uint64_t
bt_hash_account (const char *account)
{
  return bt_hash_bytes (account, strnlen (account, BT_NAME_BYTES), ACCOUNT_SEED);
}

static void
write_big_endian (uint8_t *at, uint64_t value, int32_t bytes)
{
  for (int32_t i = bytes - 1; i >= 0; i--)
    {
      at[i] = (uint8_t)value;
      value >>= BITS_PER_BYTE;
    }
}

static uint64_t
read_big_endian (const uint8_t *at, int32_t bytes)
{
  uint64_t value = 0;

  for (int32_t i = 0; i < bytes; i++)
    value = (value << BITS_PER_BYTE) | at[i];
  return value;
}

bool
bt_sign_ticket (const bt_ticket_ring_t *ring,
                const bt_ticket_t *ticket,
                char *text,
                bt_error_t *error)
{
  uint8_t raw[RAW_MAX_BYTES];
  size_t name_bytes = strnlen (ticket->home.instance, BT_NAME_BYTES);
  size_t signed_bytes = NAME_AT + name_bytes;

  if (ring->count == 0)
    return bt_set_error (error, BT_ERROR_NOT_FOUND,
                         "The key ring has no key to sign tickets with.");
  if (name_bytes == 0 || name_bytes == BT_NAME_BYTES)
    return bt_set_error (error, BT_ERROR_USAGE,
                         "The name of the ticket's home instance is empty or too long.");
  raw[VERSION_AT] = TICKET_VERSION;
  write_big_endian (raw + SIGNING_KEY_ID_AT, ring->keys[0].id, sizeof (uint32_t));
  write_big_endian (raw + EXPIRES_AT, (uint64_t)ticket->expires_ms, sizeof (uint64_t));
  write_big_endian (raw + INCARNATION_AT, ticket->home.incarnation, sizeof (uint64_t));
  memcpy (raw + KEY_AT, ticket->key.bytes, BT_KEY_BYTES);
  write_big_endian (raw + ACCOUNT_AT, ticket->account, sizeof (uint64_t));
  raw[NAME_LENGTH_AT] = (uint8_t)name_bytes;
  memcpy (raw + NAME_AT, ticket->home.instance, name_bytes);
  crypto_auth_hmacsha256 (raw + signed_bytes, raw, signed_bytes, ring->keys[0].secret);
  sodium_bin2base64 (text, BT_TICKET_TEXT_BYTES, raw, signed_bytes + MAC_BYTES,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  return true;
}

static bool
verify_raw (const bt_ticket_ring_t *ring, const uint8_t *raw, size_t bytes, bt_error_t *error)
{
  const signing_key_t *key;
  size_t signed_bytes;

  if (bytes < RAW_MIN_BYTES || raw[VERSION_AT] != TICKET_VERSION)
    return bt_set_error (error, BT_ERROR_FORMAT, "This is not a ticket.");
  signed_bytes = NAME_AT + (size_t)raw[NAME_LENGTH_AT];
  if (raw[NAME_LENGTH_AT] == 0 || signed_bytes + MAC_BYTES != bytes)
    return bt_set_error (error, BT_ERROR_FORMAT, "The ticket's length is wrong.");
  key = find_key (ring, (uint32_t)read_big_endian (raw + SIGNING_KEY_ID_AT, sizeof (uint32_t)));
  if (key == NULL)
    return bt_set_error (error, BT_ERROR_NOT_FOUND, "The ticket's signing key is not known here.");
  if (crypto_auth_hmacsha256_verify (raw + signed_bytes, raw, signed_bytes, key->secret) != 0)
    return bt_set_error (error, BT_ERROR_REFUSED, "The ticket's signature is wrong.");
  return true;
}

/* libsodium decodes bytes above 127 like an underscore, so several texts could decode to one
 * ticket. Only the text that bt_sign_ticket writes is accepted; any other is damaged, even if its
 * signature is valid. */
static bool
is_canonical (const uint8_t *raw, size_t bytes, const char *text)
{
  char canonical[BT_TICKET_TEXT_BYTES];

  sodium_bin2base64 (canonical, sizeof canonical, raw, bytes,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  return strcmp (canonical, text) == 0;
}

bool
bt_parse_ticket (const bt_ticket_ring_t *ring,
                 const char *text,
                 bt_ticket_t *ticket,
                 bt_error_t *error)
{
  uint8_t raw[RAW_MAX_BYTES];
  size_t text_bytes = strnlen (text, BT_TICKET_TEXT_BYTES);
  size_t bytes = 0;

  if (text_bytes >= BT_TICKET_TEXT_BYTES)
    return bt_set_error (error, BT_ERROR_TOO_LARGE, "The key is longer than any ticket.");
  if (sodium_base642bin (raw, sizeof raw, text, text_bytes, NULL, &bytes, NULL,
                         sodium_base64_VARIANT_URLSAFE_NO_PADDING)
          != 0
      || !is_canonical (raw, bytes, text))
    return bt_set_error (error, BT_ERROR_FORMAT, "The key is not a ticket's text.");
  if (!verify_raw (ring, raw, bytes, error))
    return false;
  memset (ticket, 0, sizeof *ticket);
  ticket->expires_ms = (int64_t)read_big_endian (raw + EXPIRES_AT, sizeof (uint64_t));
  ticket->home.incarnation = read_big_endian (raw + INCARNATION_AT, sizeof (uint64_t));
  memcpy (ticket->key.bytes, raw + KEY_AT, BT_KEY_BYTES);
  ticket->account = read_big_endian (raw + ACCOUNT_AT, sizeof (uint64_t));
  memcpy (ticket->home.instance, raw + NAME_AT, raw[NAME_LENGTH_AT]);
  return true;
}
