/**
 * @file
 * The planner: places tasks in greedy rounds over its own tables of machines and jobs.
 *
 * The event loop's thread updates the tables through deltas, see planner_delta.h. A round changes
 * the tables while it plans and restores them when it ends. The operations that are then committed
 * reach the tables with a later delta. A round follows the Poseidon affinity draft, with the
 * changes that docs/design.md lists.
 *
 * The planner does no input or output, reads no clock and takes no lock. A round is deterministic:
 * the same tables and the same input give the same operations in the same order. One thread at a
 * time may use a planner; in a controller only the planner's thread does.
 */
#ifndef TMX_PLANNER_H
#define TMX_PLANNER_H
#include "admission/start_rotation.h"
#include "planner/planner_delta.h"
#include "replica/placement_caps.h"
#include "replica/replica.h"

/** The input of a round besides the tables. The caller owns it; the round only reads it. */
struct tmx_round_input {
  double now_steady,              /**< current time, steady clock, s */
      now_wall;                   /**< current time, wall clock, s */
  int self_member;                /**< index of this controller among the members */
  bool leading;                   /**< this controller is the leader */
  size_t n_zones;                 /**< number of zones in the settings */
  double planning_member_grace_s; /**< s: grace period after unplaced_since, in which the job's
                                     planning member has precedence over the leader */
  struct tmx_usage usage[TMX_TEAMS_MAX];         /**< resources of each team's placed tasks */
  struct tmx_team_settings teams[TMX_TEAMS_MAX]; /**< quotas of each team */
  size_t n_teams;                                /**< entries of `usage` and `teams` in use */
  size_t max_operations;                         /**< limit on the operations of the round */
  size_t max_visits; /**< limit on examined machines and tasks; bounds the time of a round */
  struct tmx_start_rotation start_rotation; /**< time since each account's last start */
};

/** The result of a round. */
struct tmx_round_output {
  struct tmx_operation *operations; /**< in commit order; the caller frees the array */
  size_t n_operations,              /**< entries in use */
      cap_operations;               /**< entries allocated */
  uint32_t unplaced; /**< tasks that were not placed for lack of capacity, or not examined */
  bool truncated;    /**< the round reached a limit: the next round should start immediately */
  size_t visits;     /**< machines and tasks examined */
};

/** The planner with its tables. */
struct tmx_planner;

/** Creates a planner with empty tables. The caller releases it with tmx_planner_free(). */
struct tmx_planner *tmx_planner_new(void);

/** Releases the planner and all memory that it took over from deltas. */
void tmx_planner_free(struct tmx_planner *planner);

/** Applies a delta to the tables. Takes over the delta's memory and leaves the delta empty. */
void tmx_planner_apply(struct tmx_planner *planner, struct tmx_planner_delta *delta);

/**
 * Plans one round. Overwrites `output`, which may be uninitialized.
 *
 * The round restores the machines and jobs in the tables. It keeps the positions at which the next
 * round resumes and the placement credit of aged jobs.
 */
void tmx_planner_run_round(struct tmx_planner *planner, const struct tmx_round_input *input,
                           struct tmx_round_output *output);

/**
 * Returns the cost of a placement before penalties; lower is better. The cost is the booked share
 * of the job's dominant resource, plus up to 3 for the time until the job's image is on the
 * machine. The dominant resource is the one of which a task requests the largest share of the
 * machine.
 *
 * The draft picks the least used machine within a zone. The cost of the image fetch is an addition
 * to the draft, see docs/design.md. Pure function; public for the tests.
 *
 * @param machine the machine; its size, booked resources and images are read
 * @param spec specification of the job
 * @param now current time, steady clock, s
 */
double tmx_base_placement_cost(const struct tmx_plan_machine *machine,
                               const struct tmx_job_spec *spec, double now);

#endif
