/* The form in which the store keeps the records of jobs, byte for byte as recorded under
 * tests/data/wire-format/storage-*.txt, and read back to what was written. A store that an earlier
 * version wrote must stay readable: a difference here is a change of the format, whatever the code
 * is called. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "recording.h"
#include "replica/replica.h"
#include "sample_jobs.h"
#include "test.h"

static const double ended_at = 1500000060.5; /* s of the epoch */

static struct tmx_job_spec full_job(void) {
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

static void assert_same_spec(const struct tmx_job_spec *actual,
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

/* Records what was encoded and decodes it; the awaited ids go to `awaits`. */
static struct tmx_job_record read_record(struct recording *recording,
                                         const struct tmx_buffer *buffer, char *awaits,
                                         size_t cap) {
  struct tmx_job_record out;
  cbor_item_t *value = tmx_cbor_parse(buffer->data, buffer->length);
  record_cbor(recording, "", buffer->data, buffer->length);
  assert_non_null(value);
  assert_true(tmx_job_decode(value, &out));
  awaits[0] = 0;
  if (out.prerequisite_ids) assert_true(tmx_cbor_as_text(out.prerequisite_ids, awaits, cap));
  out.prerequisite_ids = NULL; /* freed with the value */
  tmx_cbor_free(value);
  return out;
}

static void record_open(struct recording *recording, const char *title, const char *id,
                        const struct tmx_job_spec *spec) {
  struct tmx_buffer buffer = {0};
  char awaits[8];
  record_line(recording, "== %s", title);
  tmx_job_encode(&buffer, id, spec, sample_submitted_at, TMX_JOB_OPEN);
  struct tmx_job_record back = read_record(recording, &buffer, awaits, sizeof awaits);
  assert_string_equal(back.id, id);
  assert_same_spec(&back.spec, spec);
  assert_true(back.submitted_at == sample_submitted_at);
  assert_int_equal(back.outcome, TMX_JOB_OPEN);
  assert_int_equal(back.n_prerequisites, 0);
  tmx_buffer_free(&buffer);
}

static void open_jobs_keep_their_form(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_job_spec plain = sample_job(), full = full_job();
  record_open(&recording, "an open job", "wk-000001", &plain);
  record_open(&recording, "an open job with every field in use", "wk-000002", &full);
  static const char *const priorities[] = {"idle", "normal", "high", "prod"};
  for (int i = 0; i < 4; i++) {
    plain.priority = i;
    record_open(&recording, priorities[i], "wk-000003", &plain);
  }
  static const char *const flags[] = {"a service", "all tasks in one zone", "spread over zones",
                                      "spot machines allowed"};
  for (int i = 0; i < 4; i++) { /* one flag each: which bit it is */
    plain = sample_job();
    *(bool *[]){&plain.service, &plain.same_zone, &plain.spread, &plain.spot_allowed}[i] = true;
    record_open(&recording, flags[i], "wk-000004", &plain);
  }
  recording_check(&recording, "storage-open-jobs.txt");
}

static void record_awaiting(struct recording *recording, const char *title, uint32_t count,
                            size_t room) {
  struct tmx_job_spec spec = sample_job();
  struct tmx_job_ids ids;
  struct tmx_buffer buffer = {0};
  char text[1024], line[64];
  sample_dependencies(&ids, count);
  record_line(recording, "== %s", title);
  uint32_t written =
      tmx_job_encode_open(&buffer, "wk-000005", &spec, sample_submitted_at, &ids, room);
  struct tmx_job_record back = read_record(recording, &buffer, text, sizeof text);
  assert_same_spec(&back.spec, &spec);
  assert_int_equal(back.n_prerequisites, count);
  assert_true(back.ended_at == 0);
  while (written < count) {
    tmx_dependency_line_print(line, sizeof line, "wk-000005", &ids, &written);
    record_line(recording, "%s", line);
  }
  tmx_job_ids_free(&ids);
  tmx_buffer_free(&buffer);
}

static void awaited_jobs_keep_their_form(void **state) {
  (void)state;
  struct recording recording = {0};
  record_awaiting(&recording, "a job that awaits others", 3, 1000);
  record_awaiting(&recording, "... with room for some of them, the rest in lines", 20, 160);
  recording_check(&recording, "storage-awaiting-jobs.txt");
}

static void lists_of_types_keep_their_form(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_job_spec spec = sample_job();
  struct tmx_job_ids none = {0}, one;
  struct tmx_buffer buffer = {0};
  char text[64], line[64];
  for (; spec.n_types < 12; spec.n_types++)
    snprintf(spec.types[spec.n_types], TMX_ID_BYTES, "type %zu", spec.n_types);
  sample_dependencies(&one, 1);
  record_line(&recording, "types in 200 bytes: %zu, beside awaited jobs: %zu, in none: %zu",
              tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &none, 200),
              tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &one, 200),
              tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &none, 1));
  struct tmx_job_spec part = spec;
  part.n_types = tmx_job_count_types_that_fit("wk-000006", &spec, sample_submitted_at, &none, 200);
  tmx_job_encode_open(&buffer, "wk-000006", &part, sample_submitted_at, &none, 200);
  struct tmx_job_record back = read_record(&recording, &buffer, text, sizeof text);
  assert_same_spec(&back.spec, &part);
  for (size_t i = part.n_types; i < spec.n_types; i++) {
    tmx_permitted_type_line_print(line, sizeof line, "wk-000006", spec.types[i]);
    record_line(&recording, "%s", line);
  }
  tmx_job_ids_free(&one);
  tmx_buffer_free(&buffer);
  recording_check(&recording, "storage-many-types.txt");
}

static void record_final(struct recording *recording, const char *title, int fin, double ended,
                         size_t room) {
  struct tmx_job job = {.spec = full_job(), .submitted_at = sample_submitted_at};
  struct tmx_buffer buffer = {0};
  char awaits[8];
  strcpy(job.id, "wk-000007");
  record_line(recording, "== %s", title);
  tmx_job_encode_final(&buffer, &job, fin, ended, room);
  struct tmx_job_record back = read_record(recording, &buffer, awaits, sizeof awaits);
  assert_string_equal(back.id, job.id);
  assert_int_equal(back.outcome, fin);
  assert_true(back.ended_at == ended);
  assert_string_equal(awaits, "");
  if (room < 100) {
    job.spec.n_types = 0;
    job.spec.class[0] = job.spec.image[0] = job.spec.zone[0] = 0;
  }
  assert_same_spec(&back.spec, &job.spec);
  tmx_buffer_free(&buffer);
}

static void final_jobs_keep_their_form(void **state) {
  (void)state;
  struct recording recording = {0};
  record_final(&recording, "a job that is done", TMX_JOB_DONE, 0, 1000);
  record_final(&recording, "... with the time of its end", TMX_JOB_DONE, ended_at, 1000);
  record_final(&recording, "a cancelled job", TMX_JOB_CANCELLED, 0, 1000);
  record_final(&recording, "a job that is done, cut down", TMX_JOB_DONE, 0, 99);
  record_final(&recording, "... with the time of its end", TMX_JOB_DONE, ended_at, 99);
  record_final(&recording, "a cancelled job, cut down", TMX_JOB_CANCELLED, 0, 99);
  recording_check(&recording, "storage-final-jobs.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(open_jobs_keep_their_form),
      cmocka_unit_test(awaited_jobs_keep_their_form),
      cmocka_unit_test(lists_of_types_keep_their_form),
      cmocka_unit_test(final_jobs_keep_their_form),
  };
  return RUN_TESTS(tests);
}
