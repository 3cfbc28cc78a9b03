/* Tables of cases that show which machines are deleted or drained, and for which reason. Other
 * tests cover the peak demand, which determines how many machines are kept, and the backoff of
 * offers. The tests do no I/O. */
#include "test.h"

#include <stdlib.h>
#include <string.h>

#include "cloud/demand_history.h"
#include "cloud/offer_backoff.h"
#include "cloud/replacement_policy.h"
#include "cloud/scale_in_policy.h"

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof(array)[0])

static const struct tmx_machine_deadlines deadlines = {
    .no_contact_s = 1.5, .leases_expired_s = 40, .heartbeat_late_s = 3.5, .unacknowledged_s = 5};

/* Evidence about a machine. The first two arguments state whether the leader has settled and
 * whether a healthy owner suspects the machine. The others are the owner's report: seconds without
 * contact, consecutive probes lost, and seconds without an acknowledgement. */
#define SUSPICION(settled, suspected_by_owner, without_contact_s, probes_lost, unacknowledged) \
  .leader_settled = (settled), .suspected = (suspected_by_owner),                              \
  .suspicion = {.no_contact_s = (without_contact_s),                                           \
                .consecutive_probes_lost = (probes_lost),                                      \
                .unacknowledged_s = (unacknowledged)}
#define NO_CONTACT_AND_PROBES_LOST SUSPICION(true, true, 2, TMX_PROBES_LOST_MIN, 0)
#define NO_CONTACT_FOR(without_contact_s) \
  SUSPICION(true, true, without_contact_s, TMX_PROBES_LOST_MIN, 0), .has_tasks = true
#define UNACKNOWLEDGED_FOR(unacknowledged) \
  SUSPICION(true, true, 0.5, 0, unacknowledged), .has_tasks = true

static void machines_are_deleted_for_the_right_reason(void **state) {
  (void)state;
  const struct {
    const char *name;
    struct tmx_machine_evidence evidence;
    enum tmx_deletion_reason reason;
  } cases[] = {
      {"healthy", {.leader_settled = true, .has_tasks = true}, TMX_DELETE_NONE},
      {"listed as failed, new leader", {.listed_as_failed = true}, TMX_DELETE_FAILED},
      {"listed as failed, silent",
       {NO_CONTACT_AND_PROBES_LOST, .listed_as_failed = true},
       TMX_DELETE_FAILED},
      {"silent, probes lost", {NO_CONTACT_AND_PROBES_LOST, .has_tasks = true}, TMX_DELETE_SILENT},
      {"silent, new leader", {SUSPICION(false, true, 2, TMX_PROBES_LOST_MIN, 0)}, TMX_DELETE_NONE},
      {"silent, owner not healthy",
       {SUSPICION(true, false, 2, TMX_PROBES_LOST_MIN, 0)},
       TMX_DELETE_NONE},
      {"silent, too few probes lost",
       {SUSPICION(true, true, 2, TMX_PROBES_LOST_MIN - 1, 0)},
       TMX_DELETE_NONE},
      {"silent for exactly the limit", {NO_CONTACT_FOR(1.5)}, TMX_DELETE_NONE},
      {"partition grace", {NO_CONTACT_AND_PROBES_LOST, .partition_grace = true}, TMX_DELETE_NONE},
      {"partition grace, exactly until leases expire",
       {NO_CONTACT_FOR(40), .partition_grace = true},
       TMX_DELETE_NONE},
      {"partition grace, leases expired",
       {NO_CONTACT_FOR(40.1), .partition_grace = true},
       TMX_DELETE_SILENT},
      {"partition grace, up to twice the lease expiry, with replicas",
       {NO_CONTACT_FOR(80), .partition_grace = true, .has_services = true},
       TMX_DELETE_NONE},
      {"partition grace, beyond twice the lease expiry, with replicas",
       {NO_CONTACT_FOR(80.1), .partition_grace = true, .has_services = true},
       TMX_DELETE_SILENT},
      {"unacknowledged", {UNACKNOWLEDGED_FOR(5.1)}, TMX_DELETE_UNACKNOWLEDGED},
      {"unacknowledged, new leader", {SUSPICION(false, true, 0.5, 0, 5.1)}, TMX_DELETE_NONE},
      {"unacknowledged, owner not healthy", {SUSPICION(true, false, 0.5, 0, 5.1)}, TMX_DELETE_NONE},
      {"unacknowledged, partition grace",
       {UNACKNOWLEDGED_FOR(5.1), .partition_grace = true},
       TMX_DELETE_NONE},
      {"unacknowledged for exactly the limit", {UNACKNOWLEDGED_FOR(5)}, TMX_DELETE_NONE},
      {"unacknowledged, heartbeat overdue", {SUSPICION(true, true, 3.5, 0, 5.1)}, TMX_DELETE_NONE},
      {"draining, with tasks", {.draining = true, .has_tasks = true}, TMX_DELETE_NONE},
      {"drained", {.draining = true}, TMX_DELETE_DRAINED},
      {"drained and faulty", {.draining = true, .faulty = true}, TMX_DELETE_DRAINED},
      {"faulty, with tasks", {.faulty = true, .has_tasks = true}, TMX_DELETE_NONE},
      {"faulty", {.faulty = true}, TMX_DELETE_FAULTY},
      {"silent takes precedence over drained",
       {NO_CONTACT_AND_PROBES_LOST, .draining = true},
       TMX_DELETE_SILENT},
  };
  for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
    enum tmx_deletion_reason reason = tmx_machine_deletion_reason(&cases[i].evidence, &deadlines);
    if (reason != cases[i].reason)
      fail_msg("%s: got '%s', expected '%s'", cases[i].name, tmx_deletion_reason_text(reason),
               tmx_deletion_reason_text(cases[i].reason));
  }
}

