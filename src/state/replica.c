#include "state/internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/plan.h"
#include "net/log.h"
#include "tmx/wire.h"

void *tmx_replica_alloc(size_t n) {
  void *p = calloc(1, n);
  if (!p) abort();
  return p;
}

void tmx_replica_init(struct tmx_replica *r, const struct tmx_settings *s) {
  memset(r, 0, sizeof *r);
  r->set = s;
}

static void log_keys_clear(struct tmx_log_key **h) {
  struct tmx_log_key *k, *t;
  HASH_ITER(hh, *h, k, t) {
    HASH_DEL(*h, k);
    free(k->key);
    free(k);
  }
}

void tmx_replica_clear(struct tmx_replica *r) {
  struct tmx_job *j, *jt;
  struct tmx_machine *m, *mt;
  if (r->on_clear) r->on_clear(r->arg);
  HASH_ITER(hh, r->jobs, j, jt) {
    HASH_DEL(r->jobs, j);
    tmx_depend_free(j);
    free(j->tasks);
    free(j);
  }
  free(r->unstored);
  r->unstored = NULL;
  r->n_unstored = r->cap_unstored = 0;
  r->pipelines = false;
  HASH_ITER(hh, r->machines, m, mt) {
    /* the worker's record outlives a reload: it is found again by name */
    HASH_DEL(r->machines, m);
    free(m);
  }
  log_keys_clear(&r->batches);
  log_keys_clear(&r->pages);
  log_keys_clear(&r->gone);
  HASH_CLEAR(hh, r->view.taken);
  free(r->view.exceptions);
  free(r->slots_m);
  free(r->slots_j);
  r->slots_m = r->slots_j = NULL;
  r->n_slots_m = r->n_slots_j = r->cap_slots_m = r->cap_slots_j = 0;
  r->top_m = r->top_j = 0;
  r->fold_mark = r->fold_gen = r->fold_stamp = 0;
  struct tmx_image_name *im, *it;
  HASH_ITER(hh, r->images, im, it) {
    HASH_DEL(r->images, im);
    free(im);
  }
  r->n_wrote = 0;
  memset(&r->view, 0, sizeof r->view);
  memset(r->usage, 0, sizeof r->usage);
  r->n_types = 0;
  if (r->backlog) tmx_backlog_init(r->backlog, r->set);
  r->booked = r->asked = 0;
  r->n_nodes = 0;
  r->leader[0] = 0;
  r->leader_stamp = r->rev = r->head = r->load_until = 0;
  r->loaded = false;
}

struct tmx_job *tmx_job_find(const struct tmx_replica *r, const char *id) {
  struct tmx_job *j;
  HASH_FIND_STR(r->jobs, id, j);
  return j;
}
struct tmx_machine *tmx_machine_find(const struct tmx_replica *r, const char *id) {
  struct tmx_machine *m;
  HASH_FIND_STR(r->machines, id, m);
  return m;
}

bool tmx_machine_gone(const struct tmx_replica *r, const char *id) {
  struct tmx_log_key *k;
  HASH_FIND_STR(r->gone, id, k);
  return k != NULL;
}

/* Places in the planner's tables, used again once free. */
static int slot_take(int **v, size_t *n, int *top) { return *n ? (*v)[--*n] : (*top)++; }
static void slot_give(int **v, size_t *n, size_t *cap, int slot) {
  if (*n == *cap) {
    *cap = *cap ? *cap * 2 : 64;
    *v = realloc(*v, *cap * sizeof **v);
    if (!*v) abort();
  }
  (*v)[(*n)++] = slot;
}

/* ------------------------------------------------------------ applying */

