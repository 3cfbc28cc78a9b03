/**
 * @file
 * Ownership of machines, and fencing tokens. A worker distinguishes commands of its current owner
 * from those of a former one by their tokens. The highest token that a worker has seen proves which
 * earlier commands it can no longer execute. Loop's thread only.
 */
#ifndef TMX_WORKER_FENCING_H
#define TMX_WORKER_FENCING_H
#include "worker/workers_internal.h"

/** Updates the recorded ownership from the view, and returns whether this controller owns the
 * machine. Must be called before anything is done as the owner: a controller that becomes the owner
 * requires the worker to see a new token first. */
bool tmx_worker_update_ownership(struct tmx_worker *worker);
/** This controller's current fencing token for the machine. */
uint64_t tmx_worker_token(const struct tmx_worker *worker);
/** Returns whether the worker has seen a token above the current one, so that it had a newer owner.
 */
bool tmx_worker_has_newer_owner(const struct tmx_worker *worker);
/** Raises the token after a command got no response. Until the worker has seen the new token or has
 * started a later session, the absence of an attempt from its reports proves nothing. */
void tmx_worker_fence_unanswered_command(struct tmx_worker *worker);
/** Returns whether direct commands may start attempts: a higher token remains that can void copies
 * of them later. If not, starts must be sent in heartbeat responses. */
bool tmx_worker_may_start_directly(const struct tmx_worker *worker);
/** Records that a direct command with starts was sent with the current token. */
void tmx_worker_record_direct_starts(struct tmx_worker *worker);
/** Raises the token above that of every direct command with starts. Must be called before a message
 * tells the worker to forget attempts, so that it can no longer execute a copy of their starts. */
void tmx_worker_fence_forgotten_attempts(struct tmx_worker *worker);
/** Records the highest token that a new report shows; report.session must already be that of the
 * new report. `now` is in seconds on the steady clock. */
void tmx_worker_record_token(struct tmx_worker *worker, uint64_t highest_token, double now);

/** Returns whether the worker is known to receive what this owner sends: its reports show the
 * required token, and no command is left without a response. */
bool tmx_worker_acknowledges_owner(const struct tmx_worker *worker);
/** Returns whether an attempt that is missing from the latest report is certain never to run again.
 */
bool tmx_worker_absence_proves_end(const struct tmx_worker *worker);
/** Returns whether the end (TMX_END_*) in the latest report is certain to be that of the attempt in
 * the log, rather than of an earlier start of the same attempt. */
bool tmx_worker_end_is_proven(const struct tmx_worker *worker, char end_reason);
#endif
