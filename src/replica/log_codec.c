/* The forms in which jobs, lines of the log, pages and views are kept in the state service. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica/replica.h"
#include "tmx/wire.h"

static const char *prio_names[] = {"idle", "normal", "high", "prod"};

bool tmx_job_spec_parse(const cbor_item_t *map, struct tmx_job_spec *spec, char *id,
                        size_t id_cap) {
  char kind[16], prio[16];
  uint64_t tasks;
  memset(spec, 0, sizeof *spec);
  if (!map || !cbor_isa_map(map)) return false;
  if (!tmx_cbor_get_text(map, W_ID, id, id_cap)) return false;
  if (!tmx_cbor_get_text(map, W_CLASS, spec->class, sizeof spec->class) || !spec->class[0])
    return false;
  if (!tmx_cbor_get_text(map, W_TEAM, spec->team, sizeof spec->team) || !spec->team[0])
    return false;
  if (!tmx_cbor_get_text(map, W_KIND, kind, sizeof kind)) return false;
  if (!strcmp(kind, WV_SERVICE))
    spec->service = true;
  else if (strcmp(kind, WV_ARRAY))
    return false;
  if (!tmx_cbor_get_text(map, W_PRIORITY, prio, sizeof prio)) return false;
  for (spec->priority = 0; spec->priority < 4; spec->priority++)
    if (!strcmp(prio, prio_names[spec->priority])) break;
  if (spec->priority == 4) return false;
  if (!tmx_cbor_get_u64(map, W_TASKS, &tasks) || tasks < 1 || tasks > TMX_TASKS_MAX) return false;
  spec->tasks = (uint32_t)tasks;
  if (!tmx_cbor_get_number(map, W_CPUS, &spec->cpus) || spec->cpus < 0) return false;
  if (!tmx_cbor_get_number(map, W_GPUS, &spec->gpus) || spec->gpus < 0) return false;
  if (!tmx_cbor_get_number(map, W_MEM, &spec->mem_gb) || spec->mem_gb < 0) return false;
  if (!tmx_cbor_get_text(map, W_IMAGE, spec->image, sizeof spec->image) || !spec->image[0])
    return false;
  if (!tmx_cbor_get_number(map, W_IMAGE_GB, &spec->image_gb) || spec->image_gb < 0) return false;
  const cbor_item_t *types = tmx_cbor_get(map, W_TYPES);
  if (types) {
    if (!cbor_isa_array(types) || !tmx_cbor_list_length(types) ||
        tmx_cbor_list_length(types) > TMX_TYPES_MAX)
      return false;
    for (size_t i = 0; i < tmx_cbor_list_length(types); i++)
      if (!tmx_cbor_as_text(tmx_cbor_list_at(types, i), spec->types[i], sizeof spec->types[i]))
        return false;
    spec->n_types = tmx_cbor_list_length(types);
  }
  if (tmx_cbor_get(map, W_ZONE) && !tmx_cbor_get_text(map, W_ZONE, spec->zone, sizeof spec->zone))
    return false;
  if (!tmx_cbor_get_bool(map, W_ONE_ZONE, &spec->same_zone) ||
      !tmx_cbor_get_bool(map, W_SPREAD, &spec->spread) ||
      !tmx_cbor_get_bool(map, W_SPOT, &spec->spot_allowed))
    return false; /* only what may be null may be left out */
  spec->deadline_s = -1;
  if (!tmx_cbor_get_number(map, W_ESTIMATE, &spec->estimate_s) || spec->estimate_s < 0)
    return false;
  if (!tmx_cbor_get_number(map, W_CHECKPOINT, &spec->checkpoint_s) || spec->checkpoint_s < 0)
    return false;
  if (!tmx_cbor_get_number(map, W_SAVE, &spec->checkpoint_save_s) || spec->checkpoint_save_s < 0)
    return false;
  if (tmx_cbor_get(map, W_DEADLINE) &&
      (!tmx_cbor_get_number(map, W_DEADLINE, &spec->deadline_s) || spec->deadline_s < 0))
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
  RECORD_OUTCOME,
  RECORD_FIELDS,                 /* of a record without dependencies */
  RECORD_AWAITS = RECORD_FIELDS, /* text: ids that it names, the first ones */
  RECORD_N_AWAITS,               /* all that it names */
  RECORD_ENDED,                  /* time of day, s; 0: not known */
  RECORD_FIELDS_ALL
};

