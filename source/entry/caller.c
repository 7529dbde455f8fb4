#include "caller.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "bilberrytray/wire/frame.h"

enum
{
  MAX_PENDING_BYTES = 4 << 20,
  READ_BLOCK_BYTES = 16384,
  NUMBER_BYTES = 24,
  MS_PER_S = 1000,
};

typedef enum answer_state
{
  ANSWER_NONE = 0,
  ANSWER_BEGUN,
  ANSWER_COMPLETE,
  ANSWER_ABORTED,
} answer_state_t;

struct bt_caller
{
  atomic_int references;
  bt_context_t *ctx;
  bt_caller_request_t request;
  size_t body_capacity;
  atomic_ullong call;
  char account[BT_NAME_BYTES];
  bool submitted;

  pthread_mutex_t lock; /**< Guards the members below. */
  struct MHD_Connection *connection;
  bool suspended;
  answer_state_t state;
  int32_t status;
  char *content_type; /* NULL before the answer has begun */
  bt_outcome_t outcome;
  bt_reason_t reason;
  int64_t retry_after_ms;
  bt_buffer_t pending;
};

bt_caller_t *
bt_new_caller (bt_context_t *ctx, struct MHD_Connection *connection, const char *target)
{
  bt_caller_t *caller = bt_calloc (ctx, 1, sizeof *caller);

  atomic_init (&caller->references, 1);
  caller->ctx = ctx;
  caller->connection = connection;
  caller->request.target = bt_strdup (ctx, target);
  pthread_mutex_init (&caller->lock, NULL);
  return caller;
}

void
bt_set_caller_method (bt_caller_t *caller, const char *method, const char *path)
{
  caller->request.method = bt_strdup (caller->ctx, method);
  caller->request.path = bt_strdup (caller->ctx, path);
}

bt_caller_t *
bt_keep_caller (bt_caller_t *caller)
{
  atomic_fetch_add (&caller->references, 1);
  return caller;
}

void
bt_drop_caller (bt_context_t *ctx, bt_caller_t *caller)
{
  if (caller == NULL || atomic_fetch_sub (&caller->references, 1) != 1)
    return;
  for (int32_t i = 0; i < caller->request.header_count; i++)
    {
      bt_free (ctx, (void *)caller->request.headers[i].name);
      bt_free (ctx, (void *)caller->request.headers[i].value);
    }
  bt_free (ctx, caller->content_type);
  bt_free (ctx, caller->request.target);
  bt_free (ctx, caller->request.method);
  bt_free (ctx, caller->request.path);
  bt_free (ctx, caller->request.body);
  bt_clear_buffer (ctx, &caller->pending);
  pthread_mutex_destroy (&caller->lock);
  bt_free (ctx, caller);
}

bool
bt_append_caller_body (
    bt_context_t *ctx, bt_caller_t *caller, const char *data, size_t bytes, size_t max_bytes)
{
  bt_caller_request_t *request = &caller->request;

  if (request->body_bytes + bytes > max_bytes)
    return false;
  if (request->body_bytes + bytes > caller->body_capacity)
    {
      caller->body_capacity = (request->body_bytes + bytes) * 2;
      request->body = bt_realloc (ctx, request->body, caller->body_capacity, 1);
    }
  memcpy (request->body + request->body_bytes, data, bytes);
  request->body_bytes += bytes;
  return true;
}

const bt_caller_request_t *
bt_get_caller_request (const bt_caller_t *caller)
{
  return &caller->request;
}

const char *
bt_find_caller_header (const bt_caller_t *caller, const char *name)
{
  for (int32_t i = 0; i < caller->request.header_count; i++)
    if (strcasecmp (caller->request.headers[i].name, name) == 0)
      return caller->request.headers[i].value;
  return NULL;
}

static void
resume_locked (bt_caller_t *caller)
{
  if (!caller->suspended || caller->connection == NULL)
    return;
  caller->suspended = false;
  MHD_resume_connection (caller->connection);
}

void
bt_begin_caller_answer (bt_context_t *ctx,
                        bt_caller_t *caller,
                        int32_t status,
                        const char *content_type)
{
  pthread_mutex_lock (&caller->lock);
  if (caller->state == ANSWER_NONE)
    {
      caller->state = ANSWER_BEGUN;
      caller->status = status;
      caller->content_type = bt_strdup (caller->ctx, content_type);
      resume_locked (caller);
    }
  pthread_mutex_unlock (&caller->lock);
}

