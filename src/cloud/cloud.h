/**
 * @file
 * The cloud module: reads the cloud's catalogue and list of instances, scales out for tasks that
 * wait, scales in what is not needed and replaces what failed. The leader does nearly all of it;
 * the other controllers only read the catalogue and keep the history of the demand. Loop's thread
 * only.
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

/** What the module works on; all of it must outlive it. */
struct tmx_cloud_dependencies {
  struct ev_loop *loop;                /**< event loop of the thread that calls the module */
  const struct tmx_settings *settings; /**< read only */
  struct tmx_replica *replica;         /**< machines and jobs as the log tells them */
  struct tmx_store *store;             /**< tells whether this controller leads */
  struct tmx_machine_catalog *catalog; /**< machine types; filled by this module */
  struct tmx_peers *peers;             /**< heartbeats and reports of the other controllers */
  struct tmx_scheduler *scheduler;     /**< takes the lines that are appended to the log */
  struct tmx_workers *workers;         /**< machines that this controller owns */
};

/** Makes the module; nothing is sent before the first tick. Free it with tmx_cloud_free(). */
struct tmx_cloud *tmx_cloud_new(const struct tmx_cloud_dependencies *dependencies);
/** Requests that are still under way end without effect here; the cloud may execute them. */
void tmx_cloud_free(struct tmx_cloud *cloud);
/** Does what is due; called every TMX_TICK_PERIOD_S. */
void tmx_cloud_tick(struct tmx_cloud *cloud);
#endif
