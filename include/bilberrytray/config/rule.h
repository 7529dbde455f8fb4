#ifndef BILBERRYTRAY_CONFIG_RULE_H
#define BILBERRYTRAY_CONFIG_RULE_H

/** @file
 * Which rule decides a request: the first that matches.
 */

#include <stdio.h>

#include "bilberrytray/config/declarations.h"

/** One header of a request. Names are compared without regard to case. */
typedef struct bt_header
{
  const char *name;
  const char *value;
} bt_header_t;

/** What rules can ask of a request. */
typedef struct bt_request_facts
{
  const char *account;
  const char *app; /**< The model or service it names; "" for none. */
  const char *method;
  const char *path;
  const bt_header_t *headers;
  int32_t header_count;
  bool idempotent;
  int64_t body_bytes;
  bt_priority_t priority;
} bt_request_facts_t;

/** The part of a condition that a request fails. */
typedef enum bt_rule_part
{
  BT_RULE_PART_NONE = 0, /**< Every part holds: the rule matches. */
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
                        const bt_request_facts_t *attributes);

/** The first part of a rule's condition that the request fails. */
bt_rule_part_t bt_check_rule (const bt_rule_t *rule, const bt_request_facts_t *attributes);

const char *bt_name_rule_part (bt_rule_part_t part);

/** Prints why each rule up to the deciding one did not match, and what the deciding one does. */
void bt_explain_rules (const bt_declarations_t *declarations,
                       const bt_request_facts_t *attributes,
                       FILE *out);

/** True when every request that @p later matches is matched by @p earlier too, so that @p later can
 * never decide behind it. */
bool bt_covers_rule (const bt_rule_t *earlier, const bt_rule_t *later);

#endif
