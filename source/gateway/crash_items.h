#ifndef BILBERRYTRAY_SOURCE_GATEWAY_CRASH_ITEMS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_CRASH_ITEMS_H

/** @file
 * The format of crashes in the platform's store: one item for each crash. Its key identifies the
 * crash, so that two instances that report the same crash write the same item. Its value holds the
 * circumstances.
 */

#include "bilberrytray/requests/crash_table.h"
#include "crash_reporter.h"

/** Common prefix of the crashes' keys. */
extern const char *const bt_crash_prefix;

void bt_write_crash_key (const bt_crash_t *crash, char key[BT_CRASH_KEY_BYTES]);

/** Parses a key that begins with the prefix. Returns false if the rest is not a valid crash. */
bool bt_read_crash_key (const char *key, bt_crash_t *crash);

/** Encodes the circumstances of a crash that @p instance reports; the caller frees the result with
 * bt_free. */
char *bt_write_crash_value (bt_context_t *ctx, const bt_crash_t *crash, const char *instance);

/** Decodes the circumstances of a crash. They remain unknown if the value is not valid. */
void bt_read_crash_value (const char *text, size_t bytes, bt_crash_t *crash);

#endif
