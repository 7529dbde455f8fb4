#include <string.h>

#include "config_driver_private.h"

static void
send_push (bt_config_driver_t *driver, const bt_sync_action_t *action, bt_link_t *link)
{
  bt_push_frame_t push = { 0 };

  bt_make_push_frame (driver->ctx, &push, &action->documents);
  push.push.from_revision = action->from;
  push.push.store_revision = action->to;
  push.push.whole = action->whole;
  push.push.request = action->request;
  push.push.store_read_age_ms = -1;
  bt_send_frame (driver->ctx, link, &push.frame);
  bt_clear_push_frame (driver->ctx, &push);
}

static void
send_pull (bt_config_driver_t *driver, const bt_sync_action_t *action, bt_link_t *link)
{
  Bilberry__ConfigPull pull = BILBERRY__CONFIG_PULL__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  pull.since = action->since;
  frame.body_case = BILBERRY__FRAME__BODY_CONFIG_PULL;
  frame.config_pull = &pull;
  bt_send_frame (driver->ctx, link, &frame);
}

static void
queue_reply (bt_config_driver_t *driver, const bt_sync_action_t *action, bt_link_t *link)
{
  bt_config_reply_t *reply = bt_calloc (driver->ctx, 1, sizeof *reply);

  reply->link = bt_keep_link (link);
  reply->request = action->request;
  reply->next = driver->replies;
  driver->replies = reply;
  pthread_cond_broadcast (&driver->wake);
}

void
bt_send_config_action (bt_config_driver_t *driver,
                       const bt_sync_action_t *action,
                       bt_link_t *source)
{
  bt_peer_t *peer = bt_find_peer_identity (driver->entry, &action->peer);
  bt_link_t *link = peer == NULL ? source : peer->link;

  if (link == NULL)
    return;
  if (action->kind == BT_SYNC_PUSH)
    send_push (driver, action, link);
  else if (action->kind == BT_SYNC_PULL)
    send_pull (driver, action, link);
  else
    queue_reply (driver, action, link);
}

static void
fill_states (const bt_config_driver_t *driver,
             Bilberry__DocumentState *states,
             Bilberry__DocumentState **pointers)
{
  for (int32_t i = 0; i < driver->applied.count; i++)
    {
      bt_document_t *document = driver->applied.items[i];

      bilberry__document_state__init (&states[i]);
      states[i].name = document->name;
      states[i].revision = document->revision;
      states[i].digest = document->digest;
      states[i].change = document->change;
      pointers[i] = &states[i];
    }
}

void
bt_send_config_replies (bt_config_driver_t *driver)
{
  size_t count = (size_t)driver->applied.count;
  Bilberry__DocumentState *states;
  Bilberry__DocumentState **pointers;
  Bilberry__ConfigInForce in_force = BILBERRY__CONFIG_IN_FORCE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  int64_t now_ms = bt_now_ms (driver->ctx);
  bt_sync_status_t status;

  if (driver->replies == NULL)
    return;
  states = bt_calloc (driver->ctx, count, sizeof *states);
  pointers = bt_calloc (driver->ctx, count, sizeof (Bilberry__DocumentState *));
  fill_states (driver, states, pointers);
  bt_get_sync_status (driver->sync, now_ms, &status);
  in_force.revision = status.revision;
  in_force.n_documents = count;
  in_force.documents = pointers;
  in_force.state = (uint32_t)bt_get_sync_state (driver->sync, now_ms);
  in_force.fresh_age_ms = status.fresh_age_ms;
  frame.body_case = BILBERRY__FRAME__BODY_CONFIG_IN_FORCE;
  frame.config_in_force = &in_force;
  for (bt_config_reply_t *reply = driver->replies; reply != NULL; reply = reply->next)
    {
      in_force.request = reply->request;
      bt_send_frame (driver->ctx, reply->link, &frame);
    }
  bt_drop_config_replies (driver);
  bt_free (driver->ctx, states);
  bt_free (driver->ctx, pointers);
}

