#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PEER_LINKS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PEER_LINKS_H

/** @file
 * The identity of an entry instance on links to other entries.
 */

#include "bilberrytray/wire/link.h"

/** The identity of one entry. Strings must outlive its links. */
typedef struct bt_peer_identity
{
  const char *links; /**< Address at which it accepts links, and its name on them. */
  uint64_t incarnation;
  const char *failure_domain;
  const char *secret;
} bt_peer_identity_t;

/** Sets the identity and handler in the options of links that @p self opens or accepts. The caller
 * sets times and limits. */
void bt_fill_peer_link_options (const bt_peer_identity_t *self,
                                bt_link_handler_t *handler,
                                bt_link_options_t *options);

#endif
