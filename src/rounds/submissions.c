/* Submissions on their way into the log, by themselves or with the next batch. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "rounds/batch.h"

void tmx_submission_free(struct tmx_arrival *a) {
  tmx_buffer_free(&a->value);
  tmx_job_ids_free(&a->awaits);
  free(a);
}

static void settle_arrival(struct tmx_rounds *p, size_t i, int res) {
  struct tmx_arrival *a = p->arrivals[i];
  if (!a->answered) a->cb(a->arg, res);
  a->answered = true;
  if (a->direct) return; /* goes with the answer to its commit */
  if (a->sent) tmx_gate_release(p->c->gate, &a->candidate);
  p->arrivals[i] = p->arrivals[--p->n_arrivals];
  tmx_submission_free(a);
}

/* Answers those that are decided or have waited too long; the rest may be sent. Where the answer to
 * a commit is slow, the log may tell sooner that the job is in it. */
static void sort_arrivals(struct tmx_rounds *p) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < p->n_arrivals;) {
    struct tmx_arrival *a = p->arrivals[i];
    bool busy = a->direct || a->sent;
    size_t n = p->n_arrivals;
    if (!a->answered && (!busy || now - a->sent_at > TMX_STATE_SLOW_S) &&
        tmx_job_find(&p->c->rep, a->id))
      settle_arrival(p, i, TMX_TRANSACTION_CONFLICT);
    else if (!busy && now > a->until)
      settle_arrival(p, i, TMX_TRANSACTION_NOT_EXECUTED);
    i += p->n_arrivals == n;
  }
}

/* Submissions go out with a batch or each by itself. Either is on the condition that head is what
 * the replica saw, which rules out the batches it does not know, and that the job has no key, which
 * rules out the single ones: a name is taken once. */
static void condition(struct tmx_transaction *transaction, const char *id) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
  tmx_transaction_require_version(transaction, key, 0);
}

/* A submission goes into one transaction or into none: no reader takes a part for the whole. One
 * that needs several values comes first in its batch, which is made as large as it needs. */
static bool has_room(struct tmx_batch *b, const struct tmx_arrival *a) {
  if (a->values == 1) return tmx_batch_fits(b, a->json, 0);
  if (b->lines || b->n_jobs || b->t.n_operations) return false;
  if (b->spare < a->values) b->spare = a->values;
  return tmx_batch_fits(b, a->json, 0);
}

static void add_arrival(struct tmx_batch *b, const struct tmx_arrival *a) {
  char line[TMX_LINE_MAX];
  tmx_buffer_append(&b->jobs, a->value.data, a->value.length);
  b->value += a->json;
  b->n_jobs++;
  for (uint32_t at = a->in_record; at < a->awaits.count;) {
    tmx_dependency_line_print(line, sizeof line, a->id, &a->awaits, &at);
    tmx_batch_line(b, line, 0);
  }
}

/* The judgement that counts: on the replica whose head is the commit's condition. */
static bool admitted(const struct tmx_rounds *p, struct tmx_arrival *a) {
  return tmx_gate_judge(p->c->gate, &a->candidate, &a->awaits).verdict == TMX_ADMITTED;
}

static void refuse_overload(struct tmx_rounds *p) {
  for (size_t i = 0; i < p->n_arrivals;) {
    struct tmx_arrival *a = p->arrivals[i];
    size_t n = p->n_arrivals;
    if (!a->direct && !a->sent && !a->answered && !admitted(p, a))
      settle_arrival(p, i, TMX_ARRIVAL_OVERLOAD);
    i += p->n_arrivals == n;
  }
}

/* In a value they come before the lines, so they are the first to go in. Those for which admission
 * has no room beside the others wait for the next batch, which judges them anew. */
void tmx_submissions_add(struct tmx_rounds *p, struct tmx_batch *b) {
  bool full = false;
  int conds =
      p->c->set.txn_ops * 3; /* PROTOCOL allows four times as many; finished jobs need some */
  sort_arrivals(p);
  refuse_overload(p);
  for (size_t i = 0; i < p->n_arrivals; i++) {
    struct tmx_arrival *a = p->arrivals[i];
    if (a->direct || a->answered) continue;
    full = full || b->t.n_conditions >= conds || !has_room(b, a);
    a->sent = !full && admitted(p, a);
    a->sent_at = tmx_clock_steady();
    if (!a->sent) continue;
    tmx_gate_hold(p->c->gate, &a->candidate);
    condition(&b->t, a->id);
    add_arrival(b, a);
  }
}

void tmx_submissions_answer(struct tmx_rounds *p, int res) {
  for (size_t i = 0; i < p->n_arrivals;) {
    struct tmx_arrival *a = p->arrivals[i];
    bool sent = a->sent;
    a->sent = false;
    if (sent) tmx_gate_release(p->c->gate, &a->candidate);
    if (sent && res != TMX_TRANSACTION_CONFLICT)
      settle_arrival(p, i, res);
    else
      i++;
  }
}

static void on_direct(void *arg, int res, uint64_t revision) {
  struct tmx_arrival *a = arg;
  struct tmx_rounds *p = a->p;
  a->direct = false;
  tmx_gate_release(p->c->gate, &a->candidate);
  if (res == TMX_TRANSACTION_CONFLICT && !a->answered) { /* again once the replica has what won */
    a->tries++;
    if (revision > p->wait_rev) p->wait_rev = revision;
    p->wait_rev_at = tmx_clock_steady();
    return;
  }
  for (size_t i = 0; i < p->n_arrivals; i++)
    if (p->arrivals[i] == a) {
      settle_arrival(p, i, res);
      return;
    }
}

