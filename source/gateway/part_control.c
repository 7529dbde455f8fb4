#include "part_control.h"

#include <inttypes.h>
#include <pthread.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "part_items.h"
#include "part_trials.h"

enum
{
  EXPIRY_INTERVAL_MS = 5000,
  MS_PER_S = 1000,
  TIME_BYTES = 32,
  /* Endpoints that a log line names. */
  MAX_LOGGED_ENDS = 4,
  ENDS_TEXT_BYTES = MAX_LOGGED_ENDS * (BT_NAME_BYTES + 1),
  /* Parts that are logged, or printed for operators, at once. */
  MAX_SHOWN_PARTS = 16,
};

/** A part that was held when the table was looked at last. */
typedef struct held_part
{
  bt_fingerprint_t part;
  int32_t ends;
} held_part_t;

struct bt_part_control
{
  bt_part_trials_handler_t trial_handler; /* must be first: handle_trial casts it */
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_part_control_options_t options;
  bt_part_table_t *table;
  bt_part_trials_t *trials;
  bt_timer_t expire_timer;
  bt_counter_t *accused_gauge;
  bt_counter_t *held_gauge;
  bt_counter_t *granted;
  bt_counter_t *denied;
  int64_t era;       /* of the store in the last view; 0: none */
  int64_t version;   /* of the table when it was looked at last */
  held_part_t *held; /* sorted by part */
  int32_t held_count;
  /* Lock order: acquired last. */
  pthread_mutex_t lock; /* guards the member below */
  char *status;         /* text for operators; NULL: no part is accused */
};

static bool
stops_group (const bt_part_control_t *control, const char *app)
{
  return bt_has_groups (control->options.outages, app);
}

static void
report_update (bt_part_control_t *control, const bt_part_update_t *update)
{
  bt_context_t *ctx = control->ctx;
  bool is_end = update->kind == BT_PART_PUBLISH_END || update->kind == BT_PART_RETRACT_END;
  char key[BT_CRASH_KEY_BYTES];
  char *value = NULL;

  if (is_end)
    bt_write_part_end_key (&update->end, key);
  else
    bt_write_part_mark_key (&update->mark, key);
  if (update->kind == BT_PART_PUBLISH_END)
    value = bt_write_part_end_value (ctx, &update->end);
  else if (update->kind == BT_PART_PUBLISH_MARK)
    value = bt_write_part_mark_value (ctx, &update->mark);
  bt_report_crash_item (control->options.reporter, key, value);
  if (update->kind == BT_PART_PUBLISH_END)
    bt_log_event (ctx, BT_LOG_INFO, "part-end", "{s:s, s:I, s:I, s:i}", "endpoint",
                  update->end.endpoint.instance, "started_ms",
                  (json_int_t)update->end.endpoint.incarnation, "ended_ms",
                  (json_int_t)update->end.ended_ms, "parts", update->end.count);
}

/* Writes the endpoints that ended under a part, separated by commas; the first MAX_LOGGED_ENDS. */
static void
write_ends (const bt_part_control_t *control,
            const bt_fingerprint_t *part,
            char text[ENDS_TEXT_BYTES])
{
  const bt_part_end_t *end;
  size_t bytes = 0;
  int32_t index = 0;
  int32_t count = 0;

  text[0] = '\0';
  while (count < MAX_LOGGED_ENDS
         && (end = bt_find_accusing_end (control->table, part, &index)) != NULL)
    bytes += (size_t)snprintf (text + bytes, ENDS_TEXT_BYTES - bytes, "%s%s",
                               count++ == 0 ? "" : ",", end->endpoint.instance);
}

static void
log_held (const bt_part_control_t *control, const bt_accused_part_t *part)
{
  char text[BT_FINGERPRINT_TEXT_BYTES];
  char ends[ENDS_TEXT_BYTES];

  bt_write_fingerprint (&part->part, text);
  write_ends (control, &part->part, ends);
  bt_log_event (
      control->ctx, BT_LOG_WARNING, "part-held", "{s:s, s:s, s:i, s:i, s:s, s:i, s:I}", "part",
      text, "app", part->app, "ends", part->ends, "moments", part->events, "endpoints", ends,
      "trials", part->trials, "trial_ms",
      (json_int_t)bt_get_part_trial_ms (control->table, part, stops_group (control, part->app)));
}

static void
log_released (const bt_part_control_t *control, const held_part_t *held)
{
  char text[BT_FINGERPRINT_TEXT_BYTES];

  bt_write_fingerprint (&held->part, text);
  bt_log_event (control->ctx, BT_LOG_INFO, "part-released", "{s:s}", "part", text);
}

static const held_part_t *
find_held (const held_part_t *held, int32_t count, const bt_fingerprint_t *part)
{
  return count == 0 ? NULL
                    : bsearch (part, held, (size_t)count, sizeof *held, bt_compare_fingerprints);
}

