#include "controller/controller.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "controller/controller_internal.h"

/* libev calls this function after the callbacks of a loop iteration and before the loop waits
 * again. By then all events of the iteration have been applied. */
static void on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events) {
  (void)loop;
  (void)events;
  struct tmx_controller *controller = watcher->data;
  tmx_workers_flush(controller->workers);
  tmx_scheduler_process_submissions(controller->scheduler);
}

/* When a network partition heals, the heartbeats of the peers arrive one after the other, so the
 * peer whose heartbeat arrives last has not necessarily failed. The failure detector therefore
 * ignores missing heartbeats until TMX_PEER_HEARTBEAT_TIMEOUT_S after `last_impaired_at`. */
static void note_impairment(struct tmx_controller *controller, double now, bool loop_was_late) {
  bool store_lost = now - tmx_store_fresh_as_of(controller->store) > TMX_STORE_UNREACHABLE_S;
  if (loop_was_late || store_lost || !tmx_peers_any_alive(controller->peers))
    controller->last_impaired_at = now;
}

static void tick_election(struct tmx_controller *controller) {
  bool suspected = tmx_controller_leader_is_suspected(controller);
  tmx_store_set_suspected_leader(controller->store, suspected ? controller->replica.leader : "");
  tmx_store_abstain_from_election(
      controller->store,
      tmx_workers_are_unreachable(controller->workers) && tmx_peers_any_alive(controller->peers));
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events) {
  (void)loop;
  (void)events;
  struct tmx_controller *controller = watcher->data;
  double now = tmx_clock_steady();
  double late_s = tmx_loop_monitor_tick(&controller->loop_monitor, now);
  if (late_s > 0) tmx_log(TMX_LOG_INFO, "event loop: tick was %.2f s late", late_s);
  note_impairment(controller, now, late_s > 0);
  tmx_peers_tick(controller->peers);
  tick_election(controller);
  tmx_store_tick(controller->store);
  tmx_view_manager_tick(controller->view_manager);
  tmx_compaction_tick(controller->compaction);
  tmx_cloud_tick(controller->cloud);
  tmx_workers_tick(controller->workers);
  tmx_admission_control_tick(controller->admission);
}

/* Callbacks for the scheduler and the peers module. Both modules are created before the workers
 * module, so they cannot hold a pointer to it. */

static size_t collect_completions(void *context, struct tmx_operation *operations, size_t max) {
  const struct tmx_controller *controller = context;
  return tmx_workers_collect_completions(controller->workers, operations, max);
}

static size_t collect_unregistered(void *context, struct tmx_machine_description *descriptions,
                                   size_t max) {
  const struct tmx_controller *controller = context;
  return tmx_workers_collect_unregistered(controller->workers, descriptions, max);
}

static void for_each_suspicion(void *context, tmx_suspicion_cb callback, void *arg) {
  const struct tmx_controller *controller = context;
  tmx_workers_for_each_suspicion(controller->workers, callback, arg);
}

static void on_suspicion(void *context, const char *node, uint64_t term,
                         const struct tmx_suspicion *suspicion) {
  const struct tmx_controller *controller = context;
  tmx_workers_record_suspicion(controller->workers, node, term, suspicion);
}

static const struct tmx_zone_liveness *zone_liveness(const void *context) {
  const struct tmx_controller *controller = context;
  return tmx_workers_zone_liveness(controller->workers);
}

static bool workers_are_unreachable(const void *context) {
  const struct tmx_controller *controller = context;
  return tmx_workers_are_unreachable(controller->workers);
}

static void make_store(struct tmx_controller *controller) {
  struct tmx_view_observer observer = tmx_controller_view_observer(controller);
  controller->store = tmx_store_new(controller->loop, &controller->settings, &controller->replica);
  controller->authority = (struct tmx_authority){.settings = &controller->settings,
                                                 .replica = &controller->replica,
                                                 .store = controller->store};
  controller->view_manager = tmx_view_manager_new(&controller->settings, &controller->replica,
                                                  controller->store, &observer);
  controller->compaction =
      tmx_compaction_new(&controller->settings, &controller->replica, controller->store);
}

static void make_scheduler(struct tmx_controller *controller) {
  controller->admission =
      tmx_admission_control_new(&controller->settings, &controller->replica, &controller->catalog);
  struct tmx_scheduler_dependencies dependencies = {
      .loop = controller->loop,
      .settings = &controller->settings,
      .replica = &controller->replica,
      .store = controller->store,
      .authority = &controller->authority,
      .catalog = &controller->catalog,
      .admission = controller->admission,
      .source = {.context = controller,
                 .collect_completions = collect_completions,
                 .collect_unregistered = collect_unregistered}};
  controller->scheduler = tmx_scheduler_new(&dependencies);
}