static void machine_deadlines_follow_the_settings(void **state) {
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

static void instances_are_deleted_for_the_right_reason(void **state) {
  (void)state;
  const struct {
    const char *name;
    struct tmx_instance_evidence evidence;
    enum tmx_deletion_reason reason;
  } cases[] = {
      {"failed", {.state = TMX_INSTANCE_FAILED}, TMX_DELETE_FAILED},
      {"booting", {.type_known = true, .boot_s = 20, .age_s = 90}, TMX_DELETE_NONE},
      {"booting for too long",
       {.type_known = true, .boot_s = 20, .age_s = 90.1},
       TMX_DELETE_BOOT_TIMEOUT},
      {"booting, type unknown", {.age_s = 9000}, TMX_DELETE_NONE},
      {"running, first heartbeat not overdue",
       {.state = TMX_INSTANCE_RUNNING,
        .leader_settled = true,
        .no_heartbeat_s = 30,
        .no_heartbeat_max_s = 30,
        .type_known = true,
        .age_s = 9000},
       TMX_DELETE_NONE},
      {"no heartbeat",
       {.state = TMX_INSTANCE_RUNNING,
        .leader_settled = true,
        .no_heartbeat_s = 30.1,
        .no_heartbeat_max_s = 30},
       TMX_DELETE_NO_HEARTBEAT},
      {"no heartbeat, new leader",
       {.state = TMX_INSTANCE_RUNNING, .no_heartbeat_s = 30.1, .no_heartbeat_max_s = 30},
       TMX_DELETE_NONE},
  };
  for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
    enum tmx_deletion_reason reason = tmx_instance_deletion_reason(&cases[i].evidence);
    if (reason != cases[i].reason)
      fail_msg("%s: got '%s', expected '%s'", cases[i].name, tmx_deletion_reason_text(reason),
               tmx_deletion_reason_text(cases[i].reason));
  }
}

/* Operators search the log for these texts. */
static void deletion_reasons_keep_their_log_texts(void **state) {
  (void)state;
  const char *const texts[] = {
      [TMX_DELETE_NONE] = "",
      [TMX_DELETE_FAILED] = "failed",
      [TMX_DELETE_SILENT] = "silent",
      [TMX_DELETE_UNACKNOWLEDGED] = "not both heard and reached",
      [TMX_DELETE_DRAINED] = "drained",
      [TMX_DELETE_FAULTY] = "faulty",
      [TMX_DELETE_BOOT_TIMEOUT] = "boots too long",
      [TMX_DELETE_NO_HEARTBEAT] = "never heard",
  };
  for (size_t i = 0; i < ARRAY_LENGTH(texts); i++)
    assert_string_equal(tmx_deletion_reason_text((enum tmx_deletion_reason)i), texts[i]);
}

