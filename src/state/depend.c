#include "state/depend.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/plan.h"
#include "net/log.h"
#include "state/replica.h"

/* Jobs still to be looked at. Chains are as long as users make them, so nothing here recurses. */
struct work_list {
  struct tmx_job **jobs;
  size_t n, cap;
};

static void push(struct work_list *w, struct tmx_job *j) {
  if (j->deps.queued) return;
  j->deps.queued = true;
  w->jobs = tmx_grow(w->jobs, &w->cap, w->n + 1, sizeof *w->jobs);
  w->jobs[w->n++] = j;
}

static struct tmx_job *pop(struct work_list *w) {
  struct tmx_job *j = w->jobs[--w->n];
  j->deps.queued = false;
  return j;
}

void tmx_awaits_free(struct tmx_awaits *a) {
  free(a->ids);
  a->ids = NULL;
  a->n = 0;
}

void tmx_depend_free(struct tmx_job *j) {
  tmx_awaits_free(&j->deps.named);
  free(j->deps.needs);
  free(j->deps.dependents);
  memset(&j->deps, 0, sizeof j->deps);
}

bool tmx_job_blocked(const struct tmx_job *j) {
  return j->deps.named.n && (!j->deps.needs || j->deps.n_unfinished);
}

void tmx_depend_declare(struct tmx_job *j, uint32_t total) {
  struct tmx_dependencies *d = &j->deps;
  if (d->named.n || !total) return;
  d->named.ids = calloc(total, sizeof *d->named.ids);
  if (!d->named.ids) abort();
  d->named.n = total;
}

void tmx_depend_name(struct tmx_job *j, uint32_t position, const char *id) {
  struct tmx_dependencies *d = &j->deps;
  if (position >= d->named.n || d->named.ids[position][0] || strlen(id) >= TMX_ID_MAX) return;
  strcpy(d->named.ids[position], id);
  d->n_read++;
}

/* ------------------------------------------------------------ inherited urgency */

/* A job's latest end: those that need it still have their own run before their deadline. */
static double due_before(const struct tmx_replica *r, const struct tmx_job *dependent) {
  return dependent->urgency.due_at - tmx_expected_run(r, &dependent->spec);
}

static struct tmx_urgency own_urgency(const struct tmx_job *j) {
  struct tmx_urgency u = {.priority = j->spec.priority, .due_at = INFINITY};
  if (j->spec.deadline_s >= 0) u.due_at = j->submitted + j->spec.deadline_s;
  return u;
}

static void inherit(const struct tmx_replica *r, struct tmx_urgency *u,
                    const struct tmx_job *dependent) {
  if (dependent->fin) return;
  if (dependent->urgency.priority > u->priority) u->priority = dependent->urgency.priority;
  u->due_at = fmin(u->due_at, due_before(r, dependent));
}

static bool set_urgency(struct tmx_replica *r, struct tmx_job *j, struct tmx_urgency u) {
  if (u.priority == j->urgency.priority && u.due_at == j->urgency.due_at) return false;
  j->urgency = u;
  if (r->on_job) r->on_job(r->arg, j);
  return true;
}

static void push_needs(struct work_list *w, const struct tmx_job *j) {
  for (uint32_t i = 0; j->deps.needs && i < j->deps.named.n; i++)
    if (!j->deps.needs[i]->fin) push(w, j->deps.needs[i]);
}

/* A new dependent can only raise what those before it inherit. */
static void raise_needs(struct tmx_replica *r, struct tmx_job *from) {
  struct work_list w = {0};
  push(&w, from);
  while (w.n) {
    struct tmx_job *dependent = pop(&w);
    for (uint32_t i = 0; i < dependent->deps.named.n; i++) {
      struct tmx_job *need = dependent->deps.needs[i];
      struct tmx_urgency u = need->urgency;
      if (need->fin) continue;
      inherit(r, &u, dependent);
      if (set_urgency(r, need, u) && need->deps.needs) push(&w, need);
    }
  }
  free(w.jobs);
}

/* Dependents have gone: what is inherited is taken anew from those that are left. */
static void lower(struct tmx_replica *r, struct work_list *w) {
  while (w->n) {
    struct tmx_job *j = pop(w);
    struct tmx_urgency u = own_urgency(j);
    for (size_t i = 0; i < j->deps.n_dependents; i++) inherit(r, &u, j->deps.dependents[i]);
    if (set_urgency(r, j, u)) push_needs(w, j);
  }
}

