/* The scripted state service. */
#include "fake_internal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "tmx/wire.h"

struct fake_state state;
void (*fake_written)(const char *key, const uint8_t *value, size_t len);

static struct fake_entry *find(const char *key) {
  for (size_t i = 0; i < state.n_e; i++)
    if (!strcmp(state.e[i].key, key)) return &state.e[i];
  return NULL;
}
const struct fake_entry *fake_get(const char *key) { return find(key); }

static void event(const char *key, const uint8_t *v, size_t len) {
  state.ev = realloc(state.ev, (state.n_ev + 1) * sizeof *state.ev);
  struct fake_event *e = &state.ev[state.n_ev++];
  memset(e, 0, sizeof *e);
  snprintf(e->key, sizeof e->key, "%s", key);
  e->stamp = state.rev;
  if (v) {
    e->value = malloc(len);
    memcpy(e->value, v, len);
    e->len = len;
  }
}
static void put(const char *key, const uint8_t *v, size_t len, uint64_t lease) {
  struct fake_entry *e = find(key);
  if (!e) {
    state.e = realloc(state.e, (state.n_e + 1) * sizeof *state.e);
    size_t at = state.n_e++;
    while (at && strcmp(state.e[at - 1].key, key) > 0) {
      state.e[at] = state.e[at - 1];
      at--;
    }
    e = &state.e[at];
    memset(e, 0, sizeof *e);
    snprintf(e->key, sizeof e->key, "%s", key);
  }
  free(e->value);
  e->value = malloc(len);
  memcpy(e->value, v, len);
  e->len = len;
  e->stamp = state.rev;
  e->lease = lease;
  event(key, v, len);
  if (fake_written) fake_written(key, v, len);
}
static void drop(const char *key) {
  struct fake_entry *e = find(key);
  if (!e) return;
  free(e->value);
  memmove(e, e + 1, (size_t)(state.e + state.n_e - e - 1) * sizeof *e);
  state.n_e--;
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
  for (size_t i = 0; i < state.n_w;) {
    struct fake_watch *w = &state.w[i];
    const struct fake_door *d = &state.doors[w->door];
    if (w->req->conn && (w->from >= state.rev || d->freeze_watch || d->refuse)) {
      i++;
      continue;
    }
    struct tmx_buffer buffer = {0}, l = {0};
    size_t n = 0;
    for (size_t k = 0; k < state.n_ev; k++) {
      const struct fake_event *e = &state.ev[k];
      if (e->stamp <= w->from) continue;
      w_entry(&l, e->value ? W_PUT : W_DROP, e->key, e->value, e->len, e->stamp);
      n++;
    }
    tmx_cbor_put_map(&buffer, 2);
    tmx_cbor_put_u64_field(&buffer, W_REVISION, state.rev);
    tmx_cbor_put_text(&buffer, W_EVENTS);
    tmx_cbor_put_list(&buffer, n);
    tmx_buffer_append(&buffer, l.data, l.length);
    struct tmx_http_request *request = w->req;
    state.w[i] = state.w[--state.n_w];
    tmx_http_reply(request, 200, &buffer, 0);
    tmx_buffer_free(&buffer);
    tmx_buffer_free(&l);
  }
}

void fake_free_watches(void) {
  state.rev++;
  serve_watches();
}

void fake_put(const char *key, const struct tmx_buffer *value) {
  state.rev++;
  put(key, value->data, value->length, 0);
  serve_watches();
}

void fake_drop(const char *key) {
  state.rev++;
  drop(key);
  serve_watches();
}

static void reply_rev(struct tmx_http_request *request, int status) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, state.rev);
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
  if (state.txn_max && tmx_cbor_list_length(then) > state.txn_max) return true;
  for (size_t i = 0; state.value_max && i < tmx_cbor_list_length(then); i++) {
    const cbor_item_t *value = tmx_cbor_get(tmx_cbor_list_at(then, i), W_VALUE);
    if (value && json_size(value) > state.value_max) return true;
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
  if (lease <= state.lapsed) return true;
  return state.lease_until && state.lease_until[lease] < tmx_clock_steady();
}

enum { LEASES_MAX = 4096 };

static void renew(uint64_t lease) {
  if (state.lease_until && lease < LEASES_MAX)
    state.lease_until[lease] = tmx_clock_steady() + TMX_LEASE_TTL_MS / 1000.0;
}

