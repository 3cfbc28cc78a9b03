/* The decisions about machines, as tables of cases: which are deleted or drained, and why; the
 * demand's peak and the backoff of offers on which they rest. Nothing here does I/O. */
#include "test.h"

#include <stdlib.h>
#include <string.h>

#include "cloud/demand_history.h"
#include "cloud/offer_backoff.h"
#include "cloud/replacement_policy.h"
#include "cloud/scale_in_policy.h"

#define COUNT(array) (sizeof(array) / sizeof(array)[0])

static const struct tmx_machine_deadlines deadlines = {
    .no_contact_s = 1.5, .leases_expired_s = 40, .heartbeat_late_s = 3.5, .unacknowledged_s = 5};

/* Whether the leader has settled and the owner suspects the machine, and what the owner says. */
#define SUSPICION(settled, by_owner, silence, lost, unacknowledged) \
  .leader_settled = (settled), .suspected = (by_owner),             \
  .suspicion = {.no_contact_s = (silence),                          \
                .consecutive_probes_lost = (lost),                  \
                .unacknowledged_s = (unacknowledged)}
#define DEAD SUSPICION(true, true, 2, TMX_PROBES_LOST_MIN, 0)
#define SILENT_FOR(silence) \
  SUSPICION(true, true, silence, TMX_PROBES_LOST_MIN, 0), .has_tasks = true
#define UNREACHED_FOR(unacknowledged) \
  SUSPICION(true, true, 0.5, 0, unacknowledged), .has_tasks = true

static void deletion_of_machines(void **state) {
  (void)state;
  const struct {
    const char *name;
    struct tmx_machine_evidence evidence;
    enum tmx_deletion_reason reason;
  } cases[] = {
      {"healthy", {.leader_settled = true, .has_tasks = true}, TMX_DELETE_NONE},
      {"failed in the list, new leader", {.listed_as_failed = true}, TMX_DELETE_FAILED},
      {"failed and dead", {DEAD, .listed_as_failed = true}, TMX_DELETE_FAILED},
      {"dead", {DEAD, .has_tasks = true}, TMX_DELETE_SILENT},
      {"dead, new leader", {SUSPICION(false, true, 2, TMX_PROBES_LOST_MIN, 0)}, TMX_DELETE_NONE},
      {"dead, its owner not heard",
       {SUSPICION(true, false, 2, TMX_PROBES_LOST_MIN, 0)},
       TMX_DELETE_NONE},
      {"too few probes", {SUSPICION(true, true, 2, TMX_PROBES_LOST_MIN - 1, 0)}, TMX_DELETE_NONE},
      {"silent for just the limit", {SILENT_FOR(1.5)}, TMX_DELETE_NONE},
      {"zone cut off", {DEAD, .partition_grace = true}, TMX_DELETE_NONE},
      {"zone cut off for just until leases expire",
       {SILENT_FOR(40), .partition_grace = true},
       TMX_DELETE_NONE},
      {"zone cut off until leases expired",
       {SILENT_FOR(40.1), .partition_grace = true},
       TMX_DELETE_SILENT},
      {"zone cut off, with replicas",
       {SILENT_FOR(80), .partition_grace = true, .has_services = true},
       TMX_DELETE_NONE},
      {"zone cut off for twice as long, with replicas",
       {SILENT_FOR(80.1), .partition_grace = true, .has_services = true},
       TMX_DELETE_SILENT},
      {"heard, not reached", {UNREACHED_FOR(5.1)}, TMX_DELETE_UNACKNOWLEDGED},
      {"not reached, new leader", {SUSPICION(false, true, 0.5, 0, 5.1)}, TMX_DELETE_NONE},
      {"not reached, its owner not heard", {SUSPICION(true, false, 0.5, 0, 5.1)}, TMX_DELETE_NONE},
      {"not reached, zone cut off", {UNREACHED_FOR(5.1), .partition_grace = true}, TMX_DELETE_NONE},
      {"not reached for just the limit", {UNREACHED_FOR(5)}, TMX_DELETE_NONE},
      {"not reached, not heard either", {SUSPICION(true, true, 3.5, 0, 5.1)}, TMX_DELETE_NONE},
      {"draining, with tasks", {.draining = true, .has_tasks = true}, TMX_DELETE_NONE},
      {"drained", {.draining = true}, TMX_DELETE_DRAINED},
      {"drained and faulty", {.draining = true, .faulty = true}, TMX_DELETE_DRAINED},
      {"faulty, with tasks", {.faulty = true, .has_tasks = true}, TMX_DELETE_NONE},
      {"faulty", {.faulty = true}, TMX_DELETE_FAULTY},
      {"dead before drained", {DEAD, .draining = true}, TMX_DELETE_SILENT},
  };
  for (size_t i = 0; i < COUNT(cases); i++) {
    enum tmx_deletion_reason reason = tmx_machine_deletion_reason(&cases[i].evidence, &deadlines);
    if (reason != cases[i].reason)
      fail_msg("%s: '%s', not '%s'", cases[i].name, tmx_deletion_reason_text(reason),
               tmx_deletion_reason_text(cases[i].reason));
  }
}

