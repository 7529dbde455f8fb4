#ifndef BILBERRYTRAY_MAPS_RANK_SET_H
#define BILBERRYTRAY_MAPS_RANK_SET_H

/** @file
 * Sets of ranks of a group, as bit sets in 64-bit words: rank 0 is the lowest bit of the first
 * word. All sets of one group have the same number of words. A bt_rank_set_t refers to words that
 * its creator owns.
 */

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

enum
{
  BT_RANK_WORD_BITS = 64,
  /** Maximum number of ranks in a group. */
  BT_MAX_RANKS = 2048,
  BT_NO_RANK = -1,
};

/** A read-only set; valid as long as its words are. */
typedef struct bt_rank_set
{
  const uint64_t *words;
  int32_t count; /**< Number of words. */
} bt_rank_set_t;

/** The number of words in a set for @p ranks ranks. */
static inline int32_t
bt_count_rank_words (int32_t ranks)
{
  return (ranks + BT_RANK_WORD_BITS - 1) / BT_RANK_WORD_BITS;
}

static inline void
bt_add_rank (uint64_t *words, int32_t rank)
{
  words[rank / BT_RANK_WORD_BITS] |= UINT64_C (1) << (rank % BT_RANK_WORD_BITS);
}

static inline void
bt_remove_rank (uint64_t *words, int32_t rank)
{
  words[rank / BT_RANK_WORD_BITS] &= ~(UINT64_C (1) << (rank % BT_RANK_WORD_BITS));
}

static inline bool
bt_has_rank (bt_rank_set_t set, int32_t rank)
{
  return (set.words[rank / BT_RANK_WORD_BITS] >> (rank % BT_RANK_WORD_BITS) & 1) != 0;
}

static inline int32_t
bt_count_ranks (bt_rank_set_t set)
{
  int32_t ranks = 0;

  for (int32_t i = 0; i < set.count; i++)
    ranks += __builtin_popcountll (set.words[i]);
  return ranks;
}

/** The first rank in a set that is not below @p from; BT_NO_RANK when there is none. */
static inline int32_t
bt_find_rank (bt_rank_set_t set, int32_t from)
{
  int32_t word = from / BT_RANK_WORD_BITS;
  uint64_t left;

  if (word >= set.count)
    return BT_NO_RANK;
  left = set.words[word] & ~UINT64_C (0) << (from % BT_RANK_WORD_BITS);
  while (left == 0 && ++word < set.count)
    left = set.words[word];
  return left == 0 ? BT_NO_RANK : word * BT_RANK_WORD_BITS + __builtin_ctzll (left);
}

/** Compares two sets of the same group. */
static inline bool
bt_are_rank_sets_equal (bt_rank_set_t one, bt_rank_set_t other)
{
  return memcmp (one.words, other.words, (size_t)one.count * sizeof *one.words) == 0;
}

#endif
