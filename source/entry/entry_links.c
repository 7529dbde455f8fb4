#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"
#include "entry_private.h"

enum
{
  FIRST_DIAL_WAIT_MS = 50,
  MAX_DIAL_WAIT_MS = 2000,
};

static bt_peer_t *
find_peer (bt_entry_t *entry, const char *instance)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (strcmp (peer->instance, instance) == 0)
      return peer;
  return NULL;
}

static bt_peer_t *
find_peer_link (bt_entry_t *entry, const bt_link_t *link)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (peer->link == link)
      return peer;
  return NULL;
}

bt_peer_t *
bt_find_peer_identity (bt_entry_t *entry, const bt_identity_t *identity)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (peer->up && bt_same_identity (&peer->identity, identity))
      return peer;
  return NULL;
}

/* Between two entry instances, the one whose name sorts first dials, so that there is only one
 * link. */
static bool
dials_peer (const bt_entry_t *entry, const bt_peer_t *peer)
{
  return peer->agent || strcmp (entry->settings.instance, peer->instance) < 0;
}

static void
dial_peer (bt_entry_t *entry, bt_peer_t *peer, int64_t now_ms)
{
  bt_error_t error = { 0 };

  if (peer->link != NULL && bt_is_link_closed (peer->link))
    {
      if (!peer->up)
        bt_note_wrong_instance (entry->membership, peer->instance);
      bt_drop_link (entry->ctx, peer->link);
      peer->link = NULL;
      peer->up = false;
    }
  if (peer->link != NULL || now_ms < peer->next_dial_ms)
    return;
  peer->dial_wait_ms = peer->dial_wait_ms == 0 ? FIRST_DIAL_WAIT_MS : peer->dial_wait_ms * 2;
  if (peer->dial_wait_ms > MAX_DIAL_WAIT_MS)
    peer->dial_wait_ms = MAX_DIAL_WAIT_MS;
  peer->next_dial_ms = now_ms + peer->dial_wait_ms;
  peer->link = bt_dial_link (entry->ctx, entry->loop, peer->address, peer->instance, &error);
  if (peer->link == NULL)
    bt_log (entry->ctx, BT_LOG_WARNING, BT_PART_LINK, "%s", error.message);
}

/* With more than eight entry instances, each is linked to only a part of the agents, while a
 * caller may resend a key through any of them. Without a link to the key's home agent, the entry
 * could only report the outcome "unknown". */
void
bt_request_peer_link (bt_entry_t *entry, const char *instance)
{
  bt_peer_t *peer = find_peer (entry, instance);

  if (peer == NULL || peer->is_neighbor || peer->needed)
    return;
  peer->needed = true;
  if (peer->listed)
    dial_peer (entry, peer, bt_now_ms (entry->ctx));
}

void
bt_dial_peers (bt_entry_t *entry, int64_t now_ms)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (peer->listed && (peer->is_neighbor || peer->needed) && dials_peer (entry, peer))
      dial_peer (entry, peer, now_ms);
}

static void
update_peer (bt_entry_t *entry, const bt_entry_peer_t *listed)
{
  bt_peer_t *peer = find_peer (entry, listed->instance);
  const bt_member_t *member;

  if (strcmp (listed->instance, entry->settings.instance) == 0)
    return;
  if (peer == NULL)
    {
      peer = bt_calloc (entry->ctx, 1, sizeof *peer);
      bt_copy_name (peer->instance, listed->instance);
      peer->next = entry->peers;
      entry->peers = peer;
    }
  snprintf (peer->address, sizeof peer->address, "%s", listed->address);
  snprintf (peer->http, sizeof peer->http, "%s", listed->http);
  peer->agent = listed->agent;
  peer->listed = true;
  peer->listed_leaving = listed->leaving;
  member = bt_find_member (entry->membership, listed->instance);
  peer->is_neighbor = member != NULL && member->is_neighbor;
}

static void
drop_unlisted_peers (bt_entry_t *entry)
{
  bt_peer_t **slot = &entry->peers;

  while (*slot != NULL)
    {
      bt_peer_t *peer = *slot;

      /* The list lags: an instance that it no longer names is kept while its link is up. */
      if (peer->listed || peer->up)
        {
          slot = &peer->next;
          continue;
        }
      *slot = peer->next;
      if (peer->link != NULL)
        bt_close_link (peer->link);
      bt_drop_link (entry->ctx, peer->link);
      bt_free (entry->ctx, peer);
    }
}

