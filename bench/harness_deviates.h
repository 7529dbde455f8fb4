#ifndef BILBERRYTRAY_BENCH_HARNESS_DEVIATES_H
#define BILBERRYTRAY_BENCH_HARNESS_DEVIATES_H

/** @file
 * Random deviates that the benches draw beside uniform ones.
 */

#include "bilberrytray/base/random.h"

/** A normal deviate. */
double bt_draw_normal (bt_random_t *random);

/** A count whose mean is @p mean, by the normal approximation; never below 0. */
double bt_draw_count (bt_random_t *random, double mean);

#endif
