/**
 * @file
 * The view manager: commits new views, which list the members, their term and the overrides of
 * machine ownership.
 *
 * The leader keeps the members equal to the registered controllers that the failure detector does
 * not suspect. Any member may take over machines whose workers cannot reach their owner. Each new
 * view has a higher term and thus higher fencing tokens.
 *
 * All functions must be called on the thread of the event loop.
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

/** Functions through which the view manager consults the failure detector. */
struct tmx_view_observer {
  void *context; /**< passed to both functions; not owned */
  /** Counts the other registered controllers and those of them that are alive. */
  struct tmx_peer_liveness (*observe_peers)(const void *context);
  /**
   * Returns whether a controller is suspected to have failed.
   * @param context  the observer's `context`
   * @param node     node name of the controller
   * @param liveness result of observe_peers()
   * @param since    start of the period in which this controller could observe its peers, steady
   *                 clock, s
   */
  bool (*is_suspected)(const void *context, const char *node,
                       const struct tmx_peer_liveness *liveness, double since);
};

/**
 * Creates the view manager.
 * @param settings  not copied; must outlive the manager
 * @param replica   provides the current view; must outlive the manager
 * @param store     commits new views; see tmx_view_manager_free() for its lifetime
 * @param observer  copied
 * @return the manager; the caller owns it and frees it with tmx_view_manager_free()
 */
struct tmx_view_manager *tmx_view_manager_new(const struct tmx_settings *settings,
                                              const struct tmx_replica *replica,
                                              struct tmx_store *store,
                                              const struct tmx_view_observer *observer);

/** Frees the manager. If the commit of a view is outstanding, the caller must free the store before
 * the manager or in the same iteration of the event loop, because the commit's callback uses the
 * manager. */
void tmx_view_manager_free(struct tmx_view_manager *manager);

/** Commits a new view if this controller is the leader and the members, or whether the zones are
 * partitioned, have changed. The owner must call it at every tick. */
void tmx_view_manager_tick(struct tmx_view_manager *manager);

/**
 * Fails machines over to this controller: commits a view in which it owns the machines, whose
 * workers cannot reach their current owner.
 *
 * The function does nothing if this controller is not a member, if the commit of another view is
 * outstanding, or if the last attempt was less than TMX_VIEW_SPACING_MIN_S ago. The caller then
 * tries again later.
 * @param manager     the view manager of this controller
 * @param machines    IDs of the machines
 * @param n_machines  number of entries in `machines`
 */
void tmx_view_manager_take_over(struct tmx_view_manager *manager, const char *const *machines,
                                size_t n_machines);
#endif
