/* Scripted workers. */
#include "fake_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"

void fake_worker_encode_report(const struct fake_worker *worker, struct tmx_buffer *buffer) {
  tmx_cbor_put_map(buffer, 9);
  tmx_cbor_put_text_field(buffer, W_MACHINE, worker->id);
  tmx_cbor_put_text_field(buffer, W_ADDR, worker->addr);
  tmx_cbor_put_text_field(buffer, W_TYPE, "big");
  tmx_cbor_put_text_field(buffer, W_ZONE, "a");
  tmx_cbor_put_bool_field(buffer, W_SPOT, false);
  tmx_cbor_put_u64_field(buffer, W_SESSION, worker->session);
  tmx_cbor_put_u64_field(buffer, W_SEQ, worker->sequence);
  tmx_cbor_put_u64_field(buffer, W_TOKEN, worker->token);
  tmx_cbor_put_text(buffer, W_TASKS);
  tmx_cbor_put_list(buffer, worker->n_tasks);
  for (size_t i = 0; i < worker->n_tasks; i++) {
    bool over = !strcmp(worker->tasks[i].state, WV_EXITED);
    tmx_cbor_put_map(buffer, over ? 4 : 3);
    tmx_cbor_put_text_field(buffer, W_TASK, worker->tasks[i].task);
    tmx_cbor_put_u64_field(buffer, W_ATTEMPT, worker->tasks[i].attempt);
    tmx_cbor_put_text_field(buffer, W_STATE, worker->tasks[i].state);
    if (over) tmx_cbor_put_text_field(buffer, W_WHY, worker->tasks[i].why);
  }
}

void fake_worker_set_task(struct fake_worker *worker, const char *task, uint32_t attempt,
                          const char *st, const char *why) {
  size_t i;
  for (i = 0; i < worker->n_tasks; i++)
    if (!strcmp(worker->tasks[i].task, task) && worker->tasks[i].attempt == attempt) break;
  if (!st) {
    if (i < worker->n_tasks) worker->tasks[i] = worker->tasks[--worker->n_tasks];
    return;
  }
  assert_in_range(i, 0, FAKE_LOADS - 1);
  if (i == worker->n_tasks) worker->n_tasks++;
  snprintf(worker->tasks[i].task, sizeof worker->tasks[i].task, "%s", task);
  snprintf(worker->tasks[i].state, sizeof worker->tasks[i].state, "%s", st);
  snprintf(worker->tasks[i].why, sizeof worker->tasks[i].why, "%s", why ? why : "");
  worker->tasks[i].attempt = attempt;
}

static void take_orders(struct fake_worker *worker, const cbor_item_t *map) {
  const cbor_item_t *list = tmx_cbor_get(map, W_COMMANDS);
  worker->n_commands_received = 0;
  for (size_t i = 0; i < tmx_cbor_list_length(list) && worker->n_commands_received < 64; i++) {
    struct fake_command *o = &worker->commands_received[worker->n_commands_received++];
    uint64_t a = 0;
    tmx_cbor_get_text(tmx_cbor_list_at(list, i), W_OP, o->verb, sizeof o->verb);
    tmx_cbor_get_text(tmx_cbor_list_at(list, i), W_TASK, o->task, sizeof o->task);
    tmx_cbor_get_u64(tmx_cbor_list_at(list, i), W_ATTEMPT, &a);
    o->attempt = (uint32_t)a;
  }
}

void fake_worker_execute_commands(struct fake_worker *worker) {
  for (size_t i = 0; i < worker->n_commands_received; i++) {
    const struct fake_command *o = &worker->commands_received[i];
    bool held = false;
    for (size_t k = 0; k < worker->n_tasks; k++)
      held |= !strcmp(worker->tasks[k].task, o->task) && worker->tasks[k].attempt == o->attempt;
    if (!strcmp(o->verb, WV_START) && !held) {
      fake_worker_set_task(worker, o->task, o->attempt, WV_RUNNING, NULL);
      worker->executed_starts++;
    } else if (!strcmp(o->verb, WV_STOP) && held) {
      fake_worker_set_task(worker, o->task, o->attempt, WV_EXITED, WV_STOPPED);
    } else if (!strcmp(o->verb, WV_FORGET)) {
      fake_worker_set_task(worker, o->task, o->attempt, NULL, NULL);
    }
  }
  worker->n_commands_received = 0;
}

