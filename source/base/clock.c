#include "bilberrytray/base/clock.h"

#include <time.h>

enum
{
  MS_PER_S = 1000,
  US_PER_S = 1000000,
  NS_PER_MS = 1000000,
  NS_PER_US = 1000,
};

static int64_t
read_system_ms (bt_clock_t *clock)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static int64_t
read_fake_ms (bt_clock_t *clock)
{
  return ((bt_fake_clock_t *)clock)->now_ms;
}

static const bt_clock_vtable_t system_vtable = { read_system_ms };
static const bt_clock_vtable_t fake_vtable = { read_fake_ms };

bt_clock_t *
bt_system_clock (void)
{
  static bt_clock_t clock = { &system_vtable };

  return &clock;
}

void
bt_init_fake_clock (bt_fake_clock_t *clock, int64_t now_ms)
{
  clock->base.vtable = &fake_vtable;
  clock->now_ms = now_ms;
}

int64_t
bt_read_clock_ms (bt_clock_t *clock)
{
  return clock->vtable->now_ms (clock);
}

int64_t
bt_read_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t
bt_read_monotonic_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

void
bt_sleep_ms (int64_t wait_ms)
{
  struct timespec pause = { wait_ms / MS_PER_S, wait_ms % MS_PER_S * NS_PER_MS };

  nanosleep (&pause, NULL);
}
