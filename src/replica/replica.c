#include "replica/replica_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "replica/placement_caps.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/memory.h"

void tmx_replica_init(struct tmx_replica *replica, const struct tmx_settings *settings) {
  memset(replica, 0, sizeof *replica);
  replica->settings = settings;
}

static void log_keys_clear(struct tmx_log_key **table) {
  struct tmx_log_key *key, *next_key;
  HASH_ITER(hh, *table, key, next_key) {
    HASH_DEL(*table, key);
    free(key->key);
    free(key);
  }
}

void tmx_replica_clear(struct tmx_replica *replica) {
  struct tmx_job *job, *next_job;
  struct tmx_machine *machine, *next_machine;
  if (replica->on_cleared) replica->on_cleared(replica->observer);
  HASH_ITER(hh, replica->jobs, job, next_job) {
    HASH_DEL(replica->jobs, job);
    tmx_dependencies_free(job);
    free(job->tasks);
    free(job);
  }
  free(replica->unstored_outcomes);
  replica->unstored_outcomes = NULL;
  replica->n_unstored_outcomes = replica->cap_unstored_outcomes = 0;
  replica->dependencies_in_use = false;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    /* the worker's record outlives a reload: it is found again by name */
    HASH_DEL(replica->machines, machine);
    free(machine);
  }
  log_keys_clear(&replica->batch_keys);
  log_keys_clear(&replica->page_keys);
  log_keys_clear(&replica->removed_machines);
  HASH_CLEAR(hh, replica->view.overrides_by_machine);
  free(replica->view.overrides);
  free(replica->free_machine_slots);
  free(replica->free_job_slots);
  replica->free_machine_slots = replica->free_job_slots = NULL;
  replica->n_free_machine_slots = replica->n_free_job_slots = replica->cap_free_machine_slots =
      replica->cap_free_job_slots = 0;
  replica->machine_slots_given = replica->job_slots_given = 0;
  replica->compaction_point = replica->compaction_generation = replica->compaction_version = 0;
  struct tmx_image_name *name, *next_name;
  HASH_ITER(hh, replica->images, name, next_name) {
    HASH_DEL(replica->images, name);
    free(name);
  }
  replica->n_batch_sightings = 0;
  memset(&replica->view, 0, sizeof replica->view);
  memset(replica->team_usage, 0, sizeof replica->team_usage);
  replica->n_type_counts = 0;
  if (replica->backlog) tmx_backlog_init(replica->backlog, replica->settings);
  replica->booked_cpus = replica->waiting_cpus = 0;
  replica->n_registered_members = 0;
  replica->leader[0] = 0;
  replica->leader_version = replica->revision = replica->head_version = replica->load_revision = 0;
  replica->loaded = false;
}

struct tmx_job *tmx_job_find(const struct tmx_replica *replica, const char *id) {
  struct tmx_job *job;
  HASH_FIND_STR(replica->jobs, id, job);
  return job;
}
struct tmx_machine *tmx_machine_find(const struct tmx_replica *replica, const char *id) {
  struct tmx_machine *machine;
  HASH_FIND_STR(replica->machines, id, machine);
  return machine;
}

bool tmx_machine_was_removed(const struct tmx_replica *replica, const char *id) {
  struct tmx_log_key *key;
  HASH_FIND_STR(replica->removed_machines, id, key);
  return key != NULL;
}

/* Places in the planner's tables, used again once free. */
static int take_slot(int **v, size_t *n, int *top) { return *n ? (*v)[--*n] : (*top)++; }
static void give_slot(int **v, size_t *n, size_t *cap, int slot) {
  if (*n == *cap) {
    *cap = *cap ? *cap * 2 : 64;
    *v = realloc(*v, *cap * sizeof **v);
    if (!*v) abort();
  }
  (*v)[(*n)++] = slot;
}

/* ------------------------------------------------------------ applying */

