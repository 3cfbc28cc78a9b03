/* The forms in which jobs, lines of the log, pages and views are kept in the state service. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/replica.h"
#include "tmx/wire.h"

static const char *prio_names[] = {"idle", "normal", "high", "prod"};

bool tmx_spec_parse(const cbor_item_t *map, struct tmx_spec *s, char *id, size_t id_cap) {
  char kind[16], prio[16];
  uint64_t tasks;
  memset(s, 0, sizeof *s);
  if (!map || !cbor_isa_map(map)) return false;
  if (!tmx_cbor_get_text(map, W_ID, id, id_cap)) return false;
  if (!tmx_cbor_get_text(map, W_CLASS, s->class, sizeof s->class) || !s->class[0]) return false;
  if (!tmx_cbor_get_text(map, W_TEAM, s->team, sizeof s->team) || !s->team[0]) return false;
  if (!tmx_cbor_get_text(map, W_KIND, kind, sizeof kind)) return false;
  if (!strcmp(kind, WV_SERVICE))
    s->service = true;
  else if (strcmp(kind, WV_ARRAY))
    return false;
  if (!tmx_cbor_get_text(map, W_PRIORITY, prio, sizeof prio)) return false;
  for (s->priority = 0; s->priority < 4; s->priority++)
    if (!strcmp(prio, prio_names[s->priority])) break;
  if (s->priority == 4) return false;
  if (!tmx_cbor_get_u64(map, W_TASKS, &tasks) || tasks < 1 || tasks > TMX_TASKS_MAX) return false;
  s->tasks = (uint32_t)tasks;
  if (!tmx_cbor_get_number(map, W_CPUS, &s->cpus) || s->cpus < 0) return false;
  if (!tmx_cbor_get_number(map, W_GPUS, &s->gpus) || s->gpus < 0) return false;
  if (!tmx_cbor_get_number(map, W_MEM, &s->mem) || s->mem < 0) return false;
  if (!tmx_cbor_get_text(map, W_IMAGE, s->image, sizeof s->image) || !s->image[0]) return false;
  if (!tmx_cbor_get_number(map, W_IMAGE_GB, &s->image_gb) || s->image_gb < 0) return false;
  const cbor_item_t *types = tmx_cbor_get(map, W_TYPES);
  if (types) {
    if (!cbor_isa_array(types) || !tmx_cbor_list_length(types) ||
        tmx_cbor_list_length(types) > TMX_TYPES_MAX)
      return false;
    for (size_t i = 0; i < tmx_cbor_list_length(types); i++)
      if (!tmx_cbor_as_text(tmx_cbor_list_at(types, i), s->types[i], sizeof s->types[i]))
        return false;
    s->n_types = tmx_cbor_list_length(types);
  }
  if (tmx_cbor_get(map, W_ZONE) && !tmx_cbor_get_text(map, W_ZONE, s->zone, sizeof s->zone))
    return false;
  if (!tmx_cbor_get_bool(map, W_ONE_ZONE, &s->one_zone) ||
      !tmx_cbor_get_bool(map, W_SPREAD, &s->spread) || !tmx_cbor_get_bool(map, W_SPOT, &s->spot))
    return false; /* only what may be null may be left out */
  s->deadline_s = -1;
  if (!tmx_cbor_get_number(map, W_ESTIMATE, &s->estimate_s) || s->estimate_s < 0) return false;
  if (!tmx_cbor_get_number(map, W_CHECKPOINT, &s->checkpoint_s) || s->checkpoint_s < 0)
    return false;
  if (!tmx_cbor_get_number(map, W_SAVE, &s->save_s) || s->save_s < 0) return false;
  if (tmx_cbor_get(map, W_DEADLINE) &&
      (!tmx_cbor_get_number(map, W_DEADLINE, &s->deadline_s) || s->deadline_s < 0))
    return false;
  return true;
}

/* Whole numbers take a byte or two, and most are. */
static void w_short(struct tmx_buffer *buffer, double v) {
  if (v >= 0 && v < 4e9 && v == (double)(uint64_t)v)
    tmx_cbor_put_u64(buffer, (uint64_t)v);
  else
    tmx_cbor_put_number(buffer, v);
}

/* A record is a list in a fixed order: values are small, and many jobs may come at once. The
 * production version reads the first RECORD_FIELDS entries and passes over the rest. */
enum {
  RECORD_SUBMITTED = 17,
  RECORD_FIN,
  RECORD_FIELDS,                 /* of a record without dependencies */
  RECORD_AWAITS = RECORD_FIELDS, /* text: ids that it names, the first ones */
  RECORD_N_AWAITS,               /* all that it names */
  RECORD_ENDED,                  /* time of day, s; 0: not known */
  RECORD_FIELDS_ALL
};

