#ifndef TEST_REQUESTS_PART_SIMULATION_H
#define TEST_REQUESTS_PART_SIMULATION_H

/** @file
 * Deterministic simulation of entry instances and endpoints around part tables, in one thread with
 * simulated time. Requests with a part that crashes endpoints come at any entry, beside sound ones
 * that share their other parts. The shared list reaches each entry late; entries are killed,
 * frozen and cut off from it, and it is restored from a backup.
 */

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/requests/part_table.h"

enum
{
  SIM_STEP_MS = 10,
  SIM_MAX_ENTRIES = 32,
  SIM_MAX_ENDPOINTS = 32,
  SIM_MAX_ATTEMPTS = 8192,
  SIM_MAX_ITEMS = 512,
  SIM_MAX_MARKS = 1024,
  SIM_MAX_POISONS = 2,
  SIM_PARTS = 4, /**< Of a prompt: the common one, two seldom ones, and the last. */
  SIM_PROBE_MS = 30,
  SIM_STALL_MS = 1500,
  SIM_FORM_MS = 4000,
  SIM_BACK_MS = 1500,
  SIM_STABLE_MS = 3000,
  SIM_LEARNING_MS = 2 * SIM_STABLE_MS,
  SIM_FIFTH = 5,
  SIM_PERCENT = 100,
  SIM_EVENT_MS = 50,
};

/** Guards that a run may do without. */
typedef enum sim_guard
{
  SIM_SHARED_ENDS = 1,   /**< All entries know of an end. */
  SIM_SHARED_TRIALS = 2, /**< All entries count trials together. */
  SIM_CLEARING = 4,      /**< Complete answers clear parts. */
  SIM_START_ONLY = 8,    /**< Only answers that had not begun are accused. */
} sim_guard_t;

typedef struct sim_options
{
  uint64_t seed;
  int32_t entries;
  int32_t endpoints;
  bool group;     /**< An end stops all endpoints for SIM_FORM_MS. */
  int32_t beside; /**< Sound requests at each endpoint at a time, about. */
  int32_t seldom; /**< Number of seldom parts. */
  int32_t poisons;
  int64_t poison_interval_ms;
  int64_t crash_interval_ms; /**< Mean time between ends for other reasons; 0: none. */
  int64_t power_interval_ms; /**< Mean time between losses of power; 0: none. */
  bool faults;               /**< Entries and the list fail too. */
  int64_t length_ms;
  bool hasty;       /**< Trials come at short intervals that don't grow. */
  uint32_t without; /**< Guards left out. */
} sim_options_t;

typedef struct sim_result
{
  int32_t poison_ends;   /**< Ends under one of the parts at fault. */
  int32_t late;          /**< Most late requests with one part, sent by entries in touch. */
  int32_t sound_wanted;  /**< Sound requests after the window in which ends are learned from. */
  int32_t sound_refused; /**< Those of them that were refused because of a part. */
  int32_t all_refused;   /**< All sound requests that were refused because of a part. */
  int32_t all_wanted;
  int32_t sound_held; /**< Sound parts that some entry held at some time. */
  int32_t trials;
} sim_result_t;

typedef struct sim_attempt
{
  bool active;
  int32_t entry;
  int32_t endpoint;
  uint64_t incarnation;
  bt_prompt_parts_t *parts;
  int32_t poison; /**< Index of the part at fault; -1: sound. */
  int64_t sent_ms;
  int64_t begin_ms;
  int64_t end_ms;
  bool survival_noted;
} sim_attempt_t;

typedef struct sim_entry
{
  bt_part_table_t *table;
  int64_t frozen_until_ms;
  int64_t calm_since_ms; /**< Since when it has run and reached the list. */
  int64_t cut_until_ms;  /**< Does not reach the list. */
  int64_t next_list_ms;
  int64_t era;
  int64_t down_known_ms[SIM_MAX_ENDPOINTS]; /**< Sends nothing there before this. */
  int64_t probe_ms[SIM_MAX_ENDPOINTS];      /**< When it finds the port closed; 0: no probe. */
  uint64_t probed[SIM_MAX_ENDPOINTS];
} sim_entry_t;