static void encode_spec(struct tmx_buffer *buffer, size_t fields, const char *id,
                        const struct tmx_job_spec *spec, double submitted, int fin) {
  tmx_cbor_put_list(buffer, fields);
  tmx_cbor_put_text(buffer, id);
  tmx_cbor_put_text(buffer, spec->class);
  tmx_cbor_put_text(buffer, spec->team);
  tmx_cbor_put_text(buffer, spec->image);
  tmx_cbor_put_text(buffer, spec->zone);
  tmx_cbor_put_list(buffer, spec->n_types);
  for (size_t i = 0; i < spec->n_types; i++) tmx_cbor_put_text(buffer, spec->types[i]);
  tmx_cbor_put_u64(buffer, (uint64_t)(spec->service | spec->same_zone << 1 | spec->spread << 2 |
                                      spec->spot_allowed << 3));
  tmx_cbor_put_u64(buffer, (uint64_t)spec->priority);
  tmx_cbor_put_u64(buffer, spec->tasks);
  w_short(buffer, spec->cpus);
  w_short(buffer, spec->gpus);
  w_short(buffer, spec->mem_gb);
  w_short(buffer, spec->image_gb);
  w_short(buffer, spec->estimate_s);
  w_short(buffer, spec->checkpoint_s);
  w_short(buffer, spec->checkpoint_save_s);
  w_short(buffer, spec->deadline_s);
  tmx_cbor_put_number(buffer, submitted);
  tmx_cbor_put_u64(buffer, (uint64_t)fin);
}

void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_job_spec *spec,
                    double submitted, int fin) {
  encode_spec(buffer, RECORD_FIELDS, id, spec, submitted, fin);
}

static void encode_awaiting(struct tmx_buffer *buffer, const char *id,
                            const struct tmx_job_spec *spec, double submitted, uint32_t n_awaits,
                            const char *awaits) {
  encode_spec(buffer, RECORD_FIELDS_ALL, id, spec, submitted, TMX_JOB_OPEN);
  tmx_cbor_put_text(buffer, awaits);
  tmx_cbor_put_u64(buffer, n_awaits);
  tmx_cbor_put_u64(buffer, 0);
}

size_t tmx_job_types_within(const char *id, const struct tmx_job_spec *spec, double submitted,
                            const struct tmx_job_ids *ids, size_t room) {
  struct tmx_job_spec part = *spec;
  struct tmx_buffer bare = {0};
  for (; part.n_types > 1; part.n_types--) {
    bare.length = 0;
    if (ids->count)
      encode_awaiting(&bare, id, &part, submitted, ids->count, "");
    else
      tmx_job_encode(&bare, id, &part, submitted, TMX_JOB_OPEN);
    if (tmx_json_length(&bare) <= room) break;
  }
  tmx_buffer_free(&bare);
  return part.n_types;
}

void tmx_type_print(char *out, size_t cap, const char *id, const char *type) {
  snprintf(out, cap, "%c %s %s", TMX_LINE_TYPE, id, type);
}

uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id,
                             const struct tmx_job_spec *spec, double submitted,
                             const struct tmx_job_ids *ids, size_t room) {
  if (!ids->count) {
    tmx_job_encode(buffer, id, spec, submitted, TMX_JOB_OPEN);
    return 0;
  }
  struct tmx_buffer bare = {0};
  encode_awaiting(&bare, id, spec, submitted, ids->count, "");
  size_t used = tmx_json_length(&bare);
  size_t left = room > used ? room - used : 0;
  uint32_t written = 0;
  char *text = calloc(1, left + 1);
  if (!text) abort();
  tmx_job_ids_to_text(text, left + 1, ids, &written);
  encode_awaiting(buffer, id, spec, submitted, ids->count, text);
  tmx_buffer_free(&bare);
  free(text);
  return written;
}

static void encode_final(struct tmx_buffer *buffer, const struct tmx_job *job,
                         const struct tmx_job_spec *spec, int fin, double ended) {
  encode_spec(buffer, ended > 0 ? RECORD_FIELDS_ALL : RECORD_FIELDS, job->id, spec,
              job->submitted_at, fin);
  if (ended <= 0) return;
  tmx_cbor_put_text(buffer, "");
  tmx_cbor_put_u64(buffer, 0);
  tmx_cbor_put_number(buffer, ended);
}

/* What a job that is over has left on machines counts by its size and team; the rest of what its
 * owner said is of no use any more and gives way to a limit that was lowered meanwhile. */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *job, int fin,
                          double ended, size_t room) {
  size_t start = buffer->length;
  encode_final(buffer, job, &job->spec, fin, ended);
  struct tmx_buffer written = {.data = buffer->data + start, .length = buffer->length - start};
  if (tmx_json_length(&written) <= room) return;
  struct tmx_job_spec short_spec = job->spec;
  short_spec.n_types = 0;
  short_spec.class[0] = short_spec.image[0] = short_spec.zone[0] = 0;
  buffer->length = start;
  encode_final(buffer, job, &short_spec, fin, ended);
}

