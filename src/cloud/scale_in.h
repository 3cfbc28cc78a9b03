/**
 * @file
 * Scale-in: drains machines that are not needed. A draining machine gets no new work, and is
 * deleted when it is empty. Loop's thread only.
 */
#ifndef TMX_SCALE_IN_H
#define TMX_SCALE_IN_H
#include "cloud/cloud_internal.h"
#include "cloud/reclaim_evidence.h"

/** Drains the machine if it has been idle for long, and takes its CPUs off the evidence's free
 * ones. While work waits or machines are out of reach, no idle time counts. */
void tmx_cloud_drain_if_idle(struct tmx_cloud *cloud, struct tmx_reclaim_evidence *evidence,
                             const struct tmx_machine *machine);
/** Drains the most expensive machines that the peak of the demand would not have needed. If it is
 * `busy`, as work waits or machines are out of reach, it takes back draining machines instead. */
void tmx_cloud_drain_to_peak(struct tmx_cloud *cloud, bool busy, double now);
#endif
