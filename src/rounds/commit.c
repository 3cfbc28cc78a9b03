/* The batch of a round: what was planned is checked line by line and sent as one transaction. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "rounds/batch.h"

static void on_batch(void *arg, int res, uint64_t rev) {
  struct tmx_rounds *p = arg;
  struct tmx_ctl *c = p->c;
  p->sending = false;
  if (rev > p->wait_rev) p->wait_rev = rev;
  p->wait_rev_at = tmx_now();
  tmx_submissions_answer(p, res);
  if (res == TMX_TXN_CONFLICT && ++p->resent <= TMX_RESENDS) {
    /* what was planned is checked again on the state that won, and sent anew */
    tmx_rounds_kick_in(c, 0.05);
    return;
  }
  if (res == TMX_TXN_OK) {
    size_t n = 0;
    for (size_t i = 0; i < p->n_lines; i++) /* those that came meanwhile stay */
      if (!p->lines[i].sent) p->lines[n++] = p->lines[i];
    p->n_lines = n;
  } else if (tmx_log_on(TMX_DEBUG)) {
    tmx_log(TMX_DEBUG, "round: not committed (%d)", res);
  }
  bool cut = p->plan.cut;
  tmx_round_over(p);
  tmx_rounds_kick_in(c, res == TMX_TXN_OK ? (cut ? 0 : TMX_ROUND_SPACING_S) : TMX_STATE_RETRY_S);
}

/* Jobs that were cancelled through others get a final state of their own while puts are to spare:
 * until then every copy, and every fold, keeps what they were derived from. */
static void add_derived_ends(struct tmx_rounds *p, struct tmx_batch *b) {
  struct tmx_ctl *c = p->c;
  tmx_replica_tidy_unstored(&c->rep);
  if (!tmx_link_leading(c->link) || !tmx_link_spare(c->link)) return;
  for (size_t i = 0; i < c->rep.n_unstored && b->spare >= 1; i++, b->spare--) {
    const struct tmx_job *j = c->rep.unstored[i];
    char key[TMX_KEY_MAX + 1];
    snprintf(key, sizeof key, TMX_K_JOB "%s", j->id);
    tmx_txn_if(&b->t, key, j->stamp);
    b->v.n = 0;
    tmx_job_encode_final(&b->v, j, TMX_FIN_CANCELLED, 0, tmx_value_room(&c->set));
    tmx_txn_put(&b->t, key, &b->v, 0);
  }
}

static int by_group(const void *a, const void *b) {
  const struct tmx_op *x = a, *y = b;
  int order = strcmp(x->job, y->job);
  if (!order) order = (x->attempt > y->attempt) - (x->attempt < y->attempt);
  if (!order) order = x->how - y->how;
  return order ? order : (x->task > y->task) - (x->task < y->task);
}

/* Jobs whose last task's end is among those at hand. Their final states need a put each, and users
 * and the jobs after them wait for these. */
static int last_ends(const struct tmx_rounds *p) {
  const struct tmx_replica *r = &p->c->rep;
  int n = 0;
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = tmx_round_task(r, &p->ends[i]);
    if (!t || p->ends[i].how != TMX_END_DONE || t->job->fin) continue;
    if (t->job->n_done + ++t->job->n_ending == t->job->spec.tasks) n++;
  }
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = tmx_round_task(r, &p->ends[i]);
    if (t) t->job->n_ending = 0;
  }
  return n;
}

