#include "planner/placement_cost.h"
#include "tmx/constants.h"

#include <math.h>
#include <string.h>

/* Booked shares: a fetch counts as this much at most, so that however long it takes it does not
 * reach the costs of placement_cost.h, which stand for graver reasons. */
#define FETCH_COST_MAX 3.0

/* Share of the time that a start may take: a fetch that needs more of it makes the start late. */
#define LATE_FETCH_SHARE 0.6

/* s until the image is there; one that is being fetched is not there yet. */
static double remaining_fetch_s(const struct tmx_plan_machine *machine,
                                const struct tmx_job_spec *spec, double now) {
  double whole = machine->fetch_gb_per_s > 0 ? spec->image_gb / machine->fetch_gb_per_s : 0;
  for (size_t i = 0; i < machine->n_images; i++)
    if (machine->images[i].id == spec->image_id)
      return fmax(0, whole - (now - machine->images[i].fetch_started_at));
  return whole;
}

static double share_of(double part, double whole) { return whole > 0 ? part / whole : 0; }

/* The booked share of the resource of which a task asks for the largest part. */
static double booked_share_of_most_asked(const struct tmx_plan_machine *machine,
                                         const struct tmx_job_spec *spec) {
  const double asked[] = {share_of(spec->cpus, machine->cpus), share_of(spec->gpus, machine->gpus),
                          share_of(spec->mem_gb, machine->mem_gb)};
  int most_asked = 0;
  for (int i = 1; i < 3; i++)
    if (asked[i] > asked[most_asked]) most_asked = i;
  switch (most_asked) {
    case 0:
      return share_of(machine->booked_cpus, machine->cpus);
    case 1:
      return share_of(machine->booked_gpus, machine->gpus);
    default:
      return share_of(machine->booked_mem_gb, machine->mem_gb);
  }
}

/* An image that must still be fetched counts as booked room: the more of it, the less time the
 * job's class has to start. */
static double share_with_fetch(const struct tmx_plan_machine *machine,
                               const struct tmx_job_spec *spec, double fetch_s) {
  return booked_share_of_most_asked(machine, spec) +
         fmin(fetch_s / spec->fetch_tolerance_s, FETCH_COST_MAX);
}

double tmx_base_placement_cost(const struct tmx_plan_machine *machine,
                               const struct tmx_job_spec *spec, double now) {
  return share_with_fetch(machine, spec, remaining_fetch_s(machine, spec, now));
}

/* Spot machines are taken back, and what runs there is lost. A task whose loss could not be made
 * good before its job's next objective goes to other machines first; all other tasks of arrays go
 * to spot machines first, and leave the others to it and to services. */
static bool is_second_choice(const struct round *round, const struct planner_job *job, bool spot) {
  const struct tmx_job_spec *spec = job->record.spec;
  const struct tmx_plan_job *record = &job->record;
  if (spec->service || !spec->spot_allowed) return false;
  double left_s = record->next_completion_target_s - (round->input->now_wall - record->released_at);
  double lost_s = spec->checkpoint_s > 0 ? fmin(spec->checkpoint_s, record->expected_run_s)
                                         : record->expected_run_s;
  bool loss_would_be_late = left_s < record->expected_run_s + lost_s + TMX_FETCH_TOLERANCE_S;
  return spot == loss_would_be_late;
}

static bool failed_here_lately(const struct planner_job *job,
                               const struct planner_machine *machine) {
  const size_t count = sizeof job->record.failed_machines / sizeof job->record.failed_machines[0];
  for (size_t i = 0; i < count; i++) {
    const char *failed = job->record.failed_machines[i];
    if (failed[0] && !strcmp(failed, machine->record.id)) return true;
  }
  return false;
}

double tmx_placement_cost(const struct round *round, const struct planner_job *job,
                          const struct planner_machine *machine) {
  const struct tmx_job_spec *spec = job->record.spec;
  double fetch_s = remaining_fetch_s(&machine->record, spec, round->input->now_steady);
  double cost = share_with_fetch(&machine->record, spec, fetch_s);
  if (is_second_choice(round, job, machine->record.spot)) cost += SECOND_CHOICE_COST;
  if (fetch_s > spec->fetch_tolerance_s * LATE_FETCH_SHARE) cost += COLD_IMAGE_COST;
  if (failed_here_lately(job, machine)) cost += FAILED_MACHINE_COST;
  return cost;
}
