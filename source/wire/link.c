#include "bilberrytray/wire/link.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/random.h"
#include "link_private.h"

bt_link_t *
bt_new_link (bt_link_loop_t *loop, int fd, bool dialled)
{
  bt_link_t *link = bt_calloc (loop->ctx, 1, sizeof *link);

  atomic_init (&link->references, 2);
  link->loop = loop;
  link->id = atomic_fetch_add (&loop->next_id, 1) + 1;
  link->fd = fd;
  link->dialled = dialled;
  link->state = dialled ? BT_LINK_CONNECTING : BT_LINK_AWAIT_HELLO;
  link->created_ms = bt_now_ms (loop->ctx);
  link->last_receive_ms = link->created_ms;
  bt_fill_secure_random (link->nonce, sizeof link->nonce);
  pthread_mutex_init (&link->lock, NULL);
  atomic_fetch_add (&loop->link_count, 1);
  return link;
}

bt_link_t *
bt_keep_link (bt_link_t *link)
{
  if (link != NULL)
    atomic_fetch_add (&link->references, 1);
  return link;
}

void
bt_drop_link (bt_context_t *ctx, bt_link_t *link)
{
  if (link == NULL || atomic_fetch_sub (&link->references, 1) != 1)
    return;
  if (link->fd >= 0)
    close (link->fd);
  bt_clear_buffer (ctx, &link->received);
  bt_clear_buffer (ctx, &link->unsent);
  pthread_mutex_destroy (&link->lock);
  bt_free (ctx, link);
}

static void
set_write_interest (bt_link_t *link, bool enabled)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = link };

  if (link->write_interest == enabled)
    return;
  link->write_interest = enabled;
  if (enabled)
    event.events |= EPOLLOUT;
  epoll_ctl (link->loop->epoll_fd, EPOLL_CTL_MOD, link->fd, &event);
}

static bool
flush_locked (bt_link_t *link)
{
  while (bt_get_buffer_bytes (&link->unsent) > 0)
    {
      ssize_t sent = send (link->fd, link->unsent.data + link->unsent.start,
                           bt_get_buffer_bytes (&link->unsent), MSG_NOSIGNAL | MSG_DONTWAIT);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          set_write_interest (link, true);
          return true;
        }
      if (sent < 0)
        return false;
      bt_consume_buffer (&link->unsent, (size_t)sent);
    }
  bt_trim_buffer (link->loop->ctx, &link->unsent);
  set_write_interest (link, false);
  return true;
}

bool
bt_flush_link (bt_context_t *ctx, bt_link_t *link)
{
  bool sent;

  pthread_mutex_lock (&link->lock);
  sent = link->fd >= 0 && flush_locked (link);
  pthread_mutex_unlock (&link->lock);
  return sent;
}

bool
bt_send_frame (bt_context_t *ctx, bt_link_t *link, const bt_frame_t *frame)
{
  bool sent = false;

  if (atomic_load (&link->closing))
    return false;
  pthread_mutex_lock (&link->lock);
  if (link->fd >= 0)
    {
      bt_encode_frame (ctx, &link->unsent, frame);
      /* Unsent data for a peer that has stopped reading would fill this process's memory, so the
       * link is closed. Requests in flight are resent by key, as after any dead link. */
      sent = bt_get_buffer_bytes (&link->unsent) <= link->loop->options.max_unsent_bytes
             && flush_locked (link);
    }
  pthread_mutex_unlock (&link->lock);
  if (!sent)
    bt_close_link (link);
  return sent;
}

void
bt_close_link (bt_link_t *link)
{
  if (atomic_exchange (&link->closing, true))
    return;
  bt_wake_link_loop (link->loop);
}

bool
bt_is_link_closed (const bt_link_t *link)
{
  return atomic_load (&link->closed);
}

const char *
bt_get_link_instance (const bt_link_t *link)
{
  return link->instance;
}

uint64_t
bt_get_link_incarnation (const bt_link_t *link)
{
  return link->incarnation;
}

const char *
bt_get_link_role (const bt_link_t *link)
{
  return link->role;
}

const char *
bt_get_link_failure_domain (const bt_link_t *link)
{
  return link->failure_domain;
}

uint64_t
bt_get_link_id (const bt_link_t *link)
{
  return link->id;
}

void
bt_set_link_data (bt_link_t *link, void *data)
{
  link->data = data;
}

void *
bt_get_link_data (const bt_link_t *link)
{
  return link->data;
}
