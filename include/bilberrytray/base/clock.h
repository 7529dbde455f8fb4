#ifndef BILBERRYTRAY_BASE_CLOCK_H
#define BILBERRYTRAY_BASE_CLOCK_H

/** @file
 * The one clock type. All times are monotonic milliseconds in int64_t; a reading has meaning only
 * in the process that took it, unless it is stated whose clock it is.
 */

#include <stdint.h>

typedef struct bt_clock bt_clock_t;

/** What a clock can do. */
typedef struct bt_clock_vtable
{
  int64_t (*now_ms) (bt_clock_t *clock);
} bt_clock_vtable_t;

/** A clock: the vtable is its first member, so a clock of another kind embeds this struct first. */
struct bt_clock
{
  const bt_clock_vtable_t *vtable;
};

/** A clock that tests and benches move by hand. */
typedef struct bt_fake_clock
{
  bt_clock_t base;
  int64_t now_ms;
} bt_fake_clock_t;

/** The machine's monotonic clock. Never NULL, never dropped. */
bt_clock_t *bt_system_clock (void);

/** Prepares a fake clock that reads @p now_ms until it is moved. */
void bt_init_fake_clock (bt_fake_clock_t *clock, int64_t now_ms);

/** Reads a clock, in milliseconds. */
int64_t bt_read_clock_ms (bt_clock_t *clock);

/** Milliseconds since the Unix epoch, for log lines and documents only; no decision uses it. */
int64_t bt_read_wall_ms (void);

/** Monotonic microseconds, for measurements only. */
int64_t bt_read_monotonic_us (void);

/** Sleeps, for loops that look again at fixed times; no decision waits on it. */
void bt_sleep_ms (int64_t wait_ms);

#endif
