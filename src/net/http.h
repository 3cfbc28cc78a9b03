/* HTTP/1.1 server and client on one libev loop, parsed by http-parser. */
#ifndef TMX_HTTP_H
#define TMX_HTTP_H
#include <ev.h>
#include <stdbool.h>

#include "net/cbor.h"
#include "tmx/constants.h"

struct sockaddr_in;
bool tmx_parse_addr(const char *s, struct sockaddr_in *a); /* 10.0.0.1:8080 */

struct tmx_server;
struct tmx_conn;
struct tmx_req {
  struct tmx_conn *conn; /* NULL once the other side has gone */
  int method;            /* enum http_method */
  char path[TMX_PATH_MAX];
  uint8_t *body;
  size_t body_len;
};
typedef void (*tmx_handler)(void *arg, struct tmx_req *r);
/* A connection unused for idle_s is closed; sooner when max_conns are open and another comes. */
struct tmx_server *tmx_server_new(struct ev_loop *loop, const char *addr, int max_conns,
                                  double idle_s, tmx_handler h, void *arg);
void tmx_server_free(struct tmx_server *s);
int tmx_server_port(const struct tmx_server *s);
/* Answers and frees the request; every request is answered exactly once. */
void tmx_req_reply(struct tmx_req *r, int status, const struct tmx_buf *body, int retry_after);

struct tmx_client;
/* status 0: no answer, it may have been or be executed; -1: nobody accepted the connection */
typedef void (*tmx_answer)(void *arg, int status, const uint8_t *body, size_t len);
struct tmx_client *tmx_client_new(struct ev_loop *loop, const char *addr, int max_conns);
void tmx_client_free(struct tmx_client *c); /* calls under way end without a callback */
/* false: no connection is free; nothing was sent and there will be no callback */
bool tmx_client_call(struct tmx_client *c, const char *method, const char *path,
                     const struct tmx_buf *body, double timeout, tmx_answer cb, void *arg);
#endif
