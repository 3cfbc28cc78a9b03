/**
 * @file
 * Every constant of the program, with its unit and the reason for its value. What depends on a
 * deployment is derived from its settings instead.
 */
#ifndef TMX_CONSTANTS_H
#define TMX_CONSTANTS_H
#include <stddef.h>

/** @name Sizes of messages and tables */
/** @{ */
/** Bytes of a request's body: the limit of PROTOCOL. */
#define TMX_BODY_MAX 65536
/** Bytes of a response. A watch has no limit of its own, memory has. */
#define TMX_REPLY_MAX (24u << 20)
/** Levels of nesting; no message of PROTOCOL nests deeper than 5. */
#define TMX_CBOR_DEPTH 16
/** Bytes of a request's path; a key of the store has at most 200. */
#define TMX_PATH_MAX 512
/** Bytes of the name of a controller, zone, team, class or image. */
#define TMX_NAME_MAX 64
/** Bytes of a job's id or a machine's name. */
#define TMX_ID_MAX 32
/** Tasks of one job: the limit of PROTOCOL. */
#define TMX_TASKS_MAX 100000
/** Zones; each job has a counter for each of them. */
#define TMX_ZONES_MAX 16
/** Machine types in the catalogue; further ones are ignored. */
#define TMX_TYPES_MAX 32
/** Controllers in one view. */
#define TMX_MEMBERS_MAX 16
/** Sockets for store, cloud, peers in both directions and listening; at most half of all. */
#define TMX_OWN_SOCKETS 120
/** Share of the other sockets for connections to workers; the rest is for incoming ones. */
#define TMX_WORKER_CONNS 0.23
/** s; an unused incoming connection is closed after this, but see TMX_IDLE_REPORTS. */
#define TMX_IDLE_CLOSE_S 60.0
/** Report periods; a worker's connection is not closed before it missed so many. */
#define TMX_IDLE_REPORTS 4.0
/** s; when all sockets are taken, a connection unused for this long makes room. */
#define TMX_IDLE_LEAST_S 1.0
/** s; a request must arrive whole within this. */
#define TMX_PARTIAL_S 15.0
/** @} */

/** @name Key-value store */
/** @{ */
/**
 * s; writes are saved up for this long, so that all members together stay within the service's
 * burst of one second.
 */
#define TMX_WRITE_BURST_S 1.0
/** Writes; a batch with two values, head and a job's final state. */
#define TMX_WRITE_BURST_MIN 4.5
/** s; time constant of the average of all members' writes. */
#define TMX_RECENT_WRITES_S 3.0
/** Share of the write rate; while less is written, no member waits for its commit slot. */
#define TMX_LOW_WRITE_LOAD_SHARE 0.35
/** Share of the service's burst that is left to the other members under low load. */
#define TMX_SHARED_WRITES_KEPT_SHARE 0.4
/** Share of the service's burst; what it holds above this counts as unused by all. */
#define TMX_SHARED_WRITES_UNUSED_SHARE 0.5
/** Writes of a usual batch: they set the length of a commit slot. */
#define TMX_COMMIT_SLOT_WRITES 2.4
/**
 * Share of a commit slot within which a round begins; the rest is for planning, sending and clocks
 * that differ.
 */
#define TMX_COMMIT_SLOT_START_SHARE 0.45
/** Submissions that wait for the log; further ones are refused at once. */
#define TMX_PENDING_SUBMISSIONS_MAX 400
/** Waiting submissions; up to so many are committed one by one rather than with a batch. */
#define TMX_SINGLE_SUBMISSIONS_MAX 2
/** Commits of a single submission that lost against a batch; after that it goes with one. */
#define TMX_SINGLE_SUBMISSION_TRIES 4
/** ms; life of a member's lease. A peer that refuses connections is noticed sooner. */
#define TMX_LEASE_TTL_MS 6000
/** s between renewals: five tries in the life of a lease. */
#define TMX_LEASE_RENEW_S 1.2
/** s; a response that takes longer is one of the slow ones. */
#define TMX_STORE_SLOW_S 0.05
/** s; responses usually take 10 ms, at times a few hundred. */
#define TMX_STORE_TIMEOUT_S 2.0
/** ms that a watch stays open; long, since an idle watch costs nothing. */
#define TMX_WATCH_WAIT_MS 15000
/** Share of the request rate for opening watches. */
#define TMX_WATCH_SHARE 0.45
/** s for which requests for watches are saved up. */
#define TMX_WATCH_BURST_S 0.4
/** Share of the request rate for revision reads; all waiting requests share one read. */
#define TMX_READ_INDEX_SHARE 0.3
/** s; a revision is read at least this often, to know how fresh the replica is. */
#define TMX_READ_INDEX_IDLE_S 1.0
/** s; a watch that stays this long behind a revision read is opened anew. */
#define TMX_WATCH_LAG_S 0.7
/** s to wait after an error of the store. */
#define TMX_STORE_RETRY_S 0.3
/** Bytes of a transaction counted as JSON; PROTOCOL allows 64 KiB. */
#define TMX_TRANSACTION_BYTES 49152
/** Share of the largest value, counted as JSON, that is used. */
#define TMX_VALUE_SHARE 0.9
/** Bytes of JSON around a list, a value or a condition. */
#define TMX_JSON_FRAME 64
/** Share by which the monotonic clocks of different machines drift apart at most. */
#define TMX_CLOCK_DRIFT 0.0005
/**
 * s taken off cancel_s - lease_s. A lease counts from when the report was sent, which is before it
 * is answered, so only the drift of clocks is left to allow for; more is taken off where cancel_s
 * is so long that the drift needs it.
 */
