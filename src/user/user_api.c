/* Users: submissions, polls, cancellations. Nothing is answered before it is sure, and nothing
 * is held back: what cannot be decided gets a 503 that says when to return. */
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica/placement_caps.h"
#include "user/user_api.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"

struct tmx_users {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  const struct tmx_machine_catalog *catalog;
  struct tmx_admission_control *admission;
  struct tmx_scheduler *scheduler;
  int n_waiting;
};

enum user_request_kind { USER_POLL, USER_SUBMIT, USER_CANCEL };
struct user_request { /* a request that waits for the state */
  struct tmx_users *users;
  struct tmx_http_request *request;
  enum user_request_kind kind;
  char id[TMX_ID_MAX];
  int answer_if_unknown;          /* status for an unknown job */
  bool overload;                  /* ... which is refused, as its team or class has no room */
  struct tmx_candidate candidate; /* ASK_SUBMIT: what admission judges */
  struct tmx_ruling ruling;       /* overload: the latest one */
  int tries;
  double received_at, deadline;
  bool names_unknown;                /* ASK_SUBMIT: a job that it awaits is not known here */
  bool through_cancelled;            /* ASK_SUBMIT: it names a cancelled job */
  struct tmx_submission *submission; /* ASK_SUBMIT: judged anew once the state was read */
};

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

static void reply_unavailable(struct tmx_http_request *request, const char *why) {
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "user: %s refused for now: %s",
            request->method == HTTP_POST ? "request" : "poll", why);
  tmx_http_reply(request, 503, NULL, tmx_retry_after());
}

static void answer_named(struct tmx_http_request *request, int status, const char *id,
                         const char *state, const struct tmx_job *job) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, job ? 4 : 2);
  tmx_cbor_put_text_field(&buffer, W_ID, id);
  tmx_cbor_put_text_field(&buffer, W_STATE, state);
  if (job) {
    tmx_cbor_put_u64_field(&buffer, W_DONE, job->n_done);
    tmx_cbor_put_u64_field(&buffer, W_RUNNING, job->outcome ? 0 : job->n_placed);
  }
  tmx_http_reply(request, status, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static void answer_job(struct tmx_http_request *request, struct tmx_job *job) {
  job->answered_at = tmx_clock_steady();
  const char *s = job->outcome == TMX_JOB_DONE        ? WV_DONE
                  : job->outcome == TMX_JOB_CANCELLED ? WV_CANCELLED
                  : job->n_placed                     ? WV_RUNNING
                                                      : WV_PENDING;
  answer_named(request, 200, job->id, s, job);
}

static void free_submission(struct tmx_submission *submission) {
  if (!submission) return;
  tmx_job_ids_free(&submission->dependencies);
  free(submission);
}

static void cancel_step(struct user_request *ask);
static void submit_step(struct user_request *ask);

static void finish_request(struct user_request *ask) {
  ask->users->n_waiting--;
  free_submission(ask->submission);
  free(ask);
}

static void refuse_overload(struct user_request *ask) {
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "user: %s refused for now: backlog %.1f s of %.1f s", ask->id,
            ask->ruling.backlog_s, ask->ruling.ceiling_s);
  tmx_admission_control_count_answer(ask->users->admission, &ask->candidate, ask->ruling.verdict);
  tmx_http_reply(ask->request, 503, NULL, tmx_admission_control_retry_after(&ask->ruling));
}

static void on_read_index(void *arg, bool ok) {
  struct user_request *ask = arg;
  struct tmx_job *job = ok ? tmx_job_find(ask->users->replica, ask->id) : NULL;
  if (!ok)
    reply_unavailable(ask->request, "the state was not read in time");
  else if (!job && ask->submission) {
    submit_step(ask);
    return;
  } else if (!job && ask->overload)
    refuse_overload(ask);
  else if (!job)
    tmx_http_reply(ask->request, ask->answer_if_unknown, NULL,
                   ask->answer_if_unknown == 503 ? tmx_retry_after() : 0);
  else if (ask->kind == USER_CANCEL && !job->outcome) {
    cancel_step(ask);
    return;
  } else if (ask->kind == USER_CANCEL)
    answer_named(ask->request, 200, ask->id, job->outcome == TMX_JOB_DONE ? WV_DONE : WV_CANCELLED,
                 NULL);
  else
    answer_job(ask->request, job);
  finish_request(ask);
}

/* Waits until the replica holds all that was committed before this request came. A submission that
 * is handed over is judged then, if nobody has submitted the job meanwhile. */
