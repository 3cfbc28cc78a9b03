/**
 * @file
 * What this controller is entitled to do. Every command to a worker and every placement asks here
 * first: an old leader or a controller that was cut off the store is fenced by these functions and
 * by the fencing tokens that its commands carry. Loop's thread only.
 */
#ifndef TMX_AUTHORITY_H
#define TMX_AUTHORITY_H
#include <stdbool.h>
#include <stdint.h>

#include "config/settings.h"
#include "replica/replica.h"
#include "store/store.h"

/** What entitlement depends on; all owned by the controller. */
struct tmx_authority {
  const struct tmx_settings
      *settings;                     /**< this controller's name, and bounds of the replica's age */
  const struct tmx_replica *replica; /**< holds the view and its term */
  const struct tmx_store *store;     /**< tells how fresh the replica is */
};

/**
 * Whether this controller may renew workers' leases and plan: its replica was complete so lately
 * that no cancellation can have come and run out of time meanwhile.
 */
bool tmx_authority_may_act(const struct tmx_authority *authority);
/**
 * Whether it may have tasks begin. Tasks that run go on without the store for as long as a
 * cancellation allows; a start needs a fresher replica, since another controller may have cancelled
 * the job and told its user.
 */
bool tmx_authority_may_start_tasks(const struct tmx_authority *authority);
/** Index of this controller among the members of the view; -1: not a member. */
int tmx_authority_member_index(const struct tmx_authority *authority);
/**
 * The fencing token of this view's term, with a sequence number of one machine. A worker drops
 * whatever carries a lower token than the highest it has seen, so tokens of an earlier term are
 * void once a worker has heard from a later one.
 */
uint64_t tmx_authority_fencing_token(const struct tmx_authority *authority, uint32_t sequence);
#endif
