/**
 * @file
 * Limits, periods and names of the key-value store. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_STORE_H
#define TMX_CONSTANTS_STORE_H

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

#endif