void tmx_replica_touched(struct tmx_replica *r, struct tmx_machine *m) {
  m->changes++;
  if (r->on_machine) r->on_machine(r->arg, m);
}
static void count_asked(struct tmx_replica *r, struct tmx_job *j) {
  double asked =
      j->fin || tmx_job_blocked(j) ? 0 : (j->spec.tasks - j->n_done - j->n_placed) * j->spec.cpus;
  r->asked += asked - j->asked;
  j->asked = asked;
}
static void job_touched(struct tmx_replica *r, struct tmx_job *j) {
  count_asked(r, j);
  if (r->backlog) tmx_backlog_update(r->backlog, j);
  bool waits = !j->fin && !tmx_job_blocked(j) && j->spec.tasks > j->n_done + j->n_placed;
  if (!waits)
    j->stuck_since = 0;
  else if (!j->stuck_since)
    j->stuck_since = r->now;
  if (r->on_job) r->on_job(r->arg, j);
}
void tmx_replica_changed(struct tmx_replica *r) {
  if (r->on_change) r->on_change(r->arg);
}

static void book(struct tmx_replica *r, struct tmx_task *t, int sign) {
  const struct tmx_spec *s = &t->job->spec;
  struct tmx_machine *m = t->machine;
  r->booked += sign * s->cpus;
  m->cpus += sign * s->cpus;
  if (s->service) m->services += sign * s->cpus;
  m->gpus += sign * s->gpus;
  m->mem += sign * s->mem;
  if (m->zone >= 0) t->job->zone_live[m->zone] += (uint32_t)sign;
  if (t->job->team >= 0) {
    r->usage[t->job->team].cpus += sign * s->cpus;
    r->usage[t->job->team].gpus += sign * s->gpus;
  }
}

/* A job that is over and has left all machines needs only its final state. */
static void release(struct tmx_replica *r, struct tmx_job *j) {
  if (!r->loaded || !j->fin || j->n_placed || !j->tasks) return;
  free(j->tasks);
  j->tasks = NULL;
}

static void unplace(struct tmx_replica *r, struct tmx_task *t) {
  struct tmx_machine *m = t->machine;
  book(r, t, -1);
  DL_DELETE(m->tasks, t);
  if (--m->n_tasks == 0) m->cpus = m->gpus = m->mem = m->services = 0;
  t->job->n_placed--;
  t->machine = NULL;
  t->prev = t->next = NULL;
  t->state = TMX_WAITING;
  t->stop = 0;
  uint32_t i = tmx_task_index(t);
  if (i < t->job->first_wait) t->job->first_wait = i;
  tmx_replica_touched(r, m);
  job_touched(r, t->job);
}

static struct tmx_machine *machine_make(struct tmx_replica *r, const char *id) {
  struct tmx_machine *m = tmx_machine_find(r, id);
  if (m) return m;
  m = tmx_replica_alloc(sizeof *m);
  snprintf(m->id, sizeof m->id, "%s", id);
  m->zone = -1;
  m->slot = slot_take(&r->slots_m, &r->n_slots_m, &r->top_m);
  m->owner = tmx_replica_owner_index(r, id, -1);
  HASH_ADD_STR(r->machines, id, m);
  return m;
}

static void machine_forget(struct tmx_replica *r, struct tmx_machine *m) {
  if (r->on_gone) r->on_gone(r->arg, m);
  slot_give(&r->slots_m, &r->n_slots_m, &r->cap_slots_m, m->slot);
  HASH_DEL(r->machines, m);
  free(m);
}

/* Tasks that a page or an early batch placed there are counted in its zone from now on. */
static void set_zone(struct tmx_machine *m, int zone) {
  if (m->zone == zone) return;
  for (struct tmx_task *t = m->tasks; t; t = t->next) {
    if (m->zone >= 0) t->job->zone_live[m->zone]--;
    if (zone >= 0) t->job->zone_live[zone]++;
  }
  m->zone = zone;
}

static int image_id(struct tmx_replica *r, const char *name) {
  struct tmx_image_name *n;
  HASH_FIND_STR(r->images, name, n);
  if (n) return n->id;
  n = tmx_replica_alloc(sizeof *n);
  snprintf(n->name, sizeof n->name, "%s", name);
  n->id = (int)HASH_COUNT(r->images) + 1;
  HASH_ADD_STR(r->images, name, n);
  return n->id;
}