void tmx_replica_notify_machine(struct tmx_replica *replica, struct tmx_machine *machine) {
  machine->change_count++;
  if (replica->on_machine_changed) replica->on_machine_changed(replica->observer, machine);
}
static void count_asked(struct tmx_replica *replica, struct tmx_job *job) {
  double asked = job->outcome || tmx_job_is_blocked(job)
                     ? 0
                     : (job->spec.tasks - job->n_done - job->n_placed) * job->spec.cpus;
  replica->waiting_cpus += asked - job->waiting_cpus;
  job->waiting_cpus = asked;
}
static void job_touched(struct tmx_replica *replica, struct tmx_job *job) {
  count_asked(replica, job);
  if (replica->backlog) tmx_backlog_update(replica->backlog, job);
  bool waits =
      !job->outcome && !tmx_job_is_blocked(job) && job->spec.tasks > job->n_done + job->n_placed;
  if (!waits)
    job->unplaced_since = 0;
  else if (!job->unplaced_since)
    job->unplaced_since = replica->now;
  if (replica->on_job_changed) replica->on_job_changed(replica->observer, job);
}
void tmx_replica_notify_schedulable(struct tmx_replica *replica) {
  if (replica->on_schedulable_change) replica->on_schedulable_change(replica->observer);
}

static void book(struct tmx_replica *replica, struct tmx_task *task, int sign) {
  const struct tmx_job_spec *spec = &task->job->spec;
  struct tmx_machine *machine = task->machine;
  replica->booked_cpus += sign * spec->cpus;
  machine->booked_cpus += sign * spec->cpus;
  if (spec->service) machine->service_cpus += sign * spec->cpus;
  machine->booked_gpus += sign * spec->gpus;
  machine->booked_mem_gb += sign * spec->mem_gb;
  if (machine->zone >= 0) task->job->placed_in_zone[machine->zone] += (uint32_t)sign;
  if (task->job->team >= 0) {
    replica->team_usage[task->job->team].cpus += sign * spec->cpus;
    replica->team_usage[task->job->team].gpus += sign * spec->gpus;
  }
}

/* A job that is over and has left all machines needs only its final state. */
static void release(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->loaded || !job->outcome || job->n_placed || !job->tasks) return;
  free(job->tasks);
  job->tasks = NULL;
}

static void unplace(struct tmx_replica *replica, struct tmx_task *task) {
  struct tmx_machine *machine = task->machine;
  book(replica, task, -1);
  DL_DELETE(machine->tasks, task);
  if (--machine->n_tasks == 0)
    machine->booked_cpus = machine->booked_gpus = machine->booked_mem_gb = machine->service_cpus =
        0;
  task->job->n_placed--;
  task->machine = NULL;
  task->prev = task->next = NULL;
  task->state = TMX_TASK_WAITING;
  task->stop_mode = 0;
  uint32_t i = tmx_task_index(task);
  if (i < task->job->first_waiting) task->job->first_waiting = i;
  tmx_replica_notify_machine(replica, machine);
  job_touched(replica, task->job);
}

static struct tmx_machine *create_machine(struct tmx_replica *replica, const char *id) {
  struct tmx_machine *machine = tmx_machine_find(replica, id);
  if (machine) return machine;
  machine = tmx_allocate(1, sizeof *machine);
  snprintf(machine->id, sizeof machine->id, "%s", id);
  machine->zone = -1;
  machine->planner_slot = take_slot(&replica->free_machine_slots, &replica->n_free_machine_slots,
                                    &replica->machine_slots_given);
  machine->owner = tmx_replica_owner_index(replica, id, -1);
  HASH_ADD_STR(replica->machines, id, machine);
  return machine;
}

static void forget_machine(struct tmx_replica *replica, struct tmx_machine *machine) {
  if (replica->on_machine_removed) replica->on_machine_removed(replica->observer, machine);
  give_slot(&replica->free_machine_slots, &replica->n_free_machine_slots,
            &replica->cap_free_machine_slots, machine->planner_slot);
  HASH_DEL(replica->machines, machine);
  free(machine);
}

/* Tasks that a page or an early batch placed there are counted in its zone from now on. */
static void set_zone(struct tmx_machine *machine, int zone) {
  if (machine->zone == zone) return;
  for (struct tmx_task *task = machine->tasks; task; task = task->next) {
    if (machine->zone >= 0) task->job->placed_in_zone[machine->zone]--;
    if (zone >= 0) task->job->placed_in_zone[zone]++;
  }
  machine->zone = zone;
}

static int image_id(struct tmx_replica *replica, const char *name) {
  struct tmx_image_name *n;
  HASH_FIND_STR(replica->images, name, n);
  if (n) return n->id;
  n = tmx_allocate(1, sizeof *n);
  snprintf(n->name, sizeof n->name, "%s", name);
  n->id = (int)HASH_COUNT(replica->images) + 1;
  HASH_ADD_STR(replica->images, name, n);
  return n->id;
}