static void enqueue_request(struct tmx_users *users, struct tmx_http_request *request,
                            const struct user_request *what) {
  /* Where the state is out of reach nothing can be decided: the sender goes elsewhere at once. When
   * more ask than can be answered, those go first of whose job nobody was told here of late, so
   * that none stays without an answer however many others ask. */
  const struct tmx_job *job = tmx_job_find(users->replica, what->id);
  bool late =
      what->kind != USER_POLL || (job && tmx_clock_steady() - job->answered_at > TMX_POLL_FAIR_S);
  struct user_request *a = calloc(1, sizeof *a);
  if (!a || !tmx_store_is_reachable(users->store) ||
      users->n_waiting >= (late ? TMX_USER_QUEUE : TMX_USER_QUEUE / 2)) {
    free(a);
    free_submission(what->submission);
    reply_unavailable(request, tmx_store_is_reachable(users->store) ? "too many wait" : "no state");
    return;
  }
  double within = what->kind == USER_POLL ? TMX_USER_WAIT_S : TMX_SUBMIT_WAIT_S;
  *a = *what;
  a->users = users;
  a->request = request;
  a->received_at = tmx_clock_steady();
  a->deadline = tmx_clock_steady() + within;
  users->n_waiting++;
  if (!tmx_store_read_index(users->store, within, on_read_index, a)) {
    reply_unavailable(request, "too many wait for the state");
    finish_request(a);
  }
}

/* ------------------------------------------------------------ cancellations */

static void on_cancelled(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct user_request *ask = arg;
  (void)revision;
  if (result == TMX_TRANSACTION_COMMITTED) {
    answer_named(ask->request, 200, ask->id, WV_CANCELLED, NULL);
    finish_request(ask);
    return;
  }
  if (result == TMX_TRANSACTION_CONFLICT && ++ask->tries < 8 &&
      tmx_clock_steady() < ask->deadline &&
      tmx_store_read_index(ask->users->store, ask->deadline - tmx_clock_steady(), on_read_index,
                           ask))
    return;
  reply_unavailable(ask->request,
                    "not known whether it is cancelled"); /* the user asks again and is told then */
  finish_request(ask);
}

static void cancel_step(struct user_request *ask) {
  struct tmx_job *job = tmx_job_find(ask->users->replica, ask->id);
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", ask->id);
  /* Conditional on the job's own key, which also its completion rewrites; head is rewritten,
   * so that no batch planned before this can start one of its tasks. */
  tmx_transaction_require_version(&transaction, key, job->version);
  tmx_job_encode_final(&value, job, TMX_JOB_CANCELLED, 0, tmx_value_room(ask->users->settings));
  tmx_transaction_put(&transaction, key, &value, 0);
  tmx_transaction_advance_head(&transaction, ask->users->settings->node_name);
  tmx_buffer_free(&value);
  if (!tmx_store_commit(ask->users->store, &transaction, true, on_cancelled, ask)) {
    reply_unavailable(ask->request, "no connection to the state");
    finish_request(ask);
  }
}

/* ------------------------------------------------------------ submissions */

/* Its team or class has no room. One that was accepted elsewhere is answered as such all the same:
 * the state is read before it is refused. */
static void look_up_or_refuse(struct user_request *ask) {
  static const struct tmx_job_ids none;
  ask->ruling = tmx_admission_control_judge(ask->users->admission, &ask->candidate, &none);
  ask->overload = true;
  if (tmx_store_read_index(ask->users->store, TMX_SUBMIT_WAIT_S, on_read_index, ask)) return;
  refuse_overload(ask);
  finish_request(ask);
}

static void on_submitted(void *arg, enum tmx_submission_outcome outcome) {
  struct user_request *ask = arg;
  if (outcome == TMX_SUBMISSION_COMMITTED) {
    if (tmx_log_enabled(TMX_LOG_DEBUG))
      tmx_log(TMX_LOG_DEBUG, "job: %s accepted in %.0f ms", ask->id,
              (tmx_clock_steady() - ask->received_at) * 1000);
    answer_named(ask->request, 201, ask->id, ask->through_cancelled ? WV_CANCELLED : WV_PENDING,
                 NULL);
    tmx_admission_control_count_answer(ask->users->admission, &ask->candidate, TMX_ADMITTED);
    finish_request(ask);
  } else if (outcome == TMX_SUBMISSION_OVERLOAD) {
    look_up_or_refuse(ask);
  } else if (outcome == TMX_SUBMISSION_KNOWN && /* known already: its state is read first */
             tmx_store_read_index(ask->users->store, TMX_SUBMIT_WAIT_S, on_read_index, ask)) {
    ask->answer_if_unknown = 503;
    tmx_store_expedite_read_index(ask->users->store);
  } else {
    reply_unavailable(ask->request, outcome == TMX_SUBMISSION_NOT_COMMITTED
                                        ? "not committed in time"
                                        : "not known whether committed");
    finish_request(ask);
  }
}

