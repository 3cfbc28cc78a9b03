/* The planner's tables, shared by the files of the round only. */
#ifndef TMX_PLANNER_TABLES_H
#define TMX_PLANNER_TABLES_H
#include "planner/planner.h"

struct machine_snapshot { /* of a machine, before the round's own steps */
  double booked_cpus, booked_gpus, booked_mem_gb, releasing_cpus, releasing_gpus, releasing_mem_gb;
  size_t n_tasks;
};
struct planner_machine {
  struct tmx_plan_machine record;
  size_t cap_tasks;
  int group;             /* -1: not known enough to place on */
  size_t index_in_group; /* in the group */
  uint64_t touched_in_round;
  struct machine_snapshot snapshot;
};
struct planner_job {
  struct tmx_plan_job record;
  double order;              /* of this round */
  uint32_t older_in_account; /* jobs of its account that have waited longer than this one */
  bool guaranteed, in_open_jobs;
  size_t next_waiting;
  uint64_t touched_in_round;
  uint32_t saved_placed_in_zone[TMX_ZONES_MAX];
};
struct machine_group { /* machines of one type, zone and kind */
  char type[TMX_ID_MAX];
  int zone;
  bool spot;
  double cpus, gpus, mem_gb;
  int *slots;
  size_t n, cap;
  uint32_t n_usable;
};
struct tmx_planner {
  struct planner_machine **machines;
  size_t cap_machines;
  struct planner_job **jobs;
  size_t cap_jobs;
  struct machine_group *groups;
  size_t n_groups, cap_groups;
  struct planner_job **open_jobs; /* jobs that are not over, in no order */
  size_t n_open_jobs, cap_open_jobs;
  uint64_t round_number;
  double aged_job_credit; /* array tasks that overdue jobs may place first */
  /* slots of the jobs where the round before was cut for what it had looked at, one a part of the
   * order; -1: none */
  int resume_services, resume_oldest, resume_arrays;
};
#endif
