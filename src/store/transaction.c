/* Builds transactions, sends them and interprets the responses. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/log.h"
#include "base/memory.h"
#include "store/store_internal.h"
#include "tmx/wire.h"

/** A sent transaction. It is in the client's list until its response arrives. */
struct pending_transaction {
  struct tmx_store *store;
  struct pending_transaction *prev, *next;
  tmx_transaction_cb callback; /**< may be NULL */
  void *arg;
  uint64_t lease_id; /**< the client's lease when the transaction was sent */
};

void tmx_transaction_require_version(struct tmx_transaction *transaction, const char *key,
                                     uint64_t version) {
  tmx_cbor_put_map(&transaction->conditions, 2);
  tmx_cbor_put_text_field(&transaction->conditions, W_KEY, key);
  tmx_cbor_put_u64_field(&transaction->conditions, W_VERSION, version);
  transaction->n_conditions++;
}

void tmx_transaction_put(struct tmx_transaction *transaction, const char *key,
                         const struct tmx_buffer *value, uint64_t lease) {
  tmx_cbor_put_map(&transaction->operations, lease ? 3 : 2);
  tmx_cbor_put_text_field(&transaction->operations, W_PUT, key);
  tmx_cbor_put_text(&transaction->operations, W_VALUE);
  tmx_buffer_append(&transaction->operations, value->data, value->length);
  if (lease) tmx_cbor_put_u64_field(&transaction->operations, W_LEASE, lease);
  transaction->n_operations++;
}

void tmx_transaction_delete(struct tmx_transaction *transaction, const char *key) {
  tmx_cbor_put_map(&transaction->operations, 1);
  tmx_cbor_put_text_field(&transaction->operations, W_DELETE, key);
  transaction->n_operations++;
}

void tmx_transaction_advance_head(struct tmx_transaction *transaction, const char *by) {
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "by", by);
  tmx_transaction_put(transaction, TMX_KEY_HEAD, &value, 0);
  tmx_buffer_free(&value);
}

/* A status that does not rule out execution is TMX_TRANSACTION_UNKNOWN: the store may have executed
 * the transaction or may execute it later. */
static enum tmx_transaction_result result_of(int status, uint64_t revision) {
  switch (status) {
    case TMX_STATUS_OK:
      return revision ? TMX_TRANSACTION_COMMITTED : TMX_TRANSACTION_UNKNOWN;
    case TMX_STATUS_CONFLICT:
      return TMX_TRANSACTION_CONFLICT;
    case TMX_STATUS_NOT_CONNECTED:
    case TMX_STATUS_BAD_REQUEST:
    case TMX_STATUS_NOT_FOUND:
    case TMX_STATUS_TOO_MANY_REQUESTS:
    case TMX_STATUS_UNAVAILABLE:
      return TMX_TRANSACTION_NOT_EXECUTED;
    default:
      return TMX_TRANSACTION_UNKNOWN;
  }
}

/* The store accepts no puts under an expired lease, so the client replaces the lease without
 * waiting for a renewal to fail. If the lease was replaced after the transaction was sent, only the
 * transaction has failed. */
static void handle_bad_request(const struct pending_transaction *pending, const char *error) {
  struct tmx_store *store = pending->store;
  if (!strcmp(error, WV_NO_LEASE) && pending->lease_id == store->lease.id)
    tmx_lease_handle_expiry(store);
  else
    tmx_log(TMX_LOG_ERROR, "state: the store refused a transaction: %s", error);
}

static void remove_pending(struct pending_transaction *pending) {
  DL_DELETE(pending->store->pending_transactions, pending);
  free(pending);
}

void tmx_transactions_discard(struct tmx_store *store) {
  while (store->pending_transactions) remove_pending(store->pending_transactions);
}

static void on_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct pending_transaction *pending = arg;
  cbor_item_t *response = tmx_cbor_parse(body, length);
  uint64_t revision = 0;
  char error[128] = "?";
  if (response) {
    tmx_cbor_get_u64(response, W_REVISION, &revision);
    tmx_cbor_get_text(response, "error", error, sizeof error);
    tmx_cbor_free(response);
  }
  if (status == TMX_STATUS_BAD_REQUEST) handle_bad_request(pending, error);
  if (status == TMX_STATUS_TOO_MANY_REQUESTS) { /* other controllers exceeded their share */
    tmx_write_budget_exhaust(&pending->store->write_budget);
    tmx_log(TMX_LOG_INFO, "state: the store refused a transaction: write rate exceeded");
  }
  if (pending->callback) pending->callback(pending->arg, result_of(status, revision), revision);
  remove_pending(pending);
}

static void encode_transaction(struct tmx_buffer *body, const struct tmx_transaction *transaction) {
  tmx_cbor_put_map(body, 2);
  tmx_cbor_put_text(body, W_IF);
  tmx_cbor_put_array(body, (size_t)transaction->n_conditions);
  tmx_buffer_append(body, transaction->conditions.data, transaction->conditions.length);
  tmx_cbor_put_text(body, W_THEN);
  tmx_cbor_put_array(body, (size_t)transaction->n_operations);
  tmx_buffer_append(body, transaction->operations.data, transaction->operations.length);
}

/* Returns whether the transaction was sent; if not, the callback is not called. */
static bool send_transaction(struct tmx_store *store, const struct tmx_transaction *transaction,
                             tmx_transaction_cb callback, void *arg) {
  struct tmx_buffer body = {0};
  struct pending_transaction *pending = tmx_allocate(1, sizeof *pending);
  *pending = (struct pending_transaction){
      .store = store, .callback = callback, .arg = arg, .lease_id = store->lease.id};
  encode_transaction(&body, transaction);
  bool sent = tmx_http_client_call(store->request_connections, "POST", WP_TXN, &body,
                                   TMX_STORE_TIMEOUT_S, on_response, pending);
  if (sent)
    DL_APPEND(store->pending_transactions, pending);
  else
    free(pending);
  tmx_buffer_free(&body);
  return sent;
}

bool tmx_store_commit(struct tmx_store *store, struct tmx_transaction *transaction, bool urgent,
                      tmx_transaction_cb callback, void *arg) {
  struct tmx_write_budget *budget = tmx_store_refill_write_budget(store);
  bool sent = false;
  if (urgent || budget->member_tokens >= transaction->n_operations) {
    struct tmx_write_share share = tmx_store_write_share(store);
    tmx_write_budget_consume(budget, &share, transaction->n_operations);
    sent = send_transaction(store, transaction, callback, arg);
  }
  tmx_buffer_free(&transaction->conditions);
  tmx_buffer_free(&transaction->operations);
  return sent;
}
