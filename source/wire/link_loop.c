#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/limit.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/process_use.h"
#include "bilberrytray/base/thread.h"
#include "link_private.h"

enum
{
  MAX_EVENTS = 64,
  SWEEP_INTERVAL_MS = 20,
  LISTEN_BACKLOG = 256,
  ACCEPT_PAUSE_MS = 100,
};

void
bt_wake_link_loop (bt_link_loop_t *loop)
{
  uint64_t one = 1;

  if (write (loop->wake_fd, &one, sizeof one) < 0)
    return;
}

static void
add_link (bt_link_loop_t *loop, bt_link_t *link)
{
  pthread_mutex_lock (&loop->lock);
  link->next = loop->added;
  loop->added = link;
  pthread_mutex_unlock (&loop->lock);
}

static bool
register_link (bt_link_loop_t *loop, bt_link_t *link)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = link };

  if (link->dialled)
    {
      event.events |= EPOLLOUT;
      link->write_interest = true;
    }
  return epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, link->fd, &event) == 0;
}

static void
disable_nagle (int fd)
{
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

bt_link_t *
bt_dial_link (bt_context_t *ctx,
              bt_link_loop_t *loop,
              const char *address,
              const char *instance,
              bt_error_t *error)
{
  struct sockaddr_in target;
  bt_link_t *link;
  int fd;

  if (!bt_parse_address (address, &target))
    {
      bt_set_error (error, BT_ERROR_FORMAT, "\"%s\" is not of the form IP:PORT.", address);
      return NULL;
    }
  if (atomic_load (&loop->link_count) >= loop->options.max_links)
    {
      bt_report_limit (loop->ctx, "links", loop->options.max_links, address,
                       "The peer is not dialled; another attempt follows.");
      bt_set_error (error, BT_ERROR_TOO_LARGE, "The limit of %d links is reached.",
                    loop->options.max_links);
      return NULL;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0
      || (connect (fd, (struct sockaddr *)&target, sizeof target) < 0 && errno != EINPROGRESS))
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot dial %s: %s.", address, strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  disable_nagle (fd);
  link = bt_new_link (loop, fd, true);
  bt_copy_name (link->target, instance);
  add_link (loop, link);
  bt_wake_link_loop (loop);
  return link;
}

int32_t
bt_listen_links (bt_context_t *ctx, bt_link_loop_t *loop, const char *address, bt_error_t *error)
{
  struct sockaddr_in target;
  socklen_t bytes = sizeof target;
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = &loop->listen_fd };
  int one = 1;
  int fd;

  if (!bt_parse_address (address, &target))
    {
      bt_set_error (error, BT_ERROR_FORMAT, "\"%s\" is not of the form IP:PORT.", address);
      return -1;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *)&target, sizeof target) < 0
      || listen (fd, LISTEN_BACKLOG) < 0
      || getsockname (fd, (struct sockaddr *)&target, &bytes) < 0)
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot listen on %s: %s.", address, strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  /* Set before epoll can report the socket to the loop's thread. */
  loop->listen_fd = fd;
  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0)
    return ntohs (target.sin_port);
  bt_set_error (error, BT_ERROR_SYSTEM, "Cannot wait for links on %s: %s.", address,
                strerror (errno));
  return -1;
}

static void
watch_listener (bt_link_loop_t *loop, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = &loop->listen_fd };

  epoll_ctl (loop->epoll_fd, EPOLL_CTL_MOD, loop->listen_fd, &event);
}

/* The socket stays readable while a connection can't be accepted, and would wake the loop at once.
 */
static void
pause_listener (bt_link_loop_t *loop, int failure)
{
  bt_report_limit (loop->ctx, "descriptors", bt_get_descriptor_limit (), "a peer that dialled",
                   strerror (failure));
  loop->accept_ms = bt_now_ms (loop->ctx) + ACCEPT_PAUSE_MS;
  watch_listener (loop, 0);
}

static void
resume_listener (bt_link_loop_t *loop)
{
  if (loop->accept_ms == 0 || bt_now_ms (loop->ctx) < loop->accept_ms)
    return;
  loop->accept_ms = 0;
  watch_listener (loop, EPOLLIN);
}

static bool
is_accept_retried (int failure)
{
  return failure == EINTR || failure == ECONNABORTED;
}

