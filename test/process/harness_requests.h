#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_REQUESTS_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_REQUESTS_H

/** @file
 * Drafts sent by callers of their own, and the comparison of what they were told with the run logs
 * of the model engines.
 */

#include <pthread.h>

#include "harness.h"

enum
{
  BT_KEY_TEXT_BYTES = 256,
};

/** One caller's request. Set the first five before it is started. */
typedef struct bt_draft
{
  const bt_stage_t *testbed;
  const char *entry;
  const char *key;    /**< NULL: a request without a key. */
  const char *prompt; /**< Shorter than 60 bytes and unlike all others of the stage. */
  int32_t tokens;
  const char *account;         /**< NULL: "small". */
  int64_t disconnect_after_ms; /**< The caller goes away after this; 0: it stays. */
  pthread_t thread;
  bt_reply_t reply;
} bt_draft_t;

/** Takes a ticket for an account's drafts from an entry; waits until the entry has one to give. */
bool bt_fetch_ticket (const bt_stage_t *testbed,
                      const char *entry,
                      const char *account,
                      char key[BT_KEY_TEXT_BYTES]);

/** Sends a draft on a thread of its own. */
void bt_start_draft (bt_draft_t *draft);

/** Waits for its answer; free it with bt_clear_reply. */
void bt_join_draft (bt_draft_t *draft);

/** Sends a draft and waits for its answer. */
void bt_send_draft (bt_draft_t *draft);

/** True when the caller got the whole and the very answer to its own draft. */
bool bt_is_draft_complete (const bt_draft_t *draft);

/** True when the caller was refused with this outcome, or its answer was visibly cut, which says
 * "unknown". */
bool bt_has_draft_outcome (const bt_draft_t *draft, const char *outcome);

/** How often the engines ran a draft, by their logs. */
int32_t bt_count_draft_runs (const bt_draft_t *draft);

/** True when what the caller was told agrees with the engines' logs: answered whole means run once,
 * not-run means not run, unknown means run at most once. */
bool bt_is_draft_consistent (const bt_draft_t *draft);

/** Waits until an engine has begun the draft. */
bool bt_wait_draft_started (bt_draft_t *draft);

/** Waits until an entry serves callers and has links to so many agents. */
bool bt_wait_endpoints (const bt_stage_t *testbed, const char *entry, int32_t count);

#endif
