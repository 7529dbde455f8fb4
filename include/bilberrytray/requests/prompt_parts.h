#ifndef BILBERRYTRAY_REQUESTS_PROMPT_PARTS_H
#define BILBERRYTRAY_REQUESTS_PROMPT_PARTS_H

/** @file
 * The parts of a request's prompt that other requests may have too.
 *
 * A prompt is a list of parts. The last one belongs to its request or session alone and is left
 * out. A part is known by a keyed hash over its id and the app, since what an app's endpoints do
 * with a part says nothing about those of another app.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/requests/fingerprint.h"

enum
{
  /** Longest prompt that is read, in parts. The parts of a longer one are unknown. */
  BT_MAX_PROMPT_PARTS = 256,
};

/** Immutable; the hashes are sorted and distinct. Used by one thread. */
typedef struct bt_prompt_parts
{
  int32_t references;
  int32_t count;
  bt_fingerprint_t items[];
} bt_prompt_parts_t;

/** A prompt while its parts are read. */
typedef struct bt_prompt_draft
{
  const bt_fingerprint_key_t *key;
  const char *app;
  int32_t count; /**< Parts added, including those beyond BT_MAX_PROMPT_PARTS. */
  bt_fingerprint_t items[BT_MAX_PROMPT_PARTS];
} bt_prompt_draft_t;

/** Starts an empty prompt. @p key and @p app must outlive the draft. */
void bt_begin_prompt (bt_prompt_draft_t *draft, const bt_fingerprint_key_t *key, const char *app);

/** Adds the next part, named by the @p bytes bytes of @p id. */
void bt_add_prompt_part (bt_prompt_draft_t *draft, const char *id, size_t bytes);

/** Returns the shared parts of a prompt; NULL if it has none or is too long. */
bt_prompt_parts_t *bt_finish_prompt (bt_context_t *ctx, bt_prompt_draft_t *draft);

/** NULL is accepted and returned. */
bt_prompt_parts_t *bt_keep_prompt_parts (bt_prompt_parts_t *parts);

/** NULL is accepted. */
void bt_drop_prompt_parts (bt_context_t *ctx, bt_prompt_parts_t *parts);

/** Compares hashes for sorting, as memcmp does. */
int bt_compare_fingerprints (const void *left, const void *right);

#endif
