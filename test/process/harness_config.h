#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_CONFIG_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_CONFIG_H

/** @file
 * Runs an operator's commands against a stage. Rules of these tests carry a version in the message
 * of a refusal, so that a caller can tell which ones an entry goes by.
 */

#include <stdio.h>

#include "harness.h"

enum
{
  BT_OUTPUT_BYTES = 4096,
};

/** Rules whose version is @p version, to be freed. */
char *bt_make_version_rules (const char *version);

/** The version that an entry goes by, or the reason of its refusal: "v1", "isolated", ... */
void bt_read_rules_version (const bt_stage_t *testbed, const char *entry, char version[48]);

/** Waits until an entry goes by a version, or refuses for that reason. */
bool bt_wait_rules_version (const bt_stage_t *testbed, const char *entry, const char *version);

/** A command under way. */
typedef struct bt_command_run
{
  FILE *output; /**< NULL: it did not start. */
  pid_t pid;
  char folder[64]; /**< Removed at its end; "": none. */
} bt_command_run_t;

/** Starts `bilberryd publish` for rules of this version, with the other documents as the service
 * holds them; @p flags is NULL-ended. */
void bt_start_publish (const bt_stage_t *testbed,
                       const char *version,
                       const char *const *flags,
                       bt_command_run_t *run);

/** Reads the output to its end; returns the exit code. */
int32_t bt_finish_command (bt_command_run_t *run, char output[BT_OUTPUT_BYTES]);

/** Both of the above. */
int32_t bt_publish_version (const bt_stage_t *testbed,
                            const char *version,
                            const char *const *flags,
                            char output[BT_OUTPUT_BYTES]);

/** Runs `bilberryd status`. */
int32_t bt_run_status (const bt_stage_t *testbed, char output[BT_OUTPUT_BYTES]);

/** Sets a fault of the key-value service, such as "{\"kind\":\"down\"}". */
bool bt_set_store_fault (const bt_stage_t *testbed, const char *fault);

/** Calls of a kind that the key-value service has seen. */
int64_t bt_count_store_calls (const bt_stage_t *testbed, const char *kind);

/** Writes rules straight into the service, past `publish`. */
bool bt_put_version (const bt_stage_t *testbed, const char *version);

/** The service's revision of the rules; -1 on failure. */
int64_t bt_get_rules_revision (const bt_stage_t *testbed);

#endif
