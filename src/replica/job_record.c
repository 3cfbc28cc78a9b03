#include "replica/job_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

/* Positions of the fields in a record. The release in production reads only the first RECORD_FIELDS
 * entries and ignores the rest. */
enum {
  RECORD_ID,
  RECORD_CLASS,
  RECORD_TEAM,
  RECORD_IMAGE,
  RECORD_ZONE,
  RECORD_TYPES,
  RECORD_FLAGS,
  RECORD_PRIORITY,
  RECORD_TASKS,
  RECORD_CPUS,
  RECORD_GPUS,
  RECORD_MEMORY,
  RECORD_IMAGE_SIZE,
  RECORD_ESTIMATE,
  RECORD_CHECKPOINT,
  RECORD_CHECKPOINT_SAVE,
  RECORD_DEADLINE,
  RECORD_SUBMITTED,
  RECORD_OUTCOME,
  RECORD_FIELDS,                           /* number of fields of a record without dependencies */
  RECORD_PREREQUISITE_IDS = RECORD_FIELDS, /* text: the first ids of the job's prerequisites */
  RECORD_N_PREREQUISITES,                  /* number of its prerequisites */
  RECORD_ENDED, /* when its final state was written, wall clock, seconds; 0: unknown */
  RECORD_FIELDS_ALL
};

/* Bits of RECORD_FLAGS. */
enum { FLAG_SERVICE = 1, FLAG_SAME_ZONE = 2, FLAG_SPREAD = 4, FLAG_SPOT_ALLOWED = 8 };

static uint64_t flags_of(const struct tmx_job_spec *spec) {
  return (spec->service ? FLAG_SERVICE : 0u) | (spec->same_zone ? FLAG_SAME_ZONE : 0u) |
         (spec->spread ? FLAG_SPREAD : 0u) | (spec->spot_allowed ? FLAG_SPOT_ALLOWED : 0u);
}

/* Encodes a small whole number as an integer. Most numbers are whole, and take only a byte or two
 * this way. */
static void put_compact_number(struct tmx_buffer *buffer, double value) {
  if (value >= 0 && value < 4e9 && value == (double)(uint64_t)value)
    tmx_cbor_put_u64(buffer, (uint64_t)value);
  else
    tmx_cbor_put_double(buffer, value);
}

/* Appends the head of a list of `fields` entries, and its first RECORD_FIELDS entries. */
static void encode_basic_fields(struct tmx_buffer *buffer, size_t fields, const char *id,
                                const struct tmx_job_spec *spec, double submitted, int outcome) {
  tmx_cbor_put_array(buffer, fields);
  tmx_cbor_put_text(buffer, id);
  tmx_cbor_put_text(buffer, spec->class);
  tmx_cbor_put_text(buffer, spec->team);
  tmx_cbor_put_text(buffer, spec->image);
  tmx_cbor_put_text(buffer, spec->zone);
  tmx_cbor_put_array(buffer, spec->n_types);
  for (size_t i = 0; i < spec->n_types; i++) tmx_cbor_put_text(buffer, spec->types[i]);
  tmx_cbor_put_u64(buffer, flags_of(spec));
  tmx_cbor_put_u64(buffer, (uint64_t)spec->priority);
  tmx_cbor_put_u64(buffer, spec->tasks);
  put_compact_number(buffer, spec->cpus);
  put_compact_number(buffer, spec->gpus);
  put_compact_number(buffer, spec->mem_gb);
  put_compact_number(buffer, spec->image_gb);
  put_compact_number(buffer, spec->estimate_s);
  put_compact_number(buffer, spec->checkpoint_s);
  put_compact_number(buffer, spec->checkpoint_save_s);
  put_compact_number(buffer, spec->deadline_s);
  tmx_cbor_put_double(buffer, submitted);
  tmx_cbor_put_u64(buffer, (uint64_t)outcome);
}

void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_job_spec *spec,
                    double submitted, int outcome) {
  encode_basic_fields(buffer, RECORD_FIELDS, id, spec, submitted, outcome);
}

