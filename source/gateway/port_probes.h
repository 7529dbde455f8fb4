#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PORT_PROBES_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PORT_PROBES_H

/** @file
 * Checks whether a process listens at an endpoint's address, by a connection on which nothing is
 * sent. A refused connection shows at once that the process has ended; the list of endpoints shows
 * it only when the registration lapses or the next incarnation is listed.
 */

#include "bilberrytray/core/identity.h"
#include "event_loop.h"

typedef struct bt_port_probes bt_port_probes_t;

/** Handles refused connections. */
typedef struct bt_port_probes_handler
{
  void (*on_refused) (struct bt_port_probes_handler *handler, const bt_identity_t *endpoint);
} bt_port_probes_handler_t;

bt_port_probes_t *
bt_new_port_probes (bt_context_t *ctx, bt_event_loop_t *loop, bt_port_probes_handler_t *handler);

/** NULL is accepted. */
void bt_drop_port_probes (bt_context_t *ctx, bt_port_probes_t *probes);

/** Probes "IP:PORT" after a short delay. Does nothing when the same incarnation is being
 * probed, too many probes are in progress, or the address is not valid. */
void bt_probe_port (bt_port_probes_t *probes, const char *address, const bt_identity_t *endpoint);

#endif