#define TMX_FRESH_MARGIN_S 1.0
/**
 * s; settings that leave less for freshness are refused: revisions are read once a second, and
 * some reads are slow.
 */
#define TMX_FRESH_MIN_S 2.0
/**
 * s; with an older replica no task is started, as another controller may have cancelled its job.
 */
#define TMX_START_FRESH_S 2.5
/** Batch keys since the last compaction: about 1 MB, read within a second at the start. */
#define TMX_COMPACTION_KEYS 1500
/** Share of the write budget that must be free for a step of a compaction. */
#define TMX_COMPACTION_SPARE_SHARE 0.5
/** s without a revision read; then the peers' heartbeats tell whether the store answers them. */
#define TMX_STORE_LOST_S 3.5
/** @} */

/** @name Scheduling rounds */
/** @{ */
/** Bytes of a line of the log: four names at most. */
#define TMX_LINE_MAX 256
/** Bytes of a placement; bounds what is planned at once. */
#define TMX_LINE_TYPICAL 26
/** Bytes of a placement that shares its line with others of the job. */
#define TMX_ITEM_TYPICAL 13
/** s between two rounds of one controller at least. */
#define TMX_ROUND_SPACING_S 0.03
/** s until the next round after one that was truncated and had nothing to send. */
#define TMX_ROUND_EMPTY_S 0.1
/** Writes of the smallest batch: one value and head. */
#define TMX_ROUND_WRITES 2.05
/** Jobs whose final state is written in one batch. */
#define TMX_FINISHED_MAX 64
/** Times that a batch is sent again after it lost the race for head; then it is planned anew. */
#define TMX_RESENDS_MAX 6
/** Machines registered in one batch. */
#define TMX_REGISTER_MAX 256
/** Bytes of the planner thread's stack; memory is short, and nothing recurses in a round. */
#define TMX_PLANNER_STACK ((size_t)512 << 10)
/** s of a controller's share of the processor that a round may take. */
#define TMX_PLAN_BUSY_S 0.1
/** s of a processor that a machine or task takes to be looked at, measured. */
#define TMX_PLAN_VISIT_S 5e-8
/** Machines and tasks that a round looks at, at most: about 20 ms of a core. */
#define TMX_PLAN_VISITS_MAX 400000
/** The same, at least: with a small share of a core a single job still finds its machine. */
#define TMX_PLAN_VISITS_MIN 20000
/** s; a job that waited this long gets a first task, so that the largest begin within 4 minutes. */
#define TMX_AGED_JOB_S 150.0
/** Share of the placed tasks that goes to aged jobs. */
#define TMX_AGED_JOB_SHARE 0.1
/** Replicas of services that may be down at a time because machines are drained. */
#define TMX_MOVES_MIN 2
/** The same as a share of all replicas; the larger of both holds. */
#define TMX_MOVES_SHARE 0.006
/** s; a round without an event: the period of the paper's draft. */
#define TMX_ROUND_IDLE_S 2.0
/** s that completions wait so that several share a batch. */
#define TMX_COMPLETIONS_DELAY_S 0.25
/** s that a job's own controller goes first, besides one cycle of commit slots. */
#define TMX_OWN_PLANNER_GRACE_S 0.2
/** Share of the write rate for batches; some is left for lost races. */
#define TMX_WRITE_SHARE 0.8
/** Share of the write rate for submissions that are committed one by one. */
#define TMX_SINGLE_SUBMISSION_SHARE 0.08
/** Such submissions at once. */
#define TMX_SINGLE_SUBMISSION_BURST 3.0
/** s; for a class without a start objective, a fetch this long weighs as much as a full machine. */
#define TMX_FETCH_TOLERANCE_S 10.0
/** s after which a job of a class without an objective counts as late. */
#define TMX_NO_OBJECTIVE_S 600.0
/** Ended attempts taken into one round. */
#define TMX_COMPLETIONS_MAX 512
/** Classes whose run times are estimated. */
#define TMX_RUN_ESTIMATES_MAX 32
/** Tasks observed before the owners' estimates are corrected. */
#define TMX_RUN_ESTIMATE_SAMPLES_MIN 8
/** Tasks over which the correction is averaged. */
#define TMX_RUN_ESTIMATE_SAMPLES_MAX 200
/** Bound of the logarithm: one task counts as 7 times off at most. */
#define TMX_RUN_ESTIMATE_LOG_BOUND 2.0
/** Tasks of one job that are planned in one round. */
#define TMX_PLAN_TASKS 400
/** @} */

