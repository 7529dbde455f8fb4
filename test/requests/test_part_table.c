#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/requests/part_table.h"

enum
{
  UNIX_MS = 1000000000,
  TRIAL_MS = 60000,
  MANY_ENDS = 400,
  MAX_ENDS = 32,
  JUDGED = 64,
};

/* Two ends this far apart are separate moments. */
static const int64_t moment_ms = 3000;

static bt_context_t *ctx;
static bt_fingerprint_key_t key;

static bt_part_table_t *
make_table (const char *instance)
{
  bt_part_options_t options;
  bt_part_table_t *table;

  bt_default_part_options (&options);
  options.instance = instance;
  options.max_ends = MAX_ENDS;
  table = bt_new_part_table (ctx, &options);
  bt_set_part_clock_offset (table, UNIX_MS);
  return table;
}

/* Makes the shared parts of a prompt: one for each letter. */
static bt_prompt_parts_t *
make_parts (const char *letters)
{
  static bt_prompt_draft_t draft;

  bt_begin_prompt (&draft, &key, "app");
  for (const char *at = letters; *at != '\0'; at++)
    bt_add_prompt_part (&draft, at, 1);
  bt_add_prompt_part (&draft, "its own", strlen ("its own"));
  return bt_finish_prompt (ctx, &draft);
}

static bt_identity_t
make_endpoint (int32_t number)
{
  bt_identity_t endpoint = { .incarnation = 1 };

  snprintf (endpoint.instance, sizeof endpoint.instance, "i-%d", number);
  return endpoint;
}

static void
break_attempt (
    bt_part_table_t *table, const char *letters, int32_t endpoint, bool begun, int64_t now_ms)
{
  bt_part_attempt_t attempt = { .parts = make_parts (letters),
                                .endpoint = make_endpoint (endpoint),
                                .app = "app",
                                .at_start = !begun,
                                .begun = begun,
                                .answered = true,
                                .sent_ms = now_ms - 100 };

  bt_note_broken_parts (ctx, table, &attempt, now_ms);
  bt_drop_prompt_parts (ctx, attempt.parts);
}

static void
end_endpoint (bt_part_table_t *table, int32_t number, int64_t now_ms)
{
  bt_identity_t endpoint = make_endpoint (number);

  bt_note_part_end (ctx, table, &endpoint, now_ms);
}

static void
crash (bt_part_table_t *table, const char *letters, int32_t endpoint, int64_t now_ms)
{
  break_attempt (table, letters, endpoint, false, now_ms);
  end_endpoint (table, endpoint, now_ms + 30);
}

static void
answer (bt_part_table_t *table, const char *letters, int64_t now_ms)
{
  bt_prompt_parts_t *parts = make_parts (letters);

  bt_note_answered_parts (ctx, table, parts, now_ms);
  bt_drop_prompt_parts (ctx, parts);
}

static bt_part_judgement_t
judge_fully (bt_part_table_t *table, const char *letters, bool group, int64_t now_ms)
{
  bt_prompt_parts_t *parts = make_parts (letters);
  bt_part_judgement_t judgement;

  bt_judge_parts (table, parts, group, now_ms, &judgement);
  bt_drop_prompt_parts (ctx, parts);
  return judgement;
}

static bt_part_verdict_t
judge (bt_part_table_t *table, const char *letters, bool group, int64_t now_ms)
{
  return judge_fully (table, letters, group, now_ms).verdict;
}

/** The list that all instances share. */
static bt_listed_part_end_t listed_ends[MANY_ENDS];
static bt_listed_part_mark_t listed_marks[MANY_ENDS];
static bt_part_list_t list = { listed_ends, 0, listed_marks, 0 };
static int64_t revision;

static void
clear_list (void)
{
  for (int32_t i = 0; i < list.end_count; i++)
    bt_free (ctx, listed_ends[i].end.parts);
  list.end_count = 0;
  list.mark_count = 0;
}

