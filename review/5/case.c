/** @file
 * Seven entry instances in three zones, as on the site. In each of some rounds two keys are taken
 * away 100 ms apart. Between the two changes, one of the instances that read the store is cut off
 * from it, silently, for 5.5 s. The others are calm; they are asked with the second key from 1.6 s
 * behind its confirmation. With TROUBLE=0 nothing is cut off.
 */

#define _GNU_SOURCE

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../common/fleet.h"
#include "../common/http.h"
#include "../common/runner.h"

enum
{
  EXIT_HELD = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2,
  EXIT_FAILED_EXEC = 127,
  ARGUMENTS = 3, /* the program, TROUBLE and the path of the record */
  ENTRIES = 7,
  RUNNERS = 3,
  SLOTS = 6,
  PORTS = 5, /* callers, addresses, ready, links, page */
  ROUNDS = 7,
  LAST_ROUND_MS = 95000,
  READY_LIMIT_MS = 15000,
  STABLE_MS = 4000,       /* stable_window_ms is 3,000 */
  COUNT_MS = 4000,        /* calls of the store are counted for so long to find the readers */
  CUT_AFTER_MS = 50,      /* behind the confirmation of the first change */
  GAP_MS = 100,           /* between the two changes; gap_s = 0.1 */
  CUT_MS = 5500,          /* for_s = 5.5 */
  CONFIG_APPLY_MS = 2000, /* config_apply_ms */
  ASK_FROM_MS = 1600,     /* behind the confirmation of the second change */
  ASK_UNTIL_MS = 2600,
  ASK_STEP_MS = 8,
  REPLY_MS = 1500,
  WORDS = 24,
  WORD_BYTES = 200,
  TEXT_BYTES = 4096,
  BUFFER_BYTES = 65536,
  LIFE_S = 116,
  BACKLOG = 64,
  POLL_MS = 5,
  OK = 200,
};

static const char *const zones[ENTRIES] = { "linkou-hall",  "linkou-hall",  "linkou-hall",
                                            "taoyuan-hall", "taoyuan-hall", "keelung-hall",
                                            "keelung-hall" };
static const char *const names[ENTRIES] = { "front-linkou-hall-1",  "front-linkou-hall-2",
                                            "front-linkou-hall-3",  "front-taoyuan-hall-1",
                                            "front-taoyuan-hall-2", "front-keelung-hall-1",
                                            "front-keelung-hall-2" };

/** The way of one entry instance to the store. */
typedef struct way
{
  int32_t port;
  int32_t store_port;
  int listener;
  atomic_bool cut;
  atomic_int watches; /* calls of /v1/kv-watch */
} way_t;

typedef struct connection
{
  way_t *way;
  int client;
  int store;
} connection_t;

typedef struct entry
{
  pid_t pid;
  int32_t ports[PORTS];
  way_t way;
} entry_t;

typedef struct review_case
{
  FILE *record;
  bool trouble;
  rv_store_t *store;
  rv_runner_t *runners[RUNNERS];
  entry_t entries[ENTRIES];
  int32_t agent_port;
  int32_t version;
  atomic_int last_id;
  atomic_int asked; /* later than config_apply_ms behind the confirmation */
  atomic_int stale; /* of these, run with the key that was taken away */
  atomic_int most_ms;
} review_case_t;

/** A client that asks one entry instance. */
typedef struct client
{
  review_case_t *self;
  int32_t entry;
  char key[TEXT_BYTES / 64];
  int64_t confirmed_ms;
} client_t;

/* Passes bytes on unless the way is cut: then nothing is read or written, and the connections stay.
 */
static void *
pass_on (void *argument)
{
  static const char watch[] = "GET /v1/kv-watch";
  connection_t *connection = argument;
  way_t *way = connection->way;
  char *buffer = malloc (BUFFER_BYTES);
  bool open = true;

  while (open)
    {
      struct pollfd fds[2] = { { connection->client, POLLIN, 0 },
                               { connection->store, POLLIN, 0 } };

      if (atomic_load (&way->cut))
        {
          rv_sleep_ms (POLL_MS);
          continue;
        }
      if (poll (fds, 2, POLL_MS) <= 0)
        continue;
      for (int i = 0; i < 2 && open; i++)
        {
          ssize_t bytes;

          if (fds[i].revents == 0 || atomic_load (&way->cut))
            continue;
          bytes = recv (fds[i].fd, buffer, BUFFER_BYTES, 0);
          if (i == 0 && bytes >= (ssize_t)strlen (watch)
              && strncmp (buffer, watch, strlen (watch)) == 0)
            atomic_fetch_add (&way->watches, 1);
          /* Bytes that were read just as the way was cut are held up. */
          while (atomic_load (&way->cut))
            rv_sleep_ms (POLL_MS);
          open = bytes > 0 && rv_write_all (fds[1 - i].fd, buffer, (size_t)bytes);
        }
    }
  close (connection->client);
  close (connection->store);
  free (buffer);
  free (connection);
  return NULL;
}

