#include "bilberrytray/config/declarations.h"

#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "declarations_private.h"

enum
{
  MAX_SHARE = 1000,
  MAX_SLOTS = 100000,
  MAX_DEADLINE_MS = 3600000,
  DEFAULT_DEADLINE_MS = 60000,
  DEFAULT_SLOTS = 16,
  DEFAULT_QUEUE = 32,
};

/** Declarations with their reference count, which is hidden from readers. */
typedef struct counted_declarations
{
  bt_declarations_t base;
  atomic_int references;
} counted_declarations_t;

static const char *const document_names[] = { "accounts", "apps", "endpoints", "rules" };
static const char *const priority_names[] = { "low", "normal", "high" };

const char *
bt_name_document (bt_document_kind_t kind)
{
  return document_names[kind];
}

const char *
bt_name_priority (bt_priority_t priority)
{
  return priority_names[priority];
}

bool
bt_parse_priority (const char *text, bt_priority_t *priority)
{
  for (int32_t i = 0; i < BT_PRIORITY_COUNT; i++)
    if (strcmp (text, priority_names[i]) == 0)
      {
        *priority = (bt_priority_t)i;
        return true;
      }
  return false;
}

/* Returns false, with findings, if a hash can't be read. */
static bool
read_token_hashes (bt_json_reader_t *reader,
                   const json_t *object,
                   const char *path,
                   bt_account_t *account)
{
  const int32_t findings_before = bt_count_findings (reader->findings);
  int32_t count;
  char **texts = bt_read_json_strings (reader, object, path, "token_sha256", &count);
  char field_path[BT_JSON_PATH_BYTES];

  bt_join_json_path (field_path, path, "token_sha256");
  account->token_hashes = bt_calloc (reader->ctx, (size_t)count, BT_TOKEN_HASH_BYTES);
  if (texts == NULL)
    {
      bt_add_json_finding (reader, field_path, "This field is required.");
      return false;
    }
  for (int32_t i = 0; i < count; i++)
    {
      size_t bytes = 0;

      if (sodium_hex2bin (account->token_hashes[account->token_count], BT_TOKEN_HASH_BYTES,
                          texts[i], strlen (texts[i]), NULL, &bytes, NULL)
              != 0
          || bytes != BT_TOKEN_HASH_BYTES)
        bt_add_json_finding (reader, field_path,
                             "Expected the SHA-256 of a token in 64 hex digits.");
      else
        account->token_count++;
      bt_free (reader->ctx, texts[i]);
    }
  bt_free (reader->ctx, texts);
  return bt_count_findings (reader->findings) == findings_before;
}

void
bt_read_accounts (bt_json_reader_t *reader, bt_declarations_t *declarations)
{
  static const char *const fields[] = { "name", "token_sha256", "share", NULL };
  const json_t *list = bt_get_json_array (reader, "accounts");
  char path[BT_JSON_PATH_BYTES];

  declarations->accounts =
      bt_calloc (reader->ctx, json_array_size (list), sizeof *declarations->accounts);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *object = json_array_get (list, i);
      bt_account_t *account = &declarations->accounts[declarations->account_count];

      snprintf (path, sizeof path, "accounts[%zu]", i);
      if (!json_is_object (object))
        {
          bt_add_json_finding (reader, path, "Expected an object.");
          declarations->accounts_incomplete = true;
          continue;
        }
      bt_check_json_fields (reader, object, path, fields);
      account->unreadable = !bt_read_json_name (reader, object, path, "name", account->name);
      if (!account->unreadable && bt_find_account (declarations, account->name) >= 0)
        bt_add_json_finding (reader, path, "The account \"%s\" is declared twice.", account->name);
      if (!read_token_hashes (reader, object, path, account))
        declarations->accounts_incomplete = true;
      account->share =
          (int32_t)bt_read_json_integer (reader, object, path, "share", 1, MAX_SHARE, 1);
      account->priority = -1;
      declarations->account_count++;
    }
}