/* 0: may run; 422: never; 503: cannot be told yet */
static int check_submission(const struct tmx_users *users, const struct tmx_job_spec *spec) {
  size_t n = users->catalog->n_types;
  const struct tmx_machine_type *type = users->catalog->types;
  int team = tmx_team_index(users->settings, spec->team);
  if (team < 0) return 422;
  const struct tmx_team_settings *t = &users->settings->teams[team];
  double k = spec->service ? spec->tasks : 1;
  if (t->cpus_max > 0 && k * spec->cpus > t->cpus_max + 1e-6) return 422;
  if (t->gpus_max > 0 && k * spec->gpus > t->gpus_max + 1e-6) return 422;
  if (!n) return 503;
  int zone = spec->zone[0] ? tmx_zone_index(users->settings, spec->zone) : -1;
  if (spec->zone[0] && zone < 0) return 422;
  for (size_t i = 0; i < n; i++) {
    if (!tmx_type_allowed(spec, type[i].name)) continue;
    if (zone >= 0 && !type[i].zones[zone]) continue;
    if (spec->cpus <= type[i].cpus + 1e-6 && spec->gpus <= type[i].gpus + 1e-6 &&
        spec->mem_gb <= type[i].mem_gb + 1e-6)
      return 0;
  }
  return 422;
}

enum dependency_verdict { DEPENDENCIES_VALID, DEPENDENCIES_UNKNOWN, DEPENDENCIES_NEVER_DONE };

/* May the job wait for these. Jobs are never forgotten, so a name once known stays known; that one
 * is unknown can be said only after a read that began after the request. */
static enum dependency_verdict check_dependencies(const struct tmx_replica *replica,
                                                  const struct tmx_submission *submission) {
  enum dependency_verdict verdict = DEPENDENCIES_VALID;
  for (uint32_t i = 0; i < submission->dependencies.count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, submission->dependencies.ids[i]);
    if (!strcmp(submission->dependencies.ids[i], submission->id)) return DEPENDENCIES_NEVER_DONE;
    if (job && job->spec.service)
      return DEPENDENCIES_NEVER_DONE; /* it runs until it is cancelled */
    if (!job) verdict = DEPENDENCIES_UNKNOWN;
  }
  return verdict;
}

/* A job that is done stays done: only the others need to be stored. */
static void drop_done(const struct tmx_replica *replica, struct tmx_job_ids *ids) {
  uint32_t n = 0;
  for (uint32_t i = 0; i < ids->count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, ids->ids[i]);
    if (job && job->outcome == TMX_JOB_DONE) continue;
    if (n != i) memcpy(ids->ids[n], ids->ids[i], TMX_ID_MAX);
    n++;
  }
  ids->count = n;
}

static bool names_cancelled(const struct tmx_replica *replica, const struct tmx_job_ids *ids) {
  for (uint32_t i = 0; i < ids->count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, ids->ids[i]);
    if (job && job->outcome == TMX_JOB_CANCELLED) return true;
  }
  return false;
}

/* Hands a submission whose names are known over to the log. */
static void send_submission(struct user_request *ask) {
  struct tmx_submission *submission = ask->submission;
  ask->submission = NULL;
  drop_done(ask->users->replica, &submission->dependencies);
  ask->through_cancelled = names_cancelled(ask->users->replica, &submission->dependencies);
  enum tmx_submit_result result = ask->users->n_waiting > TMX_USER_QUEUE
                                      ? TMX_SUBMIT_QUEUE_FULL
                                      : tmx_scheduler_submit(ask->users->scheduler, submission,
                                                             TMX_SUBMIT_WAIT_S, on_submitted, ask);
  free_submission(submission);
  if (result == TMX_SUBMIT_QUEUED) return;
  if (result == TMX_SUBMIT_TOO_LARGE) {
    /* it may be known, by another body, to the others */
    ask->answer_if_unknown = 422;
    if (tmx_store_read_index(ask->users->store, TMX_SUBMIT_WAIT_S, on_read_index, ask)) return;
  }
  reply_unavailable(ask->request, "too many submissions");
  finish_request(ask);
}

/* The state was read after the request came, and the job is not known. */
static void submit_step(struct user_request *ask) {
  if (check_dependencies(ask->users->replica, ask->submission) == DEPENDENCIES_VALID) {
    send_submission(ask);
    return;
  }
  tmx_http_reply(ask->request, 422, NULL, 0);
  finish_request(ask);
}

/* false: the body is not even a named submission. whole: nothing in it is malformed. */
static bool read_submission(const struct tmx_http_request *request,
                            struct tmx_submission *submission, bool *whole) {
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  bool named = map && tmx_cbor_get_text(map, W_ID, submission->id, sizeof submission->id) &&
               tmx_job_id_is_valid(submission->id);
  *whole = named &&
           tmx_job_spec_parse(map, &submission->spec, submission->id, sizeof submission->id) &&
           tmx_job_ids_parse(map, &submission->dependencies);
  tmx_cbor_free(map);
  return named;
}

