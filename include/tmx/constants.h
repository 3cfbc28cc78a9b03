/**
 * @file
 * The limits, periods and shares that the program uses, each with its unit and the reason for its
 * value. Values that depend on a deployment are derived from its settings instead. A share is a
 * fraction from 0 to 1. A name that ends in MAX denotes an upper limit, also where its comment does
 * not say "at most".
 */
#ifndef TMX_CONSTANTS_H
#define TMX_CONSTANTS_H
#include <stddef.h>

/** @name Sizes of messages and tables */
/** @{ */
/** Bytes of a request's body; the limit is set by PROTOCOL. */
#define TMX_REQUEST_BODY_BYTES_MAX 65536
/**
 * Bytes of a response's body. PROTOCOL sets no limit for the response of a watch; this limit bounds
 * the memory that the response takes.
 */
#define TMX_RESPONSE_BODY_BYTES_MAX (24u << 20)
/** Levels of nesting in a CBOR item; no message of PROTOCOL nests deeper than 5. */
#define TMX_CBOR_DEPTH_MAX 16
/** Bytes of a buffer for a request's path with its query; a store key has at most 200 bytes. */
#define TMX_PATH_BYTES 512
/** Bytes of a buffer for the name of a controller, zone, team, class or image. */
#define TMX_NAME_BYTES 64
/** Bytes of a buffer for the id of a job or the name of a machine or machine type. */
#define TMX_ID_BYTES 32
/** Tasks of one job; the limit is set by PROTOCOL. */
#define TMX_JOB_TASKS_MAX 100000
/** Zones in the settings; each job has a counter for each of them. */
#define TMX_ZONES_MAX 16
/** Machine types in the catalogue; further ones are ignored. */
#define TMX_MACHINE_TYPES_MAX 32
/** Controllers in one view. */
#define TMX_MEMBERS_MAX 16
/**
 * Sockets reserved for listening and for connections to the store, to the cloud and, in both
 * directions, to peers; at most half of all sockets are reserved.
 */
#define TMX_RESERVED_SOCKETS 120
/**
 * Share of the unreserved sockets that is for connections to workers; the rest is for incoming
 * connections.
 */
#define TMX_WORKER_SOCKETS_SHARE 0.23
/**
 * Seconds before an idle incoming connection is closed, unless TMX_IDLE_CONNECTION_REPORT_PERIODS
 * is longer.
 */
#define TMX_IDLE_CONNECTION_TIMEOUT_S 60.0
/**
 * Report periods before an idle incoming connection is closed, so that a worker's connection stays
 * open until it has missed this many reports.
 */
#define TMX_IDLE_CONNECTION_REPORT_PERIODS 4.0
/**
 * Seconds that a connection must have been idle to be closed in favour of a new one when all
 * sockets are in use.
 */
#define TMX_IDLE_CONNECTION_EVICTION_MIN_S 1.0
/**
 * Seconds without further data after which a connection that has received only part of a request is
 * closed. Each part that arrives restarts the time, so the whole request may take longer.
 */
#define TMX_REQUEST_STALL_TIMEOUT_S 15.0
/** @} */

/** @name Key-value store */
/** @{ */
/**
 * Seconds of a member's write rate that its token bucket holds, so that the bursts of all members
 * together stay within the store's burst of one second.
 */
#define TMX_WRITE_BURST_S 1.0
/**
 * Writes that a member's token bucket holds at least: a batch with two values, head and the final
 * state of a job.
 */
#define TMX_WRITE_BURST_MIN 4.5
/** Seconds; time constant of the moving average of all members' writes. */
#define TMX_RECENT_WRITES_DECAY_S 3.0
/**
 * Share of the store's write rate below which the write load is low: no member then waits for its
 * commit slot.
 */