bool
bt_add_caller_answer (bt_context_t *ctx, bt_caller_t *caller, const void *data, size_t bytes)
{
  bool added = false;

  pthread_mutex_lock (&caller->lock);
  if (caller->state == ANSWER_BEGUN)
    {
      if (bt_get_buffer_bytes (&caller->pending) + bytes <= MAX_PENDING_BYTES)
        {
          bt_append_buffer (ctx, &caller->pending, data, bytes);
          added = true;
        }
      else
        caller->state = ANSWER_ABORTED;
      resume_locked (caller);
    }
  pthread_mutex_unlock (&caller->lock);
  return added;
}

static void
end_answer (bt_caller_t *caller, answer_state_t state)
{
  pthread_mutex_lock (&caller->lock);
  if (caller->state == ANSWER_BEGUN)
    {
      caller->state = state;
      resume_locked (caller);
    }
  pthread_mutex_unlock (&caller->lock);
}

void
bt_end_caller_answer (bt_context_t *ctx, bt_caller_t *caller)
{
  bt_count_outcome (ctx, BT_OUTCOME_ANSWERED);
  end_answer (caller, ANSWER_COMPLETE);
}

/* Returns the body of a refusal; freed with free. A message that is not valid text is left out. */
static char *
write_refusal (bt_outcome_t outcome, bt_reason_t reason, const char *message)
{
  json_t *object = json_object ();
  char *text;

  json_object_set_new (object, "outcome", json_string (bt_name_outcome (outcome)));
  json_object_set_new (object, "reason", json_string (bt_name_reason (reason)));
  json_object_set_new (object, "message", json_string (message == NULL ? "" : message));
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

void
bt_refuse_caller (bt_context_t *ctx,
                  bt_caller_t *caller,
                  bt_outcome_t outcome,
                  bt_reason_t reason,
                  int64_t retry_after_ms,
                  const char *message)
{
  bt_count_refusal (ctx, reason);
  pthread_mutex_lock (&caller->lock);
  if (caller->state == ANSWER_BEGUN)
    {
      caller->state = ANSWER_ABORTED;
      outcome = BT_OUTCOME_UNKNOWN;
    }
  else if (caller->state == ANSWER_NONE)
    {
      char *body = write_refusal (outcome, reason, message);

      bt_append_buffer (ctx, &caller->pending, body, strlen (body));
      bt_append_buffer (ctx, &caller->pending, "\n", 1);
      free (body);
      caller->state = ANSWER_COMPLETE;
      caller->status = bt_get_refusal_status (reason, outcome);
      caller->outcome = outcome;
      caller->reason = reason;
      caller->retry_after_ms = retry_after_ms;
      caller->content_type = bt_strdup (caller->ctx, "application/json");
    }
  resume_locked (caller);
  pthread_mutex_unlock (&caller->lock);
  bt_count_outcome (ctx, outcome);
}

void
bt_refuse_unprocessed_caller (bt_context_t *ctx,
                              bt_caller_t *caller,
                              bt_reason_t reason,
                              int64_t retry_after_ms,
                              const char *message)
{
  bool has_key = bt_find_caller_header (caller, "Idempotency-Key") != NULL;

  bt_refuse_caller (ctx, caller, has_key ? BT_OUTCOME_UNKNOWN : BT_OUTCOME_NOT_RUN, reason,
                    retry_after_ms, message);
}

void
bt_answer_caller (bt_context_t *ctx,
                  bt_caller_t *caller,
                  int32_t status,
                  const char *content_type,
                  const char *text)
{
  bt_begin_caller_answer (ctx, caller, status, content_type);
  bt_add_caller_answer (ctx, caller, text, strlen (text));
  end_answer (caller, ANSWER_COMPLETE);
}

bool
bt_is_caller_answered (bt_caller_t *caller)
{
  bool answered;

  pthread_mutex_lock (&caller->lock);
  answered = caller->state != ANSWER_NONE;
  pthread_mutex_unlock (&caller->lock);
  return answered;
}

static ssize_t
read_answer (void *argument, uint64_t position, char *buffer, size_t max)
{
  bt_caller_t *caller = argument;
  size_t bytes;
  ssize_t result;

  pthread_mutex_lock (&caller->lock);
  bytes = bt_get_buffer_bytes (&caller->pending);
  if (bytes > 0)
    {
      bytes = bytes < max ? bytes : max;
      memcpy (buffer, caller->pending.data + caller->pending.start, bytes);
      bt_consume_buffer (&caller->pending, bytes);
      result = (ssize_t)bytes;
    }
  else if (caller->state == ANSWER_COMPLETE)
    result = MHD_CONTENT_READER_END_OF_STREAM;
  else if (caller->state == ANSWER_ABORTED)
    result = MHD_CONTENT_READER_END_WITH_ERROR;
  else
    {
      caller->suspended = true;
      MHD_suspend_connection (caller->connection);
      result = 0;
    }
  pthread_mutex_unlock (&caller->lock);
  return result;
}

static void
release_caller (void *argument)
{
  bt_caller_t *caller = argument;

  bt_drop_caller (caller->ctx, caller);
}

/** The fields of the answer that a response is made from, copied under the lock. */
typedef struct answer_head
{
  bool ready;
  uint64_t length;
  int32_t status;
  bt_outcome_t outcome;
  bt_reason_t reason;
  int64_t retry_after_ms;
} answer_head_t;

static answer_head_t
read_head_or_suspend (bt_caller_t *caller)
{
  answer_head_t head = { 0 };

  pthread_mutex_lock (&caller->lock);
  head.ready = caller->state != ANSWER_NONE;
  /* An answer that is already complete is sent with its length. Any other is sent in chunks, and
   * the final chunk tells the caller that nothing is missing. */
  head.length =
      caller->state == ANSWER_COMPLETE ? bt_get_buffer_bytes (&caller->pending) : MHD_SIZE_UNKNOWN;
  head.status = caller->status;
  head.outcome = caller->outcome;
  head.reason = caller->reason;
  head.retry_after_ms = caller->retry_after_ms;
  if (!head.ready)
    {
      caller->suspended = true;
      MHD_suspend_connection (caller->connection);
    }
  pthread_mutex_unlock (&caller->lock);
  return head;
}

static void
add_outcome_headers (const bt_caller_t *caller,
                     const answer_head_t *head,
                     struct MHD_Response *response)
{
  char number[NUMBER_BYTES];

  MHD_add_response_header (response, "Content-Type", caller->content_type);
  MHD_add_response_header (response, "Bilberry-Outcome", bt_name_outcome (head->outcome));
  if (head->reason != BT_REASON_NONE)
    MHD_add_response_header (response, "Bilberry-Reason", bt_name_reason (head->reason));
  if (head->retry_after_ms <= 0)
    return;
  snprintf (number, sizeof number, "%lld",
            (long long)((head->retry_after_ms + MS_PER_S - 1) / MS_PER_S));
  MHD_add_response_header (response, "Retry-After", number);
  snprintf (number, sizeof number, "%lld", (long long)head->retry_after_ms);
  MHD_add_response_header (response, "Bilberry-Retry-After-Ms", number);
}

/* Called without the caller's lock: libmicrohttpd locks a response while it calls read_answer,
 * which takes the caller's lock, so the two locks must not be taken in the opposite order. The
 * head is still valid, since its fields change only while the caller has no answer. */
static enum MHD_Result
queue_answer (bt_caller_t *caller, const answer_head_t *head)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      head->length, READ_BLOCK_BYTES, read_answer, bt_keep_caller (caller), release_caller);
  enum MHD_Result result;

  add_outcome_headers (caller, head, response);
  result = MHD_queue_response (caller->connection, (unsigned int)head->status, response);
  MHD_destroy_response (response);
  return result;
}

enum MHD_Result
bt_respond_or_suspend (bt_context_t *ctx, bt_caller_t *caller)
{
  answer_head_t head = read_head_or_suspend (caller);

  return head.ready ? queue_answer (caller, &head) : MHD_YES;
}

void
bt_detach_caller (bt_caller_t *caller)
{
  pthread_mutex_lock (&caller->lock);
  caller->connection = NULL;
  caller->suspended = false;
  pthread_mutex_unlock (&caller->lock);
}

void
bt_set_caller_call (bt_caller_t *caller, uint64_t call)
{
  atomic_store (&caller->call, call);
}

uint64_t
bt_get_caller_call (bt_caller_t *caller)
{
  return atomic_load (&caller->call);
}

void
bt_set_caller_account (bt_caller_t *caller, const char *account)
{
  bt_copy_name (caller->account, account);
}

const char *
bt_get_caller_account (const bt_caller_t *caller)
{
  return caller->account;
}

void
bt_set_caller_submitted (bt_caller_t *caller)
{
  caller->submitted = true;
}

bool
bt_is_caller_submitted (const bt_caller_t *caller)
{
  return caller->submitted;
}
