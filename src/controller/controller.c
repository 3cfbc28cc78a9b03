/* One controller: routes requests, makes rounds, keeps the view. The loop's thread owns all
 * state; the planner's thread gets a copy under a short lock, plans without it and hands the
 * result back. */
#include "controller/controller.h"

#include <gsl/gsl_rng.h>
#include <http_parser.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "controller/failure_detector.h"
#include "base/log.h"
#include "tmx/wire.h"

/* ------------------------------------------------------------ random numbers */

static gsl_rng *random_generator(void) {
  static gsl_rng *g;
  if (!g) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    g = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(
        g, (unsigned long)t.tv_nsec ^ ((unsigned long)getpid() << 20) ^ (unsigned long)t.tv_sec);
  }
  return g;
}
int tmx_random_below(int n) {
  return (int)gsl_rng_uniform_int(random_generator(), (unsigned long)n);
}
int tmx_retry_after(void) { return TMX_RETRY_AFTER_MIN + tmx_random_below(TMX_RETRY_AFTER_SPAN); }

/* ------------------------------------------------------------ entitlement */

bool tmx_controller_may_act(const struct tmx_controller *controller) {
  double at = tmx_store_fresh_as_of(controller->store);
  return controller->replica.loaded && at > 0 &&
         tmx_clock_steady() - at < tmx_fresh_bound(&controller->settings);
}

/* Work that runs goes on without the state for as long as a cancellation allows. Nothing is
 * started, though: another controller may have cancelled it since, and told its user. */
bool tmx_controller_may_start_tasks(const struct tmx_controller *controller) {
  return tmx_controller_may_act(controller) &&
         tmx_clock_steady() - tmx_store_fresh_as_of(controller->store) < TMX_START_FRESH_S;
}

/* The state service answers others but not this controller: others should do the work. When it
 * answers nobody, everybody stays at work as far as freshness allows. */
bool tmx_controller_lost_store_alone(const struct tmx_controller *controller) {
  double at = tmx_store_fresh_as_of(controller->store);
  if (controller->replica.loaded && tmx_clock_steady() - at < TMX_STORE_LOST_S) return false;
  return tmx_peers_store_age(controller->peers) < TMX_STORE_LOST_S / 2;
}

/* Users are sent elsewhere sooner than workers: nothing runs on for them here. */
static bool is_ready(const struct tmx_controller *controller) {
  double at = tmx_store_fresh_as_of(controller->store);
  if (!tmx_controller_may_act(controller) || tmx_controller_lost_store_alone(controller))
    return false;
  return tmx_clock_steady() - at < TMX_STORE_LOST_S || tmx_peers_any_alive(controller->peers);
}

int tmx_controller_member_index(const struct tmx_controller *controller) {
  return tmx_member_index(&controller->replica, controller->settings.node_name);
}

uint64_t tmx_controller_fencing_token(const struct tmx_controller *controller, uint32_t bump) {
  return (controller->replica.view.term << TMX_TOKEN_SEQUENCE_BITS) + bump;
}

/* ------------------------------------------------------------ view */

static void on_view_committed(void *arg, int res, uint64_t revision) {
  struct tmx_controller *controller = arg;
  (void)res;
  (void)revision;
  controller->view_commit_in_flight = false;
}

static void commit_view(struct tmx_controller *controller, const struct tmx_view *new_view) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer buffer = {0};
  struct tmx_view copy = *new_view, *view = &copy;
  tmx_transaction_require_version(&transaction, TMX_KEY_VIEW, controller->replica.view.version);
  tmx_view_encode(&buffer, view);
  /* a value is bounded: the oldest exceptions go, their machines fall back to the hash */
  while (tmx_json_length(&buffer) > tmx_value_room(&controller->settings) && view->n_overrides) {
    size_t cut = view->n_overrides / 4 + 1;
    view->overrides += cut;
    view->n_overrides -= cut;
    buffer.length = 0;
    tmx_view_encode(&buffer, view);
  }
  tmx_transaction_put(&transaction, TMX_KEY_VIEW, &buffer, 0);
  tmx_transaction_advance_head(&transaction, controller->settings.node_name);
  tmx_buffer_free(&buffer);
  controller->view_committed_at = tmx_clock_steady();
  controller->view_commit_in_flight =
      tmx_store_commit(controller->store, &transaction, true, on_view_committed, controller);
}

