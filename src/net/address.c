#include "net/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "tmx/constants.h"

bool tmx_parse_address(const char *text, struct sockaddr_in *address) {
  char host[TMX_NAME_BYTES];
  const char *colon = strrchr(text, ':');
  memset(address, 0, sizeof *address);
  if (!colon || (size_t)(colon - text) >= sizeof host) return false;
  size_t host_length = (size_t)(colon - text);
  memcpy(host, text, host_length);
  host[host_length] = 0;
  address->sin_family = AF_INET;
  address->sin_port = htons((uint16_t)atoi(colon + 1));
  return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}
