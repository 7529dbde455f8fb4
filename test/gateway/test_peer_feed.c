#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdatomic.h>
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
  WATCH_MS = 60000,
  FIRST_REVISION = 9,
  AGE_MS = 1000,
  CLOCK_DISTANCE_MS = 100000000, /* between the clocks of two instances */
};

/** A clock that runs, and that a test can move ahead. */
typedef struct moved_clock
{
  bt_clock_t base; /* must be first: read_moved_ms casts it to moved_clock_t */
  atomic_int_least64_t moved_ms;
} moved_clock_t;

/** One entry: its copy of the store, and its links to peers. Its clock is its own. */
typedef struct instance
{
  bt_context_t *ctx;
  moved_clock_t clock;
  char links[BT_ADDRESS_BYTES];
  bt_store_copy_t *copy;
  bt_peer_feed_t *feed;
} instance_t;

static int64_t
read_moved_ms (bt_clock_t *clock)
{
  return bt_read_clock_ms (bt_system_clock ()) + atomic_load (&((moved_clock_t *)clock)->moved_ms);
}

static const bt_clock_vtable_t moved_clock_vtable = { read_moved_ms };

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
    .freshness = bt_get_freshness_limits (WATCH_MS)
  };
  bt_error_t error = { 0 };

  find_address (instance->links);
  options.self.links = instance->links;
  instance->ctx = bt_new_context ();
  instance->clock.base.vtable = &moved_clock_vtable;
  atomic_init (&instance->clock.moved_ms, (int64_t)incarnation * CLOCK_DISTANCE_MS);
  bt_set_context_clock (instance->ctx, &instance->clock.base);
  instance->copy = bt_new_store_copy (instance->ctx, bt_get_platform ());
  instance->feed = bt_new_peer_feed (instance->ctx, &options, instance->copy, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (instance->feed);
}

static void
close_instance (instance_t *instance)
{
  bt_drop_peer_feed (instance->ctx, instance->feed);
  bt_drop_store_copy (instance->ctx, instance->copy);
  bt_drop_context (instance->ctx);
}

static int64_t
read_clock (const instance_t *instance)
{
  return bt_now_ms (instance->ctx);
}

static void
move_clock (instance_t *instance, int64_t ms)
{
  atomic_fetch_add (&instance->clock.moved_ms, ms);
}

/* Makes changes that write one item. */
static void
fill_changes (bt_context_t *ctx, bt_kv_changes_t *changes, const char *key, int64_t revision)
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

/* Records that the copy of an entry holds all that the store held at a time. */
static void
confirm_copy (instance_t *instance, int64_t as_of_ms)
{
  bt_copy_claim_t claim = { bt_get_copy_position (instance->copy), as_of_ms };

  CU_ASSERT_TRUE (bt_confirm_copy_claim (instance->copy, &claim));
}

/* Gives an entry its first items, as a full read of the store does that ends now. */
static void
read_store (instance_t *instance, int64_t as_of_ms)
{
  bt_kv_changes_t changes;

  fill_changes (instance->ctx, &changes, "a", FIRST_REVISION);
  CU_ASSERT_TRUE (bt_replace_copy (instance->ctx, instance->copy, &changes.written, 0));
  confirm_copy (instance, as_of_ms);
  bt_set_store_reachable (instance->feed, true);
}

/* Follows a peer, as the watching thread of an entry does, until the copy is at a revision, and
 * until the peer is current if @p current is set. */
static bool
follow_until (instance_t *follower, const instance_t *peer, int64_t revision, bool current)
{
  bt_feed_choice_t choice = { .count = 1, .primary_count = 1 };
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + WAIT_LIMIT_MS;

  snprintf (choice.candidates[0], sizeof choice.candidates[0], "%s", peer->links);
  while (bt_get_copy_position (follower->copy).revision < revision
         || (current && !bt_is_peer_feed_current (follower->feed)))
    {
      bt_store_update_t *update;

      if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
        return false;
      bt_maintain_peer_feed (follower->feed, &choice, 1);
      while ((update = bt_take_peer_update (follower->feed)) != NULL)
        {
          if (bt_apply_update_to_copy (follower->ctx, follower->copy, update, 0) == BT_UPDATE_GAP)
            bt_request_peer_resync (follower->feed);
          bt_drop_store_update (follower->ctx, update);
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
  read_store (&reader, read_clock (&reader));
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION, false));
  fill_changes (reader.ctx, &changes, "b", FIRST_REVISION + 1);
  bt_apply_changes_to_copy (reader.ctx, reader.copy, &changes, 0);
  bt_drop_kv_changes (reader.ctx, &changes);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION + 1, false));
  close_instance (&follower);
  close_instance (&reader);
}