/* Logs which parts are held since the last call, or under more ends, and which no longer. */
static void
log_changes (bt_part_control_t *control)
{
  int32_t count;
  int32_t logged = 0;
  const bt_accused_part_t *parts = bt_get_accused_parts (control->table, &count);
  held_part_t *held = bt_calloc (control->ctx, (size_t)count + 1, sizeof *held);
  int32_t held_count = 0;

  for (int32_t i = 0; i < count; i++)
    {
      const held_part_t *before = find_held (control->held, control->held_count, &parts[i].part);

      if (!bt_is_part_held (control->table, &parts[i], stops_group (control, parts[i].app)))
        continue;
      held[held_count++] = (held_part_t){ parts[i].part, parts[i].ends };
      if ((before == NULL || before->ends < parts[i].ends) && logged++ < MAX_SHOWN_PARTS)
        log_held (control, &parts[i]);
    }
  for (int32_t i = 0; i < control->held_count; i++)
    if (find_held (held, held_count, &control->held[i].part) == NULL && logged++ < MAX_SHOWN_PARTS)
      log_released (control, &control->held[i]);
  bt_free (control->ctx, control->held);
  control->held = held;
  control->held_count = held_count;
  bt_set_gauge (control->accused_gauge, count);
  bt_set_gauge (control->held_gauge, held_count);
}

static void
write_time (int64_t unix_ms, char text[TIME_BYTES])
{
  time_t seconds = (time_t)(unix_ms / MS_PER_S);
  struct tm parts;
  size_t bytes;

  gmtime_r (&seconds, &parts);
  bytes = strftime (text, TIME_BYTES, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (text + bytes, TIME_BYTES - bytes, ".%03dZ", (int)(unix_ms % MS_PER_S));
}

static void
print_part (const bt_part_control_t *control, const bt_accused_part_t *part, FILE *out)
{
  bool groups = stops_group (control, part->app);
  int64_t trial_ms = bt_get_part_trial_ms (control->table, part, groups);
  const bt_part_end_t *end;
  char text[BT_FINGERPRINT_TEXT_BYTES];
  char time_text[TIME_BYTES];
  int32_t index = 0;

  bt_write_fingerprint (&part->part, text);
  write_time (trial_ms, time_text);
  fprintf (out, "part %s (%s): %d ends, %d trials, ", text, part->app, part->ends, part->trials);
  if (!bt_is_part_held (control->table, part, groups))
    fprintf (out, "not held\n");
  else if (trial_ms == 0)
    fprintf (out, "refused, no trial is left\n");
  else
    fprintf (out, "held, next trial from %s\n", time_text);
  for (int32_t i = 0; i < MAX_LOGGED_ENDS
                      && (end = bt_find_accusing_end (control->table, &part->part, &index)) != NULL;
       i++)
    {
      write_time (end->ended_ms, time_text);
      fprintf (out, "  %s (start %" PRIu64 ") ended %s, reported by %s\n", end->endpoint.instance,
               end->endpoint.incarnation, time_text, end->reporter);
    }
}

static char *
write_status (const bt_part_control_t *control)
{
  int32_t count;
  const bt_accused_part_t *parts = bt_get_accused_parts (control->table, &count);
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = count == 0 ? NULL : open_memstream (&text, &bytes);
  int32_t shown = 0;

  if (out == NULL)
    return NULL;
  for (int32_t i = 0; i < count && shown < MAX_SHOWN_PARTS; i++)
    if (bt_is_part_held (control->table, &parts[i], stops_group (control, parts[i].app)))
      {
        print_part (control, &parts[i], out);
        shown++;
      }
  fprintf (out, "%d parts of prompts are accused, %d of them held, %d shown.\n", count,
           control->held_count, shown);
  fclose (out);
  return text;
}

/* Shares, logs and shows what has changed in the table. */
static void
publish_changes (bt_part_control_t *control)
{
  bt_part_update_t update;
  char *status;

  while (bt_take_part_update (control->table, &update))
    {
      report_update (control, &update);
      bt_clear_part_update (control->ctx, &update);
    }
  if (control->version == bt_get_part_version (control->table))
    return;
  control->version = bt_get_part_version (control->table);
  log_changes (control);
  status = write_status (control);
  pthread_mutex_lock (&control->lock);
  free (control->status);
  control->status = status;
  pthread_mutex_unlock (&control->lock);
}

static void
expire (bt_timer_t *timer)
{
  bt_part_control_t *control =
      (bt_part_control_t *)((char *)timer - offsetof (bt_part_control_t, expire_timer));
  int64_t now_ms = bt_get_loop_ms (control->loop);

  bt_set_part_clock_offset (control->table, bt_read_wall_ms () - now_ms);
  bt_expire_parts (control->ctx, control->table, now_ms);
  publish_changes (control);
  bt_set_timer (control->loop, timer, now_ms + EXPIRY_INTERVAL_MS);
}

static void
handle_trial (bt_part_trials_handler_t *handler,
              uint64_t request,
              const bt_part_mark_t *mark,
              bool granted)
{
  bt_part_control_t *control = (bt_part_control_t *)handler;

  bt_add_counter (granted ? control->granted : control->denied, 1);
  if (granted)
    {
      bt_record_part_mark (control->ctx, control->table, mark);
      publish_changes (control);
    }
  control->options.handler->on_trial (control->options.handler, request, granted);
}

static bt_counter_t *
find_trial_counter (bt_context_t *ctx, const char *outcome)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_part_trials_total",
                          "Trials of held parts of prompts that this instance asked for.",
                          "outcome", outcome);
}

