#include "told_entries.h"

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"

/** An entry and its sort key for one caller. */
typedef struct place
{
  const bt_listed_entry_t *entry;
  bool wraps; /* its domain's name sorts before the caller's, so it comes after the others */
  uint64_t draw;
} place_t;

static int
compare_places (const void *left, const void *right)
{
  const place_t *a = left;
  const place_t *b = right;
  int order;

  if (a->before != b->before)
    return a->before - b->before;
  order = strcmp (a->entry->failure_domain, b->entry->failure_domain);
  if (order != 0)
    return order;
  return (a->draw > b->draw) - (a->draw < b->draw);
}

/* The order within a domain is pseudo-random, seeded by the caller's domain: if a domain does not
 * fit completely, callers of different domains get different parts of it. */
static place_t
place_entry (const bt_listed_entry_t *entry, const char *domain)
{
  uint64_t seed = bt_hash_bytes (domain, strlen (domain), 0);
  const char *instance = entry->identity.instance;

  return (place_t){ entry, strcmp (entry->failure_domain, domain) < 0,
                    bt_hash_bytes (instance, strlen (instance), seed) };
}

int32_t
bt_choose_told_entries (bt_context_t *ctx,
                        const bt_listed_entry_t **entries,
                        int32_t count,
                        const char *domain,
                        int32_t most)
{
  place_t *places;

  if (count <= most)
    return count;
  places = bt_calloc (ctx, (size_t)count, sizeof *places);
  for (int32_t i = 0; i < count; i++)
    places[i] = place_entry (entries[i], domain);
  qsort (places, (size_t)count, sizeof *places, compare_places);
  for (int32_t i = 0; i < most; i++)
    entries[i] = places[i].entry;
  bt_free (ctx, places);
  return most;
}