/** @name Event loop */
/** @{ */
/** s between ticks, for what has no event of its own. */
#define TMX_TICK_S 0.1
/** s; after a tick this late, timeouts here say nothing of other machines. */
#define TMX_LOOP_LATE_S 0.2
/** @} */

/** @name Workers */
/** @{ */
/** Bits of a fencing token below the view's term: the sequence of one machine. */
#define TMX_TOKEN_SEQUENCE_BITS 24
/** Largest sequence number of a machine's token in one term. */
#define TMX_TOKEN_SEQUENCE_MAX ((1u << TMX_TOKEN_SEQUENCE_BITS) - 1)
/** s; a command unanswered for this long raises the machine's token. */
#define TMX_COMMAND_TIMEOUT_S 1.5
/** Bytes. */
#define TMX_BYTES_PER_MB 1e6
/** Share of a controller's memory for machines that are known at a time. */
#define TMX_WORKERS_MEMORY_SHARE 0.4
/** Bytes of a machine with its tasks, images and buffers; measured, 12 MB for 2,187. */
#define TMX_WORKER_BYTES 2500
/**
 * Share of a controller's memory for names of removed machines, whose late reports must not bring
 * them back.
 */
#define TMX_REMOVED_MACHINES_MEMORY_SHARE 0.05
/** Bytes of such a name in its table. */
#define TMX_REMOVED_MACHINE_BYTES 160
/** Commands in one response. */
#define TMX_COMMANDS_MAX 400
/**
 * s; a worker that is back this long after a redirect cannot reach its owner (it waits 4 s for a
 * response): another controller takes it over.
 */
#define TMX_FAILOVER_AFTER_S 3.5
/** s after the redirect within which its return counts as a sign of that. */
#define TMX_FAILOVER_WITHIN_S 20.0
/** s; a worker that its owner has not heard for this long is taken over at once. */
#define TMX_FAILOVER_SILENT_S 2.0
/** Machines taken over in one view. */
#define TMX_FAILOVER_MACHINES_MAX 200
/** s that a report waits for the view that takes its worker over. */
#define TMX_FAILOVER_PARK_S 0.6
/** s between two views of one controller. */
#define TMX_VIEW_SPACING_S 0.15
/** s past report_s and a quarter; then a report is missing. */
#define TMX_REPORT_LATE_S 1.0
/** s without proof that a machine is reached; then it is probed. */
#define TMX_PROBE_AFTER_S 0.6
/** Share of the processor for probes. */
#define TMX_PROBE_SHARE 0.12
/** s of a processor for one probe, measured. */
#define TMX_PROBE_COST_S 0.00025
/** s to wait for a probe's response, and between probes of a suspect. */
#define TMX_PROBE_TIMEOUT_S 0.5
/** s after the last sign of it that a zone still counts as partitioned. */
#define TMX_ZONE_PARTITION_S 4.0
/**
 * s; a machine that was silent for this long before this controller led was spared by its
 * predecessor.
 */
