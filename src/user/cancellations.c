#include <stdio.h>

#include "base/clock.h"
#include "tmx/wire.h"
#include "user/user_internal.h"

/* A final state never changes, so a job that has ended is answered without a read of the state. */
void tmx_user_cancel(struct tmx_user_api *api, struct tmx_http_request *http, const char *id) {
  const struct tmx_job *job = tmx_job_find(api->replica, id);
  if (job && job->outcome) {
    tmx_user_reply_cancel_too_late(http, job);
    return;
  }
  struct tmx_user_request request = {.kind = TMX_USER_CANCEL,
                                     .if_unknown = TMX_UNKNOWN_JOB_NOT_FOUND};
  snprintf(request.id, sizeof request.id, "%.*s", TMX_ID_BYTES - 1, id);
  tmx_user_request_defer(api, http, &request);
}

/* Another transaction changed the job first. The read brings the replica up to date; its callback
 * then commits the cancellation again or, if the job has ended, answers. Returns false if there is
 * no further retry. */
static bool retry_after_conflict(struct tmx_user_request *request) {
  const int max_conflicts = 8;
  if (++request->n_conflicts >= max_conflicts) return false;
  if (tmx_clock_steady() >= request->deadline) return false;
  return tmx_user_request_read_state(request, request->deadline - tmx_clock_steady());
}

static void on_cancellation_answered(void *arg, enum tmx_transaction_result result,
                                     uint64_t revision) {
  struct tmx_user_request *request = arg;
  (void)revision;
  if (result == TMX_TRANSACTION_CONFLICT && retry_after_conflict(request)) return;
  if (result == TMX_TRANSACTION_COMMITTED)
    tmx_user_reply_state(request->http, 200, request->id, WV_CANCELLED);
  else /* the cancellation may still have been committed; the user can repeat it */
    tmx_user_reply_unavailable(request->http, "cancellation not confirmed");
  tmx_user_request_finish(request);
}

/* The transaction is committed only if the version of the job's key is still the replica's. The
 * job's completion changes this version. The transaction also writes the head key, so that a batch
 * planned before the cancellation gets a conflict and cannot start a task of the job. */
void tmx_user_request_commit_cancellation(struct tmx_user_request *request) {
  const struct tmx_user_api *api = request->api;
  const struct tmx_job *job = tmx_job_find(api->replica, request->id);
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", request->id);
  tmx_transaction_require_version(&transaction, key, job->version);
  tmx_job_encode_final(&value, job, TMX_JOB_CANCELLED, 0, tmx_value_json_length_max(api->settings));
  tmx_transaction_put(&transaction, key, &value, 0);
  tmx_transaction_advance_head(&transaction, api->settings->node_name);
  tmx_buffer_free(&value);
  if (tmx_store_commit(api->store, &transaction, true, on_cancellation_answered, request)) return;
  tmx_user_reply_unavailable(request->http, "no connection to the store");
  tmx_user_request_finish(request);
}
