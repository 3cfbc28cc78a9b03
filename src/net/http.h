/* HTTP/1.1 server and client on one libev loop, parsed by http-parser. */
#ifndef TMX_HTTP_H
#define TMX_HTTP_H
#include <ev.h>
#include <stdbool.h>

#include "net/cbor.h"
#include "tmx/constants.h"

struct sockaddr_in;
bool tmx_parse_address(const char *s, struct sockaddr_in *a); /* 10.0.0.1:8080 */

struct tmx_http_server;
struct tmx_http_connection;
struct tmx_http_request {
  struct tmx_http_connection *conn; /* NULL once the other side has gone */
  int method;                       /* enum http_method */
  char path[TMX_PATH_MAX];
  uint8_t *body;
  size_t body_len;
};
typedef void (*tmx_http_handler)(void *arg, struct tmx_http_request *request);
/* A connection unused for idle_s is closed; sooner when max_conns are open and another comes. */
struct tmx_http_server *tmx_http_server_new(struct ev_loop *loop, const char *addr, int max_conns,
                                            double idle_s, tmx_http_handler h, void *arg);
void tmx_http_server_free(struct tmx_http_server *server);
int tmx_http_server_port(const struct tmx_http_server *server);
/* Answers and frees the request; every request is answered exactly once. */
void tmx_http_reply(struct tmx_http_request *request, int status, const struct tmx_buffer *body,
                    int retry_after);

struct tmx_http_client;
/* status 0: no answer, it may have been or be executed; -1: nobody accepted the connection */
typedef void (*tmx_http_response_cb)(void *arg, int status, const uint8_t *body, size_t len);
struct tmx_http_client *tmx_http_client_new(struct ev_loop *loop, const char *addr, int max_conns);
void tmx_http_client_free(
    struct tmx_http_client *client); /* calls under way end without a callback */
/* false: no connection is free; nothing was sent and there will be no callback */
bool tmx_http_client_call(struct tmx_http_client *client, const char *method, const char *path,
                          const struct tmx_buffer *body, double timeout, tmx_http_response_cb cb,
                          void *arg);
#endif
