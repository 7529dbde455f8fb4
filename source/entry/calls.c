#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/log.h"
#include "entry_private.h"

static const char *const json_content = "application/json";

static bt_call_t **
find_place (bt_entry_t *entry, uint64_t id)
{
  bt_call_t **place = &entry->calls[id % BT_CALL_BUCKETS];

  while (*place != NULL && (*place)->id != id)
    place = &(*place)->next;
  return place;
}

static void
remove_call (bt_entry_t *entry, bt_call_t *call)
{
  bt_cancel_admission (entry->admission, call->id);
  *find_place (entry, call->id) = call->next;
  entry->call_count--;
  bt_drop_link (entry->ctx, call->link);
  bt_drop_declarations (entry->ctx, call->declarations);
  bt_drop_caller (entry->ctx, call->caller);
  bt_free (entry->ctx, call);
}

static void
end_attempt (bt_entry_t *entry, bt_call_t *call, bt_attempt_end_t end)
{
  int64_t now_ms = bt_now_ms (entry->ctx);

  if (call->link != NULL)
    bt_record_attempt_end (entry->router, &call->route, end, now_ms - call->dispatched_ms, now_ms);
  bt_drop_link (entry->ctx, call->link);
  call->link = NULL;
}

bt_call_t *
bt_find_call (bt_entry_t *entry, uint64_t id)
{
  return *find_place (entry, id);
}

void
bt_refuse_call (bt_entry_t *entry,
                bt_call_t *call,
                bt_outcome_t outcome,
                bt_reason_t reason,
                int64_t retry_after_ms)
{
  bt_refuse_caller (entry->ctx, call->caller, outcome, reason, retry_after_ms, NULL);
  remove_call (entry, call);
}

static bool
send_dispatch (bt_entry_t *entry, bt_call_t *call, bt_link_t *link, int64_t now_ms)
{
  const bt_caller_request_t *request = bt_get_caller_request (call->caller);
  Bilberry__Dispatch dispatch = BILBERRY__DISPATCH__INIT;
  Bilberry__Header headers[BT_MAX_CALLER_HEADERS];
  Bilberry__Header *header_list[BT_MAX_CALLER_HEADERS];
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  for (int32_t i = 0; i < request->header_count; i++)
    {
      bilberry__header__init (&headers[i]);
      headers[i].name = (char *)request->headers[i].name;
      headers[i].value = (char *)request->headers[i].value;
      header_list[i] = &headers[i];
    }
  dispatch.call = call->id;
  dispatch.attempt = call->attempt;
  dispatch.target_instance = call->route.identity.instance;
  dispatch.target_incarnation = call->route.identity.incarnation;
  dispatch.account = (char *)bt_get_caller_account (call->caller);
  dispatch.app = call->declarations->apps[call->app].name;
  dispatch.method = request->method;
  dispatch.path = request->path;
  dispatch.n_headers = (size_t)request->header_count;
  dispatch.headers = header_list;
  dispatch.body.data = request->body;
  dispatch.body.len = request->body_bytes;
  dispatch.priority = call->priority;
  dispatch.deadline_left_ms = call->deadline_ms - now_ms;
  dispatch.revision = call->declarations->revision;
  frame.body_case = BILBERRY__FRAME__BODY_DISPATCH;
  frame.dispatch = &dispatch;
  return bt_send_frame (entry->ctx, link, &frame);
}

void
bt_dispatch_call (bt_entry_t *entry, bt_call_t *call)
{
  bt_route_request_t request = { 0 };
  int64_t now_ms = bt_now_ms (entry->ctx);
  int64_t retry_after_ms = 0;
  bt_reason_t reason;
  bt_peer_t *peer;

  request.app = call->declarations->apps[call->app].name;
  request.account = bt_get_caller_account (call->caller);
  request.priority = call->priority;
  request.deadline_left_ms = call->deadline_ms - now_ms;
  request.seed = entry->seed++;
  reason = bt_choose_endpoint (entry->router, &request, now_ms, &call->route, &retry_after_ms);
  if (reason != BT_REASON_NONE)
    {
      bt_refuse_call (entry, call, BT_OUTCOME_NOT_RUN, reason, retry_after_ms);
      return;
    }
  peer = bt_find_peer_identity (entry, &call->route.identity);
  if (peer == NULL)
    {
      bt_refuse_call (entry, call, BT_OUTCOME_NOT_RUN, BT_REASON_NO_ENDPOINT, retry_after_ms);
      return;
    }
  call->attempt++;
  call->dispatched_ms = now_ms;
  call->link = bt_keep_link (peer->link);
  bt_record_dispatch (entry->router, &call->route, 0, now_ms);
  if (!send_dispatch (entry, call, peer->link, now_ms))
    {
      end_attempt (entry, call, BT_ATTEMPT_FAILED);
      bt_refuse_call (entry, call, BT_OUTCOME_UNKNOWN, BT_REASON_LINK_LOST, 0);
    }
}