void fake_end_leases(void) {
  if (!state.lease_until) {
    state.lease_until = calloc(LEASES_MAX, sizeof *state.lease_until);
    for (uint64_t i = 0; i <= state.leases; i++) renew(i);
  }
  for (size_t i = 0; i < state.n_e; i++) {
    if (!state.e[i].lease || !is_over(state.e[i].lease)) continue;
    char key[TMX_KEY_MAX + 1];
    memcpy(key, state.e[i].key, sizeof key);
    fake_drop(key);
    return; /* the next one at the next call */
  }
}

static void answer_lease(struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0};
  uint64_t lease = strtoull(
      request->path + strlen(WP_LEASES) + (request->path[strlen(WP_LEASES)] == '/'), NULL, 10);
  if (lease && state.lease_until && is_over(lease)) {
    tmx_http_reply(request, 404, NULL, 0);
    return;
  }
  if (!lease) lease = ++state.leases;
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
static int txn(struct fake_door *d, struct tmx_http_request *request, const uint8_t *body,
               size_t len) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  const cbor_item_t *cond = tmx_cbor_get(map, W_IF), *then = tmx_cbor_get(map, W_THEN);
  char key[TMX_KEY_MAX + 1];
  bool lose = false;
  assert_non_null(map);
  if (too_large(then)) {
    state.too_large++;
    tmx_cbor_free(map);
    if (request) tmx_http_reply(request, 400, NULL, 0);
    return 400;
  }
  if (request && d->late_next_txn && writes(then, d->late_key)) {
    d->late_next_txn = false;
    d->late = malloc(len);
    memcpy(d->late, body, len);
    d->late_len = len;
    tmx_cbor_free(map);
    tmx_http_reply(request, 500, NULL, 0); /* says nothing of what becomes of it */
    return 0;
  }
  for (size_t i = 0; i < tmx_cbor_list_length(cond); i++) {
    uint64_t want = 0;
    assert_true(tmx_cbor_get_text(tmx_cbor_list_at(cond, i), W_KEY, key, sizeof key));
    assert_true(tmx_cbor_get_u64(tmx_cbor_list_at(cond, i), W_VERSION, &want));
    const struct fake_entry *e = find(key);
    if ((e ? e->stamp : 0) == want) continue;
    state.conflicts++;
    tmx_cbor_free(map);
    if (request) reply_rev(request, 409);
    return 409;
  }
  if (uses_lapsed(then)) {
    struct tmx_buffer buffer = {0};
    state.lapsed_puts++;
    tmx_cbor_free(map);
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_text_field(&buffer, "error", WV_NO_LEASE);
    if (request) tmx_http_reply(request, 400, &buffer, 0);
    tmx_buffer_free(&buffer);
    return 400;
  }
  state.rev++;
  state.commits++;
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
      if (d->lose_next_txn && !strncmp(key, d->lose_key, strlen(d->lose_key))) lose = true;
    } else if (tmx_cbor_get_text(o, W_DROP, key, sizeof key)) {
      drop(key);
    }
  }
  tmx_cbor_free(map);
  if (!request) {
  } else if (lose) {
    d->lose_next_txn = false;
    if (d->hold && !d->held)
      d->held = request;
    else
      tmx_http_reply(request, 500, NULL, 0); /* says nothing of what became of it */
  } else {
    reply_rev(request, 200);
  }
  serve_watches();
  return 200;
}

