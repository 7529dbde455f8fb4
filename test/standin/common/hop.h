#ifndef STANDIN_HOP_H
#define STANDIN_HOP_H

/** @file
 * What a hop is told by a datagram to its port, and gives back once it is in force.
 */

#include <stdint.h>

/** What a hop does to what it carries. */
typedef enum bt_hop_fault
{
  BT_HOP_NONE = 0,
  BT_HOP_RESET,    /**< Once: resets the connections it carries now; new ones work. */
  BT_HOP_SILENCE,  /**< Once: forgets the connections it carries now, which stay open. */
  BT_HOP_REFUSE,   /**< Until changed: resets all, new ones too. */
  BT_HOP_CUT,      /**< Until changed: nothing passes; new connections are accepted and silent. */
  BT_HOP_CUT_BACK, /**< Until changed: nothing passes from the target back. */
  BT_HOP_DELAY,    /**< Until changed: bytes pass late. */
  BT_HOP_FAULTS,
} bt_hop_fault_t;

typedef struct bt_hop_command
{
  int32_t fault; /**< bt_hop_fault_t */
  int32_t delay_ms;
} bt_hop_command_t;

#endif