/* A machine keeps the images used latest; how many is bounded here, not by its cache size. */
static void remember_image(struct tmx_machine *m, const struct tmx_spec *s, double since) {
  size_t i;
  for (i = 0; i < m->n_images; i++)
    if (m->images[i].id == s->image_id) break;
  if (i < m->n_images) since = m->images[i].since;
  if (i == m->n_images && m->n_images < TMX_IMAGES_KEPT) m->n_images++;
  if (i == TMX_IMAGES_KEPT) i--;
  memmove(&m->images[1], &m->images[0], i * sizeof m->images[0]);
  m->images[0].id = s->image_id;
  m->images[0].since = since;
}

/* For the order of the rounds, and for the distribution of waits. */
static void note_start(struct tmx_replica *r, struct tmx_job *j) {
  if (!r->backlog || !r->loaded || j->team < 0) return;
  if (j->charged) r->backlog->accounts[j->team][j->account].started_at = r->now;
  if (!j->begun && r->on_begin) r->on_begin(r->arg, j);
  j->begun = true;
}

static void apply_op(struct tmx_replica *r, const struct tmx_op *o) {
  struct tmx_job *j = tmx_job_find(r, o->job);
  if (!j || o->task >= j->spec.tasks || !j->tasks) return;
  struct tmx_task *t = &j->tasks[o->task];
  if (o->op == TMX_OP_PLACE) {
    /* attempts only grow: an event seen twice, or early while loading, changes nothing */
    if (o->attempt <= t->attempt || t->state == TMX_TASK_DONE) return;
    if (t->state == TMX_PLACED) unplace(r, t);
    t->attempt = o->attempt;
    t->state = TMX_PLACED;
    t->machine = machine_make(r, o->machine);
    t->placed_at = (float)r->now;
    t->seen_at = 0;
    DL_APPEND(t->machine->tasks, t);
    t->machine->n_tasks++;
    j->n_placed++;
    book(r, t, 1);
    remember_image(t->machine, &j->spec, r->loaded ? r->now : -1e9);
    tmx_replica_touched(r, t->machine);
    j->stuck_since = r->now;
    job_touched(r, j);
    note_start(r, j);
    if (r->loaded && !t->machine->known) unplace(r, t);
    return;
  }
  if (t->attempt != o->attempt || t->state != TMX_PLACED) return;
  if (o->op == TMX_OP_STOP) {
    t->stop = o->how == '2' ? 2 : 1;
    tmx_replica_touched(r, t->machine);
    return;
  }
  struct tmx_machine *m = t->machine;
  float ran = t->seen_at ? (float)r->now - t->seen_at : 0;
  unplace(r, t);
  if (o->how == TMX_END_DONE) {
    t->state = TMX_TASK_DONE;
    if (ran > j->longest) j->longest = ran;
    tmx_learn_run(r, &j->spec, ran);
    if (j->fin != TMX_FIN_DONE) j->n_done++;
    j->fails = 0;
    m->errors = 0;
    m->error_two = false;
  } else if (o->how == TMX_END_ERROR) {
    double wait = TMX_RETRY_BASE_S;
    for (uint32_t i = 0; i < j->fails && wait < TMX_RETRY_MAX_S; i++) wait *= 2;
    j->fails++;
    j->retry_at = r->now + (wait < TMX_RETRY_MAX_S ? wait : TMX_RETRY_MAX_S);
    snprintf(j->bad_machine[j->bad_at++ % 4], TMX_ID_MAX, "%s", m->id);
    if (m->errors && strcmp(m->error_job, j->id)) m->error_two = true;
    snprintf(m->error_job, sizeof m->error_job, "%s", j->id);
    m->errors++;
  }
  job_touched(r, j);
  release(r, j);
  tmx_replica_changed(r);
}

