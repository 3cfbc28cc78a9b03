/** @file
 * HTTP/1.1 on a libev event loop. Includes the server, the client and the parsing of addresses, and
 * CBOR, which is the format of all message bodies. */
#ifndef TMX_HTTP_H
#define TMX_HTTP_H
#include "net/address.h"
#include "net/cbor.h"
#include "net/http_client.h"
#include "net/http_server.h"
#endif
