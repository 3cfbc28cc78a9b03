/**
 * @file
 * Fencing tokens, and limits and periods of the interface to the workers. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_WORKERS_H
#define TMX_CONSTANTS_WORKERS_H

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
/** Longest time between two reports of a worker, as a multiple of report_s. */
#define TMX_REPORT_PERIOD_MAX_SHARE 1.25
/** Seconds beyond that time after which a report is missing. */
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
/** Errors without a success in between that make a machine faulty. */
#define TMX_FAULTY_MACHINE_ERRORS 4
/** Jobs, at least, whose errors make a machine faulty, unless a job is known to be sound. */
#define TMX_FAULTY_MACHINE_JOBS 2
/**
 * Seconds after its last error for which a faulty machine gets no tasks. Two of these times are
 * shorter than the longest time for which a task may wait while a machine has room.
 */
#define TMX_FAULTY_MACHINE_QUARANTINE_S 30.0
/**
 * Seconds for which a machine must be suspect before it is deleted: the time in which a job with a
 * mistake fails elsewhere, backoffs and the fetch of an image included.
 */
#define TMX_FAULTY_MACHINE_DELETION_S 5.0
/**
 * Seconds; a task that is on its machine for this much longer than those of its job that failed has
 * survived. The time covers the fetch of an image.
 */
#define TMX_TASK_SURVIVAL_S 20.0
/**
 * Seconds of the first backoff of a job whose tasks fail. It doubles with each consecutive failure.
 */
#define TMX_JOB_BACKOFF_MIN_S 0.5
/** Seconds of the longest backoff of a job whose tasks fail. */
#define TMX_JOB_BACKOFF_MAX_S 30.0

#endif
