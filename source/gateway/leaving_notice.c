#include "leaving_notice.h"

#include <string.h>

#include "bilberrytray/base/event_log.h"

enum
{
  /* Peers on the same machine or in another failure domain answer within a few ms. The rest gives a
   * suspended peer time to resume. */
  HANDSHAKE_TIMEOUT_MS = 3000,
  HEARTBEAT_INTERVAL_MS = 250,
  IDLE_MS = 3000,
  MAX_FRAME_BYTES = 4096,
  MAX_UNSENT_BYTES = 65536,
};

struct bt_leaving_notice
{
  bt_link_handler_t handler; /* must be first: callbacks cast it to bt_leaving_notice_t */
  bt_context_t *ctx;
  bt_link_loop_t *loop;
  int32_t count;
  bt_link_t *links[];
};

static void
send_notice (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_leaving_notice_t *notice = (bt_leaving_notice_t *)handler;
  Bilberry__StoreState state = BILBERRY__STORE_STATE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  state.leaving = true;
  frame.body_case = BILBERRY__FRAME__BODY_STORE_STATE;
  frame.store_state = &state;
  if (!bt_send_frame (notice->ctx, link, &frame))
    bt_log_event (notice->ctx, BT_LOG_WARNING, "peer-unreachable", "{s:s}", "peer",
                  bt_get_link_instance (link));
}

static void
ignore_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  (void)handler;
  (void)link;
  (void)frame;
}

static void
ignore_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  (void)handler;
  (void)link;
}

static const bt_link_handler_vtable_t handler_vtable = { send_notice, ignore_frame,
                                                         ignore_link_down, send_notice };

/* On links, the name of a peer is its address. */
static void
dial (bt_leaving_notice_t *notice, const char *address)
{
  bt_error_t error = { 0 };
  bt_link_t *link = bt_dial_link (notice->ctx, notice->loop, address, address, &error);

  if (link != NULL)
    notice->links[notice->count++] = link;
  else
    bt_log_event (notice->ctx, BT_LOG_WARNING, "peer-unreachable", "{s:s, s:s}", "peer", address,
                  "message", error.message);
}

bt_leaving_notice_t *
bt_new_leaving_notice (bt_context_t *ctx,
                       const bt_peer_identity_t *self,
                       const bt_listed_entry_t *entries,
                       int32_t count)
{
  bt_leaving_notice_t *notice =
      bt_calloc (ctx, 1, sizeof *notice + (size_t)count * sizeof (bt_link_t *));
  bt_link_options_t links = {
    .heartbeat_interval_ms = HEARTBEAT_INTERVAL_MS,
    .idle_ms = IDLE_MS,
    .handshake_timeout_ms = HANDSHAKE_TIMEOUT_MS,
    .max_frame_bytes = MAX_FRAME_BYTES,
    .max_unsent_bytes = MAX_UNSENT_BYTES,
    .max_links = count,
  };
  bt_error_t error = { 0 };

  notice->handler.vtable = &handler_vtable;
  notice->ctx = ctx;
  bt_fill_peer_link_options (self, &notice->handler, &links);
  notice->loop = bt_new_link_loop (ctx, &links, &error);
  if (notice->loop == NULL)
    {
      bt_log_event (ctx, BT_LOG_WARNING, "notice-failed", "{s:s}", "message", error.message);
      bt_free (ctx, notice);
      return NULL;
    }
  for (int32_t i = 0; i < count; i++)
    if (strcmp (entries[i].links, self->links) != 0)
      dial (notice, entries[i].links);
  return notice;
}

void
bt_drop_leaving_notice (bt_context_t *ctx, bt_leaving_notice_t *notice)
{
  if (notice == NULL)
    return;
  bt_drop_link_loop (ctx, notice->loop);
  for (int32_t i = 0; i < notice->count; i++)
    bt_drop_link (ctx, notice->links[i]);
  bt_free (ctx, notice);
}
