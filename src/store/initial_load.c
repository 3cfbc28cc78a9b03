/* The initial load: reads all keys of the store in pages and loads them into the replica. */
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "store/store_internal.h"
#include "tmx/wire.h"

void tmx_initial_load_reset(struct tmx_initial_load *load) {
  for (size_t i = 0; i < load->n_entries; i++) free(load->entries[i].key);
  for (size_t i = 0; i < load->n_pages; i++) tmx_cbor_free(load->pages[i]);
  free(load->entries);
  free(load->pages);
  *load = (struct tmx_initial_load){0};
}

static void restart_later(struct tmx_store *store) {
  tmx_initial_load_reset(&store->load);
  tmx_watch_schedule(store, TMX_STORE_RETRY_DELAY_S);
}

/* Keeps the page until the load ends, as the page owns the values of its entries. */
static void append_page(struct tmx_initial_load *load, cbor_item_t *page) {
  load->pages = tmx_grow(load->pages, &load->cap_pages, load->n_pages + 1, sizeof *load->pages);
  load->pages[load->n_pages++] = page;
}

static void append_entries(struct tmx_initial_load *load, const cbor_item_t *items) {
  for (size_t i = 0; i < tmx_cbor_array_length(items); i++) {
    const cbor_item_t *item = tmx_cbor_array_at(items, i);
    char key[TMX_PATH_BYTES];
    uint64_t version;
    if (!tmx_cbor_get_text(item, W_KEY, key, sizeof key) ||
        !tmx_cbor_get_u64(item, W_VERSION, &version))
      continue;
    load->entries =
        tmx_grow(load->entries, &load->cap_entries, load->n_entries + 1, sizeof *load->entries);
    load->entries[load->n_entries++] = (struct tmx_store_entry){
        .key = tmx_copy_text(key), .version = version, .value = tmx_cbor_get(item, W_VALUE)};
    snprintf(load->last_key, sizeof load->last_key, "%s", key);
  }
}

/* Each page is read at a different revision. Therefore the watch starts at the first page's
 * revision and applies the events since then again. The replica is consistent only from the last
 * page's revision on. */
static void finish_load(struct tmx_store *store, uint64_t last_page_revision) {
  struct tmx_replica *replica = store->replica;
  struct tmx_initial_load *load = &store->load;
  uint64_t first_page_revision = load->first_page_revision;
  tmx_replica_clear(replica);
  replica->now = tmx_clock_steady();
  replica->load_revision = last_page_revision;
  tmx_replica_load(replica, load->entries, load->n_entries);
  tmx_log(TMX_LOG_INFO, "state: %zu keys read at revision %llu", load->n_entries,
          (unsigned long long)last_page_revision);
  tmx_initial_load_reset(load);
  tmx_replica_advance_to(replica, first_page_revision);
  tmx_watch_poll(store);
}

static void on_page(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_store *store = arg;
  struct tmx_initial_load *load = &store->load;
  load->in_flight = false;
  cbor_item_t *page = status == TMX_STATUS_OK ? tmx_cbor_parse(body, length) : NULL;
  uint64_t revision;
  if (!page || !tmx_cbor_get_u64(page, W_REVISION, &revision)) {
    tmx_cbor_free(page);
    restart_later(store);
    return;
  }
  if (!load->first_page_revision) load->first_page_revision = revision;
  const cbor_item_t *items = tmx_cbor_get(page, W_ITEMS);
  bool has_next = false;
  tmx_cbor_get_bool(page, W_HAS_NEXT, &has_next);
  append_page(load, page);
  append_entries(load, items);
  if (has_next && tmx_cbor_array_length(items))
    tmx_initial_load_request_page(store);
  else
    finish_load(store, revision);
}

void tmx_initial_load_request_page(struct tmx_store *store) {
  struct tmx_initial_load *load = &store->load;
  char path[TMX_PATH_BYTES + 64];
  if (load->in_flight) return;
  snprintf(path, sizeof path, WP_KV "?prefix=" TMX_KEY_PREFIX "%s%s&page=1000",
           load->last_key[0] ? "&from=" : "", load->last_key);
  load->in_flight = tmx_http_client_call(store->request_connections, "GET", path, NULL,
                                         TMX_STORE_TIMEOUT_S * 2, on_page, store);
  if (!load->in_flight) restart_later(store);
}
