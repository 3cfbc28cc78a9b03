#include "fake_users.h"

#include <stdio.h>

#include "fake_controllers.h"
#include "fake_loop.h"
#include "net/cbor.h"
#include "net/http.h"
#include "test.h"
#include "tmx/wire.h"

enum { USER_TIMEOUT_S = 5 };

static bool is_answered(void *argument) {
  const struct fake_response *response = argument;
  return response->done;
}

static void on_user_response(void *argument, int status, const uint8_t *body, size_t length) {
  struct fake_response *response = argument;
  cbor_item_t *map = tmx_cbor_parse(body, length);
  response->done = true;
  response->status = status;
  tmx_cbor_get_text(map, W_STATE, response->state, sizeof response->state);
  tmx_cbor_free(map);
}

struct fake_response send_request(struct tmx_controller *controller, const char *method,
                                  const char *path, const struct tmx_buffer *body) {
  struct fake_response response = {0};
  struct tmx_http_client *client = new_controller_client(controller);
  assert_true(tmx_http_client_call(client, method, path, body, USER_TIMEOUT_S, on_user_response,
                                   &response));
  run_loop_until(is_answered, &response);
  struct fake_response received = response; /* freeing the client may call on_user_response again */
  tmx_http_client_free(client);
  return received;
}

void encode_submission(struct tmx_buffer *buffer, const char *id, const char *kind, uint32_t tasks,
                       double cpus, const char *team) {
  encode_submission_with_dependencies(buffer, id, kind, tasks, cpus, team, NULL);
}

void encode_submission_with_dependencies(struct tmx_buffer *buffer, const char *id,
                                         const char *kind, uint32_t tasks, double cpus,
                                         const char *team, const struct tmx_buffer *dependencies) {
  struct fake_job job = {.id = id,
                         .kind = kind,
                         .team = team,
                         .tasks = tasks,
                         .cpus = cpus,
                         .dependencies = dependencies};
  encode_job_submission(buffer, &job);
}

void encode_job_submission(struct tmx_buffer *buffer, const struct fake_job *job) {
  tmx_cbor_put_map(buffer,
                   17u + (job->dependencies != NULL) + (job->types != NULL) + (job->zone != NULL));
  if (job->zone) tmx_cbor_put_text_field(buffer, W_ZONE, job->zone);
  if (job->types) {
    tmx_cbor_put_text(buffer, W_TYPES);
    tmx_buffer_append(buffer, job->types->data, job->types->length);
  }
  if (job->dependencies) {
    tmx_cbor_put_text(buffer, W_DEPENDENCIES);
    tmx_buffer_append(buffer, job->dependencies->data, job->dependencies->length);
  }
  tmx_cbor_put_text_field(buffer, W_ID, job->id);
  tmx_cbor_put_text_field(buffer, W_CLASS, job->class ? job->class : "c");
  tmx_cbor_put_text_field(buffer, W_TEAM, job->team);
  tmx_cbor_put_text_field(buffer, W_KIND, job->kind ? job->kind : WV_ARRAY);
  tmx_cbor_put_text_field(buffer, W_PRIORITY, job->priority ? job->priority : "normal");
  tmx_cbor_put_u64_field(buffer, W_TASKS, job->tasks);
  tmx_cbor_put_double_field(buffer, W_CPUS, job->cpus);
  tmx_cbor_put_double_field(buffer, W_GPUS, 0);
  tmx_cbor_put_double_field(buffer, W_MEM, 1);
  tmx_cbor_put_bool_field(buffer, W_ONE_ZONE, job->one_zone);
  tmx_cbor_put_bool_field(buffer, W_SPREAD, job->spread);
  tmx_cbor_put_bool_field(buffer, W_SPOT, false);
  tmx_cbor_put_text_field(buffer, W_IMAGE, "img");
  tmx_cbor_put_double_field(buffer, W_IMAGE_GB, 0.1);
  tmx_cbor_put_double_field(buffer, W_ESTIMATE, job->estimate_s > 0 ? job->estimate_s : 10);
  tmx_cbor_put_double_field(buffer, W_CHECKPOINT, 0);
  tmx_cbor_put_double_field(buffer, W_CHECKPOINT_SAVE, 0);
}

int submit_job(struct tmx_controller *controller, const struct fake_job *job) {
  struct tmx_buffer buffer = {0};
  encode_job_submission(&buffer, job);
  struct fake_response response = send_request(controller, "POST", WP_JOBS, &buffer);
  tmx_buffer_free(&buffer);
  return response.status;
}

int submit_simple_job(struct tmx_controller *controller, const char *id, const char *kind,
                      uint32_t tasks, double cpus, const char *team) {
  struct fake_job job = {.id = id, .kind = kind, .team = team, .tasks = tasks, .cpus = cpus};
  return submit_job(controller, &job);
}

struct fake_response poll_job(struct tmx_controller *controller, const char *id) {
  char path[128];
  snprintf(path, sizeof path, WP_JOBS "/%s", id);
  return send_request(controller, "GET", path, NULL);
}

struct fake_response cancel_job(struct tmx_controller *controller, const char *id) {
  char path[128];
  snprintf(path, sizeof path, WP_JOBS "/%s" WP_CANCEL, id);
  return send_request(controller, "POST", path, NULL);
}
