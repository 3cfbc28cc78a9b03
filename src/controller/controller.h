/* One controller: the modules, the loop that drives them and the rounds. */
#ifndef TMX_CONTROLLER_H
#define TMX_CONTROLLER_H
#include <ev.h>

#include "admission/admission_control.h"
#include "config/settings.h"
#include "controller/failure_detector.h"
#include "planner/planner.h"
#include "net/http.h"
#include "store/store.h"
#include "replica/replica.h"

struct tmx_workers;
struct tmx_users;
struct tmx_cloud;
struct tmx_peers;
struct tmx_scheduler;
struct tmx_compaction;

struct tmx_controller {
  struct ev_loop *loop;
  struct tmx_settings settings;
  struct tmx_replica replica;
  struct tmx_store *store;
  struct tmx_workers *workers;
  struct tmx_users *users;
  struct tmx_cloud *cloud;
  struct tmx_peers *peers;
  struct tmx_http_server *server;
  struct tmx_scheduler *scheduler;
  struct tmx_compaction *compaction;
  struct tmx_admission_control *admission; /* NULL: every submission that can run is admitted */
  ev_timer tick_timer;
  ev_prepare prepare;
  bool view_commit_in_flight;
  double view_committed_at, zones_partitioned_at, started_at;
  double leading_since; /* this controller has led since */
  double impaired_at;   /* it was late, without state or without peers, until then */
  double last_tick_at, last_late_tick_at; /* latest tick, and the latest one that came late */
};

/* false: err says why */
struct tmx_controller *tmx_controller_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                          char *err, size_t cap);
void tmx_controller_free(struct tmx_controller *controller);
int tmx_controller_member_index(
    const struct tmx_controller *controller); /* member index; -1: none */
bool tmx_controller_may_act(
    const struct tmx_controller *controller); /* may act for the controllers */
bool tmx_controller_may_start_tasks(
    const struct tmx_controller *controller); /* ... and have tasks begin */
bool tmx_controller_lost_store_alone(
    const struct tmx_controller *controller); /* from a state service that others reach */
bool tmx_controller_lost_workers(
    const struct tmx_controller *controller); /* it reaches hardly any of its own */
uint64_t tmx_controller_fencing_token(const struct tmx_controller *controller, uint32_t bump);
/* Takes machines over from owners that they cannot reach. */
void tmx_controller_take_over(struct tmx_controller *controller, const char *const *machines,
                              size_t n);
int tmx_retry_after(void);
int tmx_random_below(int n); /* 0 to n - 1 */

/* src/rounds: rounds of placing, and the batches that they write */
struct tmx_scheduler *tmx_scheduler_new(struct tmx_controller *controller);
void tmx_scheduler_free(struct tmx_scheduler *scheduler);
bool tmx_scheduler_is_planning(
    const struct tmx_scheduler *scheduler); /* for the tests: the planner has work */
void tmx_scheduler_trigger(struct tmx_controller *controller); /* something is worth a round now */
void tmx_scheduler_trigger_within(struct tmx_controller *controller,
                                  double s); /* ... within this time */
void tmx_scheduler_machine_changed(struct tmx_scheduler *scheduler,
                                   struct tmx_machine *machine); /* it changed */
