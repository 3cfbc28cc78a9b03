/* The greedy round: caps, the least-booked pick, quota and preemption, on known examples and
 * over seeded random clusters. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "planner/scale_out_plan.h"
#include "membership/failure_detector.h"
#include "planner/planner.h"
#include "tmx/constants.h"

/* A cluster on paper: fed to a planner of its own for each round. */
struct paper {
  struct tmx_round_input in;
  struct tmx_plan_machine machines[64];
  size_t n_machines;
  struct tmx_plan_job jobs[16];
  size_t n_jobs;
};

static struct paper *paper(size_t machines, size_t jobs, size_t zones) {
  struct paper *p = calloc(1, sizeof *p);
  assert_non_null(p);
  p->n_machines = machines;
  p->n_jobs = jobs;
  p->in = (struct tmx_round_input){.n_zones = zones,
                                   .leading = true,
                                   .max_operations = 400,
                                   .max_visits = 400000,
                                   .n_teams = 1,
                                   .now_steady = 100,
                                   .now_wall = 100};
  for (size_t i = 0; i < machines; i++) {
    struct tmx_plan_machine *machine = &p->machines[i];
    machine->slot = (int)i;
    snprintf(machine->id, sizeof machine->id, "n-%06zu", i);
    strcpy(machine->type, "big");
    machine->zone = (int)(i % zones);
    machine->usable = true;
    machine->cpus = 16;
    machine->mem_gb = 64;
    machine->tasks = calloc(64, sizeof *machine->tasks);
  }
  return p;
}

static struct tmx_job_spec *job(struct paper *p, size_t k, bool service, uint32_t tasks,
                                double cpus) {
  struct tmx_plan_job *job = &p->jobs[k];
  struct tmx_job_spec *spec = calloc(1, sizeof *spec);
  snprintf(job->id, sizeof job->id, "wk-%06zu", k);
  spec->service = service;
  spec->tasks = tasks;
  spec->cpus = cpus;
  spec->mem_gb = 1;
  spec->fetch_tolerance_s = 10;
  spec->priority = service ? TMX_PRIORITY_PROD : TMX_PRIORITY_NORMAL;
  job->slot = (int)k;
  job->spec = spec;
  job->zone = -1;
  job->open = true;
  job->released_at = 95;
  job->unplaced_since = 95;
  job->target_s = 600;
  job->run_s = 50;
  job->waiting = calloc(tasks, sizeof *job->waiting);
  for (uint32_t i = 0; i < tasks; i++)
    job->waiting[job->n_waiting++] = (struct tmx_plan_waiting_task){i, 1};
  return spec;
}

static void runs(struct paper *p, size_t m, size_t k, uint32_t task, double since, bool stopping) {
  struct tmx_plan_machine *x = &p->machines[m];
  x->tasks[x->n_tasks++] = (struct tmx_plan_task){(int)k, task, 1, since, stopping};
}

/* Feeds the paper to a planner and plans a round; the paper stays as it is. */
static struct tmx_planner *tell(const struct paper *p) {
  struct tmx_planner *planner = tmx_planner_new();
  struct tmx_planner_delta f = {0};
  for (size_t i = 0; i < p->n_jobs; i++) {
    struct tmx_plan_job *job = tmx_planner_delta_job(&f);
    *job = p->jobs[i];
    job->spec = malloc(sizeof *job->spec);
    *job->spec = *p->jobs[i].spec;
    job->priority = job->spec->priority;
    job->waiting = calloc(job->n_waiting + 1, sizeof *job->waiting);
    memcpy(job->waiting, p->jobs[i].waiting, job->n_waiting * sizeof *job->waiting);
  }
  for (size_t i = 0; i < p->n_machines; i++) {
    struct tmx_plan_machine *machine = tmx_planner_delta_machine(&f);
    *machine = p->machines[i];
    machine->tasks = calloc(machine->n_tasks + 1, sizeof *machine->tasks);
    memcpy(machine->tasks, p->machines[i].tasks, machine->n_tasks * sizeof *machine->tasks);
  }
  tmx_planner_apply(planner, &f);
  return planner;
}
static void plan(const struct paper *p, struct tmx_round_output *output) {
  struct tmx_planner *planner = tell(p);
  tmx_planner_run_round(planner, &p->in, output);
  tmx_planner_free(planner);
}
static void paper_free(struct paper *p) {
  for (size_t i = 0; i < p->n_machines; i++) free(p->machines[i].tasks);
  for (size_t i = 0; i < p->n_jobs; i++) {
    free(p->jobs[i].spec);
    free(p->jobs[i].waiting);
  }
  free(p);
}

