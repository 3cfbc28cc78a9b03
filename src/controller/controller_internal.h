/* What the files of the controller share. */
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

struct tmx_controller {
  struct ev_loop *loop;
  struct tmx_settings settings;
  struct tmx_replica replica;
  struct tmx_machine_catalog catalog;
  struct tmx_loop_monitor loop_monitor;
  struct tmx_authority authority;
  struct tmx_admission_control *admission; /* NULL: every submission that can run is admitted */
  struct tmx_store *store;
  struct tmx_view_manager *view_manager;
  struct tmx_scheduler *scheduler;
  struct tmx_peers *peers;
  struct tmx_workers *workers;
  struct tmx_cloud *cloud;
  struct tmx_users *users;
  struct tmx_compaction *compaction;
  struct tmx_http_server *server;
  ev_timer tick_timer;
  ev_prepare prepare;
  double started_at;  /* monotonic clock, s */
  double impaired_at; /* the loop was late, or the store or all peers out of reach, until then */
};

/* replica_events.c: passes the replica's changes on to scheduler, workers and admission. */
void tmx_controller_observe_replica(struct tmx_controller *controller);
/* peer_observation.c: evidence for the failure detector, for the view and for the election. */
struct tmx_view_observer tmx_controller_view_observer(const struct tmx_controller *controller);
bool tmx_controller_leader_is_suspected(const struct tmx_controller *controller);
/* request_router.c */
void tmx_controller_handle_request(void *arg, struct tmx_http_request *request);
#endif
