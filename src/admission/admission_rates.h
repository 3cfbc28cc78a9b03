/**
 * @file
 * How much work the cluster does in a second, and how long it needs for a load. Pure functions.
 */
#ifndef TMX_ADMISSION_RATES_H
#define TMX_ADMISSION_RATES_H
#include "replica/backlog.h"

/** What the cluster works off in a second, by resource. 0: it has none, which then bounds nothing.
 */
struct tmx_rates {
  double per_s[TMX_ADMISSION_RESOURCES]; /**< units of enum tmx_admission_resource a second */
};
/** The size of one machine, or the sum of several. */
struct tmx_machine_size {
  double cpus, /**< CPUs */
      gpus,    /**< GPUs */
      mem_gb;  /**< memory, GB */
};

/** Rates of the machines that are `present`, at least what the teams are guaranteed and what the
 * operators expect, with memory in the proportion of the `largest` machine; those of the log and of
 * the controllers' memory from the settings. */
struct tmx_rates tmx_admission_rates(const struct tmx_settings *settings,
                                     const struct tmx_machine_size *present,
                                     const struct tmx_machine_size *largest);
/** How long the whole cluster needs for a load, s: that of the resource that takes longest. */
double tmx_load_seconds(const struct tmx_load *load, const struct tmx_rates *rates);
/** The same for all that a team has in its accounts. */
double tmx_team_seconds(const struct tmx_backlog *backlog, size_t team,
                        const struct tmx_rates *rates);
/** The sum over all teams. */
double tmx_total_seconds(const struct tmx_backlog *backlog, const struct tmx_rates *rates);
#endif