typedef struct sim_list
{
  bt_listed_part_end_t ends[SIM_MAX_ITEMS];
  int32_t end_count;
  bt_listed_part_mark_t marks[SIM_MAX_MARKS];
  int32_t mark_count;
  int64_t revision;
} sim_list_t;

typedef struct sim
{
  sim_options_t options;
  bt_context_t *ctx;
  bt_random_t random;
  bt_fingerprint_key_t key;
  int64_t now_ms;
  sim_entry_t entries[SIM_MAX_ENTRIES];
  uint64_t incarnations[SIM_MAX_ENDPOINTS];
  int64_t up_ms[SIM_MAX_ENDPOINTS];
  int64_t open_ms; /**< When the group accepts requests. */
  int64_t stall_end_ms;
  sim_attempt_t attempts[SIM_MAX_ATTEMPTS];
  int32_t attempt_count; /**< No attempt at or above this index is active. */
  sim_list_t list;
  sim_list_t backup;
  int64_t era;
  int64_t away_until_ms;
  int64_t list_calm_ms;
  int64_t next_poison_ms[SIM_MAX_POISONS];
  int32_t ends[SIM_MAX_POISONS];
  int64_t fifth_ms[SIM_MAX_POISONS];
  int64_t last_ms;
  int32_t late[SIM_MAX_POISONS];
  bt_fingerprint_t poison_parts[SIM_MAX_POISONS];
  bt_fingerprint_t held[SIM_MAX_MARKS];
  int32_t held_count;
  int32_t next_own;
  bt_end_part_t **pool; /**< Parts of the ends that were ever listed. */
  int32_t pool_count;
  sim_result_t result;
} sim_t;

static int32_t
sim_draw (sim_t *sim, int64_t below)
{
  return below <= 0 ? 0 : (int32_t)bt_random_below (&sim->random, (uint64_t)below);
}

static bool
sim_happens (sim_t *sim, int64_t mean_ms)
{
  return mean_ms > 0 && sim_draw (sim, mean_ms / SIM_STEP_MS) == 0;
}

static bool
sim_has (const sim_t *sim, sim_guard_t guard)
{
  return (sim->options.without & (uint32_t)guard) == 0;
}

static bt_identity_t
sim_identity (const sim_t *sim, int32_t endpoint)
{
  bt_identity_t identity = { .incarnation = sim->incarnations[endpoint] };

  snprintf (identity.instance, sizeof identity.instance, "i-%d", endpoint);
  return identity;
}

/* Makes a prompt of the common part, in nine of ten, one or two seldom ones, that at fault if
 * @p poison is not -1, and a last one of its own. */
static bt_prompt_parts_t *
sim_make_parts (sim_t *sim, int32_t poison)
{
  static bt_prompt_draft_t draft;
  int32_t seldom = sim_draw (sim, sim->options.seldom);
  int32_t popular = sim_draw (sim, 1 + sim_draw (sim, sim->options.seldom));
  int32_t own = 1000000 + sim->next_own++;
  char text[32];

  bt_begin_prompt (&draft, &sim->key, "app");
  if (sim_draw (sim, 10) < 9)
    bt_add_prompt_part (&draft, "common", 6);
  for (int32_t i = 0; i < 2; i++)
    if (i == 0 || sim_draw (sim, 2) == 0)
      {
        snprintf (text, sizeof text, "s%d", i == 0 ? seldom : popular);
        bt_add_prompt_part (&draft, text, strlen (text));
      }
  if (poison >= 0)
    {
      snprintf (text, sizeof text, "p%d", poison);
      bt_add_prompt_part (&draft, text, strlen (text));
    }
  snprintf (text, sizeof text, "o%d", own);
  bt_add_prompt_part (&draft, text, strlen (text));
  return bt_finish_prompt (sim->ctx, &draft);
}

static bool
sim_runs (const sim_t *sim, const sim_entry_t *entry)
{
  return sim->now_ms >= entry->frozen_until_ms;
}

