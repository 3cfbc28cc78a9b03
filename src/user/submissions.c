#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "tmx/wire.h"
#include "user/submission_reader.h"
#include "user/submission_validation.h"
#include "user/user_internal.h"

void tmx_user_request_reply_overload(const struct tmx_user_request *request) {
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG,
            "user: submission of %s refused with 503: backlog %.1f s, ceiling %.1f s", request->id,
            request->admission_decision.backlog_s, request->admission_decision.ceiling_s);
  tmx_admission_control_count_answer(request->api->admission, &request->admission_request,
                                     request->admission_decision.result);
  tmx_http_reply(request->http, 503, NULL,
                 tmx_admission_control_retry_after(&request->admission_decision));
}

static void reply_accepted(const struct tmx_user_request *request) {
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "job: %s accepted in %.0f ms", request->id,
            (tmx_clock_steady() - request->received_at) * 1000);
  tmx_user_reply_state(request->http, 201, request->id,
                       request->depends_on_cancelled ? WV_CANCELLED : WV_PENDING);
  tmx_admission_control_count_answer(request->api->admission, &request->admission_request,
                                     TMX_ADMITTED);
}

/* The team or the class has reached its ceiling. The state is read before the refusal, because
 * another controller may have accepted the job already. */
static bool read_state_before_refusal(struct tmx_user_request *request) {
  static const struct tmx_job_ids no_dependencies;
  request->admission_decision = tmx_admission_control_decide(
      request->api->admission, &request->admission_request, &no_dependencies);
  request->if_unknown = TMX_UNKNOWN_JOB_OVERLOAD;
  return tmx_user_request_read_state(request, TMX_SUBMISSION_WAIT_MAX_S);
}

/* The job is in the replica already. The read ensures that the response is up to date. */
static bool read_state_of_known_job(struct tmx_user_request *request) {
  request->if_unknown = TMX_UNKNOWN_JOB_RETRY;
  if (!tmx_user_request_read_state(request, TMX_SUBMISSION_WAIT_MAX_S)) return false;
  tmx_store_expedite_read_index(request->api->store);
  return true;
}

static void on_submission_settled(void *arg, enum tmx_submission_outcome outcome) {
  struct tmx_user_request *request = arg;
  switch (outcome) {
    case TMX_SUBMISSION_COMMITTED:
      reply_accepted(request);
      break;
    case TMX_SUBMISSION_NOT_ADMITTED:
      if (read_state_before_refusal(request)) return;
      tmx_user_request_reply_overload(request);
      break;
    case TMX_SUBMISSION_NOT_COMMITTED:
      tmx_user_reply_unavailable(request->http, "submission not committed");
      break;
    case TMX_SUBMISSION_ALREADY_COMMITTED:
      if (read_state_of_known_job(request)) return;
      tmx_user_reply_unavailable(request->http, "outcome of the submission unknown");
      break;
    case TMX_SUBMISSION_OUTCOME_UNKNOWN:
      tmx_user_reply_unavailable(request->http, "outcome of the submission unknown");
      break;
  }
  tmx_user_request_finish(request);
}

/* Removes the prerequisites that are done. Done is a final state, so they need not be stored. */
static void remove_done(const struct tmx_replica *replica, struct tmx_job_ids *ids) {
  uint32_t n = 0;
  for (uint32_t i = 0; i < ids->count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, ids->ids[i]);
    if (job && job->outcome == TMX_JOB_DONE) continue;
    if (n != i) memcpy(ids->ids[n], ids->ids[i], TMX_ID_BYTES);
    n++;
  }
  ids->count = n;
}

static bool contains_cancelled(const struct tmx_replica *replica, const struct tmx_job_ids *ids) {
  for (uint32_t i = 0; i < ids->count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, ids->ids[i]);
    if (job && job->outcome == TMX_JOB_CANCELLED) return true;
  }
  return false;
}

static enum tmx_submit_result queue_submission(struct tmx_user_request *request,
                                               struct tmx_submission *submission) {
  const struct tmx_user_api *api = request->api;
  remove_done(api->replica, &submission->prerequisite_ids);
  request->depends_on_cancelled = contains_cancelled(api->replica, &submission->prerequisite_ids);
  if (api->n_waiting > TMX_WAITING_REQUESTS_MAX) return TMX_SUBMIT_QUEUE_FULL;
  return tmx_scheduler_submit(api->scheduler, submission, TMX_SUBMISSION_WAIT_MAX_S,
                              on_submission_settled, request);
}

/* Queues a submission, whose prerequisites are all in the replica, for the log. If it is too large,
 * the state is read before it is rejected, because another controller may have accepted the same
 * job ID with another body. */
static void send_submission(struct tmx_user_request *request) {
  struct tmx_submission *submission = request->submission;
  request->submission = NULL;
  enum tmx_submit_result result = queue_submission(request, submission);
  tmx_user_submission_free(submission);
  switch (result) {
    case TMX_SUBMIT_QUEUED:
      return;
    case TMX_SUBMIT_TOO_LARGE:
      request->if_unknown = TMX_UNKNOWN_JOB_REJECTED;
      if (tmx_user_request_read_state(request, TMX_SUBMISSION_WAIT_MAX_S)) return;
      break;
    case TMX_SUBMIT_QUEUE_FULL:
      break;
  }
  tmx_user_reply_unavailable(request->http, "submission not queued");
  tmx_user_request_finish(request);
}

