#include "fake.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <jansson.h>
#include <sys/socket.h>
#include <unistd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "tmx/wire.h"

struct ev_loop *loop;
struct fake_state state;
struct fake_cloud cloud;
bool fake_apart;
void (*fake_adjust)(struct tmx_settings *s);
void (*fake_written)(const char *key, const uint8_t *value, size_t len);
static int ports[FAKE_NODES][2];     /* of heartbeats: port, and the socket that reserves it */
static int listeners[FAKE_NODES][2]; /* of users and workers */

/* ------------------------------------------------------------ running the loop */

static void on_wake(struct ev_loop *l, ev_timer *w, int ev) {
  (void)w;
  (void)ev;
  ev_break(l, EVBREAK_ONE);
}

bool pump(bool (*done)(void *), void *arg) {
  double until = ev_time() + 10;
  while (ev_time() < until) {
    if (done && done(arg)) return true;
    ev_timer t;
    ev_timer_init(&t, on_wake, 0.005, 0);
    ev_timer_start(loop, &t);
    ev_run(loop, EVRUN_ONCE);
    ev_timer_stop(loop, &t);
  }
  return false;
}
static bool past(void *arg) { return ev_time() > *(double *)arg; }
void pump_for(double s) {
  double until = ev_time() + s;
  pump(past, &until);
}

/* ------------------------------------------------------------ state service */

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

static void w_entry(struct tmx_buf *b, const char *name, const char *key, const uint8_t *v,
                    size_t len, uint64_t stamp) {
  tmx_w_map(b, v ? 3 : 2);
  tmx_w_kstr(b, name, key);
  if (v) {
    tmx_w_str(b, W_VALUE);
    tmx_buf_add(b, v, len);
  }
  tmx_w_ku64(b, W_VERSION, stamp);
}

static void serve_watches(void) {
  for (size_t i = 0; i < state.n_w;) {
    struct fake_watch *w = &state.w[i];
    const struct fake_door *d = &state.doors[w->door];
    if (w->req->conn && (w->from >= state.rev || d->freeze_watch || d->refuse)) {
      i++;
      continue;
    }
    struct tmx_buf b = {0}, l = {0};
    size_t n = 0;
    for (size_t k = 0; k < state.n_ev; k++) {
      const struct fake_event *e = &state.ev[k];
      if (e->stamp <= w->from) continue;
      w_entry(&l, e->value ? W_PUT : W_DROP, e->key, e->value, e->len, e->stamp);
      n++;
    }
    tmx_w_map(&b, 2);
    tmx_w_ku64(&b, W_REVISION, state.rev);
    tmx_w_str(&b, W_EVENTS);
    tmx_w_list(&b, n);
    tmx_buf_add(&b, l.p, l.n);
    struct tmx_req *q = w->req;
    state.w[i] = state.w[--state.n_w];
    tmx_req_reply(q, 200, &b, 0);
    tmx_buf_free(&b);
    tmx_buf_free(&l);
  }
}

void fake_free_watches(void) {
  state.rev++;
  serve_watches();
}

void fake_put(const char *key, const struct tmx_buf *value) {
  state.rev++;
  put(key, value->p, value->n, 0);
  serve_watches();
}

void fake_drop(const char *key) {
  state.rev++;
  drop(key);
  serve_watches();
}

static void reply_rev(struct tmx_req *q, int status) {
  struct tmx_buf b = {0};
  tmx_w_map(&b, 1);
  tmx_w_ku64(&b, W_REVISION, state.rev);
  tmx_req_reply(q, status, &b, 0);
  tmx_buf_free(&b);
}

static void reencode(const cbor_item_t *v, struct tmx_buf *b) {
  unsigned char *out = NULL;
  size_t cap, n = cbor_serialize_alloc(v, &out, &cap);
  tmx_buf_add(b, out, n);
  free(out);
}

