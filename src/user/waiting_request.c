#include <stdlib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "user/submission_reader.h"
#include "user/user_internal.h"

struct tmx_user_request *tmx_user_request_new(struct tmx_user_api *api,
                                              struct tmx_http_request *http,
                                              const struct tmx_user_request *request) {
  struct tmx_user_request *copy = tmx_allocate(1, sizeof *copy);
  *copy = *request;
  copy->api = api;
  copy->http = http;
  copy->received_at = tmx_clock_steady();
  api->n_waiting++;
  return copy;
}

void tmx_user_request_finish(struct tmx_user_request *request) {
  request->api->n_waiting--;
  tmx_user_submission_free(request->submission);
  free(request);
}

/* The replica does not contain the job, although it contains everything that was committed before
 * the request was received. */
static void continue_unknown_job(struct tmx_user_request *request) {
  switch (request->if_unknown) {
    case TMX_UNKNOWN_JOB_NOT_FOUND:
      tmx_http_reply(request->http, 404, NULL, 0);
      break;
    case TMX_UNKNOWN_JOB_MALFORMED:
      tmx_http_reply(request->http, 400, NULL, 0);
      break;
    case TMX_UNKNOWN_JOB_REJECTED:
      tmx_http_reply(request->http, 422, NULL, 0);
      break;
    case TMX_UNKNOWN_JOB_RETRY:
      tmx_http_reply(request->http, 503, NULL, tmx_retry_after());
      break;
    case TMX_UNKNOWN_JOB_OVERLOAD:
      tmx_user_request_reply_overload(request);
      break;
    case TMX_UNKNOWN_JOB_SUBMIT:
      tmx_user_request_submit(request);
      return;
  }
  tmx_user_request_finish(request);
}

static void continue_known_job(struct tmx_user_request *request, struct tmx_job *job) {
  if (request->kind == TMX_USER_CANCEL && !job->outcome) {
    tmx_user_request_commit_cancellation(request);
    return;
  }
  if (request->kind == TMX_USER_CANCEL)
    tmx_user_reply_cancel_too_late(request->http, job);
  else
    tmx_user_reply_job(request->http, job);
  tmx_user_request_finish(request);
}

static void on_state_read(void *arg, bool ok) {
  struct tmx_user_request *request = arg;
  if (!ok) {
    tmx_user_reply_unavailable(request->http, "read of the state timed out");
    tmx_user_request_finish(request);
    return;
  }
  struct tmx_job *job = tmx_job_find(request->api->replica, request->id);
  if (job)
    continue_known_job(request, job);
  else
    continue_unknown_job(request);
}

bool tmx_user_request_read_state(struct tmx_user_request *request, double within_s) {
  return tmx_store_read_index(request->api->store, within_s, on_state_read, request);
}

/* Returns the number of waiting requests at which this request is refused. Only half of the queue
 * is open to polls of unknown jobs and of jobs whose state was sent to a user within
 * TMX_POLL_PRIORITY_AFTER_S. The other half is reserved for other requests, so that overload does
 * not delay the response for any job for a long time. */
static int max_waiting(const struct tmx_user_api *api, const struct tmx_user_request *request) {
  const struct tmx_job *job = tmx_job_find(api->replica, request->id);
  bool has_priority = request->kind != TMX_USER_POLL ||
                      (job && tmx_clock_steady() - job->answered_at > TMX_POLL_PRIORITY_AFTER_S);
  return has_priority ? TMX_WAITING_REQUESTS_MAX : TMX_WAITING_REQUESTS_MAX / 2;
}

/* Returns why the request is refused immediately, or NULL. While the store is unreachable no read
 * can complete, and an early refusal allows the client to try another controller. */
static const char *refusal_reason(const struct tmx_user_api *api,
                                  const struct tmx_user_request *request) {
  if (!tmx_store_is_reachable(api->store)) return "store unreachable";
  if (api->n_waiting >= max_waiting(api, request)) return "too many waiting requests";
  return NULL;
}

void tmx_user_request_defer(struct tmx_user_api *api, struct tmx_http_request *http,
                            const struct tmx_user_request *request) {
  const char *reason = refusal_reason(api, request);
  if (reason) {
    tmx_user_submission_free(request->submission);
    tmx_user_reply_unavailable(http, reason);
    return;
  }
  double within_s =
      request->kind == TMX_USER_POLL ? TMX_POLL_WAIT_MAX_S : TMX_SUBMISSION_WAIT_MAX_S;
  struct tmx_user_request *waiting = tmx_user_request_new(api, http, request);
  waiting->deadline = tmx_clock_steady() + within_s;
  if (tmx_user_request_read_state(waiting, within_s)) return;
  tmx_user_reply_unavailable(http, "too many waiting reads");
  tmx_user_request_finish(waiting);
}
