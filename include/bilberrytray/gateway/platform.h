#ifndef BILBERRYTRAY_GATEWAY_PLATFORM_H
#define BILBERRYTRAY_GATEWAY_PLATFORM_H

/** @file
 * The interface that a platform implements for the gateway: the names and formats that the platform
 * uses, and the functions that decode and encode them.
 *
 * An implementation only translates: it decodes each name on the wire once, into the types below,
 * and makes no decisions.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/base/findings.h"
#include "bilberrytray/config/declarations.h"
#include "bilberrytray/load/router.h"
#include "bilberrytray/store/kv.h"

enum
{
  /** Size of a request id, including the terminating zero, in bytes. */
  BT_REQUEST_ID_BYTES = 80,
  /** Maximum number of addresses in one answer to a caller. */
  BT_MAX_ADVERTISED_ADDRESSES = 64,
};

/** An endpoint as registered in the platform's store. */
typedef struct bt_listed_endpoint
{
  char id[BT_NAME_BYTES]; /**< Survives a restart: the id and started_ms together identify one
                             incarnation. */
  char app[BT_NAME_BYTES];
  char address[BT_ADDRESS_BYTES];
  char failure_domain[BT_NAME_BYTES];
  int32_t slots;            /**< Maximum number of concurrent requests. */
  bool leaving;             /**< It accepts no new requests and stops soon. */
  int64_t era;              /**< The store's era, to which the revisions belong. */
  int64_t created_revision; /**< The store's revision at which the registration was created. */
  int64_t revision;         /**< Revision of the last change of the registration. */
  int64_t started_ms;       /**< Start time, Unix time in ms; 0: unknown. */
  int64_t sequence;         /**< Counts the endpoint's writes of its registration. */
  int64_t cold_left_ms; /**< How long it stays cold from the registration's last change on; 0: it
                           is not cold. */
} bt_listed_endpoint_t;

/** Information about a request, decoded from the caller's headers. */
typedef struct bt_request_info
{
  char request_id[BT_REQUEST_ID_BYTES]; /**< Sent by the caller; "" if none was sent. */
  int64_t deadline_ms;                  /**< How long the caller waits, from arrival; 0: unknown. */
  int32_t prompt_tokens;                /**< 0: unknown. */
  int32_t answer_tokens;                /**< Upper bound; 0: unknown. */
  int32_t expected_answer_tokens;       /**< The caller's estimate, often far off; 0: unknown. */
} bt_request_info_t;

/** Information about an attempt that the gateway sends to the endpoint in addition to the caller's
 * own headers. */
typedef struct bt_attempt_info
{
  const char *endpoint; /**< The intended endpoint's id; any other endpoint refuses the request
                             without running it. */
  const char *account;  /**< The client account; "" if the caller needs none. */
  int64_t deadline_left_ms;
  int32_t priority;       /**< How urgent the request is, a bt_priority_t; -1: not stated. */
  const char *last_event; /**< Id of the event after which to resume a stream; NULL: the caller's
                             own header applies. */
} bt_attempt_info_t;

/** Information about an answer, decoded from the endpoint's headers. */
typedef struct bt_answer_info
{
  char request_id[BT_REQUEST_ID_BYTES]; /**< The request that it answers; "" if unknown. */
  bool marked;                          /**< A header shows that the endpoint itself sent it. */
  bool not_run;                         /**< The endpoint states that it did not run the request. */
  bool encoded;                         /**< The body was re-encoded in transit. */
  bool has_load;
  bt_load_t load;
  bool has_limit;     /**< The endpoint names a limit. */
  double limit_per_s; /**< Requests per second that it takes from all entries together. */
  int64_t rest_ms; /**< With a refusal: how long the endpoint wants no request from this entry; 0:
                      it asks for no rest. */
  bool leaving;    /**< The endpoint says that it stops soon. */
} bt_answer_info_t;

/** Adds one header to a request that is to be sent. */
typedef void (*bt_put_header_t) (void *data, const char *name, const char *value);

/** Takes the next part of a prompt, named by the @p bytes bytes of @p id. */
typedef void (*bt_put_prompt_part_t) (void *data, const char *id, size_t bytes);

typedef struct bt_platform bt_platform_t;

/** Functions of a platform. */
typedef struct bt_platform_vtable
{
  /** Creates a client of the platform's store at "IP:PORT". */
  bt_kv_t *(*new_store) (bt_context_t *ctx, const char *address, uint64_t seed);

  /** Decodes the operators' configuration. A part that can't be read, or is not known, is left out
   * with a finding. A rule or an account that can't be used without that part is marked as
   * unreadable. Returns NULL if nothing of the configuration can be used. */
  bt_declarations_t *(*read_declarations) (bt_context_t *ctx,
                                           const char *text,
                                           size_t bytes,
                                           bt_findings_t *findings);

  /** Reads the version of the operators' configuration, which increases with each change. Returns
   * false if there is none. */
  bool (*read_configuration_version) (const char *text, size_t bytes, int64_t *version);

  /** Decodes a store item whose key begins with endpoint_prefix. */
  bool (*read_endpoint) (const char *key,
                         const char *text,
                         size_t bytes,
                         bt_listed_endpoint_t *endpoint,
                         bt_error_t *error);

  /** Decodes a header of a caller's request. Returns true if the header is forwarded unchanged to
   * the endpoint. */
  bool (*read_request_header) (const char *name, const char *value, bt_request_info_t *info);

  /** Decodes the value of the header that lists the parts of a request's prompt, and calls @p put
   * with each of them in order. Returns false if the value is malformed; @p put may have been
   * called by then. */
  bool (*read_prompt_parts) (const char *value, bt_put_prompt_part_t put, void *data);

  /** Calls @p put with each header that the gateway itself sets on an attempt. */
  void (*write_attempt_headers) (const bt_attempt_info_t *info, bt_put_header_t put, void *data);

  /** Decodes a header of an endpoint's answer. Returns true if the header is forwarded unchanged to
   * the caller. */
  bool (*read_answer_header) (const char *name, const char *value, bt_answer_info_t *info);

  /** Reads the failure domain of a caller from the target of its request for addresses; "" if the
   * target does not name one. */
  void (*read_caller_domain) (const char *target, char domain[BT_NAME_BYTES]);

  /** Encodes the addresses to which callers may connect, valid for @p life_ms, as the body of an
   * answer; the caller frees it with bt_free. */
  char *(*write_addresses) (bt_context_t *ctx,
                            const char *const *addresses,
                            int32_t count,
                            int64_t life_ms);
} bt_platform_vtable_t;

/** A platform. The vtable must be the first member. */
struct bt_platform
{
  const bt_platform_vtable_t *vtable;
  const char *name;
  const char *configuration_key;   /**< Store key of the operators' current configuration. */
  const char *endpoint_prefix;     /**< Common prefix of the endpoints' store keys. */
  const char *evacuation_prefix;   /**< Prefix of the store keys that name the evacuated failure
                                      domains. */
  const char *prompt_parts_header; /**< Name of the header that lists the parts of a prompt. */
  const char *address_path;        /**< HTTP path at which callers request addresses. */
  const char *ready_path;          /**< HTTP path of the readiness check. */
};

/** Returns the platform that the gateway is built for. */
const bt_platform_t *bt_get_platform (void);

#endif