/* The app that a request names: by header, or by the field "model" of a JSON body. */
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
  if (type == NULL || strncmp (type, json_content, strlen (json_content)) != 0)
    return bt_strdup (entry->ctx, "");
  body = json_loadb ((const char *)request->body, request->body_bytes, 0, NULL);
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
match_caller (bt_entry_t *entry,
              bt_caller_t *caller,
              const bt_declarations_t *declarations,
              int32_t *app,
              int32_t *wanted_priority)
{
  const bt_caller_request_t *request = bt_get_caller_request (caller);
  const char *priority = bt_find_caller_header (caller, "Bilberry-Priority");
  char *named = read_app (entry, caller);
  bt_request_facts_t facts = { 0 };
  int32_t rule;

  facts.account = bt_get_caller_account (caller);
  facts.app = named;
  facts.method = request->method;
  facts.path = request->path;
  facts.headers = request->headers;
  facts.header_count = request->header_count;
  facts.idempotent = is_idempotent (caller);
  facts.body_bytes = (int64_t)request->body_bytes;
  facts.priority = BT_PRIORITY_NORMAL;
  if (priority != NULL)
    bt_parse_priority (priority, &facts.priority);
  rule = bt_match_rules (declarations, &facts);
  *wanted_priority = rule >= 0 && declarations->rules[rule].then.priority >= 0
                         ? declarations->rules[rule].then.priority
                         : (int32_t)facts.priority;
  *app = rule >= 0 && declarations->rules[rule].then.app >= 0 ? declarations->rules[rule].then.app
                                                              : bt_find_app (declarations, named);
  bt_free (entry->ctx, named);
  return rule;
}

static bt_call_t *
add_call (bt_entry_t *entry,
          bt_caller_t *caller,
          bt_declarations_t *declarations,
          int32_t rule,
          int32_t app,
          int32_t priority)
{
  bt_call_t *call = bt_calloc (entry->ctx, 1, sizeof *call);
  const bt_rule_then_t *then = &declarations->rules[rule].then;

  call->id = ++entry->next_call;
  call->caller = bt_keep_caller (caller);
  call->declarations = bt_keep_declarations (declarations);
  call->rule = rule;
  call->app = app;
  call->priority = priority;
  call->deadline_ms =
      bt_now_ms (entry->ctx)
      + (then->deadline_ms > 0 ? then->deadline_ms : declarations->apps[app].deadline_ms);
  call->next = entry->calls[call->id % BT_CALL_BUCKETS];
  entry->calls[call->id % BT_CALL_BUCKETS] = call;
  entry->call_count++;
  bt_set_caller_call (caller, call->id);
  return call;
}

void
bt_submit_entry (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller)
{
  bt_declarations_t *declarations = bt_get_entry_declarations (entry);
  const bt_rule_then_t *then;
  int32_t rule;
  int32_t app;
  int32_t priority;

  if (declarations == NULL)
    {
      bt_refuse_caller (ctx, caller, BT_OUTCOME_NOT_RUN, BT_REASON_NOT_READY, 0, NULL);
      return;
    }
  rule = match_caller (entry, caller, declarations, &app, &priority);
  then = rule < 0 ? NULL : &declarations->rules[rule].then;
  if (then == NULL)
    bt_refuse_caller (ctx, caller, BT_OUTCOME_NOT_RUN, BT_REASON_NO_RULE, 0, NULL);
  else if (then->action == BT_ACTION_REFUSE)
    bt_refuse_caller (ctx, caller, BT_OUTCOME_NOT_RUN, BT_REASON_RULE_REFUSED, then->retry_after_ms,
                      then->message);
  else if (app < 0)
    bt_refuse_caller (ctx, caller, BT_OUTCOME_NOT_RUN, BT_REASON_NO_ENDPOINT, 0, NULL);
  else
    {
      pthread_mutex_lock (&entry->lock);
      bt_place_call (entry, add_call (entry, caller, declarations, rule, app, priority), false);
      pthread_mutex_unlock (&entry->lock);
    }
  bt_drop_declarations (ctx, declarations);
}

/* An answer counts only if it belongs to this call's present attempt and came on the very link that
 * the attempt went out on: a late frame of an earlier attempt never reaches a caller. */
static bt_call_t *
match_call (bt_entry_t *entry, const bt_link_t *link, uint64_t id, uint32_t attempt)
{
  bt_call_t *call = *find_place (entry, id);

  return call != NULL && call->attempt == attempt && call->link == link ? call : NULL;
}

static void
take_refused (bt_entry_t *entry, bt_link_t *link, const Bilberry__Refused *refused)
{
  bt_call_t *call = match_call (entry, link, refused->call, refused->attempt);
  bool not_run = refused->outcome == BT_OUTCOME_NOT_RUN;

  if (call == NULL || refused->reason >= BT_REASON_COUNT)
    return;
  end_attempt (entry, call, not_run ? BT_ATTEMPT_REFUSED : BT_ATTEMPT_FAILED);
  bt_refuse_call (entry, call, not_run ? BT_OUTCOME_NOT_RUN : BT_OUTCOME_UNKNOWN,
                  (bt_reason_t)refused->reason, refused->retry_after_ms);
}

