#ifndef BILBERRYTRAY_BENCH_HARNESS_DEVIATES_H
#define BILBERRYTRAY_BENCH_HARNESS_DEVIATES_H

/** @file
 * Random draws from distributions other than the uniform one.
 */

#include "bilberrytray/base/random.h"

/** Draws from the standard normal distribution. */
double bt_draw_normal (bt_random_t *random);

/** Draws a count with mean @p mean from the normal approximation of the Poisson distribution; never
 * below 0. */
double bt_draw_count (bt_random_t *random, double mean);

#endif
