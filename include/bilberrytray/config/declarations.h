#ifndef BILBERRYTRAY_CONFIG_DECLARATIONS_H
#define BILBERRYTRAY_CONFIG_DECLARATIONS_H

/** @file
 * The operators' declarations: client accounts, apps (models and plain services), endpoints and the
 * ordered rules. They are read from four JSON documents, which are validated together; see
 * docs/RULES.md.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/findings.h"
#include "bilberrytray/core/identity.h"

/** The documents; each is one key in the key-value store. */
typedef enum bt_document_kind
{
  BT_DOCUMENT_ACCOUNTS = 0,
  BT_DOCUMENT_APPS,
  BT_DOCUMENT_ENDPOINTS,
  BT_DOCUMENT_RULES,
  BT_DOCUMENT_COUNT,
} bt_document_kind_t;

/** Size of the SHA-256 of a bearer token, in bytes. */
#define BT_TOKEN_HASH_BYTES 32

typedef enum bt_priority
{
  BT_PRIORITY_LOW = 0,
  BT_PRIORITY_NORMAL,
  BT_PRIORITY_HIGH,
  BT_PRIORITY_COUNT,
} bt_priority_t;

/** A client account. */
typedef struct bt_account
{
  char name[BT_NAME_BYTES]; /**< Cut to fit; see bt_get_account_name. */
  char *full_name;          /**< NULL if the name is complete. */
  uint8_t (*token_hashes)[BT_TOKEN_HASH_BYTES];
  int32_t token_count;
  int32_t share;    /**< Weight in fair sharing, at least 1. */
  int32_t priority; /**< A bt_priority_t that overrides the rule's; -1: the rule decides. */
  bool unreadable;  /**< Its declaration can't be used: its requests are refused as not run. */
} bt_account_t;

typedef enum bt_app_kind
{
  BT_APP_MODEL = 0, /**< Served by model engines, answered as a stream of events. */
  BT_APP_SERVICE,   /**< A plain HTTP service. */
} bt_app_kind_t;

/** The capacity and speed of a model's engines, and the experts of their group. */
typedef struct bt_engine
{
  int32_t slots;             /**< Requests that one engine runs concurrently. */
  int64_t memory_tokens;     /**< Tokens that fit into its memory. */
  int32_t stride;            /**< Token steps in one pass of a group. */
  double step_ms;            /**< Duration of one token step without any request. */
  double step_request_ms;    /**< Added to a step for each request that generates tokens. */
  double step_context_ms;    /**< Added to a step for each 1,000 tokens of context. */
  double read_tokens_per_ms; /**< Prompt tokens processed in one millisecond. */
  int32_t expert_sets;       /**< Sets of layers that share one placement; 0: no experts. */
  int32_t experts;           /**< Experts in one set. */
  int32_t places;            /**< Experts of one set that one rank holds. */
  int32_t spare_places;      /**< New experts of one set that one rank can copy in one round. */
  double expert_mb;          /**< Size of one expert of one set, in MB. */
  double link_mbps;          /**< Speed at which experts are copied, in Mbit/s. */
  double expert_share;       /**< Share of a token's work done by experts, from 0 to 1. */
} bt_engine_t;

/** A model or a plain service. */
typedef struct bt_app
{
  char name[BT_NAME_BYTES];
  bt_app_kind_t kind;
  int64_t deadline_ms; /**< Deadline of requests whose rule sets none. */
  bt_engine_t engine;  /**< Only for a model whose ranks work in a group; all 0 otherwise. */
  int64_t cold_ms;     /**< How long an endpoint that has started is cold; 0: never. */
  double cold_per_s;   /**< Requests per second that a cold endpoint tolerates, from all
                          instances together; 0: no limit. */
} bt_app_t;

