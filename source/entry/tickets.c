#include "tickets.h"

void
bt_add_tickets (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller, json_t *answer)
{
}
