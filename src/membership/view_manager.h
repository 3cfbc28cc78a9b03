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

struct tmx_view_manager;

/** What the failure detector says of a registered controller. `since`: this controller has been in
 * a position to judge others since then, monotonic clock, s. */
struct tmx_view_observer {
  void *context;
  struct tmx_peer_census (*observe_peers)(const void *context);
  bool (*is_suspected)(const void *context, const char *node, const struct tmx_peer_census *census,
                       double since);
};

/** Settings, replica and store must outlive the manager. */
struct tmx_view_manager *tmx_view_manager_new(const struct tmx_settings *settings,
                                              const struct tmx_replica *replica,
                                              struct tmx_store *store,
                                              const struct tmx_view_observer *observer);
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
