#include "lead_order.h"

#include <string.h>

enum
{
  FIRST_DELAY_MS = 100,
  /* Within this time the others learn that the one before them leads. */
  POSITION_DELAY_MS = 250,
  /* While a fleet starts, each instance knows itself before it knows the others. By this time it is
   * listed and knows who comes before it. */
  UNLISTED_DELAY_MS = 2000,
};

static bool
is_before (const bt_listed_entry_t *entry, const char *instance, double cores)
{
  if (entry->cores != cores)
    return entry->cores > cores;
  return strcmp (entry->identity.instance, instance) < 0;
}

int64_t
bt_get_lead_delay_ms (const bt_view_t *view, const char *instance, double cores)
{
  int64_t delay_ms = FIRST_DELAY_MS;
  bool listed = false;

  for (int32_t i = 0; i < view->entry_count; i++)
    {
      listed = listed || strcmp (view->entries[i].identity.instance, instance) == 0;
      if (is_before (&view->entries[i], instance, cores))
        delay_ms += POSITION_DELAY_MS;
    }
  return listed ? delay_ms : delay_ms + UNLISTED_DELAY_MS;
}
