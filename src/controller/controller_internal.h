/**
 * @file
 * State and functions shared by the files of src/controller. All functions must be called on the
 * event loop's thread.
 */
#ifndef TMX_CONTROLLER_INTERNAL_H
#define TMX_CONTROLLER_INTERNAL_H
#include "admission/admission_control.h"
#include "base/loop_monitor.h"
#include "catalog/machine_catalog.h"
#include "cloud/cloud.h"
#include "controller/controller.h"
#include "membership/authority.h"
#include "membership/view_manager.h"
#include "net/http.h"
#include "peer/peers.h"
#include "scheduler/scheduler.h"
#include "store/compaction.h"
#include "store/store.h"
#include "user/user_api.h"
#include "worker/workers.h"

/** The state of one controller process and its modules. */
struct tmx_controller {
  struct ev_loop *loop;                 /**< not owned */
  struct tmx_settings settings;         /**< the controller's own copy */
  struct tmx_replica replica;           /**< the local copy of the stored state */
  struct tmx_machine_catalog catalog;   /**< filled by the cloud module */
  struct tmx_loop_monitor loop_monitor; /**< detects stalls of the event loop */
  struct tmx_authority authority;       /**< decides whether this controller may act */
  /** Owned. NULL if admission control is disabled: every submission that can run is admitted. */
  struct tmx_admission_control *admission;
  struct tmx_store *store;               /**< owned */
  struct tmx_view_manager *view_manager; /**< owned */
  struct tmx_scheduler *scheduler;       /**< owned */
  struct tmx_peers *peers;               /**< owned; NULL until created by tmx_controller_new() */
  struct tmx_workers *workers;           /**< owned; NULL until created by tmx_controller_new() */
  struct tmx_cloud *cloud;               /**< owned; NULL until created by tmx_controller_new() */
  struct tmx_user_api *user_api;         /**< owned; NULL until created by tmx_controller_new() */
  struct tmx_compaction *compaction;     /**< owned */
  struct tmx_http_server *server;        /**< owned; serves users, workers and health checks */
  ev_timer tick_timer;     /**< calls the modules' tick functions every TMX_TICK_PERIOD_S */
  ev_prepare prepare;      /**< sends queued commands and submissions before the loop waits */
  double started_at;       /**< when the controller was created, monotonic clock, seconds */
  double last_impaired_at; /**< latest tick at which the loop was late, or the store or all peers
                              were unreachable; monotonic clock, seconds; 0: never */
};

/** Registers callbacks that forward the replica's changes to the scheduler, the workers module and
 * admission control. Defined in replica_events.c. */
void tmx_controller_observe_replica(struct tmx_controller *controller);
/** Returns the functions through which the view manager consults the failure detector. They remain
 * valid until the controller is freed. Defined in peer_observation.c. */
struct tmx_view_observer tmx_controller_view_observer(const struct tmx_controller *controller);
/** Returns whether the leader according to the replica is suspected to have failed. Returns false
 * if there is no leader, if this controller is the leader, or if this controller cannot reach most
 * of its own workers (tmx_workers_are_unreachable()). Defined in peer_observation.c. */
bool tmx_controller_leader_is_suspected(const struct tmx_controller *controller);
/** Request handler of the HTTP server; `arg` is the controller. Answers health checks, passes other
 * requests to the users' API or the workers module, and answers 404 for unknown paths. Defined in
 * request_router.c. */
void tmx_controller_handle_request(void *arg, struct tmx_http_request *request);
#endif
