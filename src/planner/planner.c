#include "planner/planner.h"
#include "base/memory.h"
#include "planner/ageing.h"
#include "planner/fit.h"
#include "planner/job_order.h"
#include "planner/placement.h"
#include "planner/round.h"
#include "planner/service_migration.h"
#include "tmx/constants.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static void list_releasing_machines(struct round *round) {
  for (size_t i = 0; i < round->planner->cap_machines; i++) {
    const struct planner_machine *machine = round->planner->machines[i];
    if (!machine ||
        machine->record.releasing_cpus + machine->record.releasing_mem_gb <= RESOURCE_EPSILON)
      continue;
    round->releasing_machines =
        tmx_grow(round->releasing_machines, &round->cap_releasing_machines,
                 round->n_releasing_machines + 1, sizeof *round->releasing_machines);
    round->releasing_machines[round->n_releasing_machines++] = (int)i;
  }
}

static void begin_round(struct round *round) {
  memset(round->output, 0, sizeof *round->output);
  memcpy(round->usage, round->input->usage, sizeof round->usage);
  round->planner->round_number++;
  list_releasing_machines(round);
}

static void end_round(struct round *round) {
  for (size_t i = 0; i < round->n_reserved_machines; i++)
    round->reserved_machines[i]->record.usable = true;
  tmx_round_undo(round);
  round->output->visits = round->visited;
  for (size_t pool = 0; pool < POOL_COUNT; pool++)
    for (size_t zone = 0; zone < TMX_ZONES_MAX; zone++)
      free(round->candidate_sets[pool].zone_heaps[zone].candidates);
  free(round->modified_machines);
  free(round->modified_jobs);
  free(round->preemptions);
  free(round->releasing_machines);
}

static size_t count_production_jobs(struct planner_job *const *by_rank, size_t count) {
  size_t n_production = 0;
  while (n_production < count && tmx_job_precedence(by_rank[n_production]) == PRECEDENCE_PRODUCTION)
    n_production++;
  return n_production;
}

/* Places the jobs of production precedence, then aged jobs, then all others. The first part may use
 * half of the visit limit and the second part a quarter of it, so that no part starves the parts
 * after it. The third part may use all that is left. */
static void place_all_jobs(struct round *round, struct planner_job **by_release,
                           struct planner_job **by_rank, size_t count) {
  struct tmx_planner *planner = round->planner;
  const size_t max_visits = round->input->max_visits;
  size_t n_production = count_production_jobs(by_rank, count);
  round->visit_limit = max_visits / 2;
  tmx_place_jobs(round, by_rank, n_production, UINT32_MAX, &planner->resume_production);

  round->visit_limit = round->visited + (max_visits - round->visit_limit) / 2;
  uint32_t placed = tmx_ageing_place_by_rotation(round, by_release, count);
  tmx_ageing_place_first_tasks(round, by_release, count);
  placed += tmx_ageing_place_oldest(round, by_release, count);

  round->visit_limit = max_visits;
  placed += tmx_place_jobs(round, by_rank + n_production, count - n_production, UINT32_MAX,
                           &planner->resume_others);
  planner->aged_job_credit =
      fmin(planner->aged_job_credit + TMX_AGED_JOB_SHARE * placed, TMX_ROUND_JOB_TASKS_MAX);
}

void tmx_planner_run_round(struct tmx_planner *planner, const struct tmx_round_input *input,
                           struct tmx_round_output *output) {
  struct round round = {.planner = planner, .input = input, .output = output};
  size_t count = planner->n_open_jobs;
  begin_round(&round);
  struct planner_job **by_release = tmx_job_order_by_release(planner);
  tmx_job_order_prepare(input, by_release, count);
  struct planner_job **by_rank = tmx_job_order_by_rank(planner);
  place_all_jobs(&round, by_release, by_rank, count);
  if (input->leading && !output->unplaced && !output->truncated) tmx_migrate_services(&round);
  end_round(&round);
  free(by_rank);
  free(by_release);
}
