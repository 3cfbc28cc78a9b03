#include "state/replica.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/log.h"
#include "tmx/wire.h"

static void *xalloc(size_t n) {
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
  HASH_ITER(hh, r->jobs, j, jt) {
    HASH_DEL(r->jobs, j);
    free(j->tasks);
    free(j);
  }
  HASH_ITER(hh, r->machines, m, mt) {
    /* the worker's record outlives a reload: it is found again by name */
    HASH_DEL(r->machines, m);
    free(m);
  }
  log_keys_clear(&r->batches);
  log_keys_clear(&r->hires);
  log_keys_clear(&r->pages);
  free(r->view.exceptions);
  memset(&r->view, 0, sizeof r->view);
  memset(r->usage, 0, sizeof r->usage);
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

const struct tmx_member *tmx_member_find(const struct tmx_replica *r, const char *name) {
  for (size_t i = 0; i < r->view.n_members; i++)
    if (!strcmp(r->view.members[i].name, name)) return &r->view.members[i];
  return NULL;
}

/* Rendezvous hashing: when a member goes, only its own machines and jobs move. */
static uint64_t mix(const char *a, const char *b) {
  uint64_t h = 1469598103934665603ull;
  for (; *a; a++) h = (h ^ (uint8_t)*a) * 1099511628211ull;
  h = (h ^ 0xff) * 1099511628211ull;
  for (; *b; b++) h = (h ^ (uint8_t)*b) * 1099511628211ull;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  return h;
}
static const char *pick(const struct tmx_replica *r, const char *what) {
  const char *best = NULL;
  uint64_t top = 0;
  for (size_t i = 0; i < r->view.n_members; i++) {
    uint64_t h = mix(r->view.members[i].name, what);
    if (!best || h > top) {
      top = h;
      best = r->view.members[i].name;
    }
  }
  return best;
}
const char *tmx_owner_of(const struct tmx_replica *r, const char *machine) {
  for (size_t i = 0; i < r->view.n_exceptions; i++)
    if (!strcmp(r->view.exceptions[i].machine, machine) &&
        tmx_member_find(r, r->view.exceptions[i].node))
      return r->view.exceptions[i].node;
  return pick(r, machine);
}
const char *tmx_planner_of(const struct tmx_replica *r, const char *job) { return pick(r, job); }

/* ------------------------------------------------------------ wire forms */

static const char *prio_names[] = {"idle", "normal", "high", "prod"};

bool tmx_spec_parse(const cbor_item_t *m, struct tmx_spec *s, char *id, size_t id_cap) {
  char kind[16], prio[16];
  uint64_t tasks;
  memset(s, 0, sizeof *s);
  if (!m || !cbor_isa_map(m)) return false;
  if (!tmx_r_kstr(m, W_ID, id, id_cap)) return false;
  if (!tmx_r_kstr(m, W_CLASS, s->class, sizeof s->class) || !s->class[0]) return false;
  if (!tmx_r_kstr(m, W_TEAM, s->team, sizeof s->team) || !s->team[0]) return false;
  if (!tmx_r_kstr(m, W_KIND, kind, sizeof kind)) return false;
  if (!strcmp(kind, WV_SERVICE))
    s->service = true;
  else if (strcmp(kind, WV_ARRAY))
    return false;
  if (!tmx_r_kstr(m, W_PRIORITY, prio, sizeof prio)) return false;
  for (s->priority = 0; s->priority < 4; s->priority++)
    if (!strcmp(prio, prio_names[s->priority])) break;
  if (s->priority == 4) return false;
  if (!tmx_r_ku64(m, W_TASKS, &tasks) || tasks < 1 || tasks > TMX_TASKS_MAX) return false;
  s->tasks = (uint32_t)tasks;
  if (!tmx_r_knum(m, W_CPUS, &s->cpus) || s->cpus < 0) return false;
  if (tmx_r_get(m, W_GPUS) && (!tmx_r_knum(m, W_GPUS, &s->gpus) || s->gpus < 0)) return false;
  if (!tmx_r_knum(m, W_MEM, &s->mem) || s->mem < 0) return false;
  if (!tmx_r_kstr(m, W_IMAGE, s->image, sizeof s->image) || !s->image[0]) return false;
  if (!tmx_r_knum(m, W_IMAGE_GB, &s->image_gb) || s->image_gb < 0) return false;
  const cbor_item_t *ty = tmx_r_get(m, W_TYPES);
  if (ty) {
    if (!cbor_isa_array(ty) || !tmx_r_len(ty) || tmx_r_len(ty) > TMX_TYPES_MAX) return false;
    for (size_t i = 0; i < tmx_r_len(ty); i++)
      if (!tmx_r_str(tmx_r_at(ty, i), s->types[i], sizeof s->types[i])) return false;
    s->n_types = tmx_r_len(ty);
  }
  if (tmx_r_get(m, W_ZONE) && !tmx_r_kstr(m, W_ZONE, s->zone, sizeof s->zone)) return false;
  if (tmx_r_get(m, W_ONE_ZONE) && !tmx_r_kbool(m, W_ONE_ZONE, &s->one_zone)) return false;
  if (tmx_r_get(m, W_SPREAD) && !tmx_r_kbool(m, W_SPREAD, &s->spread)) return false;
  if (tmx_r_get(m, W_SPOT) && !tmx_r_kbool(m, W_SPOT, &s->spot)) return false;
  s->deadline_s = -1;
  if (!tmx_r_knum(m, W_ESTIMATE, &s->estimate_s) || s->estimate_s < 0) return false;
  if (!tmx_r_knum(m, W_CHECKPOINT, &s->checkpoint_s) || s->checkpoint_s < 0) return false;
  if (!tmx_r_knum(m, W_SAVE, &s->save_s) || s->save_s < 0) return false;
  if (tmx_r_get(m, W_DEADLINE) && (!tmx_r_knum(m, W_DEADLINE, &s->deadline_s) || s->deadline_s < 0))
    return false;
  return true;
}

void tmx_job_encode(struct tmx_buf *b, const struct tmx_spec *s, double submitted, int fin) {
  tmx_w_map(b, 19 + (s->n_types > 0) + (s->zone[0] != 0) + (s->deadline_s >= 0));
  tmx_w_kstr(b, W_ID, "-");
  tmx_w_kstr(b, W_CLASS, s->class);
  tmx_w_kstr(b, W_TEAM, s->team);
  tmx_w_kstr(b, W_KIND, s->service ? WV_SERVICE : WV_ARRAY);
  tmx_w_kstr(b, W_PRIORITY, prio_names[s->priority]);
  tmx_w_ku64(b, W_TASKS, s->tasks);
  tmx_w_knum(b, W_CPUS, s->cpus);
  tmx_w_knum(b, W_GPUS, s->gpus);
  tmx_w_knum(b, W_MEM, s->mem);
  tmx_w_kstr(b, W_IMAGE, s->image);
  tmx_w_knum(b, W_IMAGE_GB, s->image_gb);
  if (s->n_types) {
    tmx_w_str(b, W_TYPES);
    tmx_w_list(b, s->n_types);
    for (size_t i = 0; i < s->n_types; i++) tmx_w_str(b, s->types[i]);
  }
  if (s->zone[0]) tmx_w_kstr(b, W_ZONE, s->zone);
  tmx_w_kbool(b, W_ONE_ZONE, s->one_zone);
  tmx_w_kbool(b, W_SPREAD, s->spread);
  tmx_w_kbool(b, W_SPOT, s->spot);
  tmx_w_knum(b, W_ESTIMATE, s->estimate_s);
  tmx_w_knum(b, W_CHECKPOINT, s->checkpoint_s);
  tmx_w_knum(b, W_SAVE, s->save_s);
  if (s->deadline_s >= 0) tmx_w_knum(b, W_DEADLINE, s->deadline_s);
  tmx_w_knum(b, "at", submitted);
  tmx_w_ku64(b, "fin", (uint64_t)fin);
}

bool tmx_task_parse(const char *s, char *job, size_t cap, uint32_t *index) {
  const char *c = strrchr(s, '/');
  if (!c || (size_t)(c - s) >= cap || !c[1] || strlen(c + 1) > 6) return false;
  uint32_t v = 0;
  for (const char *d = c + 1; *d; d++) {
    if (*d < '0' || *d > '9') return false;
    v = v * 10 + (uint32_t)(*d - '0');
  }
  memcpy(job, s, (size_t)(c - s));
  job[c - s] = 0;
  *index = v;
  return true;
}

int tmx_op_print(char *out, size_t cap, const struct tmx_op *o) {
  if (o->op == TMX_OP_PLACE)
    return snprintf(out, cap, "p %s/%u %u %s", o->job, o->task, o->attempt, o->machine);
  return snprintf(out, cap, "%c %s/%u %u %c", o->op, o->job, o->task, o->attempt, o->how);
}

bool tmx_op_parse(const char *s, struct tmx_op *o) {
  char task[TMX_ID_MAX + 16], last[TMX_ID_MAX];
  memset(o, 0, sizeof *o);
  if (sscanf(s, "%c %47s %u %31s", &o->op, task, &o->attempt, last) != 4) return false;
  if (!tmx_task_parse(task, o->job, sizeof o->job, &o->task)) return false;
  if (o->op == TMX_OP_PLACE)
    strcpy(o->machine, last);
  else
    o->how = last[0];
  return o->op == TMX_OP_PLACE || o->op == TMX_OP_STOP || o->op == TMX_OP_END;
}

uint32_t tmx_page_encode(struct tmx_buf *b, const struct tmx_job *j, uint32_t from,
                         size_t max_bytes) {
  struct tmx_buf list = {0};
  size_t bytes = 64;
  uint32_t n = 0;
  for (uint32_t i = from; i < j->spec.tasks; i++, n++) {
    const struct tmx_task *t = &j->tasks[i];
    char s[96];
    char state = t->state == TMX_TASK_DONE ? 'd'
                 : t->state == TMX_WAITING ? 'w'
                 : t->stop                 ? (char)('0' + t->stop)
                                           : 'p';
    int len =
        snprintf(s, sizeof s, "%c %u %s", state, t->attempt, t->machine ? t->machine->id : "-");
    if (bytes + (size_t)len + 4 > max_bytes) break;
    bytes += (size_t)len + 4;
    tmx_w_str(&list, s);
  }
  tmx_w_map(b, 2);
  tmx_w_ku64(b, "from", from);
  tmx_w_str(b, "tasks");
  tmx_w_list(b, n);
  tmx_buf_add(b, list.p, list.n);
  tmx_buf_free(&list);
  return n;
}

void tmx_view_encode(struct tmx_buf *b, const struct tmx_view *v) {
  tmx_w_map(b, 3);
  tmx_w_ku64(b, "term", v->term);
  tmx_w_str(b, "members");
  tmx_w_list(b, v->n_members);
  for (size_t i = 0; i < v->n_members; i++) {
    tmx_w_map(b, 2);
    tmx_w_kstr(b, "name", v->members[i].name);
    tmx_w_ku64(b, "inc", v->members[i].inc);
  }
  tmx_w_str(b, "exceptions");
  tmx_w_list(b, v->n_exceptions * 2);
  for (size_t i = 0; i < v->n_exceptions; i++) {
    tmx_w_str(b, v->exceptions[i].machine);
    tmx_w_str(b, v->exceptions[i].node);
  }
}

/* ------------------------------------------------------------ applying */

static void touched(struct tmx_replica *r, struct tmx_machine *m) {
  if (r->on_machine) r->on_machine(r->arg, m);
}
static void changed(struct tmx_replica *r) {
  if (r->on_change) r->on_change(r->arg);
}

static void book(struct tmx_replica *r, struct tmx_task *t, int sign) {
  const struct tmx_spec *s = &t->job->spec;
  struct tmx_machine *m = t->machine;
  m->cpus += sign * s->cpus;
  m->gpus += sign * s->gpus;
  m->mem += sign * s->mem;
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
  if (--m->n_tasks == 0) m->cpus = m->gpus = m->mem = 0;
  t->job->n_placed--;
  t->machine = NULL;
  t->prev = t->next = NULL;
  t->state = TMX_WAITING;
  t->stop = 0;
  uint32_t i = tmx_task_index(t);
  if (i < t->job->first_wait) t->job->first_wait = i;
  touched(r, m);
}

static struct tmx_machine *machine_make(struct tmx_replica *r, const char *id) {
  struct tmx_machine *m = tmx_machine_find(r, id);
  if (m) return m;
  m = xalloc(sizeof *m);
  snprintf(m->id, sizeof m->id, "%s", id);
  m->zone = -1;
  HASH_ADD_STR(r->machines, id, m);
  return m;
}

/* A machine keeps the images used latest; how many is bounded here, not by its cache size. */
static void remember_image(struct tmx_machine *m, const struct tmx_spec *s, double since) {
  size_t i;
  for (i = 0; i < m->n_images; i++)
    if (!strcmp(m->images[i].name, s->image)) break;
  if (i < m->n_images) since = m->images[i].since;
  if (i == m->n_images && m->n_images < TMX_IMAGES_KEPT) m->n_images++;
  if (i == TMX_IMAGES_KEPT) i--;
  memmove(&m->images[1], &m->images[0], i * sizeof m->images[0]);
  memcpy(m->images[0].name, s->image, sizeof m->images[0].name);
  m->images[0].gb = s->image_gb;
  m->images[0].since = since;
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
    touched(r, t->machine);
    if (r->loaded && !t->machine->known) unplace(r, t);
    return;
  }
  if (t->attempt != o->attempt || t->state != TMX_PLACED) return;
  if (o->op == TMX_OP_STOP) {
    t->stop = o->how == '2' ? 2 : 1;
    touched(r, t->machine);
    return;
  }
  struct tmx_machine *m = t->machine;
  unplace(r, t);
  if (o->how == TMX_END_DONE) {
    t->state = TMX_TASK_DONE;
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
  release(r, j);
  changed(r);
}

static void apply_job(struct tmx_replica *r, const char *id, uint64_t stamp, const cbor_item_t *v) {
  struct tmx_job *j = tmx_job_find(r, id);
  char dummy[TMX_ID_MAX];
  uint64_t fin = 0;
  if (!v) return; /* job keys are never dropped */
  tmx_r_ku64(v, "fin", &fin);
  if (!j) {
    j = xalloc(sizeof *j);
    if (!tmx_spec_parse(v, &j->spec, dummy, sizeof dummy)) {
      tmx_log(TMX_ERROR, "state: job %s cannot be read", id);
      free(j);
      return;
    }
    snprintf(j->id, sizeof j->id, "%s", id);
    tmx_r_knum(v, "at", &j->submitted);
    j->loaded_at = r->now;
    j->team = tmx_team_index(r->set, j->spec.team);
    j->tasks = xalloc(sizeof(struct tmx_task) * j->spec.tasks);
    for (uint32_t i = 0; i < j->spec.tasks; i++) j->tasks[i].job = j;
    HASH_ADD_STR(r->jobs, id, j);
  }
  j->stamp = stamp;
  if (fin && !j->fin) {
    j->fin = (int)fin;
    for (uint32_t i = 0; j->n_placed && i < j->spec.tasks; i++)
      if (j->tasks[i].machine) touched(r, j->tasks[i].machine);
    if (j->fin == TMX_FIN_DONE) j->n_done = j->spec.tasks;
    release(r, j);
  }
  changed(r);
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
    k = xalloc(sizeof *k);
    k->key = strdup(key);
    HASH_ADD_KEYPTR(hh, *h, k->key, strlen(k->key), k);
  }
  k->stamp = stamp;
}

