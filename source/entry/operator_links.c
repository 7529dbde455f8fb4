#include "operator_links.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/wire/link.h"
#include "config_documents.h"

enum
{
  MAX_ENTRIES = 1024,
  HEARTBEAT_INTERVAL_MS = 500,
  IDLE_MS = 3000,
  HANDSHAKE_TIMEOUT_MS = 2000,
  MAX_FRAME_BYTES = 16 << 20,
};

typedef struct operator_peer
{
  char address[BT_ADDRESS_BYTES];
  bt_link_t *link;
  bt_entry_status_t status;
  bool listed;
} operator_peer_t;

struct bt_operator_links
{
  bt_link_handler_t base; /**< Must be first: the handler is cast to bt_operator_links_t. */
  bt_context_t *ctx;
  bt_link_loop_t *loop;
  char instance[BT_NAME_BYTES];
  uint64_t incarnation;
  uint64_t requests;
  pthread_mutex_t lock; /**< Guards the members below. May be held while calling links. */
  operator_peer_t **peers;
  int32_t count;
};

static operator_peer_t *
find_peer (bt_operator_links_t *links, const char *instance)
{
  for (int32_t i = 0; i < links->count; i++)
    if (strcmp (links->peers[i]->status.instance, instance) == 0)
      return links->peers[i];
  return NULL;
}

static void
set_link_state (bt_operator_links_t *links, bt_link_t *link, bool up)
{
  operator_peer_t *peer;

  pthread_mutex_lock (&links->lock);
  peer = find_peer (links, bt_get_link_instance (link));
  if (peer != NULL && peer->link == link)
    {
      peer->status.up = up;
      peer->status.incarnation = up ? bt_get_link_incarnation (link) : 0;
      peer->status.updated = false;
    }
  pthread_mutex_unlock (&links->lock);
}

static void
on_up (bt_link_handler_t *handler, bt_link_t *link)
{
  set_link_state ((bt_operator_links_t *)handler, link, true);
}

static void
on_down (bt_link_handler_t *handler, bt_link_t *link)
{
  set_link_state ((bt_operator_links_t *)handler, link, false);
}

static void
record_in_force (bt_entry_status_t *status, const Bilberry__ConfigInForce *in_force)
{
  status->answered = status->updated = true;
  status->sync_state = in_force->state;
  status->fresh_age_ms = in_force->fresh_age_ms;
  status->state_count = 0;
  for (size_t i = 0; i < in_force->n_documents && status->state_count < BT_MAX_DOCUMENT_STATUSES;
       i++)
    {
      bt_document_status_t *state = &status->states[status->state_count++];

      bt_copy_name (state->name, in_force->documents[i]->name);
      state->revision = in_force->documents[i]->revision;
      snprintf (state->change, sizeof state->change, "%s", in_force->documents[i]->change);
    }
}

static void
on_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_operator_links_t *links = (bt_operator_links_t *)handler;
  operator_peer_t *peer;

  if (frame->body_case != BILBERRY__FRAME__BODY_CONFIG_IN_FORCE)
    return;
  pthread_mutex_lock (&links->lock);
  peer = find_peer (links, bt_get_link_instance (link));
  if (peer != NULL && peer->link == link)
    record_in_force (&peer->status, frame->config_in_force);
  pthread_mutex_unlock (&links->lock);
}

static void
on_heartbeat_due (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_operator_links_t *links = (bt_operator_links_t *)handler;
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  heartbeat.now_ms = bt_now_ms (links->ctx);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (links->ctx, link, &frame);
}

static const bt_link_handler_vtable_t operator_vtable = { on_up, on_frame, on_down,
                                                          on_heartbeat_due };

bt_operator_links_t *
bt_new_operator_links (bt_context_t *ctx, const char *secret, bt_error_t *error)
{
  bt_operator_links_t *links = bt_calloc (ctx, 1, sizeof *links);
  bt_link_options_t options = { .role = "operator",
                                .failure_domain = "",
                                .address = "",
                                .secret = secret,
                                .heartbeat_interval_ms = HEARTBEAT_INTERVAL_MS,
                                .idle_ms = IDLE_MS,
                                .handshake_timeout_ms = HANDSHAKE_TIMEOUT_MS,
                                .max_frame_bytes = MAX_FRAME_BYTES,
                                .max_unsent_bytes = MAX_FRAME_BYTES,
                                .max_links = MAX_ENTRIES };

  links->base.vtable = &operator_vtable;
  links->ctx = ctx;
  pthread_mutex_init (&links->lock, NULL);
  bt_fill_secure_random (&links->incarnation, sizeof links->incarnation);
  snprintf (links->instance, sizeof links->instance, "operator-%016llx",
            (unsigned long long)links->incarnation);
  options.instance = links->instance;
  options.incarnation = links->incarnation;
  options.handler = &links->base;
  links->loop = bt_new_link_loop (ctx, &options, error);
  if (links->loop != NULL)
    return links;
  bt_drop_operator_links (ctx, links);
  return NULL;
}

