#include "user/user_api.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "tmx/wire.h"
#include "user/user_internal.h"

struct tmx_users *tmx_users_new(const struct tmx_users_dependencies *dependencies) {
  struct tmx_users *users = tmx_allocate(1, sizeof *users);
  users->settings = dependencies->settings;
  users->replica = dependencies->replica;
  users->store = dependencies->store;
  users->catalog = dependencies->catalog;
  users->admission = dependencies->admission;
  users->scheduler = dependencies->scheduler;
  return users;
}

void tmx_users_free(struct tmx_users *users) { free(users); }

static void handle_collection(struct tmx_users *users, struct tmx_http_request *http) {
  if (http->method == HTTP_POST)
    tmx_user_submit(users, http);
  else
    tmx_http_reply(http, 405, NULL, 0);
}

static void handle_job(struct tmx_users *users, struct tmx_http_request *http, const char *id,
                       bool cancel) {
  if (http->method != (cancel ? HTTP_POST : HTTP_GET))
    tmx_http_reply(http, 405, NULL, 0);
  else if (!tmx_job_id_is_valid(id))
    tmx_http_reply(http, 404, NULL, 0);
  else if (!users->replica->loaded)
    tmx_user_reply_unavailable(http, "no state");
  else if (cancel)
    tmx_user_cancel(users, http, id);
  else
    tmx_user_poll(users, http, id);
}

/* Splits what follows the collection's path; false: it is not the path of a job or its
 * cancellation. */
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

bool tmx_users_handle(struct tmx_users *users, struct tmx_http_request *request) {
  static const char collection[] = WP_JOBS;
  char id[TMX_PATH_BYTES];
  bool cancel;
  if (strncmp(request->path, collection, sizeof collection - 1)) return false;
  const char *rest = request->path + sizeof collection - 1;
  if (!*rest) {
    handle_collection(users, request);
    return true;
  }
  if (!split_job_path(rest, id, &cancel)) return false;
  handle_job(users, request, id, cancel);
  return true;
}