static void
apply_and_send_change (instance_t *reader, const char *key, int64_t revision)
{
  bt_kv_changes_t changes;

  fill_changes (reader->ctx, &changes, key, revision);
  bt_apply_and_send_changes (reader->feed, &changes);
  bt_drop_kv_changes (reader->ctx, &changes);
}

/* Guards against a reader that vouches for its copy from when it handled an answer of the store,
 * and not from when the store spoke: its followers went on with what was removed since. */
static void
test_peer_with_an_old_copy_is_not_followed (void)
{
  const bt_freshness_limits_t limits = bt_get_freshness_limits (WATCH_MS);
  instance_t reader;
  instance_t follower;

  open_instance (&reader, 1);
  open_instance (&follower, 2);
  read_store (&reader, read_clock (&reader) - limits.follow_ms);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION, false));
  /* The change arrives behind the state that came with the first items. */
  apply_and_send_change (&reader, "b", FIRST_REVISION + 1);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION + 1, false));
  CU_ASSERT_FALSE (bt_is_peer_feed_current (follower.feed));
  confirm_copy (&reader, read_clock (&reader));
  bt_set_store_reachable (reader.feed, true);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION + 1, true));
  close_instance (&follower);
  close_instance (&reader);
}

/* Guards against a follower that takes its reader's last word for fresh until the next one comes:
 * nothing has come meanwhile, as both were frozen or the way between them is cut. */
static void
test_word_of_a_peer_ends_by_itself (void)
{
  const bt_freshness_limits_t limits = bt_get_freshness_limits (WATCH_MS);
  instance_t reader;
  instance_t follower;

  open_instance (&reader, 1);
  open_instance (&follower, 2);
  read_store (&reader, read_clock (&reader));
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION, true));
  move_clock (&reader, limits.follow_ms);
  move_clock (&follower, limits.follow_ms);
  CU_ASSERT_FALSE (bt_is_peer_feed_current (follower.feed));
  close_instance (&follower);
  close_instance (&reader);
}

/* Guards against a copy that seems fresher than its reader's: the as-of time of the reader's clock
 * is passed on over a clock that shows another time, and no delay on the way adds to it. */
static void
test_as_of_time_is_passed_on (void)
{
  instance_t reader;
  instance_t follower;
  int64_t distance_ms;
  int64_t as_of_ms;

  open_instance (&reader, 1);
  open_instance (&follower, 2);
  distance_ms = atomic_load (&follower.clock.moved_ms) - atomic_load (&reader.clock.moved_ms);
  as_of_ms = read_clock (&reader) - AGE_MS;
  read_store (&reader, as_of_ms);
  CU_ASSERT_EQUAL (bt_get_copy_claim (follower.copy).as_of_ms, bt_never_complete_ms);
  CU_ASSERT_TRUE (follow_until (&follower, &reader, FIRST_REVISION, true));
  CU_ASSERT (bt_get_copy_claim (follower.copy).as_of_ms <= as_of_ms + distance_ms);
  CU_ASSERT (bt_get_copy_claim (follower.copy).as_of_ms > as_of_ms + distance_ms - WAIT_LIMIT_MS);
  close_instance (&follower);
  close_instance (&reader);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("peer_feed", NULL, NULL);
  CU_ADD_TEST (suite, test_change_that_was_not_sent_is_requested);
  CU_ADD_TEST (suite, test_peer_with_an_old_copy_is_not_followed);
  CU_ADD_TEST (suite, test_word_of_a_peer_ends_by_itself);
  CU_ADD_TEST (suite, test_as_of_time_is_passed_on);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