static void make_peers(struct tmx_controller *controller) {
  struct tmx_peers_dependencies dependencies = {
      .loop = controller->loop,
      .settings = &controller->settings,
      .replica = &controller->replica,
      .store = controller->store,
      .source = {.context = controller,
                 .for_each_suspicion = for_each_suspicion,
                 .on_suspicion = on_suspicion,
                 .zone_liveness = zone_liveness,
                 .workers_are_unreachable = workers_are_unreachable}};
  controller->peers = tmx_peers_new(&dependencies);
}

static void make_workers(struct tmx_controller *controller) {
  struct tmx_workers_dependencies dependencies = {.loop = controller->loop,
                                                  .settings = &controller->settings,
                                                  .replica = &controller->replica,
                                                  .store = controller->store,
                                                  .authority = &controller->authority,
                                                  .view_manager = controller->view_manager,
                                                  .loop_monitor = &controller->loop_monitor,
                                                  .peers = controller->peers,
                                                  .scheduler = controller->scheduler};
  controller->workers = tmx_workers_new(&dependencies);
}

static void make_cloud(struct tmx_controller *controller) {
  struct tmx_cloud_dependencies dependencies = {.loop = controller->loop,
                                                .settings = &controller->settings,
                                                .replica = &controller->replica,
                                                .store = controller->store,
                                                .catalog = &controller->catalog,
                                                .peers = controller->peers,
                                                .scheduler = controller->scheduler,
                                                .workers = controller->workers};
  controller->cloud = tmx_cloud_new(&dependencies);
}

static void make_user_api(struct tmx_controller *controller) {
  struct tmx_user_api_dependencies dependencies = {.settings = &controller->settings,
                                                   .replica = &controller->replica,
                                                   .store = controller->store,
                                                   .catalog = &controller->catalog,
                                                   .admission = controller->admission,
                                                   .scheduler = controller->scheduler};
  controller->user_api = tmx_user_api_new(&dependencies);
}

static void make_server(struct tmx_controller *controller) {
  const struct tmx_settings *settings = &controller->settings;
  double idle_s =
      fmax(TMX_IDLE_CONNECTION_TIMEOUT_S, TMX_IDLE_CONNECTION_REPORT_PERIODS * settings->report_s);
  controller->server =
      tmx_http_server_new(controller->loop, settings->listen, tmx_incoming_sockets_max(settings),
                          idle_s, tmx_controller_handle_request, controller);
}

static void start_watchers(struct tmx_controller *controller) {
  ev_timer_init(&controller->tick_timer, on_tick, 0, TMX_TICK_PERIOD_S);
  controller->tick_timer.data = controller;
  ev_timer_start(controller->loop, &controller->tick_timer);
  ev_prepare_init(&controller->prepare, on_prepare);
  controller->prepare.data = controller;
  ev_prepare_start(controller->loop, &controller->prepare);
}

struct tmx_controller *tmx_controller_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                          char *error, size_t error_size) {
  struct tmx_controller *controller = tmx_allocate(1, sizeof *controller);
  controller->loop = loop;
  controller->settings = *settings;
  controller->started_at = tmx_clock_steady();
  tmx_replica_init(&controller->replica, &controller->settings);
  tmx_controller_observe_replica(controller);
  make_store(controller);
  make_scheduler(controller);
  make_peers(controller);
  const char *failed = controller->peers ? NULL : "peer_listen";
  if (!failed) {
    make_workers(controller);
    make_cloud(controller);
    make_user_api(controller);
    make_server(controller);
    if (!controller->server) failed = "listen";
  }
  if (failed) {
    snprintf(error, error_size, "settings: %s: %s cannot be listened on", failed,
             controller->peers ? settings->listen : settings->peer_listen);
    tmx_controller_free(controller);
    return NULL;
  }
  start_watchers(controller);
  return controller;
}

void tmx_controller_free(struct tmx_controller *controller) {
  ev_prepare_stop(controller->loop, &controller->prepare);
  ev_timer_stop(controller->loop, &controller->tick_timer);
  if (controller->server) tmx_http_server_free(controller->server);
  if (controller->cloud) tmx_cloud_free(controller->cloud);
  tmx_compaction_free(controller->compaction);
  tmx_store_free(controller->store);
  if (controller->peers) tmx_peers_free(controller->peers);
  if (controller->user_api) tmx_user_api_free(controller->user_api);
  if (controller->workers) tmx_workers_free(controller->workers);
  controller->replica.on_before_clear = NULL;
  tmx_replica_clear(&controller->replica);
  tmx_scheduler_free(controller->scheduler);
  tmx_view_manager_free(controller->view_manager);
  tmx_admission_control_free(controller->admission);
  free(controller);
}

void tmx_controller_log_accounts(const struct tmx_controller *controller) {
  tmx_admission_control_log_accounts(controller->admission);
}
