#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PEER_LINKS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PEER_LINKS_H

/** @file
 * How an entry names itself on links to other entries.
 */

#include "bilberrytray/wire/link.h"

/** One entry; strings must outlive its links. */
typedef struct bt_peer_name
{
  const char *links; /**< Where it accepts links, which is also its name on them. */
  uint64_t incarnation;
  const char *failure_domain;
  const char *secret;
} bt_peer_name_t;

/** Fills in the options of links that @p self makes or accepts; times and bounds are left to the
 * caller. */
void bt_name_peer_links (const bt_peer_name_t *self,
                         bt_link_handler_t *handler,
                         bt_link_options_t *options);

#endif
