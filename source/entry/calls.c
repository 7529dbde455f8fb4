#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/json_text.h"
#include "bilberrytray/base/log.h"
#include "entry_private.h"
#include "messages.h"

enum
{
  /* The operators have to write the declaration again. */
  UNREADABLE_RETRY_MS = 10000,
};

static const char *const json_content_type = "application/json";

static bt_call_t **
find_call_slot (bt_entry_t *entry, uint64_t id)
{
  bt_call_t **slot = &entry->calls[id % BT_CALL_BUCKETS];

  while (*slot != NULL && (*slot)->id != id)
    slot = &(*slot)->next;
  return slot;
}

void
bt_remove_call (bt_entry_t *entry, bt_call_t *call)
{
  if (call->queued)
    bt_cancel_admission (entry->admission, call->id);
  *find_call_slot (entry, call->id) = call->next;
  entry->call_count--;
  bt_drop_delivery (entry->ctx, call->delivery);
  bt_drop_declarations (entry->ctx, call->declarations);
  bt_drop_caller (entry->ctx, call->caller);
  bt_free (entry->ctx, call);
}

bt_call_t *
bt_find_call (bt_entry_t *entry, uint64_t id)
{
  return *find_call_slot (entry, id);
}

/* Returns the app that a request names in a header or in the field "model" of a JSON body; "" if
 * none. */
static char *
read_app (bt_entry_t *entry, bt_caller_t *caller)
{
  const bt_caller_request_t *request = bt_get_caller_request (caller);
  const char *header = bt_find_caller_header (caller, "Bilberry-App");
  const char *type = bt_find_caller_header (caller, "Content-Type");
  const char *model;
  json_t *body;
  char *app;

  if (header != NULL)
    return bt_strdup (entry->ctx, header);
  if (type == NULL || strncmp (type, json_content_type, strlen (json_content_type)) != 0)
    return bt_strdup (entry->ctx, "");
  body = bt_load_json ((const char *)request->body, request->body_bytes, 0, NULL);
  model = json_string_value (json_object_get (body, "model"));
  app = bt_strdup (entry->ctx, model == NULL ? "" : model);
  json_decref (body);
  return app;
}

