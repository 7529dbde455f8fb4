#include "bilberrytray/base/random.h"

#include <sodium.h>

enum
{
  UNIT_BITS = 53,
  WORD_BITS = 64,
};

void
bt_seed_random (bt_random_t *random, uint64_t seed)
{
  random->state = seed;
}

uint64_t
bt_next_random (bt_random_t *random)
{
  uint64_t mixed;

  random->state += 0x9e3779b97f4a7c15U;
  mixed = random->state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31);
}

uint64_t
bt_random_below (bt_random_t *random, uint64_t bound)
{
  return bt_next_random (random) % bound;
}

double
bt_random_unit (bt_random_t *random)
{
  return (double)(bt_next_random (random) >> (WORD_BITS - UNIT_BITS))
         / (double)((uint64_t)1 << UNIT_BITS);
}

void
bt_fill_secure_random (void *data, size_t bytes)
{
  randombytes_buf (data, bytes);
}
