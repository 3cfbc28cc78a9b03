/** @file
 * HTTP/1.1 on one libev loop, parsed by http-parser: server, client and the addresses of both.
 * Bodies are CBOR. */
#ifndef TMX_HTTP_H
#define TMX_HTTP_H
#include "net/address.h"
#include "net/cbor.h"
#include "net/http_client.h"
#include "net/http_server.h"
#endif
