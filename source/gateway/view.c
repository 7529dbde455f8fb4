#include "view.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/json_text.h"
#include "bilberrytray/base/name_index.h"
#include "bilberrytray/base/process_end.h"
#include "configuration_report.h"
#include "crash_items.h"
#include "part_items.h"

enum
{
  HEX_BYTES = 17,
  HEX_BASE = 16,
};

const char *const bt_entry_prefix = "bilberrytray/entries/";
const char *const bt_leader_key = "bilberrytray/maps/groups/controller";

void
bt_write_entry_key (char key[2 * BT_NAME_BYTES], const char *instance)
{
  snprintf (key, (size_t)2 * BT_NAME_BYTES, "%s%s", bt_entry_prefix, instance);
}

char *
bt_write_listed_entry (bt_context_t *ctx, const bt_listed_entry_t *entry)
{
  char incarnation[HEX_BYTES];
  json_t *object;
  char *text;
  char *copy;

  snprintf (incarnation, sizeof incarnation, "%016" PRIx64, entry->identity.incarnation);
  object = json_pack ("{s:s, s:s, s:s, s:s, s:f}", "incarnation", incarnation, "callers",
                      entry->callers, "links", entry->links, "failure_domain",
                      entry->failure_domain, "cores", entry->cores);
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  copy = bt_strdup (ctx, text);
  free (text);
  return copy;
}

static bool
starts_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

/* Copies a string member of an object. Returns false if it is missing or does not fit. */
static bool
copy_field (char *target, size_t capacity, const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  if (text == NULL || strlen (text) >= capacity)
    return false;
  memcpy (target, text, strlen (text) + 1);
  return true;
}

static bool
read_incarnation (const json_t *object, uint64_t *incarnation)
{
  char text[HEX_BYTES];
  char *end;

  if (!copy_field (text, sizeof text, object, "incarnation"))
    return false;
  *incarnation = strtoull (text, &end, HEX_BASE);
  return end != text && *end == '\0';
}

/* Addresses are advertised to callers or connected to, so they must be valid. The address of links
 * may be empty. */
static bool
read_entry_object (const json_t *object, bt_listed_entry_t *entry)
{
  entry->cores = json_number_value (json_object_get (object, "cores"));
  return read_incarnation (object, &entry->identity.incarnation)
         && copy_field (entry->callers, sizeof entry->callers, object, "callers")
         && copy_field (entry->links, sizeof entry->links, object, "links")
         && copy_field (entry->failure_domain, sizeof entry->failure_domain, object,
                        "failure_domain")
         && bt_is_peer_address (entry->callers)
         && (entry->links[0] == '\0' || bt_is_peer_address (entry->links));
}

static bool
decode_entry (const bt_kv_pair_t *pair, bt_listed_entry_t *entry)
{
  const char *instance = pair->key + strlen (bt_entry_prefix);
  json_t *object = bt_load_json (pair->value, pair->value_bytes, 0, NULL);
  bool valid;

  memset (entry, 0, sizeof *entry);
  valid = instance[0] != '\0' && strlen (instance) < sizeof entry->identity.instance
          && read_entry_object (object, entry);
  bt_copy_name (entry->identity.instance, instance);
  entry->revision = pair->mod_revision;
  json_decref (object);
  return valid;
}

/* Returns true if the previous view skipped the same item at the same revision. Items come in the
 * same order each time, so the search starts at the index @p at, after the last match. */
static bool
was_skipped (const bt_view_t *previous, const bt_kv_pair_t *pair, int32_t *at)
{
  for (int32_t i = 0; previous != NULL && i < previous->skipped_count; i++)
    {
      int32_t index = (*at + i) % previous->skipped_count;
      const bt_skipped_item_t *item = &previous->skipped[index];

      if (item->revision != pair->mod_revision || strcmp (item->key, pair->key) != 0)
        continue;
      *at = index + 1;
      return true;
    }
  return false;
}

/** The state while a view is created. */
typedef struct view_draft
{
  bt_context_t *ctx;
  bt_view_t *view;
  const bt_view_t *previous; /* NULL if it is of another era */
  int32_t search_from;
  int32_t entry_from;    /* index after the last entry that was found in the previous view */
  int32_t endpoint_from; /* the same for endpoints */
} view_draft_t;

/* Finds an entry of the previous view whose item has not changed. Items come in the same order each
 * time, so the search starts after the last match. */
