#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_CONFIG_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_CONFIG_H

/** @file
 * Runs an operator's commands against a testbed. The rules of these tests refuse a request with a
 * version as message, so that a caller can tell which rules an entry applies.
 */

#include <stdio.h>

#include "harness.h"

enum
{
  BT_OUTPUT_BYTES = 4096,
};

/** Returns rules as JSON text whose version is @p version. The caller frees them. */
char *bt_make_version_rules (const char *version);

/** Reads the version of the rules that an entry applies, or the reason of its refusal: "v1",
 * "isolated", ... */
void bt_read_rules_version (const bt_testbed_t *testbed, const char *entry, char version[48]);

/** Waits until an entry applies a version, or refuses with that reason. */
bool bt_wait_rules_version (const bt_testbed_t *testbed, const char *entry, const char *version);

/** A command that was started. */
typedef struct bt_command_run
{
  FILE *output; /**< NULL: the command did not start. */
  pid_t pid;
  char folder[64]; /**< Removed after the command has exited; "" for none. */
} bt_command_run_t;

/** Starts `bilberryd publish` with rules of this version; the other documents are those of the
 * store. @p flags is NULL-terminated, or NULL. */
void bt_start_publish (const bt_testbed_t *testbed,
                       const char *version,
                       const char *const *flags,
                       bt_command_run_t *run);

/** Reads the output until the command exits. Returns its exit code, -1 if it did not start or was
 * killed. */
int32_t bt_finish_command (bt_command_run_t *run, char output[BT_OUTPUT_BYTES]);

/** Runs `bilberryd publish` until it exits: bt_start_publish and bt_finish_command in one. */
int32_t bt_publish_version (const bt_testbed_t *testbed,
                            const char *version,
                            const char *const *flags,
                            char output[BT_OUTPUT_BYTES]);

/** Runs `bilberryd status` and returns its exit code. */
int32_t bt_run_status (const bt_testbed_t *testbed, char output[BT_OUTPUT_BYTES]);

/** Sets a fault of the key-value store, such as "{\"kind\":\"down\"}". */
bool bt_set_store_fault (const bt_testbed_t *testbed, const char *fault);

/** Returns how many calls of a kind the key-value store has received. */
int64_t bt_count_store_calls (const bt_testbed_t *testbed, const char *kind);

/** Writes rules directly into the key-value store, without `publish`. */
bool bt_put_version (const bt_testbed_t *testbed, const char *version);

/** Returns the revision of the rules in the key-value store; -1 on failure. */
int64_t bt_get_rules_revision (const bt_testbed_t *testbed);

#endif