void
bt_read_apps (bt_json_reader_t *reader, bt_declarations_t *declarations)
{
  static const char *const fields[] = { "name", "kind", "deadline_ms", NULL };
  static const char *const kinds[] = { "model", "service" };
  const json_t *list = bt_get_json_array (reader, "apps");
  char path[BT_JSON_PATH_BYTES];

  declarations->apps = bt_calloc (reader->ctx, json_array_size (list), sizeof *declarations->apps);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *object = json_array_get (list, i);
      bt_app_t *app = &declarations->apps[declarations->app_count];
      bool named;

      snprintf (path, sizeof path, "apps[%zu]", i);
      if (!json_is_object (object))
        {
          bt_add_json_finding (reader, path, "Expected an object.");
          continue;
        }
      bt_check_json_fields (reader, object, path, fields);
      named = bt_read_json_name (reader, object, path, "name", app->name);
      if (named && bt_find_app (declarations, app->name) >= 0)
        bt_add_json_finding (reader, path, "The app \"%s\" is declared twice.", app->name);
      app->kind =
          (bt_app_kind_t)bt_read_json_choice (reader, object, path, "kind", kinds, 2, BT_APP_MODEL);
      app->deadline_ms = bt_read_json_integer (reader, object, path, "deadline_ms", 1,
                                               MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
      /* Rules that name an app of an unknown kind find none. */
      if (named && bt_has_json_choice (object, "kind", kinds, 2))
        declarations->app_count++;
    }
}

static int32_t
read_app (bt_json_reader_t *reader,
          const json_t *object,
          const char *path,
          const bt_declarations_t *declarations)
{
  char name[BT_NAME_BYTES];
  char field_path[BT_JSON_PATH_BYTES];
  int32_t app;

  if (!bt_read_json_name (reader, object, path, "app", name))
    return -1;
  app = bt_find_app (declarations, name);
  if (app < 0)
    {
      bt_join_json_path (field_path, path, "app");
      bt_add_json_finding (reader, field_path, "There is no app \"%s\".", name);
    }
  return app;
}

void
bt_read_endpoints (bt_json_reader_t *reader, bt_declarations_t *declarations)
{
  static const char *const fields[] = { "name", "app", "slots", "queue", "checks_orders", NULL };
  const json_t *list = bt_get_json_array (reader, "endpoints");
  char path[BT_JSON_PATH_BYTES];

  declarations->endpoints =
      bt_calloc (reader->ctx, json_array_size (list), sizeof *declarations->endpoints);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *object = json_array_get (list, i);
      bt_declared_endpoint_t *endpoint = &declarations->endpoints[declarations->endpoint_count];
      bool named;

      snprintf (path, sizeof path, "endpoints[%zu]", i);
      if (!json_is_object (object))
        {
          bt_add_json_finding (reader, path, "Expected an object.");
          continue;
        }
      bt_check_json_fields (reader, object, path, fields);
      named = bt_read_json_name (reader, object, path, "name", endpoint->name);
      if (named && bt_find_endpoint (declarations, endpoint->name) >= 0)
        bt_add_json_finding (reader, path, "The endpoint \"%s\" is declared twice.",
                             endpoint->name);
      endpoint->app = read_app (reader, object, path, declarations);
      endpoint->slots = (int32_t)bt_read_json_integer (reader, object, path, "slots", 1, MAX_SLOTS,
                                                       DEFAULT_SLOTS);
      endpoint->queue = (int32_t)bt_read_json_integer (reader, object, path, "queue", 0, MAX_SLOTS,
                                                       DEFAULT_QUEUE);
      endpoint->checks_orders = bt_read_json_bool (reader, object, path, "checks_orders") == 1;
      if (named && endpoint->app >= 0)
        declarations->endpoint_count++;
    }
}

/* Reads all documents, and leaves out what has a finding. Returns false in @p complete if one of
 * them is no object with the list of its name. */
static bt_declarations_t *
read_documents (bt_context_t *ctx,
                const bt_document_text_t texts[BT_DOCUMENT_COUNT],
                bt_findings_t *findings,
                bool *complete)
{
  typedef void (*document_reader_t) (bt_json_reader_t *, bt_declarations_t *);
  static const document_reader_t readers[] = { bt_read_accounts, bt_read_apps, bt_read_endpoints,
                                               bt_read_rules };
  bt_declarations_t *declarations = bt_new_empty_declarations (ctx);
  const int32_t findings_before = bt_count_findings (findings);

  *complete = true;
  for (int32_t kind = 0; kind < BT_DOCUMENT_COUNT; kind++)
    {
      const char *fields[] = { document_names[kind], NULL };
      bt_json_reader_t reader;

      bt_open_json_reader (ctx, &reader, &texts[kind], findings);
      *complete = *complete && json_is_array (json_object_get (reader.root, document_names[kind]));
      if (reader.root != NULL)
        {
          bt_check_json_fields (&reader, reader.root, "", fields);
          readers[kind](&reader, declarations);
        }
      bt_close_json_reader (&reader);
    }
  declarations->finding_count = bt_count_findings (findings) - findings_before;
  return declarations;
}

