#include "bilberrytray/base/condition.h"

#include <time.h>

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  NS_PER_S = 1000000000,
};

void
bt_init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

void
bt_wait_condition (pthread_cond_t *condition, pthread_mutex_t *lock, int64_t wait_ms)
{
  struct timespec deadline;

  clock_gettime (CLOCK_MONOTONIC, &deadline);
  deadline.tv_sec += wait_ms / MS_PER_S;
  deadline.tv_nsec += wait_ms % MS_PER_S * NS_PER_MS;
  if (deadline.tv_nsec >= NS_PER_S)
    {
      deadline.tv_sec++;
      deadline.tv_nsec -= NS_PER_S;
    }
  pthread_cond_timedwait (condition, lock, &deadline);
}
