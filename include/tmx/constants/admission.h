/**
 * @file
 * Limits, periods and shares of fair admission. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_ADMISSION_H
#define TMX_CONSTANTS_ADMISSION_H

/**
 * Seconds of the whole cluster's work that may be admitted: three times the longest usual
 * objective.
 */
#define TMX_ADMISSION_BACKLOG_S 900.0
/**
 * Share of the admitted backlog that is reserved for teams and classes; the rest is shared on
 * demand.
 */
#define TMX_ADMISSION_RESERVE_SHARE 0.5
/** Seconds between starts of a class whose work waits, regardless of other demand. */
#define TMX_ADMISSION_START_PERIOD_S 45.0
/**
 * Machines that a round reserves for classes that are due for a start and found no free capacity.
 */
#define TMX_RESERVED_MACHINES_MAX 16
/** Seconds that stand for "never"; longer than any process runs. */
#define TMX_NEVER_S 1.0e9
/**
 * Ratio of the dynamic threshold: a party may use four fifths of what the others leave of a pool.
 */
#define TMX_DYNAMIC_THRESHOLD_ALPHA 4.0
/** Difference of two shares below which they are equal. */
#define TMX_SHARE_EPSILON 1e-6
/** Share of a team's ceiling that is added for jobs that depend on accepted ones. */
#define TMX_PIPELINE_EXTRA_SHARE 0.25
/**
 * Accounts of a team for the classes that no objective names; two such classes share an account
 * with a probability of 1/16.
 */
#define TMX_HASHED_ACCOUNTS 16
/**
 * Seed of the hash of class names to accounts. Any value works, but all versions must use the same
 * one, or controllers decide differently.
 */
#define TMX_ACCOUNT_HASH_SEED 0
/** Seconds of work that a waiting replica counts as: the minimum charge of a machine. */
#define TMX_SERVICE_REPLICA_RUN_S 60.0
/** Seconds; shorter run time estimates count as this, since a start takes as long. */
#define TMX_RUN_ESTIMATE_MIN_S 1.0
/** Thousandths in one. */
#define TMX_MILLI 1000.0
/** Megabytes in one gigabyte. */
#define TMX_MB_PER_GB 1000.0
/**
 * Units of one resource of one job: more than a day of 10,000 CPUs. The sum of nine million such
 * jobs fits the integer type.
 */
#define TMX_JOB_LOAD_MAX 1.0e12
/** Bytes in the log of a job's record and final state. */
#define TMX_LOG_JOB_BYTES 200
/** Bytes in the log of a task's placement and end. */
#define TMX_LOG_TASK_BYTES (2L * TMX_PLACEMENT_LINE_TYPICAL_BYTES)
/** Share of the batches' puts that write values with lines. */
#define TMX_LINE_PUTS_SHARE 0.3
/**
 * Share of the batches' puts that write final states. The puts that remain besides this share and
 * TMX_LINE_PUTS_SHARE rewrite head.
 */
#define TMX_FINAL_STATE_PUTS_SHARE 0.4
/** Share of a controller's memory for jobs that are not over. */
#define TMX_JOBS_MEMORY_SHARE 0.25
/**
 * Share of the ceiling that decides on a submission. If the backlog with the submission is above
 * this share, the submission is committed with a batch only, since all batches rewrite head and two
 * of them conflict.
 */
#define TMX_SINGLE_SUBMISSION_CEILING_SHARE 0.5
/** Share of the bound on the backlog; a larger submission is committed with a batch only. */
#define TMX_SINGLE_SUBMISSION_BACKLOG_SHARE 0.01
/** Seconds in Retry-After at most, before the random part. Users honour up to 30 s. */
#define TMX_ADMISSION_RETRY_MAX_S 20.0
/** Share of Retry-After that is added at random at most, to spread out retries. */
#define TMX_ADMISSION_RETRY_JITTER_SHARE 0.5
/** Seconds between log lines about the accounts. */
#define TMX_ADMISSION_LOG_PERIOD_S 60.0
/** Bins of the histogram of the waits until a start. */
#define TMX_START_WAIT_BINS 64
/** Ratio of the upper bounds of adjacent bins. */
#define TMX_START_WAIT_BIN_FACTOR 1.2
/** Seconds; upper bound of the first bin. */
#define TMX_START_WAIT_FIRST_BIN_S 0.05

#endif
