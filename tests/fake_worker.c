#include "fake_worker.h"

#include <stdio.h>
#include <string.h>

#include "fake_controllers.h"
#include "fake_loop.h"
#include "net/cbor.h"
#include "net/http.h"
#include "test.h"
#include "tmx/wire.h"

enum { WORKER_TIMEOUT_S = 5 };

void fake_worker_encode_report(const struct fake_worker *worker, struct tmx_buffer *buffer) {
  tmx_cbor_put_map(buffer, 9);
  tmx_cbor_put_text_field(buffer, W_MACHINE, worker->id);
  tmx_cbor_put_text_field(buffer, W_ADDR, worker->address);
  tmx_cbor_put_text_field(buffer, W_TYPE, "big");
  tmx_cbor_put_text_field(buffer, W_ZONE, worker->zone);
  tmx_cbor_put_bool_field(buffer, W_SPOT, false);
  tmx_cbor_put_u64_field(buffer, W_SESSION, worker->session);
  tmx_cbor_put_u64_field(buffer, W_SEQUENCE, worker->sequence);
  tmx_cbor_put_u64_field(buffer, W_TOKEN, worker->token);
  tmx_cbor_put_text(buffer, W_TASKS);
  tmx_cbor_put_array(buffer, worker->n_tasks);
  for (size_t i = 0; i < worker->n_tasks; i++) {
    bool ended = !strcmp(worker->tasks[i].state, WV_EXITED);
    tmx_cbor_put_map(buffer, ended ? 4 : 3);
    tmx_cbor_put_text_field(buffer, W_TASK, worker->tasks[i].task);
    tmx_cbor_put_u64_field(buffer, W_ATTEMPT, worker->tasks[i].attempt);
    tmx_cbor_put_text_field(buffer, W_STATE, worker->tasks[i].state);
    if (ended) tmx_cbor_put_text_field(buffer, W_REASON, worker->tasks[i].reason);
  }
}

void fake_worker_set_task(struct fake_worker *worker, const char *task, uint32_t attempt,
                          const char *state, const char *reason) {
  size_t i;
  for (i = 0; i < worker->n_tasks; i++)
    if (!strcmp(worker->tasks[i].task, task) && worker->tasks[i].attempt == attempt) break;
  if (!state) {
    if (i < worker->n_tasks) worker->tasks[i] = worker->tasks[--worker->n_tasks];
    return;
  }
  assert_in_range(i, 0, FAKE_WORKER_TASKS_MAX - 1);
  if (i == worker->n_tasks) worker->n_tasks++;
  snprintf(worker->tasks[i].task, sizeof worker->tasks[i].task, "%s", task);
  snprintf(worker->tasks[i].state, sizeof worker->tasks[i].state, "%s", state);
  snprintf(worker->tasks[i].reason, sizeof worker->tasks[i].reason, "%s", reason ? reason : "");
  worker->tasks[i].attempt = attempt;
}

static void decode_commands(const cbor_item_t *map, struct fake_command *commands, size_t *count) {
  const cbor_item_t *list = tmx_cbor_get(map, W_COMMANDS);
  *count = 0;
  for (size_t i = 0; i < tmx_cbor_array_length(list) && *count < FAKE_WORKER_COMMANDS_MAX; i++) {
    struct fake_command *command = &commands[(*count)++];
    uint64_t attempt = 0;
    tmx_cbor_get_text(tmx_cbor_array_at(list, i), W_OPERATION, command->operation,
                      sizeof command->operation);
    tmx_cbor_get_text(tmx_cbor_array_at(list, i), W_TASK, command->task, sizeof command->task);
    tmx_cbor_get_u64(tmx_cbor_array_at(list, i), W_ATTEMPT, &attempt);
    command->attempt = (uint32_t)attempt;
  }
}

void fake_worker_execute_commands(struct fake_worker *worker) {
  for (size_t i = 0; i < worker->n_commands_received; i++) {
    const struct fake_command *command = &worker->commands_received[i];
    bool known = false;
    for (size_t j = 0; j < worker->n_tasks; j++)
      known |= !strcmp(worker->tasks[j].task, command->task) &&
               worker->tasks[j].attempt == command->attempt;
    if (!strcmp(command->operation, WV_START) && !known) {
      fake_worker_set_task(worker, command->task, command->attempt, WV_RUNNING, NULL);
      worker->executed_starts++;
    } else if (!strcmp(command->operation, WV_STOP) && known) {
      fake_worker_set_task(worker, command->task, command->attempt, WV_EXITED, WV_STOPPED);
    } else if (!strcmp(command->operation, WV_FORGET)) {
      fake_worker_set_task(worker, command->task, command->attempt, NULL, NULL);
    }
  }
  worker->n_commands_received = 0;
}

