#include "messages.h"

static void
copy_identity (bt_identity_t *identity, const char *instance, uint64_t incarnation)
{
  bt_copy_name (identity->instance, instance);
  identity->incarnation = incarnation;
}

static bool
read_grant (const Bilberry__Grant *frame, bt_grant_t *grant)
{
  if (frame == NULL)
    return false;
  copy_identity (&grant->agent, frame->instance, frame->incarnation);
  grant->expires_ms = frame->expires_ms;
  grant->number = frame->number;
  return true;
}

static void
fill_reply_path (bt_reply_path_t *path, const bt_link_t *link, uint64_t call, uint32_t attempt)
{
  path->link = bt_get_link_id (link);
  path->call = call;
  path->attempt = attempt;
}

static void
send_refusal (bt_context_t *ctx,
              bt_link_t *link,
              bt_reply_kind_t kind,
              const bt_reply_path_t *path,
              bt_reason_t reason)
{
  bt_reply_t reply = { .kind = kind, .path = *path, .reason = reason };

  reply.outcome = bt_get_reason_outcome (reason);
  reply.state = BT_RECORD_FOREIGN;
  bt_send_reply (ctx, link, &reply);
}

bool
bt_read_dispatch (bt_context_t *ctx,
                  const bt_ticket_ring_t *ring,
                  bt_link_t *link,
                  const Bilberry__Dispatch *frame,
                  int64_t now_ms,
                  bt_dispatch_t *dispatch)
{
  fill_reply_path (&dispatch->path, link, frame->call, frame->attempt);
  copy_identity (&dispatch->target, frame->target_instance, frame->target_incarnation);
  dispatch->has_ticket = frame->ticket[0] != '\0';
  dispatch->has_grant = read_grant (frame->grant, &dispatch->grant);
  dispatch->idempotent = frame->idempotent;
  dispatch->attach_only = frame->attach_only;
  dispatch->from_sequence = frame->from_sequence;
  dispatch->body_digest = frame->body_digest;
  dispatch->deadline_ms = now_ms + frame->deadline_left_ms;
  if (!dispatch->has_ticket || bt_parse_ticket (ring, frame->ticket, &dispatch->ticket, NULL))
    return true;
  send_refusal (ctx, link, BT_REPLY_REFUSED, &dispatch->path, BT_REASON_KEY_NOT_MINTED);
  return false;
}

bool
bt_read_grant_request (bt_context_t *ctx,
                       const bt_ticket_ring_t *ring,
                       bt_link_t *link,
                       const Bilberry__GrantRequest *frame,
                       bt_grant_request_t *request)
{
  fill_reply_path (&request->path, link, frame->call, frame->attempt);
  request->after_number = frame->after_number;
  if (read_grant (frame->proposal, &request->proposal)
      && bt_parse_ticket (ring, frame->ticket, &request->ticket, NULL))
    return true;
  send_refusal (ctx, link, BT_REPLY_GRANT, &request->path, BT_REASON_KEY_NOT_MINTED);
  return false;
}

bool
bt_read_tombstone_request (bt_context_t *ctx,
                           const bt_ticket_ring_t *ring,
                           bt_link_t *link,
                           const Bilberry__TombstoneRequest *frame,
                           bt_tombstone_request_t *request)
{
  fill_reply_path (&request->path, link, frame->call, frame->attempt);
  copy_identity (&request->target, frame->target_instance, frame->target_incarnation);
  request->has_grant = read_grant (frame->grant, &request->grant);
  if (bt_parse_ticket (ring, frame->ticket, &request->ticket, NULL))
    return true;
  send_refusal (ctx, link, BT_REPLY_TOMBSTONE, &request->path, BT_REASON_NONE);
  return false;
}

static void
fill_grant (Bilberry__Grant *frame, const bt_grant_t *grant)
{
  bilberry__grant__init (frame);
  frame->instance = (char *)grant->agent.instance;
  frame->incarnation = grant->agent.incarnation;
  frame->expires_ms = grant->expires_ms;
  frame->number = grant->number;
}

static void
send_accepted (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__Accepted accepted = BILBERRY__ACCEPTED__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  accepted.call = reply->path.call;
  accepted.attempt = reply->path.attempt;
  accepted.attached = reply->attached;
  frame.body_case = BILBERRY__FRAME__BODY_ACCEPTED;
  frame.accepted = &accepted;
  bt_send_frame (ctx, link, &frame);
}

