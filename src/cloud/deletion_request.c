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
  return request->count == TMX_DELETION_REQUEST_MACHINES_MAX;
}

void tmx_deletion_request_add(struct tmx_deletion_request *request, const char *id,
                              enum tmx_deletion_reason reason) {
  tmx_log(TMX_LOG_INFO, "cloud: deleting %s: %s", id, tmx_deletion_reason_text(reason));
  snprintf(request->ids[request->count++], TMX_ID_BYTES, "%s", id);
}

/* Appends the removal of the machine to the log. The cloud deletes a machine together with its
 * processes, so the deletion proves that the machine's tasks have ended. */
static void queue_removal_line(struct tmx_cloud *cloud, const char *id) {
  char line[TMX_LOG_LINE_BYTES];
  if (!tmx_machine_find(cloud->replica, id)) return;
  snprintf(line, sizeof line, "%c %s", TMX_LINE_MACHINE_REMOVED, id);
  tmx_scheduler_queue_log_line(cloud->scheduler, line);
}

/* Keeps the instances marked as deleting. The cloud's list lags and may still show a deleted
 * instance; the mark prevents a second deletion until the instance has left the inventory. */
static void handle_success(struct tmx_deletion_request *request) {
  for (size_t i = 0; i < request->count; i++) {
    tmx_inventory_find_or_add(&request->cloud->inventory, request->ids[i])->deleting = true;
    queue_removal_line(request->cloud, request->ids[i]);
  }
}

static void handle_failure(struct tmx_deletion_request *request) {
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
    handle_success(request);
  else
    handle_failure(request);
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
    handle_failure(request);
    free(request);
  }
}