static void
accept_links (bt_link_loop_t *loop)
{
  while (true)
    {
      int fd = accept4 (loop->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      bt_link_t *link;

      if (fd < 0 && is_accept_retried (errno))
        continue;
      if (fd < 0)
        {
          if (errno != EAGAIN)
            pause_listener (loop, errno);
          return;
        }
      if (atomic_load (&loop->link_count) >= loop->options.max_links)
        {
          bt_report_limit (loop->ctx, "links", loop->options.max_links, "a peer that dialled",
                           "The connection is closed; the peer will retry.");
          close (fd);
          continue;
        }
      disable_nagle (fd);
      link = bt_new_link (loop, fd, false);
      add_link (loop, link);
      bt_drop_link (loop->ctx, link);
    }
}

static void
fail_link (bt_link_t *link, const bt_error_t *error)
{
  bt_context_t *ctx = link->loop->ctx;

  bt_log (ctx, BT_LOG_WARNING, BT_PART_LINK, "Closing the link to %s: %s",
          link->instance[0] == '\0' ? "an unnamed peer" : link->instance, error->message);
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_link_errors_total",
                                   "Links closed for a fault of the peer.", "code",
                                   bt_name_error_code (error->code)),
                  1);
  atomic_store (&link->closing, true);
}

/* A peer of a later version may send messages that this one does not know. */
static void
skip_frame (bt_link_t *link)
{
  bt_context_t *ctx = link->loop->ctx;

  if (!link->has_skipped)
    bt_log (ctx, BT_LOG_WARNING, BT_PART_LINK,
            "%s sends messages that are not known; they are left out.", link->instance);
  link->has_skipped = true;
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_link_unknown_total",
                                   "Messages of peers that are not known and were left out.", NULL,
                                   NULL),
                  1);
}

static void
handle_frame (bt_link_t *link, const bt_frame_t *frame)
{
  bt_link_handler_t *handler = link->loop->options.handler;
  bt_error_t error = { 0 };

  link->last_receive_ms = bt_now_ms (link->loop->ctx);
  if (link->state == BT_LINK_UP)
    {
      if (frame->body_case == BILBERRY__FRAME__BODY__NOT_SET)
        skip_frame (link);
      else
        handler->vtable->on_frame (handler, link, frame);
      return;
    }
  if (!bt_handle_handshake_frame (link, frame, &error))
    {
      fail_link (link, &error);
      return;
    }
  if (link->state == BT_LINK_UP)
    {
      bt_log (link->loop->ctx, BT_LOG_DEBUG, BT_PART_LINK, "The link to %s is up.", link->instance);
      handler->vtable->on_up (handler, link);
    }
}

static void
decode_frames (bt_link_t *link)
{
  bt_error_t error = { 0 };
  bt_frame_t *frame;

  while (!atomic_load (&link->closing))
    {
      size_t limit = link->state == BT_LINK_UP ? link->loop->options.max_frame_bytes
                                               : BT_HANDSHAKE_FRAME_BYTES;

      frame = bt_decode_frame (&link->received, limit, &error);
      if (frame == NULL)
        break;
      handle_frame (link, frame);
      bt_drop_frame (frame);
    }
  if (error.code != BT_ERROR_NONE)
    fail_link (link, &error);
}

static void
receive_link (bt_link_t *link)
{
  bt_link_loop_t *loop = link->loop;
  bt_context_t *ctx = loop->ctx;
  ssize_t received;

  do
    {
      received = recv (link->fd, loop->received, sizeof loop->received, MSG_DONTWAIT);
      if (received > 0)
        {
          bt_append_buffer (ctx, &link->received, loop->received, (size_t)received);
          decode_frames (link);
          bt_trim_buffer (ctx, &link->received);
        }
    }
  while (received == (ssize_t)sizeof loop->received && !atomic_load (&link->closing));
  if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR))
    atomic_store (&link->closing, true);
}

static void
finish_connect (bt_link_t *link)
{
  int failure = 0;
  socklen_t bytes = sizeof failure;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &failure, &bytes) < 0 || failure != 0)
    {
      atomic_store (&link->closing, true);
      return;
    }
  link->state = BT_LINK_AWAIT_CHALLENGE;
}

static void
handle_event (bt_link_t *link, uint32_t events)
{
  if ((events & EPOLLOUT) != 0)
    {
      if (link->state == BT_LINK_CONNECTING)
        finish_connect (link);
      if (!atomic_load (&link->closing) && !bt_flush_link (link->loop->ctx, link))
        atomic_store (&link->closing, true);
    }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !atomic_load (&link->closing))
    receive_link (link);
}

static void
register_added_links (bt_link_loop_t *loop)
{
  bt_link_t *added;

  pthread_mutex_lock (&loop->lock);
  added = loop->added;
  loop->added = NULL;
  pthread_mutex_unlock (&loop->lock);
  while (added != NULL)
    {
      bt_link_t *link = added;

      added = link->next;
      link->next = loop->links;
      loop->links = link;
      if (!register_link (loop, link))
        atomic_store (&link->closing, true);
      else if (!link->dialled)
        bt_send_challenge (link);
    }
}