/* ------------------------------------------------------------ release and cancellation */

/* When the last job that it needs was done, by the time of day that its final state tells. */
static void release_job(struct tmx_replica *r, struct tmx_job *j) {
  j->released = j->submitted;
  for (uint32_t i = 0; i < j->deps.named.n; i++)
    j->released = fmax(j->released, j->deps.needs[i]->ended);
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "job: %s %s released, priority %d, due in %.0f s", j->id, j->spec.class,
            j->urgency.priority, j->urgency.due_at - j->released);
  tmx_replica_job_changed(r, j);
}

static void cancel_job(struct tmx_replica *r, struct tmx_job *j, struct work_list *ended) {
  tmx_replica_finish(r, j, TMX_FIN_CANCELLED);
  r->unstored = tmx_grow(r->unstored, &r->cap_unstored, r->n_unstored + 1, sizeof *r->unstored);
  r->unstored[r->n_unstored++] = j;
  push(ended, j);
}

/* Takes what the ends in the list mean to the jobs after them, to the end of every chain. */
static void spread(struct tmx_replica *r, struct work_list *ended) {
  struct work_list lost_dependent = {0};
  while (ended->n) {
    struct tmx_job *j = pop(ended);
    struct tmx_dependencies *d = &j->deps;
    for (size_t i = 0; i < d->n_dependents; i++) {
      struct tmx_job *dependent = d->dependents[i];
      if (dependent->fin) continue;
      if (j->fin == TMX_FIN_CANCELLED)
        cancel_job(r, dependent, ended);
      else if (--dependent->deps.n_unfinished == 0)
        release_job(r, dependent);
    }
    free(d->dependents);
    d->dependents = NULL;
    d->n_dependents = d->cap_dependents = 0;
    if (j->fin == TMX_FIN_CANCELLED) push_needs(&lost_dependent, j);
  }
  lower(r, &lost_dependent);
  free(lost_dependent.jobs);
}

void tmx_depend_over(struct tmx_replica *r, struct tmx_job *j) {
  if (!r->loaded || !j->fin) return;
  struct work_list ended = {0};
  push(&ended, j);
  spread(r, &ended);
  free(ended.jobs);
}

/* ------------------------------------------------------------ links */

static void add_dependent(struct tmx_job *need, struct tmx_job *j) {
  struct tmx_dependencies *d = &need->deps;
  d->dependents =
      tmx_grow(d->dependents, &d->cap_dependents, d->n_dependents + 1, sizeof *d->dependents);
  d->dependents[d->n_dependents++] = j;
}

/* false: one of them is not known */
static bool find_needs(const struct tmx_replica *r, struct tmx_job *j) {
  uint32_t n = j->deps.named.n;
  struct tmx_job **needs = calloc(n, sizeof(struct tmx_job *));
  if (!needs) abort();
  for (uint32_t i = 0; i < n; i++) {
    needs[i] = tmx_job_find(r, j->deps.named.ids[i]);
    if (needs[i]) continue;
    tmx_log(TMX_LOG_ERROR, "state: %s awaits %s, which is not known", j->id, j->deps.named.ids[i]);
    free(needs);
    return false;
  }
  j->deps.needs = needs;
  return true;
}

void tmx_depend_resolve(struct tmx_replica *r, struct tmx_job *j) {
  struct tmx_dependencies *d = &j->deps;
  if (!r->loaded || j->fin || d->needs || !d->named.n || d->n_read < d->named.n) return;
  if (!find_needs(r, j)) return;
  bool cancelled = false;
  for (uint32_t i = 0; i < d->named.n; i++) {
    struct tmx_job *need = d->needs[i];
    cancelled |= need->fin == TMX_FIN_CANCELLED;
    d->n_unfinished += need->fin != TMX_FIN_DONE;
    if (!need->fin) add_dependent(need, j);
  }
  if (cancelled) {
    struct work_list ended = {0};
    cancel_job(r, j, &ended);
    spread(r, &ended);
    free(ended.jobs);
    return;
  }
  raise_needs(r, j);
  if (!d->n_unfinished) release_job(r, j);
}

void tmx_depend_loaded(struct tmx_replica *r) {
  struct tmx_job *j, *next;
  HASH_ITER(hh, r->jobs, j, next) tmx_depend_resolve(r, j);
}
