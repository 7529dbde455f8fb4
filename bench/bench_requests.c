/** @file
 * Measures the cost of the request protocol in memory and CPU time: bytes per record, and the
 * time of each operation relative to a dispatch without a key in the same run.
 */

#include <stdio.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/requests/arbiter.h"

enum
{
  ROUNDS = 100000,
  EXPIRY_MS = 30000,
  ANSWER_BYTES = 2000,
  ANSWER_PIECES = 20,
};

static const bt_identity_t self = { "agent", 7 };
static const bt_identity_t other = { "other", 8 };

static bt_arbiter_t *
make_arbiter (bt_context_t *ctx)
{
  bt_arbiter_options_t options = { .self = self,
                                   .max_records = ROUNDS,
                                   .max_bytes = (uint64_t)1 << 32,
                                   .max_answer_bytes = 1 << 20,
                                   .keep_answer_ms = EXPIRY_MS,
                                   .ticket_life_ms = EXPIRY_MS };

  return bt_new_arbiter (ctx, &options);
}

static bt_dispatch_t
make_dispatch (int32_t round, bool keyed)
{
  bt_dispatch_t dispatch = {
    .path = { 1, (uint64_t)round, 1 }, .target = self, .has_ticket = keyed, .deadline_ms = EXPIRY_MS
  };

  dispatch.ticket.home = self;
  dispatch.ticket.expires_ms = EXPIRY_MS;
  memcpy (dispatch.ticket.key.bytes, &round, sizeof round);
  return dispatch;
}

static void
end_run (bt_context_t *ctx, bt_arbiter_t *arbiter, uint64_t run, bt_arbiter_actions_t *actions)
{
  static const char data[ANSWER_BYTES / ANSWER_PIECES];
  bt_run_event_t head = { .kind = BT_RUN_HEAD, .run = run, .status = 200 };
  bt_run_event_t end = { .kind = BT_RUN_END, .run = run, .total_bytes = ANSWER_BYTES };

  bt_handle_run_event (ctx, arbiter, &head, 0, actions);
  for (uint64_t i = 0; i < ANSWER_PIECES; i++)
    {
      bt_run_event_t piece = { .kind = BT_RUN_PIECE, .run = run, .data = data };

      piece.data_bytes = sizeof data;
      piece.offset_bytes = i * sizeof data;
      bt_handle_run_event (ctx, arbiter, &piece, 0, actions);
    }
  bt_handle_run_event (ctx, arbiter, &end, 0, actions);
  actions->count = 0;
}

static double
run_dispatches (bt_context_t *ctx, bool keyed, double *bytes)
{
  bt_arbiter_t *arbiter = make_arbiter (ctx);
  bt_arbiter_actions_t actions = { 0 };
  int64_t start_us = bt_read_monotonic_us ();
  int64_t elapsed_us;

  for (int32_t i = 0; i < ROUNDS; i++)
    {
      bt_dispatch_t dispatch = make_dispatch (i, keyed);

      bt_handle_dispatch (ctx, arbiter, &dispatch, 0, &actions);
      actions.count = 0;
      end_run (ctx, arbiter, (uint64_t)i + 1, &actions);
    }
  elapsed_us = bt_read_monotonic_us () - start_us;
  *bytes = (double)bt_count_arbiter_bytes (arbiter) / ROUNDS;
  bt_free_arbiter_actions (ctx, &actions);
  bt_drop_arbiter (ctx, arbiter);
  return (double)elapsed_us / ROUNDS;
}

static double
run_grants (bt_context_t *ctx, bool tombstones, double *bytes)
{
  bt_arbiter_t *arbiter = make_arbiter (ctx);
  bt_arbiter_actions_t actions = { 0 };
  int64_t start_us = bt_read_monotonic_us ();
  int64_t elapsed_us;

  for (int32_t i = 0; i < ROUNDS; i++)
    {
      bt_dispatch_t dispatch = make_dispatch (i, true);
      bt_grant_request_t grant = { .ticket = dispatch.ticket, .proposal = { other, EXPIRY_MS, 0 } };
      bt_tombstone_request_t tombstone = { .target = self, .ticket = dispatch.ticket };

      if (tombstones)
        bt_handle_tombstone_request (ctx, arbiter, &tombstone, 0, &actions);
      else
        bt_handle_grant_request (ctx, arbiter, &grant, 0, &actions);
      actions.count = 0;
    }
  elapsed_us = bt_read_monotonic_us () - start_us;
  *bytes = (double)bt_count_arbiter_bytes (arbiter) / ROUNDS;
  bt_free_arbiter_actions (ctx, &actions);
  bt_drop_arbiter (ctx, arbiter);
  return (double)elapsed_us / ROUNDS;
}

static double
run_tickets (bt_context_t *ctx, bool parse)
{
  bt_ticket_ring_t *ring = bt_new_ticket_ring (ctx);
  bt_ticket_t ticket = make_dispatch (1, true).ticket;
  char text[BT_TICKET_TEXT_BYTES];
  int64_t elapsed_us;

  bt_derive_ticket_key (ring, "secret");
  bt_sign_ticket (ring, &ticket, text, NULL);
  elapsed_us = bt_read_monotonic_us ();
  for (int32_t i = 0; i < ROUNDS; i++)
    if (!(parse ? bt_parse_ticket (ring, text, &ticket, NULL)
                : bt_sign_ticket (ring, &ticket, text, NULL)))
      return -1;
  elapsed_us = bt_read_monotonic_us () - elapsed_us;
  bt_drop_ticket_ring (ctx, ring);
  return (double)elapsed_us / ROUNDS;
}

int
main (void)
{
  bt_context_t *ctx = bt_new_context ();
  double bytes;
  double baseline = run_dispatches (ctx, false, &bytes);
  double cost_us = run_dispatches (ctx, true, &bytes);

  printf ("%-44s %8.2f us\n", "run without a key, 20 pieces (baseline)", baseline);
  printf ("%-44s %8.2f of it, %6.0f bytes kept\n", "run with a key, 2,000-byte answer kept",
          cost_us / baseline, bytes);
  cost_us = run_grants (ctx, false, &bytes);
  printf ("%-44s %8.2f of it, %6.0f bytes kept\n", "grant", cost_us / baseline, bytes);
  cost_us = run_grants (ctx, true, &bytes);
  printf ("%-44s %8.2f of it, %6.0f bytes kept\n", "tombstone", cost_us / baseline, bytes);
  printf ("%-44s %8.2f of it\n", "signing a ticket", run_tickets (ctx, false) / baseline);
  printf ("%-44s %8.2f of it\n", "checking a ticket", run_tickets (ctx, true) / baseline);
  bt_drop_context (ctx);
  return 0;
}
