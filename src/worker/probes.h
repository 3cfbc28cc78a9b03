/**
 * @file
 * Probes: an owner asks its machines in turn for their reports, those in doubt first, within a
 * budget. Loop's thread only.
 */
#ifndef TMX_WORKER_PROBES_H
#define TMX_WORKER_PROBES_H
#include "worker/workers_internal.h"

/** Adds what may be sent after so many s. */
void tmx_workers_refill_probe_budget(struct tmx_workers *workers, double elapsed_s);
/** Probes the machines of this controller that are due; `owned`: how many it has. */
void tmx_workers_probe_own(struct tmx_workers *workers, unsigned owned, double now);
/** Probes a few machines, whose ever they are, and counts those that answered lately: a controller
 * that was left out of the view learns by it when it reaches them again. */
void tmx_workers_probe_sample(struct tmx_workers *workers, struct tmx_reachability *reachability,
                              double now);
#endif
