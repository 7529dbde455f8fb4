#ifndef BILBERRYTRAY_CONFIG_RULE_H
#define BILBERRYTRAY_CONFIG_RULE_H

/** @file
 * Matches requests against the ordered rules; the first rule that matches decides.
 */

#include <stdio.h>

#include "bilberrytray/config/declarations.h"

/** One header of a request. Names are case-insensitive. */
typedef struct bt_header
{
  const char *name;
  const char *value;
} bt_header_t;

/** The attributes of a request that rules can match on. */
typedef struct bt_request_attributes
{
  const char *account;
  const char *app; /**< Name of the requested model or service; "" for none. */
  const char *method;
  const char *path;
  const bt_header_t *headers;
  int32_t header_count;
  bool idempotent;
  int64_t body_bytes;
  bt_priority_t priority;
} bt_request_attributes_t;

/** The part of a rule's condition that a request does not satisfy. */
typedef enum bt_rule_part
{
  BT_RULE_PART_NONE = 0, /**< The request satisfies every part: the rule matches. */
  BT_RULE_PART_ACCOUNT,
  BT_RULE_PART_APP,
  BT_RULE_PART_METHOD,
  BT_RULE_PART_PATH,
  BT_RULE_PART_HEADERS,
  BT_RULE_PART_IDEMPOTENT,
  BT_RULE_PART_BODY_BYTES,
  BT_RULE_PART_PRIORITY,
} bt_rule_part_t;

/** The index of the first rule that matches, or -1. */
int32_t bt_match_rules (const bt_declarations_t *declarations,
                        const bt_request_attributes_t *attributes);

/** The first part of a rule's condition that the request does not satisfy. */
bt_rule_part_t bt_check_rule (const bt_rule_t *rule, const bt_request_attributes_t *attributes);

const char *bt_name_rule_part (bt_rule_part_t part);

/** Prints why each rule before the deciding one does not match, and what the deciding rule does. */
void bt_explain_rules (const bt_declarations_t *declarations,
                       const bt_request_attributes_t *attributes,
                       FILE *out);

/** True when @p earlier matches every request that @p later matches. @p later then never decides a
 * request when it stands after @p earlier. */
bool bt_covers_rule (const bt_rule_t *earlier, const bt_rule_t *later);

#endif