static void deadlines_from_settings(void **state) {
  (void)state;
  struct tmx_settings *settings = calloc(1, sizeof *settings);
  assert_non_null(settings);
  settings->cancel_s = 12;
  settings->lease_s = 8;
  settings->report_s = 2;
  struct tmx_machine_deadlines derived = tmx_machine_deadlines(settings);
  assert_float_equal(derived.no_contact_s, TMX_MACHINE_CONTACT_TIMEOUT_S, 1e-9);
  assert_float_equal(derived.leases_expired_s, 20, 1e-9);
  assert_float_equal(derived.heartbeat_late_s, 2.5 + TMX_REPORT_LATE_MARGIN_S, 1e-9);
  assert_float_equal(derived.unacknowledged_s, 8 * TMX_UNACKNOWLEDGED_LEASES, 1e-9);
  settings->operators.silent_s = 4;
  assert_float_equal(tmx_machine_deadlines(settings).no_contact_s, 4, 1e-9);
  free(settings);
}

static void deletion_of_instances(void **state) {
  (void)state;
  const struct {
    const char *name;
    struct tmx_instance_evidence evidence;
    enum tmx_deletion_reason reason;
  } cases[] = {
      {"failed", {.state = TMX_INSTANCE_FAILED}, TMX_DELETE_FAILED},
      {"boots", {.type_known = true, .boot_s = 20, .age_s = 90}, TMX_DELETE_NONE},
      {"boots too long",
       {.type_known = true, .boot_s = 20, .age_s = 90.1},
       TMX_DELETE_BOOT_TIMEOUT},
      {"boots, type not known", {.age_s = 9000}, TMX_DELETE_NONE},
      {"up, heartbeat awaited",
       {.state = TMX_INSTANCE_RUNNING,
        .leader_settled = true,
        .no_heartbeat_s = 30,
        .no_heartbeat_max_s = 30,
        .type_known = true,
        .age_s = 9000},
       TMX_DELETE_NONE},
      {"never heard",
       {.state = TMX_INSTANCE_RUNNING,
        .leader_settled = true,
        .no_heartbeat_s = 30.1,
        .no_heartbeat_max_s = 30},
       TMX_DELETE_NO_HEARTBEAT},
      {"never heard, new leader",
       {.state = TMX_INSTANCE_RUNNING, .no_heartbeat_s = 30.1, .no_heartbeat_max_s = 30},
       TMX_DELETE_NONE},
  };
  for (size_t i = 0; i < COUNT(cases); i++) {
    enum tmx_deletion_reason reason = tmx_instance_deletion_reason(&cases[i].evidence);
    if (reason != cases[i].reason)
      fail_msg("%s: '%s', not '%s'", cases[i].name, tmx_deletion_reason_text(reason),
               tmx_deletion_reason_text(cases[i].reason));
  }
}

/* Operators search the log for these words. */
static void words_of_the_log(void **state) {
  (void)state;
  const char *const words[] = {
      [TMX_DELETE_NONE] = "",
      [TMX_DELETE_FAILED] = "failed",
      [TMX_DELETE_SILENT] = "silent",
      [TMX_DELETE_UNACKNOWLEDGED] = "not both heard and reached",
      [TMX_DELETE_DRAINED] = "drained",
      [TMX_DELETE_FAULTY] = "faulty",
      [TMX_DELETE_BOOT_TIMEOUT] = "boots too long",
      [TMX_DELETE_NO_HEARTBEAT] = "never heard",
  };
  for (size_t i = 0; i < COUNT(words); i++)
    assert_string_equal(tmx_deletion_reason_text((enum tmx_deletion_reason)i), words[i]);
}

