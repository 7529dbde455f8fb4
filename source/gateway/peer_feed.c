#include "peer_feed.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "departed_peers.h"
#include "feed_followers.h"
#include "feed_messages.h"

enum
{
  HEARTBEAT_INTERVAL_MS = 250,
  IDLE_MS = 800,
  HANDSHAKE_TIMEOUT_MS = 500,
  /* Interval between connection attempts to two candidates. */
  REDIAL_MS = 600,
  /* An item may have up to a megabyte, such as a large configuration. */
  MAX_FRAME_BYTES = 16 << 20,
  MAX_UNSENT_BYTES = 16 << 20,
  MAX_LINKS = 256,
};

struct bt_peer_feed
{
  bt_link_handler_t handler; /* must be first: callbacks cast it to bt_peer_feed_t */
  bt_context_t *ctx;
  bt_peer_feed_options_t options;
  bt_store_copy_t *copy;
  bt_link_loop_t *loop;
  /* Used only by the thread that owns the copy of the store. */
  int32_t next_candidate;
  int64_t dialled_ms;
  /* Lock order: acquired before the copy's lock, and before any call into a link. */
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t changed;
  bt_feed_follower_t *followers;
  bool attached;         /* the store answers this entry */
  int64_t told_as_of_ms; /* as-of time of the copy when all followers were last told */
  bool vouching;         /* the last state that was sent says that the copy is fresh */
  bool retired;
  char address[BT_ADDRESS_BYTES]; /* address of the followed peer */
  bt_link_t *link;                /* link to the followed peer */
  bool up;
  bool synced; /* the followed peer has sent its items */
  bool peer_attached;
  bt_kv_position_t peer_position;
  bt_copy_claim_t peer_claim; /* the latest one, by this entry's clock */
  int64_t peer_as_of_ms;      /* of the latest claim up to which this entry's copy has caught up */
  bt_kv_position_t requested; /* peer_position at the last request for missing changes */
  bt_store_update_t *first_update;
  bt_store_update_t **update_tail;
  bt_departed_peers_t departed;
};

static void
send_message (bt_peer_feed_t *feed, bt_link_t *link, Bilberry__Frame__BodyCase kind, void *message)
{
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  frame.body_case = kind;
  switch (kind)
    {
    case BILBERRY__FRAME__BODY_STORE_ITEMS:
      frame.store_items = message;
      break;
    case BILBERRY__FRAME__BODY_STORE_FOLLOW:
      frame.store_follow = message;
      break;
    default:
      frame.store_state = message;
      break;
    }
  if (!bt_send_frame (feed->ctx, link, &frame))
    bt_log_event (feed->ctx, BT_LOG_WARNING, "peer-unreachable", "{s:s}", "peer",
                  bt_get_link_instance (link));
}

/* Logs when the followers are told that the copy is not fresh any more. */
static void
record_vouching (bt_peer_feed_t *feed, bool vouching, int64_t age_ms)
{
  if (feed->vouching && !vouching)
    bt_log_event (feed->ctx, BT_LOG_INFO, "feed-suspended", "{s:b, s:I}", "reads_store",
                  feed->attached && !feed->retired, "age_ms", (json_int_t)age_ms);
  feed->vouching = vouching;
}

static void
send_state (bt_peer_feed_t *feed, bt_link_t *link)
{
  Bilberry__StoreState state = BILBERRY__STORE_STATE__INIT;
  bt_copy_claim_t claim = bt_get_copy_claim (feed->copy);
  int64_t now_ms = bt_now_ms (feed->ctx);

  state.attached = feed->attached && !feed->retired
                   && bt_get_follow_left_ms (&feed->options.freshness, claim.as_of_ms, now_ms) > 0;
  record_vouching (feed, state.attached, now_ms - claim.as_of_ms);
  bt_write_claim (&claim, bt_find_feed_follower (feed->followers, link), &state);
  state.leaving = feed->retired;
  state.sent_ms = now_ms;
  send_message (feed, link, BILBERRY__FRAME__BODY_STORE_STATE, &state);
}

