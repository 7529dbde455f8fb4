#include "pending_update.h"

#include <string.h>

static void
add_picks (bt_context_t *ctx, bt_pending_update_t *pending, const Bilberry__EngineReport *message)
{
  if (message->n_picks == 0)
    return;
  if (pending->pick_count != (int32_t)message->n_picks)
    {
      bt_free (ctx, pending->picks);
      pending->picks = bt_calloc (ctx, message->n_picks, sizeof *pending->picks);
      pending->pick_count = (int32_t)message->n_picks;
    }
  for (size_t i = 0; i < message->n_picks; i++)
    pending->picks[i] += message->picks[i];
}

static void
store_places (bt_context_t *ctx,
              bt_pending_update_t *pending,
              const Bilberry__EngineReport *message)
{
  if (!message->has_places)
    return;
  bt_free (ctx, pending->places);
  pending->places = bt_memdup (ctx, message->places, message->n_places * sizeof *message->places);
  pending->place_count = (int32_t)message->n_places;
  pending->places_epoch = message->places_epoch;
  pending->places_version = message->places_version;
}

void
bt_add_pending_report (bt_context_t *ctx,
                       bt_pending_update_t *pending,
                       const Bilberry__EngineReport *message)
{
  bt_read_engine_report (message, &pending->report);
  pending->received_ms = bt_now_ms (ctx);
  add_picks (ctx, pending, message);
  store_places (ctx, pending, message);
}

void
bt_set_pending_result (bt_pending_update_t *pending, const Bilberry__EngineResult *message)
{
  pending->answered = true;
  pending->answered_id = message->id;
  pending->result = (bt_order_result_t)message->result;
}

void
bt_take_pending_update (bt_pending_update_t *pending, bt_agent_update_t *update)
{
  memset (update, 0, sizeof *update);
  update->report = pending->report;
  update->received_ms = pending->received_ms;
  update->picks = pending->picks;
  update->pick_count = pending->pick_count;
  update->places = pending->places;
  update->place_count = pending->place_count;
  update->places_epoch = pending->places_epoch;
  update->places_version = pending->places_version;
  update->answered = pending->answered;
  update->answered_id = pending->answered_id;
  update->result = pending->result;
  pending->answered = false;
  pending->picks = NULL;
  pending->pick_count = 0;
  pending->places = NULL;
}

void
bt_clear_pending_update (bt_context_t *ctx, bt_pending_update_t *pending)
{
  bt_free (ctx, pending->picks);
  bt_free (ctx, pending->places);
  memset (pending, 0, sizeof *pending);
}
