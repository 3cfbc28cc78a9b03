/**
 * @file
 * Ownership of machines and the fencing tokens by which a worker tells commands of its present
 * owner from those of an earlier one: what the tokens that a worker has seen prove of commands that
 * may still be under way. Loop's thread only.
 */
#ifndef TMX_WORKER_FENCING_H
#define TMX_WORKER_FENCING_H
#include "worker/workers_internal.h"

/** Compares ownership with the view; whether this controller is the owner. To be called before
 * anything is done as an owner: on becoming one, a new token is required. */
bool tmx_worker_update_ownership(struct tmx_worker *worker);
/** The current token of this controller for the machine. */
uint64_t tmx_worker_token(const struct tmx_worker *worker);
/** Whether the worker has seen a higher token than the current one: a newer owner was there. */
bool tmx_worker_has_newer_owner(const struct tmx_worker *worker);
/** Raises the token because a command got no answer; until the worker has seen the new one, or has
 * begun a later session, absence of an attempt proves nothing. */
void tmx_worker_fence_unanswered_command(struct tmx_worker *worker);
/** Takes in the highest token that a new report shows; report.session is that of the report. */
void tmx_worker_take_token(struct tmx_worker *worker, uint64_t highest_token, double now);

/** Whether the worker receives what this owner sends: only a token of this owner in a report shows
 * it. */
bool tmx_worker_is_acknowledged(const struct tmx_worker *worker);
/** Whether an attempt that the latest report lacks is gone for good. */
bool tmx_worker_absence_proves_end(const struct tmx_worker *worker);
/** Whether the end (TMX_END_*) that the latest report names is that of the attempt in the log. */
bool tmx_worker_end_is_proven(const struct tmx_worker *worker, char end_reason);
#endif
