/* The scripted cloud. */
#include "fake_internal.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"

struct fake_cloud fake_cloud;

enum { LIST_PAGE = 500, LIST_FROM = 100000 };

static void list_machines(struct fake_cloud *c, const struct tmx_http_request *request,
                          struct tmx_buffer *buffer) {
  const char *from = strstr(request->path, "from=n-");
  size_t at = from && !c->same_page ? strtoul(from + 7, NULL, 10) - LIST_FROM : 0;
  size_t left = c->listed > at ? c->listed - at : 0, n = left < LIST_PAGE ? left : LIST_PAGE;
  char id[TMX_ID_MAX];
  c->pages++;
  tmx_cbor_put_map(buffer, 2);
  tmx_cbor_put_text(buffer, W_MACHINES);
  tmx_cbor_put_list(buffer, n);
  for (size_t i = 1; i <= n; i++) {
    snprintf(id, sizeof id, "n-%zu", LIST_FROM + at + i);
    tmx_cbor_put_map(buffer, 6);
    tmx_cbor_put_text_field(buffer, W_ID, id);
    tmx_cbor_put_text_field(buffer, W_TYPE, "big");
    tmx_cbor_put_text_field(buffer, W_ZONE, "a");
    tmx_cbor_put_bool_field(buffer, W_SPOT, false);
    tmx_cbor_put_text_field(buffer, W_STATE, WV_BOOTING);
    tmx_cbor_put_number_field(buffer, W_AGE, 1);
  }
  tmx_cbor_put_bool_field(buffer, W_MORE, left > n);
}

void fake_cloud_request(void *arg, struct tmx_http_request *request) {
  struct fake_cloud *c = arg;
  struct tmx_buffer buffer = {0};
  if (!strcmp(request->path, WP_TYPES)) {
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_text(&buffer, W_TYPES);
    tmx_cbor_put_list(&buffer, 1);
    tmx_cbor_put_map(&buffer, 10);
    tmx_cbor_put_text_field(&buffer, W_NAME, "big");
    tmx_cbor_put_number_field(&buffer, W_CPUS, 16);
    tmx_cbor_put_number_field(&buffer, W_GPUS, 0);
    tmx_cbor_put_number_field(&buffer, W_MEM, 64);
    tmx_cbor_put_number_field(&buffer, W_CACHE_GB, 50);
    tmx_cbor_put_number_field(&buffer, W_FETCH, 1);
    tmx_cbor_put_number_field(&buffer, W_PRICE, 1);
    tmx_cbor_put_number_field(&buffer, W_SPOT_PRICE, 0.4);
    tmx_cbor_put_number_field(&buffer, W_BOOT_S, 30);
    tmx_cbor_put_text(&buffer, W_ZONES);
    tmx_cbor_put_list(&buffer, 1);
    tmx_cbor_put_text(&buffer, "a");
    tmx_http_reply(request, 200, &buffer, 0);
  } else if (!strcmp(request->path, WP_DELETE)) {
    if (c->refuse_delete) {
      tmx_http_reply(request, 503, NULL, 0);
    } else {
      cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
      const cbor_item_t *list = tmx_cbor_get(map, W_MACHINES);
      for (size_t i = 0; i < tmx_cbor_list_length(list) && c->deletes < 32; i++)
        tmx_cbor_as_text(tmx_cbor_list_at(list, i), c->deleted[c->deletes++], TMX_ID_MAX);
      tmx_cbor_free(map);
      tmx_http_reply(request, 200, NULL, 0);
    }
  } else if (request->method == HTTP_POST) {
    c->rentals++;
    tmx_http_reply(request, 503, NULL, 0);
  } else {
    list_machines(c, request, &buffer);
    tmx_http_reply(request, 200, &buffer, 0);
  }
  tmx_buffer_free(&buffer);
}
