/**
 * @file
 * Checks what this controller is currently authorized to do.
 *
 * The caller checks its authority before each command to a worker and before each placement. These
 * checks, and the fencing tokens in the commands, stop a former leader and a controller that has
 * lost its connection to the store.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_AUTHORITY_H
#define TMX_AUTHORITY_H
#include <stdbool.h>
#include <stdint.h>

#include "config/settings.h"
#include "replica/replica.h"
#include "store/store.h"

/** The state that determines the authority. The controller owns all three objects. */
struct tmx_authority {
  const struct tmx_settings *settings; /**< this controller's name and the limits of replica age */
  const struct tmx_replica *replica;   /**< contains the view and its term */
  const struct tmx_store *store;       /**< reports how fresh the replica is */
};

/**
 * Returns whether this controller may renew workers' leases and plan.
 *
 * The replica must be loaded and younger than tmx_renewal_replica_age_max(). A lease that is
 * renewed under this condition expires before the deadline of any cancellation that the replica
 * does not contain yet.
 */
bool tmx_authority_may_act(const struct tmx_authority *authority);

/**
 * Returns whether this controller may start tasks.
 *
 * Starting a task requires a replica younger than TMX_START_REPLICA_AGE_MAX_S in addition to
 * tmx_authority_may_act(), because another controller may have cancelled the job and confirmed the
 * cancellation to its user. Running tasks tolerate an older replica: they continue for as long as
 * the deadline of a cancellation permits.
 */
bool tmx_authority_may_start_tasks(const struct tmx_authority *authority);

/** Returns this controller's index among the members of the view; -1: it is not a member. */
int tmx_authority_member_index(const struct tmx_authority *authority);

/**
 * Returns the fencing token that consists of the current view's term and a sequence number.
 *
 * A worker ignores commands whose token is lower than the highest token it has received. Tokens of
 * an earlier term are therefore invalid once the worker has received one of a later term.
 * @param authority  provides the term
 * @param sequence   the machine's sequence number within the term, at most TMX_TOKEN_SEQUENCE_MAX
 */
uint64_t tmx_authority_fencing_token(const struct tmx_authority *authority, uint32_t sequence);
#endif
