/**
 * @file
 * Time since the last contact with workers, and whether their machines are usable. Loop's thread
 * only.
 */
#ifndef TMX_MACHINE_HEALTH_H
#define TMX_MACHINE_HEALTH_H
#include "worker/workers_internal.h"

/** Seconds since the latest heartbeat that arrived here, or since this controller became the owner
 * if that is later. Only heartbeats renew the worker's lease. */
double tmx_worker_heartbeat_age(const struct tmx_worker *worker, double now);
/** Seconds since the latest sign of life (a heartbeat, or proof that the worker receives what this
 * controller sends), or since this controller became the owner if that is later. */
double tmx_worker_time_since_contact(const struct tmx_worker *worker, double now);
#endif
