/**
 * @file
 * The planner's tables of machines and jobs. Internal to src/planner.
 */
#ifndef TMX_PLANNER_TABLES_H
#define TMX_PLANNER_TABLES_H
#include "planner/planner.h"
#include "planner/resources.h"

/** The state of a machine before the round, as far as a round changes it. */
struct machine_snapshot {
  struct tmx_resources booked, /**< resources of all tasks placed on it */
      releasing;               /**< part of `booked` that stopping tasks hold */
  size_t n_tasks;              /**< entries of record.tasks in use */
};

/** A machine in the planner's tables. */
struct planner_machine {
  struct tmx_plan_machine record; /**< from the latest delta; a round changes and restores it */
  size_t cap_tasks;               /**< capacity of record.tasks */
  int group;               /**< index of its group; -1: none, since its zone or size is unknown */
  size_t index_in_group;   /**< position of its slot in machine_group::slots */
  uint64_t snapshot_round; /**< number of the latest round that saved `snapshot` */
  struct machine_snapshot snapshot; /**< its state before that round */
};

/** A job in the planner's tables. */
struct planner_job {
  struct tmx_plan_job record; /**< from the latest delta; a round changes and restores it */
  double sort_key;            /**< in this round: remaining work, CPU seconds, with a penalty if the
                                 job is late; lower first */
  uint32_t older_in_account;  /**< number of older jobs of its account in the rotation */
  bool guaranteed;            /**< in this round: covered by its team's guaranteed quota */
  bool in_open_jobs;          /**< listed in tmx_planner::open_jobs */
  size_t next_waiting;        /**< in this round: index of the next waiting task to plan */
  uint64_t snapshot_round;    /**< number of the latest round that saved `saved_placed_in_zone` */
  uint32_t saved_placed_in_zone[TMX_ZONES_MAX]; /**< record.placed_in_zone before that round */
};

/** The machines of one type, zone and kind (spot or on demand). A job is eligible for all machines
 * of a group or for none. */
struct machine_group {
  char type[TMX_ID_BYTES];   /**< name of the machine type */
  int zone;                  /**< index of the zone */
  bool spot;                 /**< spot instances: the provider may reclaim them */
  struct tmx_resources size; /**< resources of each machine */
  int *slots;                /**< slots of its machines; allocated, owned by the group */
  size_t n_machines,         /**< entries of `slots` in use */
      cap_machines;          /**< entries allocated */
  uint32_t n_schedulable;    /**< machines that are usable and not draining */
};

/** The planner and its tables. It owns all memory that the tables point to. */
struct tmx_planner {
  struct planner_machine **machines; /**< by slot; NULL: no such machine */
  size_t cap_machines;               /**< entries allocated */
  struct planner_job **jobs;         /**< by slot; NULL: no such job */
  size_t cap_jobs;                   /**< entries allocated */
  struct machine_group *groups;      /**< indexed by planner_machine::group */
  size_t n_groups,                   /**< entries in use */
      cap_groups;                    /**< entries allocated */
  struct planner_job **open_jobs;    /**< jobs whose record is open, unordered */
  size_t n_open_jobs,                /**< entries in use */
      cap_open_jobs;                 /**< entries allocated */
  uint64_t round_number;             /**< number of rounds started; 0: none */
  double aged_job_credit; /**< tasks that aged jobs may place before others, see ageing.h */
  /* Positions at which the next round resumes the parts that stopped at the visit limit. Each
   * position is the slot of a job; -1: the part starts with its first job. */
  int resume_production,  /**< in the jobs of production precedence */
      resume_not_started, /**< in the aged jobs without a start */
      resume_others;      /**< in all other jobs */
};

#endif