static const bt_listed_entry_t *
find_unchanged_entry (view_draft_t *draft, const bt_kv_pair_t *pair)
{
  const bt_view_t *previous = draft->previous;
  const char *instance = pair->key + strlen (bt_entry_prefix);

  for (int32_t i = 0; previous != NULL && i < previous->entry_count; i++)
    {
      int32_t index = (draft->entry_from + i) % previous->entry_count;
      const bt_listed_entry_t *entry = &previous->entries[index];

      if (entry->revision != pair->mod_revision || strcmp (entry->identity.instance, instance) != 0)
        continue;
      draft->entry_from = index + 1;
      return entry;
    }
  return NULL;
}

/* Finds an endpoint of the previous view whose item has not changed. */
static const bt_listed_endpoint_t *
find_unchanged_endpoint (view_draft_t *draft, const char *id, int64_t revision)
{
  const bt_view_t *previous = draft->previous;

  for (int32_t i = 0; previous != NULL && i < previous->endpoint_count; i++)
    {
      int32_t index = (draft->endpoint_from + i) % previous->endpoint_count;
      const bt_listed_endpoint_t *endpoint = &previous->endpoints[index];

      if (endpoint->revision != revision || strcmp (endpoint->id, id) != 0)
        continue;
      draft->endpoint_from = index + 1;
      return endpoint;
    }
  return NULL;
}

static bool
read_entry (view_draft_t *draft, const bt_kv_pair_t *pair, bt_listed_entry_t *entry)
{
  const bt_listed_entry_t *unchanged = find_unchanged_entry (draft, pair);

  if (unchanged == NULL)
    return decode_entry (pair, entry);
  *entry = *unchanged;
  return true;
}

/* Skips an invalid item. Logs it unless the previous view skipped it at the same revision: other
 * programs may write anything to the store at any rate, and each change creates a view, so the log
 * would be flooded. */
static void
skip_item (view_draft_t *draft, const bt_kv_pair_t *pair, const char *event, const char *message)
{
  bt_view_t *view = draft->view;
  bt_skipped_item_t *item;

  view->skipped = bt_realloc (draft->ctx, view->skipped, (size_t)view->skipped_count + 1,
                              sizeof *view->skipped);
  item = &view->skipped[view->skipped_count++];
  item->key = bt_strdup (draft->ctx, pair->key);
  item->revision = pair->mod_revision;
  if (!was_skipped (draft->previous, pair, &draft->search_from))
    bt_log_event (draft->ctx, BT_LOG_WARNING, event, "{s:s, s:I, s:s}", "key", pair->key,
                  "revision", (json_int_t)pair->mod_revision, "message", message);
}

/* Decodes the configuration of an item, or reuses that of the previous view if it is unchanged or
 * nothing of the new one can be used. */
static void
read_configuration (bt_context_t *ctx,
                    const bt_platform_t *platform,
                    const bt_kv_pair_t *pair,
                    const bt_view_t *previous,
                    bt_view_t *view)
{
  bt_findings_t *findings;

  view->configuration_revision = pair->mod_revision;
  view->configuration = bt_memdup (ctx, pair->value, pair->value_bytes);
  view->configuration_bytes = pair->value_bytes;
  if (previous != NULL && previous->era == view->era
      && previous->configuration_revision == pair->mod_revision)
    {
      view->declarations = bt_keep_declarations (previous->declarations);
      return;
    }
  findings = bt_new_findings (ctx);
  view->declarations =
      platform->vtable->read_declarations (ctx, pair->value, pair->value_bytes, findings);
  bt_report_configuration_findings (ctx, findings, view->declarations == NULL, pair->mod_revision);
  if (view->declarations == NULL)
    view->declarations = previous == NULL ? NULL : bt_keep_declarations (previous->declarations);
  bt_drop_findings (ctx, findings);
}

/* Returns true if the declarations contain the app. An app that is not declared has no callers, so
 * its endpoint must not take the address of an endpoint that has callers. Without declarations,
 * every app is accepted. */
static bool
is_app_declared (const bt_view_t *view, const char *app)
{
  return view->declarations == NULL || bt_find_app (view->declarations, app) >= 0;
}

