/* What fits where: the machines that may take a task, and their order. */
#include "planner/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

bool tmx_fit_group_is_eligible(const struct machine_group *group, const struct tmx_job_spec *spec) {
  return (!group->spot || spec->spot_allowed) && spec->cpus <= group->cpus + RESOURCE_EPSILON &&
         spec->gpus <= group->gpus + RESOURCE_EPSILON &&
         spec->mem_gb <= group->mem_gb + RESOURCE_EPSILON && tmx_type_allowed(spec, group->type);
}

static bool failed_here_lately(const struct planner_job *job,
                               const struct planner_machine *machine) {
  for (int i = 0; i < 4; i++)
    if (job->record.failed_machines[i][0] &&
        !strcmp(job->record.failed_machines[i], machine->record.id))
      return true;
  return false;
}

static bool has_room(const struct planner_machine *machine, const struct tmx_job_spec *spec,
                     bool soon) {
  double k = soon ? 1 : 0;
  return machine->record.booked_cpus - k * machine->record.releasing_cpus + spec->cpus <=
             machine->record.cpus + RESOURCE_EPSILON &&
         machine->record.booked_gpus - k * machine->record.releasing_gpus + spec->gpus <=
             machine->record.gpus + RESOURCE_EPSILON &&
         machine->record.booked_mem_gb - k * machine->record.releasing_mem_gb + spec->mem_gb <=
             machine->record.mem_gb + RESOURCE_EPSILON;
}

/* How long the image still takes to be there; one that is being fetched is not there yet. */
static double fetch_time(const struct tmx_plan_machine *machine, const struct tmx_job_spec *spec,
                         double now) {
  double whole = machine->fetch_gb_per_s > 0 ? spec->image_gb / machine->fetch_gb_per_s : 0;
  for (size_t i = 0; i < machine->n_images; i++)
    if (machine->images[i].id == spec->image_id)
      return fmax(0, whole - (now - machine->images[i].fetch_started_at));
  return whole;
}

/* The booked share of the most-asked resource; an image that must still be fetched counts as
 * room booked, the more of it the less time the job's class has to start (ours: the measure is
 * open in the design). */
double tmx_booked_share(const struct tmx_plan_machine *machine, const struct tmx_job_spec *spec,
                        double now) {
  double ask[3] = {machine->cpus > 0 ? spec->cpus / machine->cpus : 0,
                   machine->gpus > 0 ? spec->gpus / machine->gpus : 0,
                   machine->mem_gb > 0 ? spec->mem_gb / machine->mem_gb : 0};
  double used[3] = {machine->cpus > 0 ? machine->booked_cpus / machine->cpus : 0,
                    machine->gpus > 0 ? machine->booked_gpus / machine->gpus : 0,
                    machine->mem_gb > 0 ? machine->booked_mem_gb / machine->mem_gb : 0};
  int top = 0;
  for (int i = 1; i < 3; i++)
    if (ask[i] > ask[top]) top = i;
  return used[top] + fmin(fetch_time(machine, spec, now) / spec->fetch_tolerance_s, 3.0);
}

/* Spot machines are taken back, and what runs there is lost. A task that could not make that good
 * before its job's next aim goes elsewhere if there is room; the others leave that room to it, and
 * to services. */
static bool is_second_choice(const struct round *round, const struct planner_job *job, bool spot) {
  const struct tmx_job_spec *spec = job->record.spec;
  if (spec->service || !spec->spot_allowed) return false;
  double left = job->record.next_target_s - (round->input->now_wall - job->record.released_at);
  double lost =
      spec->checkpoint_s > 0 ? fmin(spec->checkpoint_s, job->record.run_s) : job->record.run_s;
  return spot == (left < job->record.run_s + lost + TMX_FETCH_TOLERANCE_S);
}

static double placement_cost(const struct round *round, const struct planner_job *job,
                             const struct planner_machine *machine) {
  const struct tmx_job_spec *spec = job->record.spec;
  double v = tmx_booked_share(&machine->record, spec, round->input->now_steady);
  if (is_second_choice(round, job, machine->record.spot)) v += SECOND_CHOICE_COST;
  /* the fetch alone would use up the time that the class has to start */
  if (fetch_time(&machine->record, spec, round->input->now_steady) > spec->fetch_tolerance_s * 0.6)
    v += COLD_IMAGE_COST;
  return failed_here_lately(job, machine) ? v + FAILED_MACHINE_COST : v;
}

static uint32_t placed_on(const struct planner_job *job, const struct planner_machine *machine) {
  uint32_t n = 0;
  for (size_t i = 0; i < machine->record.n_tasks; i++)
    n += machine->record.tasks[i].job == job->record.slot;
  return n;
}

