/** @file
 * Socket addresses in text form, as the settings and the wire carry them. */
#ifndef TMX_ADDRESS_H
#define TMX_ADDRESS_H
#include <stdbool.h>

struct sockaddr_in;

/**
 * Parses an IPv4 address with its port, such as 10.0.0.1:8080. The port is not checked for its
 * range; whoever reads an address from the settings does that.
 * @return false if the text has no port or the host is not a dotted IPv4 address. `address` is
 *         then zeroed or partly filled.
 */
bool tmx_parse_address(const char *text, struct sockaddr_in *address);
#endif
