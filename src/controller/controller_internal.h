/**
 * @file
 * State and functions that the files of src/controller share. Loop's thread only.
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

/** State of one controller process, with its modules. */
struct tmx_controller {
  struct ev_loop *loop;                 /**< not owned */
  struct tmx_settings settings;         /**< a copy */
  struct tmx_replica replica;           /**< the local copy of the stored state */
  struct tmx_machine_catalog catalog;   /**< filled by the cloud module */
  struct tmx_loop_monitor loop_monitor; /**< whether the event loop runs on time */
  struct tmx_authority authority;       /**< whether this controller may act */
  /** Owned; NULL: every submission that can run is admitted. */
  struct tmx_admission_control *admission;
  struct tmx_store *store;               /**< owned */
  struct tmx_view_manager *view_manager; /**< owned */
  struct tmx_scheduler *scheduler;       /**< owned */
  struct tmx_peers *peers;               /**< owned; NULL while the controller is being made */
  struct tmx_workers *workers;           /**< owned; NULL while the controller is being made */
  struct tmx_cloud *cloud;               /**< owned; NULL while the controller is being made */
  struct tmx_users *users;               /**< owned; NULL while the controller is being made */
  struct tmx_compaction *compaction;     /**< owned */
  struct tmx_http_server *server;        /**< owned; for users and workers */
  ev_timer tick_timer; /**< runs the ticks of the modules, every TMX_TICK_PERIOD_S */
  ev_prepare prepare;  /**< sends what was gathered, before the loop waits for events */
  double started_at;   /**< monotonic clock, seconds */
  double impaired_at;  /**< monotonic clock, seconds: until then the loop was late, or the store or
                          all peers were out of reach */
};

/** Passes the replica's changes on to scheduler, workers and admission. replica_events.c */
void tmx_controller_observe_replica(struct tmx_controller *controller);
/** Evidence of the failure detector for the view; valid as long as the controller.
 * peer_observation.c */
struct tmx_view_observer tmx_controller_view_observer(const struct tmx_controller *controller);
/** Whether the leader, as the replica names it, is suspected to have failed. false also if there is
 * none, if it is this controller, or if this one reaches hardly any of its workers.
 * peer_observation.c */
bool tmx_controller_leader_is_suspected(const struct tmx_controller *controller);
/** Handler of the HTTP server; `arg` is the controller. Hands each request to users or workers, or
 * answers 404. request_router.c */
void tmx_controller_handle_request(void *arg, struct tmx_http_request *request);
#endif
