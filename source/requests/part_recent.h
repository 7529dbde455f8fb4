#ifndef BILBERRYTRAY_SOURCE_REQUESTS_PART_RECENT_H
#define BILBERRYTRAY_SOURCE_REQUESTS_PART_RECENT_H

/** @file
 * Parts of prompts that were answered lately, as far as they fit. A part replaces another one in
 * its place.
 */

#include "bilberrytray/requests/fingerprint.h"

enum
{
  BT_RECENT_PARTS = 1024,
};

/** Zero-initialise it. */
typedef struct bt_recent_parts
{
  bt_fingerprint_t items[BT_RECENT_PARTS];
} bt_recent_parts_t;

void bt_put_recent_part (bt_recent_parts_t *recent, const bt_fingerprint_t *part);

bool bt_has_recent_part (const bt_recent_parts_t *recent, const bt_fingerprint_t *part);

#endif
