#include "cloud/deletion_request.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/memory.h"
#include "net/cbor.h"
#include "tmx/wire.h"

struct tmx_deletion_request *tmx_deletion_request_new(struct tmx_cloud *cloud) {
  struct tmx_deletion_request *request = tmx_allocate(1, sizeof *request);
  request->cloud = cloud;
  return request;
}

bool tmx_deletion_request_is_full(const struct tmx_deletion_request *request) {
  return request->count == TMX_SCALE_IN_MAX;
}

void tmx_deletion_request_add(struct tmx_deletion_request *request, const char *id,
                              enum tmx_deletion_reason reason) {
  tmx_log(TMX_LOG_INFO, "cloud: deleting %s: %s", id, tmx_deletion_reason_text(reason));
  snprintf(request->ids[request->count++], TMX_ID_MAX, "%s", id);
}

/* A deleted machine is gone with all that was on it: that is the proof that its tasks have ended,
 * which the log records. */
static void record_removed(struct tmx_cloud *cloud, const char *id) {
  char line[TMX_LINE_MAX];
  if (!tmx_machine_find(cloud->replica, id)) return;
  snprintf(line, sizeof line, "%c %s", TMX_LINE_MACHINE_REMOVED, id);
  tmx_scheduler_queue_log_line(cloud->scheduler, line);
}

/* Lists lag behind, so a deleted instance stays marked until no list has shown it for long, and is
 * not deleted again. */
static void take_deleted(struct tmx_deletion_request *request) {
  for (size_t i = 0; i < request->count; i++) {
    tmx_inventory_obtain(&request->cloud->inventory, request->ids[i])->deleting = true;
    record_removed(request->cloud, request->ids[i]);
  }
}

static void take_refused(struct tmx_deletion_request *request) {
  for (size_t i = 0; i < request->count; i++) {
    struct tmx_instance *instance = tmx_inventory_find(&request->cloud->inventory, request->ids[i]);
    if (instance) instance->deleting = false;
  }
}

static void on_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_deletion_request *request = arg;
  (void)body;
  (void)length;
  request->cloud->deletion_in_flight = NULL;
  if (status == 200)
    take_deleted(request);
  else
    take_refused(request);
  free(request);
}

static bool send_request(struct tmx_deletion_request *request) {
  struct tmx_cloud_api *api = request->cloud->api;
  if (!request->count || !tmx_cloud_api_take_token(api)) return false;
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 1);
  tmx_cbor_put_text(&body, W_MACHINES);
  tmx_cbor_put_array(&body, request->count);
  for (size_t i = 0; i < request->count; i++) tmx_cbor_put_text(&body, request->ids[i]);
  bool sent = tmx_cloud_api_call(api, "POST", WP_DELETE, &body, on_response, request);
  tmx_buffer_free(&body);
  return sent;
}

void tmx_deletion_request_send(struct tmx_deletion_request *request) {
  if (send_request(request)) {
    request->cloud->deletion_in_flight = request;
  } else {
    take_refused(request);
    free(request);
  }
}