static bool zone_allows(const struct round *round, const struct planner_job *job, int zone) {
  const struct tmx_job_spec *spec = job->record.spec;
  if (job->record.placed_in_zone[zone] >= tmx_zone_cap(spec, round->input->n_zones)) return false;
  if (spec->same_zone)
    for (size_t z = 0; z < round->input->n_zones; z++)
      if ((int)z != zone && job->record.placed_in_zone[z]) return false;
  return true;
}

bool tmx_fit_within_quota(const struct round *round, const struct planner_job *job) {
  if (job->record.team < 0) return false;
  const struct tmx_team_settings *team = &round->input->teams[job->record.team];
  const struct tmx_usage *usage = &round->usage[job->record.team];
  if (team->cpus_max > 0 &&
      usage->cpus + job->record.spec->cpus > team->cpus_max + RESOURCE_EPSILON)
    return false;
  if (team->gpus_max > 0 &&
      usage->gpus + job->record.spec->gpus > team->gpus_max + RESOURCE_EPSILON)
    return false;
  return true;
}

/* Services to people come first, then what teams are guaranteed, then the rest. */
int tmx_fit_precedence(const struct planner_job *job) {
  return job->record.priority == TMX_PRIORITY_PROD ? 2 : job->guaranteed;
}

/* Only work that also stands behind in the order of placing is stopped: anything else would be
 * placed again in the very room that was made, and stopped again. Work that stands in no
 * guarantee waits for room; stopping others for it would cost more than it gains. */
static bool may_preempt(const struct round *round, const struct planner_job *job,
                        const struct tmx_plan_task *victim) {
  const struct planner_job *other =
      victim->job >= 0 && (size_t)victim->job < round->planner->cap_jobs
          ? round->planner->jobs[victim->job]
          : NULL;
  if (!other || victim->stopping || tmx_fit_precedence(job) <= tmx_fit_precedence(other))
    return false;
  if (other->record.priority < job->record.priority) return true;
  if (!job->guaranteed || other->record.team == job->record.team || other->record.team < 0 ||
      other->record.spec->service)
    return false;
  const struct tmx_team_settings *team = &round->input->teams[other->record.team];
  return round->usage[other->record.team].cpus - other->record.spec->cpus >=
             team->cpus - RESOURCE_EPSILON &&
         round->usage[other->record.team].gpus - other->record.spec->gpus >=
             team->gpus - RESOURCE_EPSILON;
}

static double lost_work(const struct round *round, const struct tmx_plan_task *task) {
  const struct tmx_job_spec *spec = round->planner->jobs[task->job]->record.spec;
  if (spec->checkpoint_s > 0) return spec->checkpoint_save_s + 1; /* it saves before it goes */
  return round->input->now_steady - task->lost_since;
}

/* Stops the cheapest tasks of one machine until the task fits. do_it: marks and emits them.
 * Returns their cost; <0: it cannot be. */
double tmx_fit_preempt(struct round *round, const struct planner_job *job,
                       struct planner_machine *machine, bool do_it) {
  const struct tmx_job_spec *spec = job->record.spec;
  double c = machine->record.cpus - machine->record.booked_cpus + machine->record.releasing_cpus,
         g = machine->record.gpus - machine->record.booked_gpus + machine->record.releasing_gpus,
         e = machine->record.mem_gb - machine->record.booked_mem_gb +
             machine->record.releasing_mem_gb,
         cost = 0;
  size_t n = machine->record.n_tasks, chosen = 0;
  round->visited += n;
  bool *taken = NULL;
  while (c + RESOURCE_EPSILON < spec->cpus || g + RESOURCE_EPSILON < spec->gpus ||
         e + RESOURCE_EPSILON < spec->mem_gb) {
    struct tmx_plan_task *best = NULL;
    double best_lost = 0;
    int best_prio = 0;
    for (size_t k = 0; k < n; k++) {
      struct tmx_plan_task *task = &machine->record.tasks[k];
      if ((taken && taken[k]) || !may_preempt(round, job, task)) continue;
      /* lower priority first, then the least lost work */
      int prio = round->planner->jobs[task->job]->record.priority;
      double lost = lost_work(round, task);
      if (best && (prio > best_prio || (prio == best_prio && lost >= best_lost))) continue;
      best = task;
      best_lost = lost;
      best_prio = prio;
    }
    if (!best) {
      free(taken);
      return -1;
    }
    if (!taken) taken = calloc(n, 1);
    if (!taken) abort();
    taken[best - machine->record.tasks] = true;
    chosen++;
    const struct planner_job *other = round->planner->jobs[best->job];
    c += other->record.spec->cpus;
    g += other->record.spec->gpus;
    e += other->record.spec->mem_gb;
    cost += best_lost + 1 + 20.0 * best_prio;
    if (do_it) {
      tmx_round_emit(round, TMX_OPERATION_STOP, other, best->task, best->attempt)->reason =
          other->record.spec->checkpoint_s > 0 && !spec->service ? '2' : '1';
      tmx_round_touch_machine(round, machine);
      tmx_round_mark_preempted(round, machine, (size_t)(best - machine->record.tasks));
      machine->record.releasing_cpus += other->record.spec->cpus;
      machine->record.releasing_gpus += other->record.spec->gpus;
      machine->record.releasing_mem_gb += other->record.spec->mem_gb;
    }
  }
  free(taken);
  return chosen ? cost : -1;
}

