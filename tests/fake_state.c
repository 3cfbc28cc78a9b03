/* The scripted state service. */
#include "fake_internal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"

struct fake_state fake_store;
void (*fake_on_write)(const char *key, const uint8_t *value, size_t len);

static struct fake_entry *find(const char *key) {
  for (size_t i = 0; i < fake_store.n_entries; i++)
    if (!strcmp(fake_store.entries[i].key, key)) return &fake_store.entries[i];
  return NULL;
}
const struct fake_entry *fake_get(const char *key) { return find(key); }

static void event(const char *key, const uint8_t *v, size_t len) {
  fake_store.events =
      realloc(fake_store.events, (fake_store.n_events + 1) * sizeof *fake_store.events);
  struct fake_event *e = &fake_store.events[fake_store.n_events++];
  memset(e, 0, sizeof *e);
  snprintf(e->key, sizeof e->key, "%s", key);
  e->version = fake_store.revision;
  if (v) {
    e->value = malloc(len);
    memcpy(e->value, v, len);
    e->len = len;
  }
}
static void put(const char *key, const uint8_t *v, size_t len, uint64_t lease) {
  struct fake_entry *e = find(key);
  if (!e) {
    fake_store.entries =
        realloc(fake_store.entries, (fake_store.n_entries + 1) * sizeof *fake_store.entries);
    size_t at = fake_store.n_entries++;
    while (at && strcmp(fake_store.entries[at - 1].key, key) > 0) {
      fake_store.entries[at] = fake_store.entries[at - 1];
      at--;
    }
    e = &fake_store.entries[at];
    memset(e, 0, sizeof *e);
    snprintf(e->key, sizeof e->key, "%s", key);
  }
  free(e->value);
  e->value = malloc(len);
  memcpy(e->value, v, len);
  e->len = len;
  e->version = fake_store.revision;
  e->lease = lease;
  event(key, v, len);
  if (fake_on_write) fake_on_write(key, v, len);
}
static void drop(const char *key) {
  struct fake_entry *e = find(key);
  if (!e) return;
  free(e->value);
  memmove(e, e + 1, (size_t)(fake_store.entries + fake_store.n_entries - e - 1) * sizeof *e);
  fake_store.n_entries--;
  event(key, NULL, 0);
}

static void w_entry(struct tmx_buffer *buffer, const char *name, const char *key, const uint8_t *v,
                    size_t len, uint64_t version) {
  tmx_cbor_put_map(buffer, v ? 3 : 2);
  tmx_cbor_put_text_field(buffer, name, key);
  if (v) {
    tmx_cbor_put_text(buffer, W_VALUE);
    tmx_buffer_append(buffer, v, len);
  }
  tmx_cbor_put_u64_field(buffer, W_VERSION, version);
}

static void serve_watches(void) {
  for (size_t i = 0; i < fake_store.n_watches;) {
    struct fake_watch *w = &fake_store.watches[i];
    const struct fake_endpoint *endpoint = &fake_store.endpoints[w->door];
    if (w->req->conn &&
        (w->from >= fake_store.revision || endpoint->freeze_watch || endpoint->refuse)) {
      i++;
      continue;
    }
    struct tmx_buffer buffer = {0}, l = {0};
    size_t n = 0;
    for (size_t k = 0; k < fake_store.n_events; k++) {
      const struct fake_event *e = &fake_store.events[k];
      if (e->version <= w->from) continue;
      w_entry(&l, e->value ? W_PUT : W_DROP, e->key, e->value, e->len, e->version);
      n++;
    }
    tmx_cbor_put_map(&buffer, 2);
    tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
    tmx_cbor_put_text(&buffer, W_EVENTS);
    tmx_cbor_put_list(&buffer, n);
    tmx_buffer_append(&buffer, l.data, l.length);
    struct tmx_http_request *request = w->req;
    fake_store.watches[i] = fake_store.watches[--fake_store.n_watches];
    tmx_http_reply(request, 200, &buffer, 0);
    tmx_buffer_free(&buffer);
    tmx_buffer_free(&l);
  }
}

