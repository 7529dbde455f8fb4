#ifndef BILBERRYTRAY_BENCH_HARNESS_MEMORY_H
#define BILBERRYTRAY_BENCH_HARNESS_MEMORY_H

/** @file
 * Objects that a process holds in memory, made in a given number, to measure the cost of one.
 */

#include "bilberrytray/base/context.h"

enum
{
  BT_MEMORY_CASE_COUNT = 6,
};

typedef struct bt_memory_case
{
  const char *name;
  /** Makes an object that holds @p count items of this kind. */
  void *(*make) (bt_context_t *ctx, int32_t count);
  void (*drop) (bt_context_t *ctx, void *object);
} bt_memory_case_t;

extern const bt_memory_case_t bt_memory_cases[BT_MEMORY_CASE_COUNT];

#endif
