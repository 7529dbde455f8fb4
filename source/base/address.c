#include "bilberrytray/base/address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOST_BYTES = 32,
  BASE_TEN = 10,
  MAX_PORT = 65535,
};

bool
bt_parse_address (const char *text, struct sockaddr_in *address)
{
  char host[HOST_BYTES];
  const char *colon = strrchr (text, ':');
  unsigned long port;
  char *end;

  memset (address, 0, sizeof *address);
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  port = strtoul (colon + 1, &end, BASE_TEN);
  if (end == colon + 1 || *end != '\0' || port > MAX_PORT)
    return false;
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

bool
bt_is_peer_address (const char *text)
{
  struct sockaddr_in address;

  return strspn (text, "0123456789.:") == strlen (text) && bt_parse_address (text, &address)
         && address.sin_port != 0 && address.sin_addr.s_addr != htonl (INADDR_ANY);
}