/* A machine keeps the images used latest; how many is bounded here, not by its cache size. */
static void remember_image(struct tmx_machine *machine, const struct tmx_job_spec *spec,
                           double since) {
  size_t i;
  for (i = 0; i < machine->n_images; i++)
    if (machine->images[i].id == spec->image_id) break;
  if (i < machine->n_images) since = machine->images[i].fetch_started_at;
  if (i == machine->n_images && machine->n_images < TMX_IMAGES_KEPT) machine->n_images++;
  if (i == TMX_IMAGES_KEPT) i--;
  memmove(&machine->images[1], &machine->images[0], i * sizeof machine->images[0]);
  machine->images[0].id = spec->image_id;
  machine->images[0].fetch_started_at = since;
}

/* For the order of the rounds, and for the distribution of waits. */
static void note_start(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->backlog || !replica->loaded || job->team < 0) return;
  if (job->in_account)
    replica->backlog->accounts[job->team][job->account].started_at = replica->now;
  if (!job->started && replica->on_job_started) replica->on_job_started(replica->observer, job);
  job->started = true;
}

static void apply_op(struct tmx_replica *replica, const struct tmx_operation *operation) {
  struct tmx_job *job = tmx_job_find(replica, operation->job);
  if (!job || operation->task >= job->spec.tasks || !job->tasks) return;
  struct tmx_task *task = &job->tasks[operation->task];
  if (operation->kind == TMX_OPERATION_PLACE) {
    /* attempts only grow: an event seen twice, or early while loading, changes nothing */
    if (operation->attempt <= task->attempt || task->state == TMX_TASK_DONE) return;
    if (task->state == TMX_TASK_PLACED) unplace(replica, task);
    task->attempt = operation->attempt;
    task->state = TMX_TASK_PLACED;
    task->machine = create_machine(replica, operation->machine);
    task->placed_at = (float)replica->now;
    task->running_since = 0;
    DL_APPEND(task->machine->tasks, task);
    task->machine->n_tasks++;
    job->n_placed++;
    book(replica, task, 1);
    remember_image(task->machine, &job->spec, replica->loaded ? replica->now : -1e9);
    tmx_replica_notify_machine(replica, task->machine);
    job->unplaced_since = replica->now;
    job_touched(replica, job);
    note_start(replica, job);
    if (replica->loaded && !task->machine->registered) unplace(replica, task);
    return;
  }
  if (task->attempt != operation->attempt || task->state != TMX_TASK_PLACED) return;
  if (operation->kind == TMX_OPERATION_STOP) {
    task->stop_mode = operation->reason == '2' ? 2 : 1;
    tmx_replica_notify_machine(replica, task->machine);
    return;
  }
  struct tmx_machine *machine = task->machine;
  float ran = task->running_since ? (float)replica->now - task->running_since : 0;
  unplace(replica, task);
  if (operation->reason == TMX_END_DONE) {
    task->state = TMX_TASK_DONE;
    if (ran > job->longest_run_s) job->longest_run_s = ran;
    tmx_run_estimate_observe(replica, &job->spec, ran);
    if (job->outcome != TMX_JOB_DONE) job->n_done++;
    job->consecutive_failures = 0;
    machine->consecutive_errors = 0;
    machine->errors_of_several_jobs = false;
  } else if (operation->reason == TMX_END_ERROR) {
    double wait = TMX_RETRY_BASE_S;
    for (uint32_t i = 0; i < job->consecutive_failures && wait < TMX_RETRY_MAX_S; i++) wait *= 2;
    job->consecutive_failures++;
    job->retry_at = replica->now + (wait < TMX_RETRY_MAX_S ? wait : TMX_RETRY_MAX_S);
    snprintf(job->failed_machines[job->next_failed_machine++ % 4], TMX_ID_MAX, "%s", machine->id);
    if (machine->consecutive_errors && strcmp(machine->error_job, job->id))
      machine->errors_of_several_jobs = true;
    snprintf(machine->error_job, sizeof machine->error_job, "%s", job->id);
    machine->consecutive_errors++;
  }
  job_touched(replica, job);
  release(replica, job);
  tmx_replica_notify_schedulable(replica);
}

