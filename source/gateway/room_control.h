#ifndef BILBERRYTRAY_SOURCE_GATEWAY_ROOM_CONTROL_H
#define BILBERRYTRAY_SOURCE_GATEWAY_ROOM_CONTROL_H

/** @file
 * Reservations: sends the asker's frames to the agents beside the engines, and passes on what comes
 * back. Used on the event loop's thread only. All functions accept NULL, which means that there are
 * no reservations.
 */

#include "agent_links.h"
#include "bilberrytray/gateway/reservations.h"
#include "endpoint_table.h"

typedef struct bt_room_control bt_room_control_t;

/** Sends requests for the control: embed it and set on_send. */
typedef struct bt_room_handler
{
  /** Sends a queued request to an endpoint, by the grant @p room_id, or by the estimate if that is
   * 0. Returns false if it can't be sent any more. */
  bool (*on_send) (struct bt_room_handler *handler,
                   uint64_t request,
                   const bt_identity_t *endpoint,
                   uint64_t room_id);
} bt_room_handler_t;

typedef struct bt_room_control_options
{
  bt_reservations_t reservations;
  bt_router_t *router;
  bt_admission_t *admission;
  bt_endpoint_table_t *endpoints;
  bt_agent_links_t *agents;
  bt_room_handler_t *handler;
  uint64_t seed;
} bt_room_control_options_t;

bt_room_control_t *bt_new_room_control (bt_context_t *ctx,
                                        bt_event_loop_t *loop,
                                        const bt_room_control_options_t *options);
void bt_drop_room_control (bt_context_t *ctx, bt_room_control_t *control);

/** Returns true if capacity of an app is to be reserved, whether or not its agents answer. */
bool bt_reserves_app (const bt_room_control_t *control,
                      const bt_declarations_t *declarations,
                      int32_t app);

/** Sets the apps and the engines for which capacity is asked for by a view. */
void bt_set_room_view (bt_room_control_t *control,
                       const bt_view_t *view,
                       const bt_endpoint_selection_t *selection);

/** Returns true if queued requests of an app are to be added with bt_queue_room_request. */
bool bt_has_room_app (const bt_room_control_t *control, const char *app);

/** Adds a request that admission has queued. */
void bt_queue_room_request (bt_room_control_t *control, const bt_room_request_t *request);

/** Removes a request that is no longer queued. Does nothing if it was not added. */
void bt_forget_room_request (bt_room_control_t *control, uint64_t request);

/** Records that a request was sent without a grant. Returns the number by which its end is
 * reported; 0 if none is needed. */
uint64_t bt_start_unasked (bt_room_control_t *control, const bt_identity_t *endpoint);

/** Records the end of an attempt that was sent under a number; 0 is ignored. */
void bt_end_room_use (bt_room_control_t *control, uint64_t room_id);

/** Handles what the agents have sent, sends requests for which there is a grant, and sends the
 * frames that are due. To be called once in each iteration of the loop. */
void bt_run_room_control (bt_room_control_t *control);

#endif
