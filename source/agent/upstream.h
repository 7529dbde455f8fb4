#ifndef BILBERRYTRAY_SOURCE_AGENT_UPSTREAM_H
#define BILBERRYTRAY_SOURCE_AGENT_UPSTREAM_H

/** @file
 * Calls to the one endpoint beside the agent: a model engine or a plain service, over HTTP.
 *
 * A model engine's answer is passed on in whole server-sent events. When its stream goes silent or
 * is cut, the same run is resumed on a fresh connection behind the last whole event; the run itself
 * is never started again here.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/config/rule.h"

typedef struct bt_upstream bt_upstream_t;
typedef struct bt_upstream_handler bt_upstream_handler_t;
typedef struct bt_upstream_run bt_upstream_run_t;

/** How a run ended at the endpoint. */
typedef enum bt_upstream_result
{
  BT_UPSTREAM_COMPLETE = 0, /**< The whole answer was passed on. */
  BT_UPSTREAM_NOT_SENT,     /**< No connection was made: it certainly did not run. */
  BT_UPSTREAM_FAILED,       /**< It broke off or was malformed: it may have run. */
  BT_UPSTREAM_SILENT,       /**< Nothing came for the idle limit, and resuming did not help. */
  BT_UPSTREAM_CANCELLED,    /**< Cancelled by the agent. */
} bt_upstream_result_t;

/** What the endpoint reports of its load. */
typedef struct bt_upstream_load
{
  int32_t running;
  int32_t queued;
  int32_t capacity;
  int32_t step_us;
  int64_t read_ms; /**< When it was read, in the agent's clock; 0: never. */
} bt_upstream_load_t;

/** Called on the upstream's thread, without any lock of it held. */
typedef struct bt_upstream_handler_vtable
{
  void (*on_head) (bt_upstream_handler_t *handler,
                   uint64_t run,
                   int32_t status,
                   const char *content_type);
  void (*on_piece) (bt_upstream_handler_t *handler, uint64_t run, const void *data, size_t bytes);
  void (*on_end) (bt_upstream_handler_t *handler, uint64_t run, bt_upstream_result_t result);
  void (*on_load) (bt_upstream_handler_t *handler, const bt_upstream_load_t *load);
} bt_upstream_handler_vtable_t;

struct bt_upstream_handler
{
  const bt_upstream_handler_vtable_t *vtable;
};

typedef struct bt_upstream_options
{
  const char *url; /**< "http://IP:PORT" without a closing slash. */
  bool is_model;   /**< A model engine; else a plain service. */
  int64_t connect_ms;
  int64_t idle_ms;     /**< Without a byte, a stream is silent. */
  int32_t max_resumes; /**< Further connections for one run at most. */
  int64_t load_ms;     /**< Between two load reports. */
  bt_upstream_handler_t *handler;
} bt_upstream_options_t;

/** One run. Everything is copied. */
typedef struct bt_upstream_request
{
  uint64_t run;       /**< Names the run in the calls above. */
  const char *run_id; /**< Names it to the endpoint, in the header Bilberry-Run. */
  const char *method;
  const char *path;
  const bt_header_t *headers;
  int32_t header_count;
  const void *body;
  size_t body_bytes;
  int32_t priority;
} bt_upstream_request_t;

bt_upstream_t *
bt_new_upstream (bt_context_t *ctx, const bt_upstream_options_t *options, bt_error_t *error);

/** Ends the thread; runs under way end without a further call. NULL is accepted. */
void bt_drop_upstream (bt_context_t *ctx, bt_upstream_t *upstream);

/** Copies a request, so that it may wait for a slot and be started later. */
bt_upstream_run_t *bt_new_upstream_run (bt_context_t *ctx,
                                        bt_upstream_t *upstream,
                                        const bt_upstream_request_t *request);

/** Frees a run that was not started. NULL is accepted. */
void bt_drop_upstream_run (bt_context_t *ctx, bt_upstream_run_t *run);

/** Starts a run and owns it from now on, from any thread. False, and the run is still the caller's,
 * when too many wait to be started. */
bool bt_start_upstream_run (bt_context_t *ctx, bt_upstream_t *upstream, bt_upstream_run_t *run);

/** Cancels a run, from any thread; on_end follows unless it has ended already. */
void bt_cancel_upstream_run (bt_context_t *ctx, bt_upstream_t *upstream, uint64_t run);

/** Cancels what a model engine still runs from before this agent's start, and waits for the answer.
 * A plain service has nothing to list, so nothing is done for it. */
bool bt_cancel_orphaned_runs (bt_context_t *ctx,
                              const bt_upstream_options_t *options,
                              int32_t *cancelled,
                              bt_error_t *error);

#endif
