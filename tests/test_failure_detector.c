/* Suspicion of other controllers, and detection of partitioned zones. */
#include "test.h"

#include "membership/failure_detector.h"

/* Guards against suspecting healthy controllers. One that refuses connections is not suspected
 * while its batches are recent. None is suspected for its silence by a controller that hears no
 * other, or while the zones are partitioned from each other. */
static void peers_are_suspected_by_evidence(void **state) {
  (void)state;
  struct tmx_peer_liveness most_heard = {.others = 4,
                                         .alive = 3,
                                         .same_zone = 2,
                                         .same_zone_alive = 2,
                                         .other_zones = 2,
                                         .other_zones_alive = 1};
  struct tmx_peer_liveness none_heard = {.others = 4, .same_zone = 2, .other_zones = 2};
  struct tmx_peer_liveness partitioned = {
      .others = 4, .alive = 2, .same_zone = 2, .same_zone_alive = 2, .other_zones = 2};
  struct tmx_peer_evidence evidence = {
      .heartbeat_age_s = 60, .last_batch_age_s = 60, .observed_for_s = 60};
  assert_true(tmx_peer_is_suspected(&most_heard, &evidence));
  assert_false(tmx_peer_is_suspected(&none_heard, &evidence));
  assert_false(tmx_zones_are_partitioned(&none_heard));
  assert_true(tmx_zones_are_partitioned(&partitioned));
  assert_false(tmx_peer_is_suspected(&partitioned, &evidence));
  evidence.observed_for_s = 1; /* a new leader has not observed for long enough */
  assert_false(tmx_peer_is_suspected(&most_heard, &evidence));
  evidence.refuses_connections = true;
  assert_true(tmx_peer_is_suspected(&none_heard, &evidence));
  evidence.last_batch_age_s = 0.5; /* a recent batch proves that it is alive */
  assert_false(tmx_peer_is_suspected(&none_heard, &evidence));
  struct tmx_peer_evidence workers_unreachable = {
      .reports_no_workers = true, .heartbeat_age_s = 0.1, .last_batch_age_s = 0.1};
  assert_true(tmx_peer_is_suspected(&most_heard, &workers_unreachable));
}

/* Guards against treating the machines of an unreachable zone as dead. Machines are probed one
 * after the other, so the first ones count as lost before most of them have been probed. */
static void a_zone_partition_is_distinguished_from_dead_machines(void **state) {
  (void)state;
  struct tmx_zone_liveness first_lost = {.machines = 800, .lost = 1};
  struct tmx_zone_liveness few_alive = {.machines = 800, .lost = 60, .alive = 12};
  struct tmx_zone_liveness more_alive_than_lost = {.machines = 800, .lost = 90, .alive = 300};
  struct tmx_zone_liveness one_lost = {.machines = 800, .lost = 1, .alive = 300};
  struct tmx_zone_liveness pair_half_lost = {.machines = 2, .lost = 1, .alive = 1};
  struct tmx_zone_liveness single_lost = {.machines = 1, .lost = 1};
  struct tmx_zone_liveness none_lost = {.machines = 800};
  assert_true(tmx_zone_is_partitioned(&first_lost));
  assert_true(tmx_zone_is_partitioned(&few_alive));
  assert_false(tmx_zone_is_partitioned(&more_alive_than_lost));
  assert_false(tmx_zone_is_partitioned(&one_lost));
  assert_false(tmx_zone_is_partitioned(&pair_half_lost));
  assert_false(tmx_zone_is_partitioned(&single_lost));
  assert_false(tmx_zone_is_partitioned(&none_lost));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(peers_are_suspected_by_evidence),
      cmocka_unit_test(a_zone_partition_is_distinguished_from_dead_machines),
  };
  return RUN_TESTS(tests);
}
