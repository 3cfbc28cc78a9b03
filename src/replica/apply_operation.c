#include "replica/apply_operation.h"

#include <string.h>
#include <utlist.h>

#include "replica/job_table.h"
#include "replica/machine_faults.h"
#include "replica/machine_table.h"
#include "replica/replica_internal.h"

/* Assumed start of the image fetch for tasks that were placed before the replica was loaded:
 * monotonic clock, s, long before this process started. */
#define FETCHED_LONG_AGO (-1e9)

/* Adds a placed task's resources to all totals that include them, or subtracts them if `sign` is
 * -1. */
static void add_to_totals(struct tmx_replica *replica, const struct tmx_task *task, int sign) {
  struct tmx_job *job = task->job;
  struct tmx_machine *machine = task->machine;
  const double cpus = sign * job->spec.cpus, gpus = sign * job->spec.gpus;
  const double mem_gb = sign * job->spec.mem_gb;
  replica->booked_cpus += cpus;
  machine->booked_cpus += cpus;
  machine->booked_gpus += gpus;
  machine->booked_mem_gb += mem_gb;
  if (job->spec.service) {
    machine->service_cpus += cpus;
    machine->service_gpus += gpus;
    machine->service_mem_gb += mem_gb;
  }
  if (machine->zone >= 0) job->placed_in_zone[machine->zone] += (uint32_t)sign;
  if (job->team >= 0) {
    replica->team_usage[job->team].cpus += cpus;
    replica->team_usage[job->team].gpus += gpus;
  }
}

void tmx_replica_unplace_task(struct tmx_replica *replica, struct tmx_task *task) {
  struct tmx_machine *machine = task->machine;
  struct tmx_job *job = task->job;
  add_to_totals(replica, task, -1);
  DL_DELETE(machine->tasks, task);
  /* without tasks the totals are zero: clear what rounding errors have left in them */
  if (--machine->n_tasks == 0) {
    machine->booked_cpus = machine->booked_gpus = machine->booked_mem_gb = 0;
    machine->service_cpus = machine->service_gpus = machine->service_mem_gb = 0;
  }
  job->n_placed--;
  task->machine = NULL;
  task->prev = task->next = NULL;
  task->state = TMX_TASK_WAITING;
  task->stop_mode = TMX_STOP_NONE;
  const uint32_t index = tmx_task_index(task);
  if (index < job->first_waiting) job->first_waiting = index;
  tmx_replica_notify_machine(replica, machine);
  tmx_replica_job_updated(replica, job);
}

/* Moves the image to the front of the machine's list of recently used images, and adds it if it is
 * missing. The list is bounded by TMX_IMAGES_KEPT, not by the size of the machine's cache. */
static void update_recent_images(struct tmx_machine *machine, int image_id,
                                 double fetch_started_at) {
  struct tmx_image *images = machine->images;
  size_t i = 0;
  while (i < machine->n_images && images[i].id != image_id) i++;
  if (i < machine->n_images) fetch_started_at = images[i].fetch_started_at;
  if (i == machine->n_images && machine->n_images < TMX_IMAGES_KEPT) machine->n_images++;
  if (i == TMX_IMAGES_KEPT) i--;
  memmove(&images[1], &images[0], i * sizeof images[0]);
  images[0] = (struct tmx_image){.id = image_id, .fetch_started_at = fetch_started_at};
}

/* Records that a task of the job was placed. The time of the latest start determines the order of
 * classes in scheduling rounds; the first start of each job enters the distribution of waits. */
static void record_start(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->backlog || !replica->loaded || job->team < 0) return;
  if (job->in_account)
    replica->backlog->accounts[job->team][job->account].last_start_at = replica->now;
  if (!job->started && replica->on_job_started) replica->on_job_started(replica->observer, job);
  job->started = true;
}

static void assign_to_machine(struct tmx_replica *replica, struct tmx_task *task,
                              struct tmx_machine *machine) {
  task->state = TMX_TASK_PLACED;
  task->machine = machine;
  task->placed_at = (float)replica->now;
  task->running_since = 0;
  DL_APPEND(machine->tasks, task);
  machine->n_tasks++;
  task->job->n_placed++;
  add_to_totals(replica, task, 1);
}