void fake_free_watches(void) {
  fake_store.revision++;
  serve_watches();
}

void fake_put(const char *key, const struct tmx_buffer *value) {
  fake_store.revision++;
  put(key, value->data, value->length, 0);
  serve_watches();
}

void fake_drop(const char *key) {
  fake_store.revision++;
  drop(key);
  serve_watches();
}

static void reply_rev(struct tmx_http_request *request, int status) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
  tmx_http_reply(request, status, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static void reencode(const cbor_item_t *value, struct tmx_buffer *buffer) {
  unsigned char *out = NULL;
  size_t cap, n = cbor_serialize_alloc(value, &out, &cap);
  tmx_buffer_append(buffer, out, n);
  free(out);
}

/* The length of a value as the real service counts it. */
static json_t *as_json(const cbor_item_t *item) {
  char text[4096];
  uint64_t u;
  double num;
  bool yes;
  if (tmx_cbor_as_text(item, text, sizeof text)) return json_string(text);
  if (tmx_cbor_as_u64(item, &u)) return json_integer((json_int_t)u);
  if (tmx_cbor_as_number(item, &num)) return json_real(num);
  if (tmx_cbor_as_bool(item, &yes)) return json_boolean(yes);
  if (cbor_isa_array(item)) {
    json_t *a = json_array();
    for (size_t i = 0; i < tmx_cbor_list_length(item); i++)
      json_array_append_new(a, as_json(tmx_cbor_list_at(item, i)));
    return a;
  }
  if (!cbor_isa_map(item)) return json_null();
  json_t *o = json_object();
  for (size_t i = 0; i < cbor_map_size(item); i++)
    if (tmx_cbor_as_text(cbor_map_handle(item)[i].key, text, sizeof text))
      json_object_set_new(o, text, as_json(cbor_map_handle(item)[i].value));
  return o;
}
static size_t json_size(const cbor_item_t *item) {
  json_t *j = as_json(item);
  char *text = json_dumps(j, JSON_COMPACT | JSON_ENCODE_ANY);
  assert_non_null(text);
  size_t n = strlen(text);
  free(text);
  json_decref(j);
  return n;
}

static bool too_large(const cbor_item_t *then) {
  if (fake_store.txn_max && tmx_cbor_list_length(then) > fake_store.txn_max) return true;
  for (size_t i = 0; fake_store.value_max && i < tmx_cbor_list_length(then); i++) {
    const cbor_item_t *value = tmx_cbor_get(tmx_cbor_list_at(then, i), W_VALUE);
    if (value && json_size(value) > fake_store.value_max) return true;
  }
  return false;
}

static bool writes(const cbor_item_t *then, const char *prefix) {
  char key[TMX_KEY_MAX + 1];
  for (size_t i = 0; i < tmx_cbor_list_length(then); i++)
    if (tmx_cbor_get_text(tmx_cbor_list_at(then, i), W_PUT, key, sizeof key) &&
        !strncmp(key, prefix, strlen(prefix)))
      return true;
  return false;
}

static bool is_over(uint64_t lease) {
  if (lease <= fake_store.lapsed) return true;
  return fake_store.lease_until && fake_store.lease_until[lease] < tmx_clock_steady();
}

enum { LEASES_MAX = 4096 };

static void renew(uint64_t lease) {
  if (fake_store.lease_until && lease < LEASES_MAX)
    fake_store.lease_until[lease] = tmx_clock_steady() + TMX_LEASE_TTL_MS / 1000.0;
}

void fake_enforce_leases(void) {
  if (!fake_store.lease_until) {
    fake_store.lease_until = calloc(LEASES_MAX, sizeof *fake_store.lease_until);
    for (uint64_t i = 0; i <= fake_store.leases; i++) renew(i);
  }
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    if (!fake_store.entries[i].lease || !is_over(fake_store.entries[i].lease)) continue;
    char key[TMX_KEY_MAX + 1];
    memcpy(key, fake_store.entries[i].key, sizeof key);
    fake_drop(key);
    return; /* the next one at the next call */
  }
}

