/* The greedy round: caps, the least-booked pick, quota and preemption, on known examples and
 * over seeded random clusters. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/capacity.h"
#include "core/plan.h"

static struct tmx_plan_input *input(size_t machines, size_t jobs, size_t zones) {
  struct tmx_plan_input *in = calloc(1, sizeof *in);
  in->machines = calloc(machines + 1, sizeof *in->machines);
  in->jobs = calloc(jobs + 1, sizeof *in->jobs);
  in->running = calloc(1024, sizeof *in->running);
  in->n_machines = machines;
  in->n_jobs = jobs;
  in->n_zones = zones;
  in->leading = true;
  in->max_ops = 400;
  in->n_teams = 1;
  for (size_t i = 0; i < machines; i++) {
    struct tmx_plan_machine *m = &in->machines[i];
    snprintf(m->id, sizeof m->id, "n-%06zu", i);
    strcpy(m->type, "big");
    m->zone = (int)(i % zones);
    m->usable = true;
    m->cpus = 16;
    m->mem = 64;
  }
  return in;
}

static struct tmx_spec *job(struct tmx_plan_input *in, size_t k, bool service, uint32_t tasks,
                            double cpus) {
  struct tmx_plan_job *j = &in->jobs[k];
  struct tmx_spec *s = calloc(1, sizeof *s);
  snprintf(j->id, sizeof j->id, "wk-%06zu", k);
  s->service = service;
  s->tasks = tasks;
  s->cpus = cpus;
  s->mem = 1;
  s->patience_s = 10;
  s->priority = service ? TMX_PRIO_PROD : TMX_PRIO_NORMAL;
  strcpy(s->image, "img");
  j->spec = s;
  j->waits = calloc(tasks, sizeof *j->waits);
  j->live = calloc(tasks * 2, sizeof *j->live);
  for (uint32_t i = 0; i < tasks; i++) j->waits[j->n_waits++] = (struct tmx_plan_wait){i, 1};
  return s;
}

static void caps(void **st) {
  (void)st;
  struct tmx_spec s = {.service = true, .tasks = 5};
  assert_int_equal(tmx_zone_cap(&s, 2), 3);
  assert_int_equal(tmx_zone_cap(&s, 3), 2);
  assert_int_equal(tmx_zone_cap(&s, 1), 5);
  s.spread = true;
  s.tasks = 9;
  assert_int_equal(tmx_zone_cap(&s, 2), 5);
  s.tasks = 1;
  assert_int_equal(tmx_zone_cap(&s, 2), 1);
  s.service = false;
  s.tasks = 9; /* spread binds arrays too, the design's zone cap does not */
  assert_int_equal(tmx_zone_cap(&s, 3), 5);
  s.spread = false;
  assert_int_equal(tmx_zone_cap(&s, 3), 9);
  assert_true(tmx_machine_cap(&s, 2) > 1000);
  s.service = true;
  assert_int_equal(tmx_machine_cap(&s, 9), 1);
  assert_int_equal(tmx_machine_cap(&s, 12), 1);
  assert_int_equal(tmx_machine_cap(&s, 4), 3);
}

static void least_booked(void **st) {
  (void)st;
  struct tmx_plan_input *in = input(3, 1, 1);
  struct tmx_plan_output out;
  job(in, 0, false, 1, 2);
  in->machines[0].ucpus = 8;
  in->machines[1].ucpus = 2;
  in->machines[2].ucpus = 4;
  tmx_plan(in, &out);
  assert_int_equal(out.n_ops, 1);
  assert_string_equal(out.ops[0].machine, "n-000001");
  free(out.ops);
  tmx_plan_input_free(in);
}

static void image_under_way(void **st) {
  (void)st;
  struct tmx_plan_machine m = {.cpus = 16, .mem = 64, .fetch = 1, .now = 100, .n_images = 1};
  struct tmx_spec s = {.cpus = 2, .mem = 1, .image_gb = 4, .patience_s = 10};
  strcpy(s.image, "img");
  assert_float_equal(tmx_booked_measure(&m, &s), 0.4, 1e-9); /* 4 s of 10 */
  strcpy(m.images[0].name, "img");
  m.images[0].since = 99;
  assert_float_equal(tmx_booked_measure(&m, &s), 0.3, 1e-9);
  m.images[0].since = 90;
  assert_float_equal(tmx_booked_measure(&m, &s), 0, 1e-9);
}

