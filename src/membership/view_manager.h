/**
 * @file
 * Changes of the view: the members, their term and the machines that a member took over. The leader
 * keeps the members equal to the registered controllers without those that the failure detector
 * suspects; any member may take over machines whose owner cannot be reached. Each change raises the
 * term, and with it all fencing tokens. Loop's thread only.
 */
#ifndef TMX_VIEW_MANAGER_H
#define TMX_VIEW_MANAGER_H
#include <stddef.h>

#include "config/settings.h"
#include "membership/failure_detector.h"
#include "replica/replica.h"
#include "store/store.h"

/** The view manager of one controller. */
struct tmx_view_manager;

/** What the failure detector says of a registered controller. `since`: this controller has been in
 * a position to judge others since then, monotonic clock, s. */
struct tmx_view_observer {
  void *context; /**< passed to both functions; not owned */
  /** Counts the registered controllers, and those of them that are heard. */
  struct tmx_peer_census (*observe_peers)(const void *context);
  /** Whether the controller with this name is suspected of having failed. */
  bool (*is_suspected)(const void *context, const char *node, const struct tmx_peer_census *census,
                       double since);
};

/** Creates the manager, which the caller owns. Settings, replica and store must outlive it; the
 * observer is copied. */
struct tmx_view_manager *tmx_view_manager_new(const struct tmx_settings *settings,
                                              const struct tmx_replica *replica,
                                              struct tmx_store *store,
                                              const struct tmx_view_observer *observer);
/** Frees the manager. While a view is being committed, the store has to be freed before or in the
 * same turn of the loop, since its callback uses the manager. */
void tmx_view_manager_free(struct tmx_view_manager *manager);
/** To be called at every tick: as the leader, commits a new view when the members should differ. */
void tmx_view_manager_tick(struct tmx_view_manager *manager);
/**
 * Failover: makes this controller the owner of these machines, whose workers cannot reach their
 * owner. Does nothing while another view is being committed; the caller tries again.
 */
void tmx_view_manager_take_over(struct tmx_view_manager *manager, const char *const *machines,
                                size_t n_machines);
#endif