static void answer_lease(struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0};
  uint64_t lease = strtoull(
      request->path + strlen(WP_LEASES) + (request->path[strlen(WP_LEASES)] == '/'), NULL, 10);
  if (lease && fake_store.lease_until && is_over(lease)) {
    tmx_http_reply(request, 404, NULL, 0);
    return;
  }
  if (!lease) lease = ++fake_store.leases;
  renew(lease);
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_u64_field(&buffer, W_LEASE, lease);
  tmx_http_reply(request, 200, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static bool uses_lapsed(const cbor_item_t *then) {
  uint64_t lease;
  for (size_t i = 0; i < tmx_cbor_list_length(then); i++)
    if (tmx_cbor_get_u64(tmx_cbor_list_at(then, i), W_LEASE, &lease) && lease && is_over(lease))
      return true;
  return false;
}

/* q NULL: late, nobody waits for its answer. */
static int txn(struct fake_endpoint *endpoint, struct tmx_http_request *request,
               const uint8_t *body, size_t len) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  const cbor_item_t *cond = tmx_cbor_get(map, W_IF), *then = tmx_cbor_get(map, W_THEN);
  char key[TMX_KEY_MAX + 1];
  bool lose = false;
  assert_non_null(map);
  if (too_large(then)) {
    fake_store.too_large++;
    tmx_cbor_free(map);
    if (request) tmx_http_reply(request, 400, NULL, 0);
    return 400;
  }
  if (request && endpoint->late_next_txn && writes(then, endpoint->late_key)) {
    endpoint->late_next_txn = false;
    endpoint->late_transaction = malloc(len);
    memcpy(endpoint->late_transaction, body, len);
    endpoint->late_transaction_length = len;
    tmx_cbor_free(map);
    tmx_http_reply(request, 500, NULL, 0); /* says nothing of what becomes of it */
    return 0;
  }
  for (size_t i = 0; i < tmx_cbor_list_length(cond); i++) {
    uint64_t want = 0;
    assert_true(tmx_cbor_get_text(tmx_cbor_list_at(cond, i), W_KEY, key, sizeof key));
    assert_true(tmx_cbor_get_u64(tmx_cbor_list_at(cond, i), W_VERSION, &want));
    const struct fake_entry *e = find(key);
    if ((e ? e->version : 0) == want) continue;
    fake_store.conflicts++;
    tmx_cbor_free(map);
    if (request) reply_rev(request, 409);
    return 409;
  }
  if (uses_lapsed(then)) {
    struct tmx_buffer buffer = {0};
    fake_store.lapsed_puts++;
    tmx_cbor_free(map);
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_text_field(&buffer, "error", WV_NO_LEASE);
    if (request) tmx_http_reply(request, 400, &buffer, 0);
    tmx_buffer_free(&buffer);
    return 400;
  }
  fake_store.revision++;
  fake_store.commits++;
  for (size_t i = 0; i < tmx_cbor_list_length(then); i++) {
    const cbor_item_t *o = tmx_cbor_list_at(then, i);
    uint64_t lease = 0;
    tmx_cbor_get_u64(o, W_LEASE, &lease);
    if (tmx_cbor_get_text(o, W_PUT, key, sizeof key)) {
      struct tmx_buffer value = {0};
      assert_int_equal(cbor_map_size(o), lease ? 3 : 2); /* an operation has no other fields */
      reencode(tmx_cbor_get(o, W_VALUE), &value);
      put(key, value.data, value.length, lease);
      tmx_buffer_free(&value);
      if (endpoint->lose_next_txn && !strncmp(key, endpoint->lose_key, strlen(endpoint->lose_key)))
        lose = true;
    } else if (tmx_cbor_get_text(o, W_DROP, key, sizeof key)) {
      drop(key);
    }
  }
  tmx_cbor_free(map);
  if (!request) {
  } else if (lose) {
    endpoint->lose_next_txn = false;
    if (endpoint->hold && !endpoint->held)
      endpoint->held = request;
    else
      tmx_http_reply(request, 500, NULL, 0); /* says nothing of what became of it */
  } else {
    reply_rev(request, 200);
  }
  serve_watches();
  return 200;
}

