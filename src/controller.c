/* One controller: routes requests, makes rounds, keeps the view. The loop's thread owns all
 * state; the planner's thread gets a copy under a short lock, plans without it and hands the
 * result back. */
#include "controller.h"

#include <gsl/gsl_rng.h>
#include <http_parser.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "core/outlook.h"
#include "net/log.h"
#include "tmx/wire.h"

/* ------------------------------------------------------------ random numbers */

static gsl_rng *rng(void) {
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
int tmx_random_below(int n) { return (int)gsl_rng_uniform_int(rng(), (unsigned long)n); }
int tmx_retry_after(void) { return TMX_RETRY_AFTER_MIN + tmx_random_below(TMX_RETRY_AFTER_SPAN); }

/* ------------------------------------------------------------ entitlement */

bool tmx_ctl_fresh(const struct tmx_ctl *c) {
  double at = tmx_store_fresh_as_of(c->link);
  return c->rep.loaded && at > 0 && tmx_clock_steady() - at < tmx_fresh_bound(&c->set);
}

/* Work that runs goes on without the state for as long as a cancellation allows. Nothing is
 * started, though: another controller may have cancelled it since, and told its user. */
bool tmx_ctl_may_start(const struct tmx_ctl *c) {
  return tmx_ctl_fresh(c) &&
         tmx_clock_steady() - tmx_store_fresh_as_of(c->link) < TMX_START_FRESH_S;
}

/* The state service answers others but not this controller: others should do the work. When it
 * answers nobody, everybody stays at work as far as freshness allows. */
bool tmx_ctl_cut_off(const struct tmx_ctl *c) {
  double at = tmx_store_fresh_as_of(c->link);
  if (c->rep.loaded && tmx_clock_steady() - at < TMX_STATE_LOST_S) return false;
  return tmx_peers_state_age(c->peers) < TMX_STATE_LOST_S / 2;
}

/* Users are sent elsewhere sooner than workers: nothing runs on for them here. */
static bool ready(const struct tmx_ctl *c) {
  double at = tmx_store_fresh_as_of(c->link);
  if (!tmx_ctl_fresh(c) || tmx_ctl_cut_off(c)) return false;
  return tmx_clock_steady() - at < TMX_STATE_LOST_S || tmx_peers_any(c->peers);
}

int tmx_ctl_self(const struct tmx_ctl *c) { return tmx_member_index(&c->rep, c->set.node); }

uint64_t tmx_ctl_token(const struct tmx_ctl *c, uint32_t bump) {
  return (c->rep.view.term << TMX_BUMP_BITS) + bump;
}

/* ------------------------------------------------------------ view */

static void on_view_sent(void *arg, int res, uint64_t revision) {
  struct tmx_ctl *c = arg;
  (void)res;
  (void)revision;
  c->view_busy = false;
}

static void commit_view(struct tmx_ctl *c, const struct tmx_view *new_view) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer buffer = {0};
  struct tmx_view copy = *new_view, *view = &copy;
  tmx_transaction_require_version(&transaction, TMX_KEY_VIEW, c->rep.view.version);
  tmx_view_encode(&buffer, view);
  /* a value is bounded: the oldest exceptions go, their machines fall back to the hash */
  while (tmx_json_length(&buffer) > tmx_value_room(&c->set) && view->n_overrides) {
    size_t cut = view->n_overrides / 4 + 1;
    view->overrides += cut;
    view->n_overrides -= cut;
    buffer.length = 0;
    tmx_view_encode(&buffer, view);
  }
  tmx_transaction_put(&transaction, TMX_KEY_VIEW, &buffer, 0);
  tmx_transaction_advance_head(&transaction, c->set.node);
  tmx_buffer_free(&buffer);
  c->view_at = tmx_clock_steady();
  c->view_busy = tmx_store_commit(c->link, &transaction, true, on_view_sent, c);
}

void tmx_ctl_take(struct tmx_ctl *c, const char *const *machines, size_t n) {
  if (c->view_busy || !tmx_store_is_member(c->link) ||
      tmx_clock_steady() - c->view_at < TMX_VIEW_SPACING_S)
    return;
  struct tmx_view view = c->rep.view;
  struct tmx_owner_override *override = calloc(view.n_overrides + n, sizeof *override);
  if (!override) abort();
  size_t at = 0;
  for (size_t i = 0; i < view.n_overrides; i++) {
    const char *m = view.overrides[i].machine;
    bool stays = tmx_machine_find(&c->rep, m) != NULL;
    for (size_t k = 0; stays && k < n; k++) stays = strcmp(m, machines[k]) != 0;
    if (stays) override[at++] = view.overrides[i];
  }
  for (size_t k = 0; k < n; k++, at++) {
    snprintf(override[at].machine, sizeof override[at].machine, "%s", machines[k]);
    snprintf(override[at].node, sizeof override[at].node, "%s", c->set.node);
    tmx_log(TMX_LOG_INFO, "view: taking %s, which cannot reach its owner", machines[k]);
  }
  view.overrides = override;
  view.n_overrides = at;
  view.term++;
  commit_view(c, &view);
  free(override);
}

