#include "peer_links.h"

void
bt_fill_peer_link_options (const bt_peer_identity_t *self,
                           bt_link_handler_t *handler,
                           bt_link_options_t *options)
{
  options->role = "entry";
  options->instance = self->links;
  options->incarnation = self->incarnation;
  options->failure_domain = self->failure_domain;
  options->address = self->links;
  options->secret = self->secret;
  options->handler = handler;
}