static struct tmx_job *create_job(struct tmx_replica *replica,
                                  const struct tmx_job_record *record) {
  struct tmx_job *job = tmx_allocate(1, sizeof *job);
  memcpy(job->id, record->id, sizeof job->id);
  job->spec = record->spec;
  job->submitted_at = job->released_at = record->submitted_at;
  job->urgency.priority = job->spec.priority;
  job->urgency.due_at =
      job->spec.deadline_s >= 0 ? job->submitted_at + job->spec.deadline_s : INFINITY;
  job->loaded_at = replica->now;
  job->team = tmx_team_index(replica->settings, job->spec.team);
  job->spec.image_id = image_id(replica, job->spec.image);
  job->tasks = tmx_allocate(1, sizeof(struct tmx_task) * job->spec.tasks);
  for (uint32_t i = 0; i < job->spec.tasks; i++) job->tasks[i].job = job;
  job->planner_slot =
      take_slot(&replica->free_job_slots, &replica->n_free_job_slots, &replica->job_slots_given);
  HASH_ADD_STR(replica->jobs, id, job);
  return job;
}

void tmx_replica_set_outcome(struct tmx_replica *replica, struct tmx_job *job, int fin) {
  job->outcome = fin;
  job->outcome_after = replica->loaded ? replica->fresh_as_of : 0;
  for (uint32_t i = 0; job->n_placed && i < job->spec.tasks; i++)
    if (job->tasks[i].machine) tmx_replica_notify_machine(replica, job->tasks[i].machine);
  if (fin == TMX_JOB_DONE) job->n_done = job->spec.tasks;
  release(replica, job);
  job_touched(replica, job);
  tmx_replica_notify_schedulable(replica);
}

void tmx_replica_job_changed(struct tmx_replica *replica, struct tmx_job *job) {
  job_touched(replica, job);
  tmx_replica_notify_schedulable(replica);
}

void tmx_replica_prune_unstored(struct tmx_replica *replica) {
  size_t n = 0;
  for (size_t i = 0; i < replica->n_unstored_outcomes; i++)
    if (!replica->unstored_outcomes[i]->outcome_stored)
      replica->unstored_outcomes[n++] = replica->unstored_outcomes[i];
  replica->n_unstored_outcomes = n;
}

/* Ids that the record has no room for follow in lines of the same transaction or of the same
 * pages: the job counts as blocked until all have been read. */
static void read_dependencies(struct tmx_replica *replica, struct tmx_job *job,
                              const struct tmx_job_record *record) {
  if (!record->n_awaits || job->outcome) return;
  replica->dependencies_in_use = true;
  tmx_dependencies_declare(job, (uint32_t)record->n_awaits);
  size_t len = cbor_string_length(record->awaits);
  char *text = tmx_allocate(1, len + 1);
  tmx_cbor_as_text(record->awaits, text, len + 1);
  tmx_dependencies_read(job, 0, text);
  free(text);
  tmx_dependencies_resolve(replica, job);
}

/* A submission, from the log, or with its final state from the job's own key, of that version;
 * 0: not from there. */
static void apply_job(struct tmx_replica *replica, const cbor_item_t *value,
                      uint64_t own_key_stamp) {
  struct tmx_job_record record;
  if (!tmx_job_decode(value, &record)) {
    tmx_log(TMX_LOG_ERROR, "state: a job cannot be read");
    return;
  }
  struct tmx_job *job = tmx_job_find(replica, record.id);
  if (!job) job = create_job(replica, &record);
  if (own_key_stamp) {
    job->version = own_key_stamp;
    job->outcome_stored = record.outcome != TMX_JOB_OPEN;
  }
  if (record.ended_at > 0) {
    job->ended_at = record.ended_at;
    replica->dependencies_in_use = true;
  }
  if (record.outcome && !job->outcome) {
    tmx_replica_set_outcome(replica, job, (int)record.outcome);
    tmx_dependencies_job_ended(replica, job);
  }
  read_dependencies(replica, job, &record);
  job_touched(replica, job);
  tmx_replica_notify_schedulable(replica);
}

static void apply_awaits(struct tmx_replica *replica, char *line) {
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
  if (tmx_log_line_split(line, f, 3) != 3 || !tmx_log_line_parse_u32(f[2], &from)) return;
  struct tmx_job *job = tmx_job_find(replica, f[1]);
  if (!job || job->outcome) return;
  tmx_dependencies_read(job, from, ids);
  tmx_dependencies_resolve(replica, job);
  job_touched(replica, job);
}