static void
read_listed_endpoint (view_draft_t *draft, const bt_platform_t *platform, const bt_kv_pair_t *pair)
{
  bt_view_t *view = draft->view;
  bt_listed_endpoint_t *endpoint = &view->endpoints[view->endpoint_count];
  const bt_listed_endpoint_t *unchanged = find_unchanged_endpoint (
      draft, pair->key + strlen (platform->endpoint_prefix), pair->mod_revision);
  bt_error_t error = { 0 };

  if (unchanged != NULL)
    *endpoint = *unchanged;
  if (unchanged == NULL
      && !platform->vtable->read_endpoint (pair->key, pair->value, pair->value_bytes, endpoint,
                                           &error))
    skip_item (draft, pair, "endpoint-unreadable", error.message);
  else if (!is_app_declared (view, endpoint->app))
    skip_item (draft, pair, "endpoint-unreadable",
               "The configuration does not declare its service.");
  else
    {
      endpoint->created_revision = pair->create_revision;
      endpoint->era = view->era;
      endpoint->revision = pair->mod_revision;
      view->endpoint_count++;
    }
}

static void
read_listed_crash (view_draft_t *draft, const bt_kv_pair_t *pair)
{
  bt_view_t *view = draft->view;
  bt_listed_crash_t listed = { .revision = pair->mod_revision };

  if (!bt_read_crash_key (pair->key, &listed.crash))
    {
      skip_item (draft, pair, "crash-unreadable", "Its key does not denote a crash.");
      return;
    }
  bt_read_crash_value (pair->value, pair->value_bytes, &listed.crash);
  view->crashes =
      bt_realloc (draft->ctx, view->crashes, (size_t)view->crash_count + 1, sizeof *view->crashes);
  view->crashes[view->crash_count++] = listed;
}

static void
read_evacuation (view_draft_t *draft, const bt_platform_t *platform, const bt_kv_pair_t *pair)
{
  const char *domain = pair->key + strlen (platform->evacuation_prefix);

  if (!bt_add_evacuation (draft->ctx, &draft->view->evacuations, domain))
    skip_item (draft, pair, "evacuation-unreadable", "Its key does not name a failure domain.");
}

/* Reads an item other than the configuration, which must be read first, because it determines which
 * apps may have endpoints. */
static void
read_item (view_draft_t *draft, const bt_platform_t *platform, const bt_kv_pair_t *pair)
{
  bt_view_t *view = draft->view;

  bt_set_thread_subject (pair->key);
  if (starts_with (pair->key, platform->endpoint_prefix))
    read_listed_endpoint (draft, platform, pair);
  else if (starts_with (pair->key, bt_entry_prefix))
    {
      if (read_entry (draft, pair, &view->entries[view->entry_count]))
        view->entry_count++;
      else
        skip_item (draft, pair, "entry-unreadable", "It does not describe an entry instance.");
    }
  else if (starts_with (pair->key, bt_crash_prefix))
    read_listed_crash (draft, pair);
  else if (bt_is_part_key (pair->key))
    {
      if (!bt_read_listed_part (draft->ctx, pair, &view->parts))
        skip_item (draft, pair, "part-unreadable", "It describes no end and no mark of a part.");
    }
  else if (starts_with (pair->key, platform->evacuation_prefix))
    read_evacuation (draft, platform, pair);
  else if (strcmp (pair->key, bt_leader_key) == 0 && pair->value_bytes < sizeof view->leader)
    memcpy (view->leader, pair->value, pair->value_bytes);
  bt_set_thread_subject (NULL);
}

/* Returns true if one incarnation is earlier than another at the same address. Only one process can
 * listen at an address, so the earlier one has ended. An endpoint that restarts under the same id
 * overwrites its item, which keeps its creation revision. So the start times decide if both are
 * known, and the creation revisions otherwise. */
static bool
is_earlier_incarnation (const bt_listed_endpoint_t *one, const bt_listed_endpoint_t *other)
{
  if (one->started_ms != 0 && other->started_ms != 0 && one->started_ms != other->started_ms)
    return one->started_ms < other->started_ms;
  return one->created_revision < other->created_revision;
}

/* Returns true if a later incarnation is listed at the same address. After a power loss, the item
 * of the old process stays until its lease expires, seconds after the next incarnation is listed.
 */
static bool
is_replaced (const bt_view_t *view, const bt_listed_endpoint_t *endpoint)
{
  for (int32_t i = 0; i < view->endpoint_count; i++)
    if (is_earlier_incarnation (endpoint, &view->endpoints[i])
        && strcmp (view->endpoints[i].address, endpoint->address) == 0)
      return true;
  return false;
}

