#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"
#include "peer_feed.h"

enum
{
  POLL_MS = 5,
  WAIT_LIMIT_MS = 20000,
  CONTACT_MS = 60000,
  FIRST_REVISION = 9,
};

/** One entry: its copy of the store, and its links to peers. */
typedef struct instance
{
  char links[BT_ADDRESS_BYTES];
  bt_store_copy_t *copy;
  bt_peer_feed_t *feed;
} instance_t;

static bt_context_t *ctx;

/* Writes a loopback address whose port is free. */
static void
find_address (char address[BT_ADDRESS_BYTES])
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t bytes = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&in, sizeof in), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)&in, &bytes), 0);
  close (fd);
  snprintf (address, BT_ADDRESS_BYTES, "127.0.0.1:%d", (int)ntohs (in.sin_port));
}

static void
open_instance (instance_t *instance, uint64_t incarnation)
{
  bt_peer_feed_options_t options = {
    .self = { .incarnation = incarnation, .failure_domain = "a", .secret = "secret" },
    .contact_ms = CONTACT_MS
  };
  bt_error_t error = { 0 };

  find_address (instance->links);
  options.self.links = instance->links;
  instance->copy = bt_new_store_copy (ctx, bt_get_platform ());
  instance->feed = bt_new_peer_feed (ctx, &options, instance->copy, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (instance->feed);
}

static void
close_instance (instance_t *instance)
{
  bt_drop_peer_feed (ctx, instance->feed);
  bt_drop_store_copy (ctx, instance->copy);
}

/* Makes changes that write one item. */
static void
fill_changes (bt_kv_changes_t *changes, const char *key, int64_t revision)
{
  bt_kv_pair_t *pair = bt_calloc (ctx, 1, sizeof *pair);

  memset (changes, 0, sizeof *changes);
  pair->key = bt_strdup (ctx, key);
  pair->value = bt_memdup (ctx, "x", 1);
  pair->value_bytes = 1;
  pair->mod_revision = revision;
  pair->create_revision = revision;
  changes->written.pairs = pair;
  changes->written.count = 1;
  changes->written.revision = revision;
}

/* Gives an entry its first items, as a full read of the store does. */
static void
read_store (instance_t *instance)
{
  bt_kv_changes_t changes;

  fill_changes (&changes, "a", FIRST_REVISION);
  CU_ASSERT_TRUE (bt_replace_copy (ctx, instance->copy, &changes.written, 0));
  bt_set_store_reachable (instance->feed, true, bt_now_ms (ctx));
}

/* Follows a peer, as the watching thread of an entry does, until the copy is at a revision. */
static bool
follow_until (instance_t *follower, const instance_t *peer, int64_t revision)
{
  bt_feed_choice_t choice = { .count = 1, .primary_count = 1 };
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + WAIT_LIMIT_MS;

  snprintf (choice.candidates[0], sizeof choice.candidates[0], "%s", peer->links);
  while (bt_get_copy_position (follower->copy).revision < revision)
    {
      bt_store_update_t *update;

      if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
        return false;
      bt_maintain_peer_feed (follower->feed, &choice, 1);
      while ((update = bt_take_peer_update (follower->feed)) != NULL)
        {
          if (bt_apply_update_to_copy (ctx, follower->copy, update, 0) == BT_UPDATE_GAP)
            bt_request_peer_resync (follower->feed);
          bt_drop_store_update (ctx, update);
        }
      bt_sleep_ms (POLL_MS);
    }
  return true;
}

/* Guards against a change that never takes effect at an entry: the peer that it follows learned of
 * the change without sending it, as while the peer followed another one for a moment. */
static void
test_change_that_was_not_sent_is_requested (void)
{
  instance_t reader;
  instance_t follower;
  bt_kv_changes_t changes;

  open_instance (&reader, 1);
  open_instance (&follower, 2);
  read_store (&reader);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION));
  fill_changes (&changes, "b", FIRST_REVISION + 1);
  bt_apply_changes_to_copy (ctx, reader.copy, &changes, 0);
  bt_drop_kv_changes (ctx, &changes);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION + 1));
  close_instance (&follower);
  close_instance (&reader);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("peer_feed", NULL, NULL);
  CU_ADD_TEST (suite, test_change_that_was_not_sent_is_requested);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
