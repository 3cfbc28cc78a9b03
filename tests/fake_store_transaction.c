/* Transactions of the fake store: rejected, applied, applied with a lost response, or stored to run
 * late. */
#include <stdlib.h>
#include <string.h>

#include "fake_store_internal.h"
#include "net/http.h"
#include "test.h"
#include "tmx/wire.h"

static void reply_revision(struct tmx_http_request *request, int status) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
  tmx_http_reply(request, status, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static void reply_no_lease(struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_text_field(&buffer, "error", WV_NO_LEASE);
  tmx_http_reply(request, 400, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static bool has_prefix(const char *key, const char *prefix) {
  return !strncmp(key, prefix, strlen(prefix));
}

static bool writes_key_with_prefix(const cbor_item_t *operations, const char *prefix) {
  char key[TMX_KEY_MAX + 1];
  for (size_t i = 0; i < tmx_cbor_array_length(operations); i++)
    if (tmx_cbor_get_text(tmx_cbor_array_at(operations, i), W_PUT, key, sizeof key) &&
        has_prefix(key, prefix))
      return true;
  return false;
}

static bool uses_expired_lease(const cbor_item_t *operations) {
  uint64_t lease;
  for (size_t i = 0; i < tmx_cbor_array_length(operations); i++)
    if (tmx_cbor_get_u64(tmx_cbor_array_at(operations, i), W_LEASE, &lease) && lease &&
        fake_store_lease_expired(lease))
      return true;
  return false;
}

static bool conditions_hold(const cbor_item_t *conditions) {
  char key[TMX_KEY_MAX + 1];
  for (size_t i = 0; i < tmx_cbor_array_length(conditions); i++) {
    uint64_t version = 0;
    assert_true(tmx_cbor_get_text(tmx_cbor_array_at(conditions, i), W_KEY, key, sizeof key));
    assert_true(tmx_cbor_get_u64(tmx_cbor_array_at(conditions, i), W_VERSION, &version));
    const struct fake_entry *entry = fake_store_find(key);
    if ((entry ? entry->version : 0) != version) return false;
  }
  return true;
}

static void write_value(const char *key, const cbor_item_t *value, uint64_t lease) {
  unsigned char *encoded = NULL;
  size_t capacity, length = cbor_serialize_alloc(value, &encoded, &capacity);
  fake_store_write(key, encoded, length, lease);
  free(encoded);
}

/* Returns whether the response to the transaction must be lost. */
static bool apply_operations(const struct fake_endpoint *endpoint, const cbor_item_t *operations) {
  char key[TMX_KEY_MAX + 1];
  bool lose_response = false;
  for (size_t i = 0; i < tmx_cbor_array_length(operations); i++) {
    const cbor_item_t *operation = tmx_cbor_array_at(operations, i);
    uint64_t lease = 0;
    tmx_cbor_get_u64(operation, W_LEASE, &lease);
    if (tmx_cbor_get_text(operation, W_PUT, key, sizeof key)) {
      assert_int_equal(cbor_map_size(operation), lease ? 3 : 2); /* a put has no other fields */
      write_value(key, tmx_cbor_get(operation, W_VALUE), lease);
      lose_response |= endpoint->lose_next_response && has_prefix(key, endpoint->lost_response_key);
    } else if (tmx_cbor_get_text(operation, W_DELETE, key, sizeof key)) {
      fake_store_remove(key);
    }
  }
  return lose_response;
}

/* The client cannot tell from status 500 whether the transaction was applied. */
static void lose_response(struct fake_endpoint *endpoint, struct tmx_http_request *request) {
  endpoint->lose_next_response = false;
  if (endpoint->withhold_lost_response && !endpoint->withheld_request)
    endpoint->withheld_request = request;
  else
    tmx_http_reply(request, 500, NULL, 0);
}

static void store_late_transaction(struct fake_endpoint *endpoint, struct tmx_http_request *request,
                                   const uint8_t *body, size_t length) {
  endpoint->next_transaction_is_late = false;
  endpoint->late_transaction_body = malloc(length);
  memcpy(endpoint->late_transaction_body, body, length);
  endpoint->late_transaction_length = length;
  tmx_http_reply(request, 500, NULL, 0);
}

int fake_store_transact(struct fake_endpoint *endpoint, struct tmx_http_request *request,
                        const uint8_t *body, size_t length) {
  cbor_item_t *map = tmx_cbor_parse(body, length);
  assert_non_null(map);
  const cbor_item_t *operations = tmx_cbor_get(map, W_THEN);
  int status;
  if (fake_store_is_oversized(operations)) {
    fake_store.oversized_transactions++;
    if (request) tmx_http_reply(request, 400, NULL, 0);
    status = 400;
  } else if (request && endpoint->next_transaction_is_late &&
             writes_key_with_prefix(operations, endpoint->late_transaction_key)) {
    store_late_transaction(endpoint, request, body, length);
    status = 0;
  } else if (!conditions_hold(tmx_cbor_get(map, W_IF))) {
    fake_store.conflicts++;
    if (request) reply_revision(request, 409);
    status = 409;
  } else if (uses_expired_lease(operations)) {
    fake_store.expired_lease_refusals++;
    if (request) reply_no_lease(request);
    status = 400;
  } else {
    fake_store.revision++;
    fake_store.commits++;
    bool lost = apply_operations(endpoint, operations);
    if (request && lost)
      lose_response(endpoint, request);
    else if (request)
      reply_revision(request, 200);
    fake_store_serve_watches();
    status = 200;
  }
  tmx_cbor_free(map);
  return status;
}

int fake_execute_late_transaction(struct fake_endpoint *endpoint) {
  if (!endpoint->late_transaction_body) return 0;
  int status = fake_store_transact(endpoint, NULL, endpoint->late_transaction_body,
                                   endpoint->late_transaction_length);
  free(endpoint->late_transaction_body);
  endpoint->late_transaction_body = NULL;
  return status;
}
