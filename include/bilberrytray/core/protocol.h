#ifndef BILBERRYTRAY_CORE_PROTOCOL_H
#define BILBERRYTRAY_CORE_PROTOCOL_H

/** @file
 * Messages of the request protocol between an entry and an agent, in the form that the decision
 * code uses. The I/O code translates them to and from the wire format.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/core/identity.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/requests/ticket.h"

/** Grant: names the only agent that may run the request of a key. */
typedef struct bt_grant
{
  bt_identity_t agent;
  int64_t expires_ms; /**< In the monotonic clock of that agent. */
  uint32_t number;    /**< Starts at 1 and increases with each grant of the key. */
} bt_grant_t;

/** State of an agent's record of a key. */
typedef enum bt_record_state
{
  BT_RECORD_UNSEEN = 0, /**< No record exists. */
  BT_RECORD_OPEN,    /**< A record exists; the request has provably not run here but still may. */
  BT_RECORD_RUNNING, /**< The endpoint is running it. */
  BT_RECORD_DONE,    /**< It ran and its answer was complete. */
  BT_RECORD_FAILED,  /**< It may have run, completely or in part; it will not run again. */
  BT_RECORD_GRANTED, /**< Home agent only: another agent, or the home agent by a later grant, may
                        run it. */
  BT_RECORD_TOMBSTONED, /**< It never ran here and never will. */
  BT_RECORD_FOREIGN, /**< The message was addressed to another instance or an earlier incarnation;
                        its state is not known here. */
  BT_RECORD_EXPIRED, /**< Its ticket or grant has expired; its state is no longer known here. */
} bt_record_state_t;

/** Identifies the message that a reply answers. */
typedef struct bt_reply_path
{
  uint64_t link;    /**< Connection number, unique in the process that assigns it. */
  uint64_t call;    /**< Call number assigned by the entry, unique in its incarnation. */
  uint32_t attempt; /**< Increases with each message of a call that expects a reply. */
} bt_reply_path_t;

/** Entry to agent: run a request, attach to its run or return the kept answer. */
typedef struct bt_dispatch
{
  bt_reply_path_t path;
  bt_identity_t target;
  bool has_ticket; /**< False for a request without a key. */
  bt_ticket_t ticket;
  bool has_grant; /**< Required if the target is not the ticket's home agent. */
  bt_grant_t grant;
  bool idempotent;
  bool attach_only;       /**< Attach to an existing run only; never start one. */
  uint64_t from_sequence; /**< Sequence number of the first piece to send. */
  uint64_t body_digest;   /**< Digest of the whole request; a key belongs to exactly one request. */
  int64_t deadline_ms;    /**< In the receiver's clock. */
  int64_t sender_now_ms;  /**< Read only under BT_FAULT_FOREIGN_CLOCK. */
  bt_reason_t admission; /**< Set by the receiver's admission policy: reason to refuse a new run. */
  int64_t admission_retry_ms; /**< Retry-after time of such a refusal. */
} bt_dispatch_t;

/** Entry to home agent: allow this agent to run the key. */
typedef struct bt_grant_request
{
  bt_reply_path_t path;
  bt_ticket_t ticket;
  bt_grant_t proposal;   /**< The number is ignored. */
  uint32_t after_number; /**< Number of the last grant, which its agent tombstoned; 0 for the first
                            grant. */
} bt_grant_request_t;

/** Entry to home agent or granted agent: never run this key. */
typedef struct bt_tombstone_request
{
  bt_reply_path_t path;
  bt_identity_t target;
  bt_ticket_t ticket;
  bool has_grant; /**< To a granted agent: its grant is set. To the home agent: the tombstoned grant
                     is set, if there is one. */
  bt_grant_t grant; /**< See has_grant. */
} bt_tombstone_request_t;

typedef enum bt_reply_kind
{
  BT_REPLY_ACCEPTED = 0, /**< Uses attached. */
  BT_REPLY_REFUSED,   /**< Uses reason, outcome, retry_after_ms; has_grant and grant if there is a
                         grant to follow. */
  BT_REPLY_GRANT,     /**< Uses granted and grant, or home_runs; otherwise reason, outcome,
                         retry_after_ms. */
  BT_REPLY_TOMBSTONE, /**< Uses tombstoned; otherwise state, has_grant, grant. */
  BT_REPLY_HEAD,      /**< Uses status, data. */
  BT_REPLY_PIECE,     /**< Uses sequence, data. */
  BT_REPLY_END,       /**< Uses pieces, total_bytes. */
} bt_reply_kind_t;

/** Agent to entry. bt_reply_kind_t lists the fields that each kind uses. */
typedef struct bt_reply
{
  bt_reply_kind_t kind;
  bt_reply_path_t path;
  bool attached;
  bt_reason_t reason;
  bt_outcome_t outcome;
  int64_t retry_after_ms;
  bool has_grant;
  bt_grant_t grant;
  bool granted;
  bool home_runs; /**< The home agent itself runs or ran the key: attach there. */
  bool tombstoned;
  bt_record_state_t state;
  uint32_t status;
  const void *data; /**< Owned by the code that passes the reply on; valid until the next event. */
  uint64_t data_bytes;
  uint64_t sequence; /**< Sequence number of a piece, starting at 0. */
  uint64_t pieces;
  uint64_t total_bytes;
} bt_reply_t;

/** Safeguards that a test can disable, to check that its schedules find the failure that each one
 * prevents. Never set outside tests. */
typedef enum bt_fault
{
  BT_FAULT_NO_INCARNATION = 1 << 0, /**< Agents do not compare incarnations. */
  BT_FAULT_NO_TOMBSTONE = 1 << 1,   /**< Agents confirm a tombstone without storing it. */
  BT_FAULT_NO_GRANT_RECORD =
      1 << 2,                      /**< The home agent does not record to whom it granted a key. */
  BT_FAULT_FOREIGN_CLOCK = 1 << 3, /**< Expiry is checked against the sender's clock. */
  BT_FAULT_NO_RECORD = 1 << 4,     /**< Agents drop the record of a key once its run has ended. */
  BT_FAULT_NO_MATCH = 1 << 5,      /**< Entries accept replies of any attempt and link. */
  BT_FAULT_NOT_RUN_EARLY = 1 << 6, /**< Entries report not-run without a tombstone. */
} bt_fault_t;

#endif
