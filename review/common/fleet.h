#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

/** @file
 * The project's entry instances as separate processes, started with the command of the deploy file,
 * and runners that registered themselves in the store.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "store.h"

enum
{
  RV_GATEWAYS = 3,
};

typedef struct rv_fleet rv_fleet_t;

/** Opens the record at @p path, behind what run.sh has written there. */
FILE *rv_open_record (const char *path);

/** Writes a line with its time to the record. */
void rv_note (FILE *record, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** Writes the item of a ready runner of a service, as the runner does itself. */
void rv_register_runner (
    rv_store_t *store, const char *id, const char *service, int32_t port, int32_t slots);

/** Chooses the addresses of RV_GATEWAYS entry instances of a store. */
rv_fleet_t *rv_new_fleet (FILE *record, int32_t store_port);

/** Starts all entry instances, and waits for up to @p limit_ms until all say that they are ready.
 * Returns how many do. */
int32_t rv_start_gateways (rv_fleet_t *fleet, int64_t limit_ms);

/** Ends all entry instances by SIGKILL. */
void rv_kill_gateways (rv_fleet_t *fleet);

/** Returns the port at which an entry instance serves clients. */
int32_t rv_get_gateway_port (const rv_fleet_t *fleet, int32_t index);

/** Returns true if all processes that were started still run. */
bool rv_are_gateways_alive (rv_fleet_t *fleet);

#endif
