#include "cloud/scale_out_demand.h"

#include <math.h>
#include <string.h>

#include "base/memory.h"
#include "replica/placement_caps.h"

/* s since the job was loaded. A younger job adds no demand, as the next scheduling round may still
 * place its tasks on present machines. */
static const double JOB_AGE_MIN_S = 0.5;

/* CPUs and GPUs that a team without a quota may use. */
static const double UNLIMITED = 1e9;

static bool specs_are_equivalent(const struct tmx_job_spec *left,
                                 const struct tmx_job_spec *right) {
  return left->service == right->service && left->cpus == right->cpus &&
         left->gpus == right->gpus && left->mem_gb == right->mem_gb &&
         left->spot_allowed == right->spot_allowed && left->n_types == right->n_types &&
         left->spread == right->spread && left->same_zone == right->same_zone &&
         !memcmp(left->types, right->types, left->n_types * sizeof left->types[0]);
}

static bool run_times_are_similar(double left_s, double right_s) {
  return left_s <= 2 * right_s && right_s <= 2 * left_s;
}

/* Adds pending tasks to the list. Tasks of one team with the same requirements, the same zone and a
 * run time within a factor of two are counted as one demand, as the same machines are rented for
 * them. `added` has the job's properties. */
static void add_demand(struct tmx_demand_list *list, struct tmx_demand added) {
  if (!added.tasks) return;
  for (size_t i = 0; i < list->count; i++) {
    struct tmx_demand *demand = &list->demands[i];
    if (demand->zone != added.zone || demand->team != added.team ||
        demand->overdue != added.overdue || !specs_are_equivalent(demand->spec, added.spec) ||
        !run_times_are_similar(demand->run_s, added.run_s))
      continue;
    demand->tasks += added.tasks;
    return;
  }
  list->demands = tmx_grow(list->demands, &list->capacity, list->count + 1, sizeof *list->demands);
  list->demands[list->count++] = added;
}

/* Returns the zone that all tasks of the job must run in: the zone of its spec or, if all must be
 * in one zone, the zone that already holds tasks. -1: any. */
static int required_zone(const struct tmx_settings *settings, const struct tmx_job *job) {
  int zone = job->spec.zone[0] ? tmx_zone_index(settings, job->spec.zone) : -1;
  for (size_t z = 0; zone < 0 && job->spec.same_zone && z < settings->n_zones; z++)
    if (job->placed_in_zone[z]) zone = (int)z;
  return zone;
}

/* Returns whether the zone has a machine type that may run a task of the job. */
static bool zone_is_possible(const struct tmx_machine_catalog *catalog,
                             const struct tmx_job_spec *spec, size_t zone) {
  for (size_t i = 0; i < catalog->n_types; i++) {
    const struct tmx_machine_type *type = &catalog->types[i];
    if (type->zones[zone] &&
        tmx_resources_fit(tmx_resources_of_task(spec), tmx_resources_of_type(type)) &&
        tmx_type_allowed(spec, type->name))
      return true;
  }
  return false;
}

/* Returns the zone with the fewest tasks among the zones with room below the cap; n_zones: there is
 * none. */
static size_t zone_with_fewest_tasks(size_t n_zones, const uint32_t tasks[], const uint32_t room[],
                                     const uint32_t added[]) {
  size_t best = n_zones;
  for (size_t z = 0; z < n_zones; z++) {
    if (added[z] >= room[z]) continue;
    if (best == n_zones || tasks[z] + added[z] < tasks[best] + added[best]) best = z;
  }
  return best;
}

/* Spreads the pending tasks over the zones with room below the cap, and adds a demand for each
 * zone. Each task goes to the zone with the fewest tasks. Tasks that no zone can take without
 * exceeding the cap add no demand. */
static void add_spread_demand(const struct tmx_settings *settings, struct tmx_demand_list *list,
                              const struct tmx_job *job, struct tmx_demand demand,
                              const uint32_t room[]) {
  uint32_t added[TMX_ZONES_MAX] = {0};
  for (uint32_t tasks = demand.tasks; tasks; tasks--) {
    size_t zone = zone_with_fewest_tasks(settings->n_zones, job->placed_in_zone, room, added);
    if (zone == settings->n_zones) break;
    added[zone]++;
  }
  for (size_t z = 0; z < settings->n_zones; z++) {
    demand.zone = (int)z;
    demand.tasks = added[z];
    add_demand(list, demand);
  }
}