bt_declarations_t *
bt_new_declarations (bt_context_t *ctx,
                     const bt_document_text_t texts[BT_DOCUMENT_COUNT],
                     bt_findings_t *findings)
{
  bool complete;
  bt_declarations_t *declarations = read_documents (ctx, texts, findings, &complete);

  if (declarations->finding_count == 0)
    return declarations;
  bt_drop_declarations (ctx, declarations);
  return NULL;
}

bt_declarations_t *
bt_new_readable_declarations (bt_context_t *ctx,
                              const bt_document_text_t texts[BT_DOCUMENT_COUNT],
                              bt_findings_t *findings)
{
  bool complete;
  bt_declarations_t *declarations = read_documents (ctx, texts, findings, &complete);

  if (complete)
    return declarations;
  bt_drop_declarations (ctx, declarations);
  return NULL;
}

bt_declarations_t *
bt_new_empty_declarations (bt_context_t *ctx)
{
  counted_declarations_t *counted = bt_calloc (ctx, 1, sizeof *counted);

  atomic_init (&counted->references, 1);
  return &counted->base;
}

bt_declarations_t *
bt_keep_declarations (bt_declarations_t *declarations)
{
  if (declarations != NULL)
    atomic_fetch_add (&((counted_declarations_t *)declarations)->references, 1);
  return declarations;
}

void
bt_drop_declarations (bt_context_t *ctx, bt_declarations_t *declarations)
{
  if (declarations == NULL
      || atomic_fetch_sub (&((counted_declarations_t *)declarations)->references, 1) != 1)
    return;
  for (int32_t i = 0; i < declarations->account_count; i++)
    {
      bt_free (ctx, declarations->accounts[i].full_name);
      bt_free (ctx, declarations->accounts[i].token_hashes);
    }
  for (int32_t i = 0; i < declarations->rule_count; i++)
    bt_clear_rule (ctx, &declarations->rules[i]);
  bt_free (ctx, declarations->accounts);
  bt_free (ctx, declarations->apps);
  bt_free (ctx, declarations->endpoints);
  bt_free (ctx, declarations->rules);
  bt_free (ctx, declarations);
}

int32_t
bt_find_app (const bt_declarations_t *declarations, const char *name)
{
  for (int32_t i = 0; i < declarations->app_count; i++)
    if (strcmp (declarations->apps[i].name, name) == 0)
      return i;
  return -1;
}

int32_t
bt_find_account (const bt_declarations_t *declarations, const char *name)
{
  for (int32_t i = 0; i < declarations->account_count; i++)
    if (strcmp (declarations->accounts[i].name, name) == 0)
      return i;
  return -1;
}

int32_t
bt_find_endpoint (const bt_declarations_t *declarations, const char *name)
{
  for (int32_t i = 0; i < declarations->endpoint_count; i++)
    if (strcmp (declarations->endpoints[i].name, name) == 0)
      return i;
  return -1;
}

void
bt_add_account_token (bt_context_t *ctx, bt_account_t *account, const char *token)
{
  account->token_hashes = bt_realloc (ctx, account->token_hashes, (size_t)account->token_count + 1,
                                      sizeof *account->token_hashes);
  crypto_hash_sha256 (account->token_hashes[account->token_count++], (const unsigned char *)token,
                      strlen (token));
}

int32_t
bt_find_token (const bt_declarations_t *declarations, const char *token)
{
  uint8_t hash[crypto_hash_sha256_BYTES];
  int32_t found = -1;

  crypto_hash_sha256 (hash, (const unsigned char *)token, strlen (token));
  for (int32_t i = 0; i < declarations->account_count; i++)
    for (int32_t j = 0; j < declarations->accounts[i].token_count; j++)
      if (sodium_memcmp (hash, declarations->accounts[i].token_hashes[j], sizeof hash) == 0)
        found = i;
  return found;
}
