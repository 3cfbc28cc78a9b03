/** @file
 * Parses socket addresses in the text form that the settings and network messages use. */
#ifndef TMX_ADDRESS_H
#define TMX_ADDRESS_H
#include <stdbool.h>

struct sockaddr_in;

/**
 * Parses an IPv4 address with its port, such as 10.0.0.1:8080. This function does not check
 * the range of the port; the reader of the settings does.
 * @return false if the text has no colon before a port, or if the host is not an IPv4 address in
 *         dotted-decimal notation. `address` is then zeroed or partly filled.
 */
bool tmx_parse_address(const char *text, struct sockaddr_in *address);
#endif
