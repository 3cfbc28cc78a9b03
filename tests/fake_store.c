#include "fake_store_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_loop.h"
#include "net/http.h"
#include "test.h"
#include "tmx/wire.h"

struct fake_store fake_store;
void (*fake_on_write)(const char *key, const uint8_t *value, size_t length);

struct fake_entry *fake_store_find(const char *key) {
  for (size_t i = 0; i < fake_store.n_entries; i++)
    if (!strcmp(fake_store.entries[i].key, key)) return &fake_store.entries[i];
  return NULL;
}

const struct fake_entry *fake_get(const char *key) { return fake_store_find(key); }

static uint8_t *copy_value(const uint8_t *value, size_t length) {
  uint8_t *copy = malloc(length);
  memcpy(copy, value, length);
  return copy;
}

/* Records a change. `value` is NULL if the key was deleted. */
static void add_event(const char *key, const uint8_t *value, size_t length) {
  fake_store.events =
      realloc(fake_store.events, (fake_store.n_events + 1) * sizeof *fake_store.events);
  struct fake_event *event = &fake_store.events[fake_store.n_events++];
  memset(event, 0, sizeof *event);
  snprintf(event->key, sizeof event->key, "%s", key);
  event->version = fake_store.revision;
  if (!value) return;
  event->value = copy_value(value, length);
  event->length = length;
}

/* Inserts an entry without a value at its place in the key order. */
static struct fake_entry *add_entry(const char *key) {
  fake_store.entries =
      realloc(fake_store.entries, (fake_store.n_entries + 1) * sizeof *fake_store.entries);
  size_t index = fake_store.n_entries++;
  while (index && strcmp(fake_store.entries[index - 1].key, key) > 0) {
    fake_store.entries[index] = fake_store.entries[index - 1];
    index--;
  }
  struct fake_entry *entry = &fake_store.entries[index];
  memset(entry, 0, sizeof *entry);
  snprintf(entry->key, sizeof entry->key, "%s", key);
  return entry;
}

void fake_store_write(const char *key, const uint8_t *value, size_t length, uint64_t lease) {
  struct fake_entry *entry = fake_store_find(key);
  if (!entry) entry = add_entry(key);
  free(entry->value);
  entry->value = copy_value(value, length);
  entry->length = length;
  entry->version = fake_store.revision;
  entry->lease = lease;
  add_event(key, value, length);
  if (fake_on_write) fake_on_write(key, value, length);
}

void fake_store_remove(const char *key) {
  struct fake_entry *entry = fake_store_find(key);
  if (!entry) return;
  const struct fake_entry *end = fake_store.entries + fake_store.n_entries;
  free(entry->value);
  memmove(entry, entry + 1, (size_t)(end - entry - 1) * sizeof *entry);
  fake_store.n_entries--;
  add_event(key, NULL, 0);
}

void fake_store_encode_entry(struct tmx_buffer *buffer, const char *field, const char *stored_key,
                             const uint8_t *value, size_t length, uint64_t version) {
  tmx_cbor_put_map(buffer, value ? 3 : 2);
  tmx_cbor_put_text_field(buffer, field, stored_key);
  if (value) {
    tmx_cbor_put_text(buffer, W_VALUE);
    tmx_buffer_append(buffer, value, length);
  }
  tmx_cbor_put_u64_field(buffer, W_VERSION, version);
}

/* Whether the watch stays pending. A watch with a closed connection is completed to free it. */
static bool is_watch_pending(const struct fake_watch *watch) {
  const struct fake_endpoint *endpoint = &fake_store.endpoints[watch->endpoint];
  if (!watch->request->conn) return false;
  return watch->from_revision >= fake_store.revision || endpoint->hold_watches ||
         endpoint->unavailable;
}

