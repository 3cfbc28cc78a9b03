/* Requests to rent machines. A request without a response is retried under the same name, the
 * idempotency key. */
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "cloud/cloud_internal.h"
#include "net/cbor.h"
#include "tmx/wire.h"

enum { ATTEMPTS_MAX = 4, HTTP_OK = 200, HTTP_TOO_MANY_REQUESTS = 429, HTTP_UNAVAILABLE = 503 };

struct tmx_rental_request {
  struct tmx_cloud *cloud;
  char name[TMX_NAME_BYTES + 48]; /* the idempotency key */
  char type[TMX_ID_BYTES];
  int zone;
  bool spot;
  uint32_t count;
  int attempts;      /* failed attempts */
  double started_at; /* steady clock, s */
  struct tmx_rental_request *prev, *next;
};

static void free_request(struct tmx_rental_request *request) {
  DL_DELETE(request->cloud->rentals_in_flight, request);
  free(request);
}

static void add_rented_instance(struct tmx_rental_request *request, const char *id, double now) {
  struct tmx_instance *instance = tmx_inventory_find_or_add(&request->cloud->inventory, id);
  if (!instance->type[0]) {
    snprintf(instance->type, sizeof instance->type, "%s", request->type);
    instance->zone = request->zone;
    instance->spot = request->spot;
  }
  instance->rented_at = request->started_at;
  if (!instance->age_as_of) instance->age_as_of = now;
}

static void handle_grant(struct tmx_rental_request *request, const cbor_item_t *machines) {
  struct tmx_cloud *cloud = request->cloud;
  double now = tmx_clock_steady();
  uint32_t granted = 0;
  for (size_t i = 0; i < tmx_cbor_array_length(machines); i++) {
    char id[TMX_ID_BYTES];
    if (!tmx_cbor_as_text(tmx_cbor_array_at(machines, i), id, sizeof id)) continue;
    add_rented_instance(request, id, now);
    granted++;
  }
  tmx_log(TMX_LOG_INFO, "cloud: rented %u of %u machines of type %s in zone %s%s", granted,
          request->count, request->type, cloud->settings->zones[request->zone],
          request->spot ? ", spot" : "");
  if (granted < request->count)
    tmx_offer_back_off(&cloud->offer_backoffs, request->type, request->zone, request->spot,
                       tmx_clock_steady());
  else
    tmx_offer_reset_backoff(&cloud->offer_backoffs, request->type, request->zone, request->spot);
}

static void handle_refusal(struct tmx_rental_request *request, int status) {
  struct tmx_cloud *cloud = request->cloud;
  tmx_log(TMX_LOG_INFO, "cloud: rental of type %s in zone %s%s failed (HTTP status %d)",
          request->type, cloud->settings->zones[request->zone], request->spot ? ", spot" : "",
          status);
  if (status == HTTP_UNAVAILABLE || status == HTTP_OK)
    tmx_offer_back_off(&cloud->offer_backoffs, request->type, request->zone, request->spot,
                       tmx_clock_steady());
}

static void send_request(struct tmx_rental_request *request);

static void on_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_rental_request *request = arg;
  cbor_item_t *map = tmx_cbor_parse(body, length);
  if (status == HTTP_OK && map) {
    handle_grant(request, tmx_cbor_get(map, W_MACHINES));
    free_request(request);
  } else if ((status == 0 || status == HTTP_TOO_MANY_REQUESTS) &&
             ++request->attempts < ATTEMPTS_MAX && tmx_store_is_leader(request->cloud->store)) {
    /* The cloud grants a request only once per name, so the request is safe to retry if there was
     * no response or the rate limit was exceeded. */
    send_request(request);
  } else {
    handle_refusal(request, status);
    free_request(request);
  }
  tmx_cbor_free(map);
}

static void encode_request(struct tmx_buffer *buffer, const struct tmx_rental_request *request) {
  tmx_cbor_put_map(buffer, 5);
  tmx_cbor_put_text_field(buffer, W_REQUEST, request->name);
  tmx_cbor_put_text_field(buffer, W_TYPE, request->type);
  tmx_cbor_put_text_field(buffer, W_ZONE, request->cloud->settings->zones[request->zone]);
  tmx_cbor_put_bool_field(buffer, W_SPOT, request->spot);
  tmx_cbor_put_u64_field(buffer, W_COUNT, request->count);
}

static void send_request(struct tmx_rental_request *request) {
  struct tmx_cloud_api *api = request->cloud->api;
  struct tmx_buffer body = {0};
  encode_request(&body, request);
  bool sent = tmx_cloud_api_take_token(api) &&
              tmx_cloud_api_call(api, "POST", WP_MACHINES, &body, on_response, request);
  tmx_buffer_free(&body);
  if (!sent) free_request(request);
}

void tmx_cloud_rent(struct tmx_cloud *cloud, const struct tmx_machine_type *type, int zone,
                    bool spot, uint32_t count) {
  while (count) {
    struct tmx_rental_request *request = tmx_allocate(1, sizeof *request);
    request->cloud = cloud;
    request->zone = zone;
    request->spot = spot;
    request->count =
        count < TMX_RENTAL_REQUEST_MACHINES_MAX ? count : TMX_RENTAL_REQUEST_MACHINES_MAX;
    request->started_at = tmx_clock_steady();
    snprintf(request->type, sizeof request->type, "%s", type->name);
    /* The incarnation in the name is unique, so no other process ever uses the same name. */
    snprintf(request->name, sizeof request->name, "%s-%llu-%llu", cloud->settings->node_name,
             (unsigned long long)tmx_store_incarnation(cloud->store),
             (unsigned long long)++cloud->last_rental_number);
    count -= request->count;
    DL_APPEND(cloud->rentals_in_flight, request);
    send_request(request);
  }
}

void tmx_cloud_free_rentals(struct tmx_cloud *cloud) {
  while (cloud->rentals_in_flight) free_request(cloud->rentals_in_flight);
}