static void decode_request(struct fake_worker *worker, const struct tmx_http_request *request,
                           struct fake_command_request *decoded) {
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  memset(decoded, 0, sizeof *decoded);
  tmx_cbor_get_u64(map, W_TOKEN, &decoded->token);
  tmx_cbor_get_u64(map, W_SESSION, &decoded->session);
  decode_commands(map, decoded->commands, &decoded->n_commands);
  tmx_cbor_free(map);
  struct fake_request_record *record = worker->record;
  if (!record) return;
  assert_in_range(record->n_requests, 0, FAKE_RECORDED_REQUESTS_MAX - 1);
  record->executed[record->n_requests] = false;
  record->requests[record->n_requests++] = *decoded;
}

int fake_worker_execute_request(struct fake_worker *worker,
                                const struct fake_command_request *request) {
  if (request->token < worker->token || request->session != worker->session) return 409;
  worker->token = request->token;
  memcpy(worker->commands_received, request->commands, sizeof request->commands);
  worker->n_commands_received = request->n_commands;
  fake_worker_execute_commands(worker);
  return 200;
}

static void on_request(void *argument, struct tmx_http_request *request) {
  struct fake_worker *worker = argument;
  struct tmx_buffer buffer = {0};
  struct fake_command_request commands = {0};
  bool has_commands = !strcmp(request->path, WP_COMMANDS);
  if (has_commands) {
    worker->command_requests++;
    decode_request(worker, request, &commands);
  }
  if (worker->unresponsive || (worker->fails_commands && has_commands)) {
    tmx_http_reply(request, 500, NULL, 0);
    return;
  }
  int status = has_commands ? fake_worker_execute_request(worker, &commands) : 200;
  if (has_commands && worker->record)
    worker->record->executed[worker->record->n_requests - 1] = status == 200;
  if (has_commands && status == 200 && worker->on_command) worker->on_command(worker, &commands);
  worker->sequence++;
  fake_worker_encode_report(worker, &buffer);
  tmx_http_reply(request, status, &buffer, 0);
  tmx_buffer_free(&buffer);
}

void fake_worker_open(struct fake_worker *worker, const char *id) {
  memset(worker, 0, sizeof *worker);
  snprintf(worker->id, sizeof worker->id, "%s", id);
  worker->zone = "a";
  worker->session = 1;
  worker->server = tmx_http_server_new(test_loop, "127.0.0.1:0", 16, 60, on_request, worker);
  assert_non_null(worker->server);
  snprintf(worker->address, sizeof worker->address, "127.0.0.1:%d",
           tmx_http_server_port(worker->server));
}

void fake_worker_handle_response(struct fake_worker *worker, int status, const uint8_t *body,
                                 size_t length) {
  cbor_item_t *map = tmx_cbor_parse(body, length);
  worker->report_status = status;
  worker->redirected_to[0] = 0;
  worker->response_token = 0;
  worker->n_commands_received = 0;
  if (status == 200) {
    tmx_cbor_get_u64(map, W_TOKEN, &worker->response_token);
    if (worker->response_token >= worker->token) {
      worker->token = worker->response_token;
      decode_commands(map, worker->commands_received, &worker->n_commands_received);
    }
  } else if (map) {
    tmx_cbor_get_text(map, W_OWNER, worker->redirected_to, sizeof worker->redirected_to);
  }
  tmx_cbor_free(map);
}

/* A heartbeat whose response the test waits for. */
struct heartbeat {
  struct fake_worker *worker;
  bool answered;
};

static void on_response(void *argument, int status, const uint8_t *body, size_t length) {
  struct heartbeat *heartbeat = argument;
  heartbeat->answered = true;
  fake_worker_handle_response(heartbeat->worker, status, body, length);
}

static bool is_answered(void *argument) {
  const struct heartbeat *heartbeat = argument;
  return heartbeat->answered;
}

void fake_worker_send_heartbeat(struct fake_worker *worker, struct tmx_controller *controller) {
  struct heartbeat heartbeat = {.worker = worker};
  struct tmx_buffer buffer = {0};
  struct tmx_http_client *client = new_controller_client(controller);
  worker->sequence++;
  fake_worker_encode_report(worker, &buffer);
  assert_true(tmx_http_client_call(client, "POST", WP_REPORT, &buffer, WORKER_TIMEOUT_S,
                                   on_response, &heartbeat));
  tmx_buffer_free(&buffer);
  assert_true(run_loop_until(is_answered, &heartbeat));
  tmx_http_client_free(client);
}

bool fake_worker_was_commanded(const struct fake_worker *worker, const char *operation,
                               const char *task, uint32_t attempt) {
  for (size_t i = 0; i < worker->n_commands_received; i++)
    if (!strcmp(worker->commands_received[i].operation, operation) &&
        !strcmp(worker->commands_received[i].task, task) &&
        worker->commands_received[i].attempt == attempt)
      return true;
  return false;
}
