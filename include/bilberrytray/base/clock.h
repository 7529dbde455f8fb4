#ifndef BILBERRYTRAY_BASE_CLOCK_H
#define BILBERRYTRAY_BASE_CLOCK_H

/** @file
 * The clock interface. All times are monotonic milliseconds in int64_t. A reading is only valid in
 * the process that took it, unless the clock that it belongs to is stated.
 */

#include <stdint.h>

typedef struct bt_clock bt_clock_t;

/** Operations of a clock. */
typedef struct bt_clock_vtable
{
  int64_t (*now_ms) (bt_clock_t *clock);
} bt_clock_vtable_t;

/** Base of every clock. An implementation embeds this struct as its first member. */
struct bt_clock
{
  const bt_clock_vtable_t *vtable;
};

/** A clock that tests and benches set explicitly. */
typedef struct bt_fake_clock
{
  bt_clock_t base;
  int64_t now_ms;
} bt_fake_clock_t;

/** Returns the machine's monotonic clock. Never NULL; it is never freed. */
bt_clock_t *bt_system_clock (void);

/** Initialises a fake clock that reads @p now_ms until its now_ms is changed. */
void bt_init_fake_clock (bt_fake_clock_t *clock, int64_t now_ms);

/** Returns the current time of @p clock in milliseconds. */
int64_t bt_read_clock_ms (bt_clock_t *clock);

/** Returns the milliseconds since the Unix epoch. For log lines and documents only; decisions use
 * the monotonic clock. */
int64_t bt_read_wall_ms (void);

/** Returns monotonic microseconds, for measurements only. */
int64_t bt_read_monotonic_us (void);

/** Sleeps for @p wait_ms. For polling loops only; no decision depends on it. */
void bt_sleep_ms (int64_t wait_ms);

#endif
