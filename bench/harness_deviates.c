#include "harness_deviates.h"

#include <math.h>

static const double two_pi = 6.283185307179586;

double
bt_draw_normal (bt_random_t *random)
{
  double radius = sqrt (-2.0 * log (1.0 - bt_random_unit (random)));

  return radius * cos (two_pi * bt_random_unit (random));
}

double
bt_draw_count (bt_random_t *random, double mean)
{
  double count = mean + sqrt (mean) * bt_draw_normal (random);

  return count > 0 ? count : 0;
}
