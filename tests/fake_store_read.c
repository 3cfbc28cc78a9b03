/* Reads of the fake store: answered at once, held, or answered after a delay. */
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_loop.h"
#include "fake_store_internal.h"
#include "net/http.h"
#include "tmx/wire.h"

/* The response to a read that has already run, to be sent when the timer fires. */
struct delayed_response {
  ev_timer timer;
  struct tmx_http_request *request;
  struct tmx_buffer body;
  struct delayed_response *next;
};
static struct delayed_response *delayed_responses;

static void on_delay_expired(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)events;
  struct delayed_response *response = timer->data, **link = &delayed_responses;
  while (*link != response) link = &(*link)->next;
  *link = response->next;
  ev_timer_stop(loop, timer);
  tmx_http_reply(response->request, 200, &response->body, 0);
  tmx_buffer_free(&response->body);
  free(response);
}

void fake_store_answer_delayed_reads(void) {
  while (delayed_responses) on_delay_expired(test_loop, &delayed_responses->timer, 0);
}

static void send_response(const struct fake_endpoint *endpoint, struct tmx_http_request *request,
                          struct tmx_buffer *buffer) {
  if (endpoint->read_delay_s <= 0) {
    tmx_http_reply(request, 200, buffer, 0);
    return;
  }
  struct delayed_response *response = calloc(1, sizeof *response);
  response->request = request;
  tmx_buffer_append(&response->body, buffer->data, buffer->length);
  response->next = delayed_responses;
  delayed_responses = response;
  ev_timer_init(&response->timer, on_delay_expired, endpoint->read_delay_s, 0);
  response->timer.data = response;
  ev_timer_start(test_loop, &response->timer);
}

static const char *start_key(const struct tmx_http_request *request) {
  const char *from = strstr(request->path, "from=");
  return from ? from + strlen("from=") : NULL;
}

static void read_keys(struct fake_endpoint *endpoint, struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0}, items = {0};
  char prefix[128] = "", from[TMX_KEY_MAX + 1] = "";
  size_t count = 0;
  bool more = false;
  endpoint->reads++;
  sscanf(strstr(request->path, "prefix=") + strlen("prefix="), "%127[^&]", prefix);
  if (start_key(request)) sscanf(start_key(request), "%200[^&]", from);
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    const struct fake_entry *entry = &fake_store.entries[i];
    if (strncmp(entry->key, prefix, strlen(prefix))) continue;
    if (start_key(request) && strcmp(entry->key, from) <= 0) continue;
    more = endpoint->page_entries_max && count == endpoint->page_entries_max;
    if (more) break;
    fake_store_encode_entry(&items, W_KEY, entry->key, entry->value, entry->length, entry->version);
    count++;
  }
  tmx_cbor_put_map(&buffer, 3);
  tmx_cbor_put_text(&buffer, W_ITEMS);
  tmx_cbor_put_array(&buffer, count);
  tmx_buffer_append(&buffer, items.data, items.length);
  tmx_cbor_put_bool_field(&buffer, W_HAS_NEXT, more);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
  send_response(endpoint, request, &buffer);
  tmx_buffer_free(&buffer);
  tmx_buffer_free(&items);
}

static bool must_be_held(const struct fake_endpoint *endpoint,
                         const struct tmx_http_request *request) {
  const char *from = start_key(request), *prefix = endpoint->hold_reads_from_prefix;
  return from && prefix[0] && !strncmp(from, prefix, strlen(prefix));
}

void fake_store_answer_read(struct fake_endpoint *endpoint, struct tmx_http_request *request) {
  if (must_be_held(endpoint, request))
    endpoint->held_read = request;
  else
    read_keys(endpoint, request);
}

void fake_release_held_read(struct fake_endpoint *endpoint) {
  struct tmx_http_request *request = endpoint->held_read;
  endpoint->held_read = NULL;
  endpoint->hold_reads_from_prefix[0] = 0;
  read_keys(endpoint, request);
}