static void encode_with_dependencies(struct tmx_buffer *buffer, const char *id,
                                     const struct tmx_job_spec *spec, double submitted,
                                     uint32_t n_prerequisites, const char *prerequisite_ids) {
  encode_basic_fields(buffer, RECORD_FIELDS_ALL, id, spec, submitted, TMX_JOB_OPEN);
  tmx_cbor_put_text(buffer, prerequisite_ids);
  tmx_cbor_put_u64(buffer, n_prerequisites);
  tmx_cbor_put_u64(buffer, 0); /* RECORD_ENDED */
}

/* Appends an open job's record with the number of its prerequisites but none of their ids. */
static void encode_open_without_ids(struct tmx_buffer *buffer, const char *id,
                                    const struct tmx_job_spec *spec, double submitted,
                                    const struct tmx_job_ids *ids) {
  if (ids->count)
    encode_with_dependencies(buffer, id, spec, submitted, ids->count, "");
  else
    tmx_job_encode(buffer, id, spec, submitted, TMX_JOB_OPEN);
}

size_t tmx_job_count_types_that_fit(const char *id, const struct tmx_job_spec *spec,
                                    double submitted, const struct tmx_job_ids *ids,
                                    size_t max_json_bytes) {
  struct tmx_job_spec shortened = *spec;
  struct tmx_buffer record = {0};
  for (; shortened.n_types > 1; shortened.n_types--) {
    record.length = 0;
    encode_open_without_ids(&record, id, &shortened, submitted, ids);
    if (tmx_json_length(&record) <= max_json_bytes) break;
  }
  tmx_buffer_free(&record);
  return shortened.n_types;
}

uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id,
                             const struct tmx_job_spec *spec, double submitted,
                             const struct tmx_job_ids *ids, size_t max_json_bytes) {
  if (!ids->count) {
    tmx_job_encode(buffer, id, spec, submitted, TMX_JOB_OPEN);
    return 0;
  }
  struct tmx_buffer without_ids = {0};
  encode_open_without_ids(&without_ids, id, spec, submitted, ids);
  const size_t used = tmx_json_length(&without_ids);
  const size_t left = max_json_bytes > used ? max_json_bytes - used : 0;
  uint32_t written = 0;
  char *text = tmx_allocate(left + 1, sizeof *text);
  tmx_job_ids_to_text(text, left + 1, ids, &written);
  encode_with_dependencies(buffer, id, spec, submitted, ids->count, text);
  tmx_buffer_free(&without_ids);
  free(text);
  return written;
}

static void encode_final(struct tmx_buffer *buffer, const struct tmx_job *job,
                         const struct tmx_job_spec *spec, int outcome, double ended) {
  const bool end_known = ended > 0;
  encode_basic_fields(buffer, end_known ? RECORD_FIELDS_ALL : RECORD_FIELDS, job->id, spec,
                      job->submitted_at, outcome);
  if (!end_known) return;
  tmx_cbor_put_text(buffer, ""); /* RECORD_PREREQUISITE_IDS */
  tmx_cbor_put_u64(buffer, 0);   /* RECORD_N_PREREQUISITES */
  tmx_cbor_put_double(buffer, ended);
}

/* The size and team of an ended job are always kept: its tasks that are still on machines count
 * towards resource usage. The class, image, zone and machine types are no longer used. They are
 * left out if the record exceeds the size limit, which may have been lowered since the submission.
 */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *job, int outcome,
                          double ended, size_t max_json_bytes) {
  const size_t start = buffer->length;
  encode_final(buffer, job, &job->spec, outcome, ended);
  const struct tmx_buffer written = {.data = buffer->data + start,
                                     .length = buffer->length - start};
  if (tmx_json_length(&written) <= max_json_bytes) return;
  struct tmx_job_spec shortened = job->spec;
  shortened.n_types = 0;
  shortened.class[0] = shortened.image[0] = shortened.zone[0] = 0;
  buffer->length = start;
  encode_final(buffer, job, &shortened, outcome, ended);
}

static bool decode_text(const cbor_item_t *list, size_t position, char *out, size_t capacity) {
  return tmx_cbor_as_text(tmx_cbor_array_at(list, position), out, capacity);
}

