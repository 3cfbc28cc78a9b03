/* Suspicion of peers, and partitions of zones. */
#include "test.h"

#include "membership/failure_detector.h"

/* Who is left out: not everybody because connections are refused, not the others because this one
 * hears nobody, and nobody because the zones came apart. */
static void peers_are_suspected_by_evidence(void **state) {
  (void)state;
  struct tmx_peer_liveness all = {.others = 4,
                                  .alive = 3,
                                  .same_zone = 2,
                                  .same_zone_alive = 2,
                                  .other_zones = 2,
                                  .other_zones_alive = 1};
  struct tmx_peer_liveness none = {.others = 4, .same_zone = 2, .other_zones = 2};
  struct tmx_peer_liveness apart = {
      .others = 4, .alive = 2, .same_zone = 2, .same_zone_alive = 2, .other_zones = 2};
  struct tmx_peer_evidence evidence = {
      .heartbeat_age_s = 60, .last_batch_age_s = 60, .observed_for_s = 60};
  assert_true(tmx_peer_is_suspected(&all, &evidence));
  assert_false(tmx_peer_is_suspected(&none, &evidence));
  assert_false(tmx_zones_are_partitioned(&none));
  assert_true(tmx_zones_are_partitioned(&apart));
  assert_false(tmx_peer_is_suspected(&apart, &evidence));
  evidence.observed_for_s = 1; /* a new leader hears first */
  assert_false(tmx_peer_is_suspected(&all, &evidence));
  evidence.refuses_connections = true;
  assert_true(tmx_peer_is_suspected(&none, &evidence));
  evidence.last_batch_age_s = 0.5; /* it refuses, and its batches come */
  assert_false(tmx_peer_is_suspected(&none, &evidence));
  struct tmx_peer_evidence cut = {
      .reports_no_workers = true, .heartbeat_age_s = 0.1, .last_batch_age_s = 0.1};
  assert_true(tmx_peer_is_suspected(&all, &cut));
}

/* A zone that falls silent is asked one machine after the other: the first ones are lost while most
 * have not been asked, and none of them may be taken for dead. */
static void a_zone_partition_is_told_from_dead_machines(void **state) {
  (void)state;
  struct tmx_zone_liveness first = {.machines = 800, .lost = 1};
  struct tmx_zone_liveness some = {.machines = 800, .lost = 60, .alive = 12};
  struct tmx_zone_liveness dead = {.machines = 800, .lost = 90, .alive = 300};
  struct tmx_zone_liveness one = {.machines = 800, .lost = 1, .alive = 300};
  struct tmx_zone_liveness pair = {.machines = 2, .lost = 1, .alive = 1};
  struct tmx_zone_liveness alone = {.machines = 1, .lost = 1};
  struct tmx_zone_liveness well = {.machines = 800};
  assert_true(tmx_zone_is_partitioned(&first));
  assert_true(tmx_zone_is_partitioned(&some));
  assert_false(tmx_zone_is_partitioned(&dead));
  assert_false(tmx_zone_is_partitioned(&one));
  assert_false(tmx_zone_is_partitioned(&pair));
  assert_false(tmx_zone_is_partitioned(&alone));
  assert_false(tmx_zone_is_partitioned(&well));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(peers_are_suspected_by_evidence),
      cmocka_unit_test(a_zone_partition_is_told_from_dead_machines),
  };
  return RUN_TESTS(tests);
}
