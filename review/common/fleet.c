#define _GNU_SOURCE

#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http.h"

enum
{
  PORTS = 5, /* of one entry instance: callers, addresses, ready, links, page */
  MAX_WORDS = 32,
  WORD_BYTES = 160,
  ITEM_BYTES = 512,
  READY_TIMEOUT_MS = 1000,
  READY_POLL_MS = 100,
  LIFE_S = 115, /* all processes end after this time at the latest */
  EXIT_FAILED_EXEC = 127,
  OK = 200,
};

struct rv_fleet
{
  FILE *record;
  int32_t store_port;
  int32_t agent_port;
  int32_t ports[RV_GATEWAYS][PORTS];
  pid_t pids[RV_GATEWAYS]; /* 0: not started */
};

static const char *const zones[RV_GATEWAYS] = { "linkou-hall", "taoyuan-hall", "keelung-hall" };

FILE *
rv_open_record (const char *path)
{
  FILE *record = fopen (path, "a");

  if (record != NULL)
    setvbuf (record, NULL, _IOLBF, 0);
  return record;
}

void
rv_note (FILE *record, const char *format, ...)
{
  static int64_t started_ms;
  va_list arguments;

  flockfile (record);
  if (started_ms == 0)
    started_ms = rv_now_ms ();
  fprintf (record, "%8lld ms  ", (long long)(rv_now_ms () - started_ms));
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fprintf (record, "\n");
  funlockfile (record);
}

void
rv_register_runner (
    rv_store_t *store, const char *id, const char *service, int32_t port, int32_t slots)
{
  char key[ITEM_BYTES];
  char value[ITEM_BYTES];

  snprintf (key, sizeof key, "servers/%s", id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"linkou-hall\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,"
            "\"sequence\":1}",
            service, (int)port, (int)slots);
  rv_put_item (store, key, value);
}

rv_fleet_t *
rv_new_fleet (FILE *record, int32_t store_port)
{
  rv_fleet_t *fleet = calloc (1, sizeof *fleet);

  alarm (LIFE_S);
  signal (SIGPIPE, SIG_IGN);
  fleet->record = record;
  fleet->store_port = store_port;
  fleet->agent_port = rv_find_free_port ();
  for (int32_t i = 0; i < RV_GATEWAYS; i++)
    for (int32_t j = 0; j < PORTS; j++)
      fleet->ports[i][j] = rv_find_free_port ();
  return fleet;
}

/* Fills the words of the command of the role "entry" in deploy/system.toml. */
static void
fill_words (const rv_fleet_t *fleet, int32_t index, char words[MAX_WORDS][WORD_BYTES])
{
  const int32_t *ports = fleet->ports[index];
  int32_t i = 0;

  snprintf (words[i++], WORD_BYTES, "target/bilberryd");
  snprintf (words[i++], WORD_BYTES, "gateway");
  snprintf (words[i++], WORD_BYTES, "--instance=front-%s-1", zones[index]);
  snprintf (words[i++], WORD_BYTES, "--failure-domain=%s", zones[index]);
  snprintf (words[i++], WORD_BYTES, "--cores=0.25");
  snprintf (words[i++], WORD_BYTES, "--listen=127.0.0.1:%d", (int)ports[0]);
  snprintf (words[i++], WORD_BYTES, "--addresses=127.0.0.1:%d", (int)ports[1]);
  snprintf (words[i++], WORD_BYTES, "--ready=127.0.0.1:%d", (int)ports[2]);
  snprintf (words[i++], WORD_BYTES, "--links=127.0.0.1:%d", (int)ports[3]);
  snprintf (words[i++], WORD_BYTES, "--seeds=127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d",
            (int)fleet->ports[0][3], (int)fleet->ports[1][3], (int)fleet->ports[2][3]);
  snprintf (words[i++], WORD_BYTES, "--store=127.0.0.1:%d", (int)fleet->store_port);
  snprintf (words[i++], WORD_BYTES, "--agent-port=%d", (int)fleet->agent_port);
  snprintf (words[i++], WORD_BYTES, "--page=127.0.0.1:%d", (int)ports[4]);
  snprintf (words[i++], WORD_BYTES, "--retry-reserve=90");
  snprintf (words[i++], WORD_BYTES, "--memory-mb=260");
  words[i][0] = '\0';
}

/* Runs in the new process. */
static void
run_gateway (const rv_fleet_t *fleet, int32_t index)
{
  char words[MAX_WORDS][WORD_BYTES];
  char *arguments[MAX_WORDS] = { NULL };
  const char *log = getenv ("REVIEW_LOG");
  int out = open (log == NULL ? "/dev/null" : log, O_WRONLY | O_CREAT | O_APPEND, 0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  fill_words (fleet, index, words);
  for (int32_t i = 0; words[i][0] != '\0'; i++)
    arguments[i] = words[i];
  setenv ("BILBERRY_SECRET", "one secret for the links of this deployment", 1);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  execv (words[0], arguments);
  _exit (EXIT_FAILED_EXEC);
}

static bool
is_ready (const rv_fleet_t *fleet, int32_t index)
{
  static const char request[] = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
  int fd = rv_connect (fleet->ports[index][2], READY_TIMEOUT_MS);
  rv_reply_t reply = { 0 };

  if (fd < 0)
    return false;
  if (rv_write_all (fd, request, strlen (request)))
    rv_read_reply (fd, &reply);
  close (fd);
  return reply.status == OK;
}

int32_t
rv_start_gateways (rv_fleet_t *fleet, int64_t limit_ms)
{
  int64_t end_ms = rv_now_ms () + limit_ms;
  int32_t ready = 0;

  for (int32_t i = 0; i < RV_GATEWAYS; i++)
    {
      fflush (fleet->record);
      fleet->pids[i] = fork ();
      if (fleet->pids[i] == 0)
        run_gateway (fleet, i);
    }
  while (ready < RV_GATEWAYS && rv_now_ms () < end_ms)
    {
      rv_sleep_ms (READY_POLL_MS);
      ready = 0;
      for (int32_t i = 0; i < RV_GATEWAYS; i++)
        ready += is_ready (fleet, i) ? 1 : 0;
    }
  rv_note (fleet->record, "%d entry instances were started, %d of them say that they are ready",
           RV_GATEWAYS, (int)ready);
  return ready;
}

void
rv_kill_gateways (rv_fleet_t *fleet)
{
  for (int32_t i = 0; i < RV_GATEWAYS; i++)
    if (fleet->pids[i] > 0)
      kill (fleet->pids[i], SIGKILL);
  for (int32_t i = 0; i < RV_GATEWAYS; i++)
    {
      if (fleet->pids[i] > 0)
        waitpid (fleet->pids[i], NULL, 0);
      fleet->pids[i] = 0;
    }
}

int32_t
rv_get_gateway_port (const rv_fleet_t *fleet, int32_t index)
{
  return fleet->ports[index][0];
}

bool
rv_are_gateways_alive (rv_fleet_t *fleet)
{
  for (int32_t i = 0; i < RV_GATEWAYS; i++)
    if (fleet->pids[i] <= 0 || waitpid (fleet->pids[i], NULL, WNOHANG) != 0)
      return false;
  return true;
}
