/**
 * @file
 * The planner: one greedy round of placement after the other, over tables of its own.
 *
 * The tables hold machines and jobs as the loop's thread last described them, see planner_delta.h.
 * A round plans on these tables and undoes its own steps at its end: only what is committed comes
 * back, with the next delta. The course of a round follows the Poseidon affinity draft, with the
 * changes that docs/design.md lists.
 *
 * No input or output, no clocks, no locks: the same tables and the same input give the same
 * operations in the same order. One thread at a time may use a planner; in a controller that is the
 * planner's thread alone.
 */
#ifndef TMX_PLANNER_H
#define TMX_PLANNER_H
#include "admission/start_rotation.h"
#include "planner/planner_delta.h"
#include "replica/placement_caps.h"
#include "replica/replica.h"

/** What a round depends on besides the tables. The caller owns it; the round only reads it. */
struct tmx_round_input {
  double now_steady,          /**< steady clock, s */
      now_wall;               /**< time of day, s */
  int self_member;            /**< index of this controller among the members */
  bool leading;               /**< this controller is the leader */
  size_t n_zones;             /**< zones that the settings name */
  double own_planner_grace_s; /**< s: so long the member that plans a job goes before the leader */
  struct tmx_usage usage[TMX_TEAMS_MAX];         /**< resources that each team has placed */
  struct tmx_team_settings teams[TMX_TEAMS_MAX]; /**< quotas of the teams */
  size_t n_teams;                                /**< entries of `usage` and `teams` in use */
  size_t max_operations;                         /**< operations emitted by the round, at most */
  size_t max_visits;      /**< machines and tasks looked at, at most: bounds the time of a round */
  struct tmx_turns turns; /**< how long each account has gone without a start */
};

/** What a round planned. */
struct tmx_round_output {
  struct tmx_operation *operations; /**< in the order to be committed; the caller frees the array */
  size_t n_operations,              /**< entries in use */
      cap_operations;               /**< entries allocated */
  uint32_t unplaced;                /**< tasks that found no room, or were not looked at */
  bool truncated; /**< a bound of the round was reached: the next one is due at once */
  size_t visits;  /**< machines and tasks looked at */
};

/** The planner's tables. */
struct tmx_planner;

/** A planner with empty tables; released by tmx_planner_free(). */
struct tmx_planner *tmx_planner_new(void);

/** Releases the planner and everything that it took over from deltas. */
void tmx_planner_free(struct tmx_planner *planner);

/** Brings the tables up to date. Takes over the delta's memory and leaves the delta empty. */
void tmx_planner_apply(struct tmx_planner *planner, struct tmx_planner_delta *delta);

/**
 * Plans one round. Overwrites `output`, which need not be initialized.
 *
 * Afterwards the tables are as before, apart from where the next round resumes and from the credit
 * of jobs that have aged.
 */
void tmx_planner_run_round(struct tmx_planner *planner, const struct tmx_round_input *input,
                           struct tmx_round_output *output);

/**
 * How full the machine is in the eyes of the job, lower is better: the booked share of the resource
 * of which the job asks the largest part, plus up to 3 for the image that must still be fetched.
 *
 * The draft picks the least used machine within a zone; counting the fetch is a change of ours, see
 * docs/design.md. Pure; public for the tests.
 *
 * @param machine its size, what is booked on it and the images it has
 * @param spec of the job
 * @param now steady clock, s
 */
double tmx_booked_share(const struct tmx_plan_machine *machine, const struct tmx_job_spec *spec,
                        double now);

#endif
