/* Folding: the leader writes the tasks of every job that the log still speaks of into pages, and
 * then drops the batches that are older than the first page. Each page is written on the
 * condition that head is what the replica saw, so it is exactly the state at its own version;
 * whoever loads keys applies them in order of version and finds the page's word standing. It is
 * housekeeping: it runs only while the write budget is mostly unused. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller.h"
#include "net/log.h"

enum { IDLE, PAGES, DROPS };
struct tmx_fold {
  struct tmx_ctl *c;
  size_t above;
  int step;
  bool busy;
  uint64_t mark;            /* batches up to this version go */
  char job[TMX_ID_MAX];     /* being written */
  uint32_t next_task;       /* of it */
  char (*todo)[TMX_ID_MAX]; /* jobs to be written */
  size_t n_todo, at;
  uint32_t sent_tasks;
};

struct tmx_fold *tmx_fold_new(struct tmx_ctl *c) {
  struct tmx_fold *f = calloc(1, sizeof *f);
  if (!f) abort();
  f->c = c;
  f->above = TMX_FOLD_KEYS;
  return f;
}
void tmx_fold_free(struct tmx_fold *f) {
  free(f->todo);
  free(f);
}
void tmx_fold_above(struct tmx_fold *f, size_t keys) { f->above = keys; }

static bool spoken_of(const struct tmx_job *j) { return j->tasks && j->touched; }

static void begin(struct tmx_fold *f) {
  struct tmx_job *j, *t;
  free(f->todo);
  f->todo = calloc(HASH_COUNT(f->c->rep.jobs) + 1, sizeof *f->todo);
  if (!f->todo) abort();
  f->n_todo = f->at = 0;
  f->next_task = 0;
  f->mark = f->c->rep.rev;
  HASH_ITER(hh, f->c->rep.jobs, j, t) {
    if (spoken_of(j) && j->touched <= f->mark)
      snprintf(f->todo[f->n_todo++], TMX_ID_MAX, "%s", j->id);
  }
  f->step = PAGES;
}

static void on_pages(void *arg, int res, uint64_t rev) {
  struct tmx_fold *f = arg;
  (void)rev;
  f->busy = false;
  if (res == TMX_TXN_OK) f->next_task += f->sent_tasks;
}

static void write_pages(struct tmx_fold *f) {
  struct tmx_ctl *c = f->c;
  struct tmx_job *j = NULL;
  while (f->at < f->n_todo) {
    j = tmx_job_find(&c->rep, f->todo[f->at]);
    if (j && spoken_of(j) && f->next_task < j->spec.tasks) break;
    f->at++;
    f->next_task = 0;
  }
  if (f->at == f->n_todo) {
    f->step = DROPS;
    return;
  }
  struct tmx_txn t = {0};
  size_t max = (size_t)(c->set.value_kb * 1024 * 0.85);
  uint32_t from = f->next_task;
  tmx_txn_if(&t, TMX_K_HEAD, c->rep.head);
  while (t.n_ops < 4 && from < j->spec.tasks && t.ops.n + max < TMX_TXN_BYTES) {
    struct tmx_buf b = {0};
    char key[TMX_KEY_MAX + 1];
    uint32_t n = tmx_page_encode(&b, j, from, max);
    snprintf(key, sizeof key, TMX_K_DONE "%s/%06u", j->id, from);
    tmx_txn_put(&t, key, &b, 0);
    tmx_buf_free(&b);
    from += n;
    if (!n) break;
  }
  f->sent_tasks = from - f->next_task;
  f->busy = tmx_link_commit(c->link, &t, false, on_pages, f);
}

static void on_drops(void *arg, int res, uint64_t rev) {
  struct tmx_fold *f = arg;
  (void)res;
  (void)rev;
  f->busy = false;
}

/* Drops what the pages replace; false: nothing is left to drop. */
static bool drop_some(struct tmx_fold *f) {
  struct tmx_ctl *c = f->c;
  struct tmx_txn t = {0};
  struct tmx_log_key *k, *tmp;
  int max = c->set.txn_ops < 10 ? c->set.txn_ops : 10;
  HASH_ITER(hh, c->rep.batches, k, tmp) {
    if (f->step == DROPS && k->stamp <= f->mark && t.n_ops < max) tmx_txn_drop(&t, k->key);
  }
  HASH_ITER(hh, c->rep.pages, k, tmp) {
    char id[TMX_ID_MAX];
    if (t.n_ops >= max || sscanf(k->key + strlen(TMX_K_DONE), "%31[^/]", id) != 1) continue;
    const struct tmx_job *j = tmx_job_find(&c->rep, id);
    if (j && j->fin && !j->tasks) tmx_txn_drop(&t, k->key);
  }
  if (!t.n_ops) return false;
  f->busy = tmx_link_commit(c->link, &t, false, on_drops, f);
  return true;
}

void tmx_fold_tick(struct tmx_fold *f) {
  struct tmx_ctl *c = f->c;
  if (f->busy) return;
  if (!tmx_link_leading(c->link) || !c->rep.loaded) {
    f->step = IDLE;
    return;
  }
  double full = c->set.write_rps * 0.6;
  if (tmx_link_budget(c->link) < full * TMX_FOLD_SPARE) return;
  if (f->step == IDLE && HASH_COUNT(c->rep.batches) > f->above) {
    begin(f);
    tmx_log(TMX_INFO, "fold: %zu jobs, %u batches", f->n_todo, HASH_COUNT(c->rep.batches));
  }
  if (f->step == PAGES)
    write_pages(f);
  else if (!drop_some(f))
    f->step = IDLE;
}