static struct tmx_peer_census look_around(const struct tmx_ctl *c) {
  struct tmx_peer_census census = {0};
  int zone = tmx_zone_index(&c->set, c->set.zone);
  for (size_t i = 0; i < c->rep.n_registered_members; i++) {
    const char *n = c->rep.registered_members[i].name;
    if (!strcmp(n, c->set.node)) continue;
    bool heard = tmx_peers_silence(c->peers, n) < TMX_BEAT_LOST_S;
    bool near = tmx_node_zone(&c->set, n) == zone;
    census.others++;
    census.heard += heard;
    census.same_zone += near;
    census.same_zone_heard += near && heard;
    census.other_zones += !near;
    census.other_zones_heard += !near && heard;
  }
  return census;
}

static bool seems_lost(const struct tmx_ctl *c, const char *name,
                       const struct tmx_peer_census *census, double since) {
  double now = tmx_clock_steady();
  struct tmx_peer_evidence evidence = {
      .refuses_connections = tmx_peers_refused(c->peers, name),
      .reports_no_workers = tmx_peers_cut(c->peers, name),
      .silence_s = tmx_peers_silence(c->peers, name),
      .last_batch_age_s = now - tmx_replica_last_batch_at(&c->rep, name),
      .observed_for_s = now - fmax(since, c->trouble_at)};
  return strcmp(name, c->set.node) && tmx_peer_is_suspected(census, &evidence);
}

/* The leader keeps the members equal to the registered runs, without those that seem lost. */
static void view_step(struct tmx_ctl *c) {
  struct tmx_replica *replica = &c->rep;
  double now = tmx_clock_steady();
  bool leads = replica->loaded && replica->leader_version &&
               !strcmp(replica->leader, c->set.node) &&
               replica->leader_incarnation == tmx_store_incarnation(c->link);
  if (!leads) c->led_at = now;
  if (!tmx_store_incarnation(c->link) || !leads || c->view_busy ||
      now - c->view_at < TMX_VIEW_SPACING_S)
    return;
  struct tmx_view view = {.term = replica->view.term + 1};
  struct tmx_peer_census census = look_around(c);
  /* back to the hash only when both have been heard for a while */
  if (tmx_zones_are_partitioned(&census)) c->split_at = now;
  view.zones_partitioned = c->split_at && now - c->split_at < TMX_SPLIT_HOLD_S;
  for (size_t i = 0; i < replica->n_registered_members; i++)
    if (!seems_lost(c, replica->registered_members[i].name, &census, c->led_at))
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
  commit_view(c, &view);
  free(view.overrides);
}

/* Whether this controller reaches hardly any of its workers: others should drive them. */
bool tmx_ctl_no_workers(const struct tmx_ctl *c) {
  struct tmx_reachability reachability = tmx_workers_reachability(c->workers);
  return reachability.owned >= TMX_REACH_LEAST && reachability.reached * 4 < reachability.owned;
}

/* ------------------------------------------------------------ events of the replica */

static void on_machine(void *arg, struct tmx_machine *machine) {
  struct tmx_ctl *c = arg;
  tmx_scheduler_machine_changed(c->rounds, machine);
  tmx_workers_machine_changed(c->workers, machine);
}
static void on_gone(void *arg, struct tmx_machine *machine) {
  struct tmx_ctl *c = arg;
  tmx_scheduler_machine_removed(c->rounds, machine);
  tmx_workers_machine_removed(c->workers, machine);
}
static void on_job(void *arg, struct tmx_job *job) {
  struct tmx_ctl *c = arg;
  tmx_scheduler_job_changed(c->rounds, job);
}
static void on_view(void *arg) {
  struct tmx_ctl *c = arg;
  struct tmx_job *job, *t;
  HASH_ITER(hh, c->rep.jobs, job, t) if (!job->outcome) tmx_scheduler_job_changed(c->rounds, job);
  tmx_workers_view_changed(c->workers);
}
static void on_clear(void *arg) {
  struct tmx_ctl *c = arg;
  tmx_scheduler_reset(c->rounds);
  tmx_workers_replica_cleared(c->workers);
}
static void on_change(void *arg) {
  struct tmx_ctl *c = arg;
  tmx_scheduler_trigger(c);
}

/* Runs after the callbacks of one turn of the loop: events have been applied by then. */
static void on_prepare(struct ev_loop *l, ev_prepare *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_ctl *c = w->data;
  tmx_workers_flush(c->workers);
  tmx_scheduler_flush(c->rounds);
}

/* The leader is taken for lost when its process refuses connections and writes nothing, or when it
 * alone is silent, or says that it reaches no workers. */
