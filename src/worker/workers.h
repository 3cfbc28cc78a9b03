/**
 * @file
 * The machines' workers: their heartbeats and leases, the commands that they get, reconciliation of
 * their reports with the log, and probes of machines that are in doubt. Loop's thread only.
 *
 * One file for each: worker_table.c (records of workers), report_intake.c (heartbeats and answers),
 * fencing.c (ownership and tokens), reconciliation.c (proven ends), commands.c (what a machine
 * should do), lease_renewal.c (answers to heartbeats, failover), probes.c, machine_health.c,
 * suspicions.c (health as told to and by other controllers), worker_connection.c.
 */
#ifndef TMX_WORKERS_H
#define TMX_WORKERS_H
#include <ev.h>

#include "base/loop_monitor.h"
#include "config/settings.h"
#include "membership/authority.h"
#include "membership/failure_detector.h"
#include "membership/view_manager.h"
#include "net/http.h"
#include "peer/peers.h"
#include "replica/replica.h"
#include "scheduler/scheduler.h"
#include "store/store.h"

/** The module: the workers that one controller knows. */
struct tmx_workers;

/** What the module works on; all of it must outlive it. */
struct tmx_workers_dependencies {
  struct ev_loop *loop;                        /**< runs the timers and connections */
  const struct tmx_settings *settings;         /**< read only */
  struct tmx_replica *replica;                 /**< what the log wants of the machines */
  struct tmx_store *store;                     /**< tells membership and freshness of the replica */
  const struct tmx_authority *authority;       /**< what this controller is entitled to do */
  struct tmx_view_manager *view_manager;       /**< takes machines over */
  const struct tmx_loop_monitor *loop_monitor; /**< tells when the event loop stalled */
  struct tmx_peers *peers;                     /**< the other controllers and their silence */
  struct tmx_scheduler *scheduler;             /**< its rounds are triggered by reports */
};

/** Makes the module; the caller owns it. */
struct tmx_workers *tmx_workers_new(const struct tmx_workers_dependencies *dependencies);
/** Redirects the heartbeats that wait, and closes the connections to workers. */
void tmx_workers_free(struct tmx_workers *workers);

/** Answers a worker's heartbeat: at once, or, while this controller takes the machine over from an
 * owner that its worker does not reach, within TMX_FAILOVER_REPORT_WAIT_S. */
void tmx_workers_handle_heartbeat(struct tmx_workers *workers, struct tmx_http_request *request);
/** Sends the commands that the latest events made due, and answers heartbeats that waited. To be
 * called after each turn of the loop, when its events were applied and not within. */
void tmx_workers_flush(struct tmx_workers *workers);
/** Probes machines and judges their health; does nothing before TMX_RECLAIM_PERIOD_S are over. */
void tmx_workers_tick(struct tmx_workers *workers);

/** The machine's tasks, their stops, or its owner changed in the replica. */
void tmx_workers_machine_changed(struct tmx_workers *workers, struct tmx_machine *machine);
/** The machine is about to be freed. */
void tmx_workers_machine_removed(struct tmx_workers *workers, struct tmx_machine *machine);
/** Owners of machines may differ. */
void tmx_workers_view_changed(struct tmx_workers *workers);
/** The replica is being cleared and will be read anew. */
void tmx_workers_replica_cleared(struct tmx_workers *workers);

/** Attempts whose end the reports prove, at most `max`; returns how many. */
size_t tmx_workers_collect_completions(struct tmx_workers *workers,
                                       struct tmx_operation *operations, size_t max);
/** Machines that report and are not in the log, at most `max`; returns how many. */
size_t tmx_workers_collect_unregistered(struct tmx_workers *workers,
                                        struct tmx_machine_description *facts, size_t max);

/** Calls back for each machine of this controller with which something is wrong. */
void tmx_workers_each_suspicion(struct tmx_workers *workers, tmx_suspicion_cb callback, void *arg);
/** Takes what another owner says of one of its machines, by the view of this term. */
void tmx_workers_take_suspicion(struct tmx_workers *workers, const char *node, uint64_t term,
                                const struct tmx_suspicion *suspicion);
/** What the machine's owner says of it; false: nothing is wrong, or no recent
 * heartbeat of the owner says so. */
bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out);

/** How many of its machines this controller reaches; while it may not act as a member, how many of
 * a sample of any machines. */
struct tmx_reachability {
  unsigned owned;      /**< machines that this controller owns, or the sample */
  unsigned reached;    /**< of `owned`, those that answered lately */
  double report_age_s; /**< since any worker's report came here; 1e9: never */
};
/** The counts of the latest check, which tmx_workers_tick() makes. */
struct tmx_reachability tmx_workers_reachability(const struct tmx_workers *workers);
/** Whether this controller reaches hardly any of its machines: others should drive them. */
bool tmx_workers_are_unreachable(const struct tmx_workers *workers);
/** Signs of life of this controller's machines, one entry for each zone of the settings. */
const struct tmx_zone_liveness *tmx_workers_zone_liveness(const struct tmx_workers *workers);
/** Probes that one controller may send in a second. */
double tmx_workers_probe_rate(const struct tmx_settings *settings);
#endif
