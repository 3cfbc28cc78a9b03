/* The stored format of job records. The encoded bytes must equal the recordings in
 * tests/data/wire-format/storage-*.txt, and must decode to the values that were encoded. The test
 * guards against accidental changes of the format, for example by a renamed field, after which the
 * program could not read a store that an earlier version wrote. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "recording.h"
#include "replica/replica.h"
#include "sample_jobs.h"
#include "test.h"

static const double ended_at = 1500000060.5; /* seconds since the epoch */

static struct tmx_job_spec job_with_every_field(void) {
  struct tmx_job_spec spec = {.service = true,
                              .same_zone = true,
                              .spread = true,
                              .spot_allowed = true,
                              .priority = TMX_PRIORITY_PROD,
                              .tasks = 100000,
                              .cpus = 0.5,
                              .gpus = 8,
                              .mem_gb = 65536,
                              .image_gb = 6.25,
                              .estimate_s = 86400,
                              .checkpoint_s = 30,
                              .checkpoint_save_s = 4.5,
                              .deadline_s = 900};
  strcpy(spec.class, "serve");
  strcpy(spec.team, "vision");
  strcpy(spec.image, "img-08");
  strcpy(spec.zone, "b");
  strcpy(spec.types[0], "g8");
  strcpy(spec.types[1], "big");
  spec.n_types = 2;
  return spec;
}

static void assert_specs_equal(const struct tmx_job_spec *actual,
                               const struct tmx_job_spec *expected) {
  assert_string_equal(actual->class, expected->class);
  assert_string_equal(actual->team, expected->team);
  assert_string_equal(actual->image, expected->image);
  assert_string_equal(actual->zone, expected->zone);
  assert_int_equal(actual->n_types, expected->n_types);
  for (size_t i = 0; i < actual->n_types; i++)
    assert_string_equal(actual->types[i], expected->types[i]);
  assert_int_equal(actual->service, expected->service);
  assert_int_equal(actual->same_zone, expected->same_zone);
  assert_int_equal(actual->spread, expected->spread);
  assert_int_equal(actual->spot_allowed, expected->spot_allowed);
  assert_int_equal(actual->priority, expected->priority);
  assert_int_equal(actual->tasks, expected->tasks);
  const double actual_numbers[] = {actual->cpus,
                                   actual->gpus,
                                   actual->mem_gb,
                                   actual->image_gb,
                                   actual->estimate_s,
                                   actual->checkpoint_s,
                                   actual->checkpoint_save_s,
                                   actual->deadline_s};
  const double expected_numbers[] = {expected->cpus,
                                     expected->gpus,
                                     expected->mem_gb,
                                     expected->image_gb,
                                     expected->estimate_s,
                                     expected->checkpoint_s,
                                     expected->checkpoint_save_s,
                                     expected->deadline_s};
  for (size_t i = 0; i < sizeof actual_numbers / sizeof *actual_numbers; i++)
    assert_true(actual_numbers[i] == expected_numbers[i]);
}

/* Records an encoded job record and decodes it. `prerequisites` receives the text of the
 * prerequisite ids, or an empty string. */
static struct tmx_job_record record_and_decode(struct recording *recording,
                                               const struct tmx_buffer *buffer, char *prerequisites,
                                               size_t capacity) {
  struct tmx_job_record out;
  cbor_item_t *value = tmx_cbor_parse(buffer->data, buffer->length);
  record_cbor(recording, "", buffer->data, buffer->length);
  assert_non_null(value);
  assert_true(tmx_job_decode(value, &out));
  prerequisites[0] = 0;
  if (out.prerequisite_ids)
    assert_true(tmx_cbor_as_text(out.prerequisite_ids, prerequisites, capacity));
  out.prerequisite_ids = NULL; /* points into the value, which is freed below */
  tmx_cbor_free(value);
  return out;
}

static void record_open_job(struct recording *recording, const char *title, const char *id,
                            const struct tmx_job_spec *spec) {
  struct tmx_buffer buffer = {0};
  char prerequisites[8];
  record_line(recording, "== %s", title);
  tmx_job_encode(&buffer, id, spec, sample_submitted_at, TMX_JOB_OPEN);
  struct tmx_job_record decoded =
      record_and_decode(recording, &buffer, prerequisites, sizeof prerequisites);
  assert_string_equal(decoded.id, id);
  assert_specs_equal(&decoded.spec, spec);
  assert_true(decoded.submitted_at == sample_submitted_at);
  assert_int_equal(decoded.outcome, TMX_JOB_OPEN);
  assert_int_equal(decoded.n_prerequisites, 0);
  tmx_buffer_free(&buffer);
}

static void open_job_records_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_job_spec plain = sample_job(), full = job_with_every_field();
  record_open_job(&recording, "an open job", "wk-000001", &plain);
  record_open_job(&recording, "an open job with every field in use", "wk-000002", &full);
  static const char *const priorities[] = {"idle", "normal", "high", "prod"};
  for (int i = 0; i < 4; i++) {
    plain.priority = i;
    record_open_job(&recording, priorities[i], "wk-000003", &plain);
  }
  static const char *const flags[] = {"a service", "all tasks in one zone", "spread over zones",
                                      "spot machines allowed"};
  for (int i = 0; i < 4; i++) { /* only one flag is set, which shows its bit */
    plain = sample_job();
    *(bool *[]){&plain.service, &plain.same_zone, &plain.spread, &plain.spot_allowed}[i] = true;
    record_open_job(&recording, flags[i], "wk-000004", &plain);
  }
  recording_check(&recording, "storage-open-jobs.txt");
}

