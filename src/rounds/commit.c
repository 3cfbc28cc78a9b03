/* The batch of a round: what was planned is checked line by line and sent as one transaction. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "rounds/batch.h"

static void on_batch(void *arg, int res, uint64_t revision) {
  struct tmx_rounds *p = arg;
  struct tmx_ctl *c = p->c;
  p->sending = false;
  if (revision > p->wait_rev) p->wait_rev = revision;
  p->wait_rev_at = tmx_clock_steady();
  tmx_submissions_answer(p, res);
  if (res == TMX_TRANSACTION_CONFLICT && ++p->resent <= TMX_RESENDS) {
    /* what was planned is checked again on the state that won, and sent anew */
    tmx_rounds_kick_in(c, 0.05);
    return;
  }
  if (res == TMX_TRANSACTION_COMMITTED) {
    size_t n = 0;
    for (size_t i = 0; i < p->n_lines; i++) /* those that came meanwhile stay */
      if (!p->lines[i].sent) p->lines[n++] = p->lines[i];
    p->n_lines = n;
  } else if (tmx_log_enabled(TMX_LOG_DEBUG)) {
    tmx_log(TMX_LOG_DEBUG, "round: not committed (%d)", res);
  }
  bool cut = p->plan.cut;
  tmx_round_over(p);
  tmx_rounds_kick_in(
      c, res == TMX_TRANSACTION_COMMITTED ? (cut ? 0 : TMX_ROUND_SPACING_S) : TMX_STATE_RETRY_S);
}

static int by_group(const void *a, const void *b) {
  const struct tmx_operation *left = a, *right = b;
  int order = strcmp(left->job, right->job);
  if (!order) order = (left->attempt > right->attempt) - (left->attempt < right->attempt);
  if (!order) order = left->reason - right->reason;
  return order ? order : (left->task > right->task) - (left->task < right->task);
}

/* Jobs whose last task's end is among those at hand. Their final states need a put each, and users
 * and the jobs after them wait for these. */
static int last_ends(const struct tmx_rounds *p) {
  const struct tmx_replica *replica = &p->c->rep;
  int n = 0;
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *task = tmx_round_task(replica, &p->ends[i]);
    if (!task || p->ends[i].reason != TMX_END_DONE || task->job->outcome) continue;
    if (task->job->n_done + ++task->job->n_completions_in_batch == task->job->spec.tasks) n++;
  }
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *task = tmx_round_task(replica, &p->ends[i]);
    if (task) task->job->n_completions_in_batch = 0;
  }
  return n;
}

/* A batch while it is put together. */
struct draft {
  struct tmx_batch b;
  struct tmx_operation_check check;
  struct tmx_job *finished[TMX_FINISHED_MAX]; /* jobs whose last end is in it */
  size_t n_finished, placed;
  bool full;  /* something found no room */
  bool later; /* a job's last end waits for a put */
};

/* How many puts the batch may take, beside the one of head. */
static int spare_puts(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  double budget = tmx_store_write_budget(c->link);
  int most = c->set.txn_ops - 1, spare = most;
  if (budget < spare + 1) spare = (int)floor(budget) - 1;
  if (spare < 1) spare = 1; /* begin() saw to it that this much may be sent */
  int for_ends = (int)fmin(most - spare, last_ends(p));
  return for_ends > 0 ? spare + tmx_store_reserve_unused_writes(c->link, for_ends) : spare;
}

/* false: the batch is full. The last task's end and the job's final state are one transaction. A
 * job's last end needs a put more. When there is none for it the others go on without it, and the
 * next round waits for enough: or one such end would hold the whole log up for good. */
static bool add_end(struct tmx_rounds *p, struct draft *d, const struct tmx_operation *operation) {
  struct tmx_task *task = tmx_round_task(&p->c->rep, operation);
  if (!task || task->state != TMX_TASK_PLACED || task->attempt != operation->attempt) return true;
  bool counts = operation->reason == TMX_END_DONE && !task->job->outcome;
  bool last =
      counts && task->job->n_done + task->job->n_completions_in_batch + 1 == task->job->spec.tasks;
  if (last && (d->n_finished == TMX_FINISHED_MAX || d->b.spare < 2)) {
    p->puts = TMX_ROUND_PUTS + 1;
    d->later = true;
    if (tmx_log_enabled(TMX_LOG_DEBUG))
      tmx_log(TMX_LOG_DEBUG, "job: %s is done, and waits for a put", operation->job);
    return true;
  }
  if (!tmx_batch_op(&d->b, operation, last)) return false;
  tmx_operation_check_apply(&d->check, operation);
  if (counts) task->job->n_completions_in_batch++;
  if (!last) return true;
  d->finished[d->n_finished++] = task->job;
  d->b.spare--;
  return true;
}

static void add_ends(struct tmx_rounds *p, struct draft *d) {
  if (d->b.grouped) qsort(p->ends, p->n_ends, sizeof *p->ends, by_group);
  for (size_t i = 0; i < p->n_ends && !d->full; i++) d->full = !add_end(p, d, &p->ends[i]);
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *task = tmx_round_task(&p->c->rep, &p->ends[i]);
    if (task) task->job->n_completions_in_batch = 0;
  }
}

