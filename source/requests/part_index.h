#ifndef BILBERRYTRAY_SOURCE_REQUESTS_PART_INDEX_H
#define BILBERRYTRAY_SOURCE_REQUESTS_PART_INDEX_H

/** @file
 * What the reported ends have in common: for each accused part the ends that accuse it. Built when
 * a report changes, which is rare, so that a request is looked up without a scan.
 */

#include "bilberrytray/requests/part_table.h"

/** A report of an end in the table. */
typedef struct bt_part_end_row
{
  bt_part_end_t end;
  int64_t revision;  /**< In the shared list; 0: not seen there yet. */
  bool listed;       /**< Found in the list that is being applied. */
  bool reported;     /**< This instance reported it. */
  bool unpublished;  /**< It has changed since it was published. */
  int64_t moment_ms; /**< The earliest time at which an instance saw this end. */
  bool explained;    /**< A part that is accused more often explains this end. */
} bt_part_end_row_t;

/** A mark in the table. */
typedef struct bt_part_mark_row
{
  bt_part_mark_t mark;
  int64_t revision; /**< In the shared list; 0: not seen there yet. */
  bool listed;      /**< Found in the list that is being applied. */
} bt_part_mark_row_t;

/** The accused parts, sorted. Zero-initialise it; free the rows. */
typedef struct bt_part_index
{
  bt_accused_part_t *rows;
  int32_t count;
  int64_t judged; /**< Requests that were judged by it. */
} bt_part_index_t;

/** Finds the mark of a part in a sorted list; NULL if it has none. */
const bt_part_mark_row_t *
bt_find_part_mark (const bt_part_mark_row_t *marks, int32_t count, const bt_fingerprint_t *part);

/** Builds the index anew. @p marks are sorted by part. A part with @p most_events moments stays
 * accused whatever other parts explain. */
void bt_build_part_index (bt_context_t *ctx,
                          bt_part_index_t *index,
                          bt_part_end_row_t *ends,
                          int32_t end_count,
                          const bt_part_mark_row_t *marks,
                          int32_t mark_count,
                          int32_t most_events);

/** Finds an accused part; NULL if no end accuses it. */
bt_accused_part_t *bt_find_accused_part (const bt_part_index_t *index,
                                         const bt_fingerprint_t *part);

#endif