/* The length of a value as the real service counts it. */
static json_t *as_json(const cbor_item_t *it) {
  char text[4096];
  uint64_t u;
  double num;
  bool yes;
  if (tmx_r_str(it, text, sizeof text)) return json_string(text);
  if (tmx_r_u64(it, &u)) return json_integer((json_int_t)u);
  if (tmx_r_num(it, &num)) return json_real(num);
  if (tmx_r_bool(it, &yes)) return json_boolean(yes);
  if (cbor_isa_array(it)) {
    json_t *a = json_array();
    for (size_t i = 0; i < tmx_r_len(it); i++) json_array_append_new(a, as_json(tmx_r_at(it, i)));
    return a;
  }
  if (!cbor_isa_map(it)) return json_null();
  json_t *o = json_object();
  for (size_t i = 0; i < cbor_map_size(it); i++)
    if (tmx_r_str(cbor_map_handle(it)[i].key, text, sizeof text))
      json_object_set_new(o, text, as_json(cbor_map_handle(it)[i].value));
  return o;
}
static size_t json_size(const cbor_item_t *it) {
  json_t *j = as_json(it);
  char *text = json_dumps(j, JSON_COMPACT | JSON_ENCODE_ANY);
  assert_non_null(text);
  size_t n = strlen(text);
  free(text);
  json_decref(j);
  return n;
}

static bool too_large(const cbor_item_t *then) {
  if (state.txn_max && tmx_r_len(then) > state.txn_max) return true;
  for (size_t i = 0; state.value_max && i < tmx_r_len(then); i++) {
    const cbor_item_t *v = tmx_r_get(tmx_r_at(then, i), W_VALUE);
    if (v && json_size(v) > state.value_max) return true;
  }
  return false;
}

static bool writes(const cbor_item_t *then, const char *prefix) {
  char key[TMX_KEY_MAX + 1];
  for (size_t i = 0; i < tmx_r_len(then); i++)
    if (tmx_r_kstr(tmx_r_at(then, i), W_PUT, key, sizeof key) &&
        !strncmp(key, prefix, strlen(prefix)))
      return true;
  return false;
}

static bool is_over(uint64_t lease) {
  if (lease <= state.lapsed) return true;
  return state.lease_until && state.lease_until[lease] < tmx_now();
}

enum { LEASES_MAX = 4096 };

