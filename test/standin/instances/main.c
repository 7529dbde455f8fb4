/** @file
 * Stand-in for the service that lists instances.
 *
 *   GET /instances   returns the list
 *   PUT /instances   replaces the list with the body
 *   POST /fault      see standin_http.h: "down", "lost-answer", "slow" and "stale-read"
 */

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standin_http.h"

/** The instances as JSON text. */
typedef struct instance_list
{
  pthread_mutex_t lock; /**< Guards both texts. */
  char *text;
  char *old_text; /**< The instances before the last change, for stale reads. */
} instance_list_t;

static void
replace_list (instance_list_t *instances, const bt_standin_request_t *request)
{
  pthread_mutex_lock (&instances->lock);
  free (instances->old_text);
  instances->old_text = instances->text;
  instances->text = strdup (request->body);
  pthread_mutex_unlock (&instances->lock);
}

static void
answer_request (void *data,
                bt_standin_t *standin,
                const bt_standin_request_t *request,
                bt_standin_answer_t *answer)
{
  instance_list_t *instances = data;
  char fault[BT_FAULT_BYTES];

  if (strcmp (request->url, "/instances") != 0)
    {
      answer->status = MHD_HTTP_NOT_FOUND;
      return;
    }
  if (strcmp (request->method, "PUT") == 0)
    {
      replace_list (instances, request);
      answer->body = strdup ("{}");
      return;
    }
  bt_consume_standin_fault (standin, "instances", fault);
  if (strcmp (fault, "down") == 0 || strcmp (fault, "lost-answer") == 0)
    {
      answer->drop = true;
      return;
    }
  pthread_mutex_lock (&instances->lock);
  answer->body = strdup (strcmp (fault, "stale-read") == 0 ? instances->old_text : instances->text);
  pthread_mutex_unlock (&instances->lock);
}

int
main (int argc, char **argv)
{
  instance_list_t instances = { .lock = PTHREAD_MUTEX_INITIALIZER };
  bt_standin_callbacks_t callbacks = { &instances, answer_request, NULL };

  instances.text = strdup ("{\"revision\":0,\"instances\":[]}");
  instances.old_text = strdup (instances.text);
  return bt_run_standin (argc, argv, &callbacks);
}
