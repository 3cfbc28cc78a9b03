#include "wire_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct tmx_controller *first_controller;
struct fake_worker worker;
struct relay command_relay;
char controller_address[32];

int setup_recorded_peers(void **state) {
  (void)state;
  fake_start();
  fake_worker_open(&worker, "n-000001");
  relay_open(&command_relay, tmx_http_server_port(worker.server));
  snprintf(worker.address, sizeof worker.address, "%s", command_relay.address);
  first_controller = NULL;
  return 0;
}
int teardown_recorded_peers(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  relay_close(&command_relay);
  tmx_http_server_free(worker.server);
  fake_stop();
  return 0;
}

void start_recorded_controller(int count) {
  first_controller = start_controller(0, count);
  snprintf(controller_address, sizeof controller_address, "127.0.0.1:%d",
           tmx_http_server_port(first_controller->server));
}
void start_ready_controller(void) {
  start_recorded_controller(1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

void record_exchange(struct recording *recording, const char *title,
                     const struct exchange *exchange) {
  record_line(recording, "== %s", title);
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
  record_http(recording, "< ", exchange->response.data, exchange->response.length);
}

void send_and_record(struct recording *recording, const char *title, const char *line,
                     const char *json) {
  struct exchange exchange;
  struct tmx_buffer body = {0};
  if (json) encode_json(&body, json);
  raw_request(controller_address, line, json ? &body : NULL, &exchange);
  record_exchange(recording, title, &exchange);
  exchange_free(&exchange);
  tmx_buffer_free(&body);
}

void send_unrecorded_heartbeat(void) {
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(0.2);
}