int fake_execute_late_transaction(struct fake_endpoint *endpoint) {
  if (!endpoint->late_transaction) return 0;
  int res = txn(endpoint, NULL, endpoint->late_transaction, endpoint->late_transaction_length);
  free(endpoint->late_transaction);
  endpoint->late_transaction = NULL;
  return res;
}

/* A read's answer, slow_s after it was carried out. */
struct slow {
  ev_timer t;
  struct tmx_http_request *q;
  struct tmx_buffer body;
  struct slow *next;
};
static struct slow *slow_answers;

static void on_slow(struct ev_loop *l, ev_timer *t, int ev) {
  (void)ev;
  struct slow **at = &slow_answers, *x = t->data;
  while (*at != x) at = &(*at)->next;
  *at = x->next;
  ev_timer_stop(l, t);
  tmx_http_reply(x->q, 200, &x->body, 0);
  tmx_buffer_free(&x->body);
  free(x);
}

static void answer_read(struct fake_endpoint *endpoint, struct tmx_http_request *request,
                        struct tmx_buffer *buffer) {
  if (endpoint->slow_s <= 0) {
    tmx_http_reply(request, 200, buffer, 0);
    return;
  }
  struct slow *x = calloc(1, sizeof *x);
  x->q = request;
  tmx_buffer_append(&x->body, buffer->data, buffer->length);
  x->next = slow_answers;
  slow_answers = x;
  ev_timer_init(&x->t, on_slow, endpoint->slow_s, 0);
  x->t.data = x;
  ev_timer_start(test_loop, &x->t);
}

static void read_keys(struct fake_endpoint *endpoint, struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0}, l = {0};
  char prefix[128] = "", from[TMX_KEY_MAX + 1] = "";
  const char *f = strstr(request->path, "from=");
  size_t n = 0;
  bool more = false;
  endpoint->reads++;
  sscanf(strstr(request->path, "prefix=") + 7, "%127[^&]", prefix);
  if (f) sscanf(f + 5, "%200[^&]", from);
  for (size_t i = 0; i < fake_store.n_entries && !more; i++) {
    const struct fake_entry *e = &fake_store.entries[i];
    if (strncmp(e->key, prefix, strlen(prefix)) || (f && strcmp(e->key, from) <= 0)) continue;
    more = endpoint->page_max && n == endpoint->page_max;
    if (more) break;
    w_entry(&l, W_KEY, e->key, e->value, e->len, e->version);
    n++;
  }
  tmx_cbor_put_map(&buffer, 3);
  tmx_cbor_put_text(&buffer, W_ITEMS);
  tmx_cbor_put_list(&buffer, n);
  tmx_buffer_append(&buffer, l.data, l.length);
  tmx_cbor_put_bool_field(&buffer, W_MORE, more);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, fake_store.revision);
  answer_read(endpoint, request, &buffer);
  tmx_buffer_free(&buffer);
  tmx_buffer_free(&l);
}

void fake_release_held_read(struct fake_endpoint *endpoint) {
  struct tmx_http_request *request = endpoint->held_read;
  endpoint->held_read = NULL;
  endpoint->hold_from[0] = 0;
  read_keys(endpoint, request);
}