void
bt_drop_config_replies (bt_config_driver_t *driver)
{
  while (driver->replies != NULL)
    {
      bt_config_reply_t *reply = driver->replies;

      driver->replies = reply->next;
      bt_drop_link (driver->ctx, reply->link);
      bt_free (driver->ctx, reply);
    }
}

static void
handle_push (bt_config_driver_t *driver,
             bt_link_t *link,
             const bt_identity_t *source,
             const Bilberry__ConfigPush *frame,
             bt_sync_actions_t *actions)
{
  bt_document_list_t documents = { 0 };
  bt_sync_push_t push = { &documents, frame->from_revision, frame->store_revision, frame->whole,
                          frame->request };

  bt_add_push_documents (driver->ctx, frame, &documents);
  bt_handle_sync_push (driver->ctx, driver->sync, source, &push, bt_now_ms (driver->ctx), actions);
  bt_clear_documents (driver->ctx, &documents);
}

void
bt_handle_config_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame)
{
  bt_config_driver_t *driver = entry->config;
  bt_identity_t source = { .incarnation = bt_get_link_incarnation (link) };
  bt_sync_actions_t actions = { 0 };

  /* Agents take no part in config sync. */
  if (driver == NULL || strcmp (bt_get_link_role (link), "agent") == 0)
    return;
  bt_copy_name (source.instance, bt_get_link_instance (link));
  if (frame->body_case == BILBERRY__FRAME__BODY_CONFIG_PUSH)
    handle_push (driver, link, &source, frame->config_push, &actions);
  else if (frame->body_case == BILBERRY__FRAME__BODY_CONFIG_PULL)
    bt_handle_sync_pull (driver->ctx, driver->sync, &source, frame->config_pull->since, &actions);
  bt_run_config_actions (driver, &actions, link);
}

void
bt_open_config_link (bt_entry_t *entry, const bt_identity_t *peer)
{
  bt_sync_actions_t actions = { 0 };

  if (entry->config == NULL)
    return;
  bt_open_sync_link (entry->ctx, entry->config->sync, peer, bt_now_ms (entry->ctx), &actions);
  bt_run_config_actions (entry->config, &actions, NULL);
}

void
bt_close_config_link (bt_entry_t *entry, const bt_identity_t *peer)
{
  if (entry->config != NULL)
    bt_close_sync_link (entry->ctx, entry->config->sync, peer);
}

void
bt_fill_config_heartbeat (bt_entry_t *entry,
                          const bt_identity_t *peer,
                          Bilberry__Heartbeat *heartbeat)
{
  bt_sync_heartbeat_t fields;

  if (entry->config == NULL)
    return;
  bt_make_sync_heartbeat (entry->config->sync, peer, heartbeat->now_ms, &fields);
  heartbeat->echo_ms = fields.echo_ms < 0 ? 0 : fields.echo_ms;
  heartbeat->config_floor = fields.floor;
  heartbeat->config_fresh_age_ms = fields.fresh_age_ms;
  heartbeat->config_digest = fields.digest;
  heartbeat->max_revision = fields.revision;
  heartbeat->admitting = bt_get_config_refusal (entry, heartbeat->now_ms) == BT_REASON_NONE;
}

void
bt_handle_config_heartbeat (bt_entry_t *entry,
                            const bt_identity_t *peer,
                            const Bilberry__Heartbeat *heartbeat)
{
  bt_sync_heartbeat_t fields = { .now_ms = heartbeat->now_ms,
                                 .echo_ms = heartbeat->echo_ms == 0 ? -1 : heartbeat->echo_ms,
                                 .floor = heartbeat->config_floor,
                                 .fresh_age_ms = heartbeat->config_fresh_age_ms,
                                 .revision = heartbeat->max_revision,
                                 .digest = heartbeat->config_digest };
  bt_sync_actions_t actions = { 0 };

  if (entry->config == NULL)
    return;
  bt_handle_sync_heartbeat (entry->ctx, entry->config->sync, peer, &fields, bt_now_ms (entry->ctx),
                            &actions);
  bt_run_config_actions (entry->config, &actions, NULL);
}