void tmx_controller_take_over(struct tmx_controller *controller, const char *const *machines,
                              size_t n) {
  if (controller->view_commit_in_flight || !tmx_store_is_member(controller->store) ||
      tmx_clock_steady() - controller->view_committed_at < TMX_VIEW_SPACING_S)
    return;
  struct tmx_view view = controller->replica.view;
  struct tmx_owner_override *override = calloc(view.n_overrides + n, sizeof *override);
  if (!override) abort();
  size_t at = 0;
  for (size_t i = 0; i < view.n_overrides; i++) {
    const char *m = view.overrides[i].machine;
    bool stays = tmx_machine_find(&controller->replica, m) != NULL;
    for (size_t k = 0; stays && k < n; k++) stays = strcmp(m, machines[k]) != 0;
    if (stays) override[at++] = view.overrides[i];
  }
  for (size_t k = 0; k < n; k++, at++) {
    snprintf(override[at].machine, sizeof override[at].machine, "%s", machines[k]);
    snprintf(override[at].node, sizeof override[at].node, "%s", controller->settings.node_name);
    tmx_log(TMX_LOG_INFO, "view: taking %s, which cannot reach its owner", machines[k]);
  }
  view.overrides = override;
  view.n_overrides = at;
  view.term++;
  commit_view(controller, &view);
  free(override);
}

static struct tmx_peer_census observe_peers(const struct tmx_controller *controller) {
  struct tmx_peer_census census = {0};
  int zone = tmx_zone_index(&controller->settings, controller->settings.zone);
  for (size_t i = 0; i < controller->replica.n_registered_members; i++) {
    const char *n = controller->replica.registered_members[i].name;
    if (!strcmp(n, controller->settings.node_name)) continue;
    bool heard = tmx_peers_silence(controller->peers, n) < TMX_HEARTBEAT_LOST_S;
    bool near = tmx_node_zone(&controller->settings, n) == zone;
    census.others++;
    census.heard += heard;
    census.same_zone += near;
    census.same_zone_heard += near && heard;
    census.other_zones += !near;
    census.other_zones_heard += !near && heard;
  }
  return census;
}

static bool is_suspected(const struct tmx_controller *controller, const char *name,
                         const struct tmx_peer_census *census, double since) {
  double now = tmx_clock_steady();
  struct tmx_peer_evidence evidence = {
      .refuses_connections = tmx_peers_refuses_connections(controller->peers, name),
      .reports_no_workers = tmx_peers_reports_no_workers(controller->peers, name),
      .silence_s = tmx_peers_silence(controller->peers, name),
      .last_batch_age_s = now - tmx_replica_last_batch_at(&controller->replica, name),
      .observed_for_s = now - fmax(since, controller->impaired_at)};
  return strcmp(name, controller->settings.node_name) && tmx_peer_is_suspected(census, &evidence);
}

