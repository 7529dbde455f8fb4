#include "view.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"

enum
{
  HEX_BYTES = 17,
  HEX_BASE = 16,
};

static const char *const entry_prefix = "bilberrytray/entries/";
static const char *const leader_key = "bilberrytray/maps/groups/controller";

void
bt_write_entry_key (char key[2 * BT_NAME_BYTES], const char *instance)
{
  snprintf (key, (size_t)2 * BT_NAME_BYTES, "%s%s", entry_prefix, instance);
}

char *
bt_write_listed_entry (bt_context_t *ctx, const bt_listed_entry_t *entry)
{
  char incarnation[HEX_BYTES];
  json_t *object;
  char *text;
  char *copy;

  snprintf (incarnation, sizeof incarnation, "%016" PRIx64, entry->identity.incarnation);
  object = json_pack ("{s:s, s:s, s:s, s:s}", "incarnation", incarnation, "callers", entry->callers,
                      "links", entry->links, "failure_domain", entry->failure_domain);
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

static void
copy_field (char *target, size_t room, const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  snprintf (target, room, "%s", text == NULL ? "" : text);
}

static bool
read_entry (const bt_kv_pair_t *pair, bt_listed_entry_t *entry)
{
  json_t *object = json_loadb (pair->value, pair->value_bytes, 0, NULL);
  char incarnation[HEX_BYTES];

  if (object == NULL)
    return false;
  memset (entry, 0, sizeof *entry);
  bt_copy_name (entry->identity.instance, pair->key + strlen (entry_prefix));
  copy_field (incarnation, sizeof incarnation, object, "incarnation");
  entry->identity.incarnation = strtoull (incarnation, NULL, HEX_BASE);
  copy_field (entry->callers, sizeof entry->callers, object, "callers");
  copy_field (entry->links, sizeof entry->links, object, "links");
  copy_field (entry->failure_domain, sizeof entry->failure_domain, object, "failure_domain");
  json_decref (object);
  return true;
}

static void
tell_findings (bt_context_t *ctx, const bt_findings_t *findings, int64_t revision)
{
  for (int32_t i = 0; i < bt_count_findings (findings); i++)
    {
      const bt_finding_t *finding = bt_get_finding (findings, i);

      bt_log_event (ctx, BT_LOG_ERROR, "configuration-rejected", "{s:I, s:s, s:s, s:s}", "revision",
                    (json_int_t)revision, "file", finding->file, "path", finding->path, "message",
                    finding->message);
    }
}

/* Takes the configuration of an item, or that of the view before. */
static void
read_configuration (bt_context_t *ctx,
                    const bt_platform_t *platform,
                    const bt_kv_pair_t *pair,
                    const bt_view_t *before,
                    bt_view_t *view)
{
  bt_findings_t *findings;

  view->configuration_revision = pair->mod_revision;
  view->configuration = bt_memdup (ctx, pair->value, pair->value_bytes);
  view->configuration_bytes = pair->value_bytes;
  if (before != NULL && before->configuration_revision == pair->mod_revision)
    {
      view->declarations = bt_keep_declarations (before->declarations);
      return;
    }
  findings = bt_new_findings (ctx);
  view->declarations =
      platform->vtable->read_declarations (ctx, pair->value, pair->value_bytes, findings);
  if (view->declarations == NULL)
    {
      tell_findings (ctx, findings, pair->mod_revision);
      view->declarations = before == NULL ? NULL : bt_keep_declarations (before->declarations);
    }
  bt_drop_findings (ctx, findings);
}

static void
read_listed_endpoint (bt_context_t *ctx,
                      const bt_platform_t *platform,
                      const bt_kv_pair_t *pair,
                      bt_view_t *view)
{
  bt_error_t error = { 0 };

  bt_listed_endpoint_t *endpoint = &view->endpoints[view->endpoint_count];

  if (platform->vtable->read_endpoint (pair->key, pair->value, pair->value_bytes, endpoint, &error))
    {
      endpoint->created_revision = pair->create_revision;
      view->endpoint_count++;
    }
  else
    bt_log_event (ctx, BT_LOG_WARNING, "endpoint-unreadable", "{s:s, s:s}", "key", pair->key,
                  "message", error.message);
}

/* One process listens at an address, so of two starts there the earlier one has ended. An entry
 * that is written again by a later start of its id keeps its place in the store: where both say
 * when they started, that decides, and else which entry was made first. */
static bool
is_earlier_start (const bt_listed_endpoint_t *one, const bt_listed_endpoint_t *other)
{
  if (one->started_ms != 0 && other->started_ms != 0 && one->started_ms != other->started_ms)
    return one->started_ms < other->started_ms;
  return one->created_revision < other->created_revision;
}

/* The entry of a process that lost power stays until it lapses, seconds after the next start at its
 * address was listed. */
static bool
is_replaced (const bt_view_t *view, const bt_listed_endpoint_t *endpoint)
{
  for (int32_t i = 0; i < view->endpoint_count; i++)
    if (is_earlier_start (endpoint, &view->endpoints[i])
        && strcmp (view->endpoints[i].address, endpoint->address) == 0)
      return true;
  return false;
}

static void
drop_replaced (bt_view_t *view)
{
  for (int32_t i = view->endpoint_count - 1; i >= 0; i--)
    if (is_replaced (view, &view->endpoints[i]))
      view->endpoints[i] = view->endpoints[--view->endpoint_count];
}

bt_view_t *
bt_new_view (bt_context_t *ctx,
             const bt_platform_t *platform,
             const bt_kv_range_t *range,
             int64_t read_ms,
             const bt_view_t *before)
{
  bt_view_t *view = bt_calloc (ctx, 1, sizeof *view);

  view->revision = range->revision;
  view->read_ms = read_ms;
  view->endpoints = bt_calloc (ctx, (size_t)range->count, sizeof *view->endpoints);
  view->entries = bt_calloc (ctx, (size_t)range->count, sizeof *view->entries);
  for (int32_t i = 0; i < range->count; i++)
    {
      const bt_kv_pair_t *pair = &range->pairs[i];

      if (strcmp (pair->key, platform->configuration_key) == 0)
        read_configuration (ctx, platform, pair, before, view);
      else if (starts_with (pair->key, platform->endpoint_prefix))
        read_listed_endpoint (ctx, platform, pair, view);
      else if (starts_with (pair->key, entry_prefix)
               && read_entry (pair, &view->entries[view->entry_count]))
        view->entry_count++;
      else if (strcmp (pair->key, leader_key) == 0)
        bt_copy_name (view->leader, pair->value);
    }
  drop_replaced (view);
  return view;
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
  bt_free (ctx, view);
}
