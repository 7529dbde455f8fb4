#include "forward.h"

void
bt_resume_forward (bt_frontend_call_t *call)
{
  bt_forward_t *forward = bt_get_frontend_call_data (call);

  if (forward != NULL && forward->exchange != NULL)
    bt_resume_exchange (forward->exchange);
}

void
bt_end_slow_forward (bt_gateway_t *gateway, bt_frontend_call_t *call)
{
  bt_forward_t *forward = bt_get_frontend_call_data (call);

  if (forward == NULL)
    return;
  bt_set_frontend_call_data (call, NULL);
  bt_refuse_forward (forward, BT_REASON_SLOW_READER, 0);
  bt_dispatch_queued_forwards (gateway);
}