static bool
sim_reaches_list (const sim_t *sim, const sim_entry_t *entry)
{
  return sim_runs (sim, entry) && sim->now_ms >= entry->cut_until_ms
         && sim->now_ms >= sim->away_until_ms;
}

static bool
sim_in_touch (const sim_t *sim, const sim_entry_t *entry)
{
  return sim->now_ms - entry->calm_since_ms > SIM_STABLE_MS
         && sim->now_ms - sim->list_calm_ms > SIM_STABLE_MS;
}

static bt_part_table_t *
sim_new_table (sim_t *sim, int32_t entry)
{
  static char names[SIM_MAX_ENTRIES][16];
  bt_part_options_t options;

  snprintf (names[entry], sizeof names[entry], "e-%d", entry);
  bt_default_part_options (&options);
  options.instance = names[entry];
  options.seed = sim->options.seed;
  if (sim->options.hasty)
    {
      options.trial_ms = SIM_STABLE_MS;
      options.trial_factor = 1;
    }
  return bt_new_part_table (sim->ctx, &options);
}

/* Copies the parts of an end. The list and its backup may share them, so all are freed at the end.
 */
static bt_end_part_t *
sim_keep_parts (sim_t *sim, const bt_part_end_t *end)
{
  bt_end_part_t *parts = bt_memdup (sim->ctx, end->parts, (size_t)end->count * sizeof *end->parts);

  sim->pool =
      bt_realloc (sim->ctx, sim->pool, (size_t)sim->pool_count + 1, sizeof (bt_end_part_t *));
  sim->pool[sim->pool_count++] = parts;
  return parts;
}

static void
sim_store_end (sim_t *sim, const bt_part_update_t *update)
{
  sim_list_t *list = &sim->list;
  int32_t at = 0;

  while (at < list->end_count
         && (!bt_same_identity (&list->ends[at].end.endpoint, &update->end.endpoint)
             || strcmp (list->ends[at].end.reporter, update->end.reporter) != 0))
    at++;
  if (update->kind == BT_PART_RETRACT_END)
    {
      if (at < list->end_count)
        list->ends[at] = list->ends[--list->end_count];
      return;
    }
  if (at == SIM_MAX_ITEMS)
    return;
  list->end_count += at == list->end_count ? 1 : 0;
  list->ends[at].end = update->end;
  list->ends[at].end.parts = sim_keep_parts (sim, &update->end);
  list->ends[at].revision = ++list->revision;
}

static int32_t
sim_find_mark (const sim_list_t *list, const bt_fingerprint_t *part)
{
  int32_t at = 0;

  while (at < list->mark_count && !bt_same_fingerprint (&list->marks[at].mark.part, part))
    at++;
  return at;
}

static void
sim_store_mark (sim_t *sim, const bt_part_mark_t *mark)
{
  sim_list_t *list = &sim->list;
  int32_t at = sim_find_mark (list, &mark->part);

  if (at == SIM_MAX_MARKS)
    return;
  list->mark_count += at == list->mark_count ? 1 : 0;
  list->marks[at] = (bt_listed_part_mark_t){ *mark, ++list->revision };
}

/* Writes what an entry has to share. Updates that can't be written are kept by the process in
 * reality; here the entry does not take them before it reaches the list. */
static void
sim_write_updates (sim_t *sim, sim_entry_t *entry)
{
  bt_part_update_t update;

  while (bt_take_part_update (entry->table, &update))
    {
      bool is_end = update.kind == BT_PART_PUBLISH_END || update.kind == BT_PART_RETRACT_END;

      if (is_end && sim_has (sim, SIM_SHARED_ENDS))
        sim_store_end (sim, &update);
      else if (update.kind == BT_PART_PUBLISH_MARK)
        sim_store_mark (sim, &update.mark);
      bt_clear_part_update (sim->ctx, &update);
    }
}

