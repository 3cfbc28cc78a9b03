/**
 * @file
 * The cloud module: reads the cloud's catalogue and its list of instances, scales out for pending
 * tasks, scales in machines that are not needed and replaces failed machines. The leader does
 * nearly all of this; the other controllers only read the catalogue and record the demand. Loop's
 * thread only.
 */
#ifndef TMX_CLOUD_H
#define TMX_CLOUD_H
#include <ev.h>

#include "catalog/machine_catalog.h"
#include "config/settings.h"
#include "peer/peers.h"
#include "replica/replica.h"
#include "scheduler/scheduler.h"
#include "store/store.h"
#include "worker/workers.h"

/** The module's state; opaque, see cloud_internal.h. */
struct tmx_cloud;

/** The objects that the module uses. All of them must outlive the module. */
struct tmx_cloud_dependencies {
  struct ev_loop *loop;                /**< event loop of the thread that calls the module */
  const struct tmx_settings *settings; /**< read only */
  struct tmx_replica *replica;         /**< machines and jobs as recorded in the log */
  struct tmx_store *store;             /**< reports whether this controller is the leader */
  struct tmx_machine_catalog *catalog; /**< machine types; filled by this module */
  struct tmx_peers *peers;             /**< heartbeats and reports of the other controllers */
  struct tmx_scheduler *scheduler;     /**< appends this module's lines to the log */
  struct tmx_workers *workers;         /**< machines that this controller owns */
};

/** Creates the module. It sends nothing before the first tick. Free it with tmx_cloud_free(). */
struct tmx_cloud *tmx_cloud_new(const struct tmx_cloud_dependencies *dependencies);
/** Frees the module. Responses to requests in flight are ignored, but the cloud may still execute
 * these requests. */
void tmx_cloud_free(struct tmx_cloud *cloud);
/** Runs the periodic steps that are due. Must be called every TMX_TICK_PERIOD_S. */
void tmx_cloud_tick(struct tmx_cloud *cloud);
#endif
