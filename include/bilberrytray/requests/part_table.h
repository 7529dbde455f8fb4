#ifndef BILBERRYTRAY_REQUESTS_PART_TABLE_H
#define BILBERRYTRAY_REQUESTS_PART_TABLE_H

/** @file
 * Detects parts of prompts that crash the endpoints which answer them, whatever else the requests
 * hold.
 *
 * The end of an endpoint accuses the parts of all requests whose answers it had not begun, from
 * whichever instances they came: each instance reports the ends that it saw with the parts that it
 * had there. What several ends have in common is left: a complete answer to a request clears all
 * its parts for all instances, and so does an endpoint that went on after it had begun an answer. A
 * broken connection and the end of an answer's connection prove nothing by themselves.
 *
 * A part that ends accuse more often than all others explains these ends: what only they accuse
 * besides is not at fault.
 *
 * A part that was answered lately, while ends were known, needs one more end to be held.
 *
 * A part that enough ends accuse is held: requests with it are refused. One request at a time, of
 * all instances together, is tried, at growing intervals and max_trials times in all; a complete
 * answer to it clears the part. The number of trials is kept in the shared list, so that instances
 * that start or restart do not add to it.
 *
 * This answers load in which a few parts are at fault. Where the end of one endpoint stops a rank
 * group, parts are held from the first end on, unless endpoints that ended at the same moment show
 * a common cause, such as a loss of power.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"
#include "bilberrytray/requests/prompt_parts.h"

enum
{
  /** Most parts that one report of an end names. */
  BT_MAX_END_PARTS = 256,
};

/** A part that an end accuses. */
typedef struct bt_end_part
{
  bt_fingerprint_t part; /**< Must be first: lists are searched by it. */
  bool again;            /**< Only retries had it there, of requests that had broken off at another
                            endpoint. Their ends tell nothing new about their parts. */
} bt_end_part_t;

/** An end of an endpoint's incarnation, as one instance saw it. */
typedef struct bt_part_end
{
  bt_identity_t endpoint;
  char app[BT_NAME_BYTES];
  char reporter[BT_NAME_BYTES]; /**< The instance. */
  int64_t ended_ms;             /**< When the attempts there broke off, Unix time in ms. */
  int32_t count;
  bt_end_part_t *parts; /**< Parts whose answers had not begun; sorted, distinct. */
} bt_part_end_t;

/** What all instances know of one part besides the ends that accuse it. */
typedef struct bt_part_mark
{
  bt_fingerprint_t part;
  int64_t cleared_ms; /**< Ends up to this time don't accuse it, Unix time in ms; 0: none. */
  int32_t trials;     /**< Requests that were tried since. */
  int64_t trial_ms;   /**< When the latest was tried, Unix time in ms. */
} bt_part_mark_t;

/** An end in the list that all instances share. */
typedef struct bt_listed_part_end
{
  bt_part_end_t end;
  int64_t revision; /**< Above 0. */
} bt_listed_part_end_t;

/** A mark in the list that all instances share. */
typedef struct bt_listed_part_mark
{
  bt_part_mark_t mark;
  int64_t revision; /**< Above 0. */
} bt_listed_part_mark_t;

/** The list that all instances share. */
typedef struct bt_part_list
{
  bt_listed_part_end_t *ends;
  int32_t end_count;
  bt_listed_part_mark_t *marks;
  int32_t mark_count;
} bt_part_list_t;

/** An attempt at an endpoint. */
typedef struct bt_part_attempt
{
  bt_prompt_parts_t *parts; /**< NULL: unknown. */
  bt_identity_t endpoint;
  char app[BT_NAME_BYTES];
  bool at_start; /**< The endpoint may have ended as it began the answer. */
  bool begun;    /**< The endpoint went on after it had begun the answer. */
  bool again;    /**< An earlier attempt of the request broke off at another endpoint. */
  bool answered; /**< The head of an answer had arrived. */
  bool stalled;  /**< It broke off because another rank of the endpoint's group had ended. */
  int64_t sent_ms;
} bt_part_attempt_t;

typedef struct bt_part_options
{
  const char *instance;    /**< Name of this instance; must outlive the table. */
  int32_t group_ends;      /**< Moments of ends that hold a part where an end stops a rank group. */
  int32_t ends;            /**< Moments of ends that hold a part elsewhere. */
  int32_t refuse_ends;     /**< Moments after which a held part counts as found; as many endpoints
                              hold it even if they ended at one moment. */
  int32_t max_trials;      /**< Requests that are tried with a held part, of all instances. */
  int64_t trial_ms;        /**< How long a part is held before the first trial. */
  int64_t trial_factor;    /**< By how much the hold grows with each further moment. */
  int64_t keep_ms;         /**< How long ends and marks are kept. */
  int64_t match_window_ms; /**< As in bt_crash_options_t. */
  int32_t max_ends;        /**< Maximum number of ends that are kept. */
  uint64_t seed;           /**< Seed of the random extension of keep_ms. */
} bt_part_options_t;

typedef enum bt_part_verdict
{
  BT_PART_RUN = 0, /**< It may run. */
  BT_PART_TRY,     /**< It may run if it is the one request that is tried. */
  BT_PART_HOLD,    /**< It is refused until its part was tried. */
  BT_PART_REFUSE,  /**< It is refused: its part has ended enough endpoints. */
} bt_part_verdict_t;

typedef struct bt_part_judgement
{
  bt_part_verdict_t verdict;
  bt_fingerprint_t part; /**< The held part; valid unless the request may run. */
  int32_t ends;          /**< Incarnations of endpoints that accuse it. */
  int64_t retry_after_ms;
} bt_part_judgement_t;