static void caps(void **st) {
  (void)st;
  struct tmx_job_spec s = {.service = true, .tasks = 5};
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
  struct paper *in = paper(3, 1, 1);
  struct tmx_round_output output;
  job(in, 0, false, 1, 2);
  in->machines[0].booked_cpus = 8;
  in->machines[1].booked_cpus = 2;
  in->machines[2].booked_cpus = 4;
  plan(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_string_equal(output.operations[0].machine, "n-000001");
  free(output.operations);
  paper_free(in);
}

static void image_under_way(void **st) {
  (void)st;
  struct tmx_plan_machine m = {.cpus = 16, .mem_gb = 64, .fetch_gb_per_s = 1, .n_images = 1};
  struct tmx_job_spec s = {
      .cpus = 2, .mem_gb = 1, .image_gb = 4, .fetch_tolerance_s = 10, .image_id = 1};
  assert_float_equal(tmx_booked_share(&m, &s, 100), 0.4, 1e-9); /* 4 s of 10 */
  m.images[0].id = 1;
  m.images[0].fetch_started_at = 99;
  assert_float_equal(tmx_booked_share(&m, &s, 100), 0.3, 1e-9);
  m.images[0].fetch_started_at = 90;
  assert_float_equal(tmx_booked_share(&m, &s, 100), 0, 1e-9);
}

static void waits_rather_than_break_a_cap(void **st) {
  (void)st;
  /* two replicas, two zones, but all room is in one zone: the second replica waits */
  struct paper *in = paper(4, 1, 2);
  struct tmx_round_output output;
  job(in, 0, true, 2, 2);
  in->machines[1].usable = in->machines[3].usable = false;
  plan(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_int_equal(output.unplaced, 1);
  free(output.operations);
  paper_free(in);
}

static void quota_is_never_passed(void **st) {
  (void)st;
  struct paper *in = paper(4, 1, 1);
  struct tmx_round_output output;
  job(in, 0, false, 10, 2);
  in->in.teams[0].cpus_max = 12;
  in->in.usage[0].cpus = 5;
  plan(in, &output);
  assert_int_equal(output.n_operations, 3);
  free(output.operations);
  paper_free(in);
}

static void only_the_leader_leaves_the_part(void **st) {
  (void)st;
  for (int leading = 0; leading < 2; leading++) {
    struct paper *in = paper(2, 1, 1);
    struct tmx_round_output output;
    job(in, 0, false, 1, 2);
    in->in.leading = leading;
    in->machines[0].booked_cpus = 16; /* its own part is full */
    in->machines[1].owner = 1;
    plan(in, &output);
    assert_int_equal(output.n_operations, leading);
    free(output.operations);
    paper_free(in);
  }
}

static void stops_lower_priority_once(void **st) {
  (void)st;
  struct paper *in = paper(1, 2, 1);
  struct tmx_round_output output;
  job(in, 0, true, 1, 4);
  job(in, 1, false, 4, 4);
  in->jobs[1].n_waiting = 0;
  in->machines[0].booked_cpus = 16;
  for (uint32_t i = 0; i < 4; i++) runs(in, 0, 1, i, 90.0 - i, false);
  plan(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_int_equal(output.operations[0].kind, TMX_OPERATION_STOP);
  assert_int_equal(output.operations[0].task, 0); /* the least work is lost */
  free(output.operations);
  /* while that one is on its way out nothing more is stopped */
  in->machines[0].booked_cpus = 16;
  in->machines[0].releasing_cpus = 4;
  in->machines[0].releasing_mem_gb = 1;
  in->machines[0].tasks[0].stopping = true;
  plan(in, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  paper_free(in);
}

static void equal_priority_is_not_stopped(void **st) {
  (void)st;
  struct paper *in = paper(1, 2, 1);
  struct tmx_round_output output;
  job(in, 0, false, 1, 4);
  job(in, 1, false, 1, 16);
  in->jobs[1].n_waiting = 0;
  in->machines[0].booked_cpus = 16;
  runs(in, 0, 1, 0, 99, false);
  plan(in, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  paper_free(in);
}

/* Over random clusters: no machine overbooked, no cap, quota, zone or kind broken. */
static void random_clusters(void **st) {
  (void)st;
  gsl_rng *g = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(g, 20261201);
  for (int round = 0; round < 400; round++) {
    size_t zones = 1 + gsl_rng_uniform_int(g, 3), n_m = 1 + gsl_rng_uniform_int(g, 12),
           n_j = 1 + gsl_rng_uniform_int(g, 8);
    struct paper *in = paper(n_m, n_j, zones);
    struct tmx_round_output output;
    double used[16], quota = gsl_rng_uniform(g) * 100;
    in->in.teams[0].cpus_max = quota;
    for (size_t i = 0; i < n_m; i++) {
      in->machines[i].spot = gsl_rng_uniform_int(g, 3) == 0;
      in->machines[i].booked_cpus = used[i] = (double)gsl_rng_uniform_int(g, 17);
      in->machines[i].owner = (int)gsl_rng_uniform_int(g, 3);
    }
    for (size_t k = 0; k < n_j; k++) {
      struct tmx_job_spec *spec =
          job(in, k, gsl_rng_uniform_int(g, 2), 1 + (uint32_t)gsl_rng_uniform_int(g, 9),
              1 + (double)gsl_rng_uniform_int(g, 4));
      spec->spread = gsl_rng_uniform_int(g, 2);
      spec->same_zone = gsl_rng_uniform_int(g, 4) == 0;
      spec->spot_allowed = !spec->service && gsl_rng_uniform_int(g, 2);
      in->jobs[k].planner = (int)gsl_rng_uniform_int(g, 3);
    }
    plan(in, &output);
    double total = 0;
    for (size_t k = 0; k < n_j; k++) {
      const struct tmx_job_spec *spec = in->jobs[k].spec;
      uint32_t in_zone[3] = {0}, on[16] = {0};
      for (size_t o = 0; o < output.n_operations; o++) {
        if (strcmp(output.operations[o].job, in->jobs[k].id)) continue;
        size_t m = (size_t)atoi(output.operations[o].machine + 2);
        used[m] += spec->cpus;
        total += spec->cpus;
        in_zone[in->machines[m].zone]++;
        on[m]++;
        assert_true(spec->spot_allowed || !in->machines[m].spot);
      }
      uint32_t zones_used = 0;
      for (size_t z = 0; z < zones; z++) {
        assert_true(in_zone[z] <= tmx_zone_cap(spec, zones));
        zones_used += in_zone[z] > 0;
      }
      if (spec->same_zone) assert_true(zones_used <= 1);
      if (spec->service && n_m >= spec->tasks + 12)
        for (size_t m = 0; m < n_m; m++) assert_true(on[m] <= 1);
    }
    for (size_t m = 0; m < n_m; m++) assert_true(used[m] <= 16 + 1e-6);
    assert_true(total <= quota + 1e-6);
    free(output.operations);
    paper_free(in);
  }
  gsl_rng_free(g);
}

/* What the leader frees for a service on a machine of another's part is not filled by that other
 * with its own arrays: it holds the room on paper. */
static void freed_room_is_left_to_the_service(void **st) {
  (void)st;
  struct paper *in = paper(1, 2, 1);
  struct tmx_round_output output;
  job(in, 0, true, 1, 4);
  job(in, 1, false, 3, 4);
  in->jobs[0].planner = 1; /* the service is another's, the array and the machine are ours */
  in->in.leading = false;
  in->machines[0].booked_cpus = 12;
  plan(in, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  in->jobs[0].n_waiting = 0;
  plan(in, &output);
  assert_int_equal(output.n_operations, 1);
  free(output.operations);
  paper_free(in);
}

/* However much small work comes, a job that has waited long gets a first task, and then a share. */
static void the_oldest_begin(void **st) {
  (void)st;
  struct paper *in = paper(1, 2, 1);
  struct tmx_round_output output;
  job(in, 0, false, 200, 4); /* large, so last in the order */
  job(in, 1, false, 200, 2);
  in->in.now_wall = in->in.now_steady = 1000;
  in->jobs[0].released_at = 1000 - TMX_AGED_JOB_S - 1;
  in->jobs[1].released_at = 999;
  in->machines[0].booked_cpus = 12;
  plan(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_string_equal(output.operations[0].job, "wk-000000");
  free(output.operations);
  in->jobs[0].released_at = 990;
  plan(in, &output);
  assert_string_equal(output.operations[0].job, "wk-000001");
  free(output.operations);
  /* begun, it still gets its share of what is placed over many rounds */
  in->jobs[0].released_at = 1000 - TMX_AGED_JOB_S - 1;
  in->jobs[0].n_done = 1;
  struct tmx_planner *planner = tell(in);
  int large = 0, all = 0;
  for (int i = 0; i < 200; i++) {
    tmx_planner_run_round(planner, &in->in, &output);
    for (size_t k = 0; k < output.n_operations; k++, all++)
      large += !strcmp(output.operations[k].job, "wk-000000");
    free(output.operations);
  }
  assert_true(large >= all * TMX_AGED_JOB_SHARE / 2 && large < all / 2);
  tmx_planner_free(planner);
  paper_free(in);
}

/* Jobs without room use up a round's bound, each with another shape, round after round: the one
 * that has room, and comes last in the order, is placed all the same, and so are replicas. */
static void bounded_rounds_reach_every_job(void **st) {
  (void)st;
  for (int service = 0; service < 2; service++) {
    struct paper *in = paper(64, 16, 1);
    for (size_t m = 0; m < 64; m++) in->machines[m].booked_cpus = 15;
    for (size_t k = 0; k < 15; k++)
      job(in, k, service, 2, 2 + 0.1 * (double)k)->mem_gb = 60 - (double)k;
    struct tmx_job_spec *spec = job(in, 15, service, 2, 1);
    spec->priority--; /* the last */
    in->in.max_visits = 600;
    struct tmx_planner *planner = tell(in);
    struct tmx_round_output output;
    bool placed = false, cut = false;
    for (int i = 0; i < 16 && !placed; i++) {
      tmx_planner_run_round(planner, &in->in, &output);
      placed = output.n_operations > 0;
      cut |= output.truncated;
      if (placed) assert_string_equal(output.operations[0].job, "wk-000015");
      free(output.operations);
    }
    assert_true(cut); /* the bound was in the way */
    assert_true(placed);
    tmx_planner_free(planner);
    paper_free(in);
  }
}

/* What one job finds on the machines speaks for all alike, so many waiting replicas cost no more
 * than a few; not so where only its own replicas are in the way, or only its own controller's part
 * was looked at. */
static void one_look_for_all_alike(void **st) {
  (void)st;
  struct paper *in = paper(64, 16, 1);
  struct tmx_round_output output;
  for (size_t m = 0; m < 64; m++) in->machines[m].booked_cpus = 15;
  for (size_t k = 0; k < 16; k++) job(in, k, true, 2, 2);
  plan(in, &output);
  assert_int_equal(output.n_operations, 0);
  assert_in_range(output.visits, 64, 64 * 4);
  free(output.operations);
  /* the first one's replica is on the only machine with room: the others' go there */
  in->machines[7].booked_cpus = 0;
  runs(in, 7, 0, 0, 50, false);
  in->jobs[0].n_placed = 1;
  in->jobs[0].n_waiting = 1;
  in->jobs[0].waiting[0].task = 1;
  plan(in, &output);
  assert_true(output.n_operations >= 1);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_not_equal(output.operations[i].job, "wk-000000");
  free(output.operations);
  /* who does not lead looks at another's job first, in that one's part: it says nothing of its own
   */
  in->in.leading = false;
  in->jobs[0].planner = 1;
  in->machines[7].owner = 0;
  in->machines[7].n_tasks = 0;
  for (size_t m = 0; m < 64; m++) in->machines[m].owner = m == 7 ? 0 : 1;
  in->jobs[0].n_placed = 0;
  for (size_t k = 1; k < 16; k++) in->jobs[k].planner = 0;
  plan(in, &output);
  assert_true(output.n_operations >= 1);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_equal(output.operations[i].machine, "n-000007");
  free(output.operations);
  paper_free(in);
}

/* A planner that is fed with changes plans as one that is told everything anew, round after round,
 * and a round leaves its tables as they were. */
static void fed_in_steps_as_afresh(void **st) {
  (void)st;
  gsl_rng *g = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(g, 42);
  struct paper *in = paper(40, 12, 2);
  for (size_t k = 0; k < 12; k++) job(in, k, false, 20, 2);
  struct tmx_planner *planner = tell(in);
  for (int step = 0; step < 300; step++) {
    struct tmx_planner_delta f = {0};
    for (int i = 0; i < 5; i++) {
      size_t m = gsl_rng_uniform_int(g, 40), k = gsl_rng_uniform_int(g, 12);
      struct tmx_plan_machine *x = &in->machines[m];
      x->booked_cpus = 2.0 * (double)gsl_rng_uniform_int(g, 9);
      x->usable = gsl_rng_uniform_int(g, 5) > 0;
      x->draining = gsl_rng_uniform_int(g, 8) == 0;
      x->owner = (int)gsl_rng_uniform_int(g, 2);
      struct tmx_plan_machine *to = tmx_planner_delta_machine(&f);
      *to = *x;
      to->tasks = NULL;
      to->n_tasks = 0;
      struct tmx_plan_job *job = &in->jobs[k], *tj = tmx_planner_delta_job(&f);
      job->n_waiting = gsl_rng_uniform_int(g, 21);
      job->planner = (int)gsl_rng_uniform_int(g, 2);
      *tj = *job;
      tj->spec = NULL; /* as before */
      tj->waiting = calloc(21, sizeof *tj->waiting);
      memcpy(tj->waiting, job->waiting, job->n_waiting * sizeof *job->waiting);
    }
    tmx_planner_apply(planner, &f);
    struct tmx_round_output a, b, c;
    tmx_planner_run_round(planner, &in->in, &a);
    tmx_planner_run_round(planner, &in->in, &b);
    plan(in, &c);
    assert_int_equal(a.n_operations, b.n_operations);
    for (size_t i = 0; i < a.n_operations; i++)
      assert_memory_equal(&a.operations[i], &b.operations[i], sizeof a.operations[i]);
    assert_int_equal(a.n_operations, c.n_operations);
    assert_int_equal(a.unplaced, c.unplaced);
    free(a.operations);
    free(b.operations);
    free(c.operations);
  }
  tmx_planner_free(planner);
  paper_free(in);
  gsl_rng_free(g);
}

/* Who is left out: not everybody because connections are refused, not the others because this one
 * hears nobody, and nobody because the zones came apart. */
static void who_seems_lost(void **st) {
  (void)st;
  struct tmx_peer_census all = {.others = 4,
                                .heard = 3,
                                .same_zone = 2,
                                .same_zone_heard = 2,
                                .other_zones = 2,
                                .other_zones_heard = 1};
  struct tmx_peer_census none = {.others = 4, .same_zone = 2, .other_zones = 2};
  struct tmx_peer_census apart = {
      .others = 4, .heard = 2, .same_zone = 2, .same_zone_heard = 2, .other_zones = 2};
  struct tmx_peer_evidence evidence = {
      .silence_s = 60, .last_batch_age_s = 60, .observed_for_s = 60};
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
      .reports_no_workers = true, .silence_s = 0.1, .last_batch_age_s = 0.1};
  assert_true(tmx_peer_is_suspected(&all, &cut));
}

/* A zone that falls silent is asked one machine after the other: the first ones are lost while most
 * have not been asked, and none of them may be taken for dead. */
static void a_cut_zone_is_told_from_dead_machines(void **st) {
  (void)st;
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

static void rents_for_what_waits(void **st) {
  (void)st;
  struct tmx_machine_type small = {
      .name = "small", .cpus = 4, .mem_gb = 16, .price = 0.2, .boot_s = 30};
  struct tmx_machine_type big = {
      .name = "big", .cpus = 16, .mem_gb = 64, .price = 1.0, .boot_s = 30};
  struct tmx_job_spec s = {.service = true, .tasks = 1, .cpus = 2, .mem_gb = 4};
  struct tmx_demand d = {&s, 1, -1, 0};
  struct tmx_offer offers[2] = {{&small, 0, false, 0.2}, {&big, 0, false, 1.0}};
  struct tmx_scale_out h[4];
  assert_int_equal(tmx_plan_scale_out(&d, 1, offers, 2, NULL, 0, 10, h, 4), 1);
  assert_int_equal(h[0].offer, 0);
  assert_int_equal(h[0].count, 1);
  /* what is on its way is counted */
  struct tmx_coming c = {&small, 0, false, 4, 0, 16};
  assert_int_equal(tmx_plan_scale_out(&d, 1, offers, 2, &c, 1, 10, h, 4), 0);
  /* a service never gets a spot machine */
  struct tmx_offer spot = {&small, 0, true, 0.05};
  assert_int_equal(tmx_plan_scale_out(&d, 1, &spot, 1, NULL, 0, 10, h, 4), 0);
  /* a large demand does not wait until the cheapest offer is exhausted */
  d.tasks = 2000;
  assert_int_equal(tmx_plan_scale_out(&d, 1, offers, 2, NULL, 0, 10, h, 4), 2);
  assert_int_equal(h[0].count, TMX_SCALE_OUT_OFFER_MAX);
  assert_int_equal(h[1].count, TMX_SCALE_OUT_OFFER_MAX);
}

/* Arrays leave ordinary machines to others; a task that could not be run once more before its job's
 * next aim does not go where machines are taken back. */
static void who_goes_to_spot_machines(void **st) {
  (void)st;
  for (int k = 0; k < 3; k++) {
    struct paper *p = paper(2, 1, 1);
    p->machines[1].spot = true;
    job(p, 0, k == 2, 1, 2)->spot_allowed = k < 2;
    p->jobs[0].next_target_s = 250;
    p->jobs[0].run_s = k ? 150 : 40;
    struct tmx_round_output output;
    plan(p, &output);
    assert_int_equal(output.n_operations, 1);
    assert_string_equal(output.operations[0].machine, p->machines[!k].id);
    free(output.operations);
    paper_free(p);
  }
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
      cmocka_unit_test(freed_room_is_left_to_the_service),
      cmocka_unit_test(the_oldest_begin),
      cmocka_unit_test(fed_in_steps_as_afresh),
      cmocka_unit_test(who_seems_lost),
      cmocka_unit_test(a_cut_zone_is_told_from_dead_machines),
      cmocka_unit_test(who_goes_to_spot_machines),
      cmocka_unit_test(bounded_rounds_reach_every_job),
      cmocka_unit_test(one_look_for_all_alike),
      cmocka_unit_test(rents_for_what_waits),
  };
  return cmocka_run_group_tests(t, NULL, NULL);
}
