/* One controller: the modules, the loop that drives them and the rounds. */
#ifndef TMX_CONTROLLER_H
#define TMX_CONTROLLER_H
#include <ev.h>

#include "config/settings.h"
#include "core/plan.h"
#include "net/http.h"
#include "state/link.h"
#include "state/replica.h"

struct tmx_workers;
struct tmx_users;
struct tmx_cloud;
struct tmx_peers;
struct tmx_planner;
struct tmx_fold;
struct ends;

struct tmx_ctl {
  struct ev_loop *loop;
  struct tmx_settings set;
  struct tmx_replica rep;
  struct tmx_link *link;
  struct tmx_workers *workers;
  struct tmx_users *users;
  struct tmx_cloud *cloud;
  struct tmx_peers *peers;
  struct tmx_server *server;
  struct tmx_planner *planner;
  struct tmx_fold *fold;
  ev_timer tick, round;
  ev_prepare prepare;
  bool round_busy, round_wanted, view_busy;
  double round_at, wait_rev_at, view_at;
  uint64_t wait_rev, batch_seq;
  struct ends *ends; /* of the round under way */
};

/* false: err says why */
struct tmx_ctl *tmx_ctl_new(struct ev_loop *loop, const struct tmx_settings *s, char *err,
                            size_t cap);
void tmx_ctl_free(struct tmx_ctl *c);
void tmx_ctl_kick(struct tmx_ctl *c);              /* something is worth a round now */
void tmx_ctl_kick_in(struct tmx_ctl *c, double s); /* ... within this time */
bool tmx_ctl_fresh(const struct tmx_ctl *c);       /* may act for the controllers */
bool tmx_ctl_cut_off(const struct tmx_ctl *c);     /* from a state service that others reach */
uint64_t tmx_ctl_token(const struct tmx_ctl *c, uint32_t bump);
/* Takes machines over from owners that they cannot reach. */
void tmx_ctl_take(struct tmx_ctl *c, const char *const *machines, size_t n);
int tmx_retry_after(void);

/* src/state: folding of old batches, by the leader */
struct tmx_fold *tmx_fold_new(struct tmx_ctl *c);
void tmx_fold_free(struct tmx_fold *f);
void tmx_fold_tick(struct tmx_fold *f);
void tmx_fold_above(struct tmx_fold *f, size_t keys); /* for the tests: another threshold */

/* src/worker */
struct tmx_workers *tmx_workers_new(struct tmx_ctl *c);
void tmx_workers_free(struct tmx_workers *w);
void tmx_workers_report(struct tmx_workers *w, struct tmx_req *r);
void tmx_workers_changed(struct tmx_workers *w, const char *machine); /* its orders may differ */
void tmx_workers_gone(struct tmx_workers *w, const char *machine);
void tmx_workers_tick(struct tmx_workers *w);
/* Ends that reports prove, at most max of them, and machines not registered yet. */
size_t tmx_workers_ends(struct tmx_workers *w, struct tmx_op *ops, size_t max);
struct tmx_worker_facts {
  char id[TMX_ID_MAX], addr[TMX_NAME_MAX], type[TMX_ID_MAX], zone[TMX_NAME_MAX];
  bool spot;
};
size_t tmx_workers_unregistered(struct tmx_workers *w, struct tmx_worker_facts *out, size_t max);
struct tmx_health {
  double age;       /* s since any controller heard it; 1e9: never */
  double alive_age; /* ... or it answered a probe of this one */
  double own_age;   /* s since this controller itself had a sign of it */
  bool notice;
};
struct tmx_health tmx_workers_health(struct tmx_workers *w, const char *machine);
int tmx_workers_probe(struct tmx_workers *w, const struct tmx_machine *m); /* probes lost */
/* For heartbeats. */
typedef void (*tmx_each_heard)(void *arg, const char *id, double age, bool notice);
void tmx_workers_each(struct tmx_workers *w, tmx_each_heard f, void *arg);

/* src/user */
struct tmx_users *tmx_users_new(struct tmx_ctl *c);
void tmx_users_free(struct tmx_users *u);
bool tmx_users_handle(struct tmx_users *u, struct tmx_req *r); /* false: not its path */

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
/* the least age at which a peer heard the machine, by its heartbeat; 1e9: none did */
double tmx_peers_heard(const struct tmx_peers *p, const char *machine, const char *only_node,
                       bool *notice);
#endif
