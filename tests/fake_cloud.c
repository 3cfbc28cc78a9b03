/* The scripted cloud. */
#include "fake_internal.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "tmx/wire.h"

struct fake_cloud cloud;

enum { LIST_PAGE = 500, LIST_FROM = 100000 };

static void list_machines(struct fake_cloud *c, const struct tmx_req *q, struct tmx_buf *b) {
  const char *from = strstr(q->path, "from=n-");
  size_t at = from && !c->same_page ? strtoul(from + 7, NULL, 10) - LIST_FROM : 0;
  size_t left = c->listed > at ? c->listed - at : 0, n = left < LIST_PAGE ? left : LIST_PAGE;
  char id[TMX_ID_MAX];
  c->pages++;
  tmx_w_map(b, 2);
  tmx_w_str(b, W_MACHINES);
  tmx_w_list(b, n);
  for (size_t i = 1; i <= n; i++) {
    snprintf(id, sizeof id, "n-%zu", LIST_FROM + at + i);
    tmx_w_map(b, 6);
    tmx_w_kstr(b, W_ID, id);
    tmx_w_kstr(b, W_TYPE, "big");
    tmx_w_kstr(b, W_ZONE, "a");
    tmx_w_kbool(b, W_SPOT, false);
    tmx_w_kstr(b, W_STATE, WV_BOOTING);
    tmx_w_knum(b, W_AGE, 1);
  }
  tmx_w_kbool(b, W_MORE, left > n);
}

void fake_cloud_request(void *arg, struct tmx_req *q) {
  struct fake_cloud *c = arg;
  struct tmx_buf b = {0};
  if (!strcmp(q->path, WP_TYPES)) {
    tmx_w_map(&b, 1);
    tmx_w_str(&b, W_TYPES);
    tmx_w_list(&b, 1);
    tmx_w_map(&b, 10);
    tmx_w_kstr(&b, W_NAME, "big");
    tmx_w_knum(&b, W_CPUS, 16);
    tmx_w_knum(&b, W_GPUS, 0);
    tmx_w_knum(&b, W_MEM, 64);
    tmx_w_knum(&b, W_CACHE_GB, 50);
    tmx_w_knum(&b, W_FETCH, 1);
    tmx_w_knum(&b, W_PRICE, 1);
    tmx_w_knum(&b, W_SPOT_PRICE, 0.4);
    tmx_w_knum(&b, W_BOOT_S, 30);
    tmx_w_str(&b, W_ZONES);
    tmx_w_list(&b, 1);
    tmx_w_str(&b, "a");
    tmx_req_reply(q, 200, &b, 0);
  } else if (!strcmp(q->path, WP_DELETE)) {
    if (c->refuse_delete) {
      tmx_req_reply(q, 503, NULL, 0);
    } else {
      cbor_item_t *m = tmx_cbor_parse(q->body, q->body_len);
      const cbor_item_t *l = tmx_r_get(m, W_MACHINES);
      for (size_t i = 0; i < tmx_r_len(l) && c->deletes < 32; i++)
        tmx_r_str(tmx_r_at(l, i), c->deleted[c->deletes++], TMX_ID_MAX);
      tmx_cbor_free(m);
      tmx_req_reply(q, 200, NULL, 0);
    }
  } else if (q->method == HTTP_POST) {
    c->hires++;
    tmx_req_reply(q, 503, NULL, 0);
  } else {
    list_machines(c, q, &b);
    tmx_req_reply(q, 200, &b, 0);
  }
  tmx_buf_free(&b);
}
