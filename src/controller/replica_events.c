/* Forwards the replica's changes to the scheduler, the workers module and admission control. */
#include "controller/controller_internal.h"

static void on_machine_changed(void *arg, struct tmx_machine *machine) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_machine_changed(controller->scheduler, machine);
  tmx_workers_machine_changed(controller->workers, machine);
}

static void on_machine_removed(void *arg, struct tmx_machine *machine) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_machine_removed(controller->scheduler, machine);
  tmx_workers_machine_removed(controller->workers, machine);
}

static void on_job_changed(void *arg, struct tmx_job *job) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_job_changed(controller->scheduler, job);
}

static void on_job_started(void *arg, struct tmx_job *job) {
  struct tmx_controller *controller = arg;
  tmx_admission_control_job_started(controller->admission, job);
}

/* The members of the view determine which controller plans each job, so every open job is marked as
 * changed. */
static void on_view_changed(void *arg) {
  struct tmx_controller *controller = arg;
  struct tmx_job *job, *next_job;
  HASH_ITER(hh, controller->replica.jobs, job, next_job) {
    if (!job->outcome) tmx_scheduler_job_changed(controller->scheduler, job);
  }
  tmx_workers_view_changed(controller->workers);
}

static void on_before_clear(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_reset(controller->scheduler);
  tmx_workers_before_replica_clear(controller->workers);
}

static void on_schedulable_change(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_trigger(controller->scheduler);
}

void tmx_controller_observe_replica(struct tmx_controller *controller) {
  struct tmx_replica *replica = &controller->replica;
  replica->observer = controller;
  replica->on_machine_changed = on_machine_changed;
  replica->on_machine_removed = on_machine_removed;
  replica->on_job_changed = on_job_changed;
  replica->on_job_started = on_job_started;
  replica->on_view_changed = on_view_changed;
  replica->on_before_clear = on_before_clear;
  replica->on_schedulable_change = on_schedulable_change;
}
