/* Users: submissions, polls, cancellations. Nothing is answered before it is sure, and nothing
 * is held back: what cannot be decided gets a 503 that says when to return. */
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller.h"
#include "net/log.h"
#include "tmx/wire.h"

struct tmx_users {
  struct tmx_ctl *c;
  int waiting;
};

enum kind { ASK_POLL, ASK_SUBMIT, ASK_CANCEL };
struct ask { /* a request that waits for the state */
  struct tmx_users *u;
  struct tmx_http_request *req;
  enum kind kind;
  char id[TMX_ID_MAX];
  int otherwise;                  /* status for an unknown job */
  bool overload;                  /* ... which is refused, as its team or class has no room */
  struct tmx_candidate candidate; /* ASK_SUBMIT: what admission judges */
  struct tmx_ruling ruling;       /* overload: the latest one */
  int tries;
  double since, until;
  bool names_unknown;                /* ASK_SUBMIT: a job that it awaits is not known here */
  bool through_cancelled;            /* ASK_SUBMIT: it names a cancelled job */
  struct tmx_submission *submission; /* ASK_SUBMIT: judged anew once the state was read */
};

struct tmx_users *tmx_users_new(struct tmx_ctl *c) {
  struct tmx_users *u = calloc(1, sizeof *u);
  if (!u) abort();
  u->c = c;
  return u;
}
void tmx_users_free(struct tmx_users *u) { free(u); }

static void refuse(struct tmx_http_request *request, const char *why) {
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

static void cancel_step(struct ask *a);
static void submit_step(struct ask *a);

static void done(struct ask *a) {
  a->u->waiting--;
  free_submission(a->submission);
  free(a);
}

static void refuse_overload(struct ask *a) {
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "user: %s refused for now: backlog %.1f s of %.1f s", a->id,
            a->ruling.backlog_s, a->ruling.ceiling_s);
  tmx_gate_told(a->u->c->gate, &a->candidate, a->ruling.verdict);
  tmx_http_reply(a->req, 503, NULL, tmx_gate_retry_after(&a->ruling));
}

static void on_confirm(void *arg, bool ok) {
  struct ask *a = arg;
  struct tmx_job *job = ok ? tmx_job_find(&a->u->c->rep, a->id) : NULL;
  if (!ok)
    refuse(a->req, "the state was not read in time");
  else if (!job && a->submission) {
    submit_step(a);
    return;
  } else if (!job && a->overload)
    refuse_overload(a);
  else if (!job)
    tmx_http_reply(a->req, a->otherwise, NULL, a->otherwise == 503 ? tmx_retry_after() : 0);
  else if (a->kind == ASK_CANCEL && !job->outcome) {
    cancel_step(a);
    return;
  } else if (a->kind == ASK_CANCEL)
    answer_named(a->req, 200, a->id, job->outcome == TMX_JOB_DONE ? WV_DONE : WV_CANCELLED, NULL);
  else
    answer_job(a->req, job);
  done(a);
}

/* Waits until the replica holds all that was committed before this request came. A submission that
 * is handed over is judged then, if nobody has submitted the job meanwhile. */
static void ask(struct tmx_users *u, struct tmx_http_request *request, const struct ask *what) {
  /* Where the state is out of reach nothing can be decided: the sender goes elsewhere at once. When
   * more ask than can be answered, those go first of whose job nobody was told here of late, so
   * that none stays without an answer however many others ask. */
  const struct tmx_job *job = tmx_job_find(&u->c->rep, what->id);
  bool late =
      what->kind != ASK_POLL || (job && tmx_clock_steady() - job->answered_at > TMX_POLL_FAIR_S);
  struct ask *a = calloc(1, sizeof *a);
  if (!a || !tmx_store_is_reachable(u->c->link) ||
      u->waiting >= (late ? TMX_USER_QUEUE : TMX_USER_QUEUE / 2)) {
    free(a);
    free_submission(what->submission);
    refuse(request, tmx_store_is_reachable(u->c->link) ? "too many wait" : "no state");
    return;
  }
  double within = what->kind == ASK_POLL ? TMX_USER_WAIT_S : TMX_SUBMIT_WAIT_S;
  *a = *what;
  a->u = u;
  a->req = request;
  a->since = tmx_clock_steady();
  a->until = tmx_clock_steady() + within;
  u->waiting++;
  if (!tmx_store_read_index(u->c->link, within, on_confirm, a)) {
    refuse(request, "too many wait for the state");
    done(a);
  }
}

/* ------------------------------------------------------------ cancellations */

static void on_cancelled(void *arg, int res, uint64_t revision) {
  struct ask *a = arg;
  (void)revision;
  if (res == TMX_TRANSACTION_COMMITTED) {
    answer_named(a->req, 200, a->id, WV_CANCELLED, NULL);
    done(a);
    return;
  }
  if (res == TMX_TRANSACTION_CONFLICT && ++a->tries < 8 && tmx_clock_steady() < a->until &&
      tmx_store_read_index(a->u->c->link, a->until - tmx_clock_steady(), on_confirm, a))
    return;
  refuse(a->req, "not known whether it is cancelled"); /* the user asks again and is told then */
  done(a);
}