static bool leader_lost(const struct tmx_ctl *c) {
  const char *l = c->rep.leader;
  if (!c->rep.leader_version || !strcmp(l, c->set.node) || tmx_ctl_no_workers(c)) return false;
  struct tmx_peer_census census = look_around(c);
  return seems_lost(c, l, &census, c->started_at);
}

static void on_tick(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_ctl *c = w->data;
  double now = tmx_clock_steady();
  /* it stood still, or has more to do than its processor allows: time is missing here */
  if (c->tick_at && now - c->tick_at > TMX_TICK_S + TMX_LATE_S) {
    c->late_at = now;
    tmx_log(TMX_LOG_INFO, "loop: %.2f s late", now - c->tick_at - TMX_TICK_S);
  }
  c->tick_at = now;
  /* coming back from a cut it hears the others one after the other: the last one is not lost */
  if (c->late_at == now || now - tmx_store_fresh_as_of(c->link) > TMX_STATE_LOST_S ||
      !tmx_peers_any(c->peers))
    c->trouble_at = now;
  tmx_peers_tick(c->peers);
  tmx_store_suspect_leader(c->link, leader_lost(c) ? c->rep.leader : "");
  tmx_store_abstain_from_election(c->link, tmx_ctl_no_workers(c) && tmx_peers_any(c->peers));
  tmx_store_tick(c->link);
  view_step(c);
  tmx_compaction_tick(c->fold);
  tmx_cloud_tick(c->cloud);
  tmx_workers_tick(c->workers);
  tmx_gate_tick(c->gate);
}

/* ------------------------------------------------------------ requests */

static void on_request(void *arg, struct tmx_http_request *request) {
  struct tmx_ctl *c = arg;
  if (!strcmp(request->path, WP_READY)) {
    tmx_http_reply(request, ready(c) ? 200 : 503, NULL, 0);
  } else if (!strcmp(request->path, WP_REPORT)) {
    if (request->method == HTTP_POST)
      tmx_workers_handle_heartbeat(c->workers, request);
    else
      tmx_http_reply(request, 405, NULL, 0);
  } else if (!tmx_users_handle(c->users, request)) {
    tmx_http_reply(request, 404, NULL, 0);
  }
}

struct tmx_ctl *tmx_ctl_new(struct ev_loop *loop, const struct tmx_settings *s, char *err,
                            size_t cap) {
  struct tmx_ctl *c = calloc(1, sizeof *c);
  if (!c) abort();
  c->loop = loop;
  c->set = *s;
  tmx_replica_init(&c->rep, &c->set);
  c->rep.observer = c;
  c->rep.on_machine_changed = on_machine;
  c->rep.on_machine_removed = on_gone;
  c->rep.on_schedulable_change = on_change;
  c->rep.on_job_changed = on_job;
  c->rep.on_view_changed = on_view;
  c->rep.on_cleared = on_clear;
  c->started_at = tmx_clock_steady();
  c->gate = tmx_gate_new(c);
  c->workers = tmx_workers_new(c);
  c->users = tmx_users_new(c);
  c->peers = tmx_peers_new(c);
  if (!c->peers) {
    snprintf(err, cap, "settings: peer_listen: %s cannot be listened on", s->peer_listen);
    return NULL;
  }
  c->server =
      tmx_http_server_new(loop, s->listen, tmx_sockets_in(s),
                          fmax(TMX_IDLE_CLOSE_S, TMX_IDLE_REPORTS * s->report_s), on_request, c);
  if (!c->server) {
    snprintf(err, cap, "settings: listen: %s cannot be listened on", s->listen);
    return NULL;
  }
  c->rounds = tmx_scheduler_new(c);
  c->link = tmx_store_new(loop, &c->set, &c->rep);
  c->cloud = tmx_cloud_new(c);
  c->fold = tmx_compaction_new(c);
  ev_timer_init(&c->tick, on_tick, 0, TMX_TICK_S);
  c->tick.data = c;
  ev_timer_start(loop, &c->tick);
  ev_prepare_init(&c->prepare, on_prepare);
  c->prepare.data = c;
  ev_prepare_start(loop, &c->prepare);
  return c;
}

void tmx_ctl_free(struct tmx_ctl *c) {
  ev_prepare_stop(c->loop, &c->prepare);
  ev_timer_stop(c->loop, &c->tick);
  tmx_http_server_free(c->server);
  tmx_cloud_free(c->cloud);
  tmx_compaction_free(c->fold);
  tmx_store_free(c->link);
  tmx_peers_free(c->peers);
  tmx_users_free(c->users);
  tmx_workers_free(c->workers);
  c->rep.on_cleared = NULL;
  tmx_replica_clear(&c->rep);
  tmx_scheduler_free(c->rounds);
  tmx_gate_free(c->gate);
  free(c);
}
