#include "bilberrytray/load/endpoint_rest.h"

#include <string.h>

bool
bt_is_resting (const bt_endpoint_rest_t *rest, int64_t now_ms)
{
  return now_ms < rest->until_ms;
}

bool
bt_record_rest (bt_endpoint_rest_t *rest, int64_t rest_ms, int64_t now_ms)
{
  bool begins = !bt_is_resting (rest, now_ms);

  if (begins)
    {
      memset (rest, 0, sizeof *rest);
      rest->asked_ms = now_ms;
    }
  if (now_ms + rest_ms > rest->until_ms)
    rest->until_ms = now_ms + rest_ms;
  return begins;
}

void
bt_record_rest_dispatch (bt_endpoint_rest_t *rest, int64_t now_ms)
{
  rest->sent += bt_is_resting (rest, now_ms) ? 1 : 0;
}