/* What is known of a submission before the state is asked. */
static struct user_request answer_early(const struct tmx_users *users,
                                        struct tmx_submission *submission, bool whole,
                                        const struct tmx_job *known) {
  struct user_request request_template = {.kind = USER_SUBMIT, .submission = submission};
  memcpy(request_template.id, submission->id, sizeof request_template.id);
  request_template.answer_if_unknown = known   ? 503
                                       : whole ? check_submission(users, &submission->spec)
                                               : 400;
  if (request_template.answer_if_unknown) return request_template;
  request_template.candidate = tmx_admission_control_candidate(
      users->admission, &submission->spec, tmx_team_index(users->settings, submission->spec.team));
  enum dependency_verdict awaits = check_dependencies(users->replica, submission);
  request_template.names_unknown = awaits == DEPENDENCIES_UNKNOWN;
  if (awaits == DEPENDENCIES_NEVER_DONE) request_template.answer_if_unknown = 422;
  if (awaits != DEPENDENCIES_VALID) return request_template;
  request_template.ruling = tmx_admission_control_judge(
      users->admission, &request_template.candidate, &submission->dependencies);
  request_template.overload = request_template.ruling.verdict != TMX_ADMITTED;
  if (request_template.overload) request_template.answer_if_unknown = 503;
  return request_template;
}

static void submit(struct tmx_users *users, struct tmx_http_request *request) {
  struct tmx_submission *submission = calloc(1, sizeof *submission);
  bool whole;
  if (!submission) abort();
  if (!read_submission(request, submission, &whole)) {
    free_submission(submission);
    tmx_http_reply(request, 400, NULL, 0);
    return;
  }
  if (!users->replica->loaded || !tmx_store_is_reachable(users->store)) {
    free_submission(submission);
    reply_unavailable(request, "no state");
    return;
  }
  /* A known job is answered before any validation: what was accepted stays accepted. */
  struct tmx_job *job = tmx_job_find(users->replica, submission->id);
  if (job && job->outcome) {
    free_submission(submission);
    answer_job(request, job);
    return;
  }
  submission->submitted_at = tmx_clock_wall();
  struct user_request request_template = answer_early(users, submission, whole, job);
  if (request_template.answer_if_unknown) {
    free_submission(submission);
    request_template.submission = NULL;
  }
  if (request_template.answer_if_unknown || request_template.names_unknown) {
    enqueue_request(users, request, &request_template);
    return;
  }
  struct user_request *ask = malloc(sizeof *ask);
  if (!ask) abort();
  *ask = request_template;
  ask->users = users;
  ask->request = request;
  ask->received_at = tmx_clock_steady();
  users->n_waiting++;
  send_submission(ask);
}

static void enqueue_request_about(struct tmx_users *users, struct tmx_http_request *request,
                                  enum user_request_kind kind, const char *id) {
  struct user_request request_template = {.kind = kind, .answer_if_unknown = 404};
  snprintf(request_template.id, sizeof request_template.id, "%.*s", TMX_ID_MAX - 1, id);
  enqueue_request(users, request, &request_template);
}

bool tmx_users_handle(struct tmx_users *users, struct tmx_http_request *request) {
  static const char base[] = WP_JOBS;
  char id[TMX_PATH_MAX];
  if (strncmp(request->path, base, sizeof base - 1)) return false;
  const char *rest = request->path + sizeof base - 1;
  if (!*rest) {
    if (request->method == HTTP_POST)
      submit(users, request);
    else
      tmx_http_reply(request, 405, NULL, 0);
    return true;
  }
  if (*rest++ != '/') return false;
  snprintf(id, sizeof id, "%s", rest);
  char *q_mark = strchr(id, '?'), *slash;
  if (q_mark) *q_mark = 0;
  slash = strchr(id, '/');
  bool cancel = slash && !strcmp(slash, WP_CANCEL);
  if (slash && !cancel) return false;
  if (slash) *slash = 0;
  if ((cancel && request->method != HTTP_POST) || (!cancel && request->method != HTTP_GET)) {
    tmx_http_reply(request, 405, NULL, 0);
    return true;
  }
  if (!tmx_job_id_is_valid(id)) {
    tmx_http_reply(request, 404, NULL, 0);
    return true;
  }
  if (!users->replica->loaded) {
    reply_unavailable(request, "no state");
    return true;
  }
  struct tmx_job *job = tmx_job_find(users->replica, id);
  if (job && job->outcome && cancel)
    answer_named(request, 200, id, job->outcome == TMX_JOB_DONE ? WV_DONE : WV_CANCELLED, NULL);
  else if (job && job->outcome)
    answer_job(request, job); /* a final state never changes: no read is needed */
  else
    enqueue_request_about(users, request, cancel ? USER_CANCEL : USER_POLL, id);
  return true;
}
