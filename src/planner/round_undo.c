/* Steps of a round: what it takes and stops, taken back at its end, since only what is committed
 * comes back in the next feed. */
#include "planner/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

void tmx_round_touch_machine(struct round *round, struct planner_machine *machine) {
  if (machine->touched_in_round == round->planner->round_number) return;
  machine->touched_in_round = round->planner->round_number;
  machine->snapshot =
      (struct machine_snapshot){machine->record.booked_cpus,    machine->record.booked_gpus,
                                machine->record.booked_mem_gb,  machine->record.releasing_cpus,
                                machine->record.releasing_gpus, machine->record.releasing_mem_gb,
                                machine->record.n_tasks};
  round->touched_machines =
      tmx_grow(round->touched_machines, &round->cap_touched_machines, round->n_touched_machines + 1,
               sizeof *round->touched_machines);
  round->touched_machines[round->n_touched_machines++] = machine;
}

void tmx_round_touch_job(struct round *round, struct planner_job *job) {
  if (job->touched_in_round == round->planner->round_number) return;
  job->touched_in_round = round->planner->round_number;
  memcpy(job->saved_placed_in_zone, job->record.placed_in_zone, sizeof job->saved_placed_in_zone);
  round->touched_jobs = tmx_grow(round->touched_jobs, &round->cap_touched_jobs,
                                 round->n_touched_jobs + 1, sizeof *round->touched_jobs);
  round->touched_jobs[round->n_touched_jobs++] = job;
}

void tmx_round_mark_preempted(struct round *round, struct planner_machine *machine, size_t task) {
  round->preemptions = tmx_grow(round->preemptions, &round->cap_preemptions,
                                round->n_preemptions + 1, sizeof *round->preemptions);
  round->preemptions[round->n_preemptions++] = (struct preemption){machine, task};
  machine->record.tasks[task].stopping = true;
}

void tmx_round_undo(struct round *round) {
  for (size_t i = 0; i < round->n_preemptions; i++)
    round->preemptions[i].machine->record.tasks[round->preemptions[i].task].stopping = false;
  for (size_t i = 0; i < round->n_touched_machines; i++) {
    struct planner_machine *machine = round->touched_machines[i];
    machine->record.booked_cpus = machine->snapshot.booked_cpus;
    machine->record.booked_gpus = machine->snapshot.booked_gpus;
    machine->record.booked_mem_gb = machine->snapshot.booked_mem_gb;
    machine->record.releasing_cpus = machine->snapshot.releasing_cpus;
    machine->record.releasing_gpus = machine->snapshot.releasing_gpus;
    machine->record.releasing_mem_gb = machine->snapshot.releasing_mem_gb;
    machine->record.n_tasks = machine->snapshot.n_tasks;
  }
  for (size_t i = 0; i < round->n_touched_jobs; i++)
    memcpy(round->touched_jobs[i]->record.placed_in_zone,
           round->touched_jobs[i]->saved_placed_in_zone,
           sizeof round->touched_jobs[i]->saved_placed_in_zone);
}

struct tmx_operation *tmx_round_emit(struct round *round, char op, const struct planner_job *job,
                                     uint32_t task, uint32_t attempt) {
  struct tmx_round_output *output = round->output;
  output->operations = tmx_grow(output->operations, &output->cap_operations,
                                output->n_operations + 1, sizeof *output->operations);
  struct tmx_operation *operation = &output->operations[output->n_operations++];
  memset(operation, 0, sizeof *operation);
  operation->kind = op;
  operation->task = task;
  operation->attempt = attempt;
  memcpy(operation->job, job->record.id, sizeof operation->job);
  return operation;
}
void tmx_round_reserve(struct round *round, struct planner_job *job, int m, bool real) {
  struct planner_machine *machine = round->planner->machines[m];
  const struct tmx_job_spec *spec = job->record.spec;
  tmx_round_touch_machine(round, machine);
  machine->record.booked_cpus += spec->cpus;
  machine->record.booked_gpus += spec->gpus;
  machine->record.booked_mem_gb += spec->mem_gb;
  machine->record.tasks = tmx_grow(machine->record.tasks, &machine->cap_tasks,
                                   machine->record.n_tasks + 1, sizeof *machine->record.tasks);
  machine->record.tasks[machine->record.n_tasks++] =
      (struct tmx_plan_task){.job = job->record.slot, .stopping = true};
  tmx_round_touch_job(round, job);
  job->record.placed_in_zone[machine->record.zone]++;
  if (!real) return;
  round->usage[job->record.team].cpus += spec->cpus;
  round->usage[job->record.team].gpus += spec->gpus;
}