static void
send_follow (bt_peer_feed_t *feed)
{
  Bilberry__StoreFollow follow = BILBERRY__STORE_FOLLOW__INIT;
  bt_kv_position_t position = bt_get_copy_position (feed->copy);

  follow.era = position.era;
  follow.revision = position.revision;
  follow.sent_ms = bt_now_ms (feed->ctx);
  send_message (feed, feed->link, BILBERRY__FRAME__BODY_STORE_FOLLOW, &follow);
}

/** Arguments of send_items. */
typedef struct items_args
{
  bt_peer_feed_t *feed;
  bt_link_t *link; /* the receiver; NULL: all followers */
  bt_kv_position_t from;
} items_args_t;

static void
send_to_followers (bt_peer_feed_t *feed, Bilberry__Frame__BodyCase kind, void *message)
{
  for (const bt_feed_follower_t *row = feed->followers; row != NULL; row = row->next)
    send_message (feed, row->link, kind, message);
}

static void
send_items (void *data, const bt_kv_range_t *items, const bt_retention_t *retained)
{
  items_args_t *args = data;
  Bilberry__StoreItems message;

  bt_write_items_message (args->feed->ctx, args->from, items, retained, bt_now_ms (args->feed->ctx),
                          &message);
  if (args->link != NULL)
    send_message (args->feed, args->link, BILBERRY__FRAME__BODY_STORE_ITEMS, &message);
  else
    send_to_followers (args->feed, BILBERRY__FRAME__BODY_STORE_ITEMS, &message);
  bt_clear_items_message (args->feed->ctx, &message);
}

static void
handle_link_up (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_peer_feed_t *feed = (bt_peer_feed_t *)handler;

  pthread_mutex_lock (&feed->lock);
  if (link == feed->link)
    {
      feed->up = true;
      send_follow (feed);
    }
  pthread_mutex_unlock (&feed->lock);
}

static void
handle_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_peer_feed_t *feed = (bt_peer_feed_t *)handler;

  pthread_mutex_lock (&feed->lock);
  if (link == feed->link)
    feed->up = false;
  bt_remove_feed_follower (feed->ctx, &feed->followers, link);
  pthread_cond_signal (&feed->changed);
  pthread_mutex_unlock (&feed->lock);
}

static void
record_message_time (bt_peer_feed_t *feed, bt_feed_follower_t *follower, int64_t sent_ms)
{
  follower->echo_ms = sent_ms;
  follower->arrival_ms = bt_now_ms (feed->ctx);
}

/* Handles the request of a new follower, or of one that missed an update. Sends all items that
 * changed after the follower's position. Removed keys are not recorded, so the message also holds
 * all present keys. */
static void
handle_follow (bt_peer_feed_t *feed, bt_link_t *link, const Bilberry__StoreFollow *follow)
{
  items_args_t args = { feed, link, { follow->era, follow->revision } };

  record_message_time (feed, bt_add_feed_follower (feed->ctx, &feed->followers, link),
                       follow->sent_ms);
  bt_visit_shown_items (feed->copy, send_items, &args);
  send_state (feed, link);
}

static void
advance_peer_position (bt_peer_feed_t *feed, int64_t era, int64_t revision)
{
  bt_kv_position_t position = { era, revision };

  if (bt_compare_kv_positions (position, feed->peer_position) > 0)
    feed->peer_position = position;
}

static void
handle_items (bt_peer_feed_t *feed, const Bilberry__StoreItems *message)
{
  bt_store_update_t *update = bt_read_items_message (feed->ctx, message);

  feed->synced = true;
  advance_peer_position (feed, message->era, message->revision);
  *feed->update_tail = update;
  feed->update_tail = &update->next;
}

/* Takes over what the followed peer says of its copy, once this entry's copy has caught up. */
static void
confirm_peer_claim (bt_peer_feed_t *feed)
{
  if (feed->peer_claim.as_of_ms != bt_never_complete_ms
      && bt_confirm_copy_claim (feed->copy, &feed->peer_claim)
      && feed->peer_claim.as_of_ms > feed->peer_as_of_ms)
    feed->peer_as_of_ms = feed->peer_claim.as_of_ms;
}