static void
list_mark (const bt_part_mark_t *mark)
{
  int32_t at = 0;

  while (at < list.mark_count && !bt_same_fingerprint (&listed_marks[at].mark.part, &mark->part))
    at++;
  list.mark_count += at == list.mark_count ? 1 : 0;
  listed_marks[at] = (bt_listed_part_mark_t){ *mark, ++revision };
}

/* Moves what a table has to share into the list; returns how many updates there were. */
static int32_t
share (bt_part_table_t *table)
{
  bt_part_update_t update;
  int32_t count = 0;

  for (; bt_take_part_update (table, &update); count++)
    {
      if (update.kind == BT_PART_PUBLISH_END)
        {
          listed_ends[list.end_count++] = (bt_listed_part_end_t){ update.end, ++revision };
          continue;
        }
      if (update.kind == BT_PART_PUBLISH_MARK)
        list_mark (&update.mark);
      bt_clear_part_update (ctx, &update);
    }
  return count;
}

/* Guards against a part that crashes one endpoint after the other under ever new requests. */
static void
test_common_part_of_two_ends_is_held (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "abx", 0, 0);
  CU_ASSERT_EQUAL (judge (table, "x", false, moment_ms), BT_PART_RUN);
  crash (table, "cdx", 1, moment_ms);
  CU_ASSERT_EQUAL (judge (table, "ex", false, moment_ms + 100), BT_PART_HOLD);
  CU_ASSERT_EQUAL (judge (table, "abcde", false, moment_ms + 100), BT_PART_RUN);
  crash (table, "x", 2, 2 * moment_ms);
  CU_ASSERT_EQUAL (judge (table, "x", false, 2 * moment_ms + 100), BT_PART_REFUSE);
  CU_ASSERT_EQUAL (judge_fully (table, "x", false, 2 * moment_ms + 100).ends, 3);
  bt_drop_part_table (ctx, table);
}

/* Guards against refusing sound parts for good that ran beside the part at fault at two ends. */
static void
test_most_accused_part_explains_its_ends (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "ax", 0, 0);
  crash (table, "ax", 1, moment_ms);
  CU_ASSERT_EQUAL (judge (table, "a", false, moment_ms + 100), BT_PART_HOLD);
  crash (table, "bx", 2, 2 * moment_ms);
  CU_ASSERT_EQUAL (judge (table, "ab", false, 2 * moment_ms + 100), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "ab", true, 2 * moment_ms + 100), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "x", false, 2 * moment_ms + 100), BT_PART_REFUSE);
  crash (table, "cy", 3, 3 * moment_ms);
  CU_ASSERT_EQUAL (judge (table, "y", true, 3 * moment_ms + 100), BT_PART_HOLD);
  bt_drop_part_table (ctx, table);
}

/* Guards against freeing the part at fault for one that most prompts have, and that other ends
 * accuse besides. */
static void
test_part_that_was_answered_explains_nothing (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "a", 9, 0);
  answer (table, "a", 500);
  for (int32_t i = 0; i < 2; i++)
    {
      crash (table, "ax", i, (2 * i + 1) * moment_ms);
      crash (table, "ab", i + 2, (2 * i + 2) * moment_ms);
    }
  CU_ASSERT_NOT_EQUAL (judge (table, "x", false, 5 * moment_ms), BT_PART_RUN);
  bt_drop_part_table (ctx, table);
}

/* Guards against refusing a sound part for what ran beside it at two ends whose cause was not
 * reported: it has been answered before. */
static void
test_part_answered_before_needs_one_more_end (void)
{
  bt_part_table_t *table = make_table ("one");

  answer (table, "a", 0);
  crash (table, "ax", 0, moment_ms);
  CU_ASSERT_EQUAL (judge (table, "a", true, moment_ms + 100), BT_PART_RUN);
  crash (table, "ay", 1, 2 * moment_ms);
  CU_ASSERT_EQUAL (judge (table, "a", false, 2 * moment_ms + 100), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "a", true, 2 * moment_ms + 100), BT_PART_HOLD);
  crash (table, "az", 2, 3 * moment_ms);
  CU_ASSERT_EQUAL (judge (table, "a", false, 3 * moment_ms + 100), BT_PART_REFUSE);
  bt_drop_part_table (ctx, table);
}

