/* A periodic log line for operators: the rented capacity and how much of it is used. */
#include "base/log.h"
#include "cloud/cloud_internal.h"

void tmx_cloud_log_usage(struct tmx_cloud *cloud, double now) {
  if (!tmx_log_enabled(TMX_LOG_INFO) || now - cloud->usage_logged_at < TMX_USAGE_LOG_PERIOD_S)
    return;
  cloud->usage_logged_at = now;
  double cpus[2] = {0, 0}, booked[2] = {0, 0}; /* on demand, spot */
  double draining = 0, services = 0;
  size_t machines = 0, unusable = 0, faulty = 0, on_probation = 0;
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type) continue;
    machines++;
    unusable += !machine->usable;
    faulty += machine->condition == TMX_MACHINE_FAULTY;
    on_probation += machine->condition == TMX_MACHINE_ON_PROBATION;
    cpus[machine->spot] += type->cpus;
    booked[machine->spot] += machine->booked_cpus;
    if (machine->draining) draining += type->cpus;
    services += machine->service_cpus;
  }
  tmx_log(TMX_LOG_INFO,
          "usage: %zu machines (%zu unusable, %zu faulty, %zu on probation), CPUs booked on demand "
          "%.0f of %.0f, spot %.0f of %.0f, services %.0f, draining %.0f, pending %.0f",
          machines, unusable, faulty, on_probation, booked[0], cpus[0], booked[1], cpus[1],
          services, draining, cloud->replica->waiting_cpus);
}