static bool decode_u64(const cbor_item_t *list, size_t position, uint64_t *out) {
  return tmx_cbor_as_u64(tmx_cbor_array_at(list, position), out);
}

static bool decode_number(const cbor_item_t *list, size_t position, double *out) {
  return tmx_cbor_as_number(tmx_cbor_array_at(list, position), out);
}

static bool decode_names(const cbor_item_t *list, struct tmx_job_record *record) {
  struct tmx_job_spec *spec = &record->spec;
  return decode_text(list, RECORD_ID, record->id, sizeof record->id) &&
         decode_text(list, RECORD_CLASS, spec->class, sizeof spec->class) &&
         decode_text(list, RECORD_TEAM, spec->team, sizeof spec->team) &&
         decode_text(list, RECORD_IMAGE, spec->image, sizeof spec->image) &&
         decode_text(list, RECORD_ZONE, spec->zone, sizeof spec->zone);
}

static bool decode_types(const cbor_item_t *types, struct tmx_job_spec *spec) {
  for (; spec->n_types < tmx_cbor_array_length(types) && spec->n_types < TMX_MACHINE_TYPES_MAX;
       spec->n_types++)
    if (!decode_text(types, spec->n_types, spec->types[spec->n_types], TMX_ID_BYTES)) return false;
  return true;
}

static bool decode_counts(const cbor_item_t *list, struct tmx_job_spec *spec) {
  uint64_t flags, priority, tasks;
  if (!decode_u64(list, RECORD_FLAGS, &flags) || !decode_u64(list, RECORD_PRIORITY, &priority) ||
      !decode_u64(list, RECORD_TASKS, &tasks) || tasks < 1 || tasks > TMX_JOB_TASKS_MAX ||
      priority > TMX_PRIORITY_PROD)
    return false;
  spec->service = flags & FLAG_SERVICE;
  spec->same_zone = flags & FLAG_SAME_ZONE;
  spec->spread = flags & FLAG_SPREAD;
  spec->spot_allowed = flags & FLAG_SPOT_ALLOWED;
  spec->priority = (int)priority;
  spec->tasks = (uint32_t)tasks;
  return true;
}

static bool decode_amounts(const cbor_item_t *list, struct tmx_job_spec *spec) {
  return decode_number(list, RECORD_CPUS, &spec->cpus) &&
         decode_number(list, RECORD_GPUS, &spec->gpus) &&
         decode_number(list, RECORD_MEMORY, &spec->mem_gb) &&
         decode_number(list, RECORD_IMAGE_SIZE, &spec->image_gb) &&
         decode_number(list, RECORD_ESTIMATE, &spec->estimate_s) &&
         decode_number(list, RECORD_CHECKPOINT, &spec->checkpoint_s) &&
         decode_number(list, RECORD_CHECKPOINT_SAVE, &spec->checkpoint_save_s) &&
         decode_number(list, RECORD_DEADLINE, &spec->deadline_s);
}

static bool decode_dependencies(const cbor_item_t *list, struct tmx_job_record *record) {
  if (tmx_cbor_array_length(list) < RECORD_FIELDS_ALL) return true;
  record->prerequisite_ids = tmx_cbor_array_at(list, RECORD_PREREQUISITE_IDS);
  return cbor_isa_string(record->prerequisite_ids) &&
         decode_u64(list, RECORD_N_PREREQUISITES, &record->n_prerequisites) &&
         record->n_prerequisites <= TMX_REQUEST_BODY_BYTES_MAX &&
         decode_number(list, RECORD_ENDED, &record->ended_at);
}

bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *record) {
  memset(record, 0, sizeof *record);
  return tmx_cbor_array_length(list) >= RECORD_FIELDS && decode_names(list, record) &&
         decode_types(tmx_cbor_array_at(list, RECORD_TYPES), &record->spec) &&
         decode_counts(list, &record->spec) &&
         decode_number(list, RECORD_SUBMITTED, &record->submitted_at) &&
         decode_u64(list, RECORD_OUTCOME, &record->outcome) &&
         decode_amounts(list, &record->spec) && decode_dependencies(list, record);
}