/* The type is the rest of the line: its name may hold spaces. */
static void apply_type(struct tmx_replica *replica, const char *line) {
  char id[TMX_ID_MAX];
  int at = 0;
  if (sscanf(line, "%*c %31s %n", id, &at) != 1 || !at) return;
  struct tmx_job *job = tmx_job_find(replica, id);
  const char *type = line + at;
  if (!job || !job->spec.n_types || job->spec.n_types == TMX_TYPES_MAX) return;
  if (strlen(type) >= TMX_ID_MAX || tmx_type_allowed(&job->spec, type)) return;
  snprintf(job->spec.types[job->spec.n_types++], TMX_ID_MAX, "%s", type);
}

/* Keeps count of the keys of one kind that stand. */
static void keep_key(struct tmx_log_key **table, const char *key, uint64_t version, bool stands) {
  struct tmx_log_key *k;
  HASH_FIND_STR(*table, key, k);
  if (!stands) {
    if (!k) return;
    HASH_DEL(*table, k);
    free(k->key);
    free(k);
    return;
  }
  if (!k) {
    k = tmx_allocate(1, sizeof *k);
    k->key = strdup(key);
    HASH_ADD_KEYPTR(hh, *table, k->key, strlen(k->key), k);
  }
  k->version = version;
}

/* A machine that is gone by proof, and everything on it. */
static void remove_machine(struct tmx_replica *replica, struct tmx_machine *machine) {
  while (machine->tasks) {
    struct tmx_job *job = machine->tasks->job;
    unplace(replica, machine->tasks);
    release(replica, job);
  }
}

static size_t removed_machines_kept(const struct tmx_replica *replica) {
  return 1 + (size_t)(replica->settings->ram_mb * TMX_BYTES_PER_MB *
                      TMX_REMOVED_MACHINES_MEMORY_SHARE / TMX_REMOVED_MACHINE_BYTES);
}

static void count_type(struct tmx_replica *replica, const struct tmx_machine *machine, int sign) {
  size_t i;
  for (i = 0; i < replica->n_type_counts; i++)
    if (!strcmp(replica->type_counts[i].type, machine->type)) break;
  if (i == TMX_TYPES_MAX) return;
  if (i == replica->n_type_counts) {
    replica->n_type_counts++;
    replica->type_counts[i].machines = 0;
    memcpy(replica->type_counts[i].type, machine->type, sizeof machine->type);
  }
  replica->type_counts[i].machines += (uint32_t)sign;
}

static void apply_machine(struct tmx_replica *replica, char *line) {
  char *f[7], kind = line[0];
  size_t n = tmx_log_line_split(line, f, 7);
  if (n < 2 || strlen(f[1]) >= TMX_ID_MAX) return;
  const char *id = f[1];
  if (kind == TMX_LINE_MACHINE) {
    if (n != 7 || strlen(f[2]) >= TMX_NAME_MAX || strlen(f[3]) >= TMX_ID_MAX) return;
    struct tmx_machine *machine = create_machine(replica, id);
    if (machine->registered) count_type(replica, machine, -1);
    snprintf(machine->addr, sizeof machine->addr, "%s", f[2]);
    snprintf(machine->type, sizeof machine->type, "%s", f[3]);
    set_zone(machine, tmx_zone_index(replica->settings, f[4]));
    machine->owner = tmx_replica_owner_index(replica, id, machine->zone);
    machine->spot = f[5][0] != '0';
    machine->draining = f[6][0] != '0';
    machine->registered = true;
    count_type(replica, machine, 1);
    tmx_replica_notify_machine(replica, machine);
  } else if (kind == TMX_LINE_MACHINE_DRAINING) {
    struct tmx_machine *machine = tmx_machine_find(replica, id);
    if (n != 3 || !machine) return;
    machine->draining = f[2][0] != '0';
    tmx_replica_notify_machine(replica, machine);
  } else {
    if (HASH_COUNT(replica->removed_machines) >= removed_machines_kept(replica))
      keep_key(&replica->removed_machines, replica->removed_machines->key, 0, false);
    keep_key(&replica->removed_machines, id, 1, true);
    struct tmx_machine *machine = tmx_machine_find(replica, id);
    if (!machine) return;
    if (machine->registered) count_type(replica, machine, -1);
    machine->registered = false;
    if (!replica->loaded) return; /* what was on it is settled once loading is complete */
    remove_machine(replica, machine);
    forget_machine(replica, machine);
  }
  tmx_replica_notify_schedulable(replica);
}

