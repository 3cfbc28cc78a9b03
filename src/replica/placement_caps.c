#include "replica/placement_caps.h"

#include <string.h>

uint32_t tmx_zone_cap(const struct tmx_job_spec *spec, size_t zones) {
  const uint32_t half = (spec->tasks + 1) / 2; /* rounded up */
  if (spec->same_zone || spec->zone[0] || zones < 2) return spec->spread ? half : spec->tasks;
  const uint32_t cap = spec->service ? (uint32_t)((spec->tasks + zones - 1) / zones) : spec->tasks;
  return spec->spread && half < cap ? half : cap;
}

uint32_t tmx_machine_cap(const struct tmx_job_spec *spec, uint32_t eligible) {
  if (!spec->service) return UINT32_MAX;
  if (eligible == 0 || eligible >= spec->tasks) return 1;
  return (spec->tasks + eligible - 1) / eligible;
}

bool tmx_type_allowed(const struct tmx_job_spec *spec, const char *type) {
  if (!spec->n_types) return true;
  for (size_t i = 0; i < spec->n_types; i++)
    if (!strcmp(spec->types[i], type)) return true;
  return false;
}