void
bt_set_entry_peers (bt_context_t *ctx,
                    bt_entry_t *entry,
                    const bt_entry_peer_t *peers,
                    int32_t count)
{
  pthread_mutex_lock (&entry->lock);
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    peer->listed = false;
  for (int32_t i = 0; i < count; i++)
    update_peer (entry, &peers[i]);
  drop_unlisted_peers (entry);
  bt_update_config_members (entry);
  bt_dial_peers (entry, bt_now_ms (ctx));
  pthread_mutex_unlock (&entry->lock);
}

static void
send_heartbeat (bt_entry_t *entry, bt_link_t *link)
{
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  const bt_peer_t *peer;

  heartbeat.now_ms = bt_now_ms (entry->ctx);
  heartbeat.endpoint = "";
  heartbeat.app = "";
  pthread_mutex_lock (&entry->lock);
  heartbeat.leaving = entry->leaving;
  heartbeat.max_revision = entry->declarations == NULL ? 0 : entry->declarations->revision;
  peer = find_peer_link (entry, link);
  if (peer != NULL && peer->up && !peer->agent)
    bt_fill_config_heartbeat (entry, &peer->identity, &heartbeat);
  pthread_mutex_unlock (&entry->lock);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (entry->ctx, link, &frame);
}

static bt_link_result_t
open_member (bt_entry_t *entry, const bt_link_t *link)
{
  bool agent = strcmp (bt_get_link_role (link), "agent") == 0;
  bt_member_hello_t hello = { .role = agent ? BT_LISTED_AGENT : BT_LISTED_ENTRY,
                              .address = "",
                              .failure_domain = bt_get_link_failure_domain (link) };
  uint64_t replaced;

  bt_copy_name (hello.identity.instance, bt_get_link_instance (link));
  hello.identity.incarnation = bt_get_link_incarnation (link);
  return bt_open_member_link (entry->ctx, entry->membership, &hello, bt_now_ms (entry->ctx),
                              &replaced);
}

static void
open_peer (bt_entry_t *entry, bt_peer_t *peer, bt_link_t *link)
{
  if (open_member (entry, link) == BT_LINK_REFUSED)
    {
      bt_log (entry->ctx, BT_LOG_WARNING, BT_PART_MEMBERS,
              "Refused the link to %s: that incarnation was already replaced.", peer->instance);
      bt_close_link (link);
      return;
    }
  if (peer->link == NULL)
    peer->link = bt_keep_link (link);
  peer->up = true;
  peer->dial_wait_ms = 0;
  bt_copy_name (peer->identity.instance, bt_get_link_instance (link));
  peer->identity.incarnation = bt_get_link_incarnation (link);
  if (!peer->agent)
    bt_open_config_link (entry, &peer->identity);
  bt_resume_calls (entry, &peer->identity);
}

static void
on_up (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_entry_t *entry = (bt_entry_t *)handler;
  bt_peer_t *peer;

  pthread_mutex_lock (&entry->lock);
  peer = find_peer (entry, bt_get_link_instance (link));
  if (peer != NULL && (peer->link == NULL || peer->link == link))
    open_peer (entry, peer, link);
  pthread_mutex_unlock (&entry->lock);
  send_heartbeat (entry, link);
}

static void
record_endpoint (bt_entry_t *entry,
                 bt_peer_t *peer,
                 const Bilberry__Heartbeat *heartbeat,
                 int64_t now_ms)
{
  bt_endpoint_t endpoint = { 0 };
  bt_load_t load = { 0 };

  endpoint.identity = peer->identity;
  bt_copy_name (endpoint.name, heartbeat->endpoint);
  bt_copy_name (endpoint.app, heartbeat->app);
  bt_copy_name (endpoint.failure_domain, bt_get_link_failure_domain (peer->link));
  bt_put_endpoint (entry->ctx, entry->router, &endpoint, now_ms);
  /* An agent whose link broke and was restored, for example after a freeze, is the same
   * incarnation: without this call it would never receive requests again. */
  bt_record_link_up (entry->router, &peer->identity, now_ms);
  bt_set_endpoint_leaving (entry->router, &peer->identity,
                           peer->heartbeat_leaving || peer->listed_leaving);
  if (heartbeat->load == NULL)
    return;
  load.running = (int32_t)heartbeat->load->running;
  load.queued = (int32_t)heartbeat->load->queued;
  load.slots = (int32_t)heartbeat->load->capacity;
  load.queue_limit = (int32_t)heartbeat->load->queue_limit;
  load.service_ms = (int32_t)heartbeat->load->service_ms;
  load.age_ms = heartbeat->load->report_age_ms;
  bt_record_load (entry->router, &peer->identity, &load, now_ms);
}

