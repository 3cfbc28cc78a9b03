/* Reads of the scripted store: at once, held back or delayed. */
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_loop.h"
#include "fake_store_internal.h"
#include "net/http.h"
#include "tmx/wire.h"

/* The answer of a read that was carried out before. */
struct delayed_answer {
  ev_timer timer;
  struct tmx_http_request *request;
  struct tmx_buffer body;
  struct delayed_answer *next;
};
static struct delayed_answer *delayed_answers;

static void on_delay_over(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)events;
  struct delayed_answer *answer = timer->data, **link = &delayed_answers;
  while (*link != answer) link = &(*link)->next;
  *link = answer->next;
  ev_timer_stop(loop, timer);
  tmx_http_reply(answer->request, 200, &answer->body, 0);
  tmx_buffer_free(&answer->body);
  free(answer);
}

void fake_store_answer_delayed_reads(void) {
  while (delayed_answers) on_delay_over(test_loop, &delayed_answers->timer, 0);
}

static void send_answer(const struct fake_endpoint *endpoint, struct tmx_http_request *request,
                        struct tmx_buffer *buffer) {
  if (endpoint->read_delay_s <= 0) {
    tmx_http_reply(request, 200, buffer, 0);
    return;
  }
  struct delayed_answer *answer = calloc(1, sizeof *answer);
  answer->request = request;
  tmx_buffer_append(&answer->body, buffer->data, buffer->length);
  answer->next = delayed_answers;
  delayed_answers = answer;
  ev_timer_init(&answer->timer, on_delay_over, endpoint->read_delay_s, 0);
  answer->timer.data = answer;
  ev_timer_start(test_loop, &answer->timer);
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
    fake_store_encode_entry(&items, W_KEY, entry->key, entry->value, entry->len, entry->version);
    count++;
  }
  tmx_cbor_put_map(&buffer, 3);
  tmx_cbor_put_text(&buffer, W_ITEMS);
  tmx_cbor_put_array(&buffer, count);
  tmx_buffer_append(&buffer, items.data, items.length);
  tmx_cbor_put_bool_field(&buffer, W_HAS_NEXT, more);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
  send_answer(endpoint, request, &buffer);
  tmx_buffer_free(&buffer);
  tmx_buffer_free(&items);
}

static bool must_be_held(const struct fake_endpoint *endpoint,
                         const struct tmx_http_request *request) {
  const char *from = start_key(request), *prefix = endpoint->hold_reads_from;
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
  endpoint->hold_reads_from[0] = 0;
  read_keys(endpoint, request);
}
