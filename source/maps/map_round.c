#include "bilberrytray/maps/map_round.h"

#include <string.h>

enum
{
  INITIAL_ACTION_CAPACITY = 16,
};

int32_t
bt_compare_rounds (bt_round_id_t left, bt_round_id_t right)
{
  if (left.fence != right.fence)
    return left.fence < right.fence ? -1 : 1;
  if (left.sequence != right.sequence)
    return left.sequence < right.sequence ? -1 : 1;
  return 0;
}

bool
bt_is_null_round (bt_round_id_t round)
{
  return round.fence == 0;
}

bool
bt_is_undecided (const bt_engine_state_t *engine)
{
  return !bt_is_null_round (engine->armed)
         && bt_compare_rounds (engine->armed, engine->decided) != 0;
}

const char *
bt_name_map_order (bt_map_order_kind_t kind)
{
  static const char *const names[] = { "stage",        "arm",         "decide",  "learn",
                                       "cancel",       "query",       "join",    "load-model",
                                       "load-adapter", "set-version", "set-role" };

  return names[kind];
}

const char *
bt_name_map_refusal (bt_map_refusal_t refusal)
{
  static const char *const names[] = { "accepted",    "starting",      "busy",
                                       "fenced",      "old-round",     "wrong-engine",
                                       "wrong-agent", "not-staged",    "not-armed",
                                       "armed-other", "not-decider",   "already-joined",
                                       "too-late",    "engine-refused" };

  return names[refusal];
}

bt_map_action_t *
bt_add_map_action (bt_context_t *ctx, bt_map_actions_t *actions, bt_map_action_kind_t kind)
{
  bt_map_action_t *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity == 0 ? INITIAL_ACTION_CAPACITY : actions->capacity * 2;
      actions->items =
          bt_realloc (ctx, actions->items, (size_t)actions->capacity, sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

void
bt_clear_map_actions (bt_context_t *ctx, bt_map_actions_t *actions)
{
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}
