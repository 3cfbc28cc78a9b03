#include "sample_jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test.h"

const double sample_submitted_at = 1500000000.25;

struct tmx_job_spec sample_job(void) {
  struct tmx_job_spec spec = {
      .tasks = 3, .cpus = 1, .mem_gb = 2, .estimate_s = 10, .deadline_s = -1};
  strcpy(spec.class, "train");
  strcpy(spec.team, "vision");
  strcpy(spec.image, "img-07");
  return spec;
}

void sample_dependencies(struct tmx_job_ids *ids, uint32_t count) {
  ids->count = count;
  ids->ids = calloc(count, sizeof *ids->ids);
  assert_non_null(ids->ids);
  for (uint32_t i = 0; i < count; i++) snprintf(ids->ids[i], TMX_ID_BYTES, "wk-%06u", i + 10);
}
