#ifndef BILBERRYTRAY_CORE_PROTOCOL_H
#define BILBERRYTRAY_CORE_PROTOCOL_H

/** @file
 * Messages of the request protocol between an entry and an agent, as the decisions see them. The
 * shells translate them to and from the wire.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/core/identity.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/requests/ticket.h"

/** Names the one agent that may run a key. */
typedef struct bt_grant
{
  bt_identity_t agent;
  int64_t expires_ms; /**< In that agent's monotonic clock. */
  uint32_t number;    /**< From 1, grows with each grant of a key. */
} bt_grant_t;

/** What an agent knows of a key. */
typedef enum bt_record_state
{
  BT_RECORD_UNSEEN = 0, /**< There is no record. */
  BT_RECORD_OPEN,       /**< Known; proved not to have run here; may still run here. */
  BT_RECORD_RUNNING,    /**< The endpoint runs it. */
  BT_RECORD_DONE,       /**< It ran and its answer was whole. */
  BT_RECORD_FAILED,     /**< It may have run, wholly or in part; it will not run again. */
  BT_RECORD_GRANTED,    /**< Home only: another agent, or home by a later grant, may run it. */
  BT_RECORD_TOMBSTONED, /**< It never ran here and never will. */
  BT_RECORD_FOREIGN,    /**< Addressed to another instance or an earlier start: not known here. */
  BT_RECORD_EXPIRED,    /**< Its ticket or grant has expired: no longer known here. */
} bt_record_state_t;

/** Which message of which call an answer belongs to. */
typedef struct bt_reply_path
{
  uint64_t link;    /**< The connection, unique in the process that names it. */
  uint64_t call;    /**< Chosen by the entry, unique in its incarnation. */
  uint32_t attempt; /**< Grows with each message of a call that asks for an answer. */
} bt_reply_path_t;

/** Run a request, attach to its run or give the kept answer. */
typedef struct bt_dispatch
{
  bt_reply_path_t path;
  bt_identity_t target;
  bool has_ticket; /**< False: a request without a key. */
  bt_ticket_t ticket;
  bool has_grant; /**< Required where the target is not the ticket's home. */
  bt_grant_t grant;
  bool idempotent;
  bool attach_only;           /**< Never start a run for this. */
  uint64_t from_sequence;     /**< First piece wanted. */
  uint64_t body_digest;       /**< Of the whole request; a key belongs to one. */
  int64_t deadline_ms;        /**< In the receiver's clock. */
  int64_t sender_now_ms;      /**< Read only under BT_FAULT_FOREIGN_CLOCK. */
  bt_reason_t admission;      /**< Set by the receiver's policy: why it would refuse a new run. */
  int64_t admission_retry_ms; /**< When to come back after such a refusal. */
} bt_dispatch_t;

/** Entry to home: let this agent run the key. */
typedef struct bt_grant_request
{
  bt_reply_path_t path;
  bt_ticket_t ticket;
  bt_grant_t proposal;   /**< Its number is ignored. */
  uint32_t after_number; /**< The grant that its agent tombstoned, 0 for the first. */
} bt_grant_request_t;

/** Entry to home or to a granted agent: never run this key. */
typedef struct bt_tombstone_request
{
  bt_reply_path_t path;
  bt_identity_t target;
  bt_ticket_t ticket;
  bool has_grant;   /**< To a granted agent: its grant. To home: the grant that was tombstoned. */
  bt_grant_t grant; /**< See has_grant. */
} bt_tombstone_request_t;

typedef enum bt_reply_kind
{
  BT_REPLY_ACCEPTED = 0, /**< attached */
  BT_REPLY_REFUSED,      /**< reason, outcome, retry_after_ms; has_grant, grant: to be followed */
  BT_REPLY_GRANT,        /**< granted, grant, or home_runs; else reason, outcome, retry_after_ms */
  BT_REPLY_TOMBSTONE,    /**< tombstoned; else state, has_grant, grant */
  BT_REPLY_HEAD,         /**< status, data */
  BT_REPLY_PIECE,        /**< sequence, data */
  BT_REPLY_END,          /**< pieces, total_bytes */
} bt_reply_kind_t;

/** Agent to entry. Which fields count stands beside each kind. */
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
  bool home_runs; /**< The home itself runs or ran the key: attach there. */
  bool tombstoned;
  bt_record_state_t state;
  uint32_t status;
  const void *data; /**< Belongs to whoever hands the reply on, until the next event. */
  uint64_t data_bytes;
  uint64_t sequence; /**< Of a piece, from 0. */
  uint64_t pieces;
  uint64_t total_bytes;
} bt_reply_t;

/** Guards that a test can take out, to see that its schedules find what the guard prevents. Never
 * set outside tests. */
typedef enum bt_fault
{
  BT_FAULT_NO_INCARNATION = 1 << 0,  /**< Agents don't compare incarnations. */
  BT_FAULT_NO_TOMBSTONE = 1 << 1,    /**< Agents promise a tombstone without keeping one. */
  BT_FAULT_NO_GRANT_RECORD = 1 << 2, /**< Home forgets whom it granted a key. */
  BT_FAULT_FOREIGN_CLOCK = 1 << 3,   /**< Expiry is judged by the sender's clock. */
  BT_FAULT_NO_RECORD = 1 << 4,       /**< Agents forget a key once its run has ended. */
  BT_FAULT_NO_MATCH = 1 << 5,        /**< Entries take answers of any attempt and link. */
  BT_FAULT_NOT_RUN_EARLY = 1 << 6,   /**< Entries say not-run without a tombstone. */
} bt_fault_t;

#endif
