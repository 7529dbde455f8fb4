#ifndef BILBERRYTRAY_BASE_CONDITION_H
#define BILBERRYTRAY_BASE_CONDITION_H

/** @file
 * Condition variables that wait by the monotonic clock, so that a jump of the time of day neither
 * stretches a wait nor cuts it.
 */

#include <pthread.h>
#include <stdint.h>

/** Initialises a condition variable for bt_wait_condition. */
void bt_init_condition (pthread_cond_t *condition);

/** Waits for a signal, @p wait_ms at most; @p lock is held. May return early. */
void bt_wait_condition (pthread_cond_t *condition, pthread_mutex_t *lock, int64_t wait_ms);

#endif