static void
sim_note_answered (sim_t *sim, const sim_attempt_t *attempt)
{
  bt_part_table_t *table = sim->entries[attempt->entry].table;

  if (sim_has (sim, SIM_CLEARING) && bt_has_part_suspects (table))
    bt_note_answered_parts (sim->ctx, table, attempt->parts, sim->now_ms);
}

/* While its group is stopped, no endpoint begins an answer. */
static bool
sim_has_begun (const sim_t *sim, const sim_attempt_t *attempt)
{
  int64_t at_ms = sim->now_ms;

  if (sim->options.group && sim->now_ms < sim->open_ms)
    at_ms = sim->open_ms - SIM_FORM_MS;
  return at_ms >= attempt->begin_ms + SIM_EVENT_MS;
}

static void
sim_read_list (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];
  bt_part_list_t list = { sim->list.ends, sim->list.end_count, sim->list.marks,
                          sim->list.mark_count };
  bool restored = entry->era != 0 && entry->era != sim->era;

  entry->era = sim->era;
  bt_apply_part_list (sim->ctx, entry->table, &list, restored);
  for (int32_t i = 0; i < sim->attempt_count; i++)
    if (sim->attempts[i].active && sim->attempts[i].entry == index
        && sim_has_begun (sim, &sim->attempts[i]))
      sim_note_answered (sim, &sim->attempts[i]);
  for (int32_t i = 0; i < sim->options.endpoints; i++)
    if (sim->now_ms < sim->up_ms[i])
      entry->down_known_ms[i] = sim->up_ms[i];
}

static void
sim_drop_attempt (sim_t *sim, sim_attempt_t *attempt)
{
  bt_drop_prompt_parts (sim->ctx, attempt->parts);
  memset (attempt, 0, sizeof *attempt);
}

/* An attempt breaks off, at an endpoint that ended or whose group stalled. */
static void
sim_break_attempt (sim_t *sim, sim_attempt_t *attempt, bool stalled)
{
  sim_entry_t *entry = &sim->entries[attempt->entry];
  bt_part_attempt_t broken = { .parts = attempt->parts };

  broken.endpoint = sim_identity (sim, attempt->endpoint);
  broken.begun = sim_has_begun (sim, attempt);
  broken.at_start = !broken.begun && !stalled;
  broken.answered = sim->now_ms >= attempt->begin_ms;
  broken.stalled = stalled;
  broken.sent_ms = attempt->sent_ms;
  if (!sim_has (sim, SIM_START_ONLY))
    broken.at_start = true;
  snprintf (broken.app, sizeof broken.app, "app");
  if (sim_runs (sim, entry) && !(stalled && !broken.begun))
    {
      bt_note_broken_parts (sim->ctx, entry->table, &broken, sim->now_ms);
      entry->probe_ms[attempt->endpoint] = sim->now_ms + SIM_PROBE_MS;
      entry->probed[attempt->endpoint] = attempt->incarnation;
    }
  sim_drop_attempt (sim, attempt);
}

static void
sim_end_endpoint (sim_t *sim, int32_t endpoint)
{
  if (sim->now_ms < sim->up_ms[endpoint])
    return;
  for (int32_t i = 0; i < sim->attempt_count; i++)
    if (sim->attempts[i].active && sim->attempts[i].endpoint == endpoint)
      sim_break_attempt (sim, &sim->attempts[i], false);
  sim->up_ms[endpoint] = sim->now_ms + SIM_BACK_MS + sim_draw (sim, SIM_BACK_MS);
  if (!sim->options.group)
    return;
  sim->open_ms = sim->now_ms + SIM_FORM_MS;
  if (sim->stall_end_ms < sim->now_ms)
    sim->stall_end_ms = sim->now_ms + SIM_STALL_MS;
}

