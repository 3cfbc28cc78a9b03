#include "dependency_fixture.h"

#include <stdio.h>
#include <string.h>

#include "tmx/wire.h"

struct fake_response submit_with_dependencies(struct tmx_controller *controller, const char *id,
                                              const char *prerequisite_ids) {
  struct tmx_buffer encoded_ids = {0}, body = {0};
  char text[256], *ids[8];
  snprintf(text, sizeof text, "%s", prerequisite_ids);
  size_t count = tmx_log_line_split(text, ids, 8);
  tmx_cbor_put_array(&encoded_ids, count);
  for (size_t i = 0; i < count; i++) tmx_cbor_put_text(&encoded_ids, ids[i]);
  encode_submission_with_dependencies(&body, id, WV_ARRAY, 1, 2, "t", &encoded_ids);
  struct fake_response response = send_request(controller, "POST", WP_JOBS, &body);
  tmx_buffer_free(&encoded_ids);
  tmx_buffer_free(&body);
  return response;
}

void assert_accepted(const char *id, const char *prerequisite_ids) {
  struct fake_response response = submit_with_dependencies(first_controller, id, prerequisite_ids);
  assert_int_equal(response.status, 201);
  assert_string_equal(response.state, WV_PENDING);
}

void assert_stays_pending(const char *id, double duration_s) {
  unsigned starts_before = worker.executed_starts;
  double elapsed_s = 0;
  while (elapsed_s < duration_s) {
    run_loop_for(0.2);
    report_worker_to_owner();
    assert_string_equal(poll_job(first_controller, id).state, WV_PENDING);
    elapsed_s += 0.2;
  }
  assert_int_equal(worker.executed_starts, starts_before);
}
