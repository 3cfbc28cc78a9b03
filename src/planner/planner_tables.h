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
  struct tmx_resources booked, /**< held by all tasks placed on it */
      releasing;               /**< part of that: tasks that are stopping */
  size_t n_tasks;              /**< entries of record.tasks in use */
};

/** A machine as the planner knows it. */
struct planner_machine {
  struct tmx_plan_machine record; /**< as described; a round changes it and undoes that */
  size_t cap_tasks;               /**< capacity of record.tasks */
  int group;                      /**< index of its group; -1: too little is known to place on it */
  size_t index_in_group;          /**< where its slot stands in the group */
  uint64_t touched_in_round;      /**< number of the latest round that changed it */
  struct machine_snapshot snapshot; /**< as it was before that round */
};

/** A job as the planner knows it. */
struct planner_job {
  struct tmx_plan_job record; /**< as described; a round changes it and undoes that */
  double order;               /**< of an array in this round, lower first, see job_order.h */
  uint32_t older_in_account;  /**< jobs of its account that have waited longer than this one */
  bool guaranteed;            /**< in this round: covered by its team's guaranteed quota */
  bool in_open_jobs;          /**< listed in tmx_planner::open_jobs */
  size_t next_waiting;        /**< in this round: index of the first waiting task not yet planned */
  uint64_t touched_in_round;  /**< number of the latest round that changed it */
  uint32_t saved_placed_in_zone[TMX_ZONES_MAX]; /**< as it was before that round */
};

/** All machines of one type, zone and kind (spot or not): they are eligible for a job together. */
struct machine_group {
  char type[TMX_ID_MAX];     /**< name of the machine type */
  int zone;                  /**< index of the zone */
  bool spot;                 /**< may be taken back by its provider */
  struct tmx_resources size; /**< of each machine */
  int *slots;                /**< of its machines; allocated, owned by the group */
  size_t n_machines,         /**< entries of `slots` in use */
      cap_machines;          /**< entries allocated */
  uint32_t n_usable;         /**< machines that are usable and not draining */
};

/** The planner owns all that its tables point to. */
struct tmx_planner {
  struct planner_machine **machines; /**< by slot; NULL: no such machine */
  size_t cap_machines;               /**< entries allocated */
  struct planner_job **jobs;         /**< by slot; NULL: no such job */
  size_t cap_jobs;                   /**< entries allocated */
  struct machine_group *groups;      /**< by planner_machine::group */
  size_t n_groups,                   /**< entries in use */
      cap_groups;                    /**< entries allocated */
  struct planner_job **open_jobs;    /**< jobs that have work to place, in no order */
  size_t n_open_jobs,                /**< entries in use */
      cap_open_jobs;                 /**< entries allocated */
  uint64_t round_number;             /**< rounds begun so far; 0: none yet */
  double aged_job_credit; /**< tasks of arrays that jobs which have aged may place first */
  /* Slots of the jobs at which the next round resumes, for each part of a round that stops when it
   * has looked at too much; -1: at the beginning. */
  int resume_production,  /**< slot, or -1: jobs of production precedence */
      resume_not_started, /**< slot, or -1: aged jobs that have not started */
      resume_others;      /**< slot, or -1: all other jobs */
};

#endif