/* ------------------------------------------------------------ candidates */

static void sift_down(struct candidate_heap *heap, size_t i) {
  for (;;) {
    size_t k = 2 * i + 1;
    if (k >= heap->count) return;
    if (k + 1 < heap->count && heap->candidates[k + 1].cost < heap->candidates[k].cost) k++;
    if (heap->candidates[i].cost <= heap->candidates[k].cost) return;
    struct candidate swapped = heap->candidates[i];
    heap->candidates[i] = heap->candidates[k];
    heap->candidates[k] = swapped;
    i = k;
  }
}

static void add(struct candidate_heap *heap, double v, int m) {
  heap->candidates =
      tmx_grow(heap->candidates, &heap->capacity, heap->count + 1, sizeof *heap->candidates);
  heap->candidates[heap->count++] = (struct candidate){v, m};
}

/* May the job's next task go there; v: its value. */
static bool consider_machine(struct round *round, const struct planner_job *job,
                             struct planner_machine *machine, int what, double *v) {
  if (!machine->record.usable || machine->record.draining) return false;
  if (what == POOL_OWN_SHARD && machine->record.owner != job->record.planner) return false;
  if (what != POOL_PREEMPTIBLE && !has_room(machine, job->record.spec, what == POOL_RELEASING))
    return false;
  if (job->record.spec->service && placed_on(job, machine) >= round->machine_cap) {
    round->skipped_for_own_sake = true;
    return false;
  }
  *v = placement_cost(round, job, machine);
  if (what == POOL_PREEMPTIBLE) {
    if (*v >= FAILED_MACHINE_COST) {
      round->skipped_for_own_sake = true;
      return false;
    }
    double cost = tmx_fit_preempt(round, job, machine, false);
    if (cost < 0) return false;
    *v = cost / 1e6 + (*v >= COLD_IMAGE_COST ? COLD_IMAGE_COST
                                             : 0); /* below COLD: the cheapest, warm ones first */
  }
  return true;
}

static bool is_at_least_as_large(const struct tmx_job_spec *spec, const struct tmx_job_spec *t) {
  if (spec->cpus + RESOURCE_EPSILON < t->cpus || spec->gpus + RESOURCE_EPSILON < t->gpus ||
      spec->mem_gb + RESOURCE_EPSILON < t->mem_gb)
    return false;
  if (spec->spot_allowed && !t->spot_allowed) return false;
  if (strcmp(spec->zone, t->zone) || spec->n_types != t->n_types) return false;
  return !spec->n_types || !memcmp(spec->types, t->types, sizeof spec->types[0] * spec->n_types);
}

/* Whether what one of them finds says something of the other: by its own part only those of one
 * controller, and what may be stopped depends on team and standing. */
static bool alike(const struct planner_job *left, const struct planner_job *right, int what) {
  if (what == POOL_OWN_SHARD) return left->record.planner == right->record.planner;
  if (what != POOL_PREEMPTIBLE) return true;
  return left->record.team == right->record.team &&
         left->record.priority == right->record.priority && left->guaranteed == right->guaranteed;
}

static bool is_known_not_to_fit(const struct round *round, const struct planner_job *job,
                                int what) {
  for (size_t i = 0; i < round->n_failed_fits; i++) {
    const struct failed_fit *failed = &round->failed_fits[i];
    if (failed->pool == what && alike(failed->job, job, what) &&
        is_at_least_as_large(job->record.spec, failed->job->record.spec))
      return true;
  }
  return false;
}