static void renew(uint64_t lease) {
  if (state.lease_until && lease < LEASES_MAX)
    state.lease_until[lease] = tmx_now() + TMX_LEASE_TTL_MS / 1000.0;
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

static void answer_lease(struct tmx_req *q) {
  struct tmx_buf b = {0};
  uint64_t lease =
      strtoull(q->path + strlen(WP_LEASES) + (q->path[strlen(WP_LEASES)] == '/'), NULL, 10);
  if (lease && state.lease_until && is_over(lease)) {
    tmx_req_reply(q, 404, NULL, 0);
    return;
  }
  if (!lease) lease = ++state.leases;
  renew(lease);
  tmx_w_map(&b, 1);
  tmx_w_ku64(&b, W_LEASE, lease);
  tmx_req_reply(q, 200, &b, 0);
  tmx_buf_free(&b);
}

static bool uses_lapsed(const cbor_item_t *then) {
  uint64_t lease;
  for (size_t i = 0; i < tmx_r_len(then); i++)
    if (tmx_r_ku64(tmx_r_at(then, i), W_LEASE, &lease) && lease && is_over(lease)) return true;
  return false;
}

/* q NULL: late, nobody waits for its answer. */
static int txn(struct fake_door *d, struct tmx_req *q, const uint8_t *body, size_t len) {
  cbor_item_t *m = tmx_cbor_parse(body, len);
  const cbor_item_t *cond = tmx_r_get(m, W_IF), *then = tmx_r_get(m, W_THEN);
  char key[TMX_KEY_MAX + 1];
  bool lose = false;
  assert_non_null(m);
  if (too_large(then)) {
    state.too_large++;
    tmx_cbor_free(m);
    if (q) tmx_req_reply(q, 400, NULL, 0);
    return 400;
  }
  if (q && d->late_next_txn && writes(then, d->late_key)) {
    d->late_next_txn = false;
    d->late = malloc(len);
    memcpy(d->late, body, len);
    d->late_len = len;
    tmx_cbor_free(m);
    tmx_req_reply(q, 500, NULL, 0); /* says nothing of what becomes of it */
    return 0;
  }
  for (size_t i = 0; i < tmx_r_len(cond); i++) {
    uint64_t want = 0;
    assert_true(tmx_r_kstr(tmx_r_at(cond, i), W_KEY, key, sizeof key));
    assert_true(tmx_r_ku64(tmx_r_at(cond, i), W_VERSION, &want));
    const struct fake_entry *e = find(key);
    if ((e ? e->stamp : 0) == want) continue;
    state.conflicts++;
    tmx_cbor_free(m);
    if (q) reply_rev(q, 409);
    return 409;
  }
  if (uses_lapsed(then)) {
    struct tmx_buf b = {0};
    state.lapsed_puts++;
    tmx_cbor_free(m);
    tmx_w_map(&b, 1);
    tmx_w_kstr(&b, "error", WV_NO_LEASE);
    if (q) tmx_req_reply(q, 400, &b, 0);
    tmx_buf_free(&b);
    return 400;
  }
  state.rev++;
  state.commits++;
  for (size_t i = 0; i < tmx_r_len(then); i++) {
    const cbor_item_t *o = tmx_r_at(then, i);
    uint64_t lease = 0;
    tmx_r_ku64(o, W_LEASE, &lease);
    if (tmx_r_kstr(o, W_PUT, key, sizeof key)) {
      struct tmx_buf v = {0};
      assert_int_equal(cbor_map_size(o), lease ? 3 : 2); /* an operation has no other fields */
      reencode(tmx_r_get(o, W_VALUE), &v);
      put(key, v.p, v.n, lease);
      tmx_buf_free(&v);
      if (d->lose_next_txn && !strncmp(key, d->lose_key, strlen(d->lose_key))) lose = true;
    } else if (tmx_r_kstr(o, W_DROP, key, sizeof key)) {
      drop(key);
    }
  }
  tmx_cbor_free(m);
  if (!q) {
  } else if (lose) {
    d->lose_next_txn = false;
    if (d->hold && !d->held)
      d->held = q;
    else
      tmx_req_reply(q, 500, NULL, 0); /* says nothing of what became of it */
  } else {
    reply_rev(q, 200);
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
  struct tmx_req *q;
  struct tmx_buf body;
  struct slow *next;
};
static struct slow *slow_answers;

static void on_slow(struct ev_loop *l, ev_timer *t, int ev) {
  (void)ev;
  struct slow **at = &slow_answers, *x = t->data;
  while (*at != x) at = &(*at)->next;
  *at = x->next;
  ev_timer_stop(l, t);
  tmx_req_reply(x->q, 200, &x->body, 0);
  tmx_buf_free(&x->body);
  free(x);
}

static void answer_read(struct fake_door *d, struct tmx_req *q, struct tmx_buf *b) {
  if (d->slow_s <= 0) {
    tmx_req_reply(q, 200, b, 0);
    return;
  }
  struct slow *x = calloc(1, sizeof *x);
  x->q = q;
  tmx_buf_add(&x->body, b->p, b->n);
  x->next = slow_answers;
  slow_answers = x;
  ev_timer_init(&x->t, on_slow, d->slow_s, 0);
  x->t.data = x;
  ev_timer_start(loop, &x->t);
}

static void read_keys(struct fake_door *d, struct tmx_req *q) {
  struct tmx_buf b = {0}, l = {0};
  char prefix[128] = "", from[TMX_KEY_MAX + 1] = "";
  const char *f = strstr(q->path, "from=");
  size_t n = 0;
  bool more = false;
  d->reads++;
  sscanf(strstr(q->path, "prefix=") + 7, "%127[^&]", prefix);
  if (f) sscanf(f + 5, "%200[^&]", from);
  for (size_t i = 0; i < state.n_e && !more; i++) {
    const struct fake_entry *e = &state.e[i];
    if (strncmp(e->key, prefix, strlen(prefix)) || (f && strcmp(e->key, from) <= 0)) continue;
    more = d->page_max && n == d->page_max;
    if (more) break;
    w_entry(&l, W_KEY, e->key, e->value, e->len, e->stamp);
    n++;
  }
  tmx_w_map(&b, 3);
  tmx_w_str(&b, W_ITEMS);
  tmx_w_list(&b, n);
  tmx_buf_add(&b, l.p, l.n);
  tmx_w_kbool(&b, W_MORE, more);
  tmx_w_ku64(&b, W_REVISION, state.rev);
  answer_read(d, q, &b);
  tmx_buf_free(&b);
  tmx_buf_free(&l);
}

void fake_read_on(struct fake_door *d) {
  struct tmx_req *q = d->held_read;
  d->held_read = NULL;
  d->hold_from[0] = 0;
  read_keys(d, q);
}

static void on_state(void *arg, struct tmx_req *q) {
  struct fake_door *d = arg;
  const char *from = strstr(q->path, "from=");
  if (!strncmp(q->path, WP_WATCH, strlen(WP_WATCH)) && d->gone_watch) {
    d->gone_watch = false;
    tmx_req_reply(q, 410, NULL, 0);
  } else if (!strncmp(q->path, WP_WATCH, strlen(WP_WATCH))) {
    assert_in_range(state.n_w, 0, 31);
    state.w[state.n_w++] =
        (struct fake_watch){q, strtoull(from + 5, NULL, 10), (int)(d - state.doors)};
    serve_watches();
  } else if (d->refuse) {
    tmx_req_reply(q, 503, NULL, 0);
  } else if (!strcmp(q->path, WP_TXN)) {
    txn(d, q, q->body, q->body_len);
  } else if (!strncmp(q->path, WP_LEASES, strlen(WP_LEASES))) {
    answer_lease(q);
  } else if (from && d->hold_from[0] && !strncmp(from + 5, d->hold_from, strlen(d->hold_from))) {
    d->held_read = q;
  } else {
    read_keys(d, q);
  }
}

/* Calls f for every line that stands in the log. */
static void each_line(void (*f)(void *arg, const char *line), void *arg) {
  char s[TMX_LINE_MAX];
  for (size_t i = 0; i < state.n_e; i++) {
    if (strncmp(state.e[i].key, TMX_K_BATCH, strlen(TMX_K_BATCH))) continue;
    cbor_item_t *m = tmx_cbor_parse(state.e[i].value, state.e[i].len);
    const cbor_item_t *ops = tmx_r_get(m, "ops");
    for (size_t k = 0; k < tmx_r_len(ops); k++)
      if (tmx_r_str(tmx_r_at(ops, k), s, sizeof s)) f(arg, s);
    tmx_cbor_free(m);
  }
}

struct wanted {
  const char *line;
  bool found;
};
static void look_for(void *arg, const struct tmx_op *o) {
  struct wanted *w = arg;
  char line[TMX_LINE_MAX];
  tmx_op_print(line, sizeof line, o);
  w->found |= !strcmp(line, w->line);
}
static void look_in(void *arg, const char *line) {
  struct wanted *w = arg;
  w->found |= !strcmp(line, w->line);
  tmx_ops_each(line, look_for, w); /* operations of one job may share a line */
}
bool fake_logged(const char *line) {
  struct wanted w = {.line = line};
  each_line(look_in, &w);
  return w.found;
}

static void count_placed(void *arg, const struct tmx_op *o) {
  unsigned *n = arg;
  *n += o->op == TMX_OP_PLACE ? 1 : o->op == TMX_OP_END ? -1 : 0;
}
static void count_in(void *arg, const char *line) { tmx_ops_each(line, count_placed, arg); }
unsigned fake_placed(void) {
  unsigned n = 0;
  each_line(count_in, &n);
  return n;
}

/* ------------------------------------------------------------ cloud */

enum { LIST_PAGE = 500, LIST_FROM = 100000 };

static void list_machines(struct fake_cloud *c, const struct tmx_req *q, struct tmx_buf *b) {
  const char *from = strstr(q->path, "from=n-");
  size_t at = from && !c->same_page ? strtoul(from + 7, NULL, 10) - LIST_FROM : 0;
  size_t left = c->listed > at ? c->listed - at : 0, n = left < LIST_PAGE ? left : LIST_PAGE;
  char id[TMX_ID_MAX];
  c->pages++;
  tmx_w_map(b, 2);
  tmx_w_str(b, W_MACHINES);
  tmx_w_list(b, n);
  for (size_t i = 1; i <= n; i++) {
    snprintf(id, sizeof id, "n-%zu", LIST_FROM + at + i);
    tmx_w_map(b, 6);
    tmx_w_kstr(b, W_ID, id);
    tmx_w_kstr(b, W_TYPE, "big");
    tmx_w_kstr(b, W_ZONE, "a");
    tmx_w_kbool(b, W_SPOT, false);
    tmx_w_kstr(b, W_STATE, WV_BOOTING);
    tmx_w_knum(b, W_AGE, 1);
  }
  tmx_w_kbool(b, W_MORE, left > n);
}

static void on_cloud(void *arg, struct tmx_req *q) {
  struct fake_cloud *c = arg;
  struct tmx_buf b = {0};
  if (!strcmp(q->path, WP_TYPES)) {
    tmx_w_map(&b, 1);
    tmx_w_str(&b, W_TYPES);
    tmx_w_list(&b, 1);
    tmx_w_map(&b, 10);
    tmx_w_kstr(&b, W_NAME, "big");
    tmx_w_knum(&b, W_CPUS, 16);
    tmx_w_knum(&b, W_GPUS, 0);
    tmx_w_knum(&b, W_MEM, 64);
    tmx_w_knum(&b, W_CACHE_GB, 50);
    tmx_w_knum(&b, W_FETCH, 1);
    tmx_w_knum(&b, W_PRICE, 1);
    tmx_w_knum(&b, W_SPOT_PRICE, 0.4);
    tmx_w_knum(&b, W_BOOT_S, 30);
    tmx_w_str(&b, W_ZONES);
    tmx_w_list(&b, 1);
    tmx_w_str(&b, "a");
    tmx_req_reply(q, 200, &b, 0);
  } else if (!strcmp(q->path, WP_DELETE)) {
    if (c->refuse_delete) {
      tmx_req_reply(q, 503, NULL, 0);
    } else {
      cbor_item_t *m = tmx_cbor_parse(q->body, q->body_len);
      const cbor_item_t *l = tmx_r_get(m, W_MACHINES);
      for (size_t i = 0; i < tmx_r_len(l) && c->deletes < 32; i++)
        tmx_r_str(tmx_r_at(l, i), c->deleted[c->deletes++], TMX_ID_MAX);
      tmx_cbor_free(m);
      tmx_req_reply(q, 200, NULL, 0);
    }
  } else if (q->method == HTTP_POST) {
    c->hires++;
    tmx_req_reply(q, 503, NULL, 0);
  } else {
    list_machines(c, q, &b);
    tmx_req_reply(q, 200, &b, 0);
  }
  tmx_buf_free(&b);
}

/* ------------------------------------------------------------ workers */

void worker_encode(const struct fake_worker *w, struct tmx_buf *b) {
  tmx_w_map(b, 9);
  tmx_w_kstr(b, W_MACHINE, w->id);
  tmx_w_kstr(b, W_ADDR, w->addr);
  tmx_w_kstr(b, W_TYPE, "big");
  tmx_w_kstr(b, W_ZONE, "a");
  tmx_w_kbool(b, W_SPOT, false);
  tmx_w_ku64(b, W_SESSION, w->session);
  tmx_w_ku64(b, W_SEQ, w->seq);
  tmx_w_ku64(b, W_TOKEN, w->token);
  tmx_w_str(b, W_TASKS);
  tmx_w_list(b, w->n_loads);
  for (size_t i = 0; i < w->n_loads; i++) {
    bool over = !strcmp(w->loads[i].state, WV_EXITED);
    tmx_w_map(b, over ? 4 : 3);
    tmx_w_kstr(b, W_TASK, w->loads[i].task);
    tmx_w_ku64(b, W_ATTEMPT, w->loads[i].attempt);
    tmx_w_kstr(b, W_STATE, w->loads[i].state);
    if (over) tmx_w_kstr(b, W_WHY, w->loads[i].why);
  }
}

void worker_set(struct fake_worker *w, const char *task, uint32_t attempt, const char *st,
                const char *why) {
  size_t i;
  for (i = 0; i < w->n_loads; i++)
    if (!strcmp(w->loads[i].task, task) && w->loads[i].attempt == attempt) break;
  if (!st) {
    if (i < w->n_loads) w->loads[i] = w->loads[--w->n_loads];
    return;
  }
  assert_in_range(i, 0, FAKE_LOADS - 1);
  if (i == w->n_loads) w->n_loads++;
  snprintf(w->loads[i].task, sizeof w->loads[i].task, "%s", task);
  snprintf(w->loads[i].state, sizeof w->loads[i].state, "%s", st);
  snprintf(w->loads[i].why, sizeof w->loads[i].why, "%s", why ? why : "");
  w->loads[i].attempt = attempt;
}

static void take_orders(struct fake_worker *w, const cbor_item_t *m) {
  const cbor_item_t *l = tmx_r_get(m, W_COMMANDS);
  w->n_orders = 0;
  for (size_t i = 0; i < tmx_r_len(l) && w->n_orders < 64; i++) {
    struct fake_order *o = &w->orders[w->n_orders++];
    uint64_t a = 0;
    tmx_r_kstr(tmx_r_at(l, i), W_OP, o->op, sizeof o->op);
    tmx_r_kstr(tmx_r_at(l, i), W_TASK, o->task, sizeof o->task);
    tmx_r_ku64(tmx_r_at(l, i), W_ATTEMPT, &a);
    o->attempt = (uint32_t)a;
  }
}

void worker_do(struct fake_worker *w) {
  for (size_t i = 0; i < w->n_orders; i++) {
    const struct fake_order *o = &w->orders[i];
    bool held = false;
    for (size_t k = 0; k < w->n_loads; k++)
      held |= !strcmp(w->loads[k].task, o->task) && w->loads[k].attempt == o->attempt;
    if (!strcmp(o->op, WV_START) && !held) {
      worker_set(w, o->task, o->attempt, WV_RUNNING, NULL);
      w->executed_starts++;
    } else if (!strcmp(o->op, WV_STOP) && held) {
      worker_set(w, o->task, o->attempt, WV_EXITED, WV_STOPPED);
    } else if (!strcmp(o->op, WV_FORGET)) {
      worker_set(w, o->task, o->attempt, NULL, NULL);
    }
  }
  w->n_orders = 0;
}

static void on_worker(void *arg, struct tmx_req *q) {
  struct fake_worker *w = arg;
  struct tmx_buf b = {0};
  if (w->silent || (w->mute && !strcmp(q->path, WP_COMMANDS))) {
    if (!strcmp(q->path, WP_COMMANDS)) w->commands++;
    tmx_req_reply(q, 500, NULL, 0);
    return;
  }
  int status = 200;
  if (!strcmp(q->path, WP_COMMANDS)) {
    cbor_item_t *m = tmx_cbor_parse(q->body, q->body_len);
    uint64_t token = 0, session = 0;
    tmx_r_ku64(m, W_TOKEN, &token);
    tmx_r_ku64(m, W_SESSION, &session);
    w->commands++;
    if (token < w->token || session != w->session) {
      status = 409;
    } else {
      w->token = token;
      take_orders(w, m);
      worker_do(w);
      if (w->on_command) w->on_command(w, token);
    }
    tmx_cbor_free(m);
  }
  w->seq++;
  worker_encode(w, &b);
  tmx_req_reply(q, status, &b, 0);
  tmx_buf_free(&b);
}

void worker_open(struct fake_worker *w, const char *id) {
  memset(w, 0, sizeof *w);
  snprintf(w->id, sizeof w->id, "%s", id);
  w->session = 1;
  w->srv = tmx_server_new(loop, "127.0.0.1:0", 16, 60, on_worker, w);
  assert_non_null(w->srv);
  snprintf(w->addr, sizeof w->addr, "127.0.0.1:%d", tmx_server_port(w->srv));
}

struct waiting {
  bool done;
  struct fake_worker *w;
  int status;
  char state[16];
};
static bool is_done(void *arg) { return ((struct waiting *)arg)->done; }

void worker_answered(struct fake_worker *w, int status, const uint8_t *body, size_t len) {
  cbor_item_t *m = tmx_cbor_parse(body, len);
  w->status = status;
  w->move_to[0] = 0;
  w->answer_token = 0;
  w->n_orders = 0;
  if (status == 200) {
    tmx_r_ku64(m, W_TOKEN, &w->answer_token);
    if (w->answer_token >= w->token) {
      w->token = w->answer_token;
      take_orders(w, m);
    }
  } else if (m) {
    tmx_r_kstr(m, W_REPORT_TO, w->move_to, sizeof w->move_to);
  }
  tmx_cbor_free(m);
}

static void on_reported(void *arg, int status, const uint8_t *body, size_t len) {
  struct waiting *x = arg;
  x->done = true;
  worker_answered(x->w, status, body, len);
}

void worker_report(struct fake_worker *w, struct tmx_ctl *c) {
  struct waiting x = {.w = w};
  struct tmx_buf b = {0};
  struct tmx_client *k = to(c);
  w->seq++;
  worker_encode(w, &b);
  assert_true(tmx_client_call(k, "POST", WP_REPORT, &b, 5, on_reported, &x));
  tmx_buf_free(&b);
  assert_true(pump(is_done, &x));
  tmx_client_free(k);
}

bool worker_has(const struct fake_worker *w, const char *op, const char *task, uint32_t attempt) {
  for (size_t i = 0; i < w->n_orders; i++)
    if (!strcmp(w->orders[i].op, op) && !strcmp(w->orders[i].task, task) &&
        w->orders[i].attempt == attempt)
      return true;
  return false;
}

/* ------------------------------------------------------------ users */

static void on_answer(void *arg, int status, const uint8_t *body, size_t len) {
  struct waiting *x = arg;
  cbor_item_t *m = tmx_cbor_parse(body, len);
  x->done = true;
  x->status = status;
  tmx_r_kstr(m, W_STATE, x->state, sizeof x->state);
  tmx_cbor_free(m);
}

struct fake_answer call(struct tmx_ctl *c, const char *method, const char *path,
                        const struct tmx_buf *body) {
  struct waiting x = {0};
  struct fake_answer a = {0};
  struct tmx_client *k = to(c);
  assert_true(tmx_client_call(k, method, path, body, 5, on_answer, &x));
  a.done = pump(is_done, &x);
  a.status = x.status;
  snprintf(a.state, sizeof a.state, "%s", x.state);
  tmx_client_free(k);
  return a;
}

void submission(struct tmx_buf *b, const char *id, const char *kind, uint32_t tasks, double cpus,
                const char *team) {
  submission_awaiting(b, id, kind, tasks, cpus, team, NULL);
}

void submission_awaiting(struct tmx_buf *b, const char *id, const char *kind, uint32_t tasks,
                         double cpus, const char *team, const struct tmx_buf *awaits) {
  struct fake_job job = {
      .id = id, .kind = kind, .team = team, .tasks = tasks, .cpus = cpus, .awaits = awaits};
  submission_of(b, &job);
}

void submission_of(struct tmx_buf *b, const struct fake_job *job) {
  tmx_w_map(b, job->awaits ? 18 : 17);
  if (job->awaits) {
    tmx_w_str(b, W_AWAITS);
    tmx_buf_add(b, job->awaits->p, job->awaits->n);
  }
  tmx_w_kstr(b, W_ID, job->id);
  tmx_w_kstr(b, W_CLASS, job->class ? job->class : "c");
  tmx_w_kstr(b, W_TEAM, job->team);
  tmx_w_kstr(b, W_KIND, job->kind ? job->kind : WV_ARRAY);
  tmx_w_kstr(b, W_PRIORITY, job->priority ? job->priority : "normal");
  tmx_w_ku64(b, W_TASKS, job->tasks);
  tmx_w_knum(b, W_CPUS, job->cpus);
  tmx_w_knum(b, W_GPUS, 0);
  tmx_w_knum(b, W_MEM, 1);
  tmx_w_kbool(b, W_ONE_ZONE, false);
  tmx_w_kbool(b, W_SPREAD, false);
  tmx_w_kbool(b, W_SPOT, false);
  tmx_w_kstr(b, W_IMAGE, "img");
  tmx_w_knum(b, W_IMAGE_GB, 0.1);
  tmx_w_knum(b, W_ESTIMATE, job->estimate_s > 0 ? job->estimate_s : 10);
  tmx_w_knum(b, W_CHECKPOINT, 0);
  tmx_w_knum(b, W_SAVE, 0);
}

int submit_job(struct tmx_ctl *c, const struct fake_job *job) {
  struct tmx_buf b = {0};
  submission_of(&b, job);
  struct fake_answer a = call(c, "POST", WP_JOBS, &b);
  tmx_buf_free(&b);
  return a.status;
}

int submit(struct tmx_ctl *c, const char *id, const char *kind, uint32_t tasks, double cpus,
           const char *team) {
  struct fake_job job = {.id = id, .kind = kind, .team = team, .tasks = tasks, .cpus = cpus};
  return submit_job(c, &job);
}
struct fake_answer poll_job(struct tmx_ctl *c, const char *id) {
  char path[128];
  snprintf(path, sizeof path, WP_JOBS "/%s", id);
  return call(c, "GET", path, NULL);
}
struct fake_answer cancel_job(struct tmx_ctl *c, const char *id) {
  char path[128];
  snprintf(path, sizeof path, WP_JOBS "/%s" WP_CANCEL, id);
  return call(c, "POST", path, NULL);
}

/* ------------------------------------------------------------ controllers */

struct tmx_client *to(struct tmx_ctl *c) {
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_server_port(c->server));
  struct tmx_client *k = tmx_client_new(loop, addr, 4);
  assert_non_null(k);
  return k;
}

/* Peers must know one another's port beforehand. The socket stays bound, without listening, so
 * that no outgoing connection gets the port; a listener may still share it. */
static int reserve_port(int *fd) {
  struct sockaddr_in at = {.sin_family = AF_INET};
  socklen_t n = sizeof at;
  int one = 1;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  *fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  assert_int_equal(bind(*fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal(getsockname(*fd, (struct sockaddr *)&at, &n), 0);
  return ntohs(at.sin_port);
}

int fake_listen_port(int k) {
  if (!listeners[k][0]) listeners[k][0] = reserve_port(&listeners[k][1]);
  return listeners[k][0];
}

void fake_settings(struct tmx_settings *s, int k, int of) {
  memset(s, 0, sizeof *s);
  tmx_operator_defaults(&s->op);
  snprintf(s->node, sizeof s->node, "hand-%d", k);
  strcpy(s->zone, "a");
  strcpy(s->listen, "127.0.0.1:0");
  snprintf(s->peer_listen, sizeof s->peer_listen, "127.0.0.1:%d", ports[k][0]);
  snprintf(s->state, sizeof s->state, "127.0.0.1:%d", tmx_server_port(state.doors[k].srv));
  snprintf(s->cloud, sizeof s->cloud, "127.0.0.1:%d", tmx_server_port(cloud.srv));
  for (int i = 0; i < of; i++) {
    if (i == k) continue;
    struct tmx_peer_conf *p = &s->peers[s->n_peers++];
    snprintf(p->name, sizeof p->name, "hand-%d", i);
    snprintf(p->addr, sizeof p->addr, "127.0.0.1:%d", fake_apart ? 1 : ports[i][0]);
  }
  strcpy(s->zones[0], "a");
  s->n_zones = 1;
  strcpy(s->teams[0].name, "t");
  s->teams[0].cpus_max = 8;
  s->n_teams = 1;
  s->report_s = 3;
  s->lease_s = 20;
  s->cancel_s = 40;
  s->state_rps = 1000;
  s->write_rps = 1000;
  s->value_kb = 16;
  s->txn_ops = 32;
  s->cloud_rps = 100;
  s->list_lag_s = 8;
  s->ram_mb = 128;
  s->sockets = 500;
}

static struct tmx_ctl *running[FAKE_NODES];

struct tmx_ctl *controller(int k, int of) {
  static struct tmx_settings s;
  char err[256];
  fake_settings(&s, k, of);
  if (fake_adjust) fake_adjust(&s);
  struct tmx_ctl *c = tmx_ctl_new(loop, &s, err, sizeof err);
  if (!c) fail_msg("%s", err);
  assert_null(running[k]);
  return running[k] = c;
}

void controller_end(struct tmx_ctl *c) {
  for (int k = 0; k < FAKE_NODES; k++)
    if (running[k] == c) running[k] = NULL;
  tmx_ctl_free(c);
}

bool fake_ready(void *controller) {
  struct tmx_ctl *c = controller;
  size_t n;
  tmx_cloud_types(c->cloud, &n);
  return n > 0 && tmx_link_member(c->link) && tmx_ctl_fresh(c);
}

bool fake_planning(void) {
  for (int k = 0; k < FAKE_NODES; k++)
    if (running[k] && tmx_rounds_planning(running[k]->rounds)) return true;
  return false;
}

void fake_open(void) {
  loop = ev_default_loop(EVFLAG_AUTO);
  memset(&state, 0, sizeof state);
  memset(&cloud, 0, sizeof cloud);
  for (int i = 0; i < FAKE_NODES; i++) {
    state.doors[i].s = &state;
    state.doors[i].srv = tmx_server_new(loop, "127.0.0.1:0", 200, 60, on_state, &state.doors[i]);
    ports[i][0] = reserve_port(&ports[i][1]);
  }
  cloud.srv = tmx_server_new(loop, "127.0.0.1:0", 100, 60, on_cloud, &cloud);
}

void fake_close(void) {
  while (slow_answers) on_slow(loop, &slow_answers->t, 0);
  fake_apart = false;
  fake_adjust = NULL;
  for (int i = 0; i < FAKE_NODES; i++)
    if (state.doors[i].held) tmx_req_reply(state.doors[i].held, 500, NULL, 0);
  for (size_t i = 0; i < state.n_w; i++) tmx_req_reply(state.w[i].req, 503, NULL, 0);
  state.n_w = 0;
  for (int i = 0; i < FAKE_NODES; i++) {
    tmx_server_free(state.doors[i].srv);
    close(ports[i][1]);
    free(state.doors[i].late);
  }
  tmx_server_free(cloud.srv);
  for (size_t i = 0; i < state.n_e; i++) free(state.e[i].value);
  for (size_t i = 0; i < state.n_ev; i++) free(state.ev[i].value);
  free(state.e);
  free(state.ev);
  free(state.lease_until);
  memset(&state, 0, sizeof state);
}
