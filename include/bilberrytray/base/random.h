#ifndef BILBERRYTRAY_BASE_RANDOM_H
#define BILBERRYTRAY_BASE_RANDOM_H

/** @file
 * A seeded generator for decisions, tests and benches, and the system's for keys and identities.
 */

#include <stddef.h>
#include <stdint.h>

/** State of a seeded generator; the same seed gives the same numbers on every machine. */
typedef struct bt_random
{
  uint64_t state;
} bt_random_t;

void bt_seed_random (bt_random_t *random, uint64_t seed);

uint64_t bt_next_random (bt_random_t *random);

/** A number from 0 up to but without @p bound, which is above 0. */
uint64_t bt_random_below (bt_random_t *random, uint64_t bound);

/** A number from 0 up to but without 1. */
double bt_random_unit (bt_random_t *random);

/** Fills @p data from the system's source, for incarnations, nonces and secrets. */
void bt_fill_secure_random (void *data, size_t bytes);

#endif