/* The leader keeps the members equal to the registered runs, without those that seem lost. */
static void maintain_view(struct tmx_controller *controller) {
  struct tmx_replica *replica = &controller->replica;
  double now = tmx_clock_steady();
  bool leads = replica->loaded && replica->leader_version &&
               !strcmp(replica->leader, controller->settings.node_name) &&
               replica->leader_incarnation == tmx_store_incarnation(controller->store);
  if (!leads) controller->leading_since = now;
  if (!tmx_store_incarnation(controller->store) || !leads || controller->view_commit_in_flight ||
      now - controller->view_committed_at < TMX_VIEW_SPACING_S)
    return;
  struct tmx_view view = {.term = replica->view.term + 1};
  struct tmx_peer_census census = observe_peers(controller);
  /* back to the hash only when both have been heard for a while */
  if (tmx_zones_are_partitioned(&census)) controller->zones_partitioned_at = now;
  view.zones_partitioned = controller->zones_partitioned_at &&
                           now - controller->zones_partitioned_at < TMX_ZONE_PARTITION_HOLD_S;
  for (size_t i = 0; i < replica->n_registered_members; i++)
    if (!is_suspected(controller, replica->registered_members[i].name, &census,
                      controller->leading_since))
      view.members[view.n_members++] = replica->registered_members[i];
  bool same = view.n_members == replica->view.n_members &&
              view.zones_partitioned == replica->view.zones_partitioned;
  for (size_t i = 0; same && i < view.n_members; i++) {
    const struct tmx_member *member = tmx_member_find(replica, view.members[i].name);
    same = member && member->incarnation == view.members[i].incarnation;
  }
  if (same) return;
  view.overrides = calloc(replica->view.n_overrides + 1, sizeof *view.overrides);
  if (!view.overrides) abort();
  for (size_t i = 0; i < replica->view.n_overrides; i++)
    for (size_t k = 0; k < view.n_members; k++)
      if (!strcmp(view.members[k].name, replica->view.overrides[i].node) &&
          tmx_machine_find(replica, replica->view.overrides[i].machine))
        view.overrides[view.n_overrides++] = replica->view.overrides[i];
  tmx_log(TMX_LOG_INFO, "view: term %llu with %zu members%s", (unsigned long long)view.term,
          view.n_members, view.zones_partitioned ? ", each zone by itself" : "");
  commit_view(controller, &view);
  free(view.overrides);
}

/* Whether this controller reaches hardly any of its workers: others should drive them. */
bool tmx_controller_lost_workers(const struct tmx_controller *controller) {
  struct tmx_reachability reachability = tmx_workers_reachability(controller->workers);
  return reachability.owned >= TMX_REACHABILITY_MACHINES_MIN &&
         reachability.reached * 4 < reachability.owned;
}

/* ------------------------------------------------------------ events of the replica */

static void on_machine_changed(void *arg, struct tmx_machine *machine) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_machine_changed(controller->scheduler, machine);
  tmx_workers_machine_changed(controller->workers, machine);
}
static void on_machine_removed(void *arg, struct tmx_machine *machine) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_machine_removed(controller->scheduler, machine);
  tmx_workers_machine_removed(controller->workers, machine);
}
static void on_job_changed(void *arg, struct tmx_job *job) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_job_changed(controller->scheduler, job);
}
static void on_view_changed(void *arg) {
  struct tmx_controller *controller = arg;
  struct tmx_job *job, *t;
  HASH_ITER(hh, controller->replica.jobs, job, t)
  if (!job->outcome) tmx_scheduler_job_changed(controller->scheduler, job);
  tmx_workers_view_changed(controller->workers);
}
static void on_cleared(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_reset(controller->scheduler);
  tmx_workers_replica_cleared(controller->workers);
}
static void on_schedulable_change(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_scheduler_trigger(controller);
}

/* Runs after the callbacks of one turn of the loop: events have been applied by then. */
static void on_prepare(struct ev_loop *l, ev_prepare *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_controller *controller = w->data;
  tmx_workers_flush(controller->workers);
  tmx_scheduler_flush(controller->scheduler);
}

/* The leader is taken for lost when its process refuses connections and writes nothing, or when it
 * alone is silent, or says that it reaches no workers. */
static bool leader_is_suspected(const struct tmx_controller *controller) {
  const char *l = controller->replica.leader;
  if (!controller->replica.leader_version || !strcmp(l, controller->settings.node_name) ||
      tmx_controller_lost_workers(controller))
    return false;
  struct tmx_peer_census census = observe_peers(controller);
  return is_suspected(controller, l, &census, controller->started_at);
}