static void on_worker(void *arg, struct tmx_http_request *request) {
  struct fake_worker *worker = arg;
  struct tmx_buffer buffer = {0};
  if (worker->silent || (worker->mute && !strcmp(request->path, WP_COMMANDS))) {
    if (!strcmp(request->path, WP_COMMANDS)) worker->commands++;
    tmx_http_reply(request, 500, NULL, 0);
    return;
  }
  int status = 200;
  if (!strcmp(request->path, WP_COMMANDS)) {
    cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
    uint64_t token = 0, session = 0;
    tmx_cbor_get_u64(map, W_TOKEN, &token);
    tmx_cbor_get_u64(map, W_SESSION, &session);
    worker->commands++;
    if (token < worker->token || session != worker->session) {
      status = 409;
    } else {
      worker->token = token;
      take_orders(worker, map);
      fake_worker_execute_commands(worker);
      if (worker->on_command) worker->on_command(worker, token);
    }
    tmx_cbor_free(map);
  }
  worker->sequence++;
  fake_worker_encode_report(worker, &buffer);
  tmx_http_reply(request, status, &buffer, 0);
  tmx_buffer_free(&buffer);
}

void fake_worker_open(struct fake_worker *worker, const char *id) {
  memset(worker, 0, sizeof *worker);
  snprintf(worker->id, sizeof worker->id, "%s", id);
  worker->session = 1;
  worker->server = tmx_http_server_new(test_loop, "127.0.0.1:0", 16, 60, on_worker, worker);
  assert_non_null(worker->server);
  snprintf(worker->addr, sizeof worker->addr, "127.0.0.1:%d", tmx_http_server_port(worker->server));
}

void fake_worker_take_response(struct fake_worker *worker, int status, const uint8_t *body,
                               size_t len) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  worker->status = status;
  worker->redirected_to[0] = 0;
  worker->answer_token = 0;
  worker->n_commands_received = 0;
  if (status == 200) {
    tmx_cbor_get_u64(map, W_TOKEN, &worker->answer_token);
    if (worker->answer_token >= worker->token) {
      worker->token = worker->answer_token;
      take_orders(worker, map);
    }
  } else if (map) {
    tmx_cbor_get_text(map, W_REPORT_TO, worker->redirected_to, sizeof worker->redirected_to);
  }
  tmx_cbor_free(map);
}

static void on_reported(void *arg, int status, const uint8_t *body, size_t len) {
  struct fake_waiting *x = arg;
  x->done = true;
  fake_worker_take_response(x->w, status, body, len);
}

void fake_worker_send_heartbeat(struct fake_worker *worker, struct tmx_controller *controller) {
  struct fake_waiting x = {.w = worker};
  struct tmx_buffer buffer = {0};
  struct tmx_http_client *k = client_of(controller);
  worker->sequence++;
  fake_worker_encode_report(worker, &buffer);
  assert_true(tmx_http_client_call(k, "POST", WP_REPORT, &buffer, 5, on_reported, &x));
  tmx_buffer_free(&buffer);
  assert_true(run_loop_until(fake_is_done, &x));
  tmx_http_client_free(k);
}

bool fake_worker_was_commanded(const struct fake_worker *worker, const char *op, const char *task,
                               uint32_t attempt) {
  for (size_t i = 0; i < worker->n_commands_received; i++)
    if (!strcmp(worker->commands_received[i].verb, op) &&
        !strcmp(worker->commands_received[i].task, task) &&
        worker->commands_received[i].attempt == attempt)
      return true;
  return false;
}
