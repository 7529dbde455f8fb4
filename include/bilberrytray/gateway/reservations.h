#ifndef BILBERRYTRAY_GATEWAY_RESERVATIONS_H
#define BILBERRYTRAY_GATEWAY_RESERVATIONS_H

/** @file
 * The setting that says for which apps a gateway reserves capacity at the agents beside engines.
 */

#include <stdbool.h>

typedef enum bt_reservations
{
  BT_RESERVATIONS_CONTENDED = 0, /**< Models whose rules name different priorities. */
  BT_RESERVATIONS_ALWAYS,        /**< All models. */
  BT_RESERVATIONS_NEVER,
} bt_reservations_t;

/** Reads "contended", "always" or "never"; false when it is none of them. */
bool bt_parse_reservations (const char *text, bt_reservations_t *reservations);

#endif
