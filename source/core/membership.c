#include "bilberrytray/core/membership.h"

#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/core/subset.h"

enum
{
  INITIAL_CAPACITY = 16,
};

#define NEVER_MS INT64_MIN

struct bt_membership
{
  bt_identity_t self;
  bt_listed_role_t role;
  bt_membership_settings_t settings;
  bt_member_t *members;
  int32_t count;
  int32_t capacity;
  int64_t list_revision;
  int64_t list_ms; /**< When list_revision was received. */
  bool admitting;
  int64_t leaving_ms;      /**< NEVER_MS until this instance starts to leave. */
  uint64_t entries_digest; /**< Digest of the entries that the links were selected from. */
};

bt_membership_settings_t
bt_get_default_membership_settings (void)
{
  bt_membership_settings_t settings = { .link_idle_ms = 3000,
                                        .answer_life_ms = 10000,
                                        .list_stale_ms = 60000 };

  return settings;
}

bt_membership_t *
bt_new_membership (bt_context_t *ctx,
                   const bt_identity_t *self,
                   bt_listed_role_t role,
                   const bt_membership_settings_t *settings)
{
  bt_membership_t *membership = bt_calloc (ctx, 1, sizeof *membership);

  membership->self = *self;
  membership->role = role;
  membership->settings = *settings;
  membership->list_ms = NEVER_MS;
  membership->leaving_ms = NEVER_MS;
  return membership;
}

void
bt_drop_membership (bt_context_t *ctx, bt_membership_t *membership)
{
  if (membership == NULL)
    return;
  bt_free (ctx, membership->members);
  bt_free (ctx, membership);
}

static bt_member_t *
find_member (const bt_membership_t *membership, const char *instance)
{
  for (int32_t i = 0; i < membership->count; i++)
    if (strcmp (membership->members[i].listed.instance, instance) == 0)
      return &membership->members[i];
  return NULL;
}

static bt_member_t *
find_or_add_member (bt_context_t *ctx, bt_membership_t *membership, const char *instance)
{
  bt_member_t *member = find_member (membership, instance);

  if (member != NULL)
    return member;
  if (membership->count == membership->capacity)
    {
      membership->capacity = membership->capacity * 2 + INITIAL_CAPACITY;
      membership->members =
          bt_realloc (ctx, membership->members, (size_t)membership->capacity, sizeof *member);
    }
  member = &membership->members[membership->count++];
  memset (member, 0, sizeof *member);
  bt_copy_name (member->listed.instance, instance);
  return member;
}

static void
remove_gone_members (bt_membership_t *membership)
{
  int32_t remaining = 0;

  for (int32_t i = 0; i < membership->count; i++)
    if (membership->members[i].is_listed || membership->members[i].linked)
      membership->members[remaining++] = membership->members[i];
  membership->count = remaining;
}

/* A lagging replica of the list could bring back instances that are gone. If the platform's list
 * was rebuilt and its revisions start again, the lower revision is accepted after list_stale_ms. */
static bool
is_stale_list (const bt_membership_t *membership, int64_t revision, int64_t now_ms)
{
  return revision < membership->list_revision
         && now_ms - membership->list_ms < membership->settings.list_stale_ms;
}

static int32_t
list_entries (const bt_membership_t *membership, bt_subset_candidate_t *candidates)
{
  int32_t count = 0;

  for (int32_t i = 0; i < membership->count; i++)
    if (membership->members[i].is_listed && membership->members[i].listed.role == BT_LISTED_ENTRY)
      {
        bt_copy_name (candidates[count].instance, membership->members[i].listed.instance);
        bt_copy_name (candidates[count].failure_domain,
                      membership->members[i].listed.failure_domain);
        count++;
      }
  return count;
}

/* Returns true if @p chooser selects @p wanted. Every instance computes the same selection. */
static bool
chooser_selects (bt_context_t *ctx,
                 const char *chooser,
                 const char *wanted,
                 const bt_subset_candidate_t *candidates,
                 int32_t count)
{
  int32_t chosen[BT_AGENT_LINKS];
  int32_t chosen_count = bt_choose_subset (ctx, chooser, candidates, count, BT_AGENT_LINKS, chosen);

  for (int32_t i = 0; i < chosen_count; i++)
    if (strcmp (candidates[chosen[i]].instance, wanted) == 0)
      return true;
  return false;
}

/* Selects the instances to keep a link with. Links between all instances would be millions in a
 * large fleet. Both ends compute the same selection, so neither has to ask the other. An entry that
 * selected itself has one link fewer. */
