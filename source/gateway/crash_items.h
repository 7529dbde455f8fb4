#ifndef BILBERRYTRAY_SOURCE_GATEWAY_CRASH_ITEMS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_CRASH_ITEMS_H

/** @file
 * The format of crashes in the platform's store: one item for each crash, whose key holds all of
 * its data. Two instances that report the same crash write the same item.
 */

#include "bilberrytray/requests/crash_table.h"

enum
{
  /** Size of a key, including the terminating zero, in bytes. */
  BT_CRASH_KEY_BYTES = 192,
};

/** Common prefix of the crashes' keys. */
extern const char *const bt_crash_prefix;

void bt_write_crash_key (const bt_crash_t *crash, char key[BT_CRASH_KEY_BYTES]);

/** Parses a key that begins with the prefix. Returns false if the rest is not a valid crash. */
bool bt_read_crash_key (const char *key, bt_crash_t *crash);

#endif
