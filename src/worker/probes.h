/**
 * @file
 * Probes: the owner of machines requests their reports in round-robin order and within a budget.
 * Suspect machines are probed first. Loop's thread only.
 */
#ifndef TMX_WORKER_PROBES_H
#define TMX_WORKER_PROBES_H
#include "worker/workers_internal.h"

/** Adds the probes that may be sent per `elapsed_s` seconds to the budget, up to its limit. */
void tmx_workers_refill_probe_budget(struct tmx_workers *workers, double elapsed_s);
/** Probes the machines of this controller that are due; `owned` is their number. */
void tmx_workers_probe_owned(struct tmx_workers *workers, unsigned owned, double now);
/** Probes a few registered machines of any owner, and counts those that responded recently. A
 * controller that was removed from the view detects in this way that it can reach machines again.
 */
void tmx_workers_probe_sample(struct tmx_workers *workers, struct tmx_reachability *reachability,
                              double now);
#endif
