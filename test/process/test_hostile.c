#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "bilberrytray/base.h"
#include "harness.h"

enum
{
  READ_WAIT_S = 20,
  HEAD_BYTES = 200000,
  STALLED_CONNECTIONS = 64,
  NOISE_ROUNDS = 200,
  NOISE_BYTES = 512,
  ANSWER_BYTES = 4096,
  LINK_PORT_OFFSET = 20,
  MEMORY_LIMIT_KB = 65536,
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"all\",\"then\":{\"action\":\"route\",\"app\":\"lookup\","
    "\"idempotent\":true}}]}";

static const char *const entry_arguments[] = { "--caller-idle-ms", "1000", NULL };

static bt_testbed_t *testbed;

static int
start_suite (void)
{
  bt_set_testbed_arguments (entry_arguments, NULL);
  testbed = bt_new_testbed (1, 0, 1, 0, rules);
  return testbed == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static int
connect_port (int32_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = READ_WAIT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
connect_entry (void)
{
  return connect_port (bt_get_testbed_port (testbed, "entry-0"));
}

static void
read_answer (int fd, char *answer)
{
  size_t used = 0;
  ssize_t got;

  do
    {
      got = recv (fd, answer + used, ANSWER_BYTES - 1 - used, 0);
      used += got > 0 ? (size_t)got : 0;
    }
  while (got > 0 && used < ANSWER_BYTES - 1);
  answer[used] = '\0';
}

static void
check_entry_serves (void)
{
  bt_http_reply_t reply;

  bt_send_entry_request (testbed, "entry-0", "small", "/anything", NULL, "body", &reply);
  CU_ASSERT_EQUAL (reply.status, 200);
  bt_clear_reply (&reply);
}

/* A caller sends headers of hundreds of kilobytes. It must get an error, and the buffer must not
 * grow without limit. */
static void
test_oversized_head_gets_an_error (void)
{
  static char head[HEAD_BYTES];
  char answer[ANSWER_BYTES];
  int fd = connect_entry ();
  int used = snprintf (head, sizeof head, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ");

  memset (head + used, 'x', sizeof head - (size_t)used);
  CU_ASSERT_TRUE (send (fd, head, sizeof head, MSG_NOSIGNAL) >= 0);
  read_answer (fd, answer);
  CU_ASSERT_TRUE (answer[0] == '\0' || strncmp (answer, "HTTP/1.1 4", 10) == 0);
  close (fd);
  check_entry_serves ();
}

static void
check_malformed_request (const char *text)
{
  char answer[ANSWER_BYTES];
  int fd = connect_entry ();

  CU_ASSERT_TRUE (send (fd, text, strlen (text), MSG_NOSIGNAL) >= 0);
  shutdown (fd, SHUT_WR);
  read_answer (fd, answer);
  CU_ASSERT_TRUE (strncmp (answer, "HTTP/1.1 2", 10) != 0);
  close (fd);
}

static void
test_malformed_requests_are_refused (void)
{
  check_malformed_request ("\r\n\r\n\r\n");
  check_malformed_request ("GET\r\n\r\n");
  check_malformed_request ("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nabc");
  check_malformed_request ("POST /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-small\r\n"
                           "Content-Length: 100\r\n\r\ncut short");
  check_malformed_request ("POST /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-small\r\n"
                           "Transfer-Encoding: chunked\r\n\r\nzz\r\nnot a chunk");
  check_entry_serves ();
}

/* Many callers begin a request and then send nothing. Their connections must be closed after the
 * idle limit, and other callers must be served meanwhile. */
static void
test_stalled_requests_are_closed (void)
{
  static const char *const start = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Le";
  char answer[ANSWER_BYTES];
  int fds[STALLED_CONNECTIONS];

  for (int32_t i = 0; i < STALLED_CONNECTIONS; i++)
    {
      fds[i] = connect_entry ();
      CU_ASSERT_TRUE (send (fds[i], start, strlen (start), MSG_NOSIGNAL) >= 0);
    }
  check_entry_serves ();
  for (int32_t i = 0; i < STALLED_CONNECTIONS; i++)
    {
      read_answer (fds[i], answer);
      CU_ASSERT_TRUE (strncmp (answer, "HTTP/1.1 2", 10) != 0);
      close (fds[i]);
    }
}

static int64_t
read_resident_kb (const char *name)
{
  char path[64] = "";
  char line[256];
  int64_t resident_kb = 0;
  FILE *file;

  for (int32_t i = 0; i < testbed->process_count; i++)
    if (strcmp (testbed->processes[i].name, name) == 0)
      snprintf (path, sizeof path, "/proc/%d/status", (int)testbed->processes[i].pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "VmRSS:", strlen ("VmRSS:")) == 0)
      resident_kb = strtoll (line + strlen ("VmRSS:"), NULL, 10);
  if (file != NULL)
    fclose (file);
  return resident_kb;
}

static void
send_noise (int32_t port, uint64_t seed)
{
  bt_random_t random;
  uint8_t noise[NOISE_BYTES];
  int fd = connect_port (port);

  bt_seed_random (&random, seed);
  for (size_t i = 0; i < sizeof noise; i++)
    noise[i] = (uint8_t)bt_next_random (&random);
  CU_ASSERT_TRUE (fd >= 0);
  if (send (fd, noise, sizeof noise, MSG_NOSIGNAL) < 0)
    CU_FAIL ("the random bytes were not sent");
  close (fd);
}

/* Clients announce large bodies on many connections and send little of them. The memory of the
 * entry must grow by what was sent, not by the hundreds of megabytes that were announced. */
static void
test_announced_bodies_allocate_no_memory (void)
{
  static const char *const start = "POST /x HTTP/1.1\r\nHost: x\r\n"
                                   "Authorization: Bearer token-small\r\n"
                                   "Content-Length: 1048576\r\n\r\nlittle";
  int64_t before_kb = read_resident_kb ("entry-0");
  int fds[STALLED_CONNECTIONS * 4];

  for (int32_t i = 0; i < STALLED_CONNECTIONS * 4; i++)
    {
      fds[i] = connect_entry ();
      CU_ASSERT_TRUE (send (fds[i], start, strlen (start), MSG_NOSIGNAL) >= 0);
    }
  check_entry_serves ();
  CU_ASSERT_TRUE (before_kb > 0);
  CU_ASSERT_TRUE (read_resident_kb ("entry-0") - before_kb < MEMORY_LIMIT_KB);
  for (int32_t i = 0; i < STALLED_CONNECTIONS * 4; i++)
    close (fds[i]);
}

/* Random bytes arrive at the callers' port and at the link ports of an entry and an agent. The
 * processes must close those connections and continue to serve. */
static void
test_random_bytes_at_each_port_do_no_harm (void)
{
  int32_t entry = bt_get_testbed_port (testbed, "entry-0");

  for (uint64_t seed = 1; seed <= NOISE_ROUNDS; seed++)
    {
      send_noise (entry, seed);
      send_noise (entry + LINK_PORT_OFFSET, seed);
      send_noise (entry + 3 * LINK_PORT_OFFSET, seed);
    }
  check_entry_serves ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("hostile", start_suite, end_suite);
  CU_ADD_TEST (suite, test_oversized_head_gets_an_error);
  CU_ADD_TEST (suite, test_malformed_requests_are_refused);
  CU_ADD_TEST (suite, test_stalled_requests_are_closed);
  CU_ADD_TEST (suite, test_announced_bodies_allocate_no_memory);
  CU_ADD_TEST (suite, test_random_bytes_at_each_port_do_no_harm);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