static void
sim_send (sim_t *sim, int32_t entry, bt_prompt_parts_t *parts, int32_t poison)
{
  int32_t endpoint = sim_draw (sim, sim->options.endpoints);
  sim_attempt_t *attempt = NULL;

  for (int32_t i = 0; i < SIM_MAX_ATTEMPTS && attempt == NULL; i++)
    if (!sim->attempts[i].active)
      {
        attempt = &sim->attempts[i];
        sim->attempt_count = i < sim->attempt_count ? sim->attempt_count : i + 1;
      }
  if (attempt == NULL || sim->now_ms < sim->entries[entry].down_known_ms[endpoint]
      || sim->now_ms < sim->up_ms[endpoint] || sim->now_ms < sim->open_ms)
    {
      bt_drop_prompt_parts (sim->ctx, parts);
      return;
    }
  *attempt = (sim_attempt_t){ .active = true,
                              .entry = entry,
                              .endpoint = endpoint,
                              .incarnation = sim->incarnations[endpoint],
                              .parts = parts,
                              .poison = poison,
                              .sent_ms = sim->now_ms };
  attempt->begin_ms = sim->now_ms + SIM_EVENT_MS + sim_draw (sim, 150);
  attempt->end_ms = attempt->begin_ms + 300 + sim_draw (sim, 1200);
  if (poison >= 0 && sim->fifth_ms[poison] > 0
      && sim->now_ms > sim->fifth_ms[poison] + SIM_STABLE_MS
      && sim_in_touch (sim, &sim->entries[entry]))
    sim->late[poison]++;
}

/* Takes a trial from the shared count. */
static bool
sim_take_trial (sim_t *sim, sim_entry_t *entry, const bt_fingerprint_t *part)
{
  int64_t revision;
  bt_part_mark_t mark = bt_propose_part_trial (entry->table, part, sim->now_ms, &revision);
  int32_t at = sim_find_mark (&sim->list, part);
  int64_t present = at < sim->list.mark_count ? sim->list.marks[at].revision : 0;

  if (!sim_has (sim, SIM_SHARED_TRIALS))
    mark.trials = 0;
  else if (!sim_reaches_list (sim, entry) || revision != present)
    return false;
  else
    sim_store_mark (sim, &mark);
  bt_record_part_mark (sim->ctx, entry->table, &mark);
  sim->result.trials++;
  return true;
}

static void
sim_arrive (sim_t *sim, int32_t poison)
{
  int32_t index = sim_draw (sim, sim->options.entries);
  sim_entry_t *entry = &sim->entries[index];
  bt_prompt_parts_t *parts = sim_make_parts (sim, poison);
  bt_part_judgement_t judgement;
  bool learned = sim->last_ms > 0 && sim->now_ms > sim->last_ms + SIM_LEARNING_MS;
  bool runs;

  if (!sim_runs (sim, entry))
    {
      bt_drop_prompt_parts (sim->ctx, parts);
      return;
    }
  bt_judge_parts (entry->table, parts, sim->options.group, sim->now_ms, &judgement);
  runs = judgement.verdict == BT_PART_RUN
         || (judgement.verdict == BT_PART_TRY && sim_take_trial (sim, entry, &judgement.part));
  if (poison < 0)
    {
      sim->result.all_wanted++;
      sim->result.all_refused += runs ? 0 : 1;
      sim->result.sound_wanted += learned ? 1 : 0;
      sim->result.sound_refused += learned && !runs ? 1 : 0;
    }
  if (runs)
    sim_send (sim, index, parts, poison);
  else
    bt_drop_prompt_parts (sim->ctx, parts);
}

static void
sim_run_attempt (sim_t *sim, sim_attempt_t *attempt)
{
  sim_entry_t *entry = &sim->entries[attempt->entry];

  if (sim->options.group && sim->now_ms < sim->open_ms)
    {
      if (sim->now_ms >= sim->stall_end_ms)
        sim_break_attempt (sim, attempt, true);
      return;
    }
  if (sim->now_ms < attempt->begin_ms)
    return;
  if (attempt->poison >= 0)
    {
      int32_t poison = attempt->poison;

      sim->ends[poison]++;
      sim->last_ms = sim->now_ms;
      if (sim->ends[poison] == SIM_FIFTH)
        sim->fifth_ms[poison] = sim->now_ms;
      sim_end_endpoint (sim, attempt->endpoint);
      return;
    }
  if (!attempt->survival_noted && sim_runs (sim, entry))
    {
      bt_identity_t endpoint = sim_identity (sim, attempt->endpoint);

      attempt->survival_noted = true;
      bt_note_part_survival (sim->ctx, entry->table, &endpoint, attempt->sent_ms, sim->now_ms);
    }
  if (sim->now_ms < attempt->end_ms)
    return;
  if (sim_runs (sim, entry))
    sim_note_answered (sim, attempt);
  sim_drop_attempt (sim, attempt);
}