static void apply_batch(struct tmx_replica *r, const char *key, uint64_t stamp,
                        const cbor_item_t *v) {
  keep_key(&r->batches, key, stamp, v != NULL);
  const cbor_item_t *ops = tmx_r_get(v, "ops");
  for (size_t i = 0; i < tmx_r_len(ops); i++) {
    char s[128];
    struct tmx_op o;
    if (!tmx_r_str(tmx_r_at(ops, i), s, sizeof s) || !tmx_op_parse(s, &o)) continue;
    struct tmx_job *j = tmx_job_find(r, o.job);
    if (j) j->touched = stamp;
    apply_op(r, &o);
  }
}

/* A machine whose key is dropped is gone by proof, and everything on it. */
static void machine_lost(struct tmx_replica *r, struct tmx_machine *m) {
  while (m->tasks) {
    struct tmx_job *j = m->tasks->job;
    unplace(r, m->tasks);
    release(r, j);
  }
}

static void apply_machine(struct tmx_replica *r, const char *id, uint64_t stamp,
                          const cbor_item_t *v) {
  if (!v) {
    struct tmx_machine *m = tmx_machine_find(r, id);
    if (!m) return;
    m->known = false;
    if (!r->loaded) return; /* what was on it is settled once loading is complete */
    machine_lost(r, m);
    if (r->on_gone) r->on_gone(r->arg, m);
    HASH_DEL(r->machines, m);
    free(m);
    changed(r);
    return;
  }
  struct tmx_machine *m = machine_make(r, id);
  char zone[TMX_NAME_MAX] = "";
  m->known = true;
  m->stamp = stamp;
  tmx_r_kstr(v, "addr", m->addr, sizeof m->addr);
  tmx_r_kstr(v, "type", m->type, sizeof m->type);
  tmx_r_kstr(v, "zone", zone, sizeof zone);
  m->zone = tmx_zone_index(r->set, zone);
  tmx_r_kbool(v, "spot", &m->spot);
  m->drain = false;
  tmx_r_kbool(v, "drain", &m->drain);
  touched(r, m);
  changed(r);
}

