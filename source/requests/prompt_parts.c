#include "bilberrytray/requests/prompt_parts.h"

#include <stdlib.h>
#include <string.h>

int
bt_compare_fingerprints (const void *left, const void *right)
{
  return memcmp (left, right, sizeof (bt_fingerprint_t));
}

void
bt_begin_prompt (bt_prompt_draft_t *draft, const bt_fingerprint_key_t *key, const char *app)
{
  draft->key = key;
  draft->app = app;
  draft->count = 0;
}

void
bt_add_prompt_part (bt_prompt_draft_t *draft, const char *id, size_t bytes)
{
  /* No caller's request has this method, so no part has the fingerprint of a request. */
  bt_request_content_t content = {
    .account = "", .method = "prompt part", .target = draft->app, .body = id, .body_bytes = bytes
  };

  if (draft->count < BT_MAX_PROMPT_PARTS)
    bt_make_fingerprint (draft->key, &content, &draft->items[draft->count]);
  draft->count++;
}

/* Removes repeated hashes from a sorted list and returns how many are left. */
static int32_t
remove_repeated (bt_fingerprint_t *items, int32_t count)
{
  int32_t kept = 0;

  for (int32_t i = 0; i < count; i++)
    if (kept == 0 || !bt_same_fingerprint (&items[kept - 1], &items[i]))
      items[kept++] = items[i];
  return kept;
}

bt_prompt_parts_t *
bt_finish_prompt (bt_context_t *ctx, bt_prompt_draft_t *draft)
{
  bt_prompt_parts_t *parts;
  int32_t count = draft->count - 1;

  if (count <= 0 || draft->count > BT_MAX_PROMPT_PARTS)
    return NULL;
  qsort (draft->items, (size_t)count, sizeof draft->items[0], bt_compare_fingerprints);
  count = remove_repeated (draft->items, count);
  parts = bt_calloc (ctx, 1, sizeof *parts + (size_t)count * sizeof parts->items[0]);
  parts->references = 1;
  parts->count = count;
  memcpy (parts->items, draft->items, (size_t)count * sizeof parts->items[0]);
  return parts;
}

bt_prompt_parts_t *
bt_keep_prompt_parts (bt_prompt_parts_t *parts)
{
  if (parts != NULL)
    parts->references++;
  return parts;
}

void
bt_drop_prompt_parts (bt_context_t *ctx, bt_prompt_parts_t *parts)
{
  if (parts != NULL && --parts->references == 0)
    bt_free (ctx, parts);
}