static void idle_machines_are_drained_unless_needed_as_headroom(void **state) {
  (void)state;
  const struct {
    const char *name;
    struct tmx_idle_evidence evidence;
    enum tmx_drain_decision decision;
  } cases[] = {
      /* type known, draining, has tasks; idle s, limit s; CPUs, free CPUs, CPUs of services;
         headroom */
      {"idle", {true, false, false, 76, 75, 16, 32.1, 160, 0.1}, TMX_DRAIN},
      {"type unknown", {false, false, false, 76, 75, 16, 32.1, 160, 0.1}, TMX_KEEP_NOT_ELIGIBLE},
      {"draining", {true, true, false, 76, 75, 16, 32.1, 160, 0.1}, TMX_KEEP_NOT_ELIGIBLE},
      {"in use", {true, false, true, 76, 75, 16, 32.1, 160, 0.1}, TMX_KEEP_IN_USE},
      {"idle for exactly the limit",
       {true, false, false, 75, 75, 16, 32.1, 160, 0.1},
       TMX_KEEP_IDLE_TOO_SHORT},
      {"reserved for restarts of services",
       {true, false, false, 76, 75, 16, 32, 160, 0.1},
       TMX_KEEP_FOR_HEADROOM},
  };
  for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
    enum tmx_drain_decision decision = tmx_idle_drain_decision(&cases[i].evidence);
    if (decision != cases[i].decision)
      fail_msg("%s: got %d, expected %d", cases[i].name, (int)decision, (int)cases[i].decision);
  }
}

static const struct tmx_machine_type type = {.cpus = 16, .price = 1.6, .spot_price = 0.8};

static void machines_above_the_peak_are_drained(void **state) {
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
      {"with replicas, none draining", {.cpus = 1200}, 4, TMX_DRAIN},
      {"with replicas, below the move limit", {.cpus = 1200, .draining_cpus = 163}, 4, TMX_DRAIN},
      {"with replicas, above the move limit",
       {.cpus = 1200, .draining_cpus = 165},
       4,
       TMX_KEEP_FOR_MOVE_LIMIT},
      {"without replicas, above the move limit",
       {.cpus = 1200, .draining_cpus = 165},
       0,
       TMX_DRAIN},
  };
  for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
    const struct tmx_drain_candidate candidate = {.type = &type,
                                                  .service_cpus = cases[i].service_cpus};
    enum tmx_drain_decision decision =
        tmx_peak_drain_decision(&cases[i].fleet, &reserve, &candidate);
    if (decision != cases[i].decision)
      fail_msg("%s: got %d, expected %d", cases[i].name, (int)decision, (int)cases[i].decision);
  }
}