#define TMX_LOW_WRITE_LOAD_SHARE 0.35
/** Share of the store's burst that a member leaves to the other members under low load. */
#define TMX_STORE_BURST_RESERVED_SHARE 0.4
/** Share of the store's burst; tokens above this share count as unused by all members. */
#define TMX_STORE_BURST_UNUSED_ABOVE_SHARE 0.5
/** Writes of a typical batch, which set the length of a commit slot. */
#define TMX_COMMIT_SLOT_WRITES 2.4
/**
 * Share of a commit slot within which a round may begin; the rest allows for planning, sending and
 * clock differences.
 */
#define TMX_COMMIT_SLOT_START_SHARE 0.45
/** Submissions that wait to be committed; further ones are refused immediately. */
#define TMX_PENDING_SUBMISSIONS_MAX 400
/** Waiting submissions up to which each is committed on its own rather than with a batch. */
#define TMX_SINGLE_SUBMISSIONS_MAX 2
/**
 * Conflicts of a submission that is committed on its own; after this many it is committed with a
 * batch.
 */
#define TMX_SINGLE_SUBMISSION_CONFLICTS_MAX 4
/**
 * Milliseconds before a member's lease expires. A peer that refuses connections is detected sooner.
 */
#define TMX_LEASE_TTL_MS 6000
/** Seconds between renewals of the lease, which allows five attempts before it expires. */
#define TMX_LEASE_RENEWAL_PERIOD_S 1.2
/** Seconds after which the response to a commit counts as slow. */
#define TMX_STORE_SLOW_RESPONSE_S 0.05
/**
 * Seconds to wait for a response of the store; responses usually take 10 ms and at times a few
 * hundred.
 */
#define TMX_STORE_TIMEOUT_S 2.0
/** Milliseconds that a watch stays open; long, since an idle watch costs nothing. */
#define TMX_WATCH_WAIT_MS 15000
/** Share of the store's request rate for opening watches. */
#define TMX_WATCH_REQUEST_RATE_SHARE 0.45
/** Seconds of the rate of opening watches that the token bucket holds. */
#define TMX_WATCH_BURST_S 0.4
/** Share of the store's request rate for revision reads; all waiting requests share one read. */
#define TMX_READ_INDEX_REQUEST_RATE_SHARE 0.3
/** Seconds between revision reads at most, so that the age of the replica is known. */
#define TMX_READ_INDEX_PERIOD_MAX_S 1.0
/** Seconds that a watch may lag behind a revision read before it is reopened. */
#define TMX_WATCH_LAG_MAX_S 0.7
/** Seconds to wait after an error of the store. */
#define TMX_STORE_RETRY_DELAY_S 0.3
/** Bytes of a transaction, counted as JSON; PROTOCOL allows 64 KiB. */
#define TMX_TRANSACTION_JSON_BYTES_MAX 49152
/** Share of the largest allowed value, counted as JSON, that is used. */
#define TMX_VALUE_USED_SHARE 0.9
/** Bytes of JSON syntax around a list, a value or a condition. */
#define TMX_JSON_OVERHEAD_BYTES 64
/** Share by which the rates of the monotonic clocks of different machines differ at most. */
#define TMX_CLOCK_DRIFT_SHARE_MAX 0.0005
/**
 * Seconds deducted from cancel_s - lease_s to bound the age of the replica at which a lease is
 * renewed. A lease counts from the time at which the report was sent, which is before the response,
 * so only clock drift has to be allowed for. More is deducted if cancel_s is so long that clock
 * drift requires it.
 */
#define TMX_FRESHNESS_MARGIN_S 1.0
/**
 * Seconds; settings that leave a smaller bound on the age of the replica are refused, since
 * revisions are read once a second and some reads are slow.
 */
#define TMX_FRESHNESS_BOUND_MIN_S 2.0
/**
 * Seconds; no task is started while the replica is older, since another controller may have
 * cancelled its job.
 */
#define TMX_START_REPLICA_AGE_MAX_S 2.5
/**
 * Batch keys since the last compaction that trigger the next one: about 1 MB, which a starting
 * controller reads within a second.
 */
#define TMX_COMPACTION_BATCH_KEYS 1500
/** Share of a member's write burst that must be available for a step of a compaction. */
#define TMX_COMPACTION_FREE_BUDGET_SHARE 0.5
/**
 * Seconds without a revision read, after which the heartbeats of the peers are used to determine
 * whether the store answers them.
 */
