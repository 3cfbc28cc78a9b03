/* Guards against faults that appear only with thousands of machines. The sizes exceed former
 * fixed limits. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "heartbeat.h"
#include "cloud/cloud_internal.h"
#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller, *second_controller;
static struct fake_worker worker;

static int setup(void **state) {
  (void)state;
  fake_start();
  fake_worker_open(&worker, "n-000001");
  first_controller = second_controller = NULL;
  return 0;
}
static int teardown(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  if (second_controller) stop_controller(second_controller);
  tmx_http_server_free(worker.server);
  fake_stop();
  return 0;
}

/* Writes `count` log lines in large batches, as another controller would write them. `format` gets
 * the number of each line, starting with `first`. */
static void put_lines(const char *format, size_t first, size_t count) {
  static unsigned n_batches;
  enum { BATCH_LINES = 1000 };
  char key[64], line[TMX_LOG_LINE_BYTES];
  for (size_t written = 0; written < count; written += BATCH_LINES) {
    size_t batch_lines = count - written < BATCH_LINES ? count - written : BATCH_LINES;
    struct tmx_buffer list = {0}, value = {0};
    for (size_t i = 0; i < batch_lines; i++) {
      snprintf(line, sizeof line, format, first + written + i);
      tmx_cbor_put_text(&list, line);
    }
    tmx_log_value_encode(&value, NULL, 0, &list, batch_lines);
    snprintf(key, sizeof key, TMX_KEY_BATCH "other/%06x", n_batches++);
    fake_put(key, &value);
    tmx_buffer_free(&list);
    tmx_buffer_free(&value);
  }
}

/* A heartbeat record holds at most 2,048 suspected machines. An owner that suspects more sends
 * further records. If they were lost, the leader would never replace the machines in them. */
static void suspicions_beyond_one_record_reach_the_other_controller(void **state) {
  (void)state;
  enum { MACHINES = 5000 };
  first_controller = start_controller(0, 2);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  second_controller = start_controller(1, 2);
  assert_true(run_loop_until(fake_controller_is_ready, second_controller));
  put_lines("m n-1%05zu 127.0.0.1:1 big a 0 0", 0, MACHINES);
  run_loop_for(8); /* none of the machines sends a heartbeat */
  struct tmx_machine *machine, *next;
  size_t owned_by_other = 0, known_suspicions = 0;
  struct tmx_suspicion suspicion;
  HASH_ITER(hh, second_controller->replica.machines, machine, next) {
    if (machine->owner == tmx_authority_member_index(&second_controller->authority)) continue;
    owned_by_other++;
    known_suspicions += tmx_workers_find_suspicion(second_controller->workers, machine, &suspicion);
  }
  assert_true(owned_by_other > TMX_HEARTBEAT_SUSPICIONS_MAX);
  assert_int_equal(known_suspicions, owned_by_other);
}

/* A late heartbeat of a removed machine must not register the machine again, even after thousands
 * of other machines were removed. */
static void a_late_heartbeat_does_not_restore_a_removed_machine(void **state) {
  (void)state;
  enum { REMOVED = 20000 };
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  fake_worker_send_heartbeat(&worker, first_controller);
  uint64_t token = worker.token;
  put_lines("x n-%06zu", 1, REMOVED);
  run_loop_for(0.5);
  assert_true(tmx_machine_was_removed(&first_controller->replica, "n-000001"));
  worker.token = token;
  for (int i = 0; i < 5; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    run_loop_for(0.2);
  }
  assert_null(tmx_machine_find(&first_controller->replica, "n-000001"));
}

/* More machines are registered than the former limit allowed. A further machine's heartbeat must be
 * accepted. */
static void a_heartbeat_is_accepted_among_thousands_of_machines(void **state) {
  (void)state;
  enum { MACHINES = 9000 };
  struct tmx_buffer body = {0};
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  put_lines("m n-1%05zu 127.0.0.1:1 big a 0 0", 0, MACHINES);
  run_loop_for(1);
  assert_int_equal(HASH_COUNT(first_controller->replica.machines), MACHINES);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200);
  tmx_buffer_free(&body);
}

static size_t listed_instances(void) {
  return HASH_COUNT(first_controller->cloud->inventory.instances);
}

/* The cloud's list of instances must be read to its last page, also when it grows between two
 * pages. */
static void a_growing_instance_list_is_read_to_its_last_page(void **state) {
  (void)state;
  fake_cloud.listed_machines = 6100;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  for (int i = 0; i < 100 && fake_cloud.pages_served < 5; i++) run_loop_for(0.1);
  fake_cloud.listed_machines = 6900;
  for (int i = 0; i < 400 && listed_instances() < 6900; i++) run_loop_for(0.1);
  assert_int_equal(listed_instances(), 6900);
}

/* A list that announces further pages but repeats the same ids must be abandoned and read again
 * later. Otherwise the controller would request the same page in an endless loop. */
static void an_instance_list_that_repeats_a_page_is_abandoned(void **state) {
  (void)state;
  fake_cloud.listed_machines = 2000;
  fake_cloud.repeat_first_page = true;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  fake_cloud.pages_served = 0;
  run_loop_for(10);
  /* two pages for each read of the list, one read every 2 s */
  assert_in_range(fake_cloud.pages_served, 2, 14);
  assert_int_equal(listed_instances(), 500);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(suspicions_beyond_one_record_reach_the_other_controller,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(a_late_heartbeat_does_not_restore_a_removed_machine, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_heartbeat_is_accepted_among_thousands_of_machines, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_growing_instance_list_is_read_to_its_last_page, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(an_instance_list_that_repeats_a_page_is_abandoned, setup,
                                      teardown),
  };
  return RUN_TESTS(tests);
}