static void apply_node(struct tmx_replica *r, const char *name, uint64_t stamp,
                       const cbor_item_t *v) {
  size_t i;
  for (i = 0; i < r->n_nodes; i++)
    if (!strcmp(r->nodes[i].name, name)) break;
  if (!v) {
    if (i < r->n_nodes) r->nodes[i] = r->nodes[--r->n_nodes];
  } else {
    if (i == r->n_nodes) {
      if (r->n_nodes == TMX_MEMBERS_MAX) return;
      r->n_nodes++;
      snprintf(r->nodes[i].name, sizeof r->nodes[i].name, "%s", name);
    }
    r->nodes[i].inc = stamp;
  }
  changed(r);
}

static void apply_view(struct tmx_replica *r, uint64_t stamp, const cbor_item_t *v) {
  struct tmx_view *w = &r->view;
  if (!v) return;
  free(w->exceptions);
  memset(w, 0, sizeof *w);
  w->stamp = stamp;
  tmx_r_ku64(v, "term", &w->term);
  const cbor_item_t *ms = tmx_r_get(v, "members"), *ex = tmx_r_get(v, "exceptions");
  for (size_t i = 0; i < tmx_r_len(ms) && w->n_members < TMX_MEMBERS_MAX; i++) {
    struct tmx_member *m = &w->members[w->n_members];
    if (tmx_r_kstr(tmx_r_at(ms, i), "name", m->name, sizeof m->name) &&
        tmx_r_ku64(tmx_r_at(ms, i), "inc", &m->inc))
      w->n_members++;
  }
  size_t n = tmx_r_len(ex) / 2;
  w->exceptions = xalloc(sizeof *w->exceptions * (n + 1));
  for (size_t i = 0; i < n; i++)
    if (tmx_r_str(tmx_r_at(ex, 2 * i), w->exceptions[w->n_exceptions].machine, TMX_ID_MAX) &&
        tmx_r_str(tmx_r_at(ex, 2 * i + 1), w->exceptions[w->n_exceptions].node, TMX_NAME_MAX))
      w->n_exceptions++;
  struct tmx_machine *m, *t;
  HASH_ITER(hh, r->machines, m, t) touched(r, m);
  changed(r);
}