static void cancel_step(struct ask *a) {
  struct tmx_ctl *c = a->u->c;
  struct tmx_job *job = tmx_job_find(&c->rep, a->id);
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", a->id);
  /* Conditional on the job's own key, which also its completion rewrites; head is rewritten,
   * so that no batch planned before this can start one of its tasks. */
  tmx_transaction_require_version(&transaction, key, job->version);
  tmx_job_encode_final(&value, job, TMX_JOB_CANCELLED, 0, tmx_value_room(&c->set));
  tmx_transaction_put(&transaction, key, &value, 0);
  tmx_transaction_advance_head(&transaction, c->set.node);
  tmx_buffer_free(&value);
  if (!tmx_store_commit(c->link, &transaction, true, on_cancelled, a)) {
    refuse(a->req, "no connection to the state");
    done(a);
  }
}

/* ------------------------------------------------------------ submissions */

/* Its team or class has no room. One that was accepted elsewhere is answered as such all the same:
 * the state is read before it is refused. */
static void look_up_or_refuse(struct ask *a) {
  static const struct tmx_job_ids none;
  a->ruling = tmx_gate_judge(a->u->c->gate, &a->candidate, &none);
  a->overload = true;
  if (tmx_store_read_index(a->u->c->link, TMX_SUBMIT_WAIT_S, on_confirm, a)) return;
  refuse_overload(a);
  done(a);
}

static void on_submitted(void *arg, int res) {
  struct ask *a = arg;
  if (res == TMX_TRANSACTION_COMMITTED) {
    if (tmx_log_enabled(TMX_LOG_DEBUG))
      tmx_log(TMX_LOG_DEBUG, "job: %s accepted in %.0f ms", a->id,
              (tmx_clock_steady() - a->since) * 1000);
    answer_named(a->req, 201, a->id, a->through_cancelled ? WV_CANCELLED : WV_PENDING, NULL);
    tmx_gate_told(a->u->c->gate, &a->candidate, TMX_ADMITTED);
    done(a);
  } else if (res == TMX_SUBMIT_OVERLOAD) {
    look_up_or_refuse(a);
  } else if (res == TMX_TRANSACTION_CONFLICT && /* known already: its state is read first */
             tmx_store_read_index(a->u->c->link, TMX_SUBMIT_WAIT_S, on_confirm, a)) {
    a->otherwise = 503;
    tmx_store_expedite_read_index(a->u->c->link);
  } else {
    refuse(a->req, res == TMX_TRANSACTION_NOT_EXECUTED ? "not committed in time"
                                                       : "not known whether committed");
    done(a);
  }
}

/* 0: may run; 422: never; 503: cannot be told yet */
static int judge(struct tmx_ctl *c, const struct tmx_job_spec *spec) {
  size_t n;
  const struct tmx_type *ty = tmx_cloud_types(c->cloud, &n);
  int team = tmx_team_index(&c->set, spec->team);
  if (team < 0) return 422;
  const struct tmx_team_conf *t = &c->set.teams[team];
  double k = spec->service ? spec->tasks : 1;
  if (t->cpus_max > 0 && k * spec->cpus > t->cpus_max + 1e-6) return 422;
  if (t->gpus_max > 0 && k * spec->gpus > t->gpus_max + 1e-6) return 422;
  if (!n) return 503;
  int zone = spec->zone[0] ? tmx_zone_index(&c->set, spec->zone) : -1;
  if (spec->zone[0] && zone < 0) return 422;
  for (size_t i = 0; i < n; i++) {
    if (!tmx_type_allowed(spec, ty[i].name)) continue;
    if (zone >= 0 && !ty[i].zones[zone]) continue;
    if (spec->cpus <= ty[i].cpus + 1e-6 && spec->gpus <= ty[i].gpus + 1e-6 &&
        spec->mem_gb <= ty[i].mem + 1e-6)
      return 0;
  }
  return 422;
}

enum awaits_verdict { AWAITS_OK, AWAITS_UNKNOWN, AWAITS_NEVER };

/* May the job wait for these. Jobs are never forgotten, so a name once known stays known; that one
 * is unknown can be said only after a read that began after the request. */