/* A page holds the state of runs of tasks as of its own version. */
static void apply_run(struct tmx_replica *replica, char *line) {
  char id[TMX_ID_MAX], *f[6];
  uint32_t from, n, attempt;
  if (tmx_log_line_split(line, f, 6) != 6 || strlen(f[5]) >= TMX_ID_MAX ||
      !tmx_task_parse(f[1], id, sizeof id, &from) || !tmx_log_line_parse_u32(f[2], &n) ||
      !tmx_log_line_parse_u32(f[3], &attempt))
    return;
  const char state = f[4][0], *machine = f[5];
  struct tmx_job *job = tmx_job_find(replica, id);
  if (!job || !job->tasks) return;
  for (uint32_t i = from; n && i < job->spec.tasks; i++, n--) {
    struct tmx_task *task = &job->tasks[i];
    if (attempt < task->attempt || task->state == TMX_TASK_DONE) continue;
    if (state == 'd') {
      if (task->state == TMX_TASK_PLACED) unplace(replica, task);
      task->attempt = attempt;
      task->state = TMX_TASK_DONE;
      if (job->outcome != TMX_JOB_DONE) job->n_done++;
    } else if (state == 'w') {
      /* an older batch may still say that this attempt is placed: the page is newer */
      if (task->state == TMX_TASK_PLACED) unplace(replica, task);
      task->attempt = attempt;
    } else if (attempt > task->attempt) {
      struct tmx_operation operation = {.kind = TMX_OPERATION_PLACE, .task = i, .attempt = attempt};
      snprintf(operation.job, sizeof operation.job, "%s", id);
      snprintf(operation.machine, sizeof operation.machine, "%s", machine);
      apply_op(replica, &operation);
      if (state == '1' || state == '2') task->stop_mode = (uint8_t)(state - '0');
    }
  }
}

static void apply_each(void *arg, const struct tmx_operation *operation) {
  apply_op(arg, operation);
}

static void apply_lines(struct tmx_replica *replica, const cbor_item_t *value) {
  const cbor_item_t *ops = tmx_cbor_get(value, "ops"), *jobs = tmx_cbor_get(value, "jobs");
  for (size_t i = 0; i < tmx_cbor_list_length(jobs); i++)
    apply_job(replica, tmx_cbor_list_at(jobs, i), 0);
  for (size_t i = 0; i < tmx_cbor_list_length(ops); i++) {
    char s[TMX_LINE_MAX];
    if (!tmx_cbor_as_text(tmx_cbor_list_at(ops, i), s, sizeof s)) continue;
    if (s[0] == TMX_LINE_MACHINE || s[0] == TMX_LINE_MACHINE_DRAINING ||
        s[0] == TMX_LINE_MACHINE_REMOVED)
      apply_machine(replica, s);
    else if (s[0] == TMX_LINE_TASK_RUN)
      apply_run(replica, s);
    else if (s[0] == TMX_LINE_DEPENDENCIES)
      apply_awaits(replica, s);
    else if (s[0] == TMX_LINE_TYPE)
      apply_type(replica, s);
    else
      tmx_log_line_each_operation(s, apply_each, replica);
  }
}

static void apply_batch(struct tmx_replica *replica, const char *key, const char *rest,
                        uint64_t version, const cbor_item_t *value) {
  keep_key(&replica->batch_keys, key, version, value != NULL);
  /* Batches up to the mark are in the pages. Their keys are written over in any order, so what is
   * left of them no longer tells the whole story. */
  if (!value || version <= replica->compaction_point) return;
  const char *end = strchr(rest, '/');
  size_t n = end ? (size_t)(end - rest) : 0, i;
  if (n && n < TMX_NAME_MAX) {
    for (i = 0; i < replica->n_batch_sightings; i++)
      if (!strncmp(replica->batch_sightings[i].node, rest, n) &&
          !replica->batch_sightings[i].node[n])
        break;
    if (i == replica->n_batch_sightings && i < TMX_MEMBERS_MAX) {
      replica->n_batch_sightings++;
      snprintf(replica->batch_sightings[i].node, TMX_NAME_MAX, "%.*s", (int)n, rest);
    }
    if (i < replica->n_batch_sightings) replica->batch_sightings[i].at = replica->now;
  }
  apply_lines(replica, value);
}