static void encode_spec(struct tmx_buffer *buffer, size_t fields, const char *id,
                        const struct tmx_spec *s, double submitted, int fin) {
  tmx_cbor_put_list(buffer, fields);
  tmx_cbor_put_text(buffer, id);
  tmx_cbor_put_text(buffer, s->class);
  tmx_cbor_put_text(buffer, s->team);
  tmx_cbor_put_text(buffer, s->image);
  tmx_cbor_put_text(buffer, s->zone);
  tmx_cbor_put_list(buffer, s->n_types);
  for (size_t i = 0; i < s->n_types; i++) tmx_cbor_put_text(buffer, s->types[i]);
  tmx_cbor_put_u64(buffer,
                   (uint64_t)(s->service | s->one_zone << 1 | s->spread << 2 | s->spot << 3));
  tmx_cbor_put_u64(buffer, (uint64_t)s->priority);
  tmx_cbor_put_u64(buffer, s->tasks);
  w_short(buffer, s->cpus);
  w_short(buffer, s->gpus);
  w_short(buffer, s->mem);
  w_short(buffer, s->image_gb);
  w_short(buffer, s->estimate_s);
  w_short(buffer, s->checkpoint_s);
  w_short(buffer, s->save_s);
  w_short(buffer, s->deadline_s);
  tmx_cbor_put_number(buffer, submitted);
  tmx_cbor_put_u64(buffer, (uint64_t)fin);
}

void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_spec *s,
                    double submitted, int fin) {
  encode_spec(buffer, RECORD_FIELDS, id, s, submitted, fin);
}

static void encode_awaiting(struct tmx_buffer *buffer, const char *id, const struct tmx_spec *s,
                            double submitted, uint32_t n_awaits, const char *awaits) {
  encode_spec(buffer, RECORD_FIELDS_ALL, id, s, submitted, TMX_OPEN);
  tmx_cbor_put_text(buffer, awaits);
  tmx_cbor_put_u64(buffer, n_awaits);
  tmx_cbor_put_u64(buffer, 0);
}

size_t tmx_job_types_within(const char *id, const struct tmx_spec *s, double submitted,
                            const struct tmx_awaits *a, size_t room) {
  struct tmx_spec part = *s;
  struct tmx_buffer bare = {0};
  for (; part.n_types > 1; part.n_types--) {
    bare.length = 0;
    if (a->n)
      encode_awaiting(&bare, id, &part, submitted, a->n, "");
    else
      tmx_job_encode(&bare, id, &part, submitted, TMX_OPEN);
    if (tmx_json_length(&bare) <= room) break;
  }
  tmx_buffer_free(&bare);
  return part.n_types;
}

void tmx_type_print(char *out, size_t cap, const char *id, const char *type) {
  snprintf(out, cap, "%c %s %s", TMX_LINE_TYPE, id, type);
}

uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id, const struct tmx_spec *s,
                             double submitted, const struct tmx_awaits *a, size_t room) {
  if (!a->n) {
    tmx_job_encode(buffer, id, s, submitted, TMX_OPEN);
    return 0;
  }
  struct tmx_buffer bare = {0};
  encode_awaiting(&bare, id, s, submitted, a->n, "");
  size_t used = tmx_json_length(&bare);
  size_t left = room > used ? room - used : 0;
  uint32_t written = 0;
  char *text = calloc(1, left + 1);
  if (!text) abort();
  tmx_awaits_text(text, left + 1, a, &written);
  encode_awaiting(buffer, id, s, submitted, a->n, text);
  tmx_buffer_free(&bare);
  free(text);
  return written;
}

static void encode_final(struct tmx_buffer *buffer, const struct tmx_job *j,
                         const struct tmx_spec *s, int fin, double ended) {
  encode_spec(buffer, ended > 0 ? RECORD_FIELDS_ALL : RECORD_FIELDS, j->id, s, j->submitted, fin);
  if (ended <= 0) return;
  tmx_cbor_put_text(buffer, "");
  tmx_cbor_put_u64(buffer, 0);
  tmx_cbor_put_number(buffer, ended);
}

/* What a job that is over has left on machines counts by its size and team; the rest of what its
 * owner said is of no use any more and gives way to a limit that was lowered meanwhile. */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *j, int fin, double ended,
                          size_t room) {
  size_t start = buffer->length;
  encode_final(buffer, j, &j->spec, fin, ended);
  struct tmx_buffer written = {.data = buffer->data + start, .length = buffer->length - start};
  if (tmx_json_length(&written) <= room) return;
  struct tmx_spec short_spec = j->spec;
  short_spec.n_types = 0;
  short_spec.class[0] = short_spec.image[0] = short_spec.zone[0] = 0;
  buffer->length = start;
  encode_final(buffer, j, &short_spec, fin, ended);
}