/* Guards against blaming all parts of one request because its retry ended an endpoint too. */
static void
test_retry_tells_nothing_new (void)
{
  bt_part_table_t *table = make_table ("one");
  bt_part_attempt_t retry = { .parts = make_parts ("ax"),
                              .endpoint = make_endpoint (1),
                              .app = "app",
                              .at_start = true,
                              .again = true,
                              .sent_ms = moment_ms - 100 };

  crash (table, "ax", 0, 0);
  bt_note_broken_parts (ctx, table, &retry, moment_ms);
  end_endpoint (table, 1, moment_ms + 30);
  CU_ASSERT_EQUAL (judge (table, "a", false, moment_ms + 100), BT_PART_RUN);
  crash (table, "bx", 2, 2 * moment_ms);
  CU_ASSERT_EQUAL (judge (table, "ab", false, 2 * moment_ms + 100), BT_PART_RUN);
  CU_ASSERT_NOT_EQUAL (judge (table, "x", false, 2 * moment_ms + 100), BT_PART_RUN);
  bt_drop_prompt_parts (ctx, retry.parts);
  bt_drop_part_table (ctx, table);
}

/* Guards against refusing the part that nearly all prompts have: it is answered meanwhile. */
static void
test_answered_part_is_cleared (void)
{
  bt_part_table_t *table = make_table ("one");

  for (int32_t i = 0; i < 4; i++)
    {
      crash (table, "ax", i, i * moment_ms);
      answer (table, "ab", i * moment_ms + 500);
    }
  CU_ASSERT_EQUAL (judge (table, "ab", false, 4 * moment_ms), BT_PART_RUN);
  CU_ASSERT_NOT_EQUAL (judge (table, "bx", false, 4 * moment_ms), BT_PART_RUN);
  bt_drop_part_table (ctx, table);
}

/* Guards against a part that stops its rank group a second time. */
static void
test_part_is_held_after_one_end_in_a_group (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "x", 0, 0);
  CU_ASSERT_EQUAL (judge (table, "x", true, 100), BT_PART_HOLD);
  CU_ASSERT_EQUAL (judge (table, "x", false, 100), BT_PART_RUN);
  bt_drop_part_table (ctx, table);
}

/* Guards against blaming what ran on endpoints that lost power together. */
static void
test_loss_of_power_holds_no_part (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "a", 0, 0);
  crash (table, "b", 1, 5);
  CU_ASSERT_EQUAL (judge (table, "a", true, 100), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "b", true, 100), BT_PART_RUN);
  bt_drop_part_table (ctx, table);
}

/* Guards against blaming parts for broken connections. */
static void
test_broken_attempts_alone_accuse_nothing (void)
{
  bt_part_table_t *table = make_table ("one");

  for (int32_t i = 0; i < 10; i++)
    break_attempt (table, "a", i, false, i * moment_ms);
  CU_ASSERT_FALSE (bt_has_accused_parts (table));
  bt_drop_part_table (ctx, table);
}

/* Guards against accusing what broke off at another end: in a group all attempts break. */
static void
test_earlier_break_is_not_accused (void)
{
  bt_part_table_t *table = make_table ("one");

  break_attempt (table, "a", 0, false, 0);
  break_attempt (table, "x", 0, false, moment_ms);
  end_endpoint (table, 0, moment_ms + 30);
  CU_ASSERT_EQUAL (judge (table, "a", true, moment_ms + 100), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "x", true, moment_ms + 100), BT_PART_HOLD);
  bt_drop_part_table (ctx, table);
}