/* Handles the state of a peer, which may be the followed one, a follower, or both. */
static void
handle_state (bt_peer_feed_t *feed, bt_link_t *link, const Bilberry__StoreState *state)
{
  bt_feed_follower_t *follower = bt_find_feed_follower (feed->followers, link);
  bt_copy_claim_t claim;

  if (follower != NULL)
    record_message_time (feed, follower, state->sent_ms);
  if (state->leaving)
    bt_record_departed_peer (feed->ctx, &feed->departed, link);
  if (link != feed->link)
    return;
  feed->peer_attached = state->attached;
  advance_peer_position (feed, state->era, state->revision);
  if (state->attached && bt_read_claim (state, &claim))
    feed->peer_claim = claim;
  confirm_peer_claim (feed);
}

static void
handle_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_peer_feed_t *feed = (bt_peer_feed_t *)handler;

  pthread_mutex_lock (&feed->lock);
  if (frame->body_case == BILBERRY__FRAME__BODY_STORE_STATE)
    handle_state (feed, link, frame->store_state);
  else if (frame->body_case == BILBERRY__FRAME__BODY_STORE_FOLLOW)
    handle_follow (feed, link, frame->store_follow);
  else if (link == feed->link && frame->body_case == BILBERRY__FRAME__BODY_STORE_ITEMS)
    handle_items (feed, frame->store_items);
  pthread_cond_signal (&feed->changed);
  pthread_mutex_unlock (&feed->lock);
}

static void
send_heartbeat (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_peer_feed_t *feed = (bt_peer_feed_t *)handler;

  pthread_mutex_lock (&feed->lock);
  send_state (feed, link);
  pthread_mutex_unlock (&feed->lock);
}

static const bt_link_handler_vtable_t handler_vtable = { handle_link_up, handle_frame,
                                                         handle_link_down, send_heartbeat };

bt_peer_feed_t *
bt_new_peer_feed (bt_context_t *ctx,
                  const bt_peer_feed_options_t *options,
                  bt_store_copy_t *copy,
                  bt_error_t *error)
{
  bt_peer_feed_t *feed = bt_calloc (ctx, 1, sizeof *feed);
  bt_link_options_t link_options = {
    .heartbeat_interval_ms = HEARTBEAT_INTERVAL_MS,
    .idle_ms = IDLE_MS,
    .handshake_timeout_ms = HANDSHAKE_TIMEOUT_MS,
    .max_frame_bytes = MAX_FRAME_BYTES,
    .max_unsent_bytes = MAX_UNSENT_BYTES,
    .max_links = MAX_LINKS,
  };

  feed->handler.vtable = &handler_vtable;
  feed->ctx = ctx;
  feed->options = *options;
  feed->copy = copy;
  feed->update_tail = &feed->first_update;
  feed->told_as_of_ms = bt_never_complete_ms;
  feed->peer_claim.as_of_ms = bt_never_complete_ms;
  feed->peer_as_of_ms = bt_never_complete_ms;
  pthread_mutex_init (&feed->lock, NULL);
  bt_init_condition (&feed->changed);
  bt_fill_peer_link_options (&options->self, &feed->handler, &link_options);
  feed->loop = bt_new_link_loop (ctx, &link_options, error);
  if (feed->loop == NULL || bt_listen_links (ctx, feed->loop, options->self.links, error) < 0)
    {
      bt_drop_peer_feed (ctx, feed);
      return NULL;
    }
  return feed;
}

/* Closes the link to the followed peer and drops its pending updates. */
static void
disconnect_peer (bt_peer_feed_t *feed)
{
  if (feed->link == NULL)
    return;
  bt_close_link (feed->link);
  bt_drop_link (feed->ctx, feed->link);
  feed->link = NULL;
  feed->up = false;
  feed->synced = false;
  feed->peer_attached = false;
  feed->peer_position = (bt_kv_position_t){ 0 };
  feed->requested = (bt_kv_position_t){ 0 };
  feed->peer_claim.as_of_ms = bt_never_complete_ms;
  feed->peer_as_of_ms = bt_never_complete_ms;
  while (feed->first_update != NULL)
    {
      bt_store_update_t *update = feed->first_update;

      feed->first_update = update->next;
      bt_drop_store_update (feed->ctx, update);
    }
  feed->update_tail = &feed->first_update;
}

