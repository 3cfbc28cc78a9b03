#include "replica/machine_faults.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "replica/replica_internal.h"

/* s; a job's tasks are searched for a survivor at most this often. */
static const double SURVIVOR_SEARCH_PERIOD_S = 1;
/* Tasks of a job that are searched per second, at most, on average. */
static const double SURVIVOR_SEARCH_TASKS_PER_S = 20000;

static bool has_failed_on(const struct tmx_job *job, const char *machine_id) {
  for (size_t i = 0; i < TMX_FAILED_MACHINES_KEPT; i++)
    if (!strcmp(job->failures.machines[i], machine_id)) return true;
  return false;
}

static void record_failed_machine(struct tmx_job *job, const char *machine_id) {
  struct tmx_job_failures *failures = &job->failures;
  if (has_failed_on(job, machine_id)) return;
  char *oldest = failures->machines[failures->n_machines++ % TMX_FAILED_MACHINES_KEPT];
  snprintf(oldest, TMX_ID_BYTES, "%s", machine_id);
}

/* Returns the machine's record of the job's errors. If there is none, replaces the oldest record.
 */
static struct tmx_job_errors *find_or_add_record(struct tmx_machine *machine, struct tmx_job *job) {
  struct tmx_job_errors *records = machine->errors;
  for (size_t i = 0; i < machine->n_errors; i++)
    if (records[i].job == job) return &records[i];
  if (machine->n_errors == TMX_FAILED_JOBS_KEPT)
    memmove(&records[0], &records[1], --machine->n_errors * sizeof records[0]);
  records[machine->n_errors] = (struct tmx_job_errors){.job = job};
  return &records[machine->n_errors++];
}

/* Returns whether the task has been on its machine for so long that it would have failed by now if
 * its job had a mistake or the machine a fault. Its end may be unknown while there is no contact
 * with the machine, or while the replica is not up to date. */
static bool has_survived(const struct tmx_replica *replica, const struct tmx_task *task) {
  const double survival_s = task->job->failures.longest_s + TMX_TASK_SURVIVAL_S;
  return task->state == TMX_TASK_PLACED && task->machine->usable && !task->stop_mode &&
         !task->job->outcome && replica->fresh_as_of - task->placed_at >= survival_s;
}

static bool find_survivor(const struct tmx_replica *replica, const struct tmx_job *job) {
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    if (has_survived(replica, &job->tasks[i])) return true;
  return false;
}

static double survivor_search_period_s(const struct tmx_job *job) {
  return fmax(SURVIVOR_SEARCH_PERIOD_S, job->spec.tasks / SURVIVOR_SEARCH_TASKS_PER_S);
}

/* A job with a mistake fails on every machine. Returns whether this job is known to have none. What
 * was known last holds for a job that has ended. */
static bool is_sound(const struct tmx_replica *replica, struct tmx_job *job, double now) {
  struct tmx_job_failures *failures = &job->failures;
  if (job->n_done) return true;
  if (job->outcome || !job->n_placed) return failures->has_survivor;
  if (now - failures->survivor_searched_at < survivor_search_period_s(job))
    return failures->has_survivor;
  failures->survivor_searched_at = now;
  failures->has_survivor = find_survivor(replica, job);
  return failures->has_survivor;
}

/* Returns whether the job failed on so many machines, and nowhere else succeeded, that its errors
 * say nothing about any of them. */
static bool fails_everywhere(const struct tmx_replica *replica, struct tmx_job *job, double now) {
  return job->failures.n_machines >= TMX_FAILED_MACHINES_KEPT && !is_sound(replica, job, now);
}

/* Returns whether the job's errors on a machine are evidence against the machine. Unless the job is
 * known to be sound, it is to blame if it failed on more machines than jobs failed on this machine:
 * a mistake in the job then explains more errors than a fault of the machine. */
static bool counts_against_machine(const struct tmx_replica *replica, struct tmx_job *job,
                                   uint32_t failed_jobs, double now) {
  if (is_sound(replica, job, now)) return true;
  return !fails_everywhere(replica, job, now) && job->failures.n_machines <= failed_jobs;
}

/* Returns whether the errors of this job alone show that the machine is faulty: the job is known to
 * be sound, and failed on few machines. A job of which some tasks fail anywhere fails on many. */
static bool condemns_alone(const struct tmx_replica *replica, const struct tmx_job_errors *record,
                           double now) {
  return record->count >= TMX_FAULTY_MACHINE_ERRORS && is_sound(replica, record->job, now) &&
         record->job->failures.n_machines < TMX_FAILED_MACHINES_KEPT;
}

/* The errors on a machine that are evidence against it. */
struct evidence {
  uint32_t errors, jobs;
  bool conclusive; /* one of the jobs condemns the machine alone */
  float last_at;   /* when the last of the errors occurred, monotonic clock, seconds */
};