static void
check_timeouts (bt_link_t *link, int64_t now_ms)
{
  const bt_link_options_t *options = &link->loop->options;
  bt_error_t error = { 0 };

  if (link->state != BT_LINK_UP)
    {
      if (now_ms - link->created_ms > options->handshake_timeout_ms)
        {
          bt_set_error (&error, BT_ERROR_TIMEOUT, "The handshake timed out.");
          fail_link (link, &error);
        }
      return;
    }
  /* An open connection can go silent permanently while new ones work. Since the peer sends
   * heartbeats, no frame within the idle limit means that the connection is dead, whatever the
   * state of the socket. */
  if (now_ms - link->last_receive_ms > options->idle_ms)
    {
      bt_set_error (&error, BT_ERROR_TIMEOUT, "No frame arrived for %lld ms.",
                    (long long)(now_ms - link->last_receive_ms));
      fail_link (link, &error);
      return;
    }
  if (now_ms - link->last_heartbeat_ms >= options->heartbeat_interval_ms)
    {
      link->last_heartbeat_ms = now_ms;
      options->handler->vtable->on_heartbeat_due (options->handler, link);
    }
}

static void
finish_link (bt_link_loop_t *loop, bt_link_t *link)
{
  bool was_up = link->state == BT_LINK_UP;

  link->state = BT_LINK_DOWN;
  atomic_store (&link->closing, true);
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, link->fd, NULL);
  pthread_mutex_lock (&link->lock);
  close (link->fd);
  link->fd = -1;
  pthread_mutex_unlock (&link->lock);
  atomic_store (&link->closed, true);
  if (was_up)
    loop->options.handler->vtable->on_down (loop->options.handler, link);
  atomic_fetch_sub (&loop->link_count, 1);
  bt_drop_link (loop->ctx, link);
}

static void
sweep_links (bt_link_loop_t *loop, bool all)
{
  bt_link_t **place = &loop->links;
  int64_t now_ms = bt_now_ms (loop->ctx);

  while (*place != NULL)
    {
      bt_link_t *link = *place;

      if (!all && !atomic_load (&link->closing))
        check_timeouts (link, now_ms);
      if (all || atomic_load (&link->closing))
        {
          *place = link->next;
          finish_link (loop, link);
        }
      else
        place = &link->next;
    }
}

static void
reset_wakeup (bt_link_loop_t *loop)
{
  uint64_t count;

  if (read (loop->wake_fd, &count, sizeof count) < 0)
    return;
}

static void *
run_loop (void *argument)
{
  bt_link_loop_t *loop = argument;
  struct epoll_event events[MAX_EVENTS];
  int64_t last_sweep_ms = 0;

  while (!atomic_load (&loop->stopping))
    {
      bool closing = false;
      int count = epoll_wait (loop->epoll_fd, events, MAX_EVENTS, SWEEP_INTERVAL_MS);

      for (int i = 0; i < count; i++)
        {
          if (events[i].data.ptr == &loop->wake_fd)
            {
              reset_wakeup (loop);
              closing = true;
            }
          else if (events[i].data.ptr == &loop->listen_fd)
            accept_links (loop);
          else
            {
              handle_event (events[i].data.ptr, events[i].events);
              closing |= atomic_load (&((bt_link_t *)events[i].data.ptr)->closing);
            }
        }
      resume_listener (loop);
      register_added_links (loop);
      if (closing || bt_now_ms (loop->ctx) - last_sweep_ms >= SWEEP_INTERVAL_MS)
        {
          last_sweep_ms = bt_now_ms (loop->ctx);
          sweep_links (loop, false);
        }
    }
  register_added_links (loop);
  sweep_links (loop, true);
  return NULL;
}

bt_link_loop_t *
bt_new_link_loop (bt_context_t *ctx, const bt_link_options_t *options, bt_error_t *error)
{
  bt_link_loop_t *loop = bt_calloc (ctx, 1, sizeof *loop);
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = &loop->wake_fd };

  loop->ctx = ctx;
  loop->options = *options;
  loop->listen_fd = -1;
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  pthread_mutex_init (&loop->lock, NULL);
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &event);
  if (!bt_start_thread (ctx, &loop->thread, "links", run_loop, loop))
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
      bt_free (ctx, loop);
      return NULL;
    }
  return loop;
}

void
bt_drop_link_loop (bt_context_t *ctx, bt_link_loop_t *loop)
{
  if (loop == NULL)
    return;
  atomic_store (&loop->stopping, true);
  bt_wake_link_loop (loop);
  pthread_join (loop->thread, NULL);
  if (loop->listen_fd >= 0)
    close (loop->listen_fd);
  close (loop->wake_fd);
  close (loop->epoll_fd);
  pthread_mutex_destroy (&loop->lock);
  bt_free (ctx, loop);
}