/** One endpoint of an app. */
typedef struct bt_declared_endpoint
{
  char name[BT_NAME_BYTES];
  int32_t app;        /**< Index into the apps. */
  int32_t slots;      /**< Requests that run concurrently. */
  int32_t queue;      /**< Requests that may be queued for it. */
  bool checks_orders; /**< It refuses an order with an outdated fencing number. */
} bt_declared_endpoint_t;

/** The values of one header that satisfy a rule. */
typedef struct bt_header_condition
{
  char *name;
  char **values;
  int32_t value_count; /**< 0: the header is present with any value. */
} bt_header_condition_t;

/** The condition of a rule; an absent part matches every request. */
typedef struct bt_rule_when
{
  char **accounts;
  int32_t account_count;
  char **apps;
  int32_t app_count;
  char **methods;
  int32_t method_count;
  char *path; /**< NULL: any path. A '*' at the end matches any suffix. */
  bt_header_condition_t *headers;
  int32_t header_count;
  int32_t idempotent; /**< 0 or 1; -1: either. */
  int64_t min_body_bytes;
  int64_t max_body_bytes;
  uint32_t priorities; /**< One bit for each bt_priority_t; 0: any. */
} bt_rule_when_t;

typedef enum bt_rule_action
{
  BT_ACTION_ROUTE = 0,
  BT_ACTION_REFUSE,
} bt_rule_action_t;

/** One of the apps between which a rule divides its requests. */
typedef struct bt_split_app
{
  int32_t app;   /**< Index into the apps. */
  double weight; /**< Above 0. Its share is its weight over the sum of all weights. */
} bt_split_app_t;

/** The action of a rule on a request that it matches. */
typedef struct bt_rule_then
{
  bt_rule_action_t action;
  int32_t app;           /**< Index into the apps; -1: the app that the request names, or one of
                            the split. */
  bt_split_app_t *split; /**< The apps between which the requests are divided. */
  int32_t split_count;   /**< 0: all requests go to one app. */
  int32_t priority;      /**< A bt_priority_t; -1: the request's own. */
  int64_t deadline_ms;   /**< 0: the app's. */
  int32_t idempotent;    /**< -1: as the request says; 0 or 1. */
  bool key_required;     /**< Refuse a non-idempotent request without an idempotency key that this
                            program issued. */
  int64_t limit_per_s;   /**< 0: none. */
  int64_t limit_burst;   /**< Largest burst, in requests; 0 without a limit. */
  int32_t retries;       /**< Maximum number of retries of a request. */
  char *affinity_header; /**< Requests with the same value prefer the same endpoint; NULL: none. */
  int64_t affinity_prefix_bytes;
  bool open;        /**< Callers need no client account. */
  bool streamed;    /**< The answer is a stream of events. */
  bool resumable;   /**< A stream that was cut off may continue on another endpoint after its last
                       event. */
  int64_t aim_ms;   /**< Time to the answer, or to its first event, that callers expect; 0: none. */
  int64_t pause_ms; /**< Longest pause between events that callers expect; 0: none. */
  char *message;    /**< Sent to a refused caller; NULL: none. */
  int64_t retry_after_ms;
} bt_rule_then_t;

typedef struct bt_rule
{
  char name[BT_NAME_BYTES];
  bt_rule_when_t when;
  bt_rule_then_t then;
  bool unreadable; /**< Its declaration can't be used: its requests are refused as not run. */
} bt_rule_t;

/** Limits on what one caller may send; 0: the limit comes from the program's settings. */
typedef struct bt_caller_limits
{
  int64_t head_bytes; /**< Request line and headers. */
  int64_t body_bytes;
  int64_t head_ms; /**< Time in which the request line and headers must arrive. */
  int64_t idle_ms; /**< Time that a connection may stay open without a request. */
} bt_caller_limits_t;

