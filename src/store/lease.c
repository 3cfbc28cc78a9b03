/* Requests and renews the lease to which this controller's member and leader keys are attached. */
#include <stdio.h>

#include "base/log.h"
#include "store/store_internal.h"
#include "tmx/wire.h"

void tmx_lease_init(struct tmx_lease *lease) { lease->attempted_at = -TMX_LEASE_RENEWAL_PERIOD_S; }

void tmx_lease_handle_expiry(struct tmx_store *store) {
  tmx_log(TMX_LOG_INFO, "state: the lease expired, registering again");
  store->lease.id = 0;
  store->registration.incarnation = 0;
  tmx_lease_init(&store->lease); /* makes the next request due immediately */
}

static void on_granted(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_store *store = arg;
  cbor_item_t *response = status == TMX_STATUS_OK ? tmx_cbor_parse(body, length) : NULL;
  uint64_t id;
  store->lease.request_in_flight = false;
  if (response && tmx_cbor_get_u64(response, W_LEASE, &id)) {
    store->lease.id = id;
    tmx_registration_restart(&store->registration);
  }
  tmx_cbor_free(response);
  tmx_store_tick(store);
}

/* An expired lease is replaced. After any other error the next periodic renewal is the retry. */
static void on_renewed(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_store *store = arg;
  (void)body;
  (void)length;
  store->lease.request_in_flight = false;
  if (status == TMX_STATUS_NOT_FOUND) tmx_lease_handle_expiry(store);
}

static void request_lease(struct tmx_store *store) {
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 1);
  tmx_cbor_put_u64_field(&body, W_TTL, TMX_LEASE_TTL_MS);
  store->lease.request_in_flight = tmx_http_client_call(
      store->request_connections, "POST", WP_LEASES, &body, TMX_STORE_TIMEOUT_S, on_granted, store);
  tmx_buffer_free(&body);
}

static void renew_lease(struct tmx_store *store) {
  struct tmx_buffer body = {0};
  char path[128];
  tmx_cbor_put_map(&body, 0);
  snprintf(path, sizeof path, WP_LEASES "/%llu" WP_RENEW, (unsigned long long)store->lease.id);
  store->lease.request_in_flight = tmx_http_client_call(
      store->request_connections, "POST", path, &body, TMX_STORE_TIMEOUT_S, on_renewed, store);
  tmx_buffer_free(&body);
}

void tmx_lease_maintain(struct tmx_store *store, double now) {
  struct tmx_lease *lease = &store->lease;
  double period = lease->id ? TMX_LEASE_RENEWAL_PERIOD_S : TMX_STORE_RETRY_DELAY_S;
  if (lease->request_in_flight || now - lease->attempted_at < period) return;
  lease->attempted_at = now;
  if (lease->id)
    renew_lease(store);
  else
    request_lease(store);
}
