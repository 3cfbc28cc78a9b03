/* Scripted workers. */
#include "fake_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "tmx/wire.h"

void worker_encode(const struct fake_worker *w, struct tmx_buffer *buffer) {
  tmx_cbor_put_map(buffer, 9);
  tmx_cbor_put_text_field(buffer, W_MACHINE, w->id);
  tmx_cbor_put_text_field(buffer, W_ADDR, w->addr);
  tmx_cbor_put_text_field(buffer, W_TYPE, "big");
  tmx_cbor_put_text_field(buffer, W_ZONE, "a");
  tmx_cbor_put_bool_field(buffer, W_SPOT, false);
  tmx_cbor_put_u64_field(buffer, W_SESSION, w->session);
  tmx_cbor_put_u64_field(buffer, W_SEQ, w->seq);
  tmx_cbor_put_u64_field(buffer, W_TOKEN, w->token);
  tmx_cbor_put_text(buffer, W_TASKS);
  tmx_cbor_put_list(buffer, w->n_loads);
  for (size_t i = 0; i < w->n_loads; i++) {
    bool over = !strcmp(w->loads[i].state, WV_EXITED);
    tmx_cbor_put_map(buffer, over ? 4 : 3);
    tmx_cbor_put_text_field(buffer, W_TASK, w->loads[i].task);
    tmx_cbor_put_u64_field(buffer, W_ATTEMPT, w->loads[i].attempt);
    tmx_cbor_put_text_field(buffer, W_STATE, w->loads[i].state);
    if (over) tmx_cbor_put_text_field(buffer, W_WHY, w->loads[i].why);
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

static void take_orders(struct fake_worker *w, const cbor_item_t *map) {
  const cbor_item_t *list = tmx_cbor_get(map, W_COMMANDS);
  w->n_orders = 0;
  for (size_t i = 0; i < tmx_cbor_list_length(list) && w->n_orders < 64; i++) {
    struct fake_order *o = &w->orders[w->n_orders++];
    uint64_t a = 0;
    tmx_cbor_get_text(tmx_cbor_list_at(list, i), W_OP, o->op, sizeof o->op);
    tmx_cbor_get_text(tmx_cbor_list_at(list, i), W_TASK, o->task, sizeof o->task);
    tmx_cbor_get_u64(tmx_cbor_list_at(list, i), W_ATTEMPT, &a);
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

static void on_worker(void *arg, struct tmx_http_request *request) {
  struct fake_worker *w = arg;
  struct tmx_buffer buffer = {0};
  if (w->silent || (w->mute && !strcmp(request->path, WP_COMMANDS))) {
    if (!strcmp(request->path, WP_COMMANDS)) w->commands++;
    tmx_http_reply(request, 500, NULL, 0);
    return;
  }
  int status = 200;
  if (!strcmp(request->path, WP_COMMANDS)) {
    cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
    uint64_t token = 0, session = 0;
    tmx_cbor_get_u64(map, W_TOKEN, &token);
    tmx_cbor_get_u64(map, W_SESSION, &session);
    w->commands++;
    if (token < w->token || session != w->session) {
      status = 409;
    } else {
      w->token = token;
      take_orders(w, map);
      worker_do(w);
      if (w->on_command) w->on_command(w, token);
    }
    tmx_cbor_free(map);
  }
  w->seq++;
  worker_encode(w, &buffer);
  tmx_http_reply(request, status, &buffer, 0);
  tmx_buffer_free(&buffer);
}

void worker_open(struct fake_worker *w, const char *id) {
  memset(w, 0, sizeof *w);
  snprintf(w->id, sizeof w->id, "%s", id);
  w->session = 1;
  w->srv = tmx_http_server_new(loop, "127.0.0.1:0", 16, 60, on_worker, w);
  assert_non_null(w->srv);
  snprintf(w->addr, sizeof w->addr, "127.0.0.1:%d", tmx_http_server_port(w->srv));
}

void worker_answered(struct fake_worker *w, int status, const uint8_t *body, size_t len) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  w->status = status;
  w->move_to[0] = 0;
  w->answer_token = 0;
  w->n_orders = 0;
  if (status == 200) {
    tmx_cbor_get_u64(map, W_TOKEN, &w->answer_token);
    if (w->answer_token >= w->token) {
      w->token = w->answer_token;
      take_orders(w, map);
    }
  } else if (map) {
    tmx_cbor_get_text(map, W_REPORT_TO, w->move_to, sizeof w->move_to);
  }
  tmx_cbor_free(map);
}

static void on_reported(void *arg, int status, const uint8_t *body, size_t len) {
  struct fake_waiting *x = arg;
  x->done = true;
  worker_answered(x->w, status, body, len);
}

void worker_report(struct fake_worker *w, struct tmx_ctl *c) {
  struct fake_waiting x = {.w = w};
  struct tmx_buffer buffer = {0};
  struct tmx_http_client *k = to(c);
  w->seq++;
  worker_encode(w, &buffer);
  assert_true(tmx_http_client_call(k, "POST", WP_REPORT, &buffer, 5, on_reported, &x));
  tmx_buffer_free(&buffer);
  assert_true(pump(fake_is_done, &x));
  tmx_http_client_free(k);
}

bool worker_has(const struct fake_worker *w, const char *op, const char *task, uint32_t attempt) {
  for (size_t i = 0; i < w->n_orders; i++)
    if (!strcmp(w->orders[i].op, op) && !strcmp(w->orders[i].task, task) &&
        w->orders[i].attempt == attempt)
      return true;
  return false;
}