/* The smallest are kept, as they speak for the most. */
static void note_failed_fit(struct round *round, const struct planner_job *job, int what) {
  size_t i;
  for (i = 0; i < round->n_failed_fits; i++) {
    const struct failed_fit *failed = &round->failed_fits[i];
    if (failed->pool == what && alike(failed->job, job, what) &&
        is_at_least_as_large(failed->job->record.spec, job->record.spec))
      break;
  }
  if (i == FAILED_FITS_MAX) return;
  round->failed_fits[i] = (struct failed_fit){job, what};
  round->n_failed_fits += i == round->n_failed_fits;
}

static void build_candidates(struct round *round, const struct planner_job *job, int what) {
  struct candidate_set *set = &round->candidate_sets[what];
  const struct tmx_job_spec *spec = job->record.spec;
  size_t n = 0;
  set->built = true;
  for (size_t z = 0; z < TMX_ZONES_MAX; z++) set->zone_heaps[z].count = 0;
  set->empty = is_known_not_to_fit(round, job, what);
  if (set->empty) return;
  round->skipped_for_own_sake = false;
  for (size_t k = 0; k < round->planner->n_groups; k++) {
    const struct machine_group *group = &round->planner->groups[k];
    if (what == POOL_RELEASING || !group->n_usable || !tmx_fit_group_is_eligible(group, spec))
      continue;
    if (job->record.zone >= 0 && group->zone != job->record.zone) continue;
    round->visited += group->n;
    for (size_t i = 0; i < group->n; i++) {
      double v;
      if (!consider_machine(round, job, round->planner->machines[group->slots[i]], what, &v))
        continue;
      add(&set->zone_heaps[group->zone], v, group->slots[i]);
      n++;
    }
  }
  for (size_t i = 0; what == POOL_RELEASING && i < round->n_releasing_machines; i++) {
    struct planner_machine *machine = round->planner->machines[round->releasing_machines[i]];
    double v;
    round->visited++;
    if (machine->group < 0 ||
        !tmx_fit_group_is_eligible(&round->planner->groups[machine->group], spec))
      continue;
    if ((job->record.zone >= 0 && machine->record.zone != job->record.zone) ||
        !consider_machine(round, job, machine, what, &v))
      continue;
    add(&set->zone_heaps[machine->record.zone], v, machine->record.slot);
    n++;
  }
  for (size_t z = 0; z < round->input->n_zones; z++)
    for (size_t i = set->zone_heaps[z].count / 2; i-- > 0;) sift_down(&set->zone_heaps[z], i);
  set->empty = !n;
  if (!n && !round->skipped_for_own_sake) note_failed_fit(round, job, what);
}

/* The best machine for the job's next task; -1: none. warm: only where its image lies. */
int tmx_fit_best_machine(struct round *round, struct planner_job *job, int what, bool warm) {
  struct candidate_set *set = &round->candidate_sets[what];
  if (!set->built) build_candidates(round, job, what);
  if (set->empty) return -1;
  int m = -1;
  double top = 0;
  for (size_t z = 0; z < round->input->n_zones; z++) {
    struct candidate_heap *heap = &set->zone_heaps[z];
    if (!heap->count || !zone_allows(round, job, (int)z)) continue;
    while (heap->count) { /* what the round did since may have changed the first ones */
      struct planner_machine *machine = round->planner->machines[heap->candidates[0].machine];
      double v;
      round->visited++;
      if (!consider_machine(round, job, machine, what, &v)) {
        heap->candidates[0] = heap->candidates[--heap->count];
        sift_down(heap, 0);
      } else if (v > heap->candidates[0].cost + RESOURCE_EPSILON) {
        heap->candidates[0].cost = v;
        sift_down(heap, 0);
      } else {
        break;
      }
    }
    if (!heap->count || (warm && heap->candidates[0].cost >= COLD_IMAGE_COST)) continue;
    /* a service's zones are filled evenly first */
    double v = heap->candidates[0].cost +
               (job->record.spec->service ? 4.0 * job->record.placed_in_zone[z] : 0);
    if (m < 0 || v < top) {
      m = heap->candidates[0].machine;
      top = v;
    }
  }
  return m;
}

static uint32_t eligible(const struct round *round, const struct tmx_job_spec *spec) {
  uint32_t n = 0;
  for (size_t k = 0; k < round->planner->n_groups; k++)
    if (tmx_fit_group_is_eligible(&round->planner->groups[k], spec))
      n += round->planner->groups[k].n_usable;
  return n;
}

void tmx_fit_begin_job(struct round *round, const struct planner_job *job) {
  for (int i = 0; i < POOL_COUNT; i++)
    round->candidate_sets[i].built = round->candidate_sets[i].empty = false;
  round->n_eligible = eligible(round, job->record.spec);
  round->machine_cap = tmx_machine_cap(job->record.spec, round->n_eligible);
}
