#include <stdlib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "user/submission_reader.h"
#include "user/user_internal.h"

struct tmx_user_request *tmx_user_request_new(struct tmx_users *users,
                                              struct tmx_http_request *http,
                                              const struct tmx_user_request *request) {
  struct tmx_user_request *copy = tmx_allocate(1, sizeof *copy);
  *copy = *request;
  copy->users = users;
  copy->http = http;
  copy->received_at = tmx_clock_steady();
  users->n_waiting++;
  return copy;
}

void tmx_user_request_finish(struct tmx_user_request *request) {
  request->users->n_waiting--;
  tmx_user_submission_free(request->submission);
  free(request);
}

/* The job is not known, and all that was committed before the request came is. */
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
    tmx_user_reply_unavailable(request->http, "the state was not read in time");
    tmx_user_request_finish(request);
    return;
  }
  struct tmx_job *job = tmx_job_find(request->users->replica, request->id);
  if (job)
    continue_known_job(request, job);
  else
    continue_unknown_job(request);
}

bool tmx_user_request_read_state(struct tmx_user_request *request, double within_s) {
  return tmx_store_read_index(request->users->store, within_s, on_state_read, request);
}

/* When more ask than can be answered, polls about a job of which somebody was told lately go last,
 * so that none stays without an answer however many others ask. */
static int max_waiting(const struct tmx_users *users, const struct tmx_user_request *request) {
  const struct tmx_job *job = tmx_job_find(users->replica, request->id);
  bool first = request->kind != TMX_USER_POLL ||
               (job && tmx_clock_steady() - job->answered_at > TMX_POLL_PRIORITY_AFTER_S);
  return first ? TMX_WAITING_REQUESTS_MAX : TMX_WAITING_REQUESTS_MAX / 2;
}

/* Where the state is out of reach nothing can be decided: the sender goes elsewhere at once. */
static const char *reason_not_to_wait(const struct tmx_users *users,
                                      const struct tmx_user_request *request) {
  if (!tmx_store_is_reachable(users->store)) return "no state";
  if (users->n_waiting >= max_waiting(users, request)) return "too many wait";
  return NULL;
}

void tmx_user_request_wait(struct tmx_users *users, struct tmx_http_request *http,
                           const struct tmx_user_request *request) {
  const char *reason = reason_not_to_wait(users, request);
  if (reason) {
    tmx_user_submission_free(request->submission);
    tmx_user_reply_unavailable(http, reason);
    return;
  }
  double within_s =
      request->kind == TMX_USER_POLL ? TMX_POLL_WAIT_MAX_S : TMX_SUBMISSION_WAIT_MAX_S;
  struct tmx_user_request *waiting = tmx_user_request_new(users, http, request);
  waiting->deadline = tmx_clock_steady() + within_s;
  if (tmx_user_request_read_state(waiting, within_s)) return;
  tmx_user_reply_unavailable(http, "too many wait for the state");
  tmx_user_request_finish(waiting);
}
