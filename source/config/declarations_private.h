#ifndef BILBERRYTRAY_SOURCE_CONFIG_DECLARATIONS_PRIVATE_H
#define BILBERRYTRAY_SOURCE_CONFIG_DECLARATIONS_PRIVATE_H

/** @file
 * Readers of the individual documents, called in order by declarations.c.
 */

#include "json_reader.h"

void bt_read_accounts (bt_json_reader_t *reader, bt_declarations_t *declarations);
void bt_read_apps (bt_json_reader_t *reader, bt_declarations_t *declarations);

/** Reads the endpoints; the apps must have been read before. */
void bt_read_endpoints (bt_json_reader_t *reader, bt_declarations_t *declarations);

/** Reads the rules; the accounts and the apps must have been read before. */
void bt_read_rules (bt_json_reader_t *reader, bt_declarations_t *declarations);

void bt_clear_rule (bt_context_t *ctx, bt_rule_t *rule);

#endif
