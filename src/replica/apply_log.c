#include "replica/apply_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/memory.h"
#include "replica/apply_operation.h"
#include "replica/job_table.h"
#include "replica/machine_table.h"
#include "replica/placement_caps.h"
#include "replica/replica_internal.h"

/* A record holds only as many ids of prerequisites as fit. The other ids follow in lines of the
 * same transaction or of the same set of pages. The job is blocked until all ids have been read. */
static void read_dependencies(struct tmx_replica *replica, struct tmx_job *job,
                              const struct tmx_job_record *record) {
  if (!record->n_prerequisites || job->outcome) return;
  replica->dependencies_in_use = true;
  tmx_dependencies_declare(job, (uint32_t)record->n_prerequisites);
  const size_t length = cbor_string_length(record->prerequisite_ids);
  char *text = tmx_allocate(length + 1, sizeof *text);
  tmx_cbor_as_text(record->prerequisite_ids, text, length + 1);
  tmx_dependencies_parse_ids(job, 0, text);
  free(text);
  tmx_dependencies_resolve(replica, job);
}

void tmx_replica_apply_job_record(struct tmx_replica *replica, const cbor_item_t *item,
                                  uint64_t key_version) {
  struct tmx_job_record record;
  if (!tmx_job_decode(item, &record)) {
    tmx_log(TMX_LOG_ERROR, "state: malformed job record ignored");
    return;
  }
  struct tmx_job *job = tmx_job_find(replica, record.id);
  if (!job) job = tmx_replica_create_job(replica, &record);
  if (key_version) {
    job->version = key_version;
    job->outcome_stored = record.outcome != TMX_JOB_OPEN;
  }
  if (record.ended_at > 0) {
    job->ended_at = record.ended_at;
    replica->dependencies_in_use = true;
  }
  if (record.outcome && !job->outcome) {
    tmx_replica_set_outcome(replica, job, (enum tmx_job_outcome)record.outcome);
    tmx_dependencies_job_ended(replica, job);
  }
  read_dependencies(replica, job, &record);
  tmx_replica_job_updated_schedulable(replica, job);
}

/* Terminates the line at its third space. Returns the text after that space, which may be empty. */
static char *split_at_third_space(char *line) {
  size_t spaces = 0;
  for (char *p = line; *p; p++)
    if (*p == ' ' && ++spaces == 3) {
      *p = 0;
      return p + 1;
    }
  return line + strlen(line);
}

/* Applies `w JOB POSITION IDS`, where IDS, the rest of the line, are ids of prerequisites.
 */
static void apply_dependency_line(struct tmx_replica *replica, char *line) {
  enum { KIND, JOB, POSITION, FIELDS };
  char *field[FIELDS];
  uint32_t position;
  const char *ids = split_at_third_space(line);
  if (tmx_log_line_split(line, field, FIELDS) != FIELDS ||
      !tmx_log_line_parse_u32(field[POSITION], &position))
    return;
  struct tmx_job *job = tmx_job_find(replica, field[JOB]);
  if (!job || job->outcome) return;
  tmx_dependencies_parse_ids(job, position, ids);
  tmx_dependencies_resolve(replica, job);
  tmx_replica_job_updated(replica, job);
}

/* Applies `y JOB TYPE`, where TYPE is the rest of the line because it can contain spaces. */
static void apply_type_line(struct tmx_replica *replica, const char *line) {
  char id[TMX_ID_BYTES];
  int type_at = 0;
  if (sscanf(line, "%*c %31s %n", id, &type_at) != 1 || !type_at) return;
  struct tmx_job *job = tmx_job_find(replica, id);
  const char *type = line + type_at;
  if (!job || !job->spec.n_types || job->spec.n_types == TMX_MACHINE_TYPES_MAX) return;
  if (strlen(type) >= TMX_ID_BYTES || tmx_type_allowed(&job->spec, type)) return;
  snprintf(job->spec.types[job->spec.n_types++], TMX_ID_BYTES, "%s", type);
}

/* Consecutive tasks of a job that share their state and attempt number, as stored in a page. */
struct task_range {
  char job[TMX_ID_BYTES];
  uint32_t first, count, attempt;
  char state; /* enum tmx_task_range_state, or enum tmx_stop_mode as a digit */
  const char *machine;
};