void
bt_drop_peer_feed (bt_context_t *ctx, bt_peer_feed_t *feed)
{
  if (feed == NULL)
    return;
  bt_drop_link_loop (ctx, feed->loop);
  disconnect_peer (feed);
  bt_clear_feed_followers (ctx, &feed->followers);
  pthread_cond_destroy (&feed->changed);
  pthread_mutex_destroy (&feed->lock);
  bt_free (ctx, feed);
}

static int64_t
get_follow_left_ms (const bt_peer_feed_t *feed)
{
  return bt_get_follow_left_ms (&feed->options.freshness, feed->peer_as_of_ms,
                                bt_now_ms (feed->ctx));
}

static bool
is_current (bt_peer_feed_t *feed)
{
  confirm_peer_claim (feed);
  return feed->link != NULL && feed->up && feed->synced && feed->peer_attached
         && get_follow_left_ms (feed) > 0
         && bt_compare_kv_positions (feed->peer_position, bt_get_copy_position (feed->copy)) >= 0;
}

const char *
bt_describe_peer_feed (bt_peer_feed_t *feed)
{
  const char *text = "current";

  pthread_mutex_lock (&feed->lock);
  if (feed->link == NULL)
    text = "no peer";
  else if (!feed->up)
    text = "link down";
  else if (!feed->synced)
    text = "no items yet";
  else if (!feed->peer_attached)
    text = "peer without store";
  else if (get_follow_left_ms (feed) == 0)
    text = "copy too old";
  else if (!is_current (feed))
    text = "peer behind";
  pthread_mutex_unlock (&feed->lock);
  return text;
}

static bool
is_candidate (const bt_feed_choice_t *choice, int32_t count, const char *address)
{
  for (int32_t i = 0; i < count; i++)
    if (strcmp (choice->candidates[i], address) == 0)
      return true;
  return false;
}

/* Connects to the next candidate. On links, the name of a peer is its address, as for agents,
 * because the instance name of a seed is not known. */
static void
dial_next (bt_peer_feed_t *feed, const bt_feed_choice_t *choice, int32_t count)
{
  const char *address = choice->candidates[feed->next_candidate++ % count];
  bt_error_t error = { 0 };

  snprintf (feed->address, sizeof feed->address, "%s", address);
  feed->dialled_ms = bt_now_ms (feed->ctx);
  feed->link = bt_dial_link (feed->ctx, feed->loop, feed->address, feed->address, &error);
  if (feed->link == NULL)
    bt_log_event (feed->ctx, BT_LOG_WARNING, "peer-unreachable", "{s:s, s:s}", "peer", address,
                  "message", error.message);
}

/* Requests the changes that the followed peer has without having sent them. A peer that follows
 * another one for a moment applies changes that its own followers don't get from it. A link
 * delivers in order, so once all updates are applied, a position of the peer beyond the copy's own
 * means that changes are missing. */
static void
request_missing_changes (bt_peer_feed_t *feed)
{
  if (!feed->up || !feed->synced || feed->first_update != NULL
      || bt_compare_kv_positions (feed->peer_position, bt_get_copy_position (feed->copy)) <= 0
      || bt_compare_kv_positions (feed->peer_position, feed->requested) <= 0)
    return;
  feed->requested = feed->peer_position;
  bt_log_event (feed->ctx, BT_LOG_INFO, "peer-changes-missed", "{s:s, s:I, s:I}", "peer",
                feed->address, "era", (json_int_t)feed->peer_position.era, "revision",
                (json_int_t)feed->peer_position.revision);
  send_follow (feed);
}

void
bt_maintain_peer_feed (bt_peer_feed_t *feed, const bt_feed_choice_t *choice, int32_t count)
{
  int64_t now_ms = bt_now_ms (feed->ctx);
  bool due = feed->dialled_ms == 0 || now_ms - feed->dialled_ms > REDIAL_MS;

  pthread_mutex_lock (&feed->lock);
  if (feed->link != NULL
      && (!is_candidate (choice, count, feed->address) || (due && !is_current (feed))))
    disconnect_peer (feed);
  if (feed->link == NULL && due && count > 0)
    dial_next (feed, choice, count);
  request_missing_changes (feed);
  pthread_mutex_unlock (&feed->lock);
}

