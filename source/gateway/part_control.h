#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PART_CONTROL_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PART_CONTROL_H

/** @file
 * Refuses requests whose prompts have a part that crashes endpoints. Combines what this instance
 * sees and what the others report in one table. Runs on the event loop.
 */

#include <stdio.h>

#include "bilberrytray/gateway/platform.h"
#include "bilberrytray/load/group_outages.h"
#include "bilberrytray/requests/part_table.h"
#include "crash_reporter.h"
#include "event_loop.h"
#include "view.h"

typedef struct bt_part_control bt_part_control_t;
typedef struct bt_part_control_handler bt_part_control_handler_t;

struct bt_part_control_handler
{
  /** The request that waited for a trial of a part may be sent now, or is to be refused. */
  void (*on_trial) (bt_part_control_handler_t *handler, uint64_t request, bool granted);
};

typedef struct bt_part_control_options
{
  const bt_platform_t *platform;
  const char *store;    /**< The store's "IP:PORT". */
  const char *instance; /**< Name of this instance. */
  bt_crash_reporter_t *reporter;
  const bt_group_outages_t *outages; /**< Tells which apps have rank groups. */
  bt_part_control_handler_t *handler;
} bt_part_control_options_t;

/** What the options point to must outlive the part control. */
bt_part_control_t *bt_new_part_control (bt_context_t *ctx,
                                        bt_event_loop_t *loop,
                                        const bt_part_control_options_t *options);

/** NULL is accepted. */
void bt_drop_part_control (bt_context_t *ctx, bt_part_control_t *control);

/** Applies what all instances share in the store. Returns true if other parts may be accused since.
 */
bool bt_set_listed_parts (bt_part_control_t *control, const bt_view_t *view);

/** See bt_note_broken_parts. */
void bt_report_broken_parts (bt_part_control_t *control, const bt_part_attempt_t *attempt);

/** See bt_note_part_end. */
void bt_report_part_end (bt_part_control_t *control, const bt_identity_t *endpoint);

/** See bt_note_part_survival. */
void bt_report_part_survival (bt_part_control_t *control,
                              const bt_identity_t *endpoint,
                              int64_t sent_ms);

/** See bt_note_answered_parts. */
void bt_report_answered_parts (bt_part_control_t *control, const bt_prompt_parts_t *parts);

/** Returns false while no part is accused, so that the parts of requests need not be read. */
bool bt_has_listed_parts (const bt_part_control_t *control);

/** Returns false while answers need not be reported. */
bool bt_needs_part_answers (const bt_part_control_t *control);

/** Decides whether a request for @p app may run; see bt_judge_parts. */
void bt_check_parts (bt_part_control_t *control,
                     const bt_prompt_parts_t *parts,
                     const char *app,
                     bt_part_judgement_t *judgement);

/** Asks for the trial of a part for a request, which waits for the handler then. Returns false if
 * the request has to be refused. */
bool bt_ask_part_trial (bt_part_control_t *control, const bt_fingerprint_t *part, uint64_t request);

/** Prints the accused parts for operators. May be called from any thread. */
void bt_print_part_status (bt_part_control_t *control, FILE *out);

#endif