static void draining_of_idle_machines(void **state) {
  (void)state;
  const struct {
    const char *name;
    struct tmx_idle_evidence evidence;
    enum tmx_drain_decision decision;
  } cases[] = {
      /* type known, draining, tasks; idle s, limit s; CPUs, free, of services; headroom */
      {"idle", {true, false, false, 76, 75, 16, 32.1, 160, 0.1}, TMX_DRAIN},
      {"type not known", {false, false, false, 76, 75, 16, 32.1, 160, 0.1}, TMX_KEEP_NOT_ELIGIBLE},
      {"draining", {true, true, false, 76, 75, 16, 32.1, 160, 0.1}, TMX_KEEP_NOT_ELIGIBLE},
      {"in use", {true, false, true, 76, 75, 16, 32.1, 160, 0.1}, TMX_KEEP_IN_USE},
      {"idle for just the limit",
       {true, false, false, 75, 75, 16, 32.1, 160, 0.1},
       TMX_KEEP_IDLE_TOO_SHORT},
      {"room for restarts", {true, false, false, 76, 75, 16, 32, 160, 0.1}, TMX_KEEP_FOR_HEADROOM},
  };
  for (size_t i = 0; i < COUNT(cases); i++) {
    enum tmx_drain_decision decision = tmx_idle_drain_decision(&cases[i].evidence);
    if (decision != cases[i].decision)
      fail_msg("%s: %d, not %d", cases[i].name, (int)decision, (int)cases[i].decision);
  }
}

static const struct tmx_machine_type type = {.cpus = 16, .price = 1.6, .spot_price = 0.8};

static void draining_to_the_peak(void **state) {
  (void)state;
  const struct tmx_reserve reserve = {.peak_cpus = 1000, .margin = 0.1};
  const struct {
    const char *name;
    struct tmx_fleet fleet;
    double service_cpus;
    enum tmx_drain_decision decision;
  } cases[] = {
      {"above the peak", {.cpus = 1116.1}, 0, TMX_DRAIN},
      {"needed for the peak", {.cpus = 1115.9}, 0, TMX_KEEP_FOR_PEAK},
      {"first with replicas", {.cpus = 1200}, 4, TMX_DRAIN},
      {"few with replicas", {.cpus = 1200, .draining_cpus = 163}, 4, TMX_DRAIN},
      {"many with replicas", {.cpus = 1200, .draining_cpus = 165}, 4, TMX_KEEP_FOR_MOVE_LIMIT},
      {"none on this one", {.cpus = 1200, .draining_cpus = 165}, 0, TMX_DRAIN},
  };
  for (size_t i = 0; i < COUNT(cases); i++) {
    const struct tmx_drain_candidate candidate = {.type = &type,
                                                  .service_cpus = cases[i].service_cpus};
    enum tmx_drain_decision decision =
        tmx_peak_drain_decision(&cases[i].fleet, &reserve, &candidate);
    if (decision != cases[i].decision)
      fail_msg("%s: %d, not %d", cases[i].name, (int)decision, (int)cases[i].decision);
  }
}

static void draining_takes_machines_out_of_the_fleet(void **state) {
  (void)state;
  struct tmx_fleet fleet = {.cpus = 100};
  const struct tmx_drain_candidate plain = {.type = &type};
  const struct tmx_drain_candidate serving = {.type = &type, .service_cpus = 2};
  tmx_fleet_drain(&fleet, &plain);
  assert_float_equal(fleet.cpus, 84, 1e-9);
  assert_float_equal(fleet.draining_cpus, 0, 1e-9);
  tmx_fleet_drain(&fleet, &serving);
  assert_float_equal(fleet.cpus, 68, 1e-9);
  assert_float_equal(fleet.draining_cpus, 16, 1e-9);
}

static void the_most_expensive_go_first(void **state) {
  (void)state;
  struct tmx_drain_candidate candidates[] = {
      {.id = "spot", .type = &type, .spot = true},
      {.id = "busy", .type = &type, .booked_cpus = 8},
      {.id = "serving", .type = &type, .booked_cpus = 8, .service_cpus = 8},
      {.id = "empty-2", .type = &type},
      {.id = "empty-1", .type = &type},
  };
  const char *const order[] = {"empty-1", "empty-2", "busy", "spot", "serving"};
  qsort(candidates, COUNT(candidates), sizeof *candidates, tmx_drain_candidate_compare);
  for (size_t i = 0; i < COUNT(order); i++) assert_string_equal(candidates[i].id, order[i]);
}

