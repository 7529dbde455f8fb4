#include "messages.h"

#include <string.h>

#include "bilberrytray/base/answer_head.h"

static void
fill_grant (Bilberry__Grant *frame, const bt_grant_t *grant)
{
  bilberry__grant__init (frame);
  frame->instance = (char *)grant->agent.instance;
  frame->incarnation = grant->agent.incarnation;
  frame->expires_ms = grant->expires_ms;
  frame->number = grant->number;
}

static bool
read_grant (const Bilberry__Grant *frame, bt_grant_t *grant)
{
  if (frame == NULL)
    return false;
  bt_copy_name (grant->agent.instance, frame->instance);
  grant->agent.incarnation = frame->incarnation;
  grant->expires_ms = frame->expires_ms;
  grant->number = frame->number;
  return true;
}

static bool
read_reason_and_outcome (uint32_t reason, uint32_t outcome, bt_reply_t *reply)
{
  if (reason >= BT_REASON_COUNT || outcome > BT_OUTCOME_UNKNOWN)
    return false;
  reply->reason = (bt_reason_t)reason;
  reply->outcome = (bt_outcome_t)outcome;
  return true;
}

static bool
read_refused (const Bilberry__Refused *frame, bt_reply_t *reply)
{
  reply->kind = BT_REPLY_REFUSED;
  reply->path.call = frame->call;
  reply->path.attempt = frame->attempt;
  reply->retry_after_ms = frame->retry_after_ms;
  reply->has_grant = read_grant (frame->grant, &reply->grant);
  return read_reason_and_outcome (frame->reason, frame->outcome, reply)
         && reply->reason != BT_REASON_NONE;
}

static bool
read_grant_reply (const Bilberry__GrantReply *frame, bt_reply_t *reply)
{
  reply->kind = BT_REPLY_GRANT;
  reply->path.call = frame->call;
  reply->path.attempt = frame->attempt;
  reply->granted = frame->granted;
  reply->home_runs = frame->home_runs;
  reply->retry_after_ms = frame->retry_after_ms;
  if (read_grant (frame->grant, &reply->grant) != reply->granted)
    return false;
  return read_reason_and_outcome (frame->reason, frame->outcome, reply);
}

static bool
read_tombstone_reply (const Bilberry__TombstoneReply *frame, bt_reply_t *reply)
{
  reply->kind = BT_REPLY_TOMBSTONE;
  reply->path.call = frame->call;
  reply->path.attempt = frame->attempt;
  reply->tombstoned = frame->tombstoned;
  reply->state = (bt_record_state_t)frame->state;
  reply->has_grant = read_grant (frame->grant, &reply->grant);
  return frame->state <= BT_RECORD_EXPIRED
         && (reply->has_grant || frame->state != BT_RECORD_GRANTED);
}

static bool
read_head (const Bilberry__AnswerHead *frame, bt_reply_t *reply)
{
  if (frame->n_headers == 0 || !bt_is_final_status (frame->status))
    return false;
  reply->kind = BT_REPLY_HEAD;
  reply->path.call = frame->call;
  reply->path.attempt = frame->attempt;
  reply->status = frame->status;
  reply->data = frame->headers[0]->value;
  reply->data_bytes = strlen (frame->headers[0]->value) + 1;
  return true;
}

static void
read_piece (const Bilberry__AnswerPiece *frame, bt_reply_t *reply)
{
  reply->kind = BT_REPLY_PIECE;
  reply->path.call = frame->call;
  reply->path.attempt = frame->attempt;
  reply->sequence = frame->sequence;
  reply->data = frame->data.data;
  reply->data_bytes = frame->data.len;
}

static void
read_end (const Bilberry__AnswerEnd *frame, bt_reply_t *reply)
{
  reply->kind = BT_REPLY_END;
  reply->path.call = frame->call;
  reply->path.attempt = frame->attempt;
  reply->pieces = frame->pieces;
  reply->total_bytes = frame->total_bytes;
}