#define TMX_STORE_UNREACHABLE_S 3.5
/** @} */

/** @name Scheduling rounds */
/** @{ */
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
/** @} */

/** @name Event loop */
/** @{ */
/** Seconds between ticks, which run work that no event triggers. */
#define TMX_TICK_PERIOD_S 0.1
/**
 * Seconds; after a tick that is later than this, timeouts of this controller are no evidence of
 * failures of other machines.
 */
#define TMX_LOOP_LATE_S 0.2
/** @} */

/** @name Workers */
/** @{ */
/** Bits of a fencing token below the view's term; they hold the sequence number of one machine. */
#define TMX_TOKEN_SEQUENCE_BITS 24
/** Largest sequence number of a machine's fencing token in one term. */
#define TMX_TOKEN_SEQUENCE_MAX ((1u << TMX_TOKEN_SEQUENCE_BITS) - 1)
/** Seconds without a response to a command, after which the machine's fencing token is raised. */
#define TMX_COMMAND_TIMEOUT_S 1.5
/** Bytes in one megabyte. */
#define TMX_BYTES_PER_MB 1e6
/** Share of a controller's memory for the machines that it knows at a time. */
#define TMX_WORKERS_MEMORY_SHARE 0.4
/**
 * Bytes of a machine with its tasks, images and buffers; a measurement gave 12 MB for 2,187
 * machines.
 */
#define TMX_WORKER_BYTES 2500
/**
 * Share of a controller's memory for names of removed machines, so that late reports do not
 * register them again.
 */
#define TMX_REMOVED_MACHINES_MEMORY_SHARE 0.05
/** Bytes of the table entry for the name of a removed machine. */
#define TMX_REMOVED_MACHINE_BYTES 160
/** Seconds between log lines with the numbers of messages from and to the workers. */
#define TMX_TRAFFIC_LOG_PERIOD_S 10.0
/** Commands in one message to a worker. */
#define TMX_MESSAGE_COMMANDS_MAX 400
/**
 * Seconds; a worker that returns this long after a redirect cannot reach its owner, since a worker
 * waits 4 s for a response. Another controller takes the worker over.
 */
#define TMX_FAILOVER_REDIRECT_AGE_MIN_S 3.5
/**
 * Seconds after a redirect within which the worker's return shows that it cannot reach its owner.
 */
#define TMX_FAILOVER_REDIRECT_AGE_MAX_S 20.0
/**
 * Seconds without contact between a worker and its owner, after which the worker is taken over
 * without waiting for TMX_FAILOVER_REDIRECT_AGE_MIN_S.
 */
#define TMX_FAILOVER_CONTACT_TIMEOUT_S 2.0
/** Machines taken over in one view. */
#define TMX_FAILOVER_MACHINES_MAX 200
/** Seconds that a report waits for the view that takes its worker over. */
#define TMX_FAILOVER_REPORT_WAIT_S 0.6
/** Seconds between two views of one controller at least. */
#define TMX_VIEW_SPACING_MIN_S 0.15
/** Seconds beyond 1.25 times report_s after which a report is missing. */
#define TMX_REPORT_LATE_MARGIN_S 1.0
/** Seconds without proof that a machine can be reached, after which it is probed. */
#define TMX_PROBE_AFTER_S 0.6
/** Share of the controller's processor time for probes. */
#define TMX_PROBE_CPU_SHARE 0.12
/** Seconds of processor time for one probe. */
#define TMX_PROBE_CPU_S 0.00025
/** Seconds to wait for the response to a probe, and between probes of a suspect. */
#define TMX_PROBE_TIMEOUT_S 0.5
/**
 * Seconds for which a leader that reclaims machines treats a zone as partitioned after the last
 * sign of a partition.
 */
#define TMX_RECLAIM_PARTITION_HOLD_S 4.0
/**
 * Seconds; if a machine had been without contact for longer than this when this controller became
 * leader, the previous leader applied the grace period of the zone to it.
 */