static void room_for_replicas_that_move(void **state) {
  (void)state;
  const struct tmx_reserve reserve = {.peak_cpus = 100, .free_share_for_moves = 0.2};
  /* 8 of its own CPUs are free; twice its replicas and a tenth of the peak must be free elsewhere
   */
  const struct tmx_drain_candidate candidate = {
      .type = &type, .zone = 1, .booked_cpus = 8, .service_cpus = 4};
  const struct tmx_drain_candidate without = {.type = &type, .zone = 1, .booked_cpus = 8};
  struct tmx_fleet fleet = {.free_cpus_in_zone = {1000, 26}};
  assert_true(tmx_replicas_can_move(&fleet, &reserve, &candidate, 2));
  fleet.free_cpus_in_zone[1] = 25.9;
  assert_false(tmx_replicas_can_move(&fleet, &reserve, &candidate, 2));
  assert_true(tmx_replicas_can_move(&fleet, &reserve, &without, 2));
}

static void reserve_shrinks_with_the_fleet_s_size(void **state) {
  (void)state;
  assert_float_equal(tmx_reserve_for(100, 0).margin, TMX_PEAK_MARGIN_SHARE_MAX, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 100).margin, 0.1, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 100).free_share_for_moves, 0.2, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 10000).margin, 0.01, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 10000).free_share_for_moves, 0.02, 1e-9);
}

static void peak_of_the_last_while(void **state) {
  (void)state;
  struct tmx_demand_history history = {.latest_second = 0};
  tmx_demand_history_record(&history, 50, 1000.2);
  tmx_demand_history_record(&history, 40, 1000.9);
  assert_float_equal(history.since, 1000.2, 1e-9);
  assert_float_equal(tmx_demand_history_peak(&history), 50, 1e-9);
  for (int i = 1; i < TMX_PEAK_DEMAND_WINDOW_S; i++)
    tmx_demand_history_record(&history, 10, 1000.5 + i);
  assert_float_equal(tmx_demand_history_peak(&history), 50, 1e-9);
  tmx_demand_history_record(&history, 10, 1000.5 + TMX_PEAK_DEMAND_WINDOW_S);
  assert_float_equal(tmx_demand_history_peak(&history), 10, 1e-9);
  double later = 1000.5 + TMX_PEAK_DEMAND_WINDOW_S + TMX_DEMAND_GAP_MAX_S + 1;
  tmx_demand_history_record(&history, 3, later); /* what came in between is not known */
  assert_float_equal(history.since, later, 1e-9);
  assert_float_equal(tmx_demand_history_peak(&history), 3, 1e-9);
}

static void backoff_of_offers(void **state) {
  (void)state;
  struct tmx_offer_backoffs *backoffs = calloc(1, sizeof *backoffs);
  assert_non_null(backoffs);
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, false, 100));
  tmx_offer_back_off(backoffs, "big", 0, false, 100);
  assert_true(
      tmx_offer_is_backed_off(backoffs, "big", 0, false, 100 + TMX_OFFER_BACKOFF_MIN_S - 0.1));
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, false, 100 + TMX_OFFER_BACKOFF_MIN_S));
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 1, false, 100));
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, true, 100));
  assert_false(tmx_offer_is_backed_off(backoffs, "small", 0, false, 100));
  tmx_offer_back_off(backoffs, "big", 0, false, 200); /* a second refusal: twice as long */
  assert_true(
      tmx_offer_is_backed_off(backoffs, "big", 0, false, 200 + 2 * TMX_OFFER_BACKOFF_MIN_S - 0.1));
  for (int i = 0; i < 10; i++) tmx_offer_back_off(backoffs, "big", 0, false, 300);
  assert_true(
      tmx_offer_is_backed_off(backoffs, "big", 0, false, 300 + TMX_OFFER_BACKOFF_MAX_S - 0.1));
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, false, 300 + TMX_OFFER_BACKOFF_MAX_S));
  tmx_offer_reset_backoff(backoffs, "big", 0, false);
  tmx_offer_back_off(backoffs, "big", 0, false, 500); /* from the shortest again */
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, false, 500 + TMX_OFFER_BACKOFF_MIN_S));
  free(backoffs);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(deletion_of_machines),
      cmocka_unit_test(deadlines_from_settings),
      cmocka_unit_test(deletion_of_instances),
      cmocka_unit_test(words_of_the_log),
      cmocka_unit_test(draining_of_idle_machines),
      cmocka_unit_test(draining_to_the_peak),
      cmocka_unit_test(draining_takes_machines_out_of_the_fleet),
      cmocka_unit_test(the_most_expensive_go_first),
      cmocka_unit_test(room_for_replicas_that_move),
      cmocka_unit_test(reserve_shrinks_with_the_fleet_s_size),
      cmocka_unit_test(peak_of_the_last_while),
      cmocka_unit_test(backoff_of_offers),
  };
  return RUN_TESTS(tests);
}
