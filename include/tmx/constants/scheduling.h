/**
 * @file
 * Limits, periods and shares of scheduling rounds. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_SCHEDULING_H
#define TMX_CONSTANTS_SCHEDULING_H
#include <stddef.h>

/** Bytes of a buffer for a line of the log, which has at most four names. */
#define TMX_LOG_LINE_BYTES 256
/**
 * Bytes of a typical placement that has its own line; they limit how many operations are planned in
 * one round.
 */
#define TMX_PLACEMENT_LINE_TYPICAL_BYTES 26
/** Bytes of a typical placement that shares a line with others of the same job. */
#define TMX_PLACEMENT_ITEM_TYPICAL_BYTES 13
/** Seconds between two rounds of one controller at least. */
#define TMX_ROUND_SPACING_MIN_S 0.03
/** Seconds before the next round if a round was truncated and had nothing to commit. */
#define TMX_EMPTY_ROUND_RETRY_DELAY_S 0.1
/** Writes of the smallest batch: slightly more than the two of one value and head. */
#define TMX_BATCH_WRITES_MIN 2.05
/** Jobs whose final state is written in one batch. */
#define TMX_BATCH_FINISHED_JOBS_MAX 64
/**
 * Times that a batch is sent again after a conflict on head; then the round ends and a new one is
 * planned.
 */
#define TMX_BATCH_RESENDS_MAX 6
/** Machines registered in one batch. */
#define TMX_BATCH_REGISTRATIONS_MAX 256
/**
 * Bytes of the planner thread's stack; small, since memory is limited and a round does not recurse.
 */
#define TMX_PLANNER_STACK_BYTES ((size_t)512 << 10)
/** Seconds that a round may plan, at the controller's share of a core. */
#define TMX_ROUND_PLANNING_S 0.1
/** Seconds of processor time in which a round examines one machine or task. */
#define TMX_PLANNER_VISIT_CPU_S 5e-8
/** Machines and tasks that a round examines at most: about 20 ms of a core. */
#define TMX_ROUND_VISITS_MAX 400000
/**
 * Machines and tasks that a round may examine at least, so that a single job finds its machine even
 * if the controller has a small share of a core.
 */
#define TMX_ROUND_VISITS_MIN 20000
/**
 * Seconds that a job waits before it is aged and gets a first task, so that the largest jobs begin
 * within 4 minutes.
 */
#define TMX_AGED_JOB_WAIT_S 150.0
/** Share of the placed tasks that goes to aged jobs. */
#define TMX_AGED_JOB_SHARE 0.1
/**
 * Replicas of services that may be down at a time because machines are drained, in addition to
 * TMX_SERVICE_MOVES_SHARE.
 */
#define TMX_SERVICE_MOVES_BASE 2
/**
 * Share of all replicas that may be down at a time because machines are drained, in addition to
 * TMX_SERVICE_MOVES_BASE.
 */
#define TMX_SERVICE_MOVES_SHARE 0.006
/**
 * Seconds after which a round runs even without an event: the round period in the draft of the
 * paper.
 */
#define TMX_ROUND_PERIOD_MAX_S 2.0
/** Seconds that completions wait so that several share a batch. */
#define TMX_COMPLETIONS_DELAY_S 0.25
/**
 * Seconds for which only a job's own controller places its tasks, in addition to one cycle of
 * commit slots.
 */
#define TMX_PLANNING_MEMBER_GRACE_S 0.2
/**
 * Share of the store's write rate for batches; the rest allows for the writes of batches that
 * conflict.
 */
#define TMX_BATCH_WRITE_RATE_SHARE 0.8
/** Share of the store's write rate for submissions that are committed on their own. */
#define TMX_SINGLE_SUBMISSION_WRITE_RATE_SHARE 0.08
/** Submissions that one member may commit on their own in a burst. */
#define TMX_SINGLE_SUBMISSION_BURST 3.0
/**
 * Seconds; for a class without a start objective, an image fetch of this length weighs as much as a
 * full machine.
 */
#define TMX_FETCH_TOLERANCE_S 10.0
/**
 * Seconds after which a job counts as late if its class has no objective and it has no deadline.
 */
#define TMX_DEFAULT_OBJECTIVE_S 600.0
/** Ended attempts that one round commits. */
#define TMX_ROUND_COMPLETIONS_MAX 512
/** Classes whose run times are estimated. */
#define TMX_RUN_ESTIMATES_MAX 32
/** Tasks of a class that must have ended before the users' estimates are corrected. */
#define TMX_RUN_ESTIMATE_SAMPLES_MIN 8
/** Tasks over which the correction is averaged. */
#define TMX_RUN_ESTIMATE_SAMPLES_MAX 200
/**
 * Natural logarithm; bounds the ratio of run time to estimate of one task to a factor of about 7.
 */
#define TMX_RUN_ESTIMATE_LOG_BOUND 2.0
/** Tasks of one job that are planned in one round. */
#define TMX_ROUND_JOB_TASKS_MAX 400

#endif
