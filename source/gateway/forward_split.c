#include <string.h>

#include "bilberrytray/config/rule_split.h"
#include "forward.h"

static uint64_t
hash_content (const bt_forward_t *forward, const bt_request_content_t *content)
{
  bt_fingerprint_t fingerprint;
  uint64_t hash;

  bt_make_fingerprint (&forward->gateway->fingerprint_key, content, &fingerprint);
  memcpy (&hash, fingerprint.bytes, sizeof hash);
  return hash;
}

static uint64_t
hash_text (const bt_forward_t *forward, const char *text)
{
  const bt_request_content_t content = { .account = "", .method = "", .target = text };

  return hash_content (forward, &content);
}

/* Returns a hash of what a request and its resumption have in common. */
static uint64_t
hash_resumable (const bt_forward_t *forward)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  const char *prompt =
      bt_find_frontend_header (forward->call, forward->gateway->platform->prompt_parts_header);
  const bt_request_content_t content = { .account = "",
                                         .method = request->method,
                                         .target = request->target,
                                         .body = request->body,
                                         .body_bytes = request->body_bytes };

  return hash_content (forward, &content) ^ hash_text (forward, prompt == NULL ? "" : prompt);
}

/* A caller resumes a broken stream with a new request, through any entry instance. Its events go on
 * only at the app that began them, so the content decides. Other requests are divided by their ids:
 * many of them may have the same content. */
void
bt_choose_forward_app (bt_forward_t *forward)
{
  const bt_rule_then_t *then = &forward->rule->then;
  uint64_t key = 0;

  if (then->split_count > 0 && then->streamed && then->resumable)
    key = hash_resumable (forward);
  else if (then->split_count > 0 && forward->info.request_id[0] != '\0')
    key = hash_text (forward, forward->info.request_id);
  else if (then->split_count > 0)
    key = bt_draw_gateway_seed (forward->gateway);
  forward->app_index = bt_choose_rule_app (then, key);
  forward->app = forward->declarations->apps[forward->app_index].name;
}