bool
bt_is_peer_feed_current (bt_peer_feed_t *feed)
{
  bool current;

  pthread_mutex_lock (&feed->lock);
  current = is_current (feed);
  if (current)
    feed->next_candidate = 0;
  pthread_mutex_unlock (&feed->lock);
  return current;
}

void
bt_wait_for_peer_update (bt_peer_feed_t *feed, int64_t wait_ms)
{
  pthread_mutex_lock (&feed->lock);
  if (feed->first_update == NULL && is_current (feed))
    {
      int64_t left_ms = get_follow_left_ms (feed);

      bt_wait_condition (&feed->changed, &feed->lock, left_ms < wait_ms ? left_ms : wait_ms);
    }
  pthread_mutex_unlock (&feed->lock);
}

void
bt_wait_for_current_peer (bt_peer_feed_t *feed, int64_t wait_ms)
{
  pthread_mutex_lock (&feed->lock);
  if (!is_current (feed))
    bt_wait_condition (&feed->changed, &feed->lock, wait_ms);
  pthread_mutex_unlock (&feed->lock);
}

bt_store_update_t *
bt_take_peer_update (bt_peer_feed_t *feed)
{
  bt_store_update_t *update;

  pthread_mutex_lock (&feed->lock);
  update = feed->first_update;
  if (update != NULL)
    feed->first_update = update->next;
  if (feed->first_update == NULL)
    feed->update_tail = &feed->first_update;
  pthread_mutex_unlock (&feed->lock);
  return update;
}

void
bt_request_peer_resync (bt_peer_feed_t *feed)
{
  pthread_mutex_lock (&feed->lock);
  if (feed->up)
    send_follow (feed);
  pthread_mutex_unlock (&feed->lock);
}

static void
send_state_to_followers (bt_peer_feed_t *feed)
{
  for (const bt_feed_follower_t *row = feed->followers; row != NULL; row = row->next)
    send_state (feed, row->link);
}

void
bt_set_store_reachable (bt_peer_feed_t *feed, bool reachable)
{
  int64_t as_of_ms = bt_get_copy_claim (feed->copy).as_of_ms;
  bool before;

  pthread_mutex_lock (&feed->lock);
  before = feed->attached;
  feed->attached = reachable;
  if (before != reachable || (reachable && as_of_ms != feed->told_as_of_ms))
    send_state_to_followers (feed);
  feed->told_as_of_ms = as_of_ms;
  pthread_mutex_unlock (&feed->lock);
}

void
bt_apply_and_send_changes (bt_peer_feed_t *feed, bt_kv_changes_t *changes)
{
  const int64_t from_revision = bt_get_copy_position (feed->copy).revision;
  Bilberry__StoreItems message;

  /* With the lock held, a new follower gets either the items from before the changes and the
   * changes, or the items from after them. */
  pthread_mutex_lock (&feed->lock);
  if (feed->followers != NULL)
    {
      bt_write_changes_message (feed->ctx, from_revision, changes, &message);
      send_to_followers (feed, BILBERRY__FRAME__BODY_STORE_ITEMS, &message);
      bt_clear_items_message (feed->ctx, &message);
    }
  bt_apply_changes_to_copy (feed->ctx, feed->copy, changes, bt_now_ms (feed->ctx));
  pthread_mutex_unlock (&feed->lock);
}

void
bt_send_peer_items (bt_peer_feed_t *feed, bt_kv_position_t from)
{
  items_args_t args = { feed, NULL, from };

  pthread_mutex_lock (&feed->lock);
  if (feed->followers != NULL)
    bt_visit_shown_items (feed->copy, send_items, &args);
  pthread_mutex_unlock (&feed->lock);
}

void
bt_retire_peer_feed (bt_peer_feed_t *feed)
{
  pthread_mutex_lock (&feed->lock);
  feed->retired = true;
  send_state_to_followers (feed);
  pthread_mutex_unlock (&feed->lock);
}

bool
bt_has_peer_left (bt_peer_feed_t *feed, uint64_t incarnation)
{
  bool left;

  pthread_mutex_lock (&feed->lock);
  left = bt_is_departed_peer (&feed->departed, incarnation);
  pthread_mutex_unlock (&feed->lock);
  return left;
}