/* Guards against blaming what was sent to an endpoint after its end, where a proxy accepts it. */
static void
test_requests_sent_after_the_end_are_not_accused (void)
{
  bt_part_table_t *table = make_table ("one");

  break_attempt (table, "x", 0, false, 0);
  for (int32_t i = 1; i < 10; i++)
    {
      bt_part_attempt_t late = { .parts = make_parts ("a"),
                                 .endpoint = make_endpoint (0),
                                 .app = "app",
                                 .at_start = true,
                                 .sent_ms = (int64_t)i * 100 };

      bt_note_broken_parts (ctx, table, &late, i * 100 + 1);
      bt_drop_prompt_parts (ctx, late.parts);
    }
  end_endpoint (table, 0, moment_ms);
  CU_ASSERT_EQUAL (judge (table, "a", true, moment_ms), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "x", true, moment_ms), BT_PART_HOLD);
  bt_drop_part_table (ctx, table);
}

/* Guards against taking the end of an answer's connection for a complete answer. */
static void
test_only_a_later_answer_of_the_endpoint_clears_what_it_began (void)
{
  bt_part_table_t *table = make_table ("one");
  bt_identity_t endpoint = make_endpoint (1);

  crash (table, "ax", 0, 0);
  break_attempt (table, "a", 1, true, 1000);
  CU_ASSERT_EQUAL (judge (table, "a", true, 1100), BT_PART_HOLD);
  bt_note_part_survival (ctx, table, &endpoint, 1000, 1200);
  CU_ASSERT_EQUAL (judge (table, "a", true, 1200), BT_PART_HOLD);
  break_attempt (table, "a", 1, true, 1300);
  bt_note_part_survival (ctx, table, &endpoint, 1301, 1400);
  CU_ASSERT_EQUAL (judge (table, "a", true, 1400), BT_PART_RUN);
  CU_ASSERT_EQUAL (judge (table, "x", true, 1400), BT_PART_HOLD);
  bt_drop_part_table (ctx, table);
}

/* Guards against an end that never was: an answer shows that the endpoint's process goes on. */
static void
test_answer_of_an_ended_endpoint_retracts_its_end (void)
{
  bt_part_table_t *table = make_table ("one");
  bt_identity_t endpoint = make_endpoint (0);

  crash (table, "a", 0, 0);
  bt_note_part_survival (ctx, table, &endpoint, 500, 600);
  CU_ASSERT_FALSE (bt_has_accused_parts (table));
  bt_drop_part_table (ctx, table);
}

/* Guards against a sound part that is refused for good, and against more trials than one at a time
 * and three in all, whatever number of instances makes them. */
static void
test_all_instances_make_three_trials (void)
{
  bt_part_table_t *tables[2] = { make_table ("one"), make_table ("other") };
  bt_fingerprint_t part = judge_fully (tables[0], "", false, 0).part;
  int64_t now_ms = 0;
  int32_t trials = 0;

  clear_list ();
  for (int32_t end = 0; end < 2; end++)
    crash (tables[0], "x", end, end * moment_ms);
  share (tables[0]);
  for (; now_ms < (int64_t)10000 * 1000; now_ms += moment_ms)
    for (int32_t i = 0; i < 2; i++)
      {
        int64_t expected;
        bt_part_judgement_t judgement;
        bt_part_mark_t mark;

        bt_apply_part_list (ctx, tables[i], &list, false);
        judgement = judge_fully (tables[i], "x", false, now_ms);
        CU_ASSERT_NOT_EQUAL (judgement.verdict, BT_PART_RUN);
        if (judgement.verdict != BT_PART_TRY)
          continue;
        part = judgement.part;
        mark = bt_propose_part_trial (tables[i], &part, now_ms, &expected);
        CU_ASSERT_EQUAL (expected, list.mark_count == 0 ? 0 : listed_marks[0].revision);
        bt_record_part_mark (ctx, tables[i], &mark);
        list_mark (&mark);
        CU_ASSERT_NOT_EQUAL (judge (tables[i], "x", false, now_ms), BT_PART_TRY);
        trials++;
      }
  CU_ASSERT_EQUAL (trials, 3);
  answer (tables[1], "x", now_ms);
  share (tables[1]);
  bt_apply_part_list (ctx, tables[0], &list, false);
  CU_ASSERT_EQUAL (judge (tables[0], "x", false, now_ms), BT_PART_RUN);
  for (int32_t i = 0; i < 2; i++)
    bt_drop_part_table (ctx, tables[i]);
  clear_list ();
}