/* ------------------------------------------------------------ awaited jobs */

bool tmx_job_id_is_valid(const char *s) {
  size_t n = strlen(W_JOB_PREFIX), len = strlen(s);
  if (len <= n || len >= TMX_ID_MAX || strncmp(s, W_JOB_PREFIX, n)) return false;
  for (s += n; *s; s++)
    if (!strchr("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-", *s))
      return false;
  return true;
}

static int by_id(const void *a, const void *b) { return strcmp(a, b); }

bool tmx_job_ids_parse(const cbor_item_t *map, struct tmx_job_ids *ids) {
  const cbor_item_t *list = tmx_cbor_get(map, W_AWAITS);
  memset(ids, 0, sizeof *ids);
  if (!list) return true;
  if (!cbor_isa_array(list)) return false;
  size_t n = tmx_cbor_list_length(list);
  if (!n) return true;
  ids->ids = calloc(n, sizeof *ids->ids);
  if (!ids->ids) abort();
  for (size_t i = 0; i < n; i++)
    if (!tmx_cbor_as_text(tmx_cbor_list_at(list, i), ids->ids[i], TMX_ID_MAX) ||
        !tmx_job_id_is_valid(ids->ids[i])) {
      tmx_job_ids_free(ids);
      return false;
    }
  qsort(ids->ids, n, sizeof *ids->ids, by_id);
  for (size_t i = 0; i < n; i++)
    if (!i || strcmp(ids->ids[i], ids->ids[ids->count - 1]))
      memmove(ids->ids[ids->count++], ids->ids[i], TMX_ID_MAX);
  return true;
}

size_t tmx_job_ids_to_text(char *out, size_t cap, const struct tmx_job_ids *ids, uint32_t *from) {
  size_t used = 0;
  out[0] = 0;
  for (; *from < ids->count; ++*from) {
    const char *id = ids->ids[*from] + strlen(W_JOB_PREFIX);
    size_t len = strlen(id) + (used > 0);
    if (used + len >= cap) break;
    snprintf(out + used, cap - used, "%s%s", used ? " " : "", id);
    used += len;
  }
  return used;
}

void tmx_dependencies_read(struct tmx_job *job, uint32_t from, const char *text) {
  for (const char *p = text; *p;) {
    size_t len = strcspn(p, " ");
    char id[TMX_ID_MAX];
    if (len && len + strlen(W_JOB_PREFIX) < sizeof id) {
      snprintf(id, sizeof id, W_JOB_PREFIX "%.*s", (int)len, p);
      tmx_dependencies_set_id(job, from++, id);
    }
    p += len;
    while (*p == ' ') p++;
  }
}

void tmx_dependency_line_print(char *out, size_t cap, const char *id, const struct tmx_job_ids *ids,
                               uint32_t *from) {
  int n = snprintf(out, cap, "%c %s %u ", TMX_LINE_DEPENDENCIES, id, *from);
  tmx_job_ids_to_text(out + n, cap - (size_t)n, ids, from);
}

static bool decode_dependencies(const cbor_item_t *list, struct tmx_job_record *out) {
  if (tmx_cbor_list_length(list) < RECORD_FIELDS_ALL) return true;
  out->awaits = tmx_cbor_list_at(list, RECORD_AWAITS);
  return cbor_isa_string(out->awaits) &&
         tmx_cbor_as_u64(tmx_cbor_list_at(list, RECORD_N_AWAITS), &out->n_awaits) &&
         out->n_awaits <= TMX_BODY_MAX &&
         tmx_cbor_as_number(tmx_cbor_list_at(list, RECORD_ENDED), &out->ended_at);
}

bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *out) {
  uint64_t flags, prio, tasks;
  struct tmx_job_spec *spec = &out->spec;
  memset(out, 0, sizeof *out);
  if (tmx_cbor_list_length(list) < RECORD_FIELDS ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 0), out->id, sizeof out->id) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 1), spec->class, sizeof spec->class) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 2), spec->team, sizeof spec->team) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 3), spec->image, sizeof spec->image) ||
      !tmx_cbor_as_text(tmx_cbor_list_at(list, 4), spec->zone, sizeof spec->zone))
    return false;
  const cbor_item_t *types = tmx_cbor_list_at(list, 5);
  for (; spec->n_types < tmx_cbor_list_length(types) && spec->n_types < TMX_TYPES_MAX;
       spec->n_types++)
    if (!tmx_cbor_as_text(tmx_cbor_list_at(types, spec->n_types), spec->types[spec->n_types],
                          TMX_ID_MAX))
      return false;
  if (!tmx_cbor_as_u64(tmx_cbor_list_at(list, 6), &flags) ||
      !tmx_cbor_as_u64(tmx_cbor_list_at(list, 7), &prio) ||
      !tmx_cbor_as_u64(tmx_cbor_list_at(list, 8), &tasks) || tasks < 1 || tasks > TMX_TASKS_MAX ||
      prio > TMX_PRIORITY_PROD ||
      !tmx_cbor_as_number(tmx_cbor_list_at(list, RECORD_SUBMITTED), &out->submitted_at) ||
      !tmx_cbor_as_u64(tmx_cbor_list_at(list, RECORD_OUTCOME), &out->outcome))
    return false;
  spec->service = flags & 1;
  spec->same_zone = flags >> 1 & 1;
  spec->spread = flags >> 2 & 1;
  spec->spot_allowed = flags >> 3 & 1;
  spec->priority = (int)prio;
  spec->tasks = (uint32_t)tasks;
  double *num[] = {&spec->cpus,
                   &spec->gpus,
                   &spec->mem_gb,
                   &spec->image_gb,
                   &spec->estimate_s,
                   &spec->checkpoint_s,
                   &spec->checkpoint_save_s,
                   &spec->deadline_s};
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

int tmx_operation_print(char *out, size_t cap, const struct tmx_operation *operation) {
  if (operation->kind == TMX_OPERATION_PLACE)
    return snprintf(out, cap, "p %s/%u %u %s", operation->job, operation->task, operation->attempt,
                    operation->machine);
  return snprintf(out, cap, "%c %s/%u %u %c", operation->kind, operation->job, operation->task,
                  operation->attempt, operation->reason);
}

