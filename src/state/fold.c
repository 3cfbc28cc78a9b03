/* Folding: the leader writes the machines and the tasks of every job that is not over into pages,
 * and then a mark: batches up to it no longer count, and their keys are used again. Each page is
 * written on the condition that head is what the replica saw, so it is exactly the state at its own
 * version; whoever loads keys applies them in order of version and finds the page's word standing.
 * It is housekeeping: it runs only while puts are to spare. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller.h"
#include "net/log.h"

enum { IDLE, PAGES, MARK, DROPS };
struct tmx_fold {
  struct tmx_ctl *c;
  size_t above;
  int step;
  bool busy;
  double looked_at;
  uint64_t mark, stamp; /* batches up to this version go; version of the mark that stands */
  unsigned page;
  char (*machines)[TMX_ID_MAX], (*jobs)[TMX_ID_MAX]; /* to be written */
  size_t n_machines, n_jobs;
  struct place { /* what comes next, and what comes after the pages under way */
    size_t machine, job;
    uint32_t task;
    bool recorded;   /* the job's record is written ... */
    uint32_t awaits; /* ... and of the ids that it names, so many ... */
    size_t types;    /* ... and of the machine types that it allows */
  } at, sent;
};

struct tmx_fold *tmx_fold_new(struct tmx_ctl *c) {
  struct tmx_fold *f = calloc(1, sizeof *f);
  if (!f) abort();
  f->c = c;
  f->above = TMX_FOLD_KEYS;
  return f;
}
void tmx_fold_free(struct tmx_fold *f) {
  free(f->machines);
  free(f->jobs);
  free(f);
}
void tmx_fold_above(struct tmx_fold *f, size_t keys) { f->above = keys; }

/* Jobs that are over need no page, unless their end was derived and nothing else tells of them. */
static bool counts(const struct tmx_job *j) { return j->tasks || (j->fin && !j->stored); }

static void begin(struct tmx_fold *f) {
  struct tmx_replica *r = &f->c->rep;
  struct tmx_job *j, *jt;
  struct tmx_machine *m, *mt;
  free(f->machines);
  free(f->jobs);
  f->machines = calloc(HASH_COUNT(r->machines) + 1, sizeof *f->machines);
  f->jobs = calloc(HASH_COUNT(r->jobs) + 1, sizeof *f->jobs);
  if (!f->machines || !f->jobs) abort();
  f->n_machines = f->n_jobs = 0;
  HASH_ITER(hh, r->machines, m, mt) memcpy(f->machines[f->n_machines++], m->id, TMX_ID_MAX);
  HASH_ITER(hh, r->jobs, j, jt) if (counts(j)) memcpy(f->jobs[f->n_jobs++], j->id, TMX_ID_MAX);
  memset(&f->at, 0, sizeof f->at);
  f->mark = r->rev;
  f->stamp = r->fold_stamp;
  f->page = 0;
  f->step = PAGES;
}

static void next_job(struct place *at) {
  at->job++;
  at->task = at->awaits = 0;
  at->types = 0;
  at->recorded = false;
}

/* A record that was accepted under larger limits may exceed the present ones: types that have no
 * room in it follow in lines. */
static void write_record(const struct tmx_fold *f, struct place *at, const struct tmx_job *j,
                         struct tmx_buffer *job) {
  size_t room = tmx_value_room(&f->c->set);
  struct tmx_spec part = j->spec;
  part.n_types = tmx_job_types_within(j->id, &j->spec, j->submitted, &j->deps.named, room);
  at->awaits = tmx_job_encode_open(job, j->id, &part, j->submitted, &j->deps.named, room);
  at->types = part.n_types;
  at->recorded = true;
}

/* What comes next in the pages, a line or an encoded job; false: nothing. */
static bool next_line(struct tmx_fold *f, struct place *at, char *line, size_t cap,
                      struct tmx_buffer *job) {
  struct tmx_replica *r = &f->c->rep;
  for (; at->machine < f->n_machines; at->machine++) {
    const struct tmx_machine *m = tmx_machine_find(r, f->machines[at->machine]);
    if (!m || !m->known) continue;
    tmx_machine_print(line, cap, r, m);
    at->machine++;
    return true;
  }
  for (; at->job < f->n_jobs; next_job(at)) {
    const struct tmx_job *j = tmx_job_find(r, f->jobs[at->job]);
    if (!j || !counts(j)) continue;
    if (!at->recorded) {
      write_record(f, at, j, job);
      return true;
    }
    if (at->types < j->spec.n_types) {
      tmx_type_print(line, cap, j->id, j->spec.types[at->types++]);
      return true;
    }
    if (at->awaits < j->deps.named.n) {
      tmx_awaits_print(line, cap, j->id, &j->deps.named, &at->awaits);
      return true;
    }
    while (j->tasks && at->task < j->spec.tasks) {
      int len;
      at->task += tmx_run_print(line, cap, j, at->task, &len);
      if (len) return true;
    }
  }
  return false;
}

static void on_pages(void *arg, int res, uint64_t rev) {
  struct tmx_fold *f = arg;
  (void)rev;
  f->busy = false;
  if (res == TMX_TRANSACTION_COMMITTED) f->at = f->sent;
}