static void
select_neighbors (bt_context_t *ctx, bt_membership_t *membership)
{
  const char *self = membership->self.instance;
  bt_subset_candidate_t *candidates =
      bt_calloc (ctx, (size_t)membership->count, sizeof *candidates);
  int32_t count = list_entries (membership, candidates);

  uint64_t digest = bt_hash_bytes (candidates, (uint64_t)count * sizeof *candidates, 0);

  /* The list is read every second and seldom changes: the selection stays valid while the entries
   * are the same. */
  for (int32_t i = 0; i < membership->count; i++)
    {
      bt_member_t *member = &membership->members[i];
      const char *other = member->listed.instance;
      bool agent = member->listed.role == BT_LISTED_AGENT;

      if (member->neighbor_is_known && digest == membership->entries_digest)
        continue;
      member->neighbor_is_known = true;
      member->is_neighbor = count <= BT_AGENT_LINKS
                            || (!agent && chooser_selects (ctx, self, other, candidates, count))
                            || (membership->role == BT_LISTED_ENTRY
                                && chooser_selects (ctx, other, self, candidates, count));
    }
  membership->entries_digest = digest;
  bt_free (ctx, candidates);
}

bool
bt_apply_member_list (bt_context_t *ctx,
                      bt_membership_t *membership,
                      int64_t revision,
                      const bt_listed_instance_t *listed,
                      int32_t count,
                      int64_t now_ms)
{
  if (is_stale_list (membership, revision, now_ms))
    return false;
  membership->list_revision = revision;
  membership->list_ms = now_ms;
  for (int32_t i = 0; i < membership->count; i++)
    membership->members[i].is_listed = false;
  for (int32_t i = 0; i < count; i++)
    {
      bt_member_t *member = find_or_add_member (ctx, membership, listed[i].instance);

      /* At a new address it may be a new machine, so it counts as reachable again. */
      if (strcmp (member->listed.address, listed[i].address) != 0)
        member->lost = false;
      member->listed = listed[i];
      member->is_listed = true;
    }
  remove_gone_members (membership);
  select_neighbors (ctx, membership);
  return true;
}

bt_link_result_t
bt_open_member_link (bt_context_t *ctx,
                     bt_membership_t *membership,
                     const bt_member_hello_t *hello,
                     int64_t now_ms,
                     uint64_t *replaced)
{
  bt_member_t *member = find_or_add_member (ctx, membership, hello->identity.instance);
  bool restarted = member->incarnation != 0 && member->incarnation != hello->identity.incarnation;

  /* A process that was partitioned while its replacement took over may reconnect. Its records and
   * tombstones are outdated, and it must not replace the live incarnation. */
  if (restarted && member->replaced_incarnation == hello->identity.incarnation)
    return BT_LINK_REFUSED;
  if (restarted)
    member->replaced_incarnation = member->incarnation;
  *replaced = member->replaced_incarnation;
  member->incarnation = hello->identity.incarnation;
  member->linked = true;
  member->lost = false;
  member->link_leaving = false;
  member->admitting = false;
  member->heard_ms = now_ms;
  if (!member->is_listed)
    {
      member->listed.role = hello->role;
      snprintf (member->listed.address, BT_ADDRESS_BYTES, "%s", hello->address);
      bt_copy_name (member->listed.failure_domain, hello->failure_domain);
    }
  return restarted ? BT_LINK_REPLACES : BT_LINK_NEW;
}

void
bt_close_member_link (bt_context_t *ctx, bt_membership_t *membership, const bt_identity_t *identity)
{
  bt_member_t *member = find_member (membership, identity->instance);

  if (member == NULL || member->incarnation != identity->incarnation)
    return;
  member->linked = false;
  member->lost = true;
  remove_gone_members (membership);
}

void
bt_note_wrong_instance (bt_membership_t *membership, const char *instance)
{
  bt_member_t *member = find_member (membership, instance);

  if (member != NULL && !member->linked)
    member->lost = true;
}

void
bt_handle_member_heartbeat (bt_membership_t *membership,
                            const bt_identity_t *identity,
                            bool leaving,
                            bool admitting,
                            int64_t now_ms)
{
  bt_member_t *member = find_member (membership, identity->instance);

  if (member == NULL || !member->linked || member->incarnation != identity->incarnation)
    return;
  member->heard_ms = now_ms;
  member->admitting = admitting;
  /* Leaving is permanent: a heartbeat that arrives out of order must not revoke it. */
  if (leaving)
    member->link_leaving = true;
}

void
bt_set_self_admitting (bt_membership_t *membership, bool admitting)
{
  membership->admitting = admitting;
}