static void add_to_evidence(const struct tmx_replica *replica, struct evidence *evidence,
                            const struct tmx_job_errors *record, double now) {
  evidence->errors += record->count;
  evidence->jobs++;
  evidence->conclusive |= condemns_alone(replica, record, now);
  if (record->last_at > evidence->last_at) evidence->last_at = record->last_at;
}

static struct evidence collect_evidence(const struct tmx_replica *replica,
                                        const struct tmx_machine *machine, double now) {
  struct evidence evidence = {0};
  uint32_t failed_jobs = 0;
  for (size_t i = 0; i < machine->n_errors; i++)
    failed_jobs += !fails_everywhere(replica, machine->errors[i].job, now);
  for (size_t i = 0; i < machine->n_errors; i++)
    if (counts_against_machine(replica, machine->errors[i].job, failed_jobs, now))
      add_to_evidence(replica, &evidence, &machine->errors[i], now);
  return evidence;
}

static enum tmx_machine_condition decide_condition(const struct tmx_replica *replica,
                                                   const struct tmx_machine *machine, double now) {
  const struct evidence evidence = collect_evidence(replica, machine, now);
  if (!evidence.conclusive &&
      (evidence.errors < TMX_FAULTY_MACHINE_ERRORS || evidence.jobs < TMX_FAULTY_MACHINE_JOBS))
    return TMX_MACHINE_SOUND;
  return now - evidence.last_at < TMX_FAULTY_MACHINE_QUARANTINE_S ? TMX_MACHINE_FAULTY
                                                                  : TMX_MACHINE_ON_PROBATION;
}

static void log_condition(const struct tmx_machine *machine) {
  if (!tmx_log_enabled(TMX_LOG_INFO)) return;
  uint32_t errors = 0;
  for (size_t i = 0; i < machine->n_errors; i++) errors += machine->errors[i].count;
  switch (machine->condition) {
    case TMX_MACHINE_SOUND:
      tmx_log(TMX_LOG_INFO, "machine: %s is no longer faulty", machine->id);
      break;
    case TMX_MACHINE_ON_PROBATION:
      tmx_log(TMX_LOG_INFO, "machine: %s is on probation, its last error was %.0f s ago",
              machine->id, TMX_FAULTY_MACHINE_QUARANTINE_S);
      break;
    case TMX_MACHINE_FAULTY:
      tmx_log(TMX_LOG_INFO,
              "machine: %s is faulty, %u errors of %zu jobs without a success; it gets no tasks "
              "until %.0f s after the last one",
              machine->id, errors, machine->n_errors, TMX_FAULTY_MACHINE_QUARANTINE_S);
      break;
  }
}

/* Removes the errors up to this time. */
static void clear_errors_until(struct tmx_machine *machine, float time) {
  size_t kept = 0;
  for (size_t i = 0; i < machine->n_errors; i++)
    if (machine->errors[i].last_at > time) machine->errors[kept++] = machine->errors[i];
  machine->n_errors = kept;
}

/* A task that was placed after errors and outlasts them is a success, like a completed one.
 * Replicas of services never complete. */
static void clear_survived_errors(const struct tmx_replica *replica, struct tmx_machine *machine) {
  if (!machine->n_errors) return;
  for (const struct tmx_task *task = machine->tasks; task; task = task->next)
    /* All tasks placed and errors recorded while the replica was loaded have the same time. */
    if (has_survived(replica, task)) clear_errors_until(machine, nextafterf(task->placed_at, 0));
}

void tmx_machine_faults_update(struct tmx_replica *replica, struct tmx_machine *machine,
                               double now) {
  clear_survived_errors(replica, machine);
  const enum tmx_machine_condition condition = decide_condition(replica, machine, now);
  if (condition == machine->condition) return;
  if (machine->condition == TMX_MACHINE_SOUND) machine->suspect_since = now;
  machine->condition = condition;
  if (replica->loaded) log_condition(machine);
  tmx_replica_notify_machine(replica, machine);
  if (condition != TMX_MACHINE_FAULTY) tmx_replica_notify_schedulable(replica);
}

void tmx_machine_faults_record_error(struct tmx_replica *replica, struct tmx_machine *machine,
                                     struct tmx_job *job, double placed_s) {
  if (placed_s > job->failures.longest_s) job->failures.longest_s = placed_s;
  record_failed_machine(job, machine->id);
  struct tmx_job_errors *record = find_or_add_record(machine, job);
  record->count++;
  record->last_at = (float)replica->now;
  tmx_machine_faults_update(replica, machine, replica->now);
}

void tmx_machine_faults_record_success(struct tmx_replica *replica, struct tmx_machine *machine,
                                       float placed_at) {
  clear_errors_until(machine, placed_at);
  tmx_machine_faults_update(replica, machine, replica->now);
}