static void a_drained_machine_leaves_the_fleet_totals(void **state) {
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

static void the_most_expensive_machines_are_drained_first(void **state) {
  (void)state;
  struct tmx_drain_candidate candidates[] = {
      {.id = "spot", .type = &type, .spot = true},
      {.id = "busy", .type = &type, .booked_cpus = 8},
      {.id = "serving", .type = &type, .booked_cpus = 8, .service_cpus = 8},
      {.id = "empty-2", .type = &type},
      {.id = "empty-1", .type = &type},
  };
  const char *const order[] = {"empty-1", "empty-2", "busy", "spot", "serving"};
  qsort(candidates, ARRAY_LENGTH(candidates), sizeof *candidates, tmx_drain_candidate_compare);
  for (size_t i = 0; i < ARRAY_LENGTH(order); i++) assert_string_equal(candidates[i].id, order[i]);
}

static void replicas_move_only_if_their_zone_has_free_capacity(void **state) {
  (void)state;
  const struct tmx_reserve reserve = {.peak_cpus = 100, .free_share_for_moves = 0.2};
  /* The candidate itself has 8 free CPUs, which do not count. Other machines of the zone must have
   * 18 free CPUs: twice the CPUs of its replicas (8) plus this zone's half of a fifth of the peak
   * (10). */
  const struct tmx_drain_candidate candidate = {
      .type = &type, .zone = 1, .booked_cpus = 8, .service_cpus = 4};
  const struct tmx_drain_candidate without_services = {.type = &type, .zone = 1, .booked_cpus = 8};
  struct tmx_fleet fleet = {.free_cpus_in_zone = {1000, 26}};
  assert_true(tmx_replicas_can_move(&fleet, &reserve, &candidate, 2));
  fleet.free_cpus_in_zone[1] = 25.9;
  assert_false(tmx_replicas_can_move(&fleet, &reserve, &candidate, 2));
  assert_true(tmx_replicas_can_move(&fleet, &reserve, &without_services, 2));
}

/* The totals do not include a machine out of use, so it takes nothing from them. */
static void draining_a_machine_out_of_use_frees_nothing(void **state) {
  (void)state;
  const struct tmx_reserve reserve = {.peak_cpus = 100, .free_share_for_moves = 0.2};
  const struct tmx_drain_candidate candidate = {
      .type = &type, .zone = 0, .booked_cpus = 8, .service_cpus = 4, .out_of_use = true};
  struct tmx_fleet fleet = {.cpus = 100, .free_cpus_in_zone = {18}};
  assert_true(tmx_replicas_can_move(&fleet, &reserve, &candidate, 2));
  fleet.free_cpus_in_zone[0] = 17.9;
  assert_false(tmx_replicas_can_move(&fleet, &reserve, &candidate, 2));
  assert_int_equal(tmx_peak_drain_decision(&fleet, &reserve, &candidate), TMX_DRAIN);
  tmx_fleet_drain(&fleet, &candidate);
  assert_float_equal(fleet.cpus, 100, 1e-9);
  fleet.cpus = 99.9;
  assert_int_equal(tmx_peak_drain_decision(&fleet, &reserve, &candidate), TMX_KEEP_FOR_PEAK);
}

static void the_reserve_shrinks_as_the_fleet_grows(void **state) {
  (void)state;
  assert_float_equal(tmx_reserve_for(100, 0).margin, TMX_PEAK_MARGIN_SHARE_MAX, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 100).margin, 0.1, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 100).free_share_for_moves, 0.2, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 10000).margin, 0.01, 1e-9);
  assert_float_equal(tmx_reserve_for(100, 10000).free_share_for_moves, 0.02, 1e-9);
}

static void the_peak_demand_covers_a_sliding_window(void **state) {
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
  tmx_demand_history_record(&history, 3, later); /* the demand during the gap is unknown */
  assert_float_equal(history.since, later, 1e-9);
  assert_float_equal(tmx_demand_history_peak(&history), 3, 1e-9);
}

static void the_backoff_of_an_offer_doubles_up_to_a_maximum(void **state) {
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
  tmx_offer_back_off(backoffs, "big", 0, false, 200); /* the second refusal doubles the backoff */
  assert_true(
      tmx_offer_is_backed_off(backoffs, "big", 0, false, 200 + 2 * TMX_OFFER_BACKOFF_MIN_S - 0.1));
  for (int i = 0; i < 10; i++) tmx_offer_back_off(backoffs, "big", 0, false, 300);
  assert_true(
      tmx_offer_is_backed_off(backoffs, "big", 0, false, 300 + TMX_OFFER_BACKOFF_MAX_S - 0.1));
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, false, 300 + TMX_OFFER_BACKOFF_MAX_S));
  tmx_offer_reset_backoff(backoffs, "big", 0, false);
  tmx_offer_back_off(backoffs, "big", 0, false, 500); /* the backoff starts at its minimum again */
  assert_false(tmx_offer_is_backed_off(backoffs, "big", 0, false, 500 + TMX_OFFER_BACKOFF_MIN_S));
  free(backoffs);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(machines_are_deleted_for_the_right_reason),
      cmocka_unit_test(machine_deadlines_follow_the_settings),
      cmocka_unit_test(instances_are_deleted_for_the_right_reason),
      cmocka_unit_test(deletion_reasons_keep_their_log_texts),
      cmocka_unit_test(idle_machines_are_drained_unless_needed_as_headroom),
      cmocka_unit_test(machines_above_the_peak_are_drained),
      cmocka_unit_test(a_drained_machine_leaves_the_fleet_totals),
      cmocka_unit_test(the_most_expensive_machines_are_drained_first),
      cmocka_unit_test(replicas_move_only_if_their_zone_has_free_capacity),
      cmocka_unit_test(draining_a_machine_out_of_use_frees_nothing),
      cmocka_unit_test(the_reserve_shrinks_as_the_fleet_grows),
      cmocka_unit_test(the_peak_demand_covers_a_sliding_window),
      cmocka_unit_test(the_backoff_of_an_offer_doubles_up_to_a_maximum),
  };
  return RUN_TESTS(tests);
}