bool
bt_read_reply (const bt_link_t *link, const bt_frame_t *frame, bt_reply_t *reply)
{
  reply->path.link = bt_get_link_id (link);
  switch (frame->body_case)
    {
    case BILBERRY__FRAME__BODY_ACCEPTED:
      reply->kind = BT_REPLY_ACCEPTED;
      reply->path.call = frame->accepted->call;
      reply->path.attempt = frame->accepted->attempt;
      return true;
    case BILBERRY__FRAME__BODY_REFUSED:
      return read_refused (frame->refused, reply);
    case BILBERRY__FRAME__BODY_GRANT_REPLY:
      return read_grant_reply (frame->grant_reply, reply);
    case BILBERRY__FRAME__BODY_TOMBSTONE_REPLY:
      return read_tombstone_reply (frame->tombstone_reply, reply);
    case BILBERRY__FRAME__BODY_ANSWER_HEAD:
      return read_head (frame->answer_head, reply);
    case BILBERRY__FRAME__BODY_ANSWER_PIECE:
      read_piece (frame->answer_piece, reply);
      return true;
    case BILBERRY__FRAME__BODY_ANSWER_END:
      read_end (frame->answer_end, reply);
      return true;
    default:
      return false;
    }
}

void
bt_fill_dispatch (Bilberry__Dispatch *frame, const bt_dispatch_t *dispatch, Bilberry__Grant *grant)
{
  frame->call = dispatch->path.call;
  frame->attempt = dispatch->path.attempt;
  frame->target_instance = (char *)dispatch->target.instance;
  frame->target_incarnation = dispatch->target.incarnation;
  frame->idempotent = dispatch->idempotent;
  frame->attach_only = dispatch->attach_only;
  frame->from_sequence = dispatch->from_sequence;
  frame->body_digest = dispatch->body_digest;
  fill_grant (grant, &dispatch->grant);
  if (dispatch->has_grant)
    frame->grant = grant;
}

bool
bt_send_grant_request (bt_context_t *ctx,
                       bt_link_t *link,
                       const bt_grant_request_t *request,
                       const char *ticket)
{
  Bilberry__GrantRequest message = BILBERRY__GRANT_REQUEST__INIT;
  Bilberry__Grant proposal;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  message.call = request->path.call;
  message.attempt = request->path.attempt;
  message.ticket = (char *)ticket;
  message.after_number = request->after_number;
  fill_grant (&proposal, &request->proposal);
  message.proposal = &proposal;
  frame.body_case = BILBERRY__FRAME__BODY_GRANT_REQUEST;
  frame.grant_request = &message;
  return bt_send_frame (ctx, link, &frame);
}

bool
bt_send_tombstone_request (bt_context_t *ctx,
                           bt_link_t *link,
                           const bt_tombstone_request_t *request,
                           const char *ticket)
{
  Bilberry__TombstoneRequest message = BILBERRY__TOMBSTONE_REQUEST__INIT;
  Bilberry__Grant grant;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  message.call = request->path.call;
  message.attempt = request->path.attempt;
  message.ticket = (char *)ticket;
  message.target_instance = (char *)request->target.instance;
  message.target_incarnation = request->target.incarnation;
  fill_grant (&grant, &request->grant);
  if (request->has_grant)
    message.grant = &grant;
  frame.body_case = BILBERRY__FRAME__BODY_TOMBSTONE_REQUEST;
  frame.tombstone_request = &message;
  return bt_send_frame (ctx, link, &frame);
}

bool
bt_send_cancel (bt_context_t *ctx, bt_link_t *link, const bt_reply_path_t *path)
{
  Bilberry__Cancel cancel = BILBERRY__CANCEL__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  cancel.call = path->call;
  cancel.attempt = path->attempt;
  frame.body_case = BILBERRY__FRAME__BODY_CANCEL;
  frame.cancel = &cancel;
  return bt_send_frame (ctx, link, &frame);
}