static void *
accept_calls (void *argument)
{
  way_t *way = argument;

  while (true)
    {
      int one = 1;
      int fd = accept (way->listener, NULL, NULL);
      connection_t *connection;
      pthread_t thread;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection = calloc (1, sizeof *connection);
      connection->way = way;
      connection->client = fd;
      connection->store = rv_connect (way->store_port, 0);
      if (pthread_create (&thread, NULL, pass_on, connection) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

static bool
open_way (way_t *way, int32_t store_port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t bytes = sizeof address;
  pthread_t thread;

  way->store_port = store_port;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  way->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (way->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (way->listener, BACKLOG) != 0
      || getsockname (way->listener, (struct sockaddr *)&address, &bytes) != 0)
    return false;
  way->port = ntohs (address.sin_port);
  if (pthread_create (&thread, NULL, accept_calls, way) != 0)
    return false;
  pthread_detach (thread);
  return true;
}

/* Fills the words of the command of the role "entry" in deploy/system.toml. */
static void
fill_words (const review_case_t *self, int32_t index, char words[WORDS][WORD_BYTES])
{
  const entry_t *entry = &self->entries[index];
  const int32_t *ports = entry->ports;
  int32_t i = 0;

  snprintf (words[i++], WORD_BYTES, "target/bilberryd");
  snprintf (words[i++], WORD_BYTES, "gateway");
  snprintf (words[i++], WORD_BYTES, "--instance=%s", names[index]);
  snprintf (words[i++], WORD_BYTES, "--failure-domain=%s", zones[index]);
  snprintf (words[i++], WORD_BYTES, "--cores=0.25");
  snprintf (words[i++], WORD_BYTES, "--listen=127.0.0.1:%d", (int)ports[0]);
  snprintf (words[i++], WORD_BYTES, "--addresses=127.0.0.1:%d", (int)ports[1]);
  snprintf (words[i++], WORD_BYTES, "--ready=127.0.0.1:%d", (int)ports[2]);
  snprintf (words[i++], WORD_BYTES, "--links=127.0.0.1:%d", (int)ports[3]);
  snprintf (words[i++], WORD_BYTES, "--seeds=127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d",
            (int)self->entries[0].ports[3], (int)self->entries[3].ports[3],
            (int)self->entries[5].ports[3]);
  snprintf (words[i++], WORD_BYTES, "--store=127.0.0.1:%d", (int)entry->way.port);
  snprintf (words[i++], WORD_BYTES, "--agent-port=%d", (int)self->agent_port);
  snprintf (words[i++], WORD_BYTES, "--page=127.0.0.1:%d", (int)ports[4]);
  snprintf (words[i++], WORD_BYTES, "--retry-reserve=90");
  snprintf (words[i++], WORD_BYTES, "--memory-mb=260");
  words[i][0] = '\0';
}

static void
run_entry (const review_case_t *self, int32_t index)
{
  char words[WORDS][WORD_BYTES];
  char *arguments[WORDS] = { NULL };
  const char *log = getenv ("REVIEW_LOG");
  int out = open (log == NULL ? "/dev/null" : log, O_WRONLY | O_CREAT | O_APPEND, 0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  fill_words (self, index, words);
  for (int32_t i = 0; words[i][0] != '\0'; i++)
    arguments[i] = words[i];
  setenv ("BILBERRY_SECRET", "one secret for the links of this deployment", 1);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  execv (words[0], arguments);
  _exit (EXIT_FAILED_EXEC);
}

static bool
is_ready (const entry_t *entry)
{
  static const char request[] = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
  int fd = rv_connect (entry->ports[2], REPLY_MS);
  rv_reply_t reply = { 0 };

  if (fd < 0)
    return false;
  if (rv_write_all (fd, request, strlen (request)))
    rv_read_reply (fd, &reply);
  close (fd);
  return reply.status == OK;
}

/* Writes the next version: it holds the keys named. */
static void
write_version (review_case_t *self, const char *keys)
{
  char text[TEXT_BYTES];

  self->version += 3;
  snprintf (text, sizeof text,
            "{\"version\":%d,\"routes\":["
            "{\"name\":\"r-slot\",\"host\":\"ficu95.example\",\"prefix\":\"/slot/\","
            "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
            "\"service\":\"depot\",\"max_attempts\":2,\"public\":false}],"
            "\"services\":[{\"name\":\"depot\",\"health_path\":\"/health\",\"max_conns\":100,"
            "\"protocol\":\"h1\",\"tls\":false}],"
            "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            "\"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-north\"%s],\"priority\":1}]}",
            (int)self->version, keys);
  rv_put_item (self->store, "op/config", text);
  rv_note (self->record, "version %d is confirmed; keys: key-north%s", (int)self->version, keys);
}

static bool
start (review_case_t *self)
{
  int64_t end_ms = rv_now_ms () + READY_LIMIT_MS;
  int32_t store_port;
  int32_t ready = 0;

  alarm (LIFE_S);
  signal (SIGPIPE, SIG_IGN);
  self->store = rv_start_store (&store_port);
  for (int32_t i = 0; i < RUNNERS; i++)
    {
      char id[TEXT_BYTES / 64];
      int32_t port;

      snprintf (id, sizeof id, "i-depot-%d", (int)i);
      self->runners[i] = rv_start_runner (self->record, id, "", &port);
      rv_register_runner (self->store, id, "depot", port, SLOTS);
    }
  write_version (self, "");
  self->agent_port = rv_find_free_port ();
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      for (int32_t j = 0; j < PORTS; j++)
        self->entries[i].ports[j] = rv_find_free_port ();
      if (!open_way (&self->entries[i].way, store_port))
        return false;
    }
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      fflush (self->record);
      self->entries[i].pid = fork ();
      if (self->entries[i].pid == 0)
        run_entry (self, i);
    }
  while (ready < ENTRIES && rv_now_ms () < end_ms)
    {
      rv_sleep_ms (100);
      ready = 0;
      for (int32_t i = 0; i < ENTRIES; i++)
        ready += is_ready (&self->entries[i]) ? 1 : 0;
    }
  rv_note (self->record, "%d of %d entry instances say that they are ready", (int)ready, ENTRIES);
  return ready == ENTRIES;
}

/* Returns an entry instance that watches the store all the time, another one in each round; -1:
 * none. */
static int32_t
find_reader (review_case_t *self, int32_t round)
{
  int32_t readers[ENTRIES];
  int32_t count = 0;

  for (int32_t i = 0; i < ENTRIES; i++)
    atomic_store (&self->entries[i].way.watches, 0);
  rv_sleep_ms (COUNT_MS);
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      int watches = atomic_load (&self->entries[i].way.watches);

      rv_note (self->record, "%s watched the store %d times", names[i], watches);
      if (watches > 1)
        readers[count++] = i;
    }
  return count > 0 ? readers[round % count] : -1;
}

static void *
ask (void *argument)
{
  client_t *client = argument;
  review_case_t *self = client->self;
  int fd = -1;

  rv_sleep_ms (client->confirmed_ms + ASK_FROM_MS - rv_now_ms ());
  while (rv_now_ms () < client->confirmed_ms + ASK_UNTIL_MS)
    {
      char head[TEXT_BYTES];
      int id = atomic_fetch_add (&self->last_id, 1) + 1;
      rv_reply_t reply = { 0 };
      int64_t behind_ms;

      if (fd < 0)
        fd = rv_connect (self->entries[client->entry].ports[0], REPLY_MS);
      if (fd < 0)
        break;
      snprintf (head, sizeof head,
                "GET /slot/a HTTP/1.1\r\nHost: ficu95.example\r\nBilberrytray-Attempt-Id: c%06d\r\n"
                "Bilberrytray-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n",
                id, client->key);
      behind_ms = rv_now_ms () - client->confirmed_ms;
      if (rv_write_all (fd, head, strlen (head)))
        rv_read_reply (fd, &reply);
      if (behind_ms > CONFIG_APPLY_MS)
        atomic_fetch_add (&self->asked, 1);
      if (reply.status == OK && behind_ms > CONFIG_APPLY_MS)
        {
          atomic_fetch_add (&self->stale, 1);
          if (behind_ms > atomic_load (&self->most_ms))
            atomic_store (&self->most_ms, (int)behind_ms);
          rv_note (self->record,
                   "STALE: %s serves c%06d with the key %s, sent %lld ms behind the confirmation",
                   names[client->entry], id, client->key, (long long)behind_ms);
        }
      else
        rv_note (self->record, "%s answers c%06d with %d, sent %lld ms behind the confirmation",
                 names[client->entry], id, (int)reply.status, (long long)behind_ms);
      if (!reply.whole || reply.closed)
        {
          close (fd);
          fd = -1;
        }
      rv_sleep_ms (ASK_STEP_MS);
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

/* Returns false if the round could not run. */
static bool
run_round (review_case_t *self, int32_t round)
{
  client_t clients[ENTRIES];
  pthread_t threads[ENTRIES];
  bool started[ENTRIES] = { false };
  char keys[TEXT_BYTES / 16];
  int64_t cut_ms;
  int64_t confirmed_ms;
  int32_t reader;

  snprintf (keys, sizeof keys, ",\"first-%d\",\"second-%d\"", (int)round, (int)round);
  write_version (self, keys);
  reader = find_reader (self, round);
  if (reader < 0)
    return false;
  snprintf (keys, sizeof keys, ",\"second-%d\"", (int)round);
  write_version (self, keys);
  confirmed_ms = rv_now_ms ();
  rv_sleep_ms (CUT_AFTER_MS);
  cut_ms = rv_now_ms ();
  if (self->trouble)
    {
      atomic_store (&self->entries[reader].way.cut, true);
      rv_note (self->record, "%s is cut off from the store", names[reader]);
    }
  rv_sleep_ms (confirmed_ms + GAP_MS - rv_now_ms ());
  write_version (self, "");
  confirmed_ms = rv_now_ms ();
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      clients[i] = (client_t){ .self = self, .entry = i, .confirmed_ms = confirmed_ms };
      snprintf (clients[i].key, sizeof clients[i].key, "second-%d", (int)round);
      /* The instance that is cut off is not in touch. */
      started[i] = i != reader && pthread_create (&threads[i], NULL, ask, &clients[i]) == 0;
    }
  for (int32_t i = 0; i < ENTRIES; i++)
    if (started[i])
      pthread_join (threads[i], NULL);
  rv_sleep_ms (cut_ms + CUT_MS - rv_now_ms ());
  atomic_store (&self->entries[reader].way.cut, false);
  rv_note (self->record, "all ways to the store are open");
  rv_sleep_ms (STABLE_MS);
  return true;
}

static bool
end_entries (review_case_t *self)
{
  bool alive = true;

  for (int32_t i = 0; i < ENTRIES; i++)
    if (self->entries[i].pid > 0)
      {
        alive = alive && waitpid (self->entries[i].pid, NULL, WNOHANG) == 0;
        kill (self->entries[i].pid, SIGKILL);
        waitpid (self->entries[i].pid, NULL, 0);
      }
  return alive;
}

int
main (int argc, char **argv)
{
  static review_case_t self;
  int64_t begun_ms = rv_now_ms ();
  int32_t rounds = 0;
  bool running;
  bool alive;

  if (argc != ARGUMENTS)
    return EXIT_NOT_RUN;
  self.trouble = strcmp (argv[1], "0") != 0;
  self.record = rv_open_record (argv[2]);
  if (self.record == NULL)
    return EXIT_NOT_RUN;
  self.version = 1;
  running = start (&self);
  if (running)
    rv_sleep_ms (STABLE_MS);
  for (; running && rounds < ROUNDS && rv_now_ms () - begun_ms < LAST_ROUND_MS; rounds++)
    running = run_round (&self, rounds);
  alive = end_entries (&self);
  rv_note (self.record,
           "%d rounds; %d requests with a key taken away more than 2,000 ms before at calm "
           "instances, %d of them run, the last sent %d ms behind the confirmation",
           (int)rounds, atomic_load (&self.asked), atomic_load (&self.stale),
           atomic_load (&self.most_ms));
  if (!running || !alive || atomic_load (&self.asked) == 0)
    {
      rv_note (self.record, "The case could not run.");
      return EXIT_NOT_RUN;
    }
  rv_note (self.record, "CONFIG: %s", atomic_load (&self.stale) > 0 ? "broken" : "held");
  return atomic_load (&self.stale) > 0 ? EXIT_BROKEN : EXIT_HELD;
}