static bool after(const char *key, const char *prefix, const char **rest) {
  size_t n = strlen(prefix);
  if (strncmp(key, prefix, n)) return false;
  *rest = key + n;
  return true;
}

/* A folded page holds the state of a run of one job's tasks as of its own version. */
static void apply_done(struct tmx_replica *r, const char *rest, const cbor_item_t *v) {
  char id[TMX_ID_MAX];
  uint64_t from = 0;
  const char *c = strchr(rest, '/');
  if (!v || !c || (size_t)(c - rest) >= sizeof id || !tmx_r_ku64(v, "from", &from)) return;
  memcpy(id, rest, (size_t)(c - rest));
  id[c - rest] = 0;
  struct tmx_job *j = tmx_job_find(r, id);
  if (!j || !j->tasks) return;
  const cbor_item_t *ts = tmx_r_get(v, "tasks");
  for (size_t i = 0; i < tmx_r_len(ts); i++) {
    char s[96], state, machine[TMX_ID_MAX];
    unsigned attempt;
    if (from + i >= j->spec.tasks || !tmx_r_str(tmx_r_at(ts, i), s, sizeof s)) continue;
    if (sscanf(s, "%c %u %31s", &state, &attempt, machine) != 3) continue;
    struct tmx_task *t = &j->tasks[from + i];
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
      struct tmx_op o = {.op = TMX_OP_PLACE, .task = t - j->tasks, .attempt = attempt};
      snprintf(o.job, sizeof o.job, "%s", id);
      snprintf(o.machine, sizeof o.machine, "%s", machine);
      apply_op(r, &o);
      if (state == '1' || state == '2') t->stop = (uint8_t)(state - '0');
    }
  }
}

