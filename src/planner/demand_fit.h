/**
 * @file
 * Which machines can hold the tasks of a demand, and how many of them at a time. Pure functions.
 */
#ifndef TMX_DEMAND_FIT_H
#define TMX_DEMAND_FIT_H
#include "planner/scale_out_plan.h"

/** Returns whether a task of the demand may run on such a machine, if the machine is empty. */
bool tmx_demand_allows(const struct tmx_demand *demand, const struct tmx_machine_type *type,
                       int zone, bool spot);

/** Returns the number of tasks that fit into the available resources. */
uint32_t tmx_demand_count_fitting(const struct tmx_demand *demand, struct tmx_resources available);

/** Returns the expected run time of a task of the demand, s, with a lower limit. */
double tmx_demand_run_s(const struct tmx_demand *demand);

#endif
