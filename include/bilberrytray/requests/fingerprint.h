#ifndef BILBERRYTRAY_REQUESTS_FINGERPRINT_H
#define BILBERRYTRAY_REQUESTS_FINGERPRINT_H

/** @file
 * Identifies a request by its content, so that any instance recognises it when it is sent again
 * under another id. The fingerprint is a keyed hash, which reveals nothing about the request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  BT_FINGERPRINT_BYTES = 16,
  BT_FINGERPRINT_KEY_BYTES = 32,
  /** Size of a fingerprint in hex digits with its terminating zero, in bytes. */
  BT_FINGERPRINT_TEXT_BYTES = 2 * BT_FINGERPRINT_BYTES + 1,
};

typedef struct bt_fingerprint
{
  uint8_t bytes[BT_FINGERPRINT_BYTES];
} bt_fingerprint_t;

/** Hash key for the fingerprints of one deployment. */
typedef struct bt_fingerprint_key
{
  uint8_t bytes[BT_FINGERPRINT_KEY_BYTES];
} bt_fingerprint_key_t;

/** The parts of a request that its fingerprint covers. Headers are left out, since some differ with
 * each attempt. */
typedef struct bt_request_content
{
  const char *account; /**< "" for callers without one. */
  const char *method;
  const char *target; /**< Path and query. */
  const void *body;   /**< NULL when body_bytes is 0. */
  size_t body_bytes;
} bt_request_content_t;

/** Derives the hash key from the deployment's secret, which is the same at all its instances and
 * may be "". */
void bt_derive_fingerprint_key (const char *secret, bt_fingerprint_key_t *key);

void bt_make_fingerprint (const bt_fingerprint_key_t *key,
                          const bt_request_content_t *content,
                          bt_fingerprint_t *fingerprint);

bool bt_same_fingerprint (const bt_fingerprint_t *left, const bt_fingerprint_t *right);

/** Formats a fingerprint as hex digits. */
void bt_write_fingerprint (const bt_fingerprint_t *fingerprint,
                           char text[BT_FINGERPRINT_TEXT_BYTES]);

/** Parses the hex digits at the start of @p text; false when there are too few of them. */
bool bt_read_fingerprint (const char *text, bt_fingerprint_t *fingerprint);

#endif
