/**
 * @file
 * Workers, the agents on the machines: their heartbeats and leases, commands to them,
 * reconciliation of their reports with the log, and probes of their machines. Loop's thread only.
 *
 * Each concern has a file: worker_table.c (records of workers), report_intake.c (parsing of
 * reports), fencing.c (ownership and fencing tokens), reconciliation.c (attempts proven to have
 * ended), commands.c (commands to workers), lease_renewal.c (responses to heartbeats, failover),
 * probes.c, machine_health.c, suspicions.c (health reports exchanged with other controllers),
 * worker_connection.c.
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

/** The module: the workers known to one controller. */
struct tmx_workers;

/** Dependencies of the module; all of them must outlive it. */
struct tmx_workers_dependencies {
  struct ev_loop *loop;                /**< runs the timers and connections */
  const struct tmx_settings *settings; /**< read only */
  struct tmx_replica *replica;         /**< desired state of the machines, from the log */
  struct tmx_store *store; /**< membership of this controller, and freshness of the replica */
  const struct tmx_authority *authority;       /**< what this controller may do */
  struct tmx_view_manager *view_manager;       /**< takes machines over */
  const struct tmx_loop_monitor *loop_monitor; /**< detects stalls of the event loop */
  struct tmx_peers *peers;         /**< the other controllers and the age of their heartbeats */
  struct tmx_scheduler *scheduler; /**< reports trigger its rounds */
};

/** Creates the module; the caller owns it and frees it with tmx_workers_free(). */
struct tmx_workers *tmx_workers_new(const struct tmx_workers_dependencies *dependencies);
/** Redirects the deferred heartbeats, closes the connections to workers, and frees the module. */
void tmx_workers_free(struct tmx_workers *workers);

/** Responds to a worker's heartbeat. The response is sent immediately, unless the worker cannot
 * reach the owner of its machine: then the heartbeat is deferred for up to about
 * TMX_FAILOVER_REPORT_WAIT_S while this controller takes the machine over. */
void tmx_workers_handle_heartbeat(struct tmx_workers *workers, struct tmx_http_request *request);
/** Sends the commands that the latest events made due, and responds to deferred heartbeats. Must be
 * called after each iteration of the event loop, once all its events have been applied, and not
 * from their callbacks. */
void tmx_workers_flush(struct tmx_workers *workers);
/** Checks the health of machines and sends probes. Does nothing if the last check was less than
 * TMX_RECLAIM_PERIOD_S ago. */
void tmx_workers_tick(struct tmx_workers *workers);

/** Must be called when the machine's tasks, their stop requests or the machine's owner changed in
 * the replica. */
void tmx_workers_machine_changed(struct tmx_workers *workers, struct tmx_machine *machine);
/** Must be called before the machine is freed; frees its worker. */
void tmx_workers_machine_removed(struct tmx_workers *workers, struct tmx_machine *machine);
/** Must be called after each new view, which may change the owners of machines. */
void tmx_workers_view_changed(struct tmx_workers *workers);
/** Must be called before the replica is cleared. Keeps the workers without their machines. */
void tmx_workers_before_replica_clear(struct tmx_workers *workers);

/** Writes an operation for each attempt whose end the reports prove, at most `max`, and returns
 * their number. */
size_t tmx_workers_collect_completions(struct tmx_workers *workers,
                                       struct tmx_operation *operations, size_t max);
/** Writes the descriptions of at most `max` machines that send heartbeats and are not registered in
 * the log. Returns the number written. */
size_t tmx_workers_collect_unregistered(struct tmx_workers *workers,
                                        struct tmx_machine_description *descriptions, size_t max);

/** Calls back for each machine of this controller that is suspected of a fault. */
void tmx_workers_for_each_suspicion(struct tmx_workers *workers, tmx_suspicion_cb callback,
                                    void *arg);
/** Records the suspicion that the owner `node` reports of one of its machines. `term` is the term
 * of the view by which it owns the machine. */
void tmx_workers_record_suspicion(struct tmx_workers *workers, const char *node, uint64_t term,
                                  const struct tmx_suspicion *suspicion);
/** Gets the suspicion that the machine's owner has of it. Returns false if there is none, or if no
 * recent heartbeat of the owner carries it. */
bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out);

/** How many of its machines this controller reaches. While it may not act as a member, the counts
 * refer to a sample of machines of any owner. */
struct tmx_reachability {
  unsigned owned;      /**< machines that this controller owns, or size of the sample */
  unsigned reached;    /**< of `owned`, those that responded recently */
  double report_age_s; /**< s since the latest heartbeat of any worker; 1e9: never */
};
/** The counts of the latest health check, as made by tmx_workers_tick(). */
struct tmx_reachability tmx_workers_reachability(const struct tmx_workers *workers);
/** Returns whether this controller reaches less than a quarter of its machines, or of the sample.
 * Other controllers should then own its machines. Always false if it owns fewer than
 * TMX_REACHABILITY_MACHINES_MIN machines, or if the sample is smaller than that. */
bool tmx_workers_are_unreachable(const struct tmx_workers *workers);
/** Liveness of this controller's machines, one entry for each zone of the settings. Owned by the
 * module. */
const struct tmx_zone_liveness *tmx_workers_zone_liveness(const struct tmx_workers *workers);
/** Number of probes that one controller may send per second. */
double tmx_workers_probe_rate(const struct tmx_settings *settings);
#endif
