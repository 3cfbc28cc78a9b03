#include "replica/job_spec.h"

#include <string.h>

#include "tmx/wire.h"

static bool parse_required_text(const cbor_item_t *map, const char *key, char *out,
                                size_t capacity) {
  return tmx_cbor_get_text(map, key, out, capacity) && out[0];
}

static bool parse_amount(const cbor_item_t *map, const char *key, double *out) {
  return tmx_cbor_get_number(map, key, out) && *out >= 0;
}

static bool parse_kind(const cbor_item_t *map, struct tmx_job_spec *spec) {
  char kind[16];
  if (!tmx_cbor_get_text(map, W_KIND, kind, sizeof kind)) return false;
  spec->service = !strcmp(kind, WV_SERVICE);
  return spec->service || !strcmp(kind, WV_ARRAY);
}

static bool parse_priority(const cbor_item_t *map, struct tmx_job_spec *spec) {
  static const char *names[] = {
      [TMX_PRIORITY_IDLE] = "idle",
      [TMX_PRIORITY_NORMAL] = "normal",
      [TMX_PRIORITY_HIGH] = "high",
      [TMX_PRIORITY_PROD] = "prod",
  };
  char name[16];
  if (!tmx_cbor_get_text(map, W_PRIORITY, name, sizeof name)) return false;
  for (int priority = TMX_PRIORITY_IDLE; priority <= TMX_PRIORITY_PROD; priority++)
    if (!strcmp(name, names[priority])) {
      spec->priority = priority;
      return true;
    }
  return false;
}

static bool parse_task_count(const cbor_item_t *map, struct tmx_job_spec *spec) {
  uint64_t tasks;
  if (!tmx_cbor_get_u64(map, W_TASKS, &tasks) || tasks < 1 || tasks > TMX_JOB_TASKS_MAX)
    return false;
  spec->tasks = (uint32_t)tasks;
  return true;
}

static bool parse_machine_types(const cbor_item_t *map, struct tmx_job_spec *spec) {
  const cbor_item_t *types = tmx_cbor_get(map, W_TYPES);
  if (!types) return true;
  const size_t n = tmx_cbor_array_length(types);
  if (!cbor_isa_array(types) || !n || n > TMX_MACHINE_TYPES_MAX) return false;
  for (size_t i = 0; i < n; i++)
    if (!tmx_cbor_as_text(tmx_cbor_array_at(types, i), spec->types[i], sizeof spec->types[i]))
      return false;
  spec->n_types = n;
  return true;
}

/* The zone may be null or absent. The flags are required. */
static bool parse_placement(const cbor_item_t *map, struct tmx_job_spec *spec) {
  if (tmx_cbor_get(map, W_ZONE) && !tmx_cbor_get_text(map, W_ZONE, spec->zone, sizeof spec->zone))
    return false;
  return tmx_cbor_get_bool(map, W_ONE_ZONE, &spec->same_zone) &&
         tmx_cbor_get_bool(map, W_SPREAD, &spec->spread) &&
         tmx_cbor_get_bool(map, W_SPOT, &spec->spot_allowed);
}

static bool parse_times(const cbor_item_t *map, struct tmx_job_spec *spec) {
  spec->deadline_s = -1;
  if (!parse_amount(map, W_ESTIMATE, &spec->estimate_s) ||
      !parse_amount(map, W_CHECKPOINT, &spec->checkpoint_s) ||
      !parse_amount(map, W_CHECKPOINT_SAVE, &spec->checkpoint_save_s))
    return false;
  return !tmx_cbor_get(map, W_DEADLINE) || parse_amount(map, W_DEADLINE, &spec->deadline_s);
}

bool tmx_job_spec_parse(const cbor_item_t *map, struct tmx_job_spec *spec, char *id,
                        size_t id_capacity) {
  memset(spec, 0, sizeof *spec);
  if (!map || !cbor_isa_map(map)) return false;
  return tmx_cbor_get_text(map, W_ID, id, id_capacity) &&
         parse_required_text(map, W_CLASS, spec->class, sizeof spec->class) &&
         parse_required_text(map, W_TEAM, spec->team, sizeof spec->team) && parse_kind(map, spec) &&
         parse_priority(map, spec) && parse_task_count(map, spec) &&
         parse_amount(map, W_CPUS, &spec->cpus) && parse_amount(map, W_GPUS, &spec->gpus) &&
         parse_amount(map, W_MEM, &spec->mem_gb) &&
         parse_required_text(map, W_IMAGE, spec->image, sizeof spec->image) &&
         parse_amount(map, W_IMAGE_GB, &spec->image_gb) && parse_machine_types(map, spec) &&
         parse_placement(map, spec) && parse_times(map, spec);
}