#define TMX_INHERITED_SILENCE_S 8.0
/** Lost probes in a row after which a machine is given up. */
#define TMX_PROBES_LOST 3
/** s without any other sign of life that this takes besides. */
#define TMX_MACHINE_SILENCE_S 1.5
/** s; age of a sign of life that counts: shorter than it takes to lose a machine. */
#define TMX_ALIVE_S 1.2
/** Share of the probes for suspects; the others are probed on. */
#define TMX_SUSPECT_PROBES_SHARE 0.6
/** Times that the period of probes of a lost machine doubles. */
#define TMX_PROBE_DOUBLINGS 3
/** Leases; a machine that is heard again may be unacknowledged for this long. */
#define TMX_RECOVERY_LEASES 0.2
/** Machines; fewer say nothing of a controller's own connection. */
#define TMX_REACHABILITY_MACHINES_MIN 4
/** s between two inspections of all machines. */
#define TMX_RECLAIM_PERIOD_S 0.25
/** s in which a new leader first hears its peers and the workers. */
#define TMX_LEADER_SETTLE_S 3.0
/** Errors in a row, of two jobs or more, that make a machine faulty. */
#define TMX_FAULTY_MACHINE_ERRORS 4
/** s; first backoff of a job whose tasks fail. It doubles with each failure. */
#define TMX_RETRY_BASE_S 0.5
/** s; longest backoff. */
#define TMX_RETRY_MAX_S 30.0
/** @} */

/** @name Peers */
/** @{ */
/** s between heartbeats. */
#define TMX_HEARTBEAT_PERIOD_S 0.4
/** s; a peer that refuses connections and was silent for this long seems dead. */
#define TMX_HEARTBEAT_DEAD_S 1.3
/** s of silence after which a peer's advice no longer counts. */
#define TMX_HEARTBEAT_LOST_S 2.5
/** s; a peer that alone was silent for this long is left out of the view. */
#define TMX_PEER_SILENCE_S 3.5
/** s; a peer whose batch is younger is alive, even if it refuses connections. */
#define TMX_RECENT_BATCH_S 1.6
/** s for which zones must hear each other before they no longer count as partitioned. */
#define TMX_ZONE_PARTITION_HOLD_S 5.0
/** @} */

/** @name Users */
/** @{ */
/** s; a poll that waits longer is refused. Users wait 2 s. */
#define TMX_USER_WAIT_S 1.5
/** s; a submission that waits longer is refused. Users wait 5 s. */
#define TMX_SUBMIT_WAIT_S 2.5
/** s; least Retry-After. */
#define TMX_RETRY_AFTER_MIN 1
/** s; random part of Retry-After, so that retries come apart. */
#define TMX_RETRY_AFTER_SPAN 2
/** s; a job of which no user was told for this long goes first under overload. */
#define TMX_POLL_FAIR_S 20.0
/** Requests that wait for a read; further ones are refused at once. */
#define TMX_USER_QUEUE 400
/** @} */

/** @name Cloud */
/** @{ */
/** s to wait for a response. */
#define TMX_CLOUD_TIMEOUT_S 5.0
/** s between reads of the catalogue, as prices move. */
#define TMX_CATALOG_S 60.0
/** s until the next try while no catalogue is known. */
#define TMX_CATALOG_RETRY_S 0.5
/** s between reads of the list of instances by the leader. */
#define TMX_LIST_S 2.0
/** s between two decisions to scale out. */
#define TMX_SCALE_OUT_PERIOD_S 1.0
/** s; first backoff of a type, zone and kind that was refused. It doubles. */
#define TMX_OFFER_BACKOFF_S 15.0
/** s; longest backoff of an offer. */
#define TMX_OFFER_BACKOFF_MAX_S 120.0
/** s; an empty machine is returned after this. The least charge is 60 s. */
#define TMX_IDLE_RETURN_S 75.0
/**
 * s; room is kept for the peak demand of this long: the least charge of a machine, and longer than
 * a boot.
 */
