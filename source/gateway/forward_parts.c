#include <strings.h>

#include "forward.h"

enum
{
  /* Events of an attempt that show that its endpoint survived the beginning of the answer. */
  BEGUN_EVENTS = 2,
};

static void
add_part (void *data, const char *id, size_t bytes)
{
  bt_add_prompt_part (data, id, bytes);
}

/* Returns the value of the header that lists the parts; NULL unless there is exactly one. */
static const char *
find_parts_header (const bt_forward_t *forward)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  const char *value = NULL;

  for (int32_t i = 0; i < request->header_count; i++)
    {
      if (strcasecmp (request->headers[i].name, forward->gateway->platform->prompt_parts_header)
          != 0)
        continue;
      if (value != NULL)
        return NULL;
      value = request->headers[i].value;
    }
  return value;
}

static bt_prompt_parts_t *
read_parts (const bt_forward_t *forward)
{
  const bt_gateway_t *gateway = forward->gateway;
  const char *value = find_parts_header (forward);
  bt_prompt_draft_t draft;

  if (value == NULL || forward->app == NULL)
    return NULL;
  bt_begin_prompt (&draft, &gateway->fingerprint_key, forward->app);
  if (!gateway->platform->vtable->read_prompt_parts (value, add_part, &draft))
    return NULL;
  return bt_finish_prompt (gateway->ctx, &draft);
}

const bt_prompt_parts_t *
bt_get_forward_parts (bt_forward_t *forward)
{
  if (!forward->has_read_parts)
    forward->parts = read_parts (forward);
  forward->has_read_parts = true;
  return forward->parts;
}

bool
bt_has_attempt_begun (const bt_forward_t *forward)
{
  return forward->events.events - forward->events_before >= BEGUN_EVENTS;
}

void
bt_write_forward_parts (bt_forward_t *forward, char text[BT_PARTS_TEXT_BYTES])
{
  const bt_prompt_parts_t *parts = bt_get_forward_parts (forward);
  size_t bytes = 0;

  text[0] = '\0';
  for (int32_t i = 0; parts != NULL && i < parts->count && i < BT_MAX_LOGGED_PARTS; i++)
    {
      if (i > 0)
        text[bytes++] = ',';
      bt_write_fingerprint (&parts->items[i], text + bytes);
      bytes += BT_FINGERPRINT_TEXT_BYTES - 1;
    }
}
