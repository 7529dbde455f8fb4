#ifndef BILBERRYTRAY_BENCH_HARNESS_KEPT_H
#define BILBERRYTRAY_BENCH_HARNESS_KEPT_H

/** @file
 * Things that a process keeps, made in a given number, to measure what one of them costs.
 */

#include "bilberrytray/base/context.h"

enum
{
  BT_KEPT_COUNT = 6,
};

typedef struct bt_kept_case
{
  const char *what;
  /** Makes a table with @p count of them. */
  void *(*make) (bt_context_t *ctx, int32_t count);
  void (*drop) (bt_context_t *ctx, void *made);
} bt_kept_case_t;

extern const bt_kept_case_t bt_kept_cases[BT_KEPT_COUNT];

#endif
