#include "bilberrytray/page/page.h"

#include <microhttpd.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/process_use.h"

enum
{
  CONNECTION_LIMIT = 32,
  CONNECTION_TIMEOUT_S = 10,
};

struct bt_page
{
  bt_context_t *ctx;
  struct MHD_Daemon *daemon;
  bt_page_route_t route;
  void *argument;
};

char *
bt_format_counters (bt_context_t *ctx)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  if (out == NULL)
    return NULL;
  bt_update_process_gauges (ctx);
  bt_print_counters (ctx, out);
  fclose (out);
  return text;
}

static char *
make_answer (bt_page_t *page, const char *method, const char *path)
{
  if (strcmp (path, "/metrics") == 0)
    return bt_format_counters (page->ctx);
  if (page->route != NULL)
    return page->route (page->argument, method, path);
  return strcmp (path, "/healthz") == 0 ? strdup ("ok\n") : NULL;
}

static enum MHD_Result
handle_request (void *argument,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *data,
                size_t *bytes,
                void **state)
{
  bt_page_t *page = argument;
  struct MHD_Response *response;
  enum MHD_Result result;
  unsigned int status = MHD_HTTP_OK;
  char *text;

  if (*bytes > 0)
    {
      *bytes = 0;
      return MHD_YES;
    }
  if (*state == NULL)
    {
      *state = page;
      return MHD_YES;
    }
  text = make_answer (page, method, url);
  if (text == NULL)
    {
      status = MHD_HTTP_NOT_FOUND;
      text = strdup ("There is no such page.\n");
    }
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "text/plain; version=0.0.4");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

bt_page_t *
bt_new_page (bt_context_t *ctx,
             const char *address,
             bt_page_route_t route,
             void *argument,
             bt_error_t *error)
{
  struct sockaddr_in target;
  bt_page_t *page;

  if (!bt_parse_address (address, &target))
    {
      bt_set_error (error, BT_ERROR_FORMAT, "\"%s\" is not of the form IP:PORT.", address);
      return NULL;
    }
  page = bt_calloc (ctx, 1, sizeof *page);
  page->ctx = ctx;
  page->route = route;
  page->argument = argument;
  page->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle_request, page, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&target, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTION_LIMIT, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)CONNECTION_TIMEOUT_S, MHD_OPTION_END);
  if (page->daemon == NULL)
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot serve the operators' page on %s.", address);
      bt_free (ctx, page);
      return NULL;
    }
  return page;
}

void
bt_drop_page (bt_context_t *ctx, bt_page_t *page)
{
  if (page == NULL)
    return;
  MHD_stop_daemon (page->daemon);
  bt_free (ctx, page);
}