static bool after(const char *key, const char *prefix, const char **rest) {
  size_t n = strlen(prefix);
  if (strncmp(key, prefix, n)) return false;
  *rest = key + n;
  return true;
}

void tmx_replica_apply(struct tmx_replica *replica, const char *key, uint64_t version,
                       const cbor_item_t *value) {
  const char *rest;
  if (after(key, TMX_KEY_BATCH, &rest)) {
    apply_batch(replica, key, rest, version, value);
  } else if (after(key, TMX_KEY_JOB, &rest)) {
    if (value) apply_job(replica, value, version); /* job keys are never dropped */
  } else if (after(key, TMX_KEY_PAGE, &rest)) {
    keep_key(&replica->page_keys, key, version, value != NULL);
    /* A complete copy has it already. Pages of a fold that was given up tell of tasks whose ends
     * may lie before the mark that stands: of a job that is over no page of this fold would put
     * that right. */
    if (value && !replica->loaded && strtoull(rest, NULL, 16) == replica->compaction_generation)
      apply_lines(replica, value);
  } else if (!strcmp(key, TMX_KEY_COMPACTION)) {
    replica->compaction_version = value ? version : 0;
    tmx_cbor_get_u64(value, "mark", &replica->compaction_point);
    tmx_cbor_get_u64(value, "gen", &replica->compaction_generation);
  } else if (after(key, TMX_KEY_MEMBER, &rest)) {
    tmx_replica_apply_node(replica, rest, version, value);
  } else if (!strcmp(key, TMX_KEY_HEAD)) {
    replica->head_version = version;
  } else if (!strcmp(key, TMX_KEY_VIEW)) {
    tmx_replica_apply_view(replica, version, value);
  } else if (!strcmp(key, TMX_KEY_LEADER)) {
    replica->leader[0] = 0;
    replica->leader_version = value ? version : 0;
    replica->leader_incarnation = 0;
    if (value) {
      tmx_cbor_get_text(value, "name", replica->leader, sizeof replica->leader);
      tmx_cbor_get_u64(value, "inc", &replica->leader_incarnation);
    }
    tmx_replica_notify_schedulable(replica);
  }
}

/* The mark first, since it tells which batches count; then jobs: the log speaks of their tasks, and
 * a final state rewrites a job's version. */
static int load_class(const char *key) {
  return !strcmp(key, TMX_KEY_COMPACTION)                 ? 0
         : strncmp(key, TMX_KEY_JOB, strlen(TMX_KEY_JOB)) ? 2
                                                          : 1;
}
static int compare_by_version(const void *a, const void *b) {
  const struct tmx_store_entry *left = a, *right = b;
  int jx = load_class(left->key), jy = load_class(right->key);
  if (jx != jy) return jx - jy;
  if (left->version != right->version) return left->version < right->version ? -1 : 1;
  return strcmp(left->key, right->key);
}

void tmx_replica_load(struct tmx_replica *replica, struct tmx_store_entry *items, size_t n) {
  if (n) qsort(items, n, sizeof *items, compare_by_version);
  for (size_t i = 0; i < n; i++)
    tmx_replica_apply(replica, items[i].key, items[i].version, items[i].value);
}

void tmx_replica_advance_to(struct tmx_replica *replica, uint64_t revision) {
  if (revision > replica->revision) replica->revision = revision;
  if (replica->loaded || replica->revision < replica->load_revision) return;
  replica->loaded = true;
  struct tmx_machine *machine, *t;
  HASH_ITER(hh, replica->machines, machine, t) {
    if (machine->registered) continue;
    remove_machine(replica, machine);
    forget_machine(replica, machine);
  }
  struct tmx_job *job, *next_job;
  replica->waiting_cpus = 0;
  HASH_ITER(hh, replica->jobs, job, next_job) {
    job->waiting_cpus = 0;
    count_asked(replica, job); /* pages count results without a word */
    if (replica->backlog) tmx_backlog_update(replica->backlog, job);
    release(replica, job);
  }
  tmx_dependencies_replica_loaded(replica);
  tmx_replica_notify_schedulable(replica);
}