static bool
is_idempotent (bt_caller_t *caller)
{
  const char *method = bt_get_caller_request (caller)->method;
  const char *header = bt_find_caller_header (caller, "Bilberry-Idempotent");

  if (bt_find_caller_header (caller, "Idempotency-Key") != NULL)
    return false;
  if (header != NULL)
    return strcmp (header, "true") == 0;
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

static int32_t
match_rule (bt_entry_t *entry,
            bt_caller_t *caller,
            const bt_declarations_t *declarations,
            int32_t *app,
            int32_t *call_priority)
{
  const bt_caller_request_t *request = bt_get_caller_request (caller);
  const char *priority = bt_find_caller_header (caller, "Bilberry-Priority");
  char *app_name = read_app (entry, caller);
  bt_request_attributes_t attributes = { 0 };
  int32_t rule;

  attributes.account = bt_get_caller_account (caller);
  attributes.app = app_name;
  attributes.method = request->method;
  attributes.path = request->path;
  attributes.headers = request->headers;
  attributes.header_count = request->header_count;
  attributes.idempotent = is_idempotent (caller);
  attributes.body_bytes = (int64_t)request->body_bytes;
  attributes.priority = BT_PRIORITY_NORMAL;
  if (priority != NULL)
    bt_parse_priority (priority, &attributes.priority);
  rule = bt_match_rules (declarations, &attributes);
  *call_priority = rule >= 0 && declarations->rules[rule].then.priority >= 0
                       ? declarations->rules[rule].then.priority
                       : (int32_t)attributes.priority;
  *app = rule >= 0 && declarations->rules[rule].then.app >= 0
             ? declarations->rules[rule].then.app
             : bt_find_app (declarations, app_name);
  bt_free (entry->ctx, app_name);
  return rule;
}

/* Checks the idempotency key of a request and reads the ticket that it holds. An idempotent
 * request needs no ticket, so a key that is not a ticket is ignored there. */
static bt_reason_t
check_idempotency_key (bt_entry_t *entry,
                       bt_caller_t *caller,
                       const bt_rule_then_t *then,
                       bool idempotent,
                       bt_ticket_t *ticket,
                       bool *has_ticket)
{
  const char *text = bt_find_caller_header (caller, "Idempotency-Key");

  /* A ticket gives access to the stored answer of its request, so it is valid only for the
   * account it was issued to. Another account that finds it in a log or receives it by mistake
   * gets nothing. */
  *has_ticket = text != NULL && bt_parse_ticket (entry->ring, text, ticket, NULL)
                && ticket->account == bt_hash_account (bt_get_caller_account (caller));
  if (*has_ticket || idempotent)
    return BT_REASON_NONE;
  if (text != NULL)
    return BT_REASON_KEY_NOT_MINTED;
  return then->key_required ? BT_REASON_KEY_REQUIRED : BT_REASON_NONE;
}

static bt_call_t *
add_call (bt_entry_t *entry, bt_caller_t *caller, const bt_call_t *initial)
{
  bt_call_t *call = bt_calloc (entry->ctx, 1, sizeof *call);
  const bt_rule_then_t *then = &initial->declarations->rules[initial->rule].then;

  *call = *initial;
  call->id = ++entry->next_call;
  call->caller = bt_keep_caller (caller);
  bt_keep_declarations (call->declarations);
  call->arrived_ms = bt_now_ms (entry->ctx);
  call->deadline_ms = call->arrived_ms
                      + (then->deadline_ms > 0 ? then->deadline_ms
                                               : call->declarations->apps[call->app].deadline_ms);
  call->next = entry->calls[call->id % BT_CALL_BUCKETS];
  entry->calls[call->id % BT_CALL_BUCKETS] = call;
  entry->call_count++;
  bt_set_caller_call (caller, call->id);
  return call;
}

static void
start_call (bt_entry_t *entry, bt_caller_t *caller, bt_call_t *initial)
{
  const bt_rule_then_t *then = &initial->declarations->rules[initial->rule].then;
  bool idempotent = then->idempotent >= 0 ? then->idempotent == 1 : is_idempotent (caller);
  bt_ticket_t ticket = { 0 };
  bt_reason_t reason =
      check_idempotency_key (entry, caller, then, idempotent, &ticket, &initial->has_ticket);
  bt_call_t *call;

  if (reason != BT_REASON_NONE)
    {
      bt_refuse_caller (entry->ctx, caller, BT_OUTCOME_NOT_RUN, reason, 0,
                        "take a ticket from /v1/addresses as Idempotency-Key");
      return;
    }
  initial->home = ticket.home;
  initial->idempotent = idempotent;
  pthread_mutex_lock (&entry->lock);
  /* Checked under the lock that calls are added with: a call added after bt_abort_calls would
   * stay suspended for ever, and libmicrohttpd aborts a process that stops the server while a
   * connection is suspended. */
  if (entry->closed)
    {
      pthread_mutex_unlock (&entry->lock);
      bt_refuse_unprocessed_caller (entry->ctx, caller, BT_REASON_STOPPING, 0, NULL);
      return;
    }
  call = add_call (entry, caller, initial);
  bt_prepare_delivery (entry, call, call->has_ticket ? &ticket : NULL);
  bt_request_admission (entry, call, false);
  pthread_mutex_unlock (&entry->lock);
}

static bt_reason_t
get_config_refusal (bt_entry_t *entry, const bt_declarations_t *declarations)
{
  bt_reason_t refusal;

  pthread_mutex_lock (&entry->lock);
  refusal = bt_get_config_refusal (entry, bt_now_ms (entry->ctx));
  pthread_mutex_unlock (&entry->lock);
  return refusal == BT_REASON_NONE && declarations == NULL ? BT_REASON_NOT_READY : refusal;
}

/* Returns true if the rule can't be used, or none matched while some could not be read. */
static bool
is_unreadable (const bt_declarations_t *declarations, int32_t rule)
{
  return rule < 0 ? declarations->rules_incomplete : declarations->rules[rule].unreadable;
}

void
bt_submit_request (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller)
{
  bt_declarations_t *declarations = bt_get_entry_declarations (entry);
  const bt_rule_then_t *then;
  bt_call_t initial = { .declarations = declarations };
  bt_reason_t refusal = get_config_refusal (entry, declarations);

  if (refusal != BT_REASON_NONE)
    {
      bt_refuse_unprocessed_caller (ctx, caller, refusal, 0, NULL);
      bt_drop_declarations (ctx, declarations);
      return;
    }
  initial.rule = match_rule (entry, caller, declarations, &initial.app, &initial.priority);
  then = initial.rule < 0 ? NULL : &declarations->rules[initial.rule].then;
  if (is_unreadable (declarations, initial.rule))
    bt_refuse_unprocessed_caller (ctx, caller, BT_REASON_DECLARATION_UNREADABLE,
                                  UNREADABLE_RETRY_MS, NULL);
  else if (then == NULL)
    bt_refuse_unprocessed_caller (ctx, caller, BT_REASON_NO_RULE, 0, NULL);
  else if (then->action == BT_ACTION_REFUSE)
    bt_refuse_unprocessed_caller (ctx, caller, BT_REASON_RULE_REFUSED, then->retry_after_ms,
                                  then->message);
  else if (initial.app < 0)
    bt_refuse_unprocessed_caller (ctx, caller, BT_REASON_NO_ENDPOINT, 0, NULL);
  else
    start_call (entry, caller, &initial);
  bt_drop_declarations (ctx, declarations);
}

static void
count_malformed_reply (bt_context_t *ctx)
{
  bt_add_counter (
      bt_find_counter (ctx, BT_COUNTER, "bilberry_malformed_replies_total",
                       "Messages of agents that were not used, since they are not valid.", NULL,
                       NULL),
      1);
}

void
bt_handle_answer_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame)
{
  bt_reply_t reply = { 0 };
  bt_delivery_event_t event = { .kind = BT_DELIVERY_REPLY, .reply = &reply };
  bt_call_t *call;

  if (!bt_read_reply (link, frame, &reply))
    {
      count_malformed_reply (entry->ctx);
      return;
    }
  call = bt_find_call (entry, reply.path.call);
  if (call != NULL)
    bt_handle_call_event (entry, call, &event);
  bt_admit_queued_calls (entry);
}