/** A part that ends accuse, for operators. */
typedef struct bt_accused_part
{
  bt_fingerprint_t part;
  const char *app;
  int32_t ends;          /**< Incarnations of endpoints that ended under it, and that no other part
                            explains. */
  int32_t events;        /**< Moments at which they ended, but for retries. */
  bool suspected;        /**< No common cause explains at least one of these ends. */
  int64_t last_ended_ms; /**< Unix time in ms. */
  int32_t trials;        /**< Trials so far. */
  int64_t trial_ms;      /**< Time of the latest trial, Unix time in ms; 0: none. */
  int64_t judged;        /**< Requests judged that have it, since the table changed. */
} bt_accused_part_t;

/** Kind of an update of the list that all instances share. */
typedef enum bt_part_update_kind
{
  BT_PART_PUBLISH_END = 0,
  BT_PART_RETRACT_END,
  BT_PART_PUBLISH_MARK,
  BT_PART_RETRACT_MARK,
} bt_part_update_kind_t;

typedef struct bt_part_update
{
  bt_part_update_kind_t kind;
  bt_part_end_t end; /**< Of the first two kinds; a retraction has no parts. */
  bt_part_mark_t mark;
} bt_part_update_t;

typedef struct bt_part_table bt_part_table_t;

void bt_default_part_options (bt_part_options_t *options);

bt_part_table_t *bt_new_part_table (bt_context_t *ctx, const bt_part_options_t *options);

/** NULL is accepted. */
void bt_drop_part_table (bt_context_t *ctx, bt_part_table_t *table);

/** Sets the difference between Unix time and the clock of @p now_ms and @p sent_ms, in ms. */
void bt_set_part_clock_offset (bt_part_table_t *table, int64_t offset_ms);

/** Notes that an attempt broke off, or ended with its connection so that it is not known whether
 * its answer was complete. */
void bt_note_broken_parts (bt_context_t *ctx,
                           bt_part_table_t *table,
                           const bt_part_attempt_t *attempt,
                           int64_t now_ms);

/** Notes that an incarnation of an endpoint ended unexpectedly. */
void bt_note_part_end (bt_context_t *ctx,
                       bt_part_table_t *table,
                       const bt_identity_t *endpoint,
                       int64_t now_ms);

/** Notes that an incarnation of an endpoint has answered a request that was sent at @p sent_ms, so
 * that it had survived all that it began before. */
void bt_note_part_survival (bt_context_t *ctx,
                            bt_part_table_t *table,
                            const bt_identity_t *endpoint,
                            int64_t sent_ms,
                            int64_t now_ms);

/** Notes that an endpoint has answered a request with @p parts completely, or went on after it had
 * begun the answer. @p parts may be NULL. */
void bt_note_answered_parts (bt_context_t *ctx,
                             bt_part_table_t *table,
                             const bt_prompt_parts_t *parts,
                             int64_t now_ms);

/** Decides whether a request with @p parts may run. @p stops_group is true if the end of an
 * endpoint stops a whole rank group. */
void bt_judge_parts (bt_part_table_t *table,
                     const bt_prompt_parts_t *parts,
                     bool stops_group,
                     int64_t now_ms,
                     bt_part_judgement_t *judgement);

/** Returns the mark that makes the next request with an accused part the one that is tried, and the
 * revision that the present mark must still have in the shared list. */
bt_part_mark_t bt_propose_part_trial (const bt_part_table_t *table,
                                      const bt_fingerprint_t *part,
                                      int64_t now_ms,
                                      int64_t *revision);

/** Records a mark that this instance has written to the shared list. */
void bt_record_part_mark (bt_context_t *ctx, bt_part_table_t *table, const bt_part_mark_t *mark);

/** Applies the current list that all instances share. An end or mark that was listed before and is
 * missing now is removed, unless @p restored is true: the store was restored from a backup. Then
 * what this instance reported is published again, and each mark that the list shows older. */
void bt_apply_part_list (bt_context_t *ctx,
                         bt_part_table_t *table,
                         const bt_part_list_t *list,
                         bool restored);

/** Retracts ends and marks, and removes suspects, that are too old. */
void bt_expire_parts (bt_context_t *ctx, bt_part_table_t *table, int64_t now_ms);

/** Returns false while no part is accused, so that requests need not be judged. */
bool bt_has_accused_parts (const bt_part_table_t *table);

/** Returns false while answers need not be noted. */
bool bt_has_part_suspects (const bt_part_table_t *table);

/** Returns a number that changes with what ends accuse. */
int64_t bt_get_part_version (const bt_part_table_t *table);

/** Returns the accused parts; valid until the next change of the table. */
const bt_accused_part_t *bt_get_accused_parts (const bt_part_table_t *table, int32_t *count);

/** Returns true if an accused part is held. */
bool
bt_is_part_held (const bt_part_table_t *table, const bt_accused_part_t *part, bool stops_group);

/** Returns the earliest time at which a held part is tried, Unix time in ms; 0: never. */
int64_t bt_get_part_trial_ms (const bt_part_table_t *table,
                              const bt_accused_part_t *part,
                              bool stops_group);

/** Returns the end at an index that names a part; NULL when there are no more. Advances the index
 * past it. */
const bt_part_end_t *
bt_find_accusing_end (const bt_part_table_t *table, const bt_fingerprint_t *part, int32_t *index);

/** Removes the next update for the shared list from the queue; false when the queue is empty. Clear
 * it with bt_clear_part_update. */
bool bt_take_part_update (bt_part_table_t *table, bt_part_update_t *update);

void bt_clear_part_update (bt_context_t *ctx, bt_part_update_t *update);

#endif