static struct tmx_job *job_make(struct tmx_replica *r, const struct tmx_job_record *record) {
  struct tmx_job *j = tmx_replica_alloc(sizeof *j);
  memcpy(j->id, record->id, sizeof j->id);
  j->spec = record->spec;
  j->submitted = j->released = record->submitted;
  j->urgency.priority = j->spec.priority;
  j->urgency.due_at = j->spec.deadline_s >= 0 ? j->submitted + j->spec.deadline_s : INFINITY;
  j->loaded_at = r->now;
  j->team = tmx_team_index(r->set, j->spec.team);
  j->spec.image_id = image_id(r, j->spec.image);
  j->tasks = tmx_replica_alloc(sizeof(struct tmx_task) * j->spec.tasks);
  for (uint32_t i = 0; i < j->spec.tasks; i++) j->tasks[i].job = j;
  j->slot = slot_take(&r->slots_j, &r->n_slots_j, &r->top_j);
  HASH_ADD_STR(r->jobs, id, j);
  return j;
}

void tmx_replica_finish(struct tmx_replica *r, struct tmx_job *j, int fin) {
  j->fin = fin;
  j->fin_after = r->loaded ? r->sure_at : 0;
  for (uint32_t i = 0; j->n_placed && i < j->spec.tasks; i++)
    if (j->tasks[i].machine) tmx_replica_touched(r, j->tasks[i].machine);
  if (fin == TMX_FIN_DONE) j->n_done = j->spec.tasks;
  release(r, j);
  job_touched(r, j);
  tmx_replica_changed(r);
}

void tmx_replica_job_changed(struct tmx_replica *r, struct tmx_job *j) {
  job_touched(r, j);
  tmx_replica_changed(r);
}

void tmx_replica_tidy_unstored(struct tmx_replica *r) {
  size_t n = 0;
  for (size_t i = 0; i < r->n_unstored; i++)
    if (!r->unstored[i]->stored) r->unstored[n++] = r->unstored[i];
  r->n_unstored = n;
}

/* Ids that the record has no room for follow in lines of the same transaction or of the same
 * pages: the job counts as blocked until all have been read. */
static void read_dependencies(struct tmx_replica *r, struct tmx_job *j,
                              const struct tmx_job_record *record) {
  if (!record->n_awaits || j->fin) return;
  r->pipelines = true;
  tmx_depend_declare(j, (uint32_t)record->n_awaits);
  size_t len = cbor_string_length(record->awaits);
  char *text = tmx_replica_alloc(len + 1);
  tmx_cbor_as_text(record->awaits, text, len + 1);
  tmx_awaits_read(j, 0, text);
  free(text);
  tmx_depend_resolve(r, j);
}

/* A submission, from the log, or with its final state from the job's own key, of that version;
 * 0: not from there. */
static void apply_job(struct tmx_replica *r, const cbor_item_t *value, uint64_t own_key_stamp) {
  struct tmx_job_record record;
  if (!tmx_job_decode(value, &record)) {
    tmx_log(TMX_LOG_ERROR, "state: a job cannot be read");
    return;
  }
  struct tmx_job *j = tmx_job_find(r, record.id);
  if (!j) j = job_make(r, &record);
  if (own_key_stamp) {
    j->stamp = own_key_stamp;
    j->stored = record.fin != TMX_OPEN;
  }
  if (record.ended > 0) {
    j->ended = record.ended;
    r->pipelines = true;
  }
  if (record.fin && !j->fin) {
    tmx_replica_finish(r, j, (int)record.fin);
    tmx_depend_over(r, j);
  }
  read_dependencies(r, j, &record);
  job_touched(r, j);
  tmx_replica_changed(r);
}

static void apply_awaits(struct tmx_replica *r, char *line) {
  char *f[3];
  uint32_t from;
  char *ids = line + strlen(line);
  /* the ids are the rest of the line, behind its third field */
  for (size_t spaces = 0, i = 0; line[i]; i++)
    if (line[i] == ' ' && ++spaces == 3) {
      line[i] = 0;
      ids = &line[i + 1];
      break;
    }
  if (tmx_line_fields(line, f, 3) != 3 || !tmx_line_u32(f[2], &from)) return;
  struct tmx_job *j = tmx_job_find(r, f[1]);
  if (!j || j->fin) return;
  tmx_awaits_read(j, from, ids);
  tmx_depend_resolve(r, j);
  job_touched(r, j);
}