void tmx_replica_apply(struct tmx_replica *r, const char *key, uint64_t stamp,
                       const cbor_item_t *v) {
  const char *rest;
  if (after(key, TMX_K_BATCH, &rest)) {
    apply_batch(r, key, stamp, v);
  } else if (after(key, TMX_K_JOB, &rest)) {
    apply_job(r, rest, stamp, v);
  } else if (after(key, TMX_K_DONE, &rest)) {
    keep_key(&r->pages, key, stamp, v != NULL);
    apply_done(r, rest, v);
  } else if (after(key, TMX_K_MACHINE, &rest)) {
    apply_machine(r, rest, stamp, v);
  } else if (after(key, TMX_K_NODE, &rest)) {
    apply_node(r, rest, stamp, v);
  } else if (after(key, TMX_K_HIRE, &rest)) {
    keep_key(&r->hires, key, stamp, v != NULL);
  } else if (!strcmp(key, TMX_K_HEAD)) {
    r->head = stamp;
  } else if (!strcmp(key, TMX_K_VIEW)) {
    apply_view(r, stamp, v);
  } else if (!strcmp(key, TMX_K_LEADER)) {
    r->leader[0] = 0;
    r->leader_stamp = v ? stamp : 0;
    r->leader_inc = 0;
    if (v) {
      tmx_r_kstr(v, "name", r->leader, sizeof r->leader);
      tmx_r_ku64(v, "inc", &r->leader_inc);
    }
    changed(r);
  }
}

static int by_version(const void *a, const void *b) {
  const struct tmx_item *x = a, *y = b;
  /* jobs first: the log speaks of their tasks, and a final state rewrites a job's version */
  bool jx = !strncmp(x->key, TMX_K_JOB, strlen(TMX_K_JOB));
  bool jy = !strncmp(y->key, TMX_K_JOB, strlen(TMX_K_JOB));
  if (jx != jy) return jx ? -1 : 1;
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
    if (r->on_gone) r->on_gone(r->arg, m);
    HASH_DEL(r->machines, m);
    free(m);
  }
  struct tmx_job *j, *jt;
  HASH_ITER(hh, r->jobs, j, jt) release(r, j);
  changed(r);
}
