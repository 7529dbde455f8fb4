#include "bilberrytray/base/event_log.h"
#include "bilberrytray/config/declarations.h"
#include "sidecar_private.h"

/* Bounds of the fields of frames. A value beyond them is a fault of the sender. */
enum
{
  MAX_TARGET_MS = 86400000,
  MAX_TOKENS = 1 << 24,
  MAX_READ_US = 600000000,
  MAX_SLOTS = 1 << 16,
  MAX_SHARE = 1000000,
  MAX_IDS = 4096,
  LOG_INTERVAL_MS = 1000,
};

static bool
read_ask (const Bilberry__RoomAsk *message, bt_room_ask_t *ask)
{
  if (message->priority >= BT_PRIORITY_COUNT || message->target_left_ms > MAX_TARGET_MS
      || message->target_left_ms < -MAX_TARGET_MS || message->prompt_tokens > MAX_TOKENS
      || message->answer_tokens > MAX_TOKENS || message->read_us > MAX_READ_US
      || message->slots > MAX_SLOTS || message->depth > MAX_SLOTS || message->burst == 0
      || message->share > MAX_SHARE)
    return false;
  ask->id = message->id;
  ask->priority = (int32_t)message->priority;
  ask->target_left_ms = message->target_left_ms;
  ask->prompt_tokens = message->prompt_tokens;
  ask->answer_tokens = message->answer_tokens;
  ask->read_us = message->read_us;
  ask->slots = (int32_t)message->slots;
  ask->depth = (int32_t)message->depth;
  ask->burst =
      message->burst < BT_ROOM_MAX_BURST ? (int32_t)message->burst : (int32_t)BT_ROOM_MAX_BURST;
  ask->wait = message->wait;
  ask->account = message->account;
  ask->share = (int32_t)message->share;
  return true;
}

/* Returns the link that a reply is for, or NULL if it is down. */
static bt_link_t *
find_link_by_id (const bt_sidecar_t *sidecar, uint64_t id)
{
  for (const bt_sidecar_link_t *peer = sidecar->links; peer != NULL; peer = peer->next)
    if (bt_get_link_id (peer->link) == id)
      return peer->link;
  return NULL;
}

static void
send_reply (bt_sidecar_t *sidecar, const bt_room_reply_t *reply)
{
  Bilberry__RoomReply message = BILBERRY__ROOM_REPLY__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  bt_link_t *link = find_link_by_id (sidecar, reply->link);

  if (link == NULL)
    return;
  message.id = reply->id;
  message.verdict = (uint32_t)reply->verdict;
  message.load = (uint32_t)reply->load;
  message.waiting = (uint32_t)reply->waiting;
  message.hold_ms = (uint32_t)reply->hold_ms;
  message.wait_ms = reply->wait_ms < UINT32_MAX ? (uint32_t)reply->wait_ms : UINT32_MAX;
  frame.body_case = BILBERRY__FRAME__BODY_ROOM_REPLY;
  frame.room_reply = &message;
  bt_send_frame (sidecar->ctx, link, &frame);
}

/* Logs at most one line in LOG_INTERVAL_MS, with the number of asks since the last one. */
static void
log_displaced (bt_sidecar_t *sidecar, const bt_room_counts_t *counts, int64_t now_ms)
{
  bt_sidecar_room_t *room = &sidecar->room;

  if (counts->displaced == room->displaced_logged || now_ms < room->next_log_ms)
    return;
  bt_log_event (sidecar->ctx, BT_LOG_INFO, "room-displaced", "{s:I, s:i, s:i}", "times",
                (json_int_t)(counts->displaced - room->displaced_logged), "waiting",
                counts->waiting, "load", counts->load);
  room->displaced_logged = counts->displaced;
  room->next_log_ms = now_ms + LOG_INTERVAL_MS;
}

/* Updates the metrics, sends the replies, and wakes the main loop if it would wake too late. */
static void
finish_event (bt_sidecar_t *sidecar, int64_t now_ms)
{
  bt_sidecar_room_t *room = &sidecar->room;
  bt_room_reply_t reply;
  bt_room_counts_t counts;

  bt_count_room (room->ledger, now_ms, &counts);
  bt_count_sidecar_room (&sidecar->metrics, &room->counted, &counts);
  room->counted = counts;
  while (bt_next_room_reply (room->ledger, &reply))
    send_reply (sidecar, &reply);
  log_displaced (sidecar, &counts, now_ms);
  room->wake_ms = bt_get_room_wake_ms (room->ledger, now_ms);
  if (room->wake_ms < sidecar->waiting_until_ms)
    pthread_cond_signal (&sidecar->wakeup);
}

static void
pass_report (bt_sidecar_t *sidecar)
{
  bt_sidecar_room_t *room = &sidecar->room;

  bt_report_room (sidecar->ctx, room->ledger, &room->report, room->reported_ms);
}

