#ifndef BILBERRYTRAY_SOURCE_REQUESTS_PART_TABLE_PRIVATE_H
#define BILBERRYTRAY_SOURCE_REQUESTS_PART_TABLE_PRIVATE_H

/** @file
 * The state of a part table. Included only by its source files: part_reports.c has the
 * ends that this instance sees, part_list.c the list that all share, part_judgement.c the decision,
 * part_table.c the rest.
 */

#include "part_index.h"
#include "part_recent.h"
#include "part_suspects.h"

struct bt_part_table
{
  bt_part_options_t options;
  int64_t keep_ms;   /* with the random extension of this instance */
  int64_t offset_ms; /* from the clock of the arguments to Unix time */
  bt_part_end_row_t *ends;
  int32_t end_count;
  bt_part_mark_row_t *marks; /* sorted by part */
  int32_t mark_count;
  bt_part_index_t index;
  int64_t version; /* of the index */
  bt_part_suspects_t suspects;
  bt_recent_parts_t recent;  /* answered while some end was known */
  bt_part_update_t *updates; /* queue for the shared list */
  int32_t update_count;
  int32_t update_capacity;
  int32_t updates_taken;
};

/** Builds the index anew after a change of the ends or marks. */
void bt_rebuild_part_index (bt_context_t *ctx, bt_part_table_t *table);

/** Adds a report, of which it copies the parts. When the table is full, the report that is least
 * sure is dropped. Invalidates pointers to other reports. */
bt_part_end_row_t *
bt_add_part_end_row (bt_context_t *ctx, bt_part_table_t *table, const bt_part_end_t *end);

void bt_remove_part_end_row (bt_context_t *ctx, bt_part_table_t *table, int32_t index);

void bt_remove_part_mark_row (bt_part_table_t *table, int32_t index);

/** Finds an instance's report of the end of an incarnation; NULL when there is none. */
bt_part_end_row_t *bt_find_part_end_row (const bt_part_table_t *table,
                                         const bt_identity_t *endpoint,
                                         const char *reporter);

/** Queues an update of the shared list. */
void bt_queue_part_end (bt_context_t *ctx,
                        bt_part_table_t *table,
                        bt_part_update_kind_t kind,
                        const bt_part_end_t *end);
void bt_queue_part_mark (bt_context_t *ctx,
                         bt_part_table_t *table,
                         bt_part_update_kind_t kind,
                         const bt_part_mark_t *mark);

#endif
