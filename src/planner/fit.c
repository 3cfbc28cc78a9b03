#include "planner/fit.h"

bool tmx_fit_group_is_eligible(const struct machine_group *group, const struct tmx_job_spec *spec) {
  return (!group->spot || spec->spot_allowed) &&
         tmx_resources_fit(tmx_resources_of_task(spec), group->size) &&
         tmx_type_allowed(spec, group->type);
}

uint32_t tmx_fit_count_eligible_machines(const struct tmx_planner *planner,
                                         const struct tmx_job_spec *spec) {
  uint32_t count = 0;
  for (size_t i = 0; i < planner->n_groups; i++)
    if (tmx_fit_group_is_eligible(&planner->groups[i], spec))
      count += planner->groups[i].n_schedulable;
  return count;
}

bool tmx_fit_zone_allows(const struct round *round, const struct planner_job *job, size_t zone) {
  const struct tmx_job_spec *spec = job->record.spec;
  const uint32_t *placed_in_zone = job->record.placed_in_zone;
  if (placed_in_zone[zone] >= tmx_zone_cap(spec, round->input->n_zones)) return false;
  if (!spec->same_zone) return true;
  for (size_t other = 0; other < round->input->n_zones; other++)
    if (other != zone && placed_in_zone[other]) return false;
  return true;
}

bool tmx_fit_within_quota(const struct round *round, const struct planner_job *job) {
  if (job->record.team < 0) return false;
  const struct tmx_job_spec *spec = job->record.spec;
  const struct tmx_team_settings *team = &round->input->teams[job->record.team];
  const struct tmx_usage *usage = &round->usage[job->record.team];
  if (team->cpus_max > 0 && usage->cpus + spec->cpus > team->cpus_max + RESOURCE_EPSILON)
    return false;
  if (team->gpus_max > 0 && usage->gpus + spec->gpus > team->gpus_max + RESOURCE_EPSILON)
    return false;
  return true;
}
