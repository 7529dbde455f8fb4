#include "answers.h"

void
bt_send_accepted (bt_context_t *ctx, bt_link_t *link, bt_call_id_t id, bool attached)
{
  Bilberry__Accepted accepted = BILBERRY__ACCEPTED__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  accepted.call = id.call;
  accepted.attempt = id.attempt;
  accepted.attached = attached;
  frame.body_case = BILBERRY__FRAME__BODY_ACCEPTED;
  frame.accepted = &accepted;
  bt_send_frame (ctx, link, &frame);
}

void
bt_send_refused (bt_context_t *ctx,
                 bt_link_t *link,
                 bt_call_id_t id,
                 bt_reason_t reason,
                 bt_outcome_t outcome,
                 int64_t retry_after_ms)
{
  Bilberry__Refused refused = BILBERRY__REFUSED__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  refused.call = id.call;
  refused.attempt = id.attempt;
  refused.reason = reason;
  refused.outcome = outcome;
  refused.retry_after_ms = retry_after_ms;
  frame.body_case = BILBERRY__FRAME__BODY_REFUSED;
  frame.refused = &refused;
  bt_send_frame (ctx, link, &frame);
}

void
bt_send_head (
    bt_context_t *ctx, bt_link_t *link, bt_call_id_t id, int32_t status, const char *content_type)
{
  Bilberry__AnswerHead head = BILBERRY__ANSWER_HEAD__INIT;
  Bilberry__Header type = BILBERRY__HEADER__INIT;
  Bilberry__Header *headers[] = { &type };
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  type.name = "Content-Type";
  type.value = (char *)content_type;
  head.call = id.call;
  head.attempt = id.attempt;
  head.status = (uint32_t)status;
  head.n_headers = 1;
  head.headers = headers;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_HEAD;
  frame.answer_head = &head;
  bt_send_frame (ctx, link, &frame);
}

void
bt_send_piece (bt_context_t *ctx,
               bt_link_t *link,
               bt_call_id_t id,
               uint64_t sequence,
               const void *data,
               size_t bytes)
{
  Bilberry__AnswerPiece piece = BILBERRY__ANSWER_PIECE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  piece.call = id.call;
  piece.attempt = id.attempt;
  piece.sequence = sequence;
  piece.data.data = (uint8_t *)data;
  piece.data.len = bytes;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_PIECE;
  frame.answer_piece = &piece;
  bt_send_frame (ctx, link, &frame);
}

void
bt_send_end (
    bt_context_t *ctx, bt_link_t *link, bt_call_id_t id, uint64_t pieces, uint64_t total_bytes)
{
  Bilberry__AnswerEnd end = BILBERRY__ANSWER_END__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  end.call = id.call;
  end.attempt = id.attempt;
  end.pieces = pieces;
  end.total_bytes = total_bytes;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_END;
  frame.answer_end = &end;
  bt_send_frame (ctx, link, &frame);
}
