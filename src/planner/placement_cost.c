#include "planner/placement_cost.h"
#include "tmx/constants.h"

#include <math.h>
#include <string.h>

/* Booked shares: limit on the cost of a fetch. However long a fetch takes, it costs less than
 * COLD_IMAGE_COST and FAILED_MACHINE_COST, which stand for more serious reasons. */
#define FETCH_COST_MAX 3.0

/* Share of tmx_job_spec::fetch_tolerance_s. A fetch that takes longer than this share makes the
 * start of the job late. */
#define LATE_FETCH_SHARE 0.6

/* Returns the time until the image is on the machine, s. For an image that is being fetched, it is
 * the rest of the fetch time. */
static double remaining_fetch_s(const struct tmx_plan_machine *machine,
                                const struct tmx_job_spec *spec, double now) {
  double whole = machine->fetch_gb_per_s > 0 ? spec->image_gb / machine->fetch_gb_per_s : 0;
  for (size_t i = 0; i < machine->n_images; i++)
    if (machine->images[i].id == spec->image_id)
      return fmax(0, whole - (now - machine->images[i].fetch_started_at));
  return whole;
}

static double share_of(double part, double whole) { return whole > 0 ? part / whole : 0; }

/* Returns the booked share of the dominant resource: the one of which a task requests the largest
 * share of the machine. */
static double booked_share_of_dominant_resource(const struct tmx_plan_machine *machine,
                                                const struct tmx_job_spec *spec) {
  const double requested[] = {share_of(spec->cpus, machine->cpus),
                              share_of(spec->gpus, machine->gpus),
                              share_of(spec->mem_gb, machine->mem_gb)};
  int dominant = 0;
  for (int i = 1; i < 3; i++)
    if (requested[i] > requested[dominant]) dominant = i;
  switch (dominant) {
    case 0:
      return share_of(machine->booked_cpus, machine->cpus);
    case 1:
      return share_of(machine->booked_gpus, machine->gpus);
    default:
      return share_of(machine->booked_mem_gb, machine->mem_gb);
  }
}

/* Returns the cost without penalties. The remaining fetch time counts as booked capacity; it weighs
 * more if the class of the job has less time to start. */
static double cost_with_fetch(const struct tmx_plan_machine *machine,
                              const struct tmx_job_spec *spec, double fetch_s) {
  return booked_share_of_dominant_resource(machine, spec) +
         fmin(fetch_s / spec->fetch_tolerance_s, FETCH_COST_MAX);
}

double tmx_base_placement_cost(const struct tmx_plan_machine *machine,
                               const struct tmx_job_spec *spec, double now) {
  return cost_with_fetch(machine, spec, remaining_fetch_s(machine, spec, now));
}

/* Returns whether the job prefers the other kind of machine, spot or on demand. The provider
 * reclaims spot machines, and their tasks lose work. If a task could not repeat the lost work
 * before the job's next completion target, it prefers machines on demand. All other tasks of job
 * arrays prefer spot machines and leave machines on demand to such tasks and to services. Services
 * and jobs that do not allow spot machines have no preference. */
static bool is_unpreferred_kind(const struct round *round, const struct planner_job *job,
                                bool spot) {
  const struct tmx_job_spec *spec = job->record.spec;
  const struct tmx_plan_job *record = &job->record;
  if (spec->service || !spec->spot_allowed) return false;
  double remaining_s =
      record->next_completion_target_s - (round->input->now_wall - record->released_at);
  double lost_s = spec->checkpoint_s > 0 ? fmin(spec->checkpoint_s, record->expected_run_s)
                                         : record->expected_run_s;
  bool loss_would_be_late = remaining_s < record->expected_run_s + lost_s + TMX_FETCH_TOLERANCE_S;
  return spot == loss_would_be_late;
}

static bool failed_recently_on(const struct planner_job *job,
                               const struct planner_machine *machine) {
  for (size_t i = 0; i < TMX_FAILED_MACHINES_KEPT; i++) {
    const char *failed = job->record.failed_machines[i];
    if (failed[0] && !strcmp(failed, machine->record.id)) return true;
  }
  return false;
}

double tmx_placement_cost(const struct round *round, const struct planner_job *job,
                          const struct planner_machine *machine) {
  const struct tmx_job_spec *spec = job->record.spec;
  double fetch_s = remaining_fetch_s(&machine->record, spec, round->input->now_steady);
  double cost = cost_with_fetch(&machine->record, spec, fetch_s);
  if (is_unpreferred_kind(round, job, machine->record.spot)) cost += SPOT_PREFERENCE_COST;
  if (fetch_s > spec->fetch_tolerance_s * LATE_FETCH_SHARE) cost += COLD_IMAGE_COST;
  if (machine->record.on_probation || failed_recently_on(job, machine)) cost += FAILED_MACHINE_COST;
  return cost;
}