/* The log's order in a batch: ends, machines, placements and stops. */
void tmx_round_commit(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  struct tmx_replica *r = &c->rep;
  struct tmx_check check;
  /* the version in production does not read lines of several operations: see docs/design.md */
  struct tmx_batch b = {.p = p, .value_max = tmx_value_room(&c->set), .grouped = r->pipelines};
  char line[TMX_LINE_MAX];
  double budget = tmx_link_budget(c->link);
  struct tmx_job *finished[TMX_FINISHED_MAX];
  size_t n_fin = 0, placed = 0;
  bool more = false, later = false;
  p->puts = TMX_ROUND_PUTS;
  for (size_t i = 0; i < p->n_lines; i++) p->lines[i].sent = false;
  b.spare = c->set.txn_ops - 1;
  if (budget < b.spare + 1) b.spare = (int)floor(budget) - 1;
  if (b.spare < 1) b.spare = 1; /* begin() saw to it that this much may be sent */
  int room_for_ends = (int)fmin(c->set.txn_ops - 1 - b.spare, last_ends(p));
  if (room_for_ends > 0) b.spare += tmx_link_extra(c->link, room_for_ends);
  tmx_txn_if(&b.t, TMX_K_HEAD, r->head);
  tmx_check_begin(&check, r);
  tmx_submissions_add(p, &b);
  if (b.grouped) qsort(p->ends, p->n_ends, sizeof *p->ends, by_group);
  for (size_t i = 0; i < p->n_ends; i++) {
    const struct tmx_op *o = &p->ends[i];
    struct tmx_task *t = tmx_round_task(r, o);
    if (!t || t->state != TMX_PLACED || t->attempt != o->attempt) continue;
    /* the last task's end and the job's final state are one transaction */
    bool last = o->how == TMX_END_DONE && !t->job->fin &&
                t->job->n_done + t->job->n_ending + 1 == t->job->spec.tasks;
    /* A job's last end needs a put more. When there is none for it the others go on without it, and
     * the next round waits for enough: or one such end would hold the whole log up for good. */
    if (last && (n_fin == TMX_FINISHED_MAX || b.spare < 2)) {
      p->puts = TMX_ROUND_PUTS + 1;
      later = true;
      if (tmx_log_on(TMX_DEBUG)) tmx_log(TMX_DEBUG, "job: %s is done, and waits for a put", o->job);
      continue;
    }
    if (!tmx_batch_op(&b, o, last)) {
      more = true;
      break;
    }
    tmx_check_op(&check, o);
    if (o->how == TMX_END_DONE && !t->job->fin) t->job->n_ending++;
    if (!last) continue;
    finished[n_fin++] = t->job;
    b.spare--;
  }
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = tmx_round_task(r, &p->ends[i]);
    if (t) t->job->n_ending = 0;
  }
  for (size_t i = 0; i < p->n_lines; i++) {
    if (!more && tmx_batch_line(&b, p->lines[i].text, 0))
      p->lines[i].sent = true;
    else
      more = true;
  }
  struct tmx_worker_facts facts[TMX_REGISTER_MAX];
  size_t n_f = more ? 0 : tmx_workers_unregistered(c->workers, facts, TMX_REGISTER_MAX);
  for (size_t i = 0; i < n_f && !more; i++) {
    snprintf(line, sizeof line, "m %.31s %.63s %.31s %.63s %d 0", facts[i].id, facts[i].addr,
             facts[i].type, facts[i].zone, facts[i].spot);
    more = !tmx_batch_line(&b, line, 0);
  }
  if (n_f == TMX_REGISTER_MAX) more = true;
  for (size_t i = 0; i < p->plan.n_ops && !more; i++) {
    const struct tmx_op *o = &p->plan.ops[i];
    /* room whose end did not fit into the batch is not free in the log: the check sees that */
    if (!tmx_check_op(&check, o)) continue;
    more = !tmx_batch_op(&b, o, 0);
    placed += !more;
  }
  tmx_batch_flush(&b);
  for (size_t i = 0; i < n_fin; i++) {
    struct tmx_job *j = finished[i];
    char key[TMX_KEY_MAX + 1];
    snprintf(key, sizeof key, TMX_K_JOB "%s", j->id);
    tmx_txn_if(&b.t, key, j->stamp);
    b.v.n = 0;
    tmx_job_encode_final(&b.v, j, TMX_FIN_DONE, r->pipelines ? tmx_wall() : 0,
                         tmx_value_room(&c->set));
    tmx_txn_put(&b.t, key, &b.v, 0);
  }
  add_derived_ends(p, &b);
  tmx_buf_free(&b.list);
  tmx_buf_free(&b.jobs);
  tmx_buf_free(&b.v);
  p->plan.cut |= more || later;
  if (!b.t.n_ops) {
    bool cut = p->plan.cut;
    tmx_buf_free(&b.t.conds);
    tmx_buf_free(&b.t.ops);
    tmx_round_over(p);
    if (cut) tmx_rounds_kick_in(c, 0.1);
    return;
  }
  tmx_txn_head(&b.t, c->set.node);
  if (tmx_log_on(TMX_DEBUG))
    tmx_log(TMX_DEBUG, "round: %zu ends, %zu of %zu planned, %zu looked at, %d keys, resent %d",
            p->n_ends, placed, p->plan.n_ops, p->plan.visits, b.t.n_ops, p->resent);
  p->sent_head = r->head;
  p->sending = tmx_link_commit(c->link, &b.t, true, on_batch, p);
  if (p->sending) return;
  for (size_t i = 0; i < p->n_arrivals; i++) p->arrivals[i]->sent = false;
  tmx_round_over(p);
  tmx_rounds_kick_in(c, TMX_STATE_RETRY_S);
}
