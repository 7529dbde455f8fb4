#ifndef BILBERRYTRAY_SOURCE_AGENT_UPSTREAM_H
#define BILBERRYTRAY_SOURCE_AGENT_UPSTREAM_H

/** @file
 * HTTP client for the endpoint beside the agent, which is a model engine or a plain service.
 *
 * A model engine's answer is forwarded in complete server-sent events. When its stream goes silent
 * or is cut off, the same run is resumed on a new connection after the last complete event. A run
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
  BT_UPSTREAM_COMPLETE = 0, /**< The complete answer was forwarded. */
  BT_UPSTREAM_NOT_SENT,     /**< No connection was established, or the request is not valid HTTP, so
                                 the run did not start. */
  BT_UPSTREAM_FAILED,       /**< The answer was cut off or malformed; it may have run. */
  BT_UPSTREAM_SILENT,       /**< No data arrived within the idle limit, and resuming failed. */
  BT_UPSTREAM_CANCELLED,    /**< Cancelled by the agent. */
} bt_upstream_result_t;

/** The load that the endpoint reports. */
typedef struct bt_upstream_load
{
  int32_t running;
  int32_t queued;
  int32_t capacity;
  int32_t step_us;
  int64_t read_ms; /**< When it was read, by the agent's clock; 0: never. */
} bt_upstream_load_t;

/** Callbacks. They are called on the upstream's thread, which holds no lock of the upstream
 * meanwhile. */
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
  const char *url; /**< "http://IP:PORT" without a trailing slash. */
  bool is_model;   /**< True for a model engine, false for a plain service. */
  int64_t connect_ms;
  int64_t idle_ms;     /**< A transfer without data for this long is silent. */
  int32_t max_resumes; /**< Maximum number of further connections for one run. */
  int64_t load_ms;     /**< Interval of load requests. */
  bt_upstream_handler_t *handler;
} bt_upstream_options_t;

/** The request of one run. bt_new_upstream_run copies everything. */
typedef struct bt_upstream_request
{
  uint64_t run;       /**< Identifies the run in the callbacks. */
  const char *run_id; /**< Identifies the run to the endpoint, in the header Bilberry-Run. */
  const char *method;
  const char *target; /**< As its caller sent it, with its query. */
  const bt_header_t *headers;
  int32_t header_count;
  const void *body;
  size_t body_bytes;
  int32_t priority;
} bt_upstream_request_t;

bt_upstream_t *
bt_new_upstream (bt_context_t *ctx, const bt_upstream_options_t *options, bt_error_t *error);

/** Stops the thread. Unfinished runs end without a further callback. NULL is accepted. */
void bt_drop_upstream (bt_context_t *ctx, bt_upstream_t *upstream);

/** Copies a request so that it can be queued and started later. */
bt_upstream_run_t *bt_new_upstream_run (bt_context_t *ctx,
                                        bt_upstream_t *upstream,
                                        const bt_upstream_request_t *request);

/** Frees a run that was not started. NULL is accepted. */
void bt_drop_upstream_run (bt_context_t *ctx, bt_upstream_run_t *run);

/** Starts a run and takes ownership of it. May be called from any thread. Returns false when too
 * many runs wait to be started; then the caller still owns the run. */
bool bt_start_upstream_run (bt_context_t *ctx, bt_upstream_t *upstream, bt_upstream_run_t *run);

/** Cancels a run, from any thread. on_end follows unless the run has already ended. */
void bt_cancel_upstream_run (bt_context_t *ctx, bt_upstream_t *upstream, uint64_t run);

/** Cancels the runs that a model engine still executes from before this agent's start, and waits
 * for the answers. @p cancelled receives the number of runs found. Returns false and sets @p error
 * when the list can't be read or a run can't be cancelled; the other runs are cancelled all the
 * same. Does nothing for a plain service, which lists no runs. */
bool bt_cancel_orphaned_runs (bt_context_t *ctx,
                              const bt_upstream_options_t *options,
                              int32_t *cancelled,
                              bt_error_t *error);

#endif