static void
sim_run_probes (sim_t *sim, sim_entry_t *entry)
{
  for (int32_t i = 0; i < sim->options.endpoints; i++)
    {
      bt_identity_t endpoint = sim_identity (sim, i);

      if (entry->probe_ms[i] == 0 || sim->now_ms < entry->probe_ms[i])
        continue;
      entry->probe_ms[i] = 0;
      if (sim->now_ms >= sim->up_ms[i] || entry->probed[i] != sim->incarnations[i])
        continue;
      entry->down_known_ms[i] = sim->up_ms[i];
      bt_note_part_end (sim->ctx, entry->table, &endpoint, sim->now_ms);
    }
}

static void
sim_restart_entry (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];

  for (int32_t i = 0; i < sim->attempt_count; i++)
    if (sim->attempts[i].active && sim->attempts[i].entry == index && sim->attempts[i].poison < 0)
      sim_drop_attempt (sim, &sim->attempts[i]);
  bt_drop_part_table (sim->ctx, entry->table);
  memset (entry, 0, sizeof *entry);
  entry->table = sim_new_table (sim, index);
  entry->calm_since_ms = sim->now_ms;
  sim_read_list (sim, index);
}

static void
sim_restore_list (sim_t *sim)
{
  sim->list = sim->backup;
  sim->era++;
  sim->list_calm_ms = sim->now_ms;
}

static void
sim_apply_faults (sim_t *sim)
{
  sim_entry_t *entry = &sim->entries[sim_draw (sim, sim->options.entries)];

  if (sim_happens (sim, 4000))
    {
      entry->frozen_until_ms = sim->now_ms + sim_draw (sim, 3000);
      entry->calm_since_ms = entry->frozen_until_ms;
    }
  if (sim_happens (sim, 4000))
    {
      entry->cut_until_ms = sim->now_ms + sim_draw (sim, 5000);
      entry->calm_since_ms = entry->cut_until_ms;
    }
  if (sim_happens (sim, 5000) && sim->now_ms >= sim->away_until_ms)
    sim_restart_entry (sim, sim_draw (sim, sim->options.entries));
  if (sim_happens (sim, 25000) && sim->now_ms >= sim->away_until_ms)
    for (int32_t i = 0; i < sim->options.entries; i++)
      sim_restart_entry (sim, i);
  if (sim_happens (sim, 10000))
    {
      sim->away_until_ms = sim->now_ms + sim_draw (sim, 4000);
      sim->list_calm_ms = sim->away_until_ms;
    }
  if (sim_happens (sim, 8000))
    sim->backup = sim->list;
  if (sim_happens (sim, 15000))
    sim_restore_list (sim);
}

static void
sim_note_held (sim_t *sim)
{
  int32_t count;
  const bt_accused_part_t *parts =
      bt_get_accused_parts (sim->entries[sim_draw (sim, sim->options.entries)].table, &count);

  for (int32_t i = 0; i < count; i++)
    {
      int32_t at = 0;

      if (!bt_is_part_held (sim->entries[0].table, &parts[i], sim->options.group)
          || bt_same_fingerprint (&parts[i].part, &sim->poison_parts[0])
          || bt_same_fingerprint (&parts[i].part, &sim->poison_parts[1]))
        continue;
      while (at < sim->held_count && !bt_same_fingerprint (&sim->held[at], &parts[i].part))
        at++;
      if (at == sim->held_count && at < SIM_MAX_MARKS)
        sim->held[sim->held_count++] = parts[i].part;
    }
}