bt_part_control_t *
bt_new_part_control (bt_context_t *ctx,
                     bt_event_loop_t *loop,
                     const bt_part_control_options_t *options)
{
  bt_part_control_t *control = bt_calloc (ctx, 1, sizeof *control);
  bt_part_options_t table;

  bt_default_part_options (&table);
  table.instance = options->instance;
  bt_fill_secure_random (&table.seed, sizeof table.seed);
  control->ctx = ctx;
  control->loop = loop;
  control->options = *options;
  control->table = bt_new_part_table (ctx, &table);
  bt_set_part_clock_offset (control->table, bt_read_wall_ms () - bt_get_loop_ms (loop));
  control->trial_handler.on_trial = handle_trial;
  control->trials =
      bt_new_part_trials (ctx, loop, options->platform, options->store, &control->trial_handler);
  control->accused_gauge =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_accused_parts",
                       "Parts of prompts under which endpoints ended.", NULL, NULL);
  control->held_gauge = bt_find_counter (ctx, BT_GAUGE, "bilberry_held_parts",
                                         "Accused parts whose requests are refused.", NULL, NULL);
  control->granted = find_trial_counter (ctx, "granted");
  control->denied = find_trial_counter (ctx, "denied");
  pthread_mutex_init (&control->lock, NULL);
  control->expire_timer.on_expiry = expire;
  bt_set_timer (loop, &control->expire_timer, bt_get_loop_ms (loop) + EXPIRY_INTERVAL_MS);
  return control;
}

void
bt_drop_part_control (bt_context_t *ctx, bt_part_control_t *control)
{
  if (control == NULL)
    return;
  bt_clear_timer (control->loop, &control->expire_timer);
  bt_drop_part_trials (ctx, control->trials);
  bt_drop_part_table (ctx, control->table);
  bt_free (ctx, control->held);
  free (control->status);
  pthread_mutex_destroy (&control->lock);
  bt_free (ctx, control);
}

bool
bt_set_listed_parts (bt_part_control_t *control, const bt_view_t *view)
{
  bool restored = control->era != 0 && control->era != view->era;
  int64_t version = bt_get_part_version (control->table);

  control->era = view->era;
  bt_apply_part_list (control->ctx, control->table, &view->parts, restored);
  publish_changes (control);
  return bt_get_part_version (control->table) != version;
}

void
bt_report_broken_parts (bt_part_control_t *control, const bt_part_attempt_t *attempt)
{
  bt_note_broken_parts (control->ctx, control->table, attempt, bt_get_loop_ms (control->loop));
  publish_changes (control);
}

void
bt_report_part_end (bt_part_control_t *control, const bt_identity_t *endpoint)
{
  bt_note_part_end (control->ctx, control->table, endpoint, bt_get_loop_ms (control->loop));
  publish_changes (control);
}

void
bt_report_part_survival (bt_part_control_t *control, const bt_identity_t *endpoint, int64_t sent_ms)
{
  bt_note_part_survival (control->ctx, control->table, endpoint, sent_ms,
                         bt_get_loop_ms (control->loop));
  publish_changes (control);
}

void
bt_report_answered_parts (bt_part_control_t *control, const bt_prompt_parts_t *parts)
{
  bt_note_answered_parts (control->ctx, control->table, parts, bt_get_loop_ms (control->loop));
  publish_changes (control);
}

bool
bt_has_listed_parts (const bt_part_control_t *control)
{
  return bt_has_accused_parts (control->table);
}

bool
bt_needs_part_answers (const bt_part_control_t *control)
{
  return bt_has_part_suspects (control->table);
}

void
bt_check_parts (bt_part_control_t *control,
                const bt_prompt_parts_t *parts,
                const char *app,
                bt_part_judgement_t *judgement)
{
  bt_judge_parts (control->table, parts, stops_group (control, app), bt_get_loop_ms (control->loop),
                  judgement);
}

bool
bt_ask_part_trial (bt_part_control_t *control, const bt_fingerprint_t *part, uint64_t request)
{
  int64_t revision;
  bt_part_mark_t mark =
      bt_propose_part_trial (control->table, part, bt_get_loop_ms (control->loop), &revision);

  return bt_take_part_trial (control->trials, request, &mark, revision);
}

void
bt_print_part_status (bt_part_control_t *control, FILE *out)
{
  pthread_mutex_lock (&control->lock);
  fprintf (out, "%s",
           control->status == NULL ? "No part of a prompt is accused.\n" : control->status);
  pthread_mutex_unlock (&control->lock);
}