static void
send_refused (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__Refused refused = BILBERRY__REFUSED__INIT;
  Bilberry__Grant grant;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  refused.call = reply->path.call;
  refused.attempt = reply->path.attempt;
  refused.reason = reply->reason;
  refused.outcome = reply->outcome;
  refused.retry_after_ms = reply->retry_after_ms;
  refused.has_grant = reply->has_grant;
  fill_grant (&grant, &reply->grant);
  if (reply->has_grant)
    refused.grant = &grant;
  frame.body_case = BILBERRY__FRAME__BODY_REFUSED;
  frame.refused = &refused;
  bt_count_refusal (ctx, reply->reason);
  bt_send_frame (ctx, link, &frame);
}

static void
send_grant (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__GrantReply answer = BILBERRY__GRANT_REPLY__INIT;
  Bilberry__Grant grant;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  answer.call = reply->path.call;
  answer.attempt = reply->path.attempt;
  answer.granted = reply->granted;
  answer.home_runs = reply->home_runs;
  answer.reason = reply->reason;
  answer.outcome = reply->outcome;
  answer.retry_after_ms = reply->retry_after_ms;
  fill_grant (&grant, &reply->grant);
  if (reply->granted)
    answer.grant = &grant;
  frame.body_case = BILBERRY__FRAME__BODY_GRANT_REPLY;
  frame.grant_reply = &answer;
  if (reply->reason != BT_REASON_NONE)
    bt_count_refusal (ctx, reply->reason);
  bt_send_frame (ctx, link, &frame);
}

static void
send_tombstone (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__TombstoneReply answer = BILBERRY__TOMBSTONE_REPLY__INIT;
  Bilberry__Grant grant;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  answer.call = reply->path.call;
  answer.attempt = reply->path.attempt;
  answer.tombstoned = reply->tombstoned;
  answer.state = reply->state;
  fill_grant (&grant, &reply->grant);
  if (reply->has_grant)
    answer.grant = &grant;
  frame.body_case = BILBERRY__FRAME__BODY_TOMBSTONE_REPLY;
  frame.tombstone_reply = &answer;
  bt_send_frame (ctx, link, &frame);
}

/* The data of this reply is the content type. */
static void
send_head (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__AnswerHead head = BILBERRY__ANSWER_HEAD__INIT;
  Bilberry__Header content_type = BILBERRY__HEADER__INIT;
  Bilberry__Header *headers[] = { &content_type };
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  content_type.name = "Content-Type";
  content_type.value = (char *)reply->data;
  head.call = reply->path.call;
  head.attempt = reply->path.attempt;
  head.status = reply->status;
  head.n_headers = 1;
  head.headers = headers;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_HEAD;
  frame.answer_head = &head;
  bt_send_frame (ctx, link, &frame);
}

static void
send_piece (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__AnswerPiece piece = BILBERRY__ANSWER_PIECE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  piece.call = reply->path.call;
  piece.attempt = reply->path.attempt;
  piece.sequence = reply->sequence;
  piece.data.data = (uint8_t *)reply->data;
  piece.data.len = reply->data_bytes;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_PIECE;
  frame.answer_piece = &piece;
  bt_send_frame (ctx, link, &frame);
}

static void
send_end (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  Bilberry__AnswerEnd end = BILBERRY__ANSWER_END__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  end.call = reply->path.call;
  end.attempt = reply->path.attempt;
  end.pieces = reply->pieces;
  end.total_bytes = reply->total_bytes;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_END;
  frame.answer_end = &end;
  bt_send_frame (ctx, link, &frame);
}

typedef void (*send_function_t) (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply);

static const send_function_t send_functions[] = {
  [BT_REPLY_ACCEPTED] = send_accepted, [BT_REPLY_REFUSED] = send_refused,
  [BT_REPLY_GRANT] = send_grant,       [BT_REPLY_TOMBSTONE] = send_tombstone,
  [BT_REPLY_HEAD] = send_head,         [BT_REPLY_PIECE] = send_piece,
  [BT_REPLY_END] = send_end,
};

void
bt_send_reply (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply)
{
  send_functions[reply->kind](ctx, link, reply);
}
