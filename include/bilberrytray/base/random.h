#ifndef BILBERRYTRAY_BASE_RANDOM_H
#define BILBERRYTRAY_BASE_RANDOM_H

/** @file
 * A seeded pseudo-random generator for decisions, tests and benches, and a cryptographically secure
 * one for keys and identities.
 */

#include <stddef.h>
#include <stdint.h>

/** State of the seeded generator. The same seed gives the same numbers on every machine. */
typedef struct bt_random
{
  uint64_t state;
} bt_random_t;

void bt_seed_random (bt_random_t *random, uint64_t seed);

uint64_t bt_next_random (bt_random_t *random);

/** Returns a number in [0, @p bound). @p bound must be above 0. */
uint64_t bt_random_below (bt_random_t *random, uint64_t bound);

/** Returns a number in [0, 1). */
double bt_random_unit (bt_random_t *random);

/** Fills @p data with secure random bytes, for incarnations, nonces and secrets. */
void bt_fill_secure_random (void *data, size_t bytes);

#endif