#define TMX_INHERITED_CONTACT_LOSS_S 8.0
/** Consecutive lost probes after which a machine can be declared dead. */
#define TMX_PROBES_LOST_MIN 3
/**
 * Seconds without any other sign of life that are also required before a machine is declared dead.
 */
#define TMX_MACHINE_CONTACT_TIMEOUT_S 1.5
/**
 * Seconds; a machine counts as alive if its last sign of life is more recent. The window is shorter
 * than the time that it takes to lose a machine.
 */
#define TMX_LIVENESS_WINDOW_S 1.2
/** Share of the probes for suspects, so that the other machines are still probed. */
#define TMX_SUSPECT_PROBES_SHARE 0.6
/** Times that the probe period of a lost machine doubles. */
#define TMX_PROBE_PERIOD_DOUBLINGS_MAX 3
/**
 * Multiple of lease_s: the time for which a machine may remain unacknowledged after contact with it
 * is restored.
 */
#define TMX_RECOVERY_GRACE_LEASES 0.2
/**
 * Machines that a controller must own at least before the loss of contact with them shows that its
 * own connection has failed.
 */
#define TMX_REACHABILITY_MACHINES_MIN 4
/** Seconds between two inspections of all machines. */
#define TMX_RECLAIM_PERIOD_S 0.25
/**
 * Seconds in which a new leader establishes contact with its peers and the workers, before it
 * deletes or drains machines.
 */
#define TMX_LEADER_SETTLE_S 3.0
/** Consecutive errors, of two jobs or more, that make a machine faulty. */
#define TMX_FAULTY_MACHINE_ERRORS 4
/**
 * Seconds of the first backoff of a job whose tasks fail. It doubles with each consecutive failure.
 */
#define TMX_JOB_BACKOFF_MIN_S 0.5
/** Seconds of the longest backoff of a job whose tasks fail. */
#define TMX_JOB_BACKOFF_MAX_S 30.0
/** @} */

/** @name Peers */
/** @{ */
/** Seconds between heartbeats. */
#define TMX_HEARTBEAT_PERIOD_S 0.4
/** Seconds without a heartbeat after which a peer that refuses connections is considered dead. */
#define TMX_HEARTBEAT_DEAD_S 1.3
/**
 * Seconds after which a heartbeat expires: its contents are ignored, and the peer counts as lost.
 */
#define TMX_HEARTBEAT_EXPIRY_S 2.5
/**
 * Seconds without a heartbeat after which a peer is excluded from the view, if at least half of the
 * other peers are alive.
 */
#define TMX_PEER_HEARTBEAT_TIMEOUT_S 3.5
/** Seconds; a peer whose last batch is more recent is alive even if it refuses connections. */
#define TMX_RECENT_BATCH_AGE_MAX_S 1.6
/**
 * Seconds for which the zones must have been in contact before the view no longer treats them as
 * partitioned.
 */
#define TMX_VIEW_PARTITION_HOLD_S 5.0
/** @} */

/** @name Users */
/** @{ */
/** Seconds that a poll waits before it is refused; users wait 2 s. */
#define TMX_POLL_WAIT_MAX_S 1.5
/** Seconds that a submission waits before it is refused; users wait 5 s. */
#define TMX_SUBMISSION_WAIT_MAX_S 2.5
/** Seconds in Retry-After at least. */
#define TMX_RETRY_AFTER_MIN_S 1
/** Seconds; the random part of Retry-After is less than this. The random part spreads retries. */
#define TMX_RETRY_AFTER_JITTER_S 2
/**
 * Seconds without an answer to any user about a job, after which polls for the job have priority
 * under overload.
 */
#define TMX_POLL_PRIORITY_AFTER_S 20.0
/**
 * Requests that wait for a revision read; further ones are refused immediately. Polls without
 * priority are refused at half of this number.
 */
#define TMX_WAITING_REQUESTS_MAX 400
/** @} */

