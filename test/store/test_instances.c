#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/store/instances.h"
#include "standin_process.h"

#define ENTRY                                                                                      \
  "{\"instance\":\"haiyun-entry-1\",\"role\":\"entry\",\"address\":\"127.0.0.1:7001\","            \
  "\"http\":\"127.0.0.1:8001\",\"failure_domain\":\"linkou-hall\",\"state\":\"live\"}"
#define AGENT                                                                                      \
  "{\"instance\":\"haiyun-runner-1\",\"role\":\"agent\",\"address\":\"127.0.0.1:7002\","           \
  "\"endpoint\":\"draft-1\",\"app\":\"draft\",\"failure_domain\":\"linkou-hall\","                 \
  "\"state\":\"leaving\"}"

static void
test_reads_complete_list (void)
{
  static const char text[] = "{\"revision\":7,\"instances\":[" ENTRY "," AGENT "]}";
  bt_context_t *ctx = bt_new_context ();
  bt_instance_list_t list = { 0 };
  bt_error_t error = { 0 };

  CU_ASSERT_TRUE (bt_parse_instance_list (ctx, text, strlen (text), &list, &error));
  CU_ASSERT_EQUAL (list.revision, 7);
  CU_ASSERT_EQUAL_FATAL (list.count, 2);
  CU_ASSERT_EQUAL (list.instances[0].role, BT_LISTED_ENTRY);
  CU_ASSERT_STRING_EQUAL (list.instances[0].http, "127.0.0.1:8001");
  CU_ASSERT_STRING_EQUAL (list.instances[1].app, "draft");
  CU_ASSERT_TRUE (list.instances[1].leaving);
  bt_drop_instance_list (ctx, &list);
  bt_drop_context (ctx);
}

/* A list is truncated, or is none. Applying only the readable part would remove live instances, so
 * the previous list is kept and the error names the location. */
static void
test_invalid_list_is_not_applied (void)
{
  static const char valid[] = "{\"revision\":7,\"instances\":[" ENTRY "]}";
  static const char *const invalid[][2] = {
    { "{\"revision\":8,\"instances\":[" ENTRY, "line 1" },
    { "{\"revision\":\"8\",\"instances\":[]}", "revision" },
    { "{\"revision\":8}", "instances: must" },
  };
  bt_context_t *ctx = bt_new_context ();
  bt_instance_list_t list = { 0 };

  bt_parse_instance_list (ctx, valid, strlen (valid), &list, NULL);
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    {
      bt_error_t error = { 0 };

      CU_ASSERT_FALSE (
          bt_parse_instance_list (ctx, invalid[i][0], strlen (invalid[i][0]), &list, &error));
      CU_ASSERT_PTR_NOT_NULL (strstr (error.message, invalid[i][1]));
      CU_ASSERT_EQUAL (list.revision, 7);
      CU_ASSERT_EQUAL (list.count, 1);
    }
  bt_drop_instance_list (ctx, &list);
  bt_drop_context (ctx);
}

static bool
has_instance (const bt_instance_list_t *list, const char *name, bool leaving)
{
  for (int32_t i = 0; i < list->count; i++)
    if (strcmp (list->instances[i].instance, name) == 0)
      return list->instances[i].leaving == leaving;
  return false;
}

/* Guards against one row that can't be read freezing the list: new instances were not reached and
 * those that left not forgotten. A live instance must not be lost by its own unreadable row, nor by
 * one that does not tell which instance it means. */
static void
test_unreadable_row_leaves_the_others (void)
{
  static const char before[] = "{\"revision\":7,\"instances\":[" ENTRY "," AGENT "]}";
  static const struct
  {
    const char *text;
    int32_t count;
    bool entry;
    bool agent;
  } cases[] = {
    /* A row of another instance: the agent has left. */
    { "{\"revision\":8,\"instances\":[" ENTRY ",{\"instance\":\"x\",\"role\":\"host\"}]}", 1, true,
      false },
    /* The agent's own row. */
    { "{\"revision\":8,\"instances\":[{\"instance\":\"haiyun-runner-1\",\"role\":7}," ENTRY "]}", 2,
      true, true },
    /* Rows that name none. */
    { "{\"revision\":8,\"instances\":[" ENTRY ",{\"role\":\"host\"}]}", 2, true, true },
    { "{\"revision\":8,\"instances\":[null,[]]}", 2, true, true },
    /* The agent's row stands twice, and can be read once. */
    { "{\"revision\":8,\"instances\":[{\"instance\":\"haiyun-runner-1\"}," AGENT "]}", 1, false,
      true },
  };
  bt_context_t *ctx = bt_new_context ();

  bt_set_log_level (ctx, -1);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bt_instance_list_t list = { 0 };
      bt_error_t error = { 0 };

      CU_ASSERT_TRUE (bt_parse_instance_list (ctx, before, strlen (before), &list, &error));
      CU_ASSERT_TRUE (
          bt_parse_instance_list (ctx, cases[i].text, strlen (cases[i].text), &list, &error));
      CU_ASSERT_EQUAL (list.revision, 8);
      CU_ASSERT_EQUAL (list.count, cases[i].count);
      CU_ASSERT_EQUAL (has_instance (&list, "haiyun-entry-1", false), cases[i].entry);
      CU_ASSERT_EQUAL (has_instance (&list, "haiyun-runner-1", true), cases[i].agent);
      bt_drop_instance_list (ctx, &list);
    }
  bt_drop_context (ctx);
}

static void
test_reads_from_service_that_fails_and_recovers (void)
{
  bt_context_t *ctx = bt_new_context ();
  standin_process_t service;
  bt_instances_t *instances;
  bt_instance_list_t list = { 0 };
  bt_error_t error = { 0 };

  CU_ASSERT_FATAL (start_standin (&service, "standin-instances"));
  instances = bt_new_http_instances (ctx, service.url, 2000);
  CU_ASSERT_TRUE (bt_read_instances (ctx, instances, &list, &error));
  CU_ASSERT_EQUAL (list.count, 0);
  set_fault (ctx, &service, "{\"kind\":\"down\"}");
  CU_ASSERT_FALSE (bt_read_instances (ctx, instances, &list, &error));
  bt_clear_error (&error);
  set_fault (ctx, &service, "{\"kind\":\"none\"}");
  CU_ASSERT_TRUE (bt_read_instances (ctx, instances, &list, &error));
  stop_standin (&service);
  CU_ASSERT_FALSE (bt_read_instances (ctx, instances, &list, &error));
  bt_drop_instance_list (ctx, &list);
  bt_drop_instances (ctx, instances);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("instances", NULL, NULL);
  CU_ADD_TEST (suite, test_reads_complete_list);
  CU_ADD_TEST (suite, test_invalid_list_is_not_applied);
  CU_ADD_TEST (suite, test_unreadable_row_leaves_the_others);
  CU_ADD_TEST (suite, test_reads_from_service_that_fails_and_recovers);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