/* The type is the rest of the line: its name may hold spaces. */
static void apply_type(struct tmx_replica *r, const char *line) {
  char id[TMX_ID_MAX];
  int at = 0;
  if (sscanf(line, "%*c %31s %n", id, &at) != 1 || !at) return;
  struct tmx_job *j = tmx_job_find(r, id);
  const char *type = line + at;
  if (!j || !j->spec.n_types || j->spec.n_types == TMX_TYPES_MAX) return;
  if (strlen(type) >= TMX_ID_MAX || tmx_type_allowed(&j->spec, type)) return;
  snprintf(j->spec.types[j->spec.n_types++], TMX_ID_MAX, "%s", type);
}

/* Keeps count of the keys of one kind that stand. */
static void keep_key(struct tmx_log_key **h, const char *key, uint64_t stamp, bool stands) {
  struct tmx_log_key *k;
  HASH_FIND_STR(*h, key, k);
  if (!stands) {
    if (!k) return;
    HASH_DEL(*h, k);
    free(k->key);
    free(k);
    return;
  }
  if (!k) {
    k = tmx_replica_alloc(sizeof *k);
    k->key = strdup(key);
    HASH_ADD_KEYPTR(hh, *h, k->key, strlen(k->key), k);
  }
  k->stamp = stamp;
}

/* A machine that is gone by proof, and everything on it. */
static void machine_lost(struct tmx_replica *r, struct tmx_machine *m) {
  while (m->tasks) {
    struct tmx_job *j = m->tasks->job;
    unplace(r, m->tasks);
    release(r, j);
  }
}

static size_t gone_kept(const struct tmx_replica *r) {
  return 1 + (size_t)(r->set->ram_mb * TMX_BYTES_PER_MB * TMX_GONE_SHARE / TMX_GONE_BYTES);
}

static void count_type(struct tmx_replica *r, const struct tmx_machine *m, int sign) {
  size_t i;
  for (i = 0; i < r->n_types; i++)
    if (!strcmp(r->types[i].type, m->type)) break;
  if (i == TMX_TYPES_MAX) return;
  if (i == r->n_types) {
    r->n_types++;
    r->types[i].machines = 0;
    memcpy(r->types[i].type, m->type, sizeof m->type);
  }
  r->types[i].machines += (uint32_t)sign;
}

static void apply_machine(struct tmx_replica *r, char *line) {
  char *f[7], kind = line[0];
  size_t n = tmx_line_fields(line, f, 7);
  if (n < 2 || strlen(f[1]) >= TMX_ID_MAX) return;
  const char *id = f[1];
  if (kind == TMX_LINE_MACHINE) {
    if (n != 7 || strlen(f[2]) >= TMX_NAME_MAX || strlen(f[3]) >= TMX_ID_MAX) return;
    struct tmx_machine *m = machine_make(r, id);
    if (m->known) count_type(r, m, -1);
    snprintf(m->addr, sizeof m->addr, "%s", f[2]);
    snprintf(m->type, sizeof m->type, "%s", f[3]);
    set_zone(m, tmx_zone_index(r->set, f[4]));
    m->owner = tmx_replica_owner_index(r, id, m->zone);
    m->spot = f[5][0] != '0';
    m->drain = f[6][0] != '0';
    m->known = true;
    count_type(r, m, 1);
    tmx_replica_touched(r, m);
  } else if (kind == TMX_LINE_DRAIN) {
    struct tmx_machine *m = tmx_machine_find(r, id);
    if (n != 3 || !m) return;
    m->drain = f[2][0] != '0';
    tmx_replica_touched(r, m);
  } else {
    if (HASH_COUNT(r->gone) >= gone_kept(r)) keep_key(&r->gone, r->gone->key, 0, false);
    keep_key(&r->gone, id, 1, true);
    struct tmx_machine *m = tmx_machine_find(r, id);
    if (!m) return;
    if (m->known) count_type(r, m, -1);
    m->known = false;
    if (!r->loaded) return; /* what was on it is settled once loading is complete */
    machine_lost(r, m);
    machine_forget(r, m);
  }
  tmx_replica_changed(r);
}