static void on_state(void *arg, struct tmx_http_request *request) {
  struct fake_endpoint *endpoint = arg;
  const char *from = strstr(request->path, "from=");
  if (!strncmp(request->path, WP_WATCH, strlen(WP_WATCH)) && endpoint->gone_watch) {
    endpoint->gone_watch = false;
    tmx_http_reply(request, 410, NULL, 0);
  } else if (!strncmp(request->path, WP_WATCH, strlen(WP_WATCH))) {
    assert_in_range(fake_store.n_watches, 0, 31);
    fake_store.watches[fake_store.n_watches++] = (struct fake_watch){
        request, strtoull(from + 5, NULL, 10), (int)(endpoint - fake_store.endpoints)};
    serve_watches();
  } else if (endpoint->refuse) {
    tmx_http_reply(request, 503, NULL, 0);
  } else if (!strcmp(request->path, WP_TXN)) {
    txn(endpoint, request, request->body, request->body_len);
  } else if (!strncmp(request->path, WP_LEASES, strlen(WP_LEASES))) {
    answer_lease(request);
  } else if (from && endpoint->hold_from[0] &&
             !strncmp(from + 5, endpoint->hold_from, strlen(endpoint->hold_from))) {
    endpoint->held_read = request;
  } else {
    read_keys(endpoint, request);
  }
}

/* Calls f for every line that stands in the log. */
static void each_line(void (*f)(void *arg, const char *line), void *arg) {
  char s[TMX_LINE_MAX];
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    if (strncmp(fake_store.entries[i].key, TMX_KEY_BATCH, strlen(TMX_KEY_BATCH))) continue;
    cbor_item_t *map = tmx_cbor_parse(fake_store.entries[i].value, fake_store.entries[i].len);
    const cbor_item_t *ops = tmx_cbor_get(map, "ops");
    for (size_t k = 0; k < tmx_cbor_list_length(ops); k++)
      if (tmx_cbor_as_text(tmx_cbor_list_at(ops, k), s, sizeof s)) f(arg, s);
    tmx_cbor_free(map);
  }
}

struct wanted {
  const char *line;
  bool found;
};
static void look_for(void *arg, const struct tmx_operation *operation) {
  struct wanted *w = arg;
  char line[TMX_LINE_MAX];
  tmx_operation_print(line, sizeof line, operation);
  w->found |= !strcmp(line, w->line);
}
static void look_in(void *arg, const char *line) {
  struct wanted *w = arg;
  w->found |= !strcmp(line, w->line);
  tmx_log_line_each_operation(line, look_for, w); /* operations of one job may share a line */
}
bool fake_log_contains(const char *line) {
  struct wanted w = {.line = line};
  each_line(look_in, &w);
  return w.found;
}

static void count_placed(void *arg, const struct tmx_operation *operation) {
  unsigned *n = arg;
  *n += operation->kind == TMX_OPERATION_PLACE ? 1 : operation->kind == TMX_OPERATION_END ? -1 : 0;
}
static void count_in(void *arg, const char *line) {
  tmx_log_line_each_operation(line, count_placed, arg);
}
unsigned fake_count_placed(void) {
  unsigned n = 0;
  each_line(count_in, &n);
  return n;
}

void fake_state_open(void) {
  memset(&fake_store, 0, sizeof fake_store);
  for (int i = 0; i < FAKE_NODES; i++) {
    fake_store.endpoints[i].store = &fake_store;
    fake_store.endpoints[i].server =
        tmx_http_server_new(test_loop, "127.0.0.1:0", 200, 60, on_state, &fake_store.endpoints[i]);
  }
}

void fake_state_close(void) {
  while (slow_answers) on_slow(test_loop, &slow_answers->t, 0);
  for (int i = 0; i < FAKE_NODES; i++)
    if (fake_store.endpoints[i].held) tmx_http_reply(fake_store.endpoints[i].held, 500, NULL, 0);
  for (size_t i = 0; i < fake_store.n_watches; i++)
    tmx_http_reply(fake_store.watches[i].req, 503, NULL, 0);
  fake_store.n_watches = 0;
  for (int i = 0; i < FAKE_NODES; i++) {
    tmx_http_server_free(fake_store.endpoints[i].server);
    free(fake_store.endpoints[i].late_transaction);
  }
  for (size_t i = 0; i < fake_store.n_entries; i++) free(fake_store.entries[i].value);
  for (size_t i = 0; i < fake_store.n_events; i++) free(fake_store.events[i].value);
  free(fake_store.entries);
  free(fake_store.events);
  free(fake_store.lease_until);
  memset(&fake_store, 0, sizeof fake_store);
}
