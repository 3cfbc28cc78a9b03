#include "planner/round.h"
#include "base/memory.h"

#include <string.h>

void tmx_round_snapshot_machine(struct round *round, struct planner_machine *machine) {
  if (machine->snapshot_round == round->planner->round_number) return;
  machine->snapshot_round = round->planner->round_number;
  machine->snapshot =
      (struct machine_snapshot){.booked = tmx_resources_booked(&machine->record),
                                .releasing = tmx_resources_releasing(&machine->record),
                                .n_tasks = machine->record.n_tasks};
  round->modified_machines =
      tmx_grow(round->modified_machines, &round->cap_modified_machines,
               round->n_modified_machines + 1, sizeof *round->modified_machines);
  round->modified_machines[round->n_modified_machines++] = machine;
}

void tmx_round_snapshot_job(struct round *round, struct planner_job *job) {
  if (job->snapshot_round == round->planner->round_number) return;
  job->snapshot_round = round->planner->round_number;
  memcpy(job->saved_placed_in_zone, job->record.placed_in_zone, sizeof job->saved_placed_in_zone);
  round->modified_jobs = tmx_grow(round->modified_jobs, &round->cap_modified_jobs,
                                  round->n_modified_jobs + 1, sizeof *round->modified_jobs);
  round->modified_jobs[round->n_modified_jobs++] = job;
}

void tmx_round_mark_preempted(struct round *round, struct planner_machine *machine, size_t task) {
  round->preemptions = tmx_grow(round->preemptions, &round->cap_preemptions,
                                round->n_preemptions + 1, sizeof *round->preemptions);
  round->preemptions[round->n_preemptions++] = (struct preemption){machine, task};
  machine->record.tasks[task].stopping = true;
}

static void restore_machine(struct planner_machine *machine) {
  tmx_resources_set_booked(&machine->record, machine->snapshot.booked);
  tmx_resources_set_releasing(&machine->record, machine->snapshot.releasing);
  machine->record.n_tasks = machine->snapshot.n_tasks;
}

static void restore_job(struct planner_job *job) {
  memcpy(job->record.placed_in_zone, job->saved_placed_in_zone, sizeof job->saved_placed_in_zone);
}

void tmx_round_undo(struct round *round) {
  for (size_t i = 0; i < round->n_preemptions; i++) {
    const struct preemption *preemption = &round->preemptions[i];
    preemption->machine->record.tasks[preemption->task].stopping = false;
  }
  for (size_t i = 0; i < round->n_modified_machines; i++)
    restore_machine(round->modified_machines[i]);
  for (size_t i = 0; i < round->n_modified_jobs; i++) restore_job(round->modified_jobs[i]);
}

struct tmx_operation *tmx_round_emit(struct round *round, char kind, const struct planner_job *job,
                                     uint32_t task, uint32_t attempt) {
  struct tmx_round_output *output = round->output;
  output->operations = tmx_grow(output->operations, &output->cap_operations,
                                output->n_operations + 1, sizeof *output->operations);
  struct tmx_operation *operation = &output->operations[output->n_operations++];
  memset(operation, 0, sizeof *operation);
  operation->kind = kind;
  operation->task = task;
  operation->attempt = attempt;
  memcpy(operation->job, job->record.id, sizeof operation->job);
  return operation;
}

void tmx_round_reserve(struct round *round, struct planner_job *job, int machine_slot,
                       enum reservation reservation) {
  struct planner_machine *machine = round->planner->machines[machine_slot];
  struct tmx_plan_machine *record = &machine->record;
  const struct tmx_job_spec *spec = job->record.spec;
  tmx_round_snapshot_machine(round, machine);
  tmx_resources_set_booked(
      record, tmx_resources_add(tmx_resources_booked(record), tmx_resources_of_task(spec)));
  record->tasks =
      tmx_grow(record->tasks, &machine->cap_tasks, record->n_tasks + 1, sizeof *record->tasks);
  /* The stopping mark keeps this round from preempting its own reservations. */
  record->tasks[record->n_tasks++] =
      (struct tmx_plan_task){.job = job->record.slot, .stopping = true};
  tmx_round_snapshot_job(round, job);
  job->record.placed_in_zone[record->zone]++;
  if (reservation == RESERVATION_UNTIL_RELEASE) return;
  round->usage[job->record.team].cpus += spec->cpus;
  round->usage[job->record.team].gpus += spec->gpus;
}
