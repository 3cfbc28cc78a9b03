#include "user/user_api.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "tmx/wire.h"
#include "user/user_internal.h"

struct tmx_user_api *tmx_user_api_new(const struct tmx_user_api_dependencies *dependencies) {
  struct tmx_user_api *api = tmx_allocate(1, sizeof *api);
  api->settings = dependencies->settings;
  api->replica = dependencies->replica;
  api->store = dependencies->store;
  api->catalog = dependencies->catalog;
  api->admission = dependencies->admission;
  api->scheduler = dependencies->scheduler;
  return api;
}

void tmx_user_api_free(struct tmx_user_api *api) { free(api); }

static void handle_collection(struct tmx_user_api *api, struct tmx_http_request *http) {
  if (http->method == HTTP_POST)
    tmx_user_submit(api, http);
  else
    tmx_http_reply(http, 405, NULL, 0);
}

static void handle_job(struct tmx_user_api *api, struct tmx_http_request *http, const char *id,
                       bool cancel) {
  if (http->method != (cancel ? HTTP_POST : HTTP_GET))
    tmx_http_reply(http, 405, NULL, 0);
  else if (!tmx_job_id_is_valid(id))
    tmx_http_reply(http, 404, NULL, 0);
  else if (!api->replica->loaded)
    tmx_user_reply_unavailable(http, "replica not loaded");
  else if (cancel)
    tmx_user_cancel(api, http, id);
  else
    tmx_user_poll(api, http, id);
}

/* Splits the part of a path after WP_JOBS into the job's ID and the action, and drops the query.
 * Returns false if it is not the path of a job or of a job's cancellation. */
static bool split_job_path(const char *path, char id[TMX_PATH_BYTES], bool *cancel) {
  if (*path != '/') return false;
  snprintf(id, TMX_PATH_BYTES, "%s", path + 1);
  char *query = strchr(id, '?');
  if (query) *query = 0;
  char *action = strchr(id, '/');
  *cancel = action && !strcmp(action, WP_CANCEL);
  if (action && !*cancel) return false;
  if (action) *action = 0;
  return true;
}

bool tmx_user_api_handle(struct tmx_user_api *api, struct tmx_http_request *request) {
  static const char collection[] = WP_JOBS;
  char id[TMX_PATH_BYTES];
  bool cancel;
  if (strncmp(request->path, collection, sizeof collection - 1)) return false;
  const char *rest = request->path + sizeof collection - 1;
  if (!*rest) {
    handle_collection(api, request);
    return true;
  }
  if (!split_job_path(rest, id, &cancel)) return false;
  handle_job(api, request, id, cancel);
  return true;
}