static void complete_watch(const struct fake_watch *watch) {
  struct tmx_buffer buffer = {0}, changes = {0};
  size_t count = 0;
  for (size_t i = 0; i < fake_store.n_events; i++) {
    const struct fake_event *event = &fake_store.events[i];
    if (event->version <= watch->from_revision) continue;
    fake_store_encode_entry(&changes, event->value ? W_PUT : W_DELETE, event->key, event->value,
                            event->length, event->version);
    count++;
  }
  tmx_cbor_put_map(&buffer, 2);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
  tmx_cbor_put_text(&buffer, W_EVENTS);
  tmx_cbor_put_array(&buffer, count);
  tmx_buffer_append(&buffer, changes.data, changes.length);
  tmx_http_reply(watch->request, 200, &buffer, 0);
  tmx_buffer_free(&buffer);
  tmx_buffer_free(&changes);
}

void fake_store_serve_watches(void) {
  for (size_t i = 0; i < fake_store.n_watches;) {
    struct fake_watch watch = fake_store.watches[i];
    if (is_watch_pending(&watch)) {
      i++;
      continue;
    }
    fake_store.watches[i] = fake_store.watches[--fake_store.n_watches];
    complete_watch(&watch);
  }
}

void fake_answer_pending_watches(void) {
  fake_store.revision++;
  fake_store_serve_watches();
}

void fake_put(const char *key, const struct tmx_buffer *value) {
  fake_store.revision++;
  fake_store_write(key, value->data, value->length, 0);
  fake_store_serve_watches();
}

void fake_delete(const char *key) {
  fake_store.revision++;
  fake_store_remove(key);
  fake_store_serve_watches();
}

static bool path_has_prefix(const struct tmx_http_request *request, const char *prefix) {
  return !strncmp(request->path, prefix, strlen(prefix));
}

static void accept_watch(struct fake_endpoint *endpoint, struct tmx_http_request *request) {
  if (endpoint->expire_next_watch) {
    endpoint->expire_next_watch = false;
    tmx_http_reply(request, 410, NULL, 0);
    return;
  }
  const char *from = strstr(request->path, "from=");
  assert_in_range(fake_store.n_watches, 0, FAKE_WATCHES_MAX - 1);
  fake_store.watches[fake_store.n_watches++] =
      (struct fake_watch){.request = request,
                          .from_revision = strtoull(from + strlen("from="), NULL, 10),
                          .endpoint = (int)(endpoint - fake_store.endpoints)};
  fake_store_serve_watches();
}

static void on_request(void *argument, struct tmx_http_request *request) {
  struct fake_endpoint *endpoint = argument;
  if (path_has_prefix(request, WP_WATCH))
    accept_watch(endpoint, request);
  else if (endpoint->unavailable)
    tmx_http_reply(request, 503, NULL, 0);
  else if (!strcmp(request->path, WP_TXN))
    fake_store_transact(endpoint, request, request->body, request->body_len);
  else if (path_has_prefix(request, WP_LEASES))
    fake_store_answer_lease(request);
  else
    fake_store_answer_read(endpoint, request);
}

void fake_store_open(void) {
  memset(&fake_store, 0, sizeof fake_store);
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++) {
    struct fake_endpoint *endpoint = &fake_store.endpoints[i];
    endpoint->store = &fake_store;
    endpoint->server = tmx_http_server_new(test_loop, "127.0.0.1:0", 200, 60, on_request, endpoint);
    assert_non_null(endpoint->server);
  }
}

void fake_store_close(void) {
  fake_store_answer_delayed_reads();
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++) {
    struct tmx_http_request *withheld = fake_store.endpoints[i].withheld_request;
    if (withheld) tmx_http_reply(withheld, 500, NULL, 0);
  }
  for (size_t i = 0; i < fake_store.n_watches; i++)
    tmx_http_reply(fake_store.watches[i].request, 503, NULL, 0);
  fake_store.n_watches = 0;
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++) {
    tmx_http_server_free(fake_store.endpoints[i].server);
    free(fake_store.endpoints[i].late_transaction_body);
  }
  for (size_t i = 0; i < fake_store.n_entries; i++) free(fake_store.entries[i].value);
  for (size_t i = 0; i < fake_store.n_events; i++) free(fake_store.events[i].value);
  free(fake_store.entries);
  free(fake_store.events);
  free(fake_store.lease_expires_at);
  memset(&fake_store, 0, sizeof fake_store);
}
