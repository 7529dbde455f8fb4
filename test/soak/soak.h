#ifndef BILBERRYTRAY_TEST_SOAK_H
#define BILBERRYTRAY_TEST_SOAK_H

/** @file
 * Randomized soak test. Real gateways run against stand-ins on loopback while callers send requests
 * over persistent connections and faults are injected. A seed determines all random choices. The
 * results are checked while the test runs.
 *
 * Each caller is a separate process that logs the result of each request to a file. Each runner
 * logs every run to a file. The checker reads both.
 */

#include "bilberrytray/base/random.h"
#include "harness_gateway.h"

/** Whether and how a request may be repeated. */
typedef enum bt_soak_kind
{
  BT_SOAK_PLAIN = 0, /**< Idempotent: may run more than once. */
  BT_SOAK_ONCE,      /**< Not idempotent: runs at most once. */
  BT_SOAK_STREAM,    /**< Stream that may be resumed. */
  BT_SOAK_KINDS,
} bt_soak_kind_t;

/** Settings of a soak run, from the command line. */
typedef struct bt_soak_settings
{
  uint64_t seed;
  int64_t fault_phase_ms; /**< Length of the phase with faults. */
  int32_t gateways;
  int32_t runners;
  int32_t callers;
  bool notices;    /**< Faults of runners include limits and rests that they ask for. */
  bool restores;   /**< The store is restored from backups again and again. */
  bool unreadable; /**< Each version of the configuration has parts that can't be read. */
  bool poison;     /**< An additional caller sends a request that crashes runners. */
  bool parts; /**< Prompts have parts; that caller's have one that crashes runners, and no two of
                   its requests are alike. */
} bt_soak_settings_t;

/** An API key that one configuration version adds and a later one removes for good. */
typedef struct bt_soak_key
{
  bool added;
  int64_t added_ms; /**< When the store had accepted the version with the key. */
  bool removed;
  int64_t removed_ms;
} bt_soak_key_t;

enum
{
  BT_SOAK_KEYS = 512,
  BT_SOAK_TEXT_BYTES = 256,
  BT_SOAK_PROMPT_PARTS = 20, /* parts that the prompts of several requests have */
  BT_SOAK_STATUS_OK = 200,
  BT_SOAK_SETTLE_MS = 3000,      /* a gateway counts as disturbed this long after a fault ended */
  BT_SOAK_KEY_INTERVAL_MS = 700, /* between two new keys; keys are numbered in this order */
};

/** The deployment under test and the faults that it went through. */
typedef struct bt_soak
{
  bt_soak_settings_t settings;
  bt_random_t random;
  bt_gateway_testbed_t *testbed;
  int64_t start_ms;
  pid_t callers[BT_MAX_GATEWAYS * 4];
  pid_t poison_caller;
  int32_t version;               /**< Of the configuration in the store. */
  bool draining[BT_MAX_RUNNERS]; /**< Runners that have announced that they leave. */
  bt_soak_key_t keys[BT_SOAK_KEYS];
  int32_t key_count;
  /** End of the disturbance of each gateway or of its link to the store, including
   * BT_SOAK_SETTLE_MS after the fault. */
  int64_t disturbed_ms[BT_MAX_GATEWAYS];
  int64_t store_disturbed_ms;       /**< The same for the store. */
  int64_t runner_link_disturbed_ms; /**< The same for the links to the runners. */
  /** Until when each gateway was killed or frozen. A request that fails before then is not the
   * gateway's fault. */
  int64_t halted_ms[BT_MAX_GATEWAYS];
  /** SIGTERM was sent before the gateway was able to handle it. */
  bool stopped_before_ready[BT_MAX_GATEWAYS];
  int32_t failed_stops; /**< Gateways that exited with an error after SIGTERM. */
} bt_soak_t;

/** Returns the text of the configuration with the keys that are valid now. The caller frees it. */
char *bt_write_soak_configuration (const bt_soak_t *soak);

/** Runs in a child process: sends requests until the process is killed, and logs the result of each
 * to a file in the folder of soak->testbed. */
void bt_run_soak_caller (const bt_soak_t *soak, int32_t index);

/** Fault injection: the faults in force and the time of the next one. */
typedef struct bt_soak_faults bt_soak_faults_t;
bt_soak_faults_t *bt_new_soak_faults (bt_soak_t *soak);

/** Starts the faults that are due, ends those whose time is over, and replaces keys. */
void bt_run_soak_faults (bt_soak_faults_t *faults);

/** Ends all faults and waits until every gateway is ready. Returns false when one does not become
 * ready. */
bool bt_end_soak_faults (bt_soak_faults_t *faults);
void bt_drop_soak_faults (bt_soak_faults_t *faults);

/** Restorations of the store from backups. */
typedef struct bt_soak_restores bt_soak_restores_t;
bt_soak_restores_t *bt_new_soak_restores (bt_soak_t *soak);

/** Takes backups and restores the store when it is due. @p store_busy is true while another fault
 * of the store is in force; then none begins. */
void bt_run_soak_restores (bt_soak_restores_t *restores, bool store_busy);

/** Returns true while the store is away because it is being restored. */
bool bt_is_soak_restoring (const bt_soak_restores_t *restores);

/** Ends a restoration that is in progress. */
void bt_end_soak_restores (bt_soak_restores_t *restores);
void bt_drop_soak_restores (bt_soak_restores_t *restores);

/** Writes the current configuration into the store, with the next version. */
void bt_put_soak_configuration (bt_soak_t *soak);

/** State of a request that crashes every runner that runs it and is sent repeatedly. */
typedef struct bt_soak_poison bt_soak_poison_t;
bt_soak_poison_t *bt_new_soak_poison (bt_soak_t *soak);
void bt_drop_soak_poison (bt_soak_poison_t *poison);

/** Runs in a child process: sends the poison request until the process is killed. */
void bt_run_soak_poison_caller (const bt_soak_t *soak);

/** Restarts crashed runners after a random delay. */
void bt_restart_crashed_runners (bt_soak_poison_t *poison);

/** Records a run of the poison request at @p at_ms; its @p id names the gateway. Returns false when
 * undisturbed gateways sent the request too often. */
bool bt_check_poison_run (bt_soak_poison_t *poison, const char *id, int64_t at_ms);

int32_t bt_count_poison_runs (const bt_soak_poison_t *poison);

/** Checks the logs of callers and runners against what the gateways guarantee. */
typedef struct bt_soak_checker bt_soak_checker_t;
bt_soak_checker_t *bt_new_soak_checker (bt_soak_t *soak, bt_soak_poison_t *poison);

/** Reads new log lines and prints each violation. Returns the number of violations so far. */
int32_t bt_check_soak_logs (bt_soak_checker_t *checker);

/** Counts the requests that began at @p since_ms or later and have ended, and those of them that
 * were served. */
void bt_count_soak_requests (const bt_soak_checker_t *checker,
                             int64_t since_ms,
                             int32_t *ended,
                             int32_t *served);
void bt_drop_soak_checker (bt_soak_checker_t *checker);

/** Prints a line that begins with the milliseconds since the start. */
void bt_print_soak_event (const bt_soak_t *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
