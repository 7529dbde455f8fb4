#ifndef BILBERRYTRAY_BASE_CONDITION_H
#define BILBERRYTRAY_BASE_CONDITION_H

/** @file
 * Condition variables that wait on the monotonic clock, so that a change of the wall clock neither
 * lengthens nor shortens a wait.
 */

#include <pthread.h>
#include <stdint.h>

/** Initialises a condition variable for bt_wait_condition. */
void bt_init_condition (pthread_cond_t *condition);

/** Waits for a signal for at most @p wait_ms. The caller holds @p lock. May wake up spuriously. */
void bt_wait_condition (pthread_cond_t *condition, pthread_mutex_t *lock, int64_t wait_ms);

#endif
