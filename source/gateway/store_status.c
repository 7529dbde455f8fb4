#include "store_status.h"

#include "bilberrytray/base/event_log.h"

enum
{
  /* Maximum number of retained items in a status. */
  MAX_PRINTED_ITEMS = 32,
};

void
bt_open_store_status (bt_context_t *ctx, bt_store_status_t *status)
{
  status->era = bt_find_counter (
      ctx, BT_GAUGE, "bilberry_store_era",
      "Era of the store; a new one begins when it is restored from a backup.", NULL, NULL);
  status->restores = bt_find_counter (ctx, BT_COUNTER, "bilberry_store_restores_total",
                                      "Restorations of the store that were noticed.", NULL, NULL);
  status->retained = bt_find_counter (
      ctx, BT_GAUGE, "bilberry_store_retained_items",
      "Items in force that differ from what the restored store shows.", NULL, NULL);
}

void
bt_record_old_store_read (bt_context_t *ctx,
                          bt_store_status_t *status,
                          const bt_kv_range_t *range,
                          bt_kv_position_t known)
{
  if (range->revision == status->old_revision)
    return;
  status->old_revision = range->revision;
  bt_log_event (ctx, BT_LOG_WARNING, "store-read-old", "{s:I, s:I, s:I, s:I}", "era",
                (json_int_t)range->era, "revision", (json_int_t)range->revision, "known_era",
                (json_int_t)known.era, "known", (json_int_t)known.revision);
}

void
bt_record_store_position (bt_context_t *ctx,
                          bt_store_status_t *status,
                          bt_store_copy_t *copy,
                          bt_kv_position_t before)
{
  bt_kv_position_t now = bt_get_copy_position (copy);

  status->old_revision = 0;
  bt_set_gauge (status->era, now.era);
  if (before.revision == 0 || now.era == before.era)
    return;
  bt_log_event (ctx, BT_LOG_WARNING, "store-restored", "{s:I, s:I, s:I, s:I, s:i}", "era",
                (json_int_t)now.era, "revision", (json_int_t)now.revision, "known_era",
                (json_int_t)before.era, "known", (json_int_t)before.revision, "retained",
                bt_count_retained_items (copy));
  bt_add_counter (status->restores, 1);
}

void
bt_record_store_retention (bt_store_status_t *status, bt_store_copy_t *copy)
{
  bt_set_gauge (status->retained, bt_count_retained_items (copy));
}

static void
print_retained (void *data, const bt_kv_range_t *items, const bt_retention_t *retained)
{
  FILE *out = data;

  (void)items;
  for (int32_t i = 0; i < retained->count && i < MAX_PRINTED_ITEMS; i++)
    fprintf (out, "%s %s, other than the restored store shows\n",
             retained->items[i].removal ? "without" : "with", retained->items[i].pair.key);
  if (retained->count > MAX_PRINTED_ITEMS)
    fprintf (out, "and %d more items\n", (int)retained->count - MAX_PRINTED_ITEMS);
}

void
bt_print_store_status (bt_store_copy_t *copy, FILE *out)
{
  bt_kv_position_t position = bt_get_copy_position (copy);

  fprintf (out, "store: era %lld, revision %lld\n", (long long)position.era,
           (long long)position.revision);
  bt_visit_shown_items (copy, print_retained, out);
}
