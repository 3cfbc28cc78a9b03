/**
 * @file
 * The planner's tables of machines and jobs: internal to src/planner.
 */
#ifndef TMX_PLANNER_TABLES_H
#define TMX_PLANNER_TABLES_H
#include "planner/planner.h"
#include "planner/resources.h"

/** What a round changes of a machine, as it was before. */
struct machine_snapshot {
  struct tmx_resources booked, releasing;
  size_t n_tasks;
};

/** A machine as the planner knows it. */
struct planner_machine {
  struct tmx_plan_machine record; /**< as described; a round changes it and undoes that */
  size_t cap_tasks;               /**< capacity of record.tasks */
  int group;                      /**< index of its group; -1: too little is known to place on it */
  size_t index_in_group;          /**< where its slot stands in the group */
  uint64_t touched_in_round;      /**< number of the latest round that changed it */
  struct machine_snapshot snapshot;
};

/** A job as the planner knows it. */
struct planner_job {
  struct tmx_plan_job record; /**< as described; a round changes it and undoes that */
  double order;               /**< of an array in this round, lower first, see job_order.h */
  uint32_t older_in_account;  /**< jobs of its account that have waited longer than this one */
  bool guaranteed;            /**< in this round: covered by its team's guaranteed quota */
  bool in_open_jobs;
  size_t next_waiting;       /**< in this round: index of the first waiting task not yet planned */
  uint64_t touched_in_round; /**< number of the latest round that changed it */
  uint32_t saved_placed_in_zone[TMX_ZONES_MAX]; /**< as it was before that round */
};

/** All machines of one type, zone and kind (spot or not): they are eligible for a job together. */
struct machine_group {
  char type[TMX_ID_MAX];
  int zone;
  bool spot;
  struct tmx_resources size; /**< of each machine */
  int *slots;
  size_t n_machines, cap_machines;
  uint32_t n_usable; /**< machines that are usable and not draining */
};

/** The planner owns all that its tables point to. */
struct tmx_planner {
  struct planner_machine **machines; /**< by slot; NULL: no such machine */
  size_t cap_machines;
  struct planner_job **jobs; /**< by slot; NULL: no such job */
  size_t cap_jobs;
  struct machine_group *groups;
  size_t n_groups, cap_groups;
  struct planner_job **open_jobs; /**< jobs that have work to place, in no order */
  size_t n_open_jobs, cap_open_jobs;
  uint64_t round_number;
  double aged_job_credit; /**< tasks of arrays that jobs which have aged may place first */
  /** Slots of the jobs at which the next round resumes, for each part of a round that stops when it
   * has looked at too much; -1: at the beginning. The parts: jobs of production precedence, aged
   * jobs that have not started, all others. */
  int resume_production, resume_not_started, resume_others;
};

#endif
