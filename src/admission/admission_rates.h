/**
 * @file
 * The work that the cluster completes per second, and the time that it needs for a load. Pure
 * functions.
 */
#ifndef TMX_ADMISSION_RATES_H
#define TMX_ADMISSION_RATES_H
#include "replica/backlog.h"

/** What the cluster completes per second, by resource. A resource of rate 0 limits nothing. */
struct tmx_resource_rates {
  double per_s[TMX_ADMISSION_RESOURCES]; /**< units of enum tmx_admission_resource per s */
};
/** The size of a machine, or the total size of several. */
struct tmx_machine_size {
  double cpus, /**< CPUs */
      gpus,    /**< GPUs */
      mem_gb;  /**< memory, GB */
};

/**
 * Returns the rates of all resources. CPUs and GPUs are those of the `present` machines, but at
 * least what the teams are guaranteed and, for CPUs, what the operators expect. Memory is that of
 * the `present` machines, but at least the guaranteed or expected CPUs times the memory per CPU of
 * the `largest` machine. The rates of the log, of puts and of the controllers' memory follow from
 * the settings.
 */
struct tmx_resource_rates tmx_admission_rates(const struct tmx_settings *settings,
                                              const struct tmx_machine_size *present,
                                              const struct tmx_machine_size *largest);
/** Returns the seconds that the whole cluster needs for a load: the maximum over all resources. */
double tmx_load_seconds(const struct tmx_load *load, const struct tmx_resource_rates *rates);
/** Returns the seconds that the whole cluster needs for the loads of all accounts of a team. */
double tmx_team_backlog_seconds(const struct tmx_backlog *backlog, size_t team,
                                const struct tmx_resource_rates *rates);
/** Returns the sum of tmx_team_backlog_seconds() over all teams. */
double tmx_total_backlog_seconds(const struct tmx_backlog *backlog,
                                 const struct tmx_resource_rates *rates);
#endif