/* A page holds the state of runs of tasks as of its own version. */
static void apply_run(struct tmx_replica *r, char *line) {
  char id[TMX_ID_MAX], *f[6];
  uint32_t from, n, attempt;
  if (tmx_line_fields(line, f, 6) != 6 || strlen(f[5]) >= TMX_ID_MAX ||
      !tmx_task_parse(f[1], id, sizeof id, &from) || !tmx_line_u32(f[2], &n) ||
      !tmx_line_u32(f[3], &attempt))
    return;
  const char state = f[4][0], *machine = f[5];
  struct tmx_job *j = tmx_job_find(r, id);
  if (!j || !j->tasks) return;
  for (uint32_t i = from; n && i < j->spec.tasks; i++, n--) {
    struct tmx_task *t = &j->tasks[i];
    if (attempt < t->attempt || t->state == TMX_TASK_DONE) continue;
    if (state == 'd') {
      if (t->state == TMX_PLACED) unplace(r, t);
      t->attempt = attempt;
      t->state = TMX_TASK_DONE;
      if (j->fin != TMX_FIN_DONE) j->n_done++;
    } else if (state == 'w') {
      /* an older batch may still say that this attempt is placed: the page is newer */
      if (t->state == TMX_PLACED) unplace(r, t);
      t->attempt = attempt;
    } else if (attempt > t->attempt) {
      struct tmx_op o = {.op = TMX_OP_PLACE, .task = i, .attempt = attempt};
      snprintf(o.job, sizeof o.job, "%s", id);
      snprintf(o.machine, sizeof o.machine, "%s", machine);
      apply_op(r, &o);
      if (state == '1' || state == '2') t->stop = (uint8_t)(state - '0');
    }
  }
}

static void apply_each(void *arg, const struct tmx_op *o) { apply_op(arg, o); }

static void apply_lines(struct tmx_replica *r, const cbor_item_t *value) {
  const cbor_item_t *ops = tmx_cbor_get(value, "ops"), *jobs = tmx_cbor_get(value, "jobs");
  for (size_t i = 0; i < tmx_cbor_list_length(jobs); i++)
    apply_job(r, tmx_cbor_list_at(jobs, i), 0);
  for (size_t i = 0; i < tmx_cbor_list_length(ops); i++) {
    char s[TMX_LINE_MAX];
    if (!tmx_cbor_as_text(tmx_cbor_list_at(ops, i), s, sizeof s)) continue;
    if (s[0] == TMX_LINE_MACHINE || s[0] == TMX_LINE_DRAIN || s[0] == TMX_LINE_GONE)
      apply_machine(r, s);
    else if (s[0] == TMX_LINE_RUN)
      apply_run(r, s);
    else if (s[0] == TMX_LINE_AWAITS)
      apply_awaits(r, s);
    else if (s[0] == TMX_LINE_TYPE)
      apply_type(r, s);
    else
      tmx_ops_each(s, apply_each, r);
  }
}

static void apply_batch(struct tmx_replica *r, const char *key, const char *rest, uint64_t stamp,
                        const cbor_item_t *value) {
  keep_key(&r->batches, key, stamp, value != NULL);
  /* Batches up to the mark are in the pages. Their keys are written over in any order, so what is
   * left of them no longer tells the whole story. */
  if (!value || stamp <= r->fold_mark) return;
  const char *end = strchr(rest, '/');
  size_t n = end ? (size_t)(end - rest) : 0, i;
  if (n && n < TMX_NAME_MAX) {
    for (i = 0; i < r->n_wrote; i++)
      if (!strncmp(r->wrote[i].node, rest, n) && !r->wrote[i].node[n]) break;
    if (i == r->n_wrote && i < TMX_MEMBERS_MAX) {
      r->n_wrote++;
      snprintf(r->wrote[i].node, TMX_NAME_MAX, "%.*s", (int)n, rest);
    }
    if (i < r->n_wrote) r->wrote[i].at = r->now;
  }
  apply_lines(r, value);
}

