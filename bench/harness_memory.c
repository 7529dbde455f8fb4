#include "harness_memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/config/config_table.h"
#include "bilberrytray/config/declarations.h"
#include "bilberrytray/core/membership.h"
#include "bilberrytray/load/router.h"
#include "bilberrytray/requests/arbiter.h"

enum
{
  DOCUMENT_BYTES = 300,
};

static void *
make_documents (bt_context_t *ctx, int32_t count)
{
  bt_config_table_t *table = bt_new_config_table (ctx, 0);
  char data[DOCUMENT_BYTES];
  char name[BT_NAME_BYTES];

  memset (data, 'x', sizeof data);
  for (int32_t i = 0; i < count; i++)
    {
      bt_document_fields_t fields = {
        .name = name, .revision = i + 1, .data = data, .data_bytes = sizeof data
      };
      bt_document_t *document;

      snprintf (name, sizeof name, "document-%d", (int)i);
      document = bt_new_document (ctx, &fields);
      bt_offer_document (ctx, table, document);
      bt_drop_document (ctx, document);
    }
  return table;
}

static void
drop_documents (bt_context_t *ctx, void *object)
{
  bt_drop_config_table (ctx, object);
}

static void *
make_members (bt_context_t *ctx, int32_t count)
{
  bt_membership_settings_t settings = bt_get_default_membership_settings ();
  bt_identity_t self = { "entry-0", 1 };
  bt_membership_t *membership = bt_new_membership (ctx, &self, BT_LISTED_ENTRY, &settings);
  bt_listed_instance_t *list = bt_calloc (ctx, (size_t)count, sizeof *list);

  /* One entry to nineteen agents, as in the target deployment. */
  for (int32_t i = 0; i < count; i++)
    {
      list[i].role = i % 20 == 0 ? BT_LISTED_ENTRY : BT_LISTED_AGENT;
      snprintf (list[i].instance, BT_NAME_BYTES, "%s-%d", i % 20 == 0 ? "entry" : "agent", (int)i);
      snprintf (list[i].failure_domain, BT_NAME_BYTES, "domain-%d", (int)i % 4);
      snprintf (list[i].address, BT_ADDRESS_BYTES, "10.0.0.1:7000");
    }
  bt_apply_member_list (ctx, membership, 1, list, count, 0);
  bt_free (ctx, list);
  return membership;
}

static void
drop_members (bt_context_t *ctx, void *object)
{
  bt_drop_membership (ctx, object);
}

static void *
make_endpoints (bt_context_t *ctx, int32_t count)
{
  bt_router_options_t options;
  bt_router_t *router;

  bt_default_router_options (&options);
  router = bt_new_router (ctx, &options);
  for (int32_t i = 0; i < count; i++)
    {
      bt_endpoint_t endpoint = { .identity.incarnation = (uint64_t)i + 1 };

      snprintf (endpoint.identity.instance, BT_NAME_BYTES, "agent-%d", (int)i);
      snprintf (endpoint.name, BT_NAME_BYTES, "endpoint-%d", (int)i);
      snprintf (endpoint.app, BT_NAME_BYTES, "app-%d", (int)i % 6);
      bt_put_endpoint (ctx, router, &endpoint, 0);
    }
  return router;
}

static void
drop_endpoints (bt_context_t *ctx, void *object)
{
  bt_drop_router (ctx, object);
}

static void *
make_records (bt_context_t *ctx, int32_t count)
{
  bt_arbiter_options_t options = { .self = { "agent-0", 1 },
                                   .max_records = 1 << 20,
                                   .tombstone_reserve = 1 << 20,
                                   .max_bytes = (uint64_t)1 << 30,
                                   .max_answer_bytes = 1 << 20,
                                   .keep_answer_ms = 60000,
                                   .grace_ms = 60000,
                                   .ticket_life_ms = 60000 };
  bt_arbiter_t *arbiter = bt_new_arbiter (ctx, &options);

  for (int32_t i = 0; i < count; i++)
    {
      bt_grant_request_t request = { .ticket.home = options.self, .ticket.expires_ms = 50000 };
      bt_arbiter_actions_t actions = { 0 };

      memcpy (request.ticket.key.bytes, &i, sizeof i);
      snprintf (request.proposal.agent.instance, BT_NAME_BYTES, "agent-1");
      request.proposal.agent.incarnation = 2;
      request.proposal.expires_ms = 40000;
      bt_handle_grant_request (ctx, arbiter, &request, 0, &actions);
      bt_free_arbiter_actions (ctx, &actions);
    }
  return arbiter;
}

static void
drop_records (bt_context_t *ctx, void *object)
{
  bt_drop_arbiter (ctx, object);
}

/* Makes declarations with the given numbers of accounts and endpoints, one app and one rule. */
static void *
make_declarations (bt_context_t *ctx, int32_t accounts, int32_t endpoints)
{
  static const char *const apps = "{\"apps\":[{\"name\":\"drafts\",\"kind\":\"model\"}]}";
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_document_text_t texts[BT_DOCUMENT_COUNT] = { 0 };
  char *account_text = NULL;
  char *endpoint_text = NULL;
  size_t bytes;
  FILE *out = open_memstream (&account_text, &bytes);
  void *declarations;

  fprintf (out, "{\"accounts\":[");
  for (int32_t i = 0; i < accounts; i++)
    fprintf (out, "%s{\"name\":\"account-%d\",\"token_sha256\":[\"%064x\"],\"share\":4}",
             i == 0 ? "" : ",", (int)i, (unsigned int)i);
  fprintf (out, "]}");
  fclose (out);
  out = open_memstream (&endpoint_text, &bytes);
  fprintf (out, "{\"endpoints\":[");
  for (int32_t i = 0; i < endpoints; i++)
    fprintf (out, "%s{\"name\":\"draft-%d\",\"app\":\"drafts\",\"slots\":16,\"queue\":32}",
             i == 0 ? "" : ",", (int)i);
  fprintf (out, "]}");
  fclose (out);
  texts[BT_DOCUMENT_ACCOUNTS].data = account_text;
  texts[BT_DOCUMENT_APPS].data = apps;
  texts[BT_DOCUMENT_ENDPOINTS].data = endpoint_text;
  texts[BT_DOCUMENT_RULES].data =
      "{\"rules\":[{\"name\":\"all\",\"then\":{\"action\":\"refuse\"}}]}";
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      texts[i].file = bt_name_document ((bt_document_kind_t)i);
      texts[i].bytes = strlen (texts[i].data);
    }
  declarations = bt_new_declarations (ctx, texts, findings);
  if (declarations == NULL)
    bt_print_findings (findings, stderr);
  bt_drop_findings (ctx, findings);
  free (account_text);
  free (endpoint_text);
  return declarations;
}

static void *
make_endpoint_declarations (bt_context_t *ctx, int32_t count)
{
  return make_declarations (ctx, 1, count);
}

static void *
make_account_declarations (bt_context_t *ctx, int32_t count)
{
  return make_declarations (ctx, count, 1);
}

static void
drop_declarations (bt_context_t *ctx, void *object)
{
  bt_drop_declarations (ctx, object);
}

const bt_memory_case_t bt_memory_cases[BT_MEMORY_CASE_COUNT] = {
  { "document of 300 B in force", make_documents, drop_documents },
  { "listed instance (1 entry to 19 agents)", make_members, drop_members },
  { "endpoint in the router", make_endpoints, drop_endpoints },
  { "key on record at its home", make_records, drop_records },
  { "declared endpoint, read from its document", make_endpoint_declarations, drop_declarations },
  { "client account, read from its document", make_account_declarations, drop_declarations },
};
