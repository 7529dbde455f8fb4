#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_REQUESTS_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_REQUESTS_H

/** @file
 * Sends drafts, which are requests for the app "drafts", by separate callers and compares the
 * outcomes that the callers receive with the run logs of the model engines.
 */

#include <pthread.h>

#include "harness.h"

enum
{
  BT_KEY_TEXT_BYTES = 256,
};

/** One caller's request. Set the first five members before it is sent. */
typedef struct bt_draft
{
  const bt_testbed_t *testbed;
  const char *entry;
  const char *key;    /**< Idempotency key; NULL: none. */
  const char *prompt; /**< Shorter than 60 bytes and unique in the testbed. */
  int32_t tokens;
  const char *account;         /**< NULL: "small". */
  int64_t disconnect_after_ms; /**< The caller disconnects after this time; 0: it waits for the
                                  answer. */
  pthread_t thread;
  bt_http_reply_t reply;
} bt_draft_t;

/** Gets a ticket for an account's drafts from an entry; waits until the entry issues one. */
bool bt_fetch_ticket (const bt_testbed_t *testbed,
                      const char *entry,
                      const char *account,
                      char key[BT_KEY_TEXT_BYTES]);

/** Sends a draft on a separate thread. */
void bt_start_draft (bt_draft_t *draft);

/** Waits for the reply to a started draft; free it with bt_clear_reply. */
void bt_join_draft (bt_draft_t *draft);

/** Sends a draft and waits for the reply. */
void bt_send_draft (bt_draft_t *draft);

/** Returns whether the caller received the complete answer to its own draft; prints the reply if
 * not. */
bool bt_is_draft_complete (const bt_draft_t *draft);

/** Returns whether the caller received this outcome. An answer that is visibly cut off counts as
 * "unknown". */
bool bt_has_draft_outcome (const bt_draft_t *draft, const char *outcome);

/** Returns how often the engines ran a draft, according to their logs. */
int32_t bt_count_draft_runs (const bt_draft_t *draft);

/** Returns whether the caller's outcome agrees with the engines' logs: a complete answer means that
 * the draft ran once, "not-run" that it did not run, "unknown" that it ran at most once. */
bool bt_is_draft_consistent (const bt_draft_t *draft);

/** Waits until an engine has begun to run the draft. */
bool bt_wait_draft_started (bt_draft_t *draft);

/** Waits until an entry issues tickets, admits requests and has links to @p count agents. */
bool bt_wait_endpoints (const bt_testbed_t *testbed, const char *entry, int32_t count);

#endif
