/* What would appear only with thousands of machines: growth past every former bound. */
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

/* Lines of the log as another controller would have written them, many in one batch. */
static void put_lines(const char *form, size_t from, size_t count) {
  static unsigned batches;
  enum { A_BATCH = 1000 };
  char key[64], line[TMX_LOG_LINE_BYTES];
  for (size_t sent = 0; sent < count; sent += A_BATCH) {
    size_t part = count - sent < A_BATCH ? count - sent : A_BATCH;
    struct tmx_buffer list = {0}, value = {0};
    for (size_t i = 0; i < part; i++) {
      snprintf(line, sizeof line, form, from + sent + i);
      tmx_cbor_put_text(&list, line);
    }
    tmx_log_value_encode(&value, NULL, 0, &list, part);
    snprintf(key, sizeof key, TMX_KEY_BATCH "other/%06x", batches++);
    fake_put(key, &value);
    tmx_buffer_free(&list);
    tmx_buffer_free(&value);
  }
}

/* A heartbeat's record has room for 2,048 suspected machines. Where an owner has more, further
 * records follow, and the leader hears of all of them. */
static void doubts_beyond_one_record(void **state) {
  (void)state;
  enum { MACHINES = 5000 };
  first_controller = start_controller(0, 2);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  second_controller = start_controller(1, 2);
  assert_true(run_loop_until(fake_controller_is_ready, second_controller));
  put_lines("m n-1%05zu 127.0.0.1:1 big a 0 0", 0, MACHINES);
  run_loop_for(8); /* none of them reports */
  struct tmx_machine *machine, *next;
  size_t of_other = 0, heard_of = 0;
  struct tmx_suspicion suspicion;
  HASH_ITER(hh, second_controller->replica.machines, machine, next) {
    if (machine->owner == tmx_authority_member_index(&second_controller->authority)) continue;
    of_other++;
    heard_of += tmx_workers_find_suspicion(second_controller->workers, machine, &suspicion);
  }
  assert_true(of_other > TMX_HEARTBEAT_SUSPICIONS_MAX);
  assert_int_equal(heard_of, of_other);
}

/* Machines came and went by the thousand: a late report of one that is long gone does not bring it
 * back. */
static void gone_thousands_of_machines_ago(void **state) {
  (void)state;
  enum { GONE = 20000 };
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  fake_worker_send_heartbeat(&worker, first_controller);
  uint64_t token = worker.token;
  put_lines("x n-%06zu", 1, GONE);
  run_loop_for(0.5);
  assert_true(tmx_machine_was_removed(&first_controller->replica, "n-000001"));
  worker.token = token;
  for (int i = 0; i < 5; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    run_loop_for(0.2);
  }
  assert_null(tmx_machine_find(&first_controller->replica, "n-000001"));
}

/* More machines report than were ever allowed for at once. */
static void more_workers_than_before(void **state) {
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

static size_t listed(void) { return HASH_COUNT(first_controller->cloud->inventory.instances); }

/* A listing of many pages is read to its end, also when it grows between them. */
static void listing_of_many_pages(void **state) {
  (void)state;
  fake_cloud.listed_machines = 6100;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  for (int i = 0; i < 100 && fake_cloud.pages_served < 5; i++) run_loop_for(0.1);
  fake_cloud.listed_machines = 6900;
  for (int i = 0; i < 400 && listed() < 6900; i++) run_loop_for(0.1);
  assert_int_equal(listed(), 6900);
}

/* A listing that announces more pages and repeats the same names is given up, and read anew later.
 */
static void listing_that_does_not_go_on(void **state) {
  (void)state;
  fake_cloud.listed_machines = 2000;
  fake_cloud.repeat_first_page = true;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  fake_cloud.pages_served = 0;
  run_loop_for(10);
  assert_in_range(fake_cloud.pages_served, 2, 14); /* two a pass, a pass each 2 s */
  assert_int_equal(listed(), 500);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(doubts_beyond_one_record, setup, teardown),
      cmocka_unit_test_setup_teardown(gone_thousands_of_machines_ago, setup, teardown),
      cmocka_unit_test_setup_teardown(more_workers_than_before, setup, teardown),
      cmocka_unit_test_setup_teardown(listing_of_many_pages, setup, teardown),
      cmocka_unit_test_setup_teardown(listing_that_does_not_go_on, setup, teardown),
  };
  return RUN_TESTS(tests);
}
