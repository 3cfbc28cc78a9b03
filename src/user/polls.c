#include <stdio.h>

#include "user/user_internal.h"

/* A final state never changes, so a job that has ended is answered without a read of the state. */
void tmx_user_poll(struct tmx_user_api *api, struct tmx_http_request *http, const char *id) {
  struct tmx_job *job = tmx_job_find(api->replica, id);
  if (job && job->outcome) {
    tmx_user_reply_job(http, job);
    return;
  }
  struct tmx_user_request request = {.kind = TMX_USER_POLL,
                                     .if_unknown = TMX_UNKNOWN_JOB_NOT_FOUND};
  snprintf(request.id, sizeof request.id, "%.*s", TMX_ID_BYTES - 1, id);
  tmx_user_request_defer(api, http, &request);
}
