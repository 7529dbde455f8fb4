#ifndef BILBERRYTRAY_SOURCE_ENTRY_PLATFORM_READER_H
#define BILBERRYTRAY_SOURCE_ENTRY_PLATFORM_READER_H

/** @file
 * Reads the instance list and the configuration on separate threads.
 */

#include "entry.h"

typedef struct bt_platform_reader bt_platform_reader_t;

bt_platform_reader_t *bt_new_platform_reader (bt_context_t *ctx,
                                              bt_entry_t *entry,
                                              const bt_entry_settings_t *settings,
                                              bt_error_t *error);

/** Stops the threads. NULL is accepted. */
void bt_drop_platform_reader (bt_context_t *ctx, bt_platform_reader_t *reader);

#endif