static void add_pending_lines(struct tmx_rounds *p, struct draft *d) {
  for (size_t i = 0; i < p->n_lines; i++) {
    p->lines[i].sent = !d->full && tmx_batch_line(&d->b, p->lines[i].text, 0);
    d->full |= !p->lines[i].sent;
  }
}

static void add_registrations(struct tmx_rounds *p, struct draft *d) {
  struct tmx_machine_facts facts[TMX_REGISTER_MAX];
  char line[TMX_LINE_MAX];
  if (d->full) return;
  size_t n = tmx_workers_collect_unregistered(p->c->workers, facts, TMX_REGISTER_MAX);
  for (size_t i = 0; i < n && !d->full; i++) {
    snprintf(line, sizeof line, "m %.31s %.63s %.31s %.63s %d 0", facts[i].id, facts[i].addr,
             facts[i].type, facts[i].zone, facts[i].spot);
    d->full = !tmx_batch_line(&d->b, line, 0);
  }
  if (n == TMX_REGISTER_MAX) d->full = true;
}

/* Room whose end did not fit into the batch is not free in the log: the check sees that. */
static void add_planned(struct tmx_rounds *p, struct draft *d) {
  for (size_t i = 0; i < p->plan.n_ops && !d->full; i++) {
    const struct tmx_operation *operation = &p->plan.ops[i];
    if (!tmx_operation_check_apply(&d->check, operation)) continue;
    d->full = !tmx_batch_op(&d->b, operation, 0);
    d->placed += !d->full;
  }
}

static void put_final_state(struct tmx_rounds *p, struct tmx_batch *b, const struct tmx_job *job,
                            int fin, double ended) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", job->id);
  tmx_transaction_require_version(&b->t, key, job->version);
  b->v.length = 0;
  tmx_job_encode_final(&b->v, job, fin, ended, tmx_value_room(&p->c->set));
  tmx_transaction_put(&b->t, key, &b->v, 0);
}

/* Jobs that were cancelled through others get a final state of their own while puts are to spare:
 * until then every copy, and every fold, keeps what they were derived from. */
static void add_derived_ends(struct tmx_rounds *p, struct tmx_batch *b) {
  struct tmx_ctl *c = p->c;
  tmx_replica_prune_unstored(&c->rep);
  if (!tmx_store_is_leader(c->link) || !tmx_store_has_housekeeping_budget(c->link)) return;
  for (size_t i = 0; i < c->rep.n_unstored_outcomes && b->spare >= 1; i++, b->spare--)
    put_final_state(p, b, c->rep.unstored_outcomes[i], TMX_JOB_CANCELLED, 0);
}

static void add_final_states(struct tmx_rounds *p, struct draft *d) {
  double ended = p->c->rep.dependencies_in_use ? tmx_clock_wall() : 0;
  tmx_batch_flush(&d->b);
  for (size_t i = 0; i < d->n_finished; i++)
    put_final_state(p, &d->b, d->finished[i], TMX_JOB_DONE, ended);
  add_derived_ends(p, &d->b);
}

static void free_draft(struct draft *d) {
  tmx_buffer_free(&d->b.list);
  tmx_buffer_free(&d->b.jobs);
  tmx_buffer_free(&d->b.v);
}

static void nothing_to_send(struct tmx_rounds *p, struct draft *d) {
  bool cut = p->plan.cut;
  tmx_buffer_free(&d->b.t.conditions);
  tmx_buffer_free(&d->b.t.operations);
  tmx_round_over(p);
  if (cut) tmx_rounds_kick_in(p->c, TMX_ROUND_EMPTY_S);
}

static void send_batch(struct tmx_rounds *p, struct draft *d) {
  struct tmx_ctl *c = p->c;
  tmx_transaction_advance_head(&d->b.t, c->set.node);
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "round: %zu ends, %zu of %zu planned, %zu looked at, %d keys, resent %d",
            p->n_ends, d->placed, p->plan.n_ops, p->plan.visits, d->b.t.n_operations, p->resent);
  p->sent_head = c->rep.head_version;
  p->sending = tmx_store_commit(c->link, &d->b.t, true, on_batch, p);
  if (p->sending) return;
  tmx_submissions_answer(p, TMX_TRANSACTION_CONFLICT); /* not sent: as if something else had won */
  tmx_round_over(p);
  tmx_rounds_kick_in(c, TMX_STATE_RETRY_S);
}

/* The log's order in a batch: submissions, ends, machines, placements and stops. The version in
 * production does not read lines of several operations: see docs/design.md. */
void tmx_round_commit(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  struct draft d = {.b = {.p = p,
                          .value_max = tmx_value_room(&c->set),
                          .grouped = c->rep.dependencies_in_use,
                          .spare = spare_puts(p)}};
  p->puts = TMX_ROUND_PUTS;
  tmx_transaction_require_version(&d.b.t, TMX_KEY_HEAD, c->rep.head_version);
  tmx_operation_check_begin(&d.check, &c->rep);
  tmx_submissions_add(p, &d.b);
  add_ends(p, &d);
  add_pending_lines(p, &d);
  add_registrations(p, &d);
  add_planned(p, &d);
  add_final_states(p, &d);
  free_draft(&d);
  p->plan.cut |= d.full || d.later;
  if (d.b.t.n_operations)
    send_batch(p, &d);
  else
    nothing_to_send(p, &d);
}
