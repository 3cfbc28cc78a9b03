/* One controller: the modules, the loop that drives them and the rounds. */
#ifndef TMX_CONTROLLER_H
#define TMX_CONTROLLER_H
#include <ev.h>

#include "admission/gate.h"
#include "config/settings.h"
#include "core/outlook.h"
#include "core/plan.h"
#include "net/http.h"
#include "state/link.h"
#include "state/replica.h"

struct tmx_workers;
struct tmx_users;
struct tmx_cloud;
struct tmx_peers;
struct tmx_scheduler;
struct tmx_compaction;

struct tmx_ctl {
  struct ev_loop *loop;
  struct tmx_settings set;
  struct tmx_replica rep;
  struct tmx_store *link;
  struct tmx_workers *workers;
  struct tmx_users *users;
  struct tmx_cloud *cloud;
  struct tmx_peers *peers;
  struct tmx_http_server *server;
  struct tmx_scheduler *rounds;
  struct tmx_compaction *fold;
  struct tmx_gate *gate; /* NULL: every submission that can run is admitted */
  ev_timer tick;
  ev_prepare prepare;
  bool view_busy;
  double view_at, split_at, started_at;
  double led_at;           /* this controller has led since */
  double trouble_at;       /* it was late, without state or without peers, until then */
  double tick_at, late_at; /* latest tick, and the latest one that came late */
};

/* false: err says why */
struct tmx_ctl *tmx_ctl_new(struct ev_loop *loop, const struct tmx_settings *s, char *err,
                            size_t cap);
void tmx_ctl_free(struct tmx_ctl *c);
int tmx_ctl_self(const struct tmx_ctl *c);        /* member index; -1: none */
bool tmx_ctl_fresh(const struct tmx_ctl *c);      /* may act for the controllers */
bool tmx_ctl_may_start(const struct tmx_ctl *c);  /* ... and have tasks begin */
bool tmx_ctl_cut_off(const struct tmx_ctl *c);    /* from a state service that others reach */
bool tmx_ctl_no_workers(const struct tmx_ctl *c); /* it reaches hardly any of its own */
uint64_t tmx_ctl_token(const struct tmx_ctl *c, uint32_t bump);
/* Takes machines over from owners that they cannot reach. */
void tmx_ctl_take(struct tmx_ctl *c, const char *const *machines, size_t n);
int tmx_retry_after(void);
int tmx_random_below(int n); /* 0 to n - 1 */

/* src/rounds: rounds of placing, and the batches that they write */
struct tmx_scheduler *tmx_scheduler_new(struct tmx_ctl *c);
void tmx_scheduler_free(struct tmx_scheduler *scheduler);
bool tmx_scheduler_is_planning(
    const struct tmx_scheduler *scheduler);    /* for the tests: the planner has work */
void tmx_scheduler_trigger(struct tmx_ctl *c); /* something is worth a round now */
void tmx_scheduler_trigger_within(struct tmx_ctl *c, double s); /* ... within this time */
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
enum tmx_submit_result tmx_scheduler_submit(struct tmx_ctl *c,
                                            const struct tmx_submission *submission, double within,
                                            tmx_submission_cb cb, void *arg);
void tmx_scheduler_flush(struct tmx_scheduler *scheduler); /* after each turn of the loop */

/* src/state: folding of old batches, by the leader */
struct tmx_compaction *tmx_compaction_new(struct tmx_ctl *c);
void tmx_compaction_free(struct tmx_compaction *compaction);
void tmx_compaction_tick(struct tmx_compaction *compaction);
void tmx_compaction_set_threshold(struct tmx_compaction *compaction,
                                  size_t keys); /* for the tests: another threshold */

/* src/worker */
struct tmx_workers *tmx_workers_new(struct tmx_ctl *c);
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
double tmx_workers_probe_rate(const struct tmx_ctl *c); /* a second, of one controller */
struct tmx_reachability tmx_workers_reachability(const struct tmx_workers *workers);
/* Signs of life of the machines that this controller owns, by zone. */
const struct tmx_zone_liveness *tmx_workers_zone_liveness(const struct tmx_workers *workers);
/* What its owner says of a machine; false: nothing is wrong, or the owner is not heard. */
bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out);

/* src/user */
struct tmx_users *tmx_users_new(struct tmx_ctl *c);
void tmx_users_free(struct tmx_users *u);
bool tmx_users_handle(struct tmx_users *u,
                      struct tmx_http_request *request); /* false: not its path */

/* src/cloud */
struct tmx_type {
  char name[TMX_ID_MAX];
  double cpus, gpus, mem, cache_gb, fetch, price, spot_price, boot_s;
  bool zones[TMX_ZONES_MAX];
};
struct tmx_cloud *tmx_cloud_new(struct tmx_ctl *c);
void tmx_cloud_free(struct tmx_cloud *k);
void tmx_cloud_tick(struct tmx_cloud *k);
const struct tmx_type *tmx_cloud_types(const struct tmx_cloud *k, size_t *n); /* n 0: not known */
const struct tmx_type *tmx_cloud_type(const struct tmx_cloud *k, const char *name);

/* src/peer */
struct tmx_peers *tmx_peers_new(struct tmx_ctl *c);
void tmx_peers_free(struct tmx_peers *p);
void tmx_peers_tick(struct tmx_peers *p);
double tmx_peers_silence(const struct tmx_peers *p, const char *node); /* s; 1e9: never heard */
bool tmx_peers_refused(const struct tmx_peers *p, const char *node);   /* seems down */
bool tmx_peers_any(const struct tmx_peers *p);                         /* is any heard */
double tmx_peers_state_age(const struct tmx_peers *p); /* s: the freshest state among those heard */
bool tmx_peers_cut(const struct tmx_peers *p, const char *node); /* it says it reaches no workers */
/* What it says of its machines by zone; NULL: nothing that counts by the view that stands. */
const struct tmx_zone_liveness *tmx_peers_zones(const struct tmx_peers *p, const char *node);
#endif
