#include "user/submission_validation.h"

#include <string.h>

#include "replica/placement_caps.h"

/* tolerance for rounding errors, in CPUs, GPUs or GB */
static const double size_tolerance = 1e-6;

/* A service must run all its tasks at the same time; any other job can run them one by one. */
static bool is_within_team_limits(const struct tmx_team_settings *team,
                                  const struct tmx_job_spec *spec) {
  double n_concurrent = spec->service ? spec->tasks : 1;
  if (team->cpus_max > 0 && n_concurrent * spec->cpus > team->cpus_max + size_tolerance)
    return false;
  return team->gpus_max <= 0 || n_concurrent * spec->gpus <= team->gpus_max + size_tolerance;
}

static bool fits_type(const struct tmx_machine_type *type, const struct tmx_job_spec *spec) {
  return spec->cpus <= type->cpus + size_tolerance && spec->gpus <= type->gpus + size_tolerance &&
         spec->mem_gb <= type->mem_gb + size_tolerance;
}

enum tmx_spec_validity tmx_user_validate_spec(const struct tmx_user_api *api,
                                              const struct tmx_job_spec *spec) {
  const struct tmx_machine_catalog *catalog = api->catalog;
  int team = tmx_team_index(api->settings, spec->team);
  if (team < 0) return TMX_SPEC_NEVER_RUNNABLE;
  if (!is_within_team_limits(&api->settings->teams[team], spec)) return TMX_SPEC_NEVER_RUNNABLE;
  if (!catalog->n_types) return TMX_SPEC_UNDECIDED;
  int zone = spec->zone[0] ? tmx_zone_index(api->settings, spec->zone) : -1;
  if (spec->zone[0] && zone < 0) return TMX_SPEC_NEVER_RUNNABLE;
  for (size_t i = 0; i < catalog->n_types; i++) {
    const struct tmx_machine_type *type = &catalog->types[i];
    if (!tmx_type_allowed(spec, type->name)) continue;
    if (zone >= 0 && !type->zones[zone]) continue;
    if (fits_type(type, spec)) return TMX_SPEC_RUNNABLE;
  }
  return TMX_SPEC_NEVER_RUNNABLE;
}

enum tmx_dependency_validity tmx_user_validate_dependencies(
    const struct tmx_replica *replica, const struct tmx_submission *submission) {
  enum tmx_dependency_validity validity = TMX_DEPENDENCIES_VALID;
  for (uint32_t i = 0; i < submission->prerequisite_ids.count; i++) {
    const char *id = submission->prerequisite_ids.ids[i];
    const struct tmx_job *job = tmx_job_find(replica, id);
    if (!strcmp(id, submission->id)) return TMX_DEPENDENCIES_NEVER_DONE;
    if (job && job->spec.service)
      return TMX_DEPENDENCIES_NEVER_DONE; /* a service ends only by cancellation */
    if (!job) validity = TMX_DEPENDENCIES_UNKNOWN;
  }
  return validity;
}
