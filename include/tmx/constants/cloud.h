/**
 * @file
 * Limits, periods and shares of renting and returning machines. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_CLOUD_H
#define TMX_CONSTANTS_CLOUD_H

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
/**
 * Seconds after its registration in which a machine that is not usable yet counts as free capacity.
 */
#define TMX_MACHINE_JOIN_S 3.0
/**
 * Multiple of boot_s within which a rented machine is expected to be up; PROTOCOL gives the usual
 * range. A later one counts as no capacity.
 */
#define TMX_BOOT_EXPECTED_FACTOR 1.5
/** Multiple of boot_s after which a machine that is still booting is returned. */
#define TMX_BOOT_LATE_FACTOR 4.0
/** Seconds between log lines about rented and used capacity. */
#define TMX_USAGE_LOG_PERIOD_S 10.0
/** Share of the capacity booked by services that is kept free for restarts. */
#define TMX_SERVICE_HEADROOM_SHARE 0.08

#endif
