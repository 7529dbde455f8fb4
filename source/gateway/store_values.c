#include "store_values.h"

#include <string.h>

#include "crash_items.h"
#include "part_items.h"
#include "view.h"

enum
{
  /* Of all items but the configuration, whose size the store limits. */
  MAX_VALUE_BYTES = 65536,
};

static bool
starts_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

static bool
is_value_kept (const void *data, const char *key, size_t value_bytes)
{
  const bt_platform_t *platform = data;

  if (strcmp (key, platform->configuration_key) == 0)
    return true;
  return value_bytes <= MAX_VALUE_BYTES
         && (starts_with (key, platform->endpoint_prefix)
             || starts_with (key, platform->evacuation_prefix) || starts_with (key, bt_entry_prefix)
             || starts_with (key, bt_crash_prefix) || bt_is_part_key (key)
             || strcmp (key, bt_leader_key) == 0);
}

bt_kv_filter_t
bt_make_store_filter (const bt_platform_t *platform)
{
  return (bt_kv_filter_t){ .keeps = is_value_kept, .data = platform };
}
