#ifndef STANDIN_HOP_H
#define STANDIN_HOP_H

/** @file
 * Commands to a hop, a TCP proxy that injects faults. A command is a UDP datagram to the hop's
 * port. The hop sends it back once it is in force.
 */

#include <stdint.h>

/** What a hop does to the connections that it forwards. "Once" affects the connections that are
 * open at the time; the others last until the next command. */
typedef enum bt_hop_fault
{
  BT_HOP_NONE = 0,
  BT_HOP_RESET,           /**< Once: resets the open connections; new ones work. */
  BT_HOP_STALL,           /**< Once: stops forwarding on the open connections, which stay open. */
  BT_HOP_REFUSE,          /**< Resets all connections, also new ones. */
  BT_HOP_CUT,             /**< Forwards nothing; new connections are accepted. */
  BT_HOP_CUT_FROM_TARGET, /**< Forwards nothing from the target to the client. */
  BT_HOP_DELAY,           /**< Forwards bytes with a delay. */
  BT_HOP_FAULTS,
} bt_hop_fault_t;

typedef struct bt_hop_command
{
  int32_t fault;    /**< bt_hop_fault_t */
  int32_t delay_ms; /**< For BT_HOP_DELAY. */
} bt_hop_command_t;

#endif
