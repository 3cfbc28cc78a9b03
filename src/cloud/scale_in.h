/**
 * @file
 * Scale-in: drains machines that are not needed. A draining machine gets no new tasks and is
 * deleted when it is empty. Loop's thread only.
 */
#ifndef TMX_SCALE_IN_H
#define TMX_SCALE_IN_H
#include "cloud/cloud_internal.h"
#include "cloud/reclaim_evidence.h"

/** Drains the machine if it has been idle for longer than the limit, and subtracts its CPUs from
 * the evidence's `free_cpus`. Its idle time restarts while there is a backlog or a zone is
 * partitioned. */
void tmx_cloud_drain_if_idle(struct tmx_cloud *cloud, struct tmx_reclaim_evidence *evidence,
                             const struct tmx_machine *machine);
/** Drains the most expensive machines in excess of the peak demand, at most every
 * TMX_DRAIN_PERIOD_S. `capacity_short` says that there is a backlog or a partitioned zone. In that
 * case no machine is drained, and the draining of machines that still hold tasks is cancelled,
 * except for faulty machines. */
void tmx_cloud_drain_above_peak(struct tmx_cloud *cloud, bool capacity_short, double now);
#endif