static void
count_endpoints (bt_entry_t *entry)
{
  int64_t up = 0;

  for (const bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    up += peer->agent && peer->up && peer->heartbeat_seen;
  bt_set_gauge (entry->endpoints_up, up);
}

/* The list lags: an instance may dial before the list names it. Its link is used once the list
 * names it; otherwise one side would wait for heartbeats and the other for a link, for ever. */
static bt_peer_t *
adopt_link (bt_entry_t *entry, bt_link_t *link)
{
  bt_peer_t *peer = find_peer (entry, bt_get_link_instance (link));

  if (peer == NULL || peer->link != NULL)
    return NULL;
  open_peer (entry, peer, link);
  return peer->up ? peer : NULL;
}

static void
handle_heartbeat (bt_entry_t *entry, bt_link_t *link, const Bilberry__Heartbeat *heartbeat)
{
  bt_peer_t *peer = find_peer_link (entry, link);

  if (peer == NULL)
    peer = adopt_link (entry, link);
  if (peer == NULL)
    return;
  peer->heartbeat_leaving = heartbeat->leaving;
  peer->peer_now_ms = heartbeat->now_ms;
  bt_handle_member_heartbeat (entry->membership, &peer->identity, heartbeat->leaving,
                              heartbeat->admitting, bt_now_ms (entry->ctx));
  if (!peer->agent)
    {
      bt_handle_config_heartbeat (entry, &peer->identity, heartbeat);
      return;
    }
  peer->heartbeat_seen = true;
  count_endpoints (entry);
  record_endpoint (entry, peer, heartbeat, bt_now_ms (entry->ctx));
  bt_admit_queued_calls (entry);
}

static void
on_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_entry_t *entry = (bt_entry_t *)handler;

  if (bt_handle_map_control_frame (entry->maps, link, frame))
    return;
  pthread_mutex_lock (&entry->lock);
  if (frame->body_case == BILBERRY__FRAME__BODY_HEARTBEAT)
    handle_heartbeat (entry, link, frame->heartbeat);
  else if (frame->body_case == BILBERRY__FRAME__BODY_CONFIG_PUSH
           || frame->body_case == BILBERRY__FRAME__BODY_CONFIG_PULL
           || frame->body_case == BILBERRY__FRAME__BODY_CONFIG_IN_FORCE)
    bt_handle_config_frame (entry, link, frame);
  else
    bt_handle_answer_frame (entry, link, frame);
  pthread_mutex_unlock (&entry->lock);
}

static void
on_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_entry_t *entry = (bt_entry_t *)handler;
  bt_peer_t *peer;

  pthread_mutex_lock (&entry->lock);
  peer = find_peer_link (entry, link);
  if (peer != NULL)
    {
      if (peer->agent)
        bt_record_link_down (entry->router, &peer->identity, bt_now_ms (entry->ctx));
      bt_close_member_link (entry->ctx, entry->membership, &peer->identity);
      if (!peer->agent)
        bt_close_config_link (entry, &peer->identity);
      peer->up = peer->heartbeat_seen = false;
      bt_drop_link (entry->ctx, peer->link);
      peer->link = NULL;
      count_endpoints (entry);
    }
  bt_fail_link_calls (entry, link);
  pthread_mutex_unlock (&entry->lock);
  bt_log (entry->ctx, BT_LOG_INFO, BT_PART_LINK, "The link to %s is down.",
          bt_get_link_instance (link));
}

static void
on_heartbeat_due (bt_link_handler_t *handler, bt_link_t *link)
{
  send_heartbeat ((bt_entry_t *)handler, link);
}

const bt_link_handler_vtable_t bt_entry_link_vtable = { on_up, on_frame, on_down,
                                                        on_heartbeat_due };
