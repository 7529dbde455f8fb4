#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standin_http.h"

typedef struct list
{
  pthread_mutex_t lock; /**< Guards both texts. */
  char *text;
  char *old_text; /**< What a stale read gives: the list before the last change. */
} list_t;

static void
replace_list (list_t *list, const bt_standin_request_t *request)
{
  pthread_mutex_lock (&list->lock);
  free (list->old_text);
  list->old_text = list->text;
  list->text = strdup (request->body);
  pthread_mutex_unlock (&list->lock);
}

static void
answer_request (void *data,
                bt_standin_t *standin,
                const bt_standin_request_t *request,
                bt_standin_answer_t *answer)
{
  list_t *list = data;
  char fault[BT_FAULT_BYTES];

  if (strcmp (request->url, "/instances") != 0)
    {
      answer->status = MHD_HTTP_NOT_FOUND;
      return;
    }
  if (strcmp (request->method, "PUT") == 0)
    {
      replace_list (list, request);
      answer->body = strdup ("{}");
      return;
    }
  bt_take_standin_fault (standin, "instances", fault);
  if (strcmp (fault, "down") == 0 || strcmp (fault, "lost-answer") == 0)
    {
      answer->drop = true;
      return;
    }
  pthread_mutex_lock (&list->lock);
  answer->body = strdup (strcmp (fault, "stale-read") == 0 ? list->old_text : list->text);
  pthread_mutex_unlock (&list->lock);
}

int
main (int argc, char **argv)
{
  list_t list = { .lock = PTHREAD_MUTEX_INITIALIZER };
  bt_standin_routes_t routes = { &list, answer_request, NULL };

  list.text = strdup ("{\"revision\":0,\"instances\":[]}");
  list.old_text = strdup (list.text);
  return bt_run_standin (argc, argv, &routes);
}