static void
broadcast_event (bt_entry_t *entry, const bt_delivery_event_t *event)
{
  for (int32_t i = 0; i < BT_CALL_BUCKETS && entry->call_count > 0; i++)
    {
      bt_call_t *next;

      for (bt_call_t *call = entry->calls[i]; call != NULL; call = next)
        {
          next = call->next;
          bt_handle_call_event (entry, call, event);
        }
    }
}

void
bt_fail_link_calls (bt_entry_t *entry, bt_link_t *link)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_LINK_DOWN, .link = bt_get_link_id (link) };

  broadcast_event (entry, &event);
}

void
bt_resume_calls (bt_entry_t *entry, const bt_identity_t *identity)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_LINK_UP, .identity = *identity };

  broadcast_event (entry, &event);
}

void
bt_tick_calls (bt_entry_t *entry, int64_t now_ms)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_TICK };

  broadcast_event (entry, &event);
}

void
bt_abort_calls (bt_entry_t *entry)
{
  for (int32_t i = 0; i < BT_CALL_BUCKETS; i++)
    while (entry->calls[i] != NULL)
      {
        bt_refuse_caller (entry->ctx, entry->calls[i]->caller, BT_OUTCOME_UNKNOWN,
                          BT_REASON_STOPPED_MIDWAY, 0, NULL);
        bt_remove_call (entry, entry->calls[i]);
      }
}

void
bt_handle_caller_disconnect (bt_context_t *ctx, bt_entry_t *entry, uint64_t id)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_CALLER_GONE };
  bt_call_t *call;

  pthread_mutex_lock (&entry->lock);
  call = *find_call_slot (entry, id);
  if (id != 0 && call != NULL)
    bt_handle_call_event (entry, call, &event);
  pthread_mutex_unlock (&entry->lock);
}