/* ------------------------------------------------------------ awaited jobs */

bool tmx_job_id_ok(const char *s) {
  size_t n = strlen(W_JOB_PREFIX), len = strlen(s);
  if (len <= n || len >= TMX_ID_MAX || strncmp(s, W_JOB_PREFIX, n)) return false;
  for (s += n; *s; s++)
    if (!strchr("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-", *s))
      return false;
  return true;
}

static int by_id(const void *a, const void *b) { return strcmp(a, b); }

bool tmx_awaits_parse(const cbor_item_t *map, struct tmx_awaits *a) {
  const cbor_item_t *list = tmx_cbor_get(map, W_AWAITS);
  memset(a, 0, sizeof *a);
  if (!list) return true;
  if (!cbor_isa_array(list)) return false;
  size_t n = tmx_cbor_list_length(list);
  if (!n) return true;
  a->ids = calloc(n, sizeof *a->ids);
  if (!a->ids) abort();
  for (size_t i = 0; i < n; i++)
    if (!tmx_cbor_as_text(tmx_cbor_list_at(list, i), a->ids[i], TMX_ID_MAX) ||
        !tmx_job_id_ok(a->ids[i])) {
      tmx_awaits_free(a);
      return false;
    }
  qsort(a->ids, n, sizeof *a->ids, by_id);
  for (size_t i = 0; i < n; i++)
    if (!i || strcmp(a->ids[i], a->ids[a->n - 1])) memmove(a->ids[a->n++], a->ids[i], TMX_ID_MAX);
  return true;
}

size_t tmx_awaits_text(char *out, size_t cap, const struct tmx_awaits *a, uint32_t *from) {
  size_t used = 0;
  out[0] = 0;
  for (; *from < a->n; ++*from) {
    const char *id = a->ids[*from] + strlen(W_JOB_PREFIX);
    size_t len = strlen(id) + (used > 0);
    if (used + len >= cap) break;
    snprintf(out + used, cap - used, "%s%s", used ? " " : "", id);
    used += len;
  }
  return used;
}

void tmx_awaits_read(struct tmx_job *j, uint32_t from, const char *text) {
  for (const char *p = text; *p;) {
    size_t len = strcspn(p, " ");
    char id[TMX_ID_MAX];
    if (len && len + strlen(W_JOB_PREFIX) < sizeof id) {
      snprintf(id, sizeof id, W_JOB_PREFIX "%.*s", (int)len, p);
      tmx_depend_name(j, from++, id);
    }
    p += len;
    while (*p == ' ') p++;
  }
}

void tmx_awaits_print(char *out, size_t cap, const char *id, const struct tmx_awaits *a,
                      uint32_t *from) {
  int n = snprintf(out, cap, "%c %s %u ", TMX_LINE_AWAITS, id, *from);
  tmx_awaits_text(out + n, cap - (size_t)n, a, from);
}

static bool decode_dependencies(const cbor_item_t *list, struct tmx_job_record *out) {
  if (tmx_cbor_list_length(list) < RECORD_FIELDS_ALL) return true;
  out->awaits = tmx_cbor_list_at(list, RECORD_AWAITS);
  return cbor_isa_string(out->awaits) &&
         tmx_cbor_as_u64(tmx_cbor_list_at(list, RECORD_N_AWAITS), &out->n_awaits) &&
         out->n_awaits <= TMX_BODY_MAX &&
         tmx_cbor_as_number(tmx_cbor_list_at(list, RECORD_ENDED), &out->ended);
}

bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *out) {
  uint64_t flags, prio, tasks;
  struct tmx_spec *s = &out->spec;
  memset(out, 0, sizeof *out);
  if (tmx_cbor_list_length(list) < RECORD_FIELDS ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 0), out->id, sizeof out->id) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 1), s->class, sizeof s->class) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 2), s->team, sizeof s->team) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 3), s->image, sizeof s->image) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 4), s->zone, sizeof s->zone))
    return false;
  const cbor_item_t *types = tmx_cbor_list_at(list, 5);
  for (; s->n_types < tmx_cbor_list_length(types) && s->n_types < TMX_TYPES_MAX; s->n_types++)
    if (!tmx_cbor_as_text(tmx_cbor_list_at(types, s->n_types), s->types[s->n_types], TMX_ID_MAX))
      return false;
  if (!tmx_cbor_as_u64(tmx_cbor_list_at(list, 6), &flags) ||
      !tmx_cbor_as_u64(tmx_cbor_list_at(list, 7), &prio) ||
      !tmx_cbor_as_u64(tmx_cbor_list_at(list, 8), &tasks) || tasks < 1 || tasks > TMX_TASKS_MAX ||
      prio > TMX_PRIO_PROD ||
      !tmx_cbor_as_number(tmx_cbor_list_at(list, RECORD_SUBMITTED), &out->submitted) ||
      !tmx_cbor_as_u64(tmx_cbor_list_at(list, RECORD_FIN), &out->fin))
    return false;
  s->service = flags & 1;
  s->one_zone = flags >> 1 & 1;
  s->spread = flags >> 2 & 1;
  s->spot = flags >> 3 & 1;
  s->priority = (int)prio;
  s->tasks = (uint32_t)tasks;
  double *num[] = {&s->cpus,       &s->gpus,         &s->mem,    &s->image_gb,
                   &s->estimate_s, &s->checkpoint_s, &s->save_s, &s->deadline_s};
  for (size_t i = 0; i < sizeof num / sizeof num[0]; i++)
    if (!tmx_cbor_as_number(tmx_cbor_list_at(list, 9 + i), num[i])) return false;
  return decode_dependencies(list, out);
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

/* Lines are read by the thousand when a controller starts: they are split in place. */
size_t tmx_line_fields(char *line, char **f, size_t max) {
  size_t n = 0;
  for (char *p = line; n < max; n++) {
    while (*p == ' ') p++;
    if (!*p) break;
    f[n] = p;
    while (*p && *p != ' ') p++;
    if (*p) *p++ = 0;
  }
  return n;
}

bool tmx_line_u32(const char *s, uint32_t *v) {
  uint64_t x = 0;
  const char *p = s;
  for (; *p >= '0' && *p <= '9' && x <= UINT32_MAX; p++) x = x * 10 + (uint64_t)(*p - '0');
  *v = (uint32_t)x;
  return p > s && !*p && x <= UINT32_MAX;
}

bool tmx_op_parse(const char *s, struct tmx_op *o) {
  char line[TMX_LINE_MAX], *f[4];
  memset(o, 0, sizeof *o);
  if (strlen(s) >= sizeof line) return false;
  strcpy(line, s);
  if (tmx_line_fields(line, f, 4) != 4 || f[0][1] || strlen(f[3]) >= sizeof o->machine)
    return false;
  o->op = f[0][0];
  if (!tmx_task_parse(f[1], o->job, sizeof o->job, &o->task) || !tmx_line_u32(f[2], &o->attempt))
    return false;
  if (o->op == TMX_OP_PLACE)
    strcpy(o->machine, f[3]);
  else
    o->how = f[3][0];
  return o->op == TMX_OP_PLACE || o->op == TMX_OP_STOP || o->op == TMX_OP_END;
}

/* ------------------------------------------------------------ groups of operations */

bool tmx_op_groups(const struct tmx_op *o) { return o->op != TMX_OP_STOP; }

bool tmx_op_same_group(const struct tmx_op *a, const struct tmx_op *b) {
  return a->op == b->op && a->attempt == b->attempt && !strcmp(a->job, b->job) &&
         (a->op == TMX_OP_PLACE || a->how == b->how);
}

int tmx_group_head_print(char *out, size_t cap, const struct tmx_op *o) {
  if (o->op == TMX_OP_PLACE)
    return snprintf(out, cap, "%c %s %u", TMX_GROUP_PLACE, o->job, o->attempt);
  return snprintf(out, cap, "%c %s %u %c", TMX_GROUP_END, o->job, o->attempt, o->how);
}

int tmx_group_item_print(char *out, size_t cap, const struct tmx_op *o) {
  if (o->op == TMX_OP_PLACE) return snprintf(out, cap, " %u:%s", o->task, o->machine);
  return snprintf(out, cap, " %u", o->task);
}

/* An item of a group: a task, and for a placement its machine. */
static bool read_item(char *item, struct tmx_op *o) {
  char *machine = strchr(item, ':');
  if ((o->op == TMX_OP_PLACE) != (machine != NULL)) return false;
  if (machine) {
    *machine++ = 0;
    if (!*machine || strlen(machine) >= sizeof o->machine) return false;
    strcpy(o->machine, machine);
  }
  return tmx_line_u32(item, &o->task);
}

