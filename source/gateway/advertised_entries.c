#include "advertised_entries.h"

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"

/** An entry and its sort key for one caller. */
typedef struct sort_key
{
  const bt_listed_entry_t *entry;
  bool wraps; /* its domain's name sorts before the caller's, so it comes after the others */
  uint64_t random;
} sort_key_t;

static int
compare_sort_keys (const void *left, const void *right)
{
  const sort_key_t *a = left;
  const sort_key_t *b = right;
  int order;

  if (a->wraps != b->wraps)
    return a->wraps - b->wraps;
  order = strcmp (a->entry->failure_domain, b->entry->failure_domain);
  if (order != 0)
    return order;
  return (a->random > b->random) - (a->random < b->random);
}

/* The order within a domain is pseudo-random, seeded by the caller's domain: if a domain does not
 * fit completely, callers of different domains get different parts of it. */
static sort_key_t
make_sort_key (const bt_listed_entry_t *entry, const char *domain)
{
  uint64_t seed = bt_hash_bytes (domain, strlen (domain), 0);
  const char *instance = entry->identity.instance;

  return (sort_key_t){ entry, strcmp (entry->failure_domain, domain) < 0,
                       bt_hash_bytes (instance, strlen (instance), seed) };
}

int32_t
bt_select_advertised_entries (bt_context_t *ctx,
                              const bt_listed_entry_t **entries,
                              int32_t count,
                              const char *domain,
                              int32_t max)
{
  sort_key_t *keys;

  if (count <= max)
    return count;
  keys = bt_calloc (ctx, (size_t)count, sizeof *keys);
  for (int32_t i = 0; i < count; i++)
    keys[i] = make_sort_key (entries[i], domain);
  qsort (keys, (size_t)count, sizeof *keys, compare_sort_keys);
  for (int32_t i = 0; i < max; i++)
    entries[i] = keys[i].entry;
  bt_free (ctx, keys);
  return max;
}
