/**
 * @file
 * How long workers were silent, and whether their machines are usable. Loop's thread only.
 */
#ifndef TMX_MACHINE_HEALTH_H
#define TMX_MACHINE_HEALTH_H
#include "worker/workers_internal.h"

/** s of silence after which a heartbeat is missing. */
double tmx_worker_silence_limit(const struct tmx_settings *settings);
/** s since a heartbeat came to this owner: only heartbeats renew its lease. */
double tmx_worker_heartbeat_age(const struct tmx_worker *worker, double now);
/** s since any sign of life: a heartbeat, or an answer. */
double tmx_worker_silence(const struct tmx_worker *worker, double now);
#endif