/* Keys that a submission takes: its record, and lines for the ids that have no room there. */
static int values_of(const struct tmx_settings *set, const struct tmx_arrival *a) {
  size_t room = tmx_value_room(set), used = room; /* lines begin in a value of their own */
  int values = 1;
  char line[TMX_LINE_MAX];
  for (uint32_t at = a->in_record; at < a->awaits.count;) {
    tmx_dependency_line_print(line, sizeof line, a->id, &a->awaits, &at);
    size_t len = tmx_json_text_length(line, strlen(line)) + 1;
    values += used + len > room;
    used = used + len > room ? len : used + len;
  }
  return values;
}

static bool too_large(const struct tmx_settings *set, const struct tmx_arrival *a) {
  size_t room = tmx_value_room(set);
  return a->json > room || a->values > set->txn_ops - 1 ||
         (size_t)a->values * (room + TMX_JSON_FRAME) > TMX_TXN_BYTES;
}

static struct tmx_arrival *make_arrival(struct tmx_rounds *p, const struct tmx_submission *s) {
  struct tmx_arrival *a = calloc(1, sizeof *a);
  if (!a) abort();
  memcpy(a->id, s->id, sizeof a->id);
  a->in_record = tmx_job_encode_open(&a->value, s->id, &s->spec, s->submitted, &s->awaits,
                                     tmx_value_room(&p->c->set));
  a->json = tmx_json_length(&a->value);
  a->awaits.count = s->awaits.count;
  a->awaits.ids = calloc(s->awaits.count + 1, sizeof *a->awaits.ids);
  if (!a->awaits.ids) abort();
  if (s->awaits.count)
    memcpy(a->awaits.ids, s->awaits.ids, s->awaits.count * sizeof *s->awaits.ids);
  a->values = values_of(&p->c->set, a);
  a->candidate = tmx_gate_candidate(p->c->gate, &s->spec, tmx_team_index(&p->c->set, s->spec.team));
  a->p = p;
  return a;
}

enum tmx_arrival_result tmx_rounds_arrival(struct tmx_ctl *c, const struct tmx_submission *s,
                                           double within, tmx_arrival_cb cb, void *arg) {
  struct tmx_rounds *p = c->rounds;
  if (p->n_arrivals == TMX_ARRIVALS_MAX) return TMX_ARRIVAL_LATER;
  for (size_t i = 0; i < p->n_arrivals; i++)
    if (!strcmp(p->arrivals[i]->id, s->id)) return TMX_ARRIVAL_LATER; /* it is on its way already */
  struct tmx_arrival *a = make_arrival(p, s);
  if (too_large(&c->set, a)) {
    tmx_log(TMX_LOG_INFO,
            "job: %s refused: %zu bytes and %u awaited jobs take more than a transaction", s->id,
            a->json, s->awaits.count);
    tmx_submission_free(a);
    return TMX_ARRIVAL_TOO_LARGE;
  }
  a->until = tmx_clock_steady() + within;
  a->cb = cb;
  a->arg = arg;
  p->arrivals[p->n_arrivals++] = a;
  return TMX_ARRIVAL_TAKEN;
}

static void send_alone(struct tmx_rounds *p, struct tmx_arrival *a) {
  struct tmx_ctl *c = p->c;
  struct tmx_transaction transaction = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", a->id);
  tmx_transaction_require_version(&transaction, TMX_KEY_HEAD, c->rep.head_version);
  condition(&transaction, a->id);
  tmx_transaction_put(&transaction, key, &a->value, 0);
  a->sent_at = tmx_clock_steady();
  a->direct = tmx_store_commit(c->link, &transaction, true, on_direct, a);
  if (a->direct) tmx_gate_hold(c->gate, &a->candidate);
}

static bool may_go_alone(const struct tmx_rounds *p, struct tmx_arrival *a) {
  if (a->direct || a->sent || a->values > 1 || a->tries >= TMX_DIRECT_TRIES) return false;
  if (!tmx_gate_may_go_alone(p->c->gate, &a->candidate, &a->awaits)) return false;
  return tmx_store_reserve_submission_write(p->c->link);
}

/* A few submissions go out at once, each as a put; when there are many, or puts are short, they
 * wait for the next batch, which holds dozens in one. */
void tmx_rounds_flush(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  size_t idle = 0;
  if (!p->n_arrivals) return;
  sort_arrivals(p);
  for (size_t i = 0; i < p->n_arrivals; i++)
    idle += !p->arrivals[i]->direct && !p->arrivals[i]->sent;
  if (!idle) return;
  /* a batch under way is decided once head has moved, whenever its answer comes */
  bool decided = !p->sending || c->rep.head_version != p->sent_head;
  if (idle <= TMX_DIRECT_MAX && c->rep.loaded && decided && tmx_rounds_caught_up(p)) {
    for (size_t i = 0; i < p->n_arrivals; i++) {
      struct tmx_arrival *a = p->arrivals[i];
      if (!may_go_alone(p, a)) continue;
      send_alone(p, a);
      idle -= a->direct;
    }
  }
  if (idle) tmx_rounds_kick_in(c, 0.02);
}