/* Guards against a trial whose end can't be put down to one part. */
static void
test_two_held_parts_are_not_tried_together (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "xy", 0, 0);
  CU_ASSERT_EQUAL (judge (table, "xy", true, TRIAL_MS + 1), BT_PART_HOLD);
  CU_ASSERT_EQUAL (judge (table, "ay", true, TRIAL_MS + 1), BT_PART_TRY);
  bt_drop_part_table (ctx, table);
}

/* Guards against holding the part of nearly all prompts until its turn comes. */
static void
test_common_part_is_tried_at_once (void)
{
  bt_part_table_t *table = make_table ("one");

  crash (table, "ax", 0, 0);
  for (int32_t i = 0; i < JUDGED; i++)
    judge (table, i % 8 == 0 ? "b" : "a", true, 100);
  CU_ASSERT_EQUAL (judge (table, "ab", true, 100), BT_PART_TRY);
  CU_ASSERT_EQUAL (judge (table, "bx", true, 100), BT_PART_HOLD);
  bt_drop_part_table (ctx, table);
}

/* Guards against an instance that counts only the ends that it saw itself. */
static void
test_ends_of_all_instances_count (void)
{
  bt_part_table_t *tables[2] = { make_table ("one"), make_table ("other") };

  clear_list ();
  crash (tables[0], "ax", 0, 0);
  crash (tables[1], "bx", 1, moment_ms);
  for (int32_t i = 0; i < 2; i++)
    share (tables[i]);
  for (int32_t i = 0; i < 2; i++)
    {
      bt_apply_part_list (ctx, tables[i], &list, false);
      CU_ASSERT_EQUAL (judge (tables[i], "x", false, moment_ms), BT_PART_HOLD);
      CU_ASSERT_EQUAL (judge (tables[i], "ab", false, moment_ms), BT_PART_RUN);
      bt_drop_part_table (ctx, tables[i]);
    }
  clear_list ();
}

/* Guards against one end that counts twice because two instances saw it. */
static void
test_one_end_counts_once (void)
{
  bt_part_table_t *tables[2] = { make_table ("one"), make_table ("other") };

  clear_list ();
  crash (tables[0], "x", 0, 0);
  crash (tables[1], "x", 0, 400);
  for (int32_t i = 0; i < 2; i++)
    share (tables[i]);
  bt_apply_part_list (ctx, tables[0], &list, false);
  CU_ASSERT_EQUAL (judge (tables[0], "x", false, 1000), BT_PART_RUN);
  for (int32_t i = 0; i < 2; i++)
    bt_drop_part_table (ctx, tables[i]);
  clear_list ();
}

/* Guards against a restored store that lacks ends and trials: all stay known, and what this
 * instance knows is published again. */
static void
test_restored_list_loses_nothing (void)
{
  bt_part_table_t *table = make_table ("one");
  bt_part_list_t empty = { 0 };
  int64_t expected;
  bt_fingerprint_t part;
  bt_part_mark_t mark;

  clear_list ();
  crash (table, "x", 0, 0);
  crash (table, "x", 1, moment_ms);
  share (table);
  part = judge_fully (table, "x", false, moment_ms).part;
  mark = bt_propose_part_trial (table, &part, moment_ms, &expected);
  bt_record_part_mark (ctx, table, &mark);
  list_mark (&mark);
  bt_apply_part_list (ctx, table, &list, false);
  bt_apply_part_list (ctx, table, &empty, true);
  CU_ASSERT_EQUAL (judge (table, "x", false, moment_ms), BT_PART_HOLD);
  CU_ASSERT_EQUAL (share (table), 3);
  bt_apply_part_list (ctx, table, &empty, false);
  CU_ASSERT_EQUAL (judge (table, "x", false, moment_ms), BT_PART_HOLD);
  CU_ASSERT_EQUAL (bt_propose_part_trial (table, &part, moment_ms, &expected).trials, 2);
  bt_drop_part_table (ctx, table);
  clear_list ();
}