/* Records a job with `count` prerequisites, in a record of at most `max_json_bytes` bytes. The ids
 * that do not fit follow as log lines. */
static void record_waiting_job(struct recording *recording, const char *title, uint32_t count,
                               size_t max_json_bytes) {
  struct tmx_job_spec spec = sample_job();
  struct tmx_job_ids ids;
  struct tmx_buffer buffer = {0};
  char prerequisites[1024], line[64];
  sample_dependencies(&ids, count);
  record_line(recording, "== %s", title);
  uint32_t written =
      tmx_job_encode_open(&buffer, "wk-000005", &spec, sample_submitted_at, &ids, max_json_bytes);
  struct tmx_job_record decoded =
      record_and_decode(recording, &buffer, prerequisites, sizeof prerequisites);
  assert_specs_equal(&decoded.spec, &spec);
  assert_int_equal(decoded.n_prerequisites, count);
  assert_true(decoded.ended_at == 0);
  while (written < count) {
    tmx_dependency_line_print(line, sizeof line, "wk-000005", &ids, &written);
    record_line(recording, "%s", line);
  }
  tmx_job_ids_free(&ids);
  tmx_buffer_free(&buffer);
}

static void prerequisite_ids_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  record_waiting_job(&recording, "a job that awaits others", 3, 1000);
  record_waiting_job(&recording, "... with room for some of them, the rest in lines", 20, 160);
  recording_check(&recording, "storage-awaiting-jobs.txt");
}

static void machine_type_lists_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_job_spec spec = sample_job();
  struct tmx_job_ids no_prerequisites = {0}, one_prerequisite;
  struct tmx_buffer buffer = {0};
  char prerequisites[64], line[64];
  for (; spec.n_types < 12; spec.n_types++)
    snprintf(spec.types[spec.n_types], TMX_ID_BYTES, "type %zu", spec.n_types);
  sample_dependencies(&one_prerequisite, 1);
  record_line(
      &recording, "types in 200 bytes: %zu, beside awaited jobs: %zu, in none: %zu",
      tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &no_prerequisites, 200),
      tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &one_prerequisite, 200),
      tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &no_prerequisites, 1));
  struct tmx_job_spec fitting = spec;
  fitting.n_types =
      tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &no_prerequisites, 200);
  tmx_job_encode_open(&buffer, "wk-000006", &fitting, sample_submitted_at, &no_prerequisites, 200);
  struct tmx_job_record decoded =
      record_and_decode(&recording, &buffer, prerequisites, sizeof prerequisites);
  assert_specs_equal(&decoded.spec, &fitting);
  for (size_t i = fitting.n_types; i < spec.n_types; i++) {
    tmx_permitted_type_line_print(line, sizeof line, "wk-000006", spec.types[i]);
    record_line(&recording, "%s", line);
  }
  tmx_job_ids_free(&one_prerequisite);
  tmx_buffer_free(&buffer);
  recording_check(&recording, "storage-many-types.txt");
}

/* Records a job with a final state. A limit under 100 bytes leaves no space for the fields that are
 * no longer used. */
static void record_final_job(struct recording *recording, const char *title, int outcome,
                             double ended_at_s, size_t max_json_bytes) {
  struct tmx_job job = {.spec = job_with_every_field(), .submitted_at = sample_submitted_at};
  struct tmx_buffer buffer = {0};
  char prerequisites[8];
  strcpy(job.id, "wk-000007");
  record_line(recording, "== %s", title);
  tmx_job_encode_final(&buffer, &job, outcome, ended_at_s, max_json_bytes);
  struct tmx_job_record decoded =
      record_and_decode(recording, &buffer, prerequisites, sizeof prerequisites);
  assert_string_equal(decoded.id, job.id);
  assert_int_equal(decoded.outcome, outcome);
  assert_true(decoded.ended_at == ended_at_s);
  assert_string_equal(prerequisites, "");
  if (max_json_bytes < 100) {
    job.spec.n_types = 0;
    job.spec.class[0] = job.spec.image[0] = job.spec.zone[0] = 0;
  }
  assert_specs_equal(&decoded.spec, &job.spec);
  tmx_buffer_free(&buffer);
}

static void final_job_records_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  record_final_job(&recording, "a job that is done", TMX_JOB_DONE, 0, 1000);
  record_final_job(&recording, "... with the time of its end", TMX_JOB_DONE, ended_at, 1000);
  record_final_job(&recording, "a cancelled job", TMX_JOB_CANCELLED, 0, 1000);
  record_final_job(&recording, "a job that is done, cut down", TMX_JOB_DONE, 0, 99);
  record_final_job(&recording, "... with the time of its end", TMX_JOB_DONE, ended_at, 99);
  record_final_job(&recording, "a cancelled job, cut down", TMX_JOB_CANCELLED, 0, 99);
  recording_check(&recording, "storage-final-jobs.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(open_job_records_keep_their_format),
      cmocka_unit_test(prerequisite_ids_keep_their_format),
      cmocka_unit_test(machine_type_lists_keep_their_format),
      cmocka_unit_test(final_job_records_keep_their_format),
  };
  return RUN_TESTS(tests);
}
