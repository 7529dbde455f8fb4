#include "feed_choice.h"

#include <stdio.h>
#include <string.h>

#include "bilberrytray/core/subset.h"

static bool
is_first_of_domain (const bt_listed_entry_t *entries, int32_t index)
{
  for (int32_t i = 0; i < index; i++)
    if (strcmp (entries[i].failure_domain, entries[index].failure_domain) == 0)
      return false;
  return true;
}

/* Returns the least number of readers whose square, times BT_ENTRIES_PER_SQUARED_READER, reaches
 * the number of entries. */
static int32_t
count_readers_of_large_fleet (int32_t entries)
{
  int32_t readers = 0;

  while (readers * readers * BT_ENTRIES_PER_SQUARED_READER < entries)
    readers++;
  return readers;
}

/* Returns the number of readers. There is at least one for each failure domain, so that updates
 * need not cross between failure domains. */
static int32_t
count_readers (const bt_listed_entry_t *entries, int32_t count)
{
  int32_t readers = (count + BT_ENTRIES_PER_READER - 1) / BT_ENTRIES_PER_READER;
  int32_t large_readers = count_readers_of_large_fleet (count);
  int32_t domains = 0;

  if (large_readers < readers)
    readers = large_readers;

  for (int32_t i = 0; i < count; i++)
    if (is_first_of_domain (entries, i))
      domains++;
  return readers > domains ? readers : domains;
}

static void
add_candidate (bt_feed_choice_t *choice, const char *links)
{
  if (choice->count < BT_MAX_FEED_CANDIDATES)
    snprintf (choice->candidates[choice->count++], BT_ADDRESS_BYTES, "%s", links);
}

/* Adds the readers in the same failure domain (@p same), or those in the others. The first one
 * depends on the hash of @p links, so that followers are spread over the readers. */
static void
add_readers (bt_feed_choice_t *choice,
             const bt_listed_entry_t *entries,
             const int32_t *readers,
             int32_t count,
             const char *links,
             const char *failure_domain,
             bool same)
{
  int32_t first = (int32_t)(bt_hash_bytes (links, strlen (links), 0) % (uint64_t)count);

  for (int32_t i = 0; i < count; i++)
    {
      const bt_listed_entry_t *entry = &entries[readers[(first + i) % count]];
      bool same_domain = strcmp (entry->failure_domain, failure_domain) == 0;

      if (same_domain == same && strcmp (entry->links, links) != 0)
        add_candidate (choice, entry->links);
    }
}

/* Adds the standbys in an order that is the same for all entries. */
static void
add_standbys (bt_feed_choice_t *choice,
              const bt_listed_entry_t *entries,
              const int32_t *standbys,
              int32_t count,
              const char *links)
{
  bool before_self = true;

  for (int32_t i = 0; i < count; i++)
    {
      const bt_listed_entry_t *entry = &entries[standbys[i]];

      if (strcmp (entry->links, links) == 0)
        before_self = false;
      else
        add_candidate (choice, entry->links);
      if (before_self)
        choice->primary_count = choice->count;
    }
}

static bool
is_among (const bt_listed_entry_t *entries, const int32_t *chosen, int32_t count, const char *links)
{
  for (int32_t i = 0; i < count; i++)
    if (strcmp (entries[chosen[i]].links, links) == 0)
      return true;
  return false;
}

/* Returns the least processor share of a large entry: half of the largest one. */
static double
get_large_cores (const bt_listed_entry_t *entries, int32_t count)
{
  double most = 0;

  for (int32_t i = 0; i < count; i++)
    if (entries[i].cores > most)
      most = entries[i].cores;
  return most / 2;
}

/* Lists the entries that may become readers: the large ones if there are enough, since a reader
 * sends each change to all its followers, or else all. Returns their number. */
static int32_t
list_reader_candidates (const bt_listed_entry_t *entries,
                        int32_t count,
                        int32_t wanted,
                        int32_t *candidates)
{
  double large_cores = get_large_cores (entries, count);
  int32_t large = 0;

  for (int32_t i = 0; i < count; i++)
    if (entries[i].cores >= large_cores)
      candidates[large++] = i;
  if (large >= wanted)
    return large;
  for (int32_t i = 0; i < count; i++)
    candidates[i] = i;
  return count;
}

void
bt_choose_feed (bt_context_t *ctx,
                const bt_listed_entry_t *entries,
                int32_t count,
                const char *links,
                const char *failure_domain,
                bt_feed_choice_t *choice)
{
  bt_subset_candidate_t *subset_candidates =
      bt_calloc (ctx, (size_t)count, sizeof *subset_candidates);
  int32_t *candidates = bt_calloc (ctx, (size_t)count + 1, sizeof *candidates);
  int32_t readers = count_readers (entries, count);
  int32_t chosen_count = readers + BT_STANDBY_READERS;
  int32_t *chosen = bt_calloc (ctx, (size_t)chosen_count, sizeof *chosen);
  int32_t candidate_count = list_reader_candidates (entries, count, chosen_count, candidates);

  memset (choice, 0, sizeof *choice);
  for (int32_t i = 0; i < count; i++)
    choice->listed = choice->listed || strcmp (entries[i].links, links) == 0;
  for (int32_t i = 0; i < candidate_count; i++)
    {
      const bt_listed_entry_t *entry = &entries[candidates[i]];

      bt_copy_name (subset_candidates[i].instance, entry->identity.instance);
      bt_copy_name (subset_candidates[i].failure_domain, entry->failure_domain);
    }
  chosen_count = bt_choose_subset (ctx, "store readers", subset_candidates, candidate_count,
                                   chosen_count, chosen);
  for (int32_t i = 0; i < chosen_count; i++)
    chosen[i] = candidates[chosen[i]];
  readers = readers < chosen_count ? readers : chosen_count;
  choice->reader = is_among (entries, chosen, readers, links);
  if (readers > 0)
    {
      add_readers (choice, entries, chosen, readers, links, failure_domain, true);
      add_readers (choice, entries, chosen, readers, links, failure_domain, false);
    }
  choice->primary_count = choice->count;
  add_standbys (choice, entries, chosen + readers, chosen_count - readers, links);
  if (choice->reader)
    choice->primary_count = 0;
  bt_free (ctx, subset_candidates);
  bt_free (ctx, candidates);
  bt_free (ctx, chosen);
}

/* Turns the candidates by the hash of @p links, so that processes are spread over the seeds. */
static void
rotate_candidates (bt_feed_choice_t *choice, const char *links)
{
  char before[BT_MAX_FEED_CANDIDATES][BT_ADDRESS_BYTES];
  uint64_t hash = bt_hash_bytes (links, strlen (links), 0);

  memcpy (before, choice->candidates, sizeof before);
  for (int32_t i = 0; i < choice->count; i++)
    memcpy (choice->candidates[i], before[(hash + (uint64_t)i) % (uint64_t)choice->count],
            BT_ADDRESS_BYTES);
}

void
bt_choose_seed_feed (const char *seeds, const char *links, bt_feed_choice_t *choice)
{
  memset (choice, 0, sizeof *choice);
  while (*seeds != '\0')
    {
      size_t bytes = strcspn (seeds, ",");
      char address[BT_ADDRESS_BYTES];

      snprintf (address, sizeof address, "%.*s", (int)bytes, seeds);
      if (bytes > 0 && strcmp (address, links) == 0)
        choice->reader = true;
      else if (bytes > 0)
        add_candidate (choice, address);
      seeds += bytes + (seeds[bytes] == ',' ? 1 : 0);
    }
  rotate_candidates (choice, links);
  choice->primary_count = choice->reader ? 0 : choice->count;
}