/** @name Cloud */
/** @{ */
/** Seconds to wait for a response of the cloud. */
#define TMX_CLOUD_TIMEOUT_S 5.0
/** Seconds between reads of the catalogue, since prices change. */
#define TMX_CATALOG_READ_PERIOD_S 60.0
/** Seconds between reads of the catalogue until one has succeeded. */
#define TMX_CATALOG_RETRY_DELAY_S 0.5
/** Seconds between reads of the list of instances by the leader. */
#define TMX_INSTANCE_LIST_PERIOD_S 2.0
/** Seconds between two decisions to scale out. */
#define TMX_SCALE_OUT_PERIOD_S 1.0
/**
 * Seconds of the first backoff of an offer (a type, zone and kind) that was refused. It doubles
 * with each refusal.
 */
#define TMX_OFFER_BACKOFF_MIN_S 15.0
/** Seconds of the longest backoff of an offer. */
#define TMX_OFFER_BACKOFF_MAX_S 120.0
/** Seconds before an empty machine is returned; the minimum charge is 60 s. */
#define TMX_IDLE_RETURN_S 75.0
/**
 * Seconds over which the peak demand is taken. Capacity is kept for this peak. The period equals
 * the minimum charge of a machine and is longer than a boot.
 */
#define TMX_PEAK_DEMAND_WINDOW_S 60
/** Seconds between two observations of the demand; after a longer gap the peak is unknown. */
#define TMX_DEMAND_GAP_MAX_S 5
/** Share of capacity kept above the peak demand; less with more than 100 machines. */
#define TMX_PEAK_MARGIN_SHARE_MAX 0.1
/**
 * Multiple of a machine's service CPUs that must be free on other machines of its zone before the
 * machine is drained.
 */
#define TMX_MOVE_CAPACITY_FACTOR 2.0
/**
 * Share of the zone's part of the peak demand that must be free in addition to
 * TMX_MOVE_CAPACITY_FACTOR.
 */
#define TMX_MOVE_CAPACITY_SHARE_MAX 0.2
/** Seconds between two selections of machines to drain. */
#define TMX_DRAIN_PERIOD_S 3.0
/** Share of all CPUs in one selection of machines to drain; one machine may always be selected. */
#define TMX_DRAIN_CPUS_SHARE 0.03
/** Seconds; a backlog that the present machines complete within this time needs no new machines. */
#define TMX_BACKLOG_CLEAR_S 10.0
/**
 * Share of the rented CPUs; if the waiting tasks request less, they are no reason to keep machines.
 */
#define TMX_WAITING_CPUS_SHARE 0.02
/** Share of all CPUs that may be on machines that wait for replicas to leave them. */
#define TMX_DRAINING_CPUS_SHARE_MAX 0.15
/** Machines in one rental request; the limit is set by PROTOCOL. */
#define TMX_RENTAL_REQUEST_MACHINES_MAX 50
/** Machines requested of one offer (a type, zone and kind) in one decision to scale out. */
#define TMX_SCALE_OUT_OFFER_MACHINES_MAX 150
/** Machines requested in one decision to scale out. */
#define TMX_SCALE_OUT_MACHINES_MAX 1024
/** Machines in one request to delete; the limit is set by PROTOCOL. */
#define TMX_DELETION_REQUEST_MACHINES_MAX 100
/** Multiple of lease_s; a machine that reports but cannot be reached for this time is replaced. */
#define TMX_UNACKNOWLEDGED_LEASES 0.5
/**
 * Seconds, in addition to two report periods, after which a machine that is listed as running and
 * has never reported is replaced.
 */
#define TMX_FIRST_HEARTBEAT_TIMEOUT_S 25.0
/** Multiple of boot_s after which a machine that is still booting is returned. */
#define TMX_BOOT_LATE_FACTOR 4.0
/** Seconds between log lines about rented and used capacity. */
#define TMX_USAGE_LOG_PERIOD_S 10.0
/** Share of the capacity booked by services that is kept free for restarts. */
#define TMX_SERVICE_HEADROOM_SHARE 0.08
/** @} */

/** @name Admission */
/** @{ */
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
/** @} */

#endif
