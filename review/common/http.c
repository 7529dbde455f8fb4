#define _GNU_SOURCE

#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum
{
  BACKLOG = 256,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  NS_PER_MS = 1000000,
  BASE_TEN = 10,
  FIRST_PORT = 20000,
  PORT_SPREAD = 12000,
  PORT_STEP = 37, /* more than the ports of one run: runs that begin together use others */
  STATUS_AT = 9,  /* offset of the status in "HTTP/1.1 200" */
};

typedef struct server
{
  int fd;
  rv_answer_t answer;
  void *data;
} server_t;

typedef struct connection
{
  int fd;
  const server_t *server;
  char head[RV_HEAD_BYTES + 1];
  size_t bytes; /* read and not yet used */
} connection_t;

int64_t
rv_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

void
rv_sleep_ms (int64_t ms)
{
  struct timespec pause = { ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS };

  nanosleep (&pause, NULL);
}

bool
rv_write_all (int fd, const char *data, size_t bytes)
{
  while (bytes > 0)
    {
      ssize_t sent = send (fd, data, bytes, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      bytes -= (size_t)sent;
    }
  return true;
}

bool
rv_write_answer (int fd, int32_t status, const char *headers, const char *body, size_t body_bytes)
{
  char *text;
  int bytes = asprintf (&text, "HTTP/1.1 %d Answer\r\n%sContent-Length: %zu\r\n\r\n", (int)status,
                        headers, body_bytes);
  bool done = rv_write_all (fd, text, (size_t)bytes) && rv_write_all (fd, body, body_bytes);

  free (text);
  return done;
}

const char *
rv_get_header (const rv_request_t *request, const char *name)
{
  for (int32_t i = 0; i < request->header_count; i++)
    if (strcasecmp (request->names[i], name) == 0)
      return request->values[i];
  return "";
}

void
rv_get_field (const rv_request_t *request, const char *name, char *value, size_t bytes)
{
  const char *at = request->query;
  size_t name_bytes = strlen (name);

  value[0] = '\0';
  while (*at != '\0')
    {
      size_t length = strcspn (at, "&");

      if (strncmp (at, name, name_bytes) == 0 && at[name_bytes] == '=')
        {
          snprintf (value, bytes, "%.*s", (int)(length - name_bytes - 1), at + name_bytes + 1);
          return;
        }
      at += length + (at[length] == '&' ? 1 : 0);
    }
}

/* Splits the head in place. Returns false if it is no request. */
static bool
parse_head (char *head, rv_request_t *request)
{
  char *rest = head;
  char *line = strsep (&rest, "\n");
  char *words = line;

  memset (request, 0, sizeof *request);
  request->method = strsep (&words, " ");
  request->target = strsep (&words, " ");
  if (request->target == NULL)
    return false;
  request->path = strdup (request->target);
  request->query = strchr (request->path, '?');
  if (request->query == NULL)
    request->query = request->path + strlen (request->path);
  else
    *request->query++ = '\0';
  while ((line = strsep (&rest, "\n")) != NULL && request->header_count < RV_MAX_HEADERS)
    {
      char *colon = strchr (line, ':');

      line[strcspn (line, "\r")] = '\0';
      if (colon == NULL)
        continue;
      *colon = '\0';
      request->names[request->header_count] = line;
      request->values[request->header_count++] = colon + 1 + strspn (colon + 1, " \t");
    }
  return true;
}

/* Reads until the head is complete. Returns its length with the blank line; 0 at the end. */
static size_t
read_head (connection_t *connection)
{
  while (true)
    {
      const char *end;
      ssize_t received;

      connection->head[connection->bytes] = '\0';
      end = strstr (connection->head, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - connection->head) + strlen ("\r\n\r\n");
      if (connection->bytes == RV_HEAD_BYTES)
        return 0;
      received = recv (connection->fd, connection->head + connection->bytes,
                       RV_HEAD_BYTES - connection->bytes, 0);
      if (received <= 0)
        return 0;
      connection->bytes += (size_t)received;
    }
}

/* Reads the body, of which the connection may already have a part. */
static bool
read_body (connection_t *connection, const char *begun, size_t begun_bytes, rv_request_t *request)
{
  size_t got = begun_bytes < request->body_bytes ? begun_bytes : request->body_bytes;

  request->body = calloc (request->body_bytes + 1, 1);
  memcpy (request->body, begun, got);
  while (got < request->body_bytes)
    {
      ssize_t received = recv (connection->fd, request->body + got, request->body_bytes - got, 0);

      if (received <= 0)
        return false;
      got += (size_t)received;
    }
  return true;
}

static bool
answer_one (connection_t *connection)
{
  size_t head_bytes = read_head (connection);
  char *head;
  rv_request_t request;
  bool kept = false;
  size_t used;

  if (head_bytes == 0)
    return false;
  head = strndup (connection->head, head_bytes);
  if (parse_head (head, &request))
    {
      request.body_bytes =
          (size_t)strtoll (rv_get_header (&request, "Content-Length"), NULL, BASE_TEN);
      kept = read_body (connection, connection->head + head_bytes, connection->bytes - head_bytes,
                        &request)
             && connection->server->answer (connection->server->data, connection->fd, &request);
      used = head_bytes + request.body_bytes;
      used = used < connection->bytes ? used : connection->bytes;
      memmove (connection->head, connection->head + used, connection->bytes - used);
      connection->bytes -= used;
      free (request.path);
      free (request.body);
    }
  free (head);
  return kept;
}

static void *
run_connection (void *argument)
{
  connection_t *connection = argument;

  while (answer_one (connection))
    continue;
  close (connection->fd);
  free (connection);
  return NULL;
}

static void *
run_server (void *argument)
{
  server_t *server = argument;

  while (true)
    {
      int one = 1;
      int fd = accept (server->fd, NULL, NULL);
      connection_t *connection;
      pthread_t thread;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection = calloc (1, sizeof *connection);
      connection->fd = fd;
      connection->server = server;
      if (pthread_create (&thread, NULL, run_connection, connection) == 0)
        pthread_detach (thread);
      else
        close (fd);
    }
  return NULL;
}

static int
open_socket (int32_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)*port) };
  socklen_t bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &bytes) != 0)
    {
      close (fd);
      return -1;
    }
  *port = ntohs (address.sin_port);
  return fd;
}

