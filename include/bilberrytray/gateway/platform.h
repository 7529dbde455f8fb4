#ifndef BILBERRYTRAY_GATEWAY_PLATFORM_H
#define BILBERRYTRAY_GATEWAY_PLATFORM_H

/** @file
 * What the gateway asks of the platform it runs on: names, formats and calls.
 *
 * An implementation only translates. It decodes each name of the wire once, into the types below,
 * and decides nothing.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/base/findings.h"
#include "bilberrytray/config/declarations.h"
#include "bilberrytray/load/router.h"
#include "bilberrytray/store/kv.h"

enum
{
  /** Longest id of a request, with its zero, in bytes. */
  BT_REQUEST_ID_BYTES = 80,
  /** Most addresses that one answer to a caller may hold. */
  BT_MAX_TOLD_ADDRESSES = 64,
};

/** An endpoint as it registered itself in the platform's store. */
typedef struct bt_listed_endpoint
{
  char id[BT_NAME_BYTES]; /**< Kept through a restart: with started_ms it names one start. */
  char app[BT_NAME_BYTES];
  char address[BT_ADDRESS_BYTES];
  char failure_domain[BT_NAME_BYTES];
  int32_t slots;            /**< Requests that it runs at a time. */
  bool leaving;             /**< It takes no new work and ends soon. */
  int64_t created_revision; /**< The store's when the entry was made. */
  int64_t started_ms;       /**< When it started, in Unix time; 0: it does not say. */
} bt_listed_endpoint_t;

/** What a caller's headers say of a request. */
typedef struct bt_call_facts
{
  char request_id[BT_REQUEST_ID_BYTES]; /**< The caller's; "" when it sent none. */
  int64_t deadline_ms;          /**< How long the caller waits, from arrival; 0: not told. */
  int32_t prompt_tokens;        /**< 0: not told. */
  int32_t answer_tokens;        /**< At most; 0: not told. */
  int32_t likely_answer_tokens; /**< The caller's guess, often far off; 0: not told. */
} bt_call_facts_t;

/** What an endpoint is told of an attempt beside the caller's own headers. */
typedef struct bt_send_facts
{
  const char *endpoint; /**< The id that must answer; another one refuses without running it. */
  const char *account;  /**< The client account; "" for callers that need none. */
  int64_t deadline_left_ms;
  const char *last_event; /**< Where a stream goes on; NULL: as the caller says. */
} bt_send_facts_t;

/** What an endpoint's headers say of its answer. */
typedef struct bt_answer_facts
{
  char request_id[BT_REQUEST_ID_BYTES]; /**< Which request it answers; "" when it does not say. */
  bool marked;                          /**< It bears the endpoint's mark of origin. */
  bool not_run;                         /**< The endpoint says that it did not run the request. */
  bool encoded;                         /**< The body was re-encoded on the way. */
  bool has_load;
  bt_load_t load;
} bt_answer_facts_t;

/** Takes one header that is to be sent. */
typedef void (*bt_put_header_t) (void *data, const char *name, const char *value);

typedef struct bt_platform bt_platform_t;

/** What a platform can do. */
typedef struct bt_platform_vtable
{
  /** Makes a client of the platform's store at "IP:PORT". */
  bt_kv_t *(*new_store) (bt_context_t *ctx, const char *address, uint64_t seed);

  /** Translates the operators' configuration. NULL with findings when it can't be. */
  bt_declarations_t *(*read_declarations) (bt_context_t *ctx,
                                           const char *text,
                                           size_t bytes,
                                           bt_findings_t *findings);

  /** Decodes an item that lies under endpoint_prefix. */
  bool (*read_endpoint) (const char *key,
                         const char *text,
                         size_t bytes,
                         bt_listed_endpoint_t *endpoint,
                         bt_error_t *error);

  /** Decodes a caller's header. True when it is passed on to the endpoint as it is. */
  bool (*read_call_header) (const char *name, const char *value, bt_call_facts_t *facts);

  /** Gives the headers that the gateway itself sets on an attempt. */
  void (*write_send_headers) (const bt_send_facts_t *facts, bt_put_header_t put, void *data);

  /** Decodes an endpoint's header. True when it is passed on to the caller as it is. */
  bool (*read_answer_header) (const char *name, const char *value, bt_answer_facts_t *facts);

  /** Where the caller is that asks which addresses to use, by the request's target; "" when it does
   * not say. */
  void (*read_asker_domain) (const char *target, char domain[BT_NAME_BYTES]);

  /** The body that tells callers where to connect; freed with bt_free. */
  char *(*write_addresses) (bt_context_t *ctx,
                            const char *const *addresses,
                            int32_t count,
                            int64_t life_ms);
} bt_platform_vtable_t;

/** A platform: the vtable is its first member. */
struct bt_platform
{
  const bt_platform_vtable_t *vtable;
  const char *name;
  const char *configuration_key; /**< Where the operators' newest configuration lies. */
  const char *endpoint_prefix;   /**< What the keys of endpoints begin with. */
  const char *address_path;      /**< Where callers ask which addresses to use. */
  const char *ready_path; /**< Where the platform asks whether this instance takes requests. */
};

/** The users' platform. */
const bt_platform_t *bt_get_platform (void);

#endif