static bool after(const char *key, const char *prefix, const char **rest) {
  size_t n = strlen(prefix);
  if (strncmp(key, prefix, n)) return false;
  *rest = key + n;
  return true;
}

void tmx_replica_apply(struct tmx_replica *r, const char *key, uint64_t stamp,
                       const cbor_item_t *value) {
  const char *rest;
  if (after(key, TMX_K_BATCH, &rest)) {
    apply_batch(r, key, rest, stamp, value);
  } else if (after(key, TMX_K_JOB, &rest)) {
    if (value) apply_job(r, value, stamp); /* job keys are never dropped */
  } else if (after(key, TMX_K_PAGE, &rest)) {
    keep_key(&r->pages, key, stamp, value != NULL);
    /* A complete copy has it already. Pages of a fold that was given up tell of tasks whose ends
     * may lie before the mark that stands: of a job that is over no page of this fold would put
     * that right. */
    if (value && !r->loaded && strtoull(rest, NULL, 16) == r->fold_gen) apply_lines(r, value);
  } else if (!strcmp(key, TMX_K_FOLD)) {
    r->fold_stamp = value ? stamp : 0;
    tmx_cbor_get_u64(value, "mark", &r->fold_mark);
    tmx_cbor_get_u64(value, "gen", &r->fold_gen);
  } else if (after(key, TMX_K_NODE, &rest)) {
    tmx_replica_apply_node(r, rest, stamp, value);
  } else if (!strcmp(key, TMX_K_HEAD)) {
    r->head = stamp;
  } else if (!strcmp(key, TMX_K_VIEW)) {
    tmx_replica_apply_view(r, stamp, value);
  } else if (!strcmp(key, TMX_K_LEADER)) {
    r->leader[0] = 0;
    r->leader_stamp = value ? stamp : 0;
    r->leader_inc = 0;
    if (value) {
      tmx_cbor_get_text(value, "name", r->leader, sizeof r->leader);
      tmx_cbor_get_u64(value, "inc", &r->leader_inc);
    }
    tmx_replica_changed(r);
  }
}

/* The mark first, since it tells which batches count; then jobs: the log speaks of their tasks, and
 * a final state rewrites a job's version. */
static int load_class(const char *key) {
  return !strcmp(key, TMX_K_FOLD) ? 0 : strncmp(key, TMX_K_JOB, strlen(TMX_K_JOB)) ? 2 : 1;
}
static int by_version(const void *a, const void *b) {
  const struct tmx_item *x = a, *y = b;
  int jx = load_class(x->key), jy = load_class(y->key);
  if (jx != jy) return jx - jy;
  if (x->stamp != y->stamp) return x->stamp < y->stamp ? -1 : 1;
  return strcmp(x->key, y->key);
}

void tmx_replica_load(struct tmx_replica *r, struct tmx_item *items, size_t n) {
  if (n) qsort(items, n, sizeof *items, by_version);
  for (size_t i = 0; i < n; i++) tmx_replica_apply(r, items[i].key, items[i].stamp, items[i].value);
}

void tmx_replica_reached(struct tmx_replica *r, uint64_t rev) {
  if (rev > r->rev) r->rev = rev;
  if (r->loaded || r->rev < r->load_until) return;
  r->loaded = true;
  struct tmx_machine *m, *t;
  HASH_ITER(hh, r->machines, m, t) {
    if (m->known) continue;
    machine_lost(r, m);
    machine_forget(r, m);
  }
  struct tmx_job *j, *jt;
  r->asked = 0;
  HASH_ITER(hh, r->jobs, j, jt) {
    j->asked = 0;
    count_asked(r, j); /* pages count results without a word */
    if (r->backlog) tmx_backlog_update(r->backlog, j);
    release(r, j);
  }
  tmx_depend_loaded(r);
  tmx_replica_changed(r);
}