static enum awaits_verdict judge_awaits(const struct tmx_replica *replica,
                                        const struct tmx_submission *submission) {
  enum awaits_verdict verdict = AWAITS_OK;
  for (uint32_t i = 0; i < submission->dependencies.count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, submission->dependencies.ids[i]);
    if (!strcmp(submission->dependencies.ids[i], submission->id)) return AWAITS_NEVER;
    if (job && job->spec.service) return AWAITS_NEVER; /* it runs until it is cancelled */
    if (!job) verdict = AWAITS_UNKNOWN;
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
static void send_arrival(struct ask *a) {
  struct tmx_ctl *c = a->u->c;
  struct tmx_submission *submission = a->submission;
  a->submission = NULL;
  drop_done(&c->rep, &submission->dependencies);
  a->through_cancelled = names_cancelled(&c->rep, &submission->dependencies);
  enum tmx_submit_result result =
      a->u->waiting > TMX_USER_QUEUE
          ? TMX_SUBMIT_QUEUE_FULL
          : tmx_scheduler_submit(c, submission, TMX_SUBMIT_WAIT_S, on_submitted, a);
  free_submission(submission);
  if (result == TMX_SUBMIT_QUEUED) return;
  if (result == TMX_SUBMIT_TOO_LARGE) {
    /* it may be known, by another body, to the others */
    a->otherwise = 422;
    if (tmx_store_read_index(a->u->c->link, TMX_SUBMIT_WAIT_S, on_confirm, a)) return;
  }
  refuse(a->req, "too many submissions");
  done(a);
}

/* The state was read after the request came, and the job is not known. */
static void submit_step(struct ask *a) {
  if (judge_awaits(&a->u->c->rep, a->submission) == AWAITS_OK) {
    send_arrival(a);
    return;
  }
  tmx_http_reply(a->req, 422, NULL, 0);
  done(a);
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
static struct ask first_look(struct tmx_ctl *c, struct tmx_submission *submission, bool whole,
                             const struct tmx_job *known) {
  struct ask look = {.kind = ASK_SUBMIT, .submission = submission};
  memcpy(look.id, submission->id, sizeof look.id);
  look.otherwise = known ? 503 : whole ? judge(c, &submission->spec) : 400;
  if (look.otherwise) return look;
  look.candidate = tmx_gate_candidate(c->gate, &submission->spec,
                                      tmx_team_index(&c->set, submission->spec.team));
  enum awaits_verdict awaits = judge_awaits(&c->rep, submission);
  look.names_unknown = awaits == AWAITS_UNKNOWN;
  if (awaits == AWAITS_NEVER) look.otherwise = 422;
  if (awaits != AWAITS_OK) return look;
  look.ruling = tmx_gate_judge(c->gate, &look.candidate, &submission->dependencies);
  look.overload = look.ruling.verdict != TMX_ADMITTED;
  if (look.overload) look.otherwise = 503;
  return look;
}

static void submit(struct tmx_users *u, struct tmx_http_request *request) {
  struct tmx_ctl *c = u->c;
  struct tmx_submission *submission = calloc(1, sizeof *submission);
  bool whole;
  if (!submission) abort();
  if (!read_submission(request, submission, &whole)) {
    free_submission(submission);
    tmx_http_reply(request, 400, NULL, 0);
    return;
  }
  if (!c->rep.loaded || !tmx_store_is_reachable(c->link)) {
    free_submission(submission);
    refuse(request, "no state");
    return;
  }
  /* A known job is answered before any validation: what was accepted stays accepted. */
  struct tmx_job *job = tmx_job_find(&c->rep, submission->id);
  if (job && job->outcome) {
    free_submission(submission);
    answer_job(request, job);
    return;
  }
  submission->submitted_at = tmx_clock_wall();
  struct ask look = first_look(c, submission, whole, job);
  if (look.otherwise) {
    free_submission(submission);
    look.submission = NULL;
  }
  if (look.otherwise || look.names_unknown) {
    ask(u, request, &look);
    return;
  }
  struct ask *a = malloc(sizeof *a);
  if (!a) abort();
  *a = look;
  a->u = u;
  a->req = request;
  a->since = tmx_clock_steady();
  u->waiting++;
  send_arrival(a);
}

static void ask_about(struct tmx_users *u, struct tmx_http_request *request, enum kind kind,
                      const char *id) {
  struct ask what = {.kind = kind, .otherwise = 404};
  snprintf(what.id, sizeof what.id, "%.*s", TMX_ID_MAX - 1, id);
  ask(u, request, &what);
}

bool tmx_users_handle(struct tmx_users *u, struct tmx_http_request *request) {
  static const char base[] = WP_JOBS;
  char id[TMX_PATH_MAX];
  if (strncmp(request->path, base, sizeof base - 1)) return false;
  const char *rest = request->path + sizeof base - 1;
  if (!*rest) {
    if (request->method == HTTP_POST)
      submit(u, request);
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
  if (!u->c->rep.loaded) {
    refuse(request, "no state");
    return true;
  }
  struct tmx_job *job = tmx_job_find(&u->c->rep, id);
  if (job && job->outcome && cancel)
    answer_named(request, 200, id, job->outcome == TMX_JOB_DONE ? WV_DONE : WV_CANCELLED, NULL);
  else if (job && job->outcome)
    answer_job(request, job); /* a final state never changes: no read is needed */
  else
    ask_about(u, request, cancel ? ASK_CANCEL : ASK_POLL, id);
  return true;
}