/* Lines are read by the thousand when a controller starts: they are split in place. */
size_t tmx_log_line_split(char *line, char **f, size_t max) {
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

bool tmx_log_line_parse_u32(const char *s, uint32_t *v) {
  uint64_t x = 0;
  const char *p = s;
  for (; *p >= '0' && *p <= '9' && x <= UINT32_MAX; p++) x = x * 10 + (uint64_t)(*p - '0');
  *v = (uint32_t)x;
  return p > s && !*p && x <= UINT32_MAX;
}

bool tmx_operation_parse(const char *s, struct tmx_operation *operation) {
  char line[TMX_LINE_MAX], *f[4];
  memset(operation, 0, sizeof *operation);
  if (strlen(s) >= sizeof line) return false;
  strcpy(line, s);
  if (tmx_log_line_split(line, f, 4) != 4 || f[0][1] || strlen(f[3]) >= sizeof operation->machine)
    return false;
  operation->kind = f[0][0];
  if (!tmx_task_parse(f[1], operation->job, sizeof operation->job, &operation->task) ||
      !tmx_log_line_parse_u32(f[2], &operation->attempt))
    return false;
  if (operation->kind == TMX_OPERATION_PLACE)
    strcpy(operation->machine, f[3]);
  else
    operation->reason = f[3][0];
  return operation->kind == TMX_OPERATION_PLACE || operation->kind == TMX_OPERATION_STOP ||
         operation->kind == TMX_OPERATION_END;
}

/* ------------------------------------------------------------ groups of operations */

bool tmx_operation_can_group(const struct tmx_operation *operation) {
  return operation->kind != TMX_OPERATION_STOP;
}

bool tmx_operation_same_group(const struct tmx_operation *left, const struct tmx_operation *right) {
  return left->kind == right->kind && left->attempt == right->attempt &&
         !strcmp(left->job, right->job) &&
         (left->kind == TMX_OPERATION_PLACE || left->reason == right->reason);
}

int tmx_operation_group_head_print(char *out, size_t cap, const struct tmx_operation *operation) {
  if (operation->kind == TMX_OPERATION_PLACE)
    return snprintf(out, cap, "%c %s %u", TMX_OPERATION_GROUP_PLACE, operation->job,
                    operation->attempt);
  return snprintf(out, cap, "%c %s %u %c", TMX_OPERATION_GROUP_END, operation->job,
                  operation->attempt, operation->reason);
}

int tmx_operation_group_item_print(char *out, size_t cap, const struct tmx_operation *operation) {
  if (operation->kind == TMX_OPERATION_PLACE)
    return snprintf(out, cap, " %u:%s", operation->task, operation->machine);
  return snprintf(out, cap, " %u", operation->task);
}

/* An item of a group: a task, and for a placement its machine. */
static bool read_item(char *item, struct tmx_operation *operation) {
  char *machine = strchr(item, ':');
  if ((operation->kind == TMX_OPERATION_PLACE) != (machine != NULL)) return false;
  if (machine) {
    *machine++ = 0;
    if (!*machine || strlen(machine) >= sizeof operation->machine) return false;
    strcpy(operation->machine, machine);
  }
  return tmx_log_line_parse_u32(item, &operation->task);
}

static void group_each(const char *line, tmx_operation_cb callback, void *arg) {
  char copy[TMX_LINE_MAX], *field[TMX_LINE_MAX / 2];
  struct tmx_operation operation = {
      .kind = line[0] == TMX_OPERATION_GROUP_PLACE ? TMX_OPERATION_PLACE : TMX_OPERATION_END};
  size_t first = operation.kind == TMX_OPERATION_PLACE ? 3 : 4;
  if (strlen(line) >= sizeof copy) return;
  strcpy(copy, line);
  size_t n = tmx_log_line_split(copy, field, sizeof field / sizeof *field);
  if (n < first || field[0][1] || strlen(field[1]) >= sizeof operation.job ||
      !tmx_log_line_parse_u32(field[2], &operation.attempt))
    return;
  strcpy(operation.job, field[1]);
  if (operation.kind == TMX_OPERATION_END) operation.reason = field[3][0];
  for (size_t i = first; i < n; i++)
    if (read_item(field[i], &operation)) callback(arg, &operation);
}

void tmx_log_line_each_operation(const char *line, tmx_operation_cb callback, void *arg) {
  struct tmx_operation operation;
  if (line[0] == TMX_OPERATION_GROUP_PLACE || line[0] == TMX_OPERATION_GROUP_END)
    group_each(line, callback, arg);
  else if (tmx_operation_parse(line, &operation))
    callback(arg, &operation);
}

int tmx_machine_print(char *out, size_t cap, const struct tmx_replica *replica,
                      const struct tmx_machine *machine) {
  return snprintf(out, cap, "m %s %s %s %s %d %d", machine->id,
                  machine->addr[0] ? machine->addr : "-", machine->type,
                  machine->zone >= 0 ? replica->settings->zones[machine->zone] : "-", machine->spot,
                  machine->draining);
}

static char run_state(const struct tmx_task *task) {
  return task->state == TMX_TASK_DONE      ? 'd'
         : task->state == TMX_TASK_WAITING ? 'w'
         : task->stop_mode                 ? (char)('0' + task->stop_mode)
                                           : 'p';
}

uint32_t tmx_task_run_print(char *out, size_t cap, const struct tmx_job *job, uint32_t from,
                            int *len) {
  const struct tmx_task *task = &job->tasks[from];
  char s = run_state(task);
  uint32_t n = 1;
  if (s == 'd' || s == 'w')
    while (from + n < job->spec.tasks && run_state(&task[n]) == s &&
           task[n].attempt == task->attempt)
      n++;
  *len = s == 'w' && !task->attempt
             ? 0
             : snprintf(out, cap, "t %s/%u %u %u %c %s", job->id, from, n, task->attempt, s,
                        task->machine ? task->machine->id : "-");
  return n;
}

void tmx_log_value_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
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

void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *view) {
  tmx_cbor_put_map(buffer, 4);
  tmx_cbor_put_bool_field(buffer, "local", view->zones_partitioned);
  tmx_cbor_put_u64_field(buffer, "term", view->term);
  tmx_cbor_put_text(buffer, "members");
  tmx_cbor_put_list(buffer, view->n_members);
  for (size_t i = 0; i < view->n_members; i++) {
    tmx_cbor_put_map(buffer, 2);
    tmx_cbor_put_text_field(buffer, "name", view->members[i].name);
    tmx_cbor_put_u64_field(buffer, "inc", view->members[i].incarnation);
  }
  tmx_cbor_put_text(buffer, "exceptions");
  /* by node, so that each name is written once: a value is small, a cut takes many machines */
  size_t n = 0;
  struct tmx_buffer list = {0};
  bool *seen = calloc(view->n_overrides + 1, sizeof *seen);
  if (!seen) abort();
  for (size_t i = 0; i < view->n_overrides; i++) {
    if (seen[i]) continue;
    struct tmx_buffer ids = {0};
    size_t k = 0;
    for (size_t j = i; j < view->n_overrides; j++) {
      if (strcmp(view->overrides[j].node, view->overrides[i].node)) continue;
      seen[j] = true;
      tmx_cbor_put_text(&ids, view->overrides[j].machine);
      k++;
    }
    tmx_cbor_put_text(&list, view->overrides[i].node);
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