/* Marks the endpoints whose address another one has too. */
static bool *
find_shared_addresses (bt_context_t *ctx, const bt_view_t *view)
{
  bt_name_index_t *index = bt_new_name_index (ctx);
  bool *shared = bt_calloc (ctx, (size_t)view->endpoint_count + 1, sizeof *shared);

  for (int32_t i = 0; i < view->endpoint_count; i++)
    {
      const char *address = view->endpoints[i].address;
      const bt_listed_endpoint_t *other = bt_find_name (index, address);

      if (other == NULL)
        bt_put_name (index, address, &view->endpoints[i]);
      else
        shared[i] = shared[other - view->endpoints] = true;
    }
  bt_drop_name_index (ctx, index);
  return shared;
}

/* Keeps the order of the endpoints, in which the next view looks them up. */
static void
drop_replaced (bt_context_t *ctx, bt_view_t *view)
{
  bool *shared = find_shared_addresses (ctx, view);

  for (int32_t i = view->endpoint_count - 1; i >= 0; i--)
    if (shared[i] && is_replaced (view, &view->endpoints[i]))
      {
        view->endpoint_count--;
        memmove (&view->endpoints[i], &view->endpoints[i + 1],
                 (size_t)(view->endpoint_count - i) * sizeof *view->endpoints);
      }
  bt_free (ctx, shared);
}

bt_view_t *
bt_new_view (bt_context_t *ctx,
             const bt_platform_t *platform,
             const bt_kv_range_t *range,
             int64_t read_ms,
             const bt_view_t *previous)
{
  bt_view_t *view = bt_calloc (ctx, 1, sizeof *view);
  /* Revisions are assigned again in another era, so equal ones do not mean unchanged items. */
  bool same_era = previous != NULL && previous->era == range->era;
  view_draft_t draft = { .ctx = ctx, .view = view, .previous = same_era ? previous : NULL };

  view->era = range->era;
  view->revision = range->revision;
  view->read_ms = read_ms;
  view->endpoints = bt_calloc (ctx, (size_t)range->count, sizeof *view->endpoints);
  view->entries = bt_calloc (ctx, (size_t)range->count, sizeof *view->entries);
  for (int32_t i = 0; i < range->count; i++)
    if (strcmp (range->pairs[i].key, platform->configuration_key) == 0)
      {
        bt_set_thread_subject (platform->configuration_key);
        read_configuration (ctx, platform, &range->pairs[i], previous, view);
        bt_set_thread_subject (NULL);
      }
  for (int32_t i = 0; i < range->count; i++)
    read_item (&draft, platform, &range->pairs[i]);
  drop_replaced (ctx, view);
  return view;
}

bt_view_t *
bt_copy_view_summary (bt_context_t *ctx, const bt_view_t *view)
{
  bt_view_t *copy = bt_calloc (ctx, 1, sizeof *copy);

  copy->era = view->era;
  copy->revision = view->revision;
  copy->configuration_revision = view->configuration_revision;
  copy->declarations = bt_keep_declarations (view->declarations);
  copy->endpoint_count = view->endpoint_count;
  copy->endpoints =
      bt_memdup (ctx, view->endpoints, (size_t)view->endpoint_count * sizeof *view->endpoints);
  copy->entry_count = view->entry_count;
  copy->entries = bt_memdup (ctx, view->entries, (size_t)view->entry_count * sizeof *view->entries);
  copy->skipped_count = view->skipped_count;
  copy->skipped = bt_calloc (ctx, (size_t)view->skipped_count, sizeof *copy->skipped);
  for (int32_t i = 0; i < view->skipped_count; i++)
    {
      copy->skipped[i].key = bt_strdup (ctx, view->skipped[i].key);
      copy->skipped[i].revision = view->skipped[i].revision;
    }
  return copy;
}

void
bt_drop_view (bt_context_t *ctx, bt_view_t *view)
{
  if (view == NULL)
    return;
  bt_drop_declarations (ctx, view->declarations);
  bt_free (ctx, view->configuration);
  bt_free (ctx, view->endpoints);
  bt_free (ctx, view->entries);
  bt_free (ctx, view->crashes);
  bt_clear_part_list (ctx, &view->parts);
  bt_clear_evacuations (ctx, &view->evacuations);
  for (int32_t i = 0; i < view->skipped_count; i++)
    bt_free (ctx, view->skipped[i].key);
  bt_free (ctx, view->skipped);
  bt_free (ctx, view);
}