/* Creates the ledger with the first frame, so that an agent that nobody asks has none. */
static void
open_ledger (bt_sidecar_t *sidecar)
{
  bt_sidecar_room_t *room = &sidecar->room;

  if (room->ledger != NULL)
    return;
  room->ledger = bt_new_room_ledger (sidecar->ctx, room->started_ms);
  if (room->reported)
    pass_report (sidecar);
}

static bool
handle_ask (bt_sidecar_t *sidecar, uint64_t link, const Bilberry__RoomAsk *message, int64_t now_ms)
{
  bt_room_ask_t ask;

  if (!read_ask (message, &ask))
    return false;
  open_ledger (sidecar);
  bt_ask_room (sidecar->ctx, sidecar->room.ledger, link, &ask, now_ms);
  return true;
}

static void
use_ids (bt_sidecar_t *sidecar,
         uint64_t link,
         bt_room_use_t use,
         const uint64_t *ids,
         size_t count,
         int64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    bt_use_room (sidecar->ctx, sidecar->room.ledger, link, use, ids[i], now_ms);
}

/* Applies starts before ends, since a frame may carry both of one request. */
static bool
handle_use (bt_sidecar_t *sidecar, uint64_t link, const Bilberry__RoomUse *use, int64_t now_ms)
{
  if (use->n_started > MAX_IDS || use->n_unasked > MAX_IDS || use->n_ended > MAX_IDS
      || use->n_released > MAX_IDS || use->n_withdrawn > MAX_IDS)
    return false;
  open_ledger (sidecar);
  use_ids (sidecar, link, BT_ROOM_STARTED, use->started, use->n_started, now_ms);
  use_ids (sidecar, link, BT_ROOM_UNASKED, use->unasked, use->n_unasked, now_ms);
  use_ids (sidecar, link, BT_ROOM_WITHDRAWN, use->withdrawn, use->n_withdrawn, now_ms);
  use_ids (sidecar, link, BT_ROOM_ENDED, use->ended, use->n_ended, now_ms);
  use_ids (sidecar, link, BT_ROOM_RELEASED, use->released, use->n_released, now_ms);
  return true;
}

void
bt_handle_room_frame (bt_sidecar_t *sidecar, const bt_link_t *link, const bt_frame_t *frame)
{
  const uint64_t id = bt_get_link_id (link);
  int64_t now_ms;
  bool valid;

  pthread_mutex_lock (&sidecar->lock);
  now_ms = bt_now_ms (sidecar->ctx);
  if (frame->body_case == BILBERRY__FRAME__BODY_ROOM_ASK)
    valid = handle_ask (sidecar, id, frame->room_ask, now_ms);
  else
    valid = handle_use (sidecar, id, frame->room_use, now_ms);
  if (valid)
    finish_event (sidecar, now_ms);
  pthread_mutex_unlock (&sidecar->lock);
  if (!valid)
    bt_add_counter (sidecar->metrics.room_dropped, 1);
}

void
bt_remove_sidecar_room_link (bt_sidecar_t *sidecar, const bt_link_t *link)
{
  const int64_t now_ms = bt_now_ms (sidecar->ctx);

  if (sidecar->room.ledger == NULL)
    return;
  bt_remove_room_link (sidecar->ctx, sidecar->room.ledger, bt_get_link_id (link), now_ms);
  finish_event (sidecar, now_ms);
}

void
bt_advance_sidecar_room (bt_sidecar_t *sidecar)
{
  int64_t now_ms;

  if (sidecar->room.ledger == NULL || sidecar->room.wake_ms == INT64_MAX)
    return;
  now_ms = bt_now_ms (sidecar->ctx);
  if (now_ms < sidecar->room.wake_ms)
    return;
  bt_advance_room (sidecar->ctx, sidecar->room.ledger, now_ms);
  finish_event (sidecar, now_ms);
}

void
bt_mark_sidecar_room_report (bt_sidecar_t *sidecar)
{
  pthread_mutex_lock (&sidecar->lock);
  if (sidecar->room.ledger != NULL)
    bt_mark_room_report (sidecar->room.ledger);
  pthread_mutex_unlock (&sidecar->lock);
}

void
bt_pass_sidecar_room_report (bt_sidecar_t *sidecar, const bt_engine_report_t *report)
{
  bt_sidecar_room_t *room = &sidecar->room;

  pthread_mutex_lock (&sidecar->lock);
  room->reported = true;
  room->reported_ms = bt_now_ms (sidecar->ctx);
  room->report = (bt_room_report_t){
    .running = report->running,
    .queued = report->queued,
    .memory_used = report->memory_used,
    .memory = report->memory,
    .started_ms = report->maps.started_ms,
  };
  if (room->ledger != NULL)
    {
      pass_report (sidecar);
      finish_event (sidecar, room->reported_ms);
    }
  pthread_mutex_unlock (&sidecar->lock);
}