static void
drop_peer (bt_operator_links_t *links, operator_peer_t *peer)
{
  if (peer->link != NULL)
    bt_close_link (peer->link);
  bt_drop_link (links->ctx, peer->link);
  bt_free (links->ctx, peer);
}

void
bt_drop_operator_links (bt_context_t *ctx, bt_operator_links_t *links)
{
  if (links == NULL)
    return;
  bt_drop_link_loop (ctx, links->loop);
  for (int32_t i = 0; i < links->count; i++)
    drop_peer (links, links->peers[i]);
  bt_free (ctx, links->peers);
  pthread_mutex_destroy (&links->lock);
  bt_free (ctx, links);
}

static void
dial_peer (bt_operator_links_t *links, operator_peer_t *peer)
{
  bt_error_t error = { 0 };

  if (peer->link != NULL && !bt_is_link_closed (peer->link))
    return;
  bt_drop_link (links->ctx, peer->link);
  peer->status.up = false;
  peer->status.incarnation = 0;
  peer->link = bt_dial_link (links->ctx, links->loop, peer->address, peer->status.instance, &error);
}

static void
update_peer (bt_operator_links_t *links, const bt_listed_instance_t *listed)
{
  operator_peer_t *peer = find_peer (links, listed->instance);

  if (peer == NULL)
    {
      links->peers = bt_realloc (links->ctx, links->peers, (size_t)links->count + 1,
                                 sizeof (operator_peer_t *));
      peer = bt_calloc (links->ctx, 1, sizeof *peer);
      bt_copy_name (peer->status.instance, listed->instance);
      links->peers[links->count++] = peer;
    }
  bt_copy_name (peer->status.failure_domain, listed->failure_domain);
  snprintf (peer->address, sizeof peer->address, "%s", listed->address);
  peer->listed = true;
  dial_peer (links, peer);
}

void
bt_dial_listed_entries (bt_context_t *ctx,
                        bt_operator_links_t *links,
                        const bt_instance_list_t *list)
{
  int32_t kept = 0;

  pthread_mutex_lock (&links->lock);
  for (int32_t i = 0; i < links->count; i++)
    links->peers[i]->listed = false;
  for (int32_t i = 0; i < list->count; i++)
    if (list->instances[i].role == BT_LISTED_ENTRY && !list->instances[i].leaving)
      update_peer (links, &list->instances[i]);
  for (int32_t i = 0; i < links->count; i++)
    {
      if (links->peers[i]->listed)
        links->peers[kept++] = links->peers[i];
      else
        drop_peer (links, links->peers[i]);
    }
  links->count = kept;
  pthread_mutex_unlock (&links->lock);
}

bool
bt_push_documents (bt_context_t *ctx,
                   bt_operator_links_t *links,
                   const char *instance,
                   const bt_document_list_t *documents)
{
  bt_push_frame_t push = { 0 };
  operator_peer_t *peer;
  bool sent = false;

  bt_make_push_frame (ctx, &push, documents);
  push.push.request = ++links->requests;
  push.push.store_read_age_ms = -1;
  pthread_mutex_lock (&links->lock);
  peer = find_peer (links, instance);
  if (peer != NULL && peer->status.up)
    sent = bt_send_frame (ctx, peer->link, &push.frame);
  pthread_mutex_unlock (&links->lock);
  bt_clear_push_frame (ctx, &push);
  return sent;
}

int32_t
bt_count_entry_statuses (bt_operator_links_t *links)
{
  int32_t count;

  pthread_mutex_lock (&links->lock);
  count = links->count;
  pthread_mutex_unlock (&links->lock);
  return count;
}

void
bt_get_entry_status (bt_operator_links_t *links, int32_t index, bt_entry_status_t *status)
{
  pthread_mutex_lock (&links->lock);
  *status = links->peers[index]->status;
  links->peers[index]->status.updated = false;
  pthread_mutex_unlock (&links->lock);
}
