#include "fake_cloud.h"

#include "test.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_loop.h"
#include "net/cbor.h"
#include "net/http.h"
#include "tmx/wire.h"

struct fake_cloud fake_cloud;

enum { LIST_PAGE_SIZE = 500, LIST_ID_BASE = 100000 /* ids start at the number after this one */ };

static void list_machines(struct fake_cloud *cloud, const struct tmx_http_request *request,
                          struct tmx_buffer *buffer) {
  const char *from = strstr(request->path, "from=n-");
  size_t first = from && !cloud->repeat_first_page ? strtoul(from + 7, NULL, 10) - LIST_ID_BASE : 0;
  size_t remaining = cloud->listed_machines > first ? cloud->listed_machines - first : 0;
  size_t count = remaining < LIST_PAGE_SIZE ? remaining : LIST_PAGE_SIZE;
  char id[TMX_ID_BYTES];
  cloud->pages_served++;
  tmx_cbor_put_map(buffer, 2);
  tmx_cbor_put_text(buffer, W_MACHINES);
  tmx_cbor_put_array(buffer, count);
  for (size_t i = 1; i <= count; i++) {
    snprintf(id, sizeof id, "n-%zu", LIST_ID_BASE + first + i);
    tmx_cbor_put_map(buffer, 6);
    tmx_cbor_put_text_field(buffer, W_ID, id);
    tmx_cbor_put_text_field(buffer, W_TYPE, "big");
    tmx_cbor_put_text_field(buffer, W_ZONE, "a");
    tmx_cbor_put_bool_field(buffer, W_SPOT, false);
    tmx_cbor_put_text_field(buffer, W_STATE, WV_BOOTING);
    tmx_cbor_put_double_field(buffer, W_AGE, cloud->listed_age_s);
  }
  tmx_cbor_put_bool_field(buffer, W_HAS_NEXT, remaining > count);
}

static void list_types(const struct fake_cloud *cloud, struct tmx_buffer *buffer) {
  tmx_cbor_put_map(buffer, 1);
  tmx_cbor_put_text(buffer, W_TYPES);
  tmx_cbor_put_array(buffer, 1);
  tmx_cbor_put_map(buffer, 10);
  tmx_cbor_put_text_field(buffer, W_NAME, "big");
  tmx_cbor_put_double_field(buffer, W_CPUS, 16);
  tmx_cbor_put_double_field(buffer, W_GPUS, 0);
  tmx_cbor_put_double_field(buffer, W_MEM, 64);
  tmx_cbor_put_double_field(buffer, W_CACHE_GB, 50);
  tmx_cbor_put_double_field(buffer, W_FETCH_RATE, 1);
  tmx_cbor_put_double_field(buffer, W_PRICE, 1);
  tmx_cbor_put_double_field(buffer, W_SPOT_PRICE, 0.4);
  tmx_cbor_put_double_field(buffer, W_BOOT_S, 30);
  tmx_cbor_put_text(buffer, W_ZONES);
  tmx_cbor_put_array(buffer, cloud->second_zone ? 2 : 1);
  tmx_cbor_put_text(buffer, "a");
  if (cloud->second_zone) tmx_cbor_put_text(buffer, cloud->second_zone);
}

static void refuse_rental(struct fake_cloud *cloud, struct tmx_http_request *request) {
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  tmx_cbor_get_text(map, W_ZONE, cloud->rental_zone, sizeof cloud->rental_zone);
  tmx_cbor_free(map);
  cloud->rentals++;
  tmx_http_reply(request, 503, NULL, 0);
}

static void delete_machines(struct fake_cloud *cloud, struct tmx_http_request *request) {
  if (cloud->refuse_delete) {
    tmx_http_reply(request, 503, NULL, 0);
    return;
  }
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  const cbor_item_t *list = tmx_cbor_get(map, W_MACHINES);
  for (size_t i = 0; i < tmx_cbor_array_length(list) && cloud->deletions < FAKE_CLOUD_DELETED_MAX;
       i++)
    tmx_cbor_as_text(tmx_cbor_array_at(list, i), cloud->deleted[cloud->deletions++], TMX_ID_BYTES);
  tmx_cbor_free(map);
  tmx_http_reply(request, 200, NULL, 0);
}

static void on_request(void *argument, struct tmx_http_request *request) {
  struct fake_cloud *cloud = argument;
  struct tmx_buffer buffer = {0};
  if (!strcmp(request->path, WP_TYPES)) {
    list_types(cloud, &buffer);
    tmx_http_reply(request, 200, &buffer, 0);
  } else if (!strcmp(request->path, WP_DELETE)) {
    delete_machines(cloud, request);
  } else if (request->method == HTTP_POST) {
    refuse_rental(cloud, request);
  } else {
    list_machines(cloud, request, &buffer);
    tmx_http_reply(request, 200, &buffer, 0);
  }
  tmx_buffer_free(&buffer);
}

void fake_cloud_open(void) {
  memset(&fake_cloud, 0, sizeof fake_cloud);
  fake_cloud.listed_age_s = 1;
  fake_cloud.server =
      tmx_http_server_new(test_loop, "127.0.0.1:0", 100, 60, on_request, &fake_cloud);
  assert_non_null(fake_cloud.server);
}

void fake_cloud_close(void) { tmx_http_server_free(fake_cloud.server); }