/* Computes how many more tasks of the job each zone may hold. Returns whether a zone is full that
 * has machines for the job. */
static bool room_below_cap(const struct tmx_demand_source *source, const struct tmx_job *job,
                           uint32_t room[]) {
  const struct tmx_settings *settings = source->settings;
  uint32_t cap = tmx_zone_cap(&job->spec, settings->n_zones);
  bool any_full = false;
  for (size_t z = 0; z < settings->n_zones; z++) {
    uint32_t placed = job->placed_in_zone[z];
    bool possible = zone_is_possible(source->catalog, &job->spec, z);
    room[z] = possible && placed < cap ? cap - placed : 0;
    any_full |= possible && placed >= cap;
  }
  return any_full;
}

/* Returns how many more tasks of the job the zone with the most room may hold. */
static uint32_t most_room(size_t n_zones, const uint32_t room[]) {
  uint32_t most = 0;
  for (size_t z = 0; z < n_zones; z++)
    if (room[z] > most) most = room[z];
  return most;
}

static void add_at_most(struct tmx_demand_list *list, struct tmx_demand demand, uint32_t tasks) {
  if (demand.tasks > tasks) demand.tasks = tasks;
  add_demand(list, demand);
}

/* Adds the demand of a job that waits with demand.tasks tasks. The tasks of a service are spread
 * over the zones. So are those of an array as soon as a zone is at the cap: free capacity in that
 * zone is none for them. */
static void add_job_demand(const struct tmx_demand_source *source, struct tmx_demand_list *list,
                           const struct tmx_job *job, struct tmx_demand demand) {
  const struct tmx_settings *settings = source->settings;
  uint32_t room[TMX_ZONES_MAX];
  bool any_zone_full = room_below_cap(source, job, room);
  demand.zone = required_zone(settings, job);
  if (demand.zone >= 0)
    add_at_most(list, demand, room[demand.zone]);
  else if (job->spec.same_zone || settings->n_zones < 2)
    add_at_most(list, demand, most_room(settings->n_zones, room));
  else if (job->spec.service || any_zone_full)
    add_spread_demand(settings, list, job, demand, room);
  else
    add_demand(list, demand);
}

/* Returns the number of pending tasks of the job. */
static uint32_t pending_tasks(const struct tmx_job *job, double now) {
  if (job->outcome || job->team < 0 || tmx_job_is_blocked(job)) return 0;
  if (now - job->loaded_at < JOB_AGE_MIN_S) return 0;
  return job->spec.tasks - job->n_done - job->n_placed;
}

/* Returns whether the job has waited for longer than scale-out expects present machines to take. A
 * time in which nobody could place its tasks does not count. */
static bool is_overdue(const struct tmx_demand_source *source, const struct tmx_job *job) {
  double since = fmax(job->unplaced_since, fmax(job->retry_at, source->leading_since));
  return source->now - since > TMX_BACKLOG_CLEAR_S;
}

void tmx_demand_list_collect(struct tmx_demand_list *list, const struct tmx_demand_source *source) {
  const struct tmx_replica *replica = source->replica;
  struct tmx_job *job, *next_job;
  HASH_ITER(hh, replica->jobs, job, next_job) {
    uint32_t tasks = pending_tasks(job, source->now);
    if (!tasks) continue;
    const struct tmx_job_spec *spec = &job->spec;
    double run_s = spec->service ? 0 : tmx_run_estimate_expected(replica, spec);
    add_job_demand(source, list, job,
                   (struct tmx_demand){.spec = spec,
                                       .tasks = tasks,
                                       .team = job->team,
                                       .run_s = run_s,
                                       .overdue = is_overdue(source, job)});
  }
}

/* Returns what a limit leaves; 0: there is no limit. */
static double left_of_limit(double limit, double used) {
  return limit > 0 ? limit - used : UNLIMITED;
}

void tmx_quota_left(const struct tmx_settings *settings, const struct tmx_replica *replica,
                    struct tmx_usage left[]) {
  for (size_t i = 0; i < settings->n_teams; i++) {
    const struct tmx_team_settings *team = &settings->teams[i];
    const struct tmx_usage *used = &replica->team_usage[i];
    left[i].cpus = left_of_limit(team->cpus_max, used->cpus);
    left[i].gpus = left_of_limit(team->gpus_max, used->gpus);
  }
}