static void waits_rather_than_break_a_cap(void **st) {
  (void)st;
  /* two replicas, two zones, but all room is in one zone: the second replica waits */
  struct tmx_plan_input *in = input(4, 1, 2);
  struct tmx_plan_output out;
  job(in, 0, true, 2, 2);
  in->machines[1].usable = in->machines[3].usable = false;
  tmx_plan(in, &out);
  assert_int_equal(out.n_ops, 1);
  assert_int_equal(out.unplaced, 1);
  free(out.ops);
  tmx_plan_input_free(in);
}

static void quota_is_never_passed(void **st) {
  (void)st;
  struct tmx_plan_input *in = input(4, 1, 1);
  struct tmx_plan_output out;
  job(in, 0, false, 10, 2);
  in->teams[0].cpus_max = 12;
  in->usage[0].cpus = 5;
  tmx_plan(in, &out);
  assert_int_equal(out.n_ops, 3);
  free(out.ops);
  tmx_plan_input_free(in);
}

static void only_the_leader_leaves_the_part(void **st) {
  (void)st;
  for (int leading = 0; leading < 2; leading++) {
    struct tmx_plan_input *in = input(2, 1, 1);
    struct tmx_plan_output out;
    job(in, 0, false, 1, 2);
    in->leading = leading;
    in->machines[0].ucpus = 16; /* its own part is full */
    in->machines[1].owner = 1;
    tmx_plan(in, &out);
    assert_int_equal(out.n_ops, leading);
    free(out.ops);
    tmx_plan_input_free(in);
  }
}

static void stops_lower_priority_once(void **st) {
  (void)st;
  struct tmx_plan_input *in = input(1, 2, 1);
  struct tmx_plan_output out;
  job(in, 0, true, 1, 4);
  job(in, 1, false, 4, 4);
  in->jobs[1].n_waits = 0;
  in->machines[0].ucpus = 16;
  for (uint32_t i = 0; i < 4; i++)
    in->running[in->n_running++] = (struct tmx_plan_running){0, 1, i, 1, 10.0 + i, false};
  tmx_plan(in, &out);
  assert_int_equal(out.n_ops, 1);
  assert_int_equal(out.ops[0].op, TMX_OP_STOP);
  assert_int_equal(out.ops[0].task, 0); /* the least work is lost */
  free(out.ops);
  /* while that one is on its way out nothing more is stopped */
  in->machines[0].ucpus = 16;
  in->machines[0].scpus = 4;
  in->machines[0].smem = 1;
  tmx_plan(in, &out);
  assert_int_equal(out.n_ops, 0);
  free(out.ops);
  tmx_plan_input_free(in);
}

static void equal_priority_is_not_stopped(void **st) {
  (void)st;
  struct tmx_plan_input *in = input(1, 2, 1);
  struct tmx_plan_output out;
  job(in, 0, false, 1, 4);
  job(in, 1, false, 1, 16);
  in->jobs[1].n_waits = 0;
  in->machines[0].ucpus = 16;
  in->running[in->n_running++] = (struct tmx_plan_running){0, 1, 0, 1, 1, false};
  tmx_plan(in, &out);
  assert_int_equal(out.n_ops, 0);
  free(out.ops);
  tmx_plan_input_free(in);
}