void tmx_scheduler_job_changed(struct tmx_scheduler *scheduler, struct tmx_job *job);
void tmx_scheduler_machine_removed(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
void tmx_scheduler_reset(struct tmx_scheduler *scheduler);
/* A line for the log, kept until it is committed: a machine to be returned, or gone by proof. */
void tmx_scheduler_append_line(struct tmx_scheduler *scheduler, const char *line);
/* A submission for the log; cb(arg, TMX_TXN_*): committed, known already, refused or unknown;
 * or TMX_SUBMIT_OVERLOAD: not sent, as its team or class had no room by then. */
enum { TMX_SUBMIT_OVERLOAD = TMX_TRANSACTION_UNKNOWN + 1 };
typedef void (*tmx_submission_cb)(void *arg, int result);
enum tmx_submit_result {
  TMX_SUBMIT_QUEUED,
  TMX_SUBMIT_QUEUE_FULL, /* no room for it now */
  TMX_SUBMIT_TOO_LARGE,  /* more than a transaction can hold */
};
struct tmx_submission {
  char id[TMX_ID_MAX];
  struct tmx_job_spec spec;
  struct tmx_job_ids dependencies;
  double submitted_at; /* time of day, s */
};
enum tmx_submit_result tmx_scheduler_submit(struct tmx_controller *controller,
                                            const struct tmx_submission *submission, double within,
                                            tmx_submission_cb cb, void *arg);
void tmx_scheduler_flush(struct tmx_scheduler *scheduler); /* after each turn of the loop */

/* src/state: folding of old batches, by the leader */
struct tmx_compaction *tmx_compaction_new(struct tmx_controller *controller);
void tmx_compaction_free(struct tmx_compaction *compaction);
void tmx_compaction_tick(struct tmx_compaction *compaction);
void tmx_compaction_set_threshold(struct tmx_compaction *compaction,
                                  size_t keys); /* for the tests: another threshold */

/* src/worker */
struct tmx_workers *tmx_workers_new(struct tmx_controller *controller);
void tmx_workers_free(struct tmx_workers *workers);
void tmx_workers_handle_heartbeat(struct tmx_workers *workers, struct tmx_http_request *request);
void tmx_workers_machine_changed(struct tmx_workers *workers,
                                 struct tmx_machine *machine); /* its orders may differ */
void tmx_workers_machine_removed(struct tmx_workers *workers, struct tmx_machine *machine);
void tmx_workers_flush(struct tmx_workers *workers); /* sends what the latest events made due */
void tmx_workers_tick(struct tmx_workers *workers);  /* health and probes */
/* Ends that reports prove, at most max of them, and machines not registered yet. */
size_t tmx_workers_collect_completions(struct tmx_workers *workers, struct tmx_operation *ops,
                                       size_t max);
struct tmx_machine_facts {
  char id[TMX_ID_MAX], addr[TMX_NAME_MAX], type[TMX_ID_MAX], zone[TMX_NAME_MAX];
  bool spot;
};
size_t tmx_workers_collect_unregistered(struct tmx_workers *workers, struct tmx_machine_facts *out,
                                        size_t max);
void tmx_workers_view_changed(struct tmx_workers *workers);    /* owners may differ */
void tmx_workers_replica_cleared(struct tmx_workers *workers); /* the replica is read anew */
/* What the owners say of their machines: each of its own in its heartbeats, only of those that
 * something is wrong with. */
struct tmx_suspicion {
  char id[TMX_ID_MAX];
  double silence_s;        /* s without a sign of life */
  int probes_lost;         /* probes in a row */
  double unacknowledged_s; /* s that nothing has shown that it hears us; 0: it does */
  bool spot_notice;
};
typedef void (*tmx_suspicion_cb)(void *arg, const struct tmx_suspicion *suspicion);
void tmx_workers_each_suspicion(struct tmx_workers *workers, tmx_suspicion_cb callback, void *arg);
void tmx_workers_take_suspicion(struct tmx_workers *workers, const char *node, uint64_t term,
                                const struct tmx_suspicion *suspicion);
struct tmx_reachability { /* of the machines that this controller owns */
  unsigned owned, reached;
  double report_age_s; /* s since any worker's report came here; 1e9: never */
};
double tmx_workers_probe_rate(
    const struct tmx_controller *controller); /* a second, of one controller */
struct tmx_reachability tmx_workers_reachability(const struct tmx_workers *workers);
/* Signs of life of the machines that this controller owns, by zone. */
const struct tmx_zone_liveness *tmx_workers_zone_liveness(const struct tmx_workers *workers);
/* What its owner says of a machine; false: nothing is wrong, or the owner is not heard. */
bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out);

/* src/user */
struct tmx_users *tmx_users_new(struct tmx_controller *controller);
void tmx_users_free(struct tmx_users *users);
bool tmx_users_handle(struct tmx_users *users,
                      struct tmx_http_request *request); /* false: not its path */

/* src/cloud */
struct tmx_machine_type {
  char name[TMX_ID_MAX];
  double cpus, gpus, mem_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
  bool zones[TMX_ZONES_MAX];
};
struct tmx_cloud *tmx_cloud_new(struct tmx_controller *controller);
void tmx_cloud_free(struct tmx_cloud *cloud);
void tmx_cloud_tick(struct tmx_cloud *cloud);
const struct tmx_machine_type *tmx_cloud_types(const struct tmx_cloud *cloud,
                                               size_t *n); /* n 0: not known */
const struct tmx_machine_type *tmx_cloud_type(const struct tmx_cloud *cloud, const char *name);

/* src/peer */
struct tmx_peers *tmx_peers_new(struct tmx_controller *controller);
void tmx_peers_free(struct tmx_peers *peers);
void tmx_peers_tick(struct tmx_peers *peers);
double tmx_peers_silence(const struct tmx_peers *peers, const char *node); /* s; 1e9: never heard */
bool tmx_peers_refuses_connections(const struct tmx_peers *peers,
                                   const char *node);    /* seems down */
bool tmx_peers_any_alive(const struct tmx_peers *peers); /* is any heard */
double tmx_peers_store_age(
    const struct tmx_peers *peers); /* s: the freshest state among those heard */
bool tmx_peers_reports_no_workers(const struct tmx_peers *peers,
                                  const char *node); /* it says it reaches no workers */
/* What it says of its machines by zone; NULL: nothing that counts by the view that stands. */
const struct tmx_zone_liveness *tmx_peers_zone_liveness(const struct tmx_peers *peers,
                                                        const char *node);
#endif
