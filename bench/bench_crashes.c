/** @file
 * Measures what the crash protection costs an instance: the time of a fingerprint by the size of
 * the body, and the times of a lookup and of applying the shared list by the number of known
 * crashes; and the same for the parts of a prompt. Run with `make bench-crashes`.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/requests/crash_table.h"
#include "bilberrytray/requests/part_table.h"
#include "harness_cpu.h"

enum
{
  REPEATS = 20000,
  UPDATES = 200,
  MAX_CRASHES = 4096,
  MAX_BODY_BYTES = 65536,
  MIN_PARTS = 10,
  MAX_PARTS = 1000,
  PARTS_STEP = 10,
  PARTS_OF_AN_END = 10,
  PARTS_OF_A_PROMPT = 3,
};

static void
measure_fingerprint (size_t body_bytes)
{
  static char body[MAX_BODY_BYTES];
  bt_request_content_t content = { "account", "POST", "/orders/draft", body, body_bytes };
  bt_fingerprint_key_t key;
  bt_fingerprint_t fingerprint;
  double start_us;

  bt_derive_fingerprint_key ("secret", &key);
  start_us = bt_read_cpu_us ();
  for (int32_t i = 0; i < REPEATS; i++)
    {
      body[0] = (char)i;
      bt_make_fingerprint (&key, &content, &fingerprint);
    }
  printf ("fingerprint of %6zu B: %8.2f us\n", body_bytes,
          (bt_read_cpu_us () - start_us) / REPEATS);
}

static bt_listed_crash_t
make_crash (int32_t number)
{
  bt_listed_crash_t listed;

  memset (&listed, 0, sizeof listed);
  listed.revision = number + 1;
  memcpy (listed.crash.request.bytes, &number, sizeof number);
  snprintf (listed.crash.endpoint.instance, sizeof listed.crash.endpoint.instance, "i-%d", number);
  return listed;
}

static void
measure_table (bt_context_t *ctx, int32_t crashes)
{
  static bt_listed_crash_t listed[MAX_CRASHES];
  bt_crash_options_t options;
  bt_crash_table_t *table;
  double start_us;
  double update_us;
  int64_t retry_after_ms;
  int32_t refused = 0;

  bt_default_crash_options (&options);
  table = bt_new_crash_table (ctx, &options);
  for (int32_t i = 0; i < crashes; i++)
    listed[i] = make_crash (i);
  start_us = bt_read_cpu_us ();
  for (int32_t i = 0; i < UPDATES; i++)
    bt_apply_listed_crashes (ctx, table, listed, crashes, i);
  update_us = (bt_read_cpu_us () - start_us) / UPDATES;
  start_us = bt_read_cpu_us ();
  for (int32_t i = 0; i < REPEATS; i++)
    refused +=
        bt_judge_request (table, &listed[i % crashes].crash.request, true, 0, &retry_after_ms)
                == BT_CRASH_REFUSE
            ? 1
            : 0;
  printf ("%5d crashes known: look-up %6.3f us, list %9.1f us, %d refused\n", crashes,
          (bt_read_cpu_us () - start_us) / REPEATS, update_us, refused);
  bt_drop_crash_table (ctx, table);
}

static bt_prompt_parts_t *
make_prompt (bt_context_t *ctx, const bt_fingerprint_key_t *key, int32_t number, int32_t parts)
{
  static bt_prompt_draft_t draft;

  bt_begin_prompt (&draft, key, "app");
  for (int32_t i = 0; i <= parts; i++)
    {
      int32_t id = number * parts + i;

      bt_add_prompt_part (&draft, (const char *)&id, sizeof id);
    }
  return bt_finish_prompt (ctx, &draft);
}

/* Measures what a request costs while parts of prompts are known, and while none is. */
static void
measure_parts (bt_context_t *ctx, int32_t accused)
{
  bt_part_options_t options;
  bt_part_table_t *table;
  bt_fingerprint_key_t key;
  bt_prompt_parts_t *prompt;
  bt_part_judgement_t judgement;
  double start_us;
  double read_us;
  int32_t held = 0;

  bt_default_part_options (&options);
  table = bt_new_part_table (ctx, &options);
  bt_derive_fingerprint_key ("secret", &key);
  for (int32_t i = 0; i < accused; i += PARTS_OF_AN_END)
    {
      bt_part_attempt_t attempt = { .at_start = true };

      attempt.parts = make_prompt (ctx, &key, i / PARTS_OF_AN_END, PARTS_OF_AN_END);
      snprintf (attempt.endpoint.instance, sizeof attempt.endpoint.instance, "i-%d", i);
      bt_note_broken_parts (ctx, table, &attempt, i);
      bt_note_part_end (ctx, table, &attempt.endpoint, i);
      bt_drop_prompt_parts (ctx, attempt.parts);
    }
  prompt = make_prompt (ctx, &key, 0, PARTS_OF_A_PROMPT);
  start_us = bt_read_cpu_us ();
  for (int32_t i = 0; i < REPEATS; i++)
    bt_drop_prompt_parts (ctx, make_prompt (ctx, &key, i, PARTS_OF_A_PROMPT));
  read_us = (bt_read_cpu_us () - start_us) / REPEATS;
  start_us = bt_read_cpu_us ();
  for (int32_t i = 0; i < REPEATS; i++)
    {
      bt_judge_parts (table, prompt, true, 0, &judgement);
      held += judgement.verdict == BT_PART_RUN ? 0 : 1;
    }
  printf ("%5d parts known: hash of %d parts %6.3f us, look-up of them %6.3f us, %d held\n",
          accused, PARTS_OF_A_PROMPT, read_us, (bt_read_cpu_us () - start_us) / REPEATS, held);
  bt_drop_prompt_parts (ctx, prompt);
  bt_drop_part_table (ctx, table);
}

int
main (void)
{
  bt_context_t *ctx = bt_new_context ();

  for (size_t bytes = 256; bytes <= MAX_BODY_BYTES; bytes *= 4)
    measure_fingerprint (bytes);
  for (int32_t crashes = 16; crashes <= MAX_CRASHES; crashes *= 4)
    measure_table (ctx, crashes);
  bt_set_log_level (ctx, -1);
  measure_parts (ctx, 0);
  for (int32_t parts = MIN_PARTS; parts <= MAX_PARTS; parts *= PARTS_STEP)
    measure_parts (ctx, parts);
  bt_drop_context (ctx);
  return 0;
}