/** All declarations in force at one time. Immutable once built, so any thread may read them. */
typedef struct bt_declarations
{
  bt_account_t *accounts;
  int32_t account_count;
  bt_app_t *apps;
  int32_t app_count;
  bt_declared_endpoint_t *endpoints;
  int32_t endpoint_count;
  bt_rule_t *rules;
  int32_t rule_count;
  bt_caller_limits_t limits;
  int64_t revision;         /**< Highest store revision of the documents; 0 when read from files. */
  bool accounts_incomplete; /**< Some tokens could not be read: one that is not known may be valid.
                             */
  bool rules_incomplete;    /**< Some conditions of rules could not be read: a request that no rule
                               matches may belong to one. */
  int32_t finding_count;    /**< Parts of the documents that were left out, since they could not be
                               read or are not known. */
} bt_declarations_t;

/** The text of one document. */
typedef struct bt_document_text
{
  const char *file; /**< File name for findings. */
  const char *data;
  size_t bytes;
} bt_document_text_t;

/** The name of a document: its file name without ".json", and the last part of its store key. */
const char *bt_name_document (bt_document_kind_t kind);

/** Reads the four documents, in the order of bt_document_kind_t. Returns declarations with one
 * reference, or NULL after adding every error in every document to @p findings. */
bt_declarations_t *bt_new_declarations (bt_context_t *ctx,
                                        const bt_document_text_t texts[BT_DOCUMENT_COUNT],
                                        bt_findings_t *findings);

/** Does the same, but leaves out what has a finding: a rule or an account that can't be used
 * without that part is marked as unreadable. Returns NULL if a document as a whole can't be read.
 * For what is in force already; what is to come into force has to be without findings. */
bt_declarations_t *bt_new_readable_declarations (bt_context_t *ctx,
                                                 const bt_document_text_t texts[BT_DOCUMENT_COUNT],
                                                 bt_findings_t *findings);

/** Creates empty declarations with one reference. Fill them with the functions below before sharing
 * them with other threads. */
bt_declarations_t *bt_new_empty_declarations (bt_context_t *ctx);

/** Adds an account with a share of 1. The pointer is valid until the next account is added. */
bt_account_t *bt_add_account (bt_context_t *ctx, bt_declarations_t *declarations, const char *name);

/** Returns the name of an account as it was declared. */
const char *bt_get_account_name (const bt_account_t *account);

/** Adds a bearer token to an account. */
void bt_add_account_token (bt_context_t *ctx, bt_account_t *account, const char *token);

/** Adds an app. The pointer is valid until the next app is added. */
bt_app_t *bt_add_app (bt_context_t *ctx, bt_declarations_t *declarations, const char *name);

/** Adds a rule after the others: it matches every request and routes to @p app. The pointer is
 * valid until the next rule is added. */
bt_rule_t *
bt_add_rule (bt_context_t *ctx, bt_declarations_t *declarations, const char *name, int32_t app);

/** Makes a rule require a header with exactly this value. */
void bt_add_rule_header (bt_context_t *ctx, bt_rule_t *rule, const char *name, const char *value);

bt_declarations_t *bt_keep_declarations (bt_declarations_t *declarations);

/** Releases a reference. NULL is accepted. */
void bt_drop_declarations (bt_context_t *ctx, bt_declarations_t *declarations);

/** The index of an app, or -1. */
int32_t bt_find_app (const bt_declarations_t *declarations, const char *name);

/** The index of an account by its name, or -1. */
int32_t bt_find_account (const bt_declarations_t *declarations, const char *name);

/** The index of the account that a bearer token belongs to, or -1. It compares every hash, so that
 * its duration reveals nothing about the token. */
int32_t bt_find_token (const bt_declarations_t *declarations, const char *token);

/** The index of an endpoint, or -1. */
int32_t bt_find_endpoint (const bt_declarations_t *declarations, const char *name);

const char *bt_name_priority (bt_priority_t priority);

/** Reads "low", "normal" or "high"; false when it is none of them. */
bool bt_parse_priority (const char *text, bt_priority_t *priority);

#endif