/* Attempt numbers only increase. A placement that is repeated, or that is older than one applied
 * earlier while loading, therefore changes nothing. */
static void apply_place(struct tmx_replica *replica, struct tmx_task *task,
                        const struct tmx_operation *operation) {
  struct tmx_job *job = task->job;
  if (operation->attempt <= task->attempt || task->state == TMX_TASK_DONE) return;
  if (task->state == TMX_TASK_PLACED) tmx_replica_unplace_task(replica, task);
  task->attempt = operation->attempt;
  struct tmx_machine *machine = tmx_replica_ensure_machine(replica, operation->machine);
  assign_to_machine(replica, task, machine);
  update_recent_images(machine, job->spec.image_id,
                       replica->loaded ? replica->now : FETCHED_LONG_AGO);
  tmx_replica_notify_machine(replica, machine);
  job->unplaced_since = replica->now;
  tmx_replica_job_updated(replica, job);
  record_start(replica, job);
  if (replica->loaded && !machine->registered) tmx_replica_unplace_task(replica, task);
}

static void apply_stop(struct tmx_replica *replica, struct tmx_task *task,
                       const struct tmx_operation *operation) {
  const bool after_saving = operation->reason == tmx_operation_stop_reason(TMX_STOP_AFTER_SAVING);
  task->stop_mode = after_saving ? TMX_STOP_AFTER_SAVING : TMX_STOP_AT_ONCE;
  tmx_replica_notify_machine(replica, task->machine);
}

static void record_success(struct tmx_replica *replica, struct tmx_task *task,
                           struct tmx_machine *machine, float ran_s) {
  struct tmx_job *job = task->job;
  task->state = TMX_TASK_DONE;
  if (ran_s > job->longest_run_s) job->longest_run_s = ran_s;
  tmx_run_estimate_observe(replica, &job->spec, ran_s);
  if (job->outcome != TMX_JOB_DONE) job->n_done++;
  job->failures.consecutive = 0;
  tmx_machine_faults_record_success(replica, machine, task->placed_at);
}

/* Exponential backoff: doubles with each consecutive failure, up to TMX_JOB_BACKOFF_MAX_S. */
static double retry_backoff_s(uint32_t failures_before) {
  double backoff_s = TMX_JOB_BACKOFF_MIN_S;
  for (uint32_t i = 0; i < failures_before && backoff_s < TMX_JOB_BACKOFF_MAX_S; i++)
    backoff_s *= 2;
  return backoff_s < TMX_JOB_BACKOFF_MAX_S ? backoff_s : TMX_JOB_BACKOFF_MAX_S;
}

static void record_error(struct tmx_replica *replica, struct tmx_job *job,
                         struct tmx_machine *machine, double placed_s) {
  job->retry_at = replica->now + retry_backoff_s(job->failures.consecutive++);
  tmx_machine_faults_record_error(replica, machine, job, placed_s);
}

static void apply_end(struct tmx_replica *replica, struct tmx_task *task,
                      const struct tmx_operation *operation) {
  struct tmx_job *job = task->job;
  struct tmx_machine *machine = task->machine;
  const float ran_s = task->running_since ? (float)replica->now - task->running_since : 0;
  tmx_replica_unplace_task(replica, task);
  if (operation->reason == TMX_END_DONE)
    record_success(replica, task, machine, ran_s);
  else if (operation->reason == TMX_END_ERROR)
    record_error(replica, job, machine, replica->now - task->placed_at);
  tmx_replica_job_updated(replica, job);
  tmx_replica_release_tasks(replica, job);
  tmx_replica_notify_schedulable(replica);
}

void tmx_replica_apply_operation(struct tmx_replica *replica,
                                 const struct tmx_operation *operation) {
  struct tmx_job *job = tmx_job_find(replica, operation->job);
  if (!job || operation->task >= job->spec.tasks || !job->tasks) return;
  struct tmx_task *task = &job->tasks[operation->task];
  if (operation->kind == TMX_OPERATION_PLACE) {
    apply_place(replica, task, operation);
    return;
  }
  if (task->attempt != operation->attempt || task->state != TMX_TASK_PLACED) return;
  if (operation->kind == TMX_OPERATION_STOP)
    apply_stop(replica, task, operation);
  else
    apply_end(replica, task, operation);
}
