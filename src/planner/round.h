/* A round under way: shared by the files of src/core that plan it. Pure. */
#ifndef TMX_ROUND_H
#define TMX_ROUND_H
#include "planner/planner_tables.h"

#define RESOURCE_EPSILON 1e-6

struct candidate { /* a machine that may take a task: the lower the better */
  double cost;
  int machine;
};
struct candidate_heap {
  struct candidate *candidates;
  size_t count, capacity;
};
struct candidate_set { /* the machines for one job, by zone */
  bool built, empty;
  struct candidate_heap zone_heaps[TMX_ZONES_MAX];
};
struct failed_fit { /* what found no room: nothing as large is tried again in this round */
  const struct planner_job *job;
  int pool;
};
enum {
  POOL_OWN_SHARD,
  POOL_ANY_SHARD,
  POOL_RELEASING,
  POOL_PREEMPTIBLE,
  POOL_COUNT
}; /* the first three in this order: see place */
#define FAILED_FITS_MAX 48
#define SECOND_CHOICE_COST                                               \
  1.0 /* added to the measure of a machine of the kind that comes second \
       */
#define COLD_IMAGE_COST \
  10.0 /* added to the measure of a machine where a fetch would make it late */
#define FAILED_MACHINE_COST 100.0 /* ... where the job failed lately */

struct preemption { /* a task that this round stops */
  struct planner_machine *machine;
  size_t task;
};
struct round {
  struct tmx_planner *planner;
  const struct tmx_round_input *input;
  struct tmx_round_output *output;
  struct tmx_usage usage[TMX_TEAMS_MAX];
  size_t visited, visit_limit; /* looked at, and at most in this part of the order */
  struct planner_machine **touched_machines;
  size_t n_touched_machines, cap_touched_machines;
  struct planner_job **touched_jobs;
  size_t n_touched_jobs, cap_touched_jobs;
  struct preemption *preemptions;
  size_t n_preemptions, cap_preemptions;
  struct failed_fit failed_fits[FAILED_FITS_MAX];
  size_t n_failed_fits;
  bool skipped_for_own_sake; /* a machine was passed over for the job's own sake: its replicas, its
                                errors */
  int *releasing_machines;   /* machines with room on its way */
  size_t n_releasing_machines, cap_releasing_machines;
  struct candidate_set candidate_sets[POOL_COUNT]; /* of the job at hand; their memory is kept */
  uint32_t n_eligible, machine_cap;
  struct planner_machine *kept_machines[TMX_RESERVED_MACHINES_MAX]; /* machines that nothing else is
                                                                       placed on, see plan.c */
  size_t n_kept_machines;
};

/* steps.c: steps of the round on the planner's tables, taken back at its end */
void tmx_round_touch_machine(struct round *round, struct planner_machine *machine);
void tmx_round_touch_job(struct round *round, struct planner_job *job);
void tmx_round_mark_preempted(struct round *round, struct planner_machine *machine, size_t task);
void tmx_round_undo(struct round *round);
struct tmx_operation *tmx_round_emit(struct round *round, char op, const struct planner_job *job,
                                     uint32_t task, uint32_t attempt);
/* real: placed; else room is held for it until the stopped tasks are gone */
void tmx_round_reserve(struct round *round, struct planner_job *job, int m, bool real);

/* fit.c: which machines may take a job's task, and which is the best */
bool tmx_fit_group_is_eligible(const struct machine_group *group, const struct tmx_job_spec *spec);
bool tmx_fit_within_quota(const struct round *round, const struct planner_job *job);
/* Services to people come first, then what teams are guaranteed, then the rest. */
int tmx_fit_precedence(const struct planner_job *job);
void tmx_fit_begin_job(struct round *round, const struct planner_job *job);
/* The best machine for the job's next task; -1: none. warm: only where its image lies. */
int tmx_fit_best_machine(struct round *round, struct planner_job *job, int what, bool warm);
/* Stops the cheapest tasks of one machine until the task fits. do_it: marks and emits them.
 * Returns their cost; <0: it cannot be. */
double tmx_fit_preempt(struct round *round, const struct planner_job *job,
                       struct planner_machine *machine, bool do_it);

/* place.c: places up to max of the job's waiting tasks; returns how many were placed */
uint32_t tmx_place_job(struct round *round, struct planner_job *job, uint32_t max);
/* ... of each of these jobs, in order. *cut: the slot at which the next round goes on; -1: none. */
uint32_t tmx_place_jobs(struct round *round, struct planner_job **jobs, size_t n, uint32_t max,
                        int *cut);
#endif