#define TMX_PEAK_DEMAND_S 60
/** s; after a longer gap in the observations the peak is not known. */
#define TMX_DEMAND_GAP_S 5
/** Share of room kept above the peak; less among more than 100 machines. */
#define TMX_PEAK_MARGIN 0.1
/** Times a machine's replicas that must be free in its zone before it is drained. */
#define TMX_MOVE_ROOM_FACTOR 2.0
/** Share of the zone's part of the peak that must be free besides. */
#define TMX_MOVE_ROOM_SHARE 0.2
/** s between two choices of machines to drain. */
#define TMX_DRAIN_SPACING_S 3.0
/** Share of all CPUs in one such choice; one machine at least. */
#define TMX_DRAIN_SHARE 0.03
/** s; a backlog that the present machines clear within this needs no new ones. */
#define TMX_BACKLOG_CLEAR_S 10.0
/** Share of the rented CPUs; less waiting work is no reason to keep machines. */
#define TMX_WAITING_SHARE 0.02
/** Share of all CPUs on machines that wait for replicas to leave them. */
#define TMX_DRAINING_SHARE_MAX 0.15
/** Machines in one request: the limit of PROTOCOL. */
#define TMX_SCALE_OUT_MAX 50
/** Machines asked of one type, zone and kind in one decision. */
#define TMX_SCALE_OUT_OFFER_MAX 150
/** Machines rented in one decision. */
#define TMX_SCALE_OUTS_MAX 1024
/** Machines in one request to delete: the limit of PROTOCOL. */
#define TMX_SCALE_IN_MAX 100
/** Leases; a machine that is heard and not reached for this long is replaced. */
#define TMX_UNACKNOWLEDGED_LEASES 0.5
/** s and two reports; a machine that is listed as running and was never heard is replaced. */
#define TMX_NEVER_HEARD_S 25.0
/** Times boot_s; a machine that takes longer to boot is returned. */
#define TMX_BOOT_LATE 4.0
/** s between log lines about what is rented and used. */
#define TMX_USAGE_LOG_S 10.0
/** Share of the room booked by services that is kept free for restarts. */
#define TMX_HEADROOM 0.08
/** @} */

/** @name Admission */
/** @{ */
/** s of the whole cluster's work that may be admitted: three times the longest usual objective. */
#define TMX_ADMISSION_BACKLOG_S 900.0
/** Share of that which is reserved for teams and classes; the other half goes to who asks. */
#define TMX_ADMISSION_RESERVE 0.5
/** s; a class whose work waits gets a start this often, whatever else is asked for. */
#define TMX_ADMISSION_START_S 45.0
/** Machines kept free in a round for classes that are due a start and found no room. */
#define TMX_RESERVED_MACHINES_MAX 16
/** s; longer than any process runs. */
#define TMX_NEVER_S 1.0e9
/** Dynamic threshold: a party may take four fifths of what the others leave of a pool. */
#define TMX_SHARE_ALPHA 4.0
/** Shares that differ by less are equal. */
#define TMX_SHARE_EPSILON 1e-6
/** Share of a team's ceiling that is added for jobs that depend on accepted ones. */
#define TMX_PIPELINE_EXTRA 0.25
/** Accounts of a team for classes that no objective names: two names share one in 16 cases. */
#define TMX_HASHED_ACCOUNTS 16
/** Seed of that hash; any, but the same in every version, or controllers decide differently. */
#define TMX_ACCOUNT_HASH_SEED 0
/** s of work that a waiting replica counts as: the least charge of a machine. */
#define TMX_ADMISSION_SERVICE_S 60.0
/** s; shorter estimates count as this, as a start takes as long. */
#define TMX_RUN_MIN_S 1.0
/** Thousandths in one. */
#define TMX_MILLI 1000.0
/** MB. */
#define TMX_MB_PER_GB 1000.0
/**
 * Units of one resource of one job: over a day of 10,000 CPUs; nine million such jobs fit a sum.
 */
#define TMX_LOAD_MAX 1.0e12
/** Bytes in the log of a job's record and final state. */
#define TMX_LOG_JOB_BYTES 200
/** Bytes in the log of a task's placement and its end. */
#define TMX_LOG_TASK_BYTES (2L * TMX_LINE_TYPICAL)
/** Share of the batches' writes for values with lines; see TMX_FINALS_SHARE. */
#define TMX_LINES_SHARE 0.3
/** Share of the batches' writes for final states; the rest rewrites head. */
#define TMX_FINALS_SHARE 0.4
/** Share of a controller's memory for jobs that are not over. */
#define TMX_HELD_SHARE 0.25
/**
 * Share of the ceiling that decides; above it a submission goes with a batch only, as batches all
 * rewrite head.
 */
#define TMX_SINGLE_ADMISSION_SHARE 0.5
/** Share of the bound; a larger submission goes with a batch only. */
#define TMX_SINGLE_LOAD_SHARE 0.01
/** s; longest Retry-After before its random part. Users follow up to 30 s. */
#define TMX_ADMISSION_RETRY_MAX_S 20.0
/** Share of Retry-After that is added at random at most, so that retries come apart. */
#define TMX_ADMISSION_SPREAD 0.5
/** s between log lines about the accounts. */
#define TMX_ADMISSION_LOG_S 60.0
/** Bins of the distribution of waits until a start. */
#define TMX_START_BINS 64
/** Factor between the bounds of two bins. */
#define TMX_START_BIN_FACTOR 1.2
/** s; upper bound of the first bin. */
#define TMX_START_BIN_FIRST_S 0.05
/** @} */

#endif