/* Guards against growth without bound, and against dropping the part at fault first. */
static void
test_full_table_keeps_what_is_held (void)
{
  bt_part_table_t *table = make_table ("one");
  bt_part_update_t update;
  int32_t count;

  crash (table, "x", 0, 0);
  crash (table, "x", 1, moment_ms);
  for (int32_t i = 2; i < MANY_ENDS; i++)
    {
      char letter[2] = { (char)('A' + i % 26), '\0' };

      crash (table, letter, i, i * moment_ms);
      answer (table, letter, i * moment_ms + 500);
      while (bt_take_part_update (table, &update))
        bt_clear_part_update (ctx, &update);
    }
  CU_ASSERT_NOT_EQUAL (judge (table, "x", false, MANY_ENDS * moment_ms), BT_PART_RUN);
  bt_get_accused_parts (table, &count);
  CU_ASSERT (count <= MAX_ENDS);
  bt_drop_part_table (ctx, table);
}

static void
test_old_ends_expire (void)
{
  bt_part_table_t *table = make_table ("one");
  const int64_t day_ms = (int64_t)24 * 3600 * 1000;

  crash (table, "x", 0, 0);
  crash (table, "x", 1, moment_ms);
  bt_expire_parts (ctx, table, day_ms);
  CU_ASSERT_TRUE (bt_has_accused_parts (table));
  bt_expire_parts (ctx, table, 2 * day_ms);
  CU_ASSERT_FALSE (bt_has_accused_parts (table));
  bt_drop_part_table (ctx, table);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  bt_set_log_level (ctx, -1);
  bt_derive_fingerprint_key ("secret", &key);
  CU_initialize_registry ();
  suite = CU_add_suite ("part_table", NULL, NULL);
  CU_ADD_TEST (suite, test_common_part_of_two_ends_is_held);
  CU_ADD_TEST (suite, test_most_accused_part_explains_its_ends);
  CU_ADD_TEST (suite, test_part_that_was_answered_explains_nothing);
  CU_ADD_TEST (suite, test_part_answered_before_needs_one_more_end);
  CU_ADD_TEST (suite, test_retry_tells_nothing_new);
  CU_ADD_TEST (suite, test_answered_part_is_cleared);
  CU_ADD_TEST (suite, test_part_is_held_after_one_end_in_a_group);
  CU_ADD_TEST (suite, test_loss_of_power_holds_no_part);
  CU_ADD_TEST (suite, test_broken_attempts_alone_accuse_nothing);
  CU_ADD_TEST (suite, test_earlier_break_is_not_accused);
  CU_ADD_TEST (suite, test_requests_sent_after_the_end_are_not_accused);
  CU_ADD_TEST (suite, test_only_a_later_answer_of_the_endpoint_clears_what_it_began);
  CU_ADD_TEST (suite, test_answer_of_an_ended_endpoint_retracts_its_end);
  CU_ADD_TEST (suite, test_all_instances_make_three_trials);
  CU_ADD_TEST (suite, test_two_held_parts_are_not_tried_together);
  CU_ADD_TEST (suite, test_common_part_is_tried_at_once);
  CU_ADD_TEST (suite, test_ends_of_all_instances_count);
  CU_ADD_TEST (suite, test_one_end_counts_once);
  CU_ADD_TEST (suite, test_restored_list_loses_nothing);
  CU_ADD_TEST (suite, test_full_table_keeps_what_is_held);
  CU_ADD_TEST (suite, test_old_ends_expire);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