/* Parses `t JOB/INDEX COUNT ATTEMPT STATE MACHINE`. */
static bool parse_task_range(char *line, struct task_range *range) {
  enum { KIND, FIRST_TASK, COUNT, ATTEMPT, STATE, MACHINE, FIELDS };
  char *field[FIELDS];
  if (tmx_log_line_split(line, field, FIELDS) != FIELDS || strlen(field[MACHINE]) >= TMX_ID_BYTES ||
      !tmx_task_parse(field[FIRST_TASK], range->job, sizeof range->job, &range->first) ||
      !tmx_log_line_parse_u32(field[COUNT], &range->count) ||
      !tmx_log_line_parse_u32(field[ATTEMPT], &range->attempt))
    return false;
  range->state = field[STATE][0];
  range->machine = field[MACHINE];
  return true;
}

static void apply_range_to_task(struct tmx_replica *replica, const struct task_range *range,
                                struct tmx_task *task) {
  struct tmx_job *job = task->job;
  if (range->attempt < task->attempt || task->state == TMX_TASK_DONE) return;
  if (range->state == TMX_TASK_RANGE_DONE || range->state == TMX_TASK_RANGE_WAITING) {
    /* an older batch may have placed this attempt; the page is newer */
    if (task->state == TMX_TASK_PLACED) tmx_replica_unplace_task(replica, task);
    task->attempt = range->attempt;
    if (range->state == TMX_TASK_RANGE_WAITING) return;
    task->state = TMX_TASK_DONE;
    if (job->outcome != TMX_JOB_DONE) job->n_done++;
  } else if (range->attempt > task->attempt) {
    struct tmx_operation operation = {
        .kind = TMX_OPERATION_PLACE, .task = tmx_task_index(task), .attempt = range->attempt};
    snprintf(operation.job, sizeof operation.job, "%s", range->job);
    snprintf(operation.machine, sizeof operation.machine, "%s", range->machine);
    tmx_replica_apply_operation(replica, &operation);
    const int stop_mode = range->state - '0';
    if (stop_mode == TMX_STOP_AT_ONCE || stop_mode == TMX_STOP_AFTER_SAVING)
      task->stop_mode = (uint8_t)stop_mode;
  }
}

/* The line holds the state of the tasks as of the page's version. */
static void apply_task_range_line(struct tmx_replica *replica, char *line) {
  struct task_range range;
  if (!parse_task_range(line, &range)) return;
  const struct tmx_job *job = tmx_job_find(replica, range.job);
  if (!job || !job->tasks) return;
  for (uint32_t i = range.first, left = range.count; left && i < job->spec.tasks; i++, left--)
    apply_range_to_task(replica, &range, &job->tasks[i]);
}

static void on_operation(void *context, const struct tmx_operation *operation) {
  struct tmx_replica *replica = context;
  tmx_replica_apply_operation(replica, operation);
}

static void apply_line(struct tmx_replica *replica, char *line) {
  switch (line[0]) {
    case TMX_LINE_MACHINE:
    case TMX_LINE_MACHINE_DRAINING:
    case TMX_LINE_MACHINE_REMOVED:
      tmx_replica_apply_machine_line(replica, line);
      break;
    case TMX_LINE_TASK_RANGE:
      apply_task_range_line(replica, line);
      break;
    case TMX_LINE_DEPENDENCIES:
      apply_dependency_line(replica, line);
      break;
    case TMX_LINE_PERMITTED_TYPE:
      apply_type_line(replica, line);
      break;
    default:
      tmx_log_line_for_each_operation(line, on_operation, replica);
  }
}

void tmx_replica_apply_log_value(struct tmx_replica *replica, const cbor_item_t *value) {
  const cbor_item_t *jobs = tmx_log_value_jobs(value), *lines = tmx_log_value_lines(value);
  for (size_t i = 0; i < tmx_cbor_array_length(jobs); i++)
    tmx_replica_apply_job_record(replica, tmx_cbor_array_at(jobs, i), 0);
  for (size_t i = 0; i < tmx_cbor_array_length(lines); i++) {
    char line[TMX_LOG_LINE_BYTES];
    if (tmx_cbor_as_text(tmx_cbor_array_at(lines, i), line, sizeof line)) apply_line(replica, line);
  }
}