/* Over random clusters: no machine overbooked, no cap, quota, zone or kind broken. */
static void random_clusters(void **st) {
  (void)st;
  gsl_rng *g = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(g, 20261201);
  for (int round = 0; round < 400; round++) {
    size_t zones = 1 + gsl_rng_uniform_int(g, 3), n_m = 1 + gsl_rng_uniform_int(g, 12),
           n_j = 1 + gsl_rng_uniform_int(g, 8);
    struct tmx_plan_input *in = input(n_m, n_j, zones);
    struct tmx_plan_output out;
    double used[16], quota = gsl_rng_uniform(g) * 100;
    in->teams[0].cpus_max = quota;
    for (size_t i = 0; i < n_m; i++) {
      in->machines[i].spot = gsl_rng_uniform_int(g, 3) == 0;
      in->machines[i].ucpus = used[i] = (double)gsl_rng_uniform_int(g, 17);
      in->machines[i].owner = (int)gsl_rng_uniform_int(g, 3);
    }
    for (size_t k = 0; k < n_j; k++) {
      struct tmx_spec *s =
          job(in, k, gsl_rng_uniform_int(g, 2), 1 + (uint32_t)gsl_rng_uniform_int(g, 9),
              1 + (double)gsl_rng_uniform_int(g, 4));
      s->spread = gsl_rng_uniform_int(g, 2);
      s->one_zone = gsl_rng_uniform_int(g, 4) == 0;
      s->spot = !s->service && gsl_rng_uniform_int(g, 2);
      in->jobs[k].planner = (int)gsl_rng_uniform_int(g, 3);
    }
    tmx_plan(in, &out);
    double total = 0;
    for (size_t k = 0; k < n_j; k++) {
      const struct tmx_spec *s = in->jobs[k].spec;
      uint32_t in_zone[3] = {0}, on[16] = {0};
      for (size_t o = 0; o < out.n_ops; o++) {
        if (strcmp(out.ops[o].job, in->jobs[k].id)) continue;
        size_t m = (size_t)atoi(out.ops[o].machine + 2);
        used[m] += s->cpus;
        total += s->cpus;
        in_zone[in->machines[m].zone]++;
        on[m]++;
        assert_true(s->spot || !in->machines[m].spot);
      }
      uint32_t zones_used = 0;
      for (size_t z = 0; z < zones; z++) {
        assert_true(in_zone[z] <= tmx_zone_cap(s, zones));
        zones_used += in_zone[z] > 0;
      }
      if (s->one_zone) assert_true(zones_used <= 1);
      if (s->service && n_m >= s->tasks + 12)
        for (size_t m = 0; m < n_m; m++) assert_true(on[m] <= 1);
    }
    for (size_t m = 0; m < n_m; m++) assert_true(used[m] <= 16 + 1e-6);
    assert_true(total <= quota + 1e-6);
    free(out.ops);
    tmx_plan_input_free(in);
  }
  gsl_rng_free(g);
}

static void rents_for_what_waits(void **st) {
  (void)st;
  struct tmx_type small = {.name = "small", .cpus = 4, .mem = 16, .price = 0.2, .boot_s = 30};
  struct tmx_type big = {.name = "big", .cpus = 16, .mem = 64, .price = 1.0, .boot_s = 30};
  struct tmx_spec s = {.service = true, .tasks = 1, .cpus = 2, .mem = 4};
  struct tmx_demand d = {&s, 1, 1};
  struct tmx_offer o[2] = {{&small, 0, false, 0.2}, {&big, 0, false, 1.0}};
  struct tmx_hire h[4];
  assert_int_equal(tmx_capacity(&d, 1, o, 2, NULL, 0, 10, h, 4), 1);
  assert_int_equal(h[0].offer, 0);
  assert_int_equal(h[0].count, 1);
  /* what is on its way is counted */
  struct tmx_coming c = {&small, 0, false};
  assert_int_equal(tmx_capacity(&d, 1, o, 2, &c, 1, 10, h, 4), 0);
  /* a service never gets a spot machine */
  struct tmx_offer spot = {&small, 0, true, 0.05};
  assert_int_equal(tmx_capacity(&d, 1, &spot, 1, NULL, 0, 10, h, 4), 0);
}

int main(void) {
  const struct CMUnitTest t[] = {
      cmocka_unit_test(caps),
      cmocka_unit_test(least_booked),
      cmocka_unit_test(image_under_way),
      cmocka_unit_test(waits_rather_than_break_a_cap),
      cmocka_unit_test(quota_is_never_passed),
      cmocka_unit_test(only_the_leader_leaves_the_part),
      cmocka_unit_test(stops_lower_priority_once),
      cmocka_unit_test(equal_priority_is_not_stopped),
      cmocka_unit_test(random_clusters),
      cmocka_unit_test(rents_for_what_waits),
  };
  return cmocka_run_group_tests(t, NULL, NULL);
}