/* Ports below those that the kernel gives to outgoing connections stay free until they are used. */
int32_t
rv_find_free_port (void)
{
  static int32_t last;

  if (last == 0)
    last = FIRST_PORT + (int32_t)(getpid () * PORT_STEP % PORT_SPREAD);
  for (int32_t tries = 0; tries < PORT_SPREAD; tries++)
    {
      int32_t port = last;
      int fd;

      last = last + 1 < FIRST_PORT + PORT_SPREAD ? last + 1 : FIRST_PORT;
      fd = open_socket (&port);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  return 0;
}

int32_t
rv_serve (rv_answer_t answer, void *data)
{
  server_t *server = calloc (1, sizeof *server);
  int32_t port = 0;
  pthread_t thread;

  server->fd = open_socket (&port);
  server->answer = answer;
  server->data = data;
  if (server->fd < 0 || listen (server->fd, BACKLOG) != 0
      || pthread_create (&thread, NULL, run_server, server) != 0)
    {
      free (server);
      return -1;
    }
  pthread_detach (thread);
  return port;
}

int
rv_connect (int32_t port, int32_t timeout_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval timeout = { timeout_ms / MS_PER_S,
                             (suseconds_t)(timeout_ms % MS_PER_S) * US_PER_MS };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns the length of the whole answer that begins at @p text; 0 while its head is incomplete. */
static size_t
get_answer_bytes (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length;

  if (end == NULL)
    return 0;
  length = strcasestr (text, "\r\nContent-Length:");
  return (size_t)(end - text) + strlen ("\r\n\r\n")
         + (length == NULL || length > end
                ? 0
                : (size_t)strtoll (length + strlen ("\r\nContent-Length:"), NULL, BASE_TEN));
}

void
rv_read_reply (int fd, rv_reply_t *reply)
{
  char *text = calloc (RV_HEAD_BYTES + 1, 1);
  size_t wanted = 0; /* bytes of the whole answer; 0: not known yet */

  memset (reply, 0, sizeof *reply);
  while (!reply->whole && !reply->closed)
    {
      /* Of the body, nothing is kept. */
      size_t at = wanted == 0 ? reply->total_bytes : 0;
      ssize_t received = at < RV_HEAD_BYTES ? recv (fd, text + at, RV_HEAD_BYTES - at, 0) : 0;

      if (received < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (received <= 0)
        reply->closed = true;
      else
        reply->total_bytes += (size_t)received;
      if (wanted == 0 && received > 0)
        {
          text[reply->total_bytes] = '\0';
          wanted = get_answer_bytes (text);
          if (wanted > 0 && strncmp (text, "HTTP/1.1 ", STATUS_AT) == 0)
            reply->status = (int32_t)strtol (text + STATUS_AT, NULL, BASE_TEN);
        }
      reply->whole = wanted > 0 && reply->total_bytes >= wanted;
    }
  free (text);
}