static void write_pages(struct tmx_fold *f) {
  struct tmx_ctl *c = f->c;
  struct tmx_transaction transaction = {0};
  struct tmx_buffer list = {0}, jobs = {0}, one = {0}, value = {0};
  size_t max = tmx_value_room(&c->set), n = 0, n_jobs = 0, len = 0, all = 0;
  int puts = (int)tmx_store_write_budget(c->link);
  char line[TMX_LINE_MAX], key[TMX_KEY_MAX + 1];
  struct place at = f->at;
  if (puts > c->set.txn_ops) puts = c->set.txn_ops;
  bool more = true;
  tmx_transaction_require_version(&transaction, TMX_K_HEAD, c->rep.head);
  while (more && transaction.n_operations < puts && all + max + TMX_JSON_FRAME < TMX_TXN_BYTES) {
    list.length = jobs.length = n = n_jobs = len = 0;
    for (;;) {
      struct place before = at;
      one.length = 0;
      more = next_line(f, &at, line, sizeof line, &one);
      if (!more) break;
      size_t next =
          one.length ? tmx_json_length(&one) : tmx_json_text_length(line, strlen(line)) + 1;
      if (len + next > max) {
        at = before; /* it begins the next page */
        break;
      }
      len += next;
      if (one.length) {
        tmx_buffer_append(&jobs, one.data, one.length);
        n_jobs++;
      } else {
        tmx_cbor_put_text(&list, line);
        n++;
      }
    }
    if (!n && !n_jobs) break;
    all += len + TMX_JSON_FRAME;
    value.length = 0;
    tmx_lines_encode(&value, &jobs, n_jobs, &list, n);
    snprintf(key, sizeof key, TMX_K_PAGE "%016llx/%05u", (unsigned long long)f->mark, f->page++);
    tmx_transaction_put(&transaction, key, &value, 0);
  }
  f->sent = at;
  tmx_buffer_free(&list);
  tmx_buffer_free(&jobs);
  tmx_buffer_free(&one);
  tmx_buffer_free(&value);
  if (transaction.n_operations) {
    f->busy = tmx_store_commit(c->link, &transaction, true, on_pages, f);
    return;
  }
  tmx_buffer_free(&transaction.conditions);
  tmx_buffer_free(&transaction.operations);
  if (!more) {
    f->step = MARK;
  } else if (puts > 0 && all == 0) {
    tmx_log(TMX_LOG_ERROR, "fold: given up, %s exceeds a value", f->jobs[at.job]);
    f->step = IDLE;
  }
}

static void on_mark(void *arg, int res, uint64_t rev) {
  struct tmx_fold *f = arg;
  (void)rev;
  f->busy = false;
  /* another leader's mark, or an answer that does not tell: the next fold begins anew */
  f->step = res == TMX_TRANSACTION_COMMITTED ? DROPS : IDLE;
}

static void write_mark(struct tmx_fold *f) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_transaction_require_version(&transaction, TMX_K_FOLD, f->stamp);
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_u64_field(&value, "mark", f->mark);
  tmx_cbor_put_u64_field(&value, "gen", f->mark);
  tmx_transaction_put(&transaction, TMX_K_FOLD, &value, 0);
  tmx_buffer_free(&value);
  f->busy = tmx_store_commit(f->c->link, &transaction, true, on_mark, f);
}

static void on_drops(void *arg, int res, uint64_t rev) {
  struct tmx_fold *f = arg;
  (void)res;
  (void)rev;
  f->busy = false;
}

/* Drops the pages of other folds; false: nothing is left to drop. */
static bool drop_some(struct tmx_fold *f) {
  struct tmx_ctl *c = f->c;
  struct tmx_transaction transaction = {0};
  struct tmx_log_key *k, *tmp;
  int max = (int)tmx_store_write_budget(c->link);
  if (max > c->set.txn_ops) max = c->set.txn_ops;
  /* on the condition that the mark still stands: these pages might else be the newer ones */
  tmx_transaction_require_version(&transaction, TMX_K_FOLD, c->rep.fold_stamp);
  HASH_ITER(hh, c->rep.pages, k, tmp) {
    unsigned long long gen;
    if (transaction.n_operations >= max || sscanf(k->key + strlen(TMX_K_PAGE), "%llx", &gen) != 1)
      continue;
    if (gen != c->rep.fold_gen) tmx_transaction_delete(&transaction, k->key);
  }
  if (!transaction.n_operations) {
    tmx_buffer_free(&transaction.conditions);
    return false;
  }
  f->busy = tmx_store_commit(c->link, &transaction, true, on_drops, f);
  return true;
}

void tmx_fold_tick(struct tmx_fold *f) {
  struct tmx_ctl *c = f->c;
  double now = tmx_clock_steady();
  if (f->busy) return;
  if (!tmx_store_is_leader(c->link) || !c->rep.loaded) {
    f->step = IDLE;
    return;
  }
  if (!tmx_store_has_housekeeping_budget(c->link)) return;
  if (f->step == IDLE) {
    if (now - f->looked_at < 1) return;
    f->looked_at = now;
    struct tmx_log_key *k, *t;
    size_t n = 0;
    HASH_ITER(hh, c->rep.batches, k, t) n += k->stamp > c->rep.fold_mark;
    if (n <= f->above) return;
    begin(f);
    tmx_log(TMX_LOG_INFO, "fold: %zu machines, %zu jobs, %zu batches", f->n_machines, f->n_jobs, n);
  }
  if (f->step == PAGES)
    write_pages(f);
  else if (f->step == MARK)
    write_mark(f);
  else if (c->rep.fold_gen == f->mark && !drop_some(f))
    f->step = IDLE;
}