int fake_late(struct fake_door *d) {
  if (!d->late) return 0;
  int res = txn(d, NULL, d->late, d->late_len);
  free(d->late);
  d->late = NULL;
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

static void answer_read(struct fake_door *d, struct tmx_http_request *request,
                        struct tmx_buffer *buffer) {
  if (d->slow_s <= 0) {
    tmx_http_reply(request, 200, buffer, 0);
    return;
  }
  struct slow *x = calloc(1, sizeof *x);
  x->q = request;
  tmx_buffer_append(&x->body, buffer->data, buffer->length);
  x->next = slow_answers;
  slow_answers = x;
  ev_timer_init(&x->t, on_slow, d->slow_s, 0);
  x->t.data = x;
  ev_timer_start(loop, &x->t);
}

static void read_keys(struct fake_door *d, struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0}, l = {0};
  char prefix[128] = "", from[TMX_KEY_MAX + 1] = "";
  const char *f = strstr(request->path, "from=");
  size_t n = 0;
  bool more = false;
  d->reads++;
  sscanf(strstr(request->path, "prefix=") + 7, "%127[^&]", prefix);
  if (f) sscanf(f + 5, "%200[^&]", from);
  for (size_t i = 0; i < state.n_e && !more; i++) {
    const struct fake_entry *e = &state.e[i];
    if (strncmp(e->key, prefix, strlen(prefix)) || (f && strcmp(e->key, from) <= 0)) continue;
    more = d->page_max && n == d->page_max;
    if (more) break;
    w_entry(&l, W_KEY, e->key, e->value, e->len, e->stamp);
    n++;
  }
  tmx_cbor_put_map(&buffer, 3);
  tmx_cbor_put_text(&buffer, W_ITEMS);
  tmx_cbor_put_list(&buffer, n);
  tmx_buffer_append(&buffer, l.data, l.length);
  tmx_cbor_put_bool_field(&buffer, W_MORE, more);
  tmx_cbor_put_u64_field(&buffer, W_REVISION, state.rev);
  answer_read(d, request, &buffer);
  tmx_buffer_free(&buffer);
  tmx_buffer_free(&l);
}

void fake_read_on(struct fake_door *d) {
  struct tmx_http_request *request = d->held_read;
  d->held_read = NULL;
  d->hold_from[0] = 0;
  read_keys(d, request);
}

static void on_state(void *arg, struct tmx_http_request *request) {
  struct fake_door *d = arg;
  const char *from = strstr(request->path, "from=");
  if (!strncmp(request->path, WP_WATCH, strlen(WP_WATCH)) && d->gone_watch) {
    d->gone_watch = false;
    tmx_http_reply(request, 410, NULL, 0);
  } else if (!strncmp(request->path, WP_WATCH, strlen(WP_WATCH))) {
    assert_in_range(state.n_w, 0, 31);
    state.w[state.n_w++] =
        (struct fake_watch){request, strtoull(from + 5, NULL, 10), (int)(d - state.doors)};
    serve_watches();
  } else if (d->refuse) {
    tmx_http_reply(request, 503, NULL, 0);
  } else if (!strcmp(request->path, WP_TXN)) {
    txn(d, request, request->body, request->body_len);
  } else if (!strncmp(request->path, WP_LEASES, strlen(WP_LEASES))) {
    answer_lease(request);
  } else if (from && d->hold_from[0] && !strncmp(from + 5, d->hold_from, strlen(d->hold_from))) {
    d->held_read = request;
  } else {
    read_keys(d, request);
  }
}

/* Calls f for every line that stands in the log. */
static void each_line(void (*f)(void *arg, const char *line), void *arg) {
  char s[TMX_LINE_MAX];
  for (size_t i = 0; i < state.n_e; i++) {
    if (strncmp(state.e[i].key, TMX_KEY_BATCH, strlen(TMX_KEY_BATCH))) continue;
    cbor_item_t *map = tmx_cbor_parse(state.e[i].value, state.e[i].len);
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
bool fake_logged(const char *line) {
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
unsigned fake_placed(void) {
  unsigned n = 0;
  each_line(count_in, &n);
  return n;
}

void fake_state_open(void) {
  memset(&state, 0, sizeof state);
  for (int i = 0; i < FAKE_NODES; i++) {
    state.doors[i].s = &state;
    state.doors[i].srv =
        tmx_http_server_new(loop, "127.0.0.1:0", 200, 60, on_state, &state.doors[i]);
  }
}

void fake_state_close(void) {
  while (slow_answers) on_slow(loop, &slow_answers->t, 0);
  for (int i = 0; i < FAKE_NODES; i++)
    if (state.doors[i].held) tmx_http_reply(state.doors[i].held, 500, NULL, 0);
  for (size_t i = 0; i < state.n_w; i++) tmx_http_reply(state.w[i].req, 503, NULL, 0);
  state.n_w = 0;
  for (int i = 0; i < FAKE_NODES; i++) {
    tmx_http_server_free(state.doors[i].srv);
    free(state.doors[i].late);
  }
  for (size_t i = 0; i < state.n_e; i++) free(state.e[i].value);
  for (size_t i = 0; i < state.n_ev; i++) free(state.ev[i].value);
  free(state.e);
  free(state.ev);
  free(state.lease_until);
  memset(&state, 0, sizeof state);
}
