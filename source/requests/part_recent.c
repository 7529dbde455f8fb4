#include "part_recent.h"

#include <string.h>

/* A fingerprint is a hash, so that any of its bytes tell its place. */
static uint32_t
find_place (const bt_fingerprint_t *part)
{
  uint32_t number;

  memcpy (&number, part->bytes, sizeof number);
  return number % BT_RECENT_PARTS;
}

void
bt_put_recent_part (bt_recent_parts_t *recent, const bt_fingerprint_t *part)
{
  recent->items[find_place (part)] = *part;
}

bool
bt_has_recent_part (const bt_recent_parts_t *recent, const bt_fingerprint_t *part)
{
  return bt_same_fingerprint (&recent->items[find_place (part)], part);
}