static void
sim_step (sim_t *sim)
{
  const sim_options_t *options = &sim->options;
  /* Requests take about a second. */
  int64_t sound_per_s = (int64_t)options->beside * options->endpoints;

  sim->now_ms += SIM_STEP_MS;
  while (sim->attempt_count > 0 && !sim->attempts[sim->attempt_count - 1].active)
    sim->attempt_count--;
  for (int32_t i = 0; i < options->endpoints; i++)
    if (sim->up_ms[i] > 0 && sim->now_ms >= sim->up_ms[i]
        && sim->now_ms - SIM_STEP_MS < sim->up_ms[i])
      sim->incarnations[i]++;
  if (options->faults)
    sim_apply_faults (sim);
  for (int64_t i = sound_per_s * SIM_STEP_MS; i > 0; i -= 1000)
    if (i >= 1000 || sim_draw (sim, 1000) < i)
      sim_arrive (sim, -1);
  for (int32_t i = 0; i < options->poisons; i++)
    if (sim->now_ms >= sim->next_poison_ms[i])
      {
        sim->next_poison_ms[i] = sim->now_ms + options->poison_interval_ms / 2
                                 + sim_draw (sim, options->poison_interval_ms);
        sim_arrive (sim, i);
      }
  if (sim_happens (sim, options->crash_interval_ms))
    sim_end_endpoint (sim, sim_draw (sim, options->endpoints));
  if (sim_happens (sim, options->power_interval_ms))
    for (int32_t i = 0; i < options->endpoints; i += 3)
      sim_end_endpoint (sim, i);
  for (int32_t i = 0; i < sim->attempt_count; i++)
    if (sim->attempts[i].active)
      sim_run_attempt (sim, &sim->attempts[i]);
  for (int32_t i = 0; i < options->entries; i++)
    {
      sim_entry_t *entry = &sim->entries[i];

      if (sim_runs (sim, entry))
        sim_run_probes (sim, entry);
      if (sim_reaches_list (sim, entry))
        sim_write_updates (sim, entry);
      if (!sim_reaches_list (sim, entry) || sim->now_ms < entry->next_list_ms)
        continue;
      entry->next_list_ms = sim->now_ms + SIM_EVENT_MS + sim_draw (sim, 500);
      sim_read_list (sim, i);
    }
  sim_note_held (sim);
}

/** Plays one seed and returns what it showed. */
static sim_result_t
sim_play (bt_context_t *ctx, const sim_options_t *options)
{
  static sim_t sim;
  sim_result_t result;

  memset (&sim, 0, sizeof sim);
  sim.options = *options;
  sim.ctx = ctx;
  sim.era = 1;
  bt_seed_random (&sim.random, options->seed);
  bt_derive_fingerprint_key ("secret", &sim.key);
  for (int32_t i = 0; i < SIM_MAX_POISONS; i++)
    {
      bt_request_content_t content = { "", "prompt part", "app", i == 0 ? "p0" : "p1", 2 };

      bt_make_fingerprint (&sim.key, &content, &sim.poison_parts[i]);
      sim.next_poison_ms[i] = SIM_STABLE_MS;
    }
  for (int32_t i = 0; i < options->entries; i++)
    sim.entries[i].table = sim_new_table (&sim, i);
  while (sim.now_ms < options->length_ms)
    sim_step (&sim);
  result = sim.result;
  for (int32_t i = 0; i < options->poisons; i++)
    {
      result.poison_ends += sim.ends[i];
      result.late = sim.late[i] > result.late ? sim.late[i] : result.late;
    }
  result.sound_held = sim.held_count;
  for (int32_t i = 0; i < sim.attempt_count; i++)
    if (sim.attempts[i].active)
      sim_drop_attempt (&sim, &sim.attempts[i]);
  for (int32_t i = 0; i < options->entries; i++)
    bt_drop_part_table (ctx, sim.entries[i].table);
  for (int32_t i = 0; i < sim.pool_count; i++)
    bt_free (ctx, sim.pool[i]);
  bt_free (ctx, sim.pool);
  return result;
}

#endif