void tmx_user_request_submit(struct tmx_user_request *request) {
  const struct tmx_replica *replica = request->api->replica;
  if (tmx_user_validate_dependencies(replica, request->submission) == TMX_DEPENDENCIES_VALID) {
    send_submission(request);
    return;
  }
  tmx_http_reply(request->http, 422, NULL, 0);
  tmx_user_request_finish(request);
}

/* What to do with a submission, decided from the replica before any read of the state. */
enum early_decision {
  EARLY_SEND,   /* queue the submission for the log */
  EARLY_VERIFY, /* a prerequisite is not in the replica: read the state, then validate again */
  EARLY_REFUSE, /* read the state; if the job is still unknown, refuse it by `if_unknown` */
};

static enum early_decision refuse(struct tmx_user_request *request,
                                  enum tmx_unknown_job_action action) {
  request->if_unknown = action;
  return EARLY_REFUSE;
}

static enum early_decision decide_admission(const struct tmx_user_api *api,
                                            struct tmx_user_request *request) {
  const struct tmx_submission *submission = request->submission;
  switch (tmx_user_validate_dependencies(api->replica, submission)) {
    case TMX_DEPENDENCIES_NEVER_DONE:
      return refuse(request, TMX_UNKNOWN_JOB_REJECTED);
    case TMX_DEPENDENCIES_UNKNOWN:
      request->if_unknown = TMX_UNKNOWN_JOB_SUBMIT;
      return EARLY_VERIFY;
    case TMX_DEPENDENCIES_VALID:
      break;
  }
  request->admission_decision = tmx_admission_control_decide(
      api->admission, &request->admission_request, &submission->prerequisite_ids);
  return request->admission_decision.result == TMX_ADMITTED
             ? EARLY_SEND
             : refuse(request, TMX_UNKNOWN_JOB_OVERLOAD);
}

static enum early_decision decide_early(const struct tmx_user_api *api,
                                        struct tmx_user_request *request,
                                        enum tmx_submission_syntax syntax) {
  const struct tmx_submission *submission = request->submission;
  if (tmx_job_find(api->replica, submission->id)) return refuse(request, TMX_UNKNOWN_JOB_RETRY);
  if (syntax != TMX_SUBMISSION_SYNTAX_VALID) return refuse(request, TMX_UNKNOWN_JOB_MALFORMED);
  switch (tmx_user_validate_spec(api, &submission->spec)) {
    case TMX_SPEC_NEVER_RUNNABLE:
      return refuse(request, TMX_UNKNOWN_JOB_REJECTED);
    case TMX_SPEC_UNDECIDED:
      return refuse(request, TMX_UNKNOWN_JOB_RETRY);
    case TMX_SPEC_RUNNABLE:
      break;
  }
  request->admission_request = tmx_admission_control_request(
      api->admission, &submission->spec, tmx_team_index(api->settings, submission->spec.team));
  return decide_admission(api, request);
}

/* Takes ownership of the submission. */
static void start_submission(struct tmx_user_api *api, struct tmx_http_request *http,
                             struct tmx_submission *submission, enum tmx_submission_syntax syntax) {
  struct tmx_user_request request = {.kind = TMX_USER_SUBMIT, .submission = submission};
  memcpy(request.id, submission->id, sizeof request.id);
  submission->submitted_at = tmx_clock_wall();
  switch (decide_early(api, &request, syntax)) {
    case EARLY_SEND:
      send_submission(tmx_user_request_new(api, http, &request));
      break;
    case EARLY_VERIFY:
      tmx_user_request_defer(api, http, &request);
      break;
    case EARLY_REFUSE:
      tmx_user_submission_free(submission);
      request.submission = NULL;
      tmx_user_request_defer(api, http, &request);
      break;
  }
}

/* A job that exists is answered before any validation, so that a repeated submission of an accepted
 * job is never rejected. A final state never changes, so a job that has ended is answered without a
 * read of the state. */
void tmx_user_submit(struct tmx_user_api *api, struct tmx_http_request *http) {
  struct tmx_submission *submission = tmx_allocate(1, sizeof *submission);
  enum tmx_submission_syntax syntax = tmx_user_submission_read(http, submission);
  struct tmx_job *job = NULL;
  if (syntax == TMX_SUBMISSION_SYNTAX_NO_ID)
    tmx_http_reply(http, 400, NULL, 0);
  else if (!api->replica->loaded || !tmx_store_is_reachable(api->store))
    tmx_user_reply_unavailable(http, "replica not loaded or store unreachable");
  else if ((job = tmx_job_find(api->replica, submission->id)) && job->outcome)
    tmx_user_reply_job(http, job);
  else {
    start_submission(api, http, submission, syntax);
    return;
  }
  tmx_user_submission_free(submission);
}