static void group_each(const char *line, tmx_each_op f, void *arg) {
  char copy[TMX_LINE_MAX], *field[TMX_LINE_MAX / 2];
  struct tmx_op o = {.op = line[0] == TMX_GROUP_PLACE ? TMX_OP_PLACE : TMX_OP_END};
  size_t first = o.op == TMX_OP_PLACE ? 3 : 4;
  if (strlen(line) >= sizeof copy) return;
  strcpy(copy, line);
  size_t n = tmx_line_fields(copy, field, sizeof field / sizeof *field);
  if (n < first || field[0][1] || strlen(field[1]) >= sizeof o.job ||
      !tmx_line_u32(field[2], &o.attempt))
    return;
  strcpy(o.job, field[1]);
  if (o.op == TMX_OP_END) o.how = field[3][0];
  for (size_t i = first; i < n; i++)
    if (read_item(field[i], &o)) f(arg, &o);
}

void tmx_ops_each(const char *line, tmx_each_op f, void *arg) {
  struct tmx_op o;
  if (line[0] == TMX_GROUP_PLACE || line[0] == TMX_GROUP_END)
    group_each(line, f, arg);
  else if (tmx_op_parse(line, &o))
    f(arg, &o);
}

int tmx_machine_print(char *out, size_t cap, const struct tmx_replica *r,
                      const struct tmx_machine *m) {
  return snprintf(out, cap, "m %s %s %s %s %d %d", m->id, m->addr[0] ? m->addr : "-", m->type,
                  m->zone >= 0 ? r->set->zones[m->zone] : "-", m->spot, m->drain);
}

static char run_state(const struct tmx_task *t) {
  return t->state == TMX_TASK_DONE ? 'd'
         : t->state == TMX_WAITING ? 'w'
         : t->stop                 ? (char)('0' + t->stop)
                                   : 'p';
}

uint32_t tmx_run_print(char *out, size_t cap, const struct tmx_job *j, uint32_t from, int *len) {
  const struct tmx_task *t = &j->tasks[from];
  char s = run_state(t);
  uint32_t n = 1;
  if (s == 'd' || s == 'w')
    while (from + n < j->spec.tasks && run_state(&t[n]) == s && t[n].attempt == t->attempt) n++;
  *len = s == 'w' && !t->attempt ? 0
                                 : snprintf(out, cap, "t %s/%u %u %u %c %s", j->id, from, n,
                                            t->attempt, s, t->machine ? t->machine->id : "-");
  return n;
}

void tmx_lines_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
                      const struct tmx_buffer *list, size_t n) {
  tmx_cbor_put_map(buffer, (n_jobs > 0) + (n > 0));
  if (n_jobs) {
    tmx_cbor_put_text(buffer, "jobs");
    tmx_cbor_put_list(buffer, n_jobs);
    tmx_buffer_append(buffer, jobs->data, jobs->length);
  }
  if (n) {
    tmx_cbor_put_text(buffer, "ops");
    tmx_cbor_put_list(buffer, n);
    tmx_buffer_append(buffer, list->data, list->length);
  }
}

void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *v) {
  tmx_cbor_put_map(buffer, 4);
  tmx_cbor_put_bool_field(buffer, "local", v->local);
  tmx_cbor_put_u64_field(buffer, "term", v->term);
  tmx_cbor_put_text(buffer, "members");
  tmx_cbor_put_list(buffer, v->n_members);
  for (size_t i = 0; i < v->n_members; i++) {
    tmx_cbor_put_map(buffer, 2);
    tmx_cbor_put_text_field(buffer, "name", v->members[i].name);
    tmx_cbor_put_u64_field(buffer, "inc", v->members[i].inc);
  }
  tmx_cbor_put_text(buffer, "exceptions");
  /* by node, so that each name is written once: a value is small, a cut takes many machines */
  size_t n = 0;
  struct tmx_buffer list = {0};
  bool *seen = calloc(v->n_exceptions + 1, sizeof *seen);
  if (!seen) abort();
  for (size_t i = 0; i < v->n_exceptions; i++) {
    if (seen[i]) continue;
    struct tmx_buffer ids = {0};
    size_t k = 0;
    for (size_t j = i; j < v->n_exceptions; j++) {
      if (strcmp(v->exceptions[j].node, v->exceptions[i].node)) continue;
      seen[j] = true;
      tmx_cbor_put_text(&ids, v->exceptions[j].machine);
      k++;
    }
    tmx_cbor_put_text(&list, v->exceptions[i].node);
    tmx_cbor_put_list(&list, k);
    tmx_buffer_append(&list, ids.data, ids.length);
    tmx_buffer_free(&ids);
    n += 2;
  }
  free(seen);
  tmx_cbor_put_list(buffer, n);
  tmx_buffer_append(buffer, list.data, list.length);
  tmx_buffer_free(&list);
}