static void on_tick(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_controller *controller = w->data;
  double now = tmx_clock_steady();
  /* it stood still, or has more to do than its processor allows: time is missing here */
  if (controller->last_tick_at && now - controller->last_tick_at > TMX_TICK_S + TMX_LOOP_LATE_S) {
    controller->last_late_tick_at = now;
    tmx_log(TMX_LOG_INFO, "loop: %.2f s late", now - controller->last_tick_at - TMX_TICK_S);
  }
  controller->last_tick_at = now;
  /* coming back from a cut it hears the others one after the other: the last one is not lost */
  if (controller->last_late_tick_at == now ||
      now - tmx_store_fresh_as_of(controller->store) > TMX_STORE_LOST_S ||
      !tmx_peers_any_alive(controller->peers))
    controller->impaired_at = now;
  tmx_peers_tick(controller->peers);
  tmx_store_suspect_leader(controller->store,
                           leader_is_suspected(controller) ? controller->replica.leader : "");
  tmx_store_abstain_from_election(controller->store, tmx_controller_lost_workers(controller) &&
                                                         tmx_peers_any_alive(controller->peers));
  tmx_store_tick(controller->store);
  maintain_view(controller);
  tmx_compaction_tick(controller->compaction);
  tmx_cloud_tick(controller->cloud);
  tmx_workers_tick(controller->workers);
  tmx_admission_control_tick(controller->admission);
}

/* ------------------------------------------------------------ requests */

static void on_request(void *arg, struct tmx_http_request *request) {
  struct tmx_controller *controller = arg;
  if (!strcmp(request->path, WP_READY)) {
    tmx_http_reply(request, is_ready(controller) ? 200 : 503, NULL, 0);
  } else if (!strcmp(request->path, WP_REPORT)) {
    if (request->method == HTTP_POST)
      tmx_workers_handle_heartbeat(controller->workers, request);
    else
      tmx_http_reply(request, 405, NULL, 0);
  } else if (!tmx_users_handle(controller->users, request)) {
    tmx_http_reply(request, 404, NULL, 0);
  }
}

struct tmx_controller *tmx_controller_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                          char *err, size_t cap) {
  struct tmx_controller *controller = calloc(1, sizeof *controller);
  if (!controller) abort();
  controller->loop = loop;
  controller->settings = *settings;
  tmx_replica_init(&controller->replica, &controller->settings);
  controller->replica.observer = controller;
  controller->replica.on_machine_changed = on_machine_changed;
  controller->replica.on_machine_removed = on_machine_removed;
  controller->replica.on_schedulable_change = on_schedulable_change;
  controller->replica.on_job_changed = on_job_changed;
  controller->replica.on_view_changed = on_view_changed;
  controller->replica.on_cleared = on_cleared;
  controller->started_at = tmx_clock_steady();
  controller->admission = tmx_admission_control_new(controller);
  controller->workers = tmx_workers_new(controller);
  controller->users = tmx_users_new(controller);
  controller->peers = tmx_peers_new(controller);
  if (!controller->peers) {
    snprintf(err, cap, "settings: peer_listen: %s cannot be listened on", settings->peer_listen);
    return NULL;
  }
  controller->server = tmx_http_server_new(
      loop, settings->listen, tmx_sockets_in(settings),
      fmax(TMX_IDLE_CLOSE_S, TMX_IDLE_REPORTS * settings->report_s), on_request, controller);
  if (!controller->server) {
    snprintf(err, cap, "settings: listen: %s cannot be listened on", settings->listen);
    return NULL;
  }
  controller->scheduler = tmx_scheduler_new(controller);
  controller->store = tmx_store_new(loop, &controller->settings, &controller->replica);
  controller->cloud = tmx_cloud_new(controller);
  controller->compaction = tmx_compaction_new(controller);
  ev_timer_init(&controller->tick_timer, on_tick, 0, TMX_TICK_S);
  controller->tick_timer.data = controller;
  ev_timer_start(loop, &controller->tick_timer);
  ev_prepare_init(&controller->prepare, on_prepare);
  controller->prepare.data = controller;
  ev_prepare_start(loop, &controller->prepare);
  return controller;
}

void tmx_controller_free(struct tmx_controller *controller) {
  ev_prepare_stop(controller->loop, &controller->prepare);
  ev_timer_stop(controller->loop, &controller->tick_timer);
  tmx_http_server_free(controller->server);
  tmx_cloud_free(controller->cloud);
  tmx_compaction_free(controller->compaction);
  tmx_store_free(controller->store);
  tmx_peers_free(controller->peers);
  tmx_users_free(controller->users);
  tmx_workers_free(controller->workers);
  controller->replica.on_cleared = NULL;
  tmx_replica_clear(&controller->replica);
  tmx_scheduler_free(controller->scheduler);
  tmx_admission_control_free(controller->admission);
  free(controller);
}