static void
take_head (bt_entry_t *entry, bt_link_t *link, const Bilberry__AnswerHead *head)
{
  bt_call_t *call = match_call (entry, link, head->call, head->attempt);

  if (call == NULL)
    return;
  call->begun = true;
  bt_begin_answer (entry->ctx, call->caller, (int32_t)head->status,
                   head->n_headers > 0 ? head->headers[0]->value : json_content);
}

static void
cut_call (bt_entry_t *entry, bt_call_t *call, bt_reason_t reason)
{
  end_attempt (entry, call, BT_ATTEMPT_FAILED);
  bt_refuse_caller (entry->ctx, call->caller, BT_OUTCOME_UNKNOWN, reason, 0, NULL);
  remove_call (entry, call);
}

static void
take_piece (bt_entry_t *entry, bt_link_t *link, const Bilberry__AnswerPiece *piece)
{
  bt_call_t *call = match_call (entry, link, piece->call, piece->attempt);

  if (call == NULL)
    return;
  if (piece->sequence != call->next_sequence)
    {
      cut_call (entry, call, BT_REASON_ANSWER_DROPPED);
      return;
    }
  call->next_sequence++;
  if (!bt_add_answer (entry->ctx, call->caller, piece->data.data, piece->data.len))
    cut_call (entry, call, BT_REASON_ANSWER_DROPPED);
}

static void
take_end (bt_entry_t *entry, bt_link_t *link, const Bilberry__AnswerEnd *end)
{
  bt_call_t *call = match_call (entry, link, end->call, end->attempt);

  if (call == NULL)
    return;
  if (!call->begun || end->pieces != call->next_sequence)
    {
      cut_call (entry, call, BT_REASON_ANSWER_DROPPED);
      return;
    }
  end_attempt (entry, call, BT_ATTEMPT_ANSWERED);
  bt_end_answer (entry->ctx, call->caller);
  remove_call (entry, call);
}

void
bt_take_answer_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame)
{
  switch (frame->body_case)
    {
    case BILBERRY__FRAME__BODY_REFUSED:
      take_refused (entry, link, frame->refused);
      break;
    case BILBERRY__FRAME__BODY_ANSWER_HEAD:
      take_head (entry, link, frame->answer_head);
      break;
    case BILBERRY__FRAME__BODY_ANSWER_PIECE:
      take_piece (entry, link, frame->answer_piece);
      break;
    case BILBERRY__FRAME__BODY_ANSWER_END:
      take_end (entry, link, frame->answer_end);
      break;
    default:
      return;
    }
  bt_place_waiting_calls (entry);
}

typedef bool (*call_test_t) (const bt_call_t *call, const void *argument);

static void
end_calls (bt_entry_t *entry, call_test_t test, const void *argument, bt_reason_t reason)
{
  for (int32_t i = 0; i < BT_CALL_BUCKETS && entry->call_count > 0; i++)
    {
      bt_call_t *next;

      for (bt_call_t *call = entry->calls[i]; call != NULL; call = next)
        {
          next = call->next;
          if (test (call, argument))
            cut_call (entry, call, reason);
        }
    }
}

static bool
is_on_link (const bt_call_t *call, const void *argument)
{
  return call->link == argument;
}

void
bt_fail_link_calls (bt_entry_t *entry, bt_link_t *link)
{
  end_calls (entry, is_on_link, link, BT_REASON_LINK_LOST);
}

static bool
is_expired (const bt_call_t *call, const void *argument)
{
  return call->deadline_ms <= *(const int64_t *)argument;
}

void
bt_expire_calls (bt_entry_t *entry, int64_t now_ms)
{
  end_calls (entry, is_expired, &now_ms, BT_REASON_DEADLINE_PASSED);
}

static bool
is_any (const bt_call_t *call, const void *argument)
{
  return true;
}

void
bt_cut_calls (bt_entry_t *entry)
{
  end_calls (entry, is_any, NULL, BT_REASON_STOPPING);
}

static void
send_cancel (bt_entry_t *entry, bt_call_t *call)
{
  Bilberry__Cancel cancel = BILBERRY__CANCEL__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  cancel.call = call->id;
  cancel.attempt = call->attempt;
  frame.body_case = BILBERRY__FRAME__BODY_CANCEL;
  frame.cancel = &cancel;
  bt_send_frame (entry->ctx, call->link, &frame);
}

void
bt_abandon_entry_call (bt_context_t *ctx, bt_entry_t *entry, uint64_t id)
{
  bt_call_t *call;

  pthread_mutex_lock (&entry->lock);
  call = *find_place (entry, id);
  if (id != 0 && call != NULL)
    {
      if (call->link != NULL)
        send_cancel (entry, call);
      end_attempt (entry, call, BT_ATTEMPT_CANCELLED);
      bt_count_outcome (ctx, BT_OUTCOME_UNKNOWN);
      remove_call (entry, call);
    }
  pthread_mutex_unlock (&entry->lock);
}