void
bt_set_self_leaving (bt_membership_t *membership, int64_t now_ms)
{
  if (membership->leaving_ms == NEVER_MS)
    membership->leaving_ms = now_ms;
}

bool
bt_are_answers_expired (const bt_membership_t *membership, int64_t now_ms)
{
  /* Peers learn of the leaving from the next heartbeat, or from the idle limit of the link. */
  return membership->leaving_ms != NEVER_MS
         && now_ms - membership->leaving_ms
                >= membership->settings.answer_life_ms + membership->settings.link_idle_ms;
}

int32_t
bt_count_members (const bt_membership_t *membership)
{
  return membership->count;
}

const bt_member_t *
bt_get_member (const bt_membership_t *membership, int32_t index)
{
  return &membership->members[index];
}

const bt_member_t *
bt_find_member (const bt_membership_t *membership, const char *instance)
{
  return find_member (membership, instance);
}

static bool
is_self (const bt_membership_t *membership, const bt_member_t *member)
{
  return strcmp (member->listed.instance, membership->self.instance) == 0;
}

static bool
is_leaving (const bt_membership_t *membership, const bt_member_t *member)
{
  if (is_self (membership, member) && membership->leaving_ms != NEVER_MS)
    return true;
  return member->link_leaving || (member->is_listed && member->listed.leaving);
}

bool
bt_is_member_live (const bt_membership_t *membership, const bt_member_t *member, int64_t now_ms)
{
  if (membership->settings.trust_list)
    return member->is_listed && !member->listed.leaving;
  /* The list names an instance for a while after it died or began to leave; callers sent there
   * would wait for an answer that never comes. The link detects this first. */
  if (is_leaving (membership, member))
    return false;
  if (is_self (membership, member))
    return true;
  if (member->linked)
    return now_ms - member->heard_ms <= membership->settings.link_idle_ms;
  return member->is_listed && !member->is_neighbor && !member->lost;
}

static void
shuffle (const bt_member_t **members, int32_t count, uint64_t seed)
{
  bt_random_t random;

  bt_seed_random (&random, seed);
  for (int32_t i = count - 1; i > 0; i--)
    {
      int32_t other = (int32_t)bt_random_below (&random, (uint64_t)i + 1);
      const bt_member_t *swapped = members[i];

      members[i] = members[other];
      members[other] = swapped;
    }
}

/* An entry that has just started or is partitioned can be alive and linked and still refuse all
 * requests. */
static bool
is_admitting (const bt_membership_t *membership, const bt_member_t *member)
{
  if (is_self (membership, member))
    return membership->admitting;
  return !member->linked || member->admitting;
}

static int32_t
list_live (const bt_membership_t *membership,
           int64_t now_ms,
           bool admitting_only,
           const bt_member_t **live)
{
  int32_t count = 0;

  for (int32_t i = 0; i < membership->count; i++)
    {
      const bt_member_t *member = &membership->members[i];

      if (member->listed.role == BT_LISTED_ENTRY && member->listed.http[0] != '\0'
          && bt_is_member_live (membership, member, now_ms)
          && (!admitting_only || is_admitting (membership, member)))
        live[count++] = member;
    }
  return count;
}

int32_t
bt_choose_addresses (bt_context_t *ctx,
                     const bt_membership_t *membership,
                     uint64_t seed,
                     int64_t now_ms,
                     int32_t wanted,
                     const bt_member_t **chosen)
{
  const bt_member_t **live = bt_calloc (ctx, (size_t)membership->count, sizeof (bt_member_t *));
  int32_t count = list_live (membership, now_ms, true, live);

  if (count == 0)
    count = list_live (membership, now_ms, false, live);
  shuffle (live, count, seed);
  if (count > wanted)
    count = wanted;
  memcpy (chosen, live, (size_t)count * sizeof (bt_member_t *));
  bt_free (ctx, live);
  return count;
}

bt_sync_member_t *
bt_list_sync_members (bt_context_t *ctx, const bt_membership_t *membership, int32_t *count)
{
  bt_sync_member_t *entries = bt_calloc (ctx, (size_t)membership->count, sizeof *entries);

  *count = 0;
  for (int32_t i = 0; i < membership->count; i++)
    {
      const bt_member_t *member = &membership->members[i];
      bt_sync_member_t *entry = &entries[*count];

      if (member->listed.role != BT_LISTED_ENTRY || is_leaving (membership, member))
        continue;
      bt_copy_name (entry->instance, member->listed.instance);
      bt_copy_name (entry->failure_domain, member->listed.failure_domain);
      entry->is_neighbor = member->is_neighbor;
      (*count)++;
    }
  return entries;
}
