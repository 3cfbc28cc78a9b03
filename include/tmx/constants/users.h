/**
 * @file
 * Limits and periods of the interface to the users. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_USERS_H
#define TMX_CONSTANTS_USERS_H

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

#endif
