#include "admission/admission_control.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/statistics.h"
#include "base/log.h"
#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"

struct tmx_admission_control {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  const struct tmx_machine_catalog *catalog;
  struct tmx_backlog backlog;    /* of the replica */
  struct tmx_backlog on_its_way; /* of this controller's commits without an answer */
  struct tmx_statistics *statistics;
  double reported_at;
};

void tmx_admission_control_job_started(struct tmx_admission_control *admission,
                                       const struct tmx_job *job) {
  if (!admission || job->team < 0 || !job->in_account) return;
  tmx_statistics_start(admission->statistics, (size_t)job->team, (size_t)job->account,
                       tmx_clock_wall() - job->released_at);
}

struct tmx_admission_control *tmx_admission_control_new(const struct tmx_settings *settings,
                                                        struct tmx_replica *replica,
                                                        const struct tmx_machine_catalog *catalog) {
  if (!settings->operators.admission.enabled) return NULL;
  struct tmx_admission_control *admission = tmx_allocate(1, sizeof *admission);
  admission->settings = settings;
  admission->replica = replica;
  admission->catalog = catalog;
  admission->statistics = tmx_statistics_new();
  admission->reported_at = tmx_clock_steady();
  tmx_backlog_init(&admission->backlog, settings);
  tmx_backlog_init(&admission->on_its_way, settings);
  replica->backlog = &admission->backlog;
  return admission;
}

void tmx_admission_control_free(struct tmx_admission_control *admission) {
  if (!admission) return;
  tmx_statistics_free(admission->statistics);
  free(admission);
}

/* ------------------------------------------------------------ rates */

static struct tmx_machine_size present_machines(const struct tmx_admission_control *admission) {
  struct tmx_machine_size sum = {0};
  for (size_t i = 0; i < admission->replica->n_type_counts; i++) {
    const struct tmx_type_count *count = &admission->replica->type_counts[i];
    const struct tmx_machine_type *type = tmx_machine_catalog_find(admission->catalog, count->type);
    if (!type) continue;
    sum.cpus += count->machines * type->cpus;
    sum.gpus += count->machines * type->gpus;
    sum.mem_gb += count->machines * type->mem_gb;
  }
  return sum;
}

static struct tmx_machine_size largest_machine(const struct tmx_admission_control *admission) {
  struct tmx_machine_size most = {0};
  const struct tmx_machine_type *types = admission->catalog->types;
  for (size_t i = 0; i < admission->catalog->n_types; i++) {
    most.cpus = fmax(most.cpus, types[i].cpus);
    most.gpus = fmax(most.gpus, types[i].gpus);
    most.mem_gb = fmax(most.mem_gb, types[i].mem_gb);
  }
  return most;
}

static struct tmx_rates rates_now(const struct tmx_admission_control *admission) {
  struct tmx_machine_size present = present_machines(admission),
                          largest = largest_machine(admission);
  return tmx_admission_rates(admission->settings, &present, &largest);
}

/* ------------------------------------------------------------ judgement */

struct tmx_candidate tmx_admission_control_candidate(const struct tmx_admission_control *admission,
                                                     const struct tmx_job_spec *spec, int team) {
  struct tmx_candidate candidate = {.team = team};
  if (!admission || team < 0) return candidate;
  candidate.account = tmx_backlog_account(&admission->backlog, spec->class);
  candidate.load = tmx_load_of(spec, spec->tasks);
  return candidate;
}

static bool any_open(const struct tmx_replica *replica, const struct tmx_job_ids *awaits) {
  for (uint32_t i = 0; i < awaits->count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, awaits->ids[i]);
    if (job && !job->outcome) return true;
  }
  return false;
}

struct tmx_ruling tmx_admission_control_judge(const struct tmx_admission_control *admission,
                                              struct tmx_candidate *candidate,
                                              const struct tmx_job_ids *awaits) {
  if (!admission || candidate->team < 0) return (struct tmx_ruling){.verdict = TMX_ADMITTED};
  struct tmx_rates rates = rates_now(admission);
  candidate->awaits_open = any_open(admission->replica, awaits);
  return tmx_admission_judge(admission->settings, &admission->backlog, &admission->on_its_way,
                             &rates, candidate);
}

bool tmx_admission_control_may_commit_alone(const struct tmx_admission_control *admission,
                                            struct tmx_candidate *candidate,
                                            const struct tmx_job_ids *awaits) {
  if (!admission || candidate->team < 0) return true;
  struct tmx_ruling ruling = tmx_admission_control_judge(admission, candidate, awaits);
  if (ruling.verdict != TMX_ADMITTED) return false;
  if (ruling.backlog_s > TMX_SINGLE_ADMISSION_SHARE * ruling.ceiling_s) return false;
  struct tmx_rates rates = rates_now(admission);
  double bound = admission->settings->operators.admission.backlog_s;
  return tmx_load_seconds(&candidate->load, &rates) <= TMX_SINGLE_LOAD_SHARE * bound;
}

static void count_on_its_way(struct tmx_admission_control *admission,
                             const struct tmx_candidate *candidate, int sign) {
  if (!admission || candidate->team < 0) return;
  struct tmx_account *account =
      &admission->on_its_way.accounts[candidate->team][candidate->account];
  tmx_load_add(&account->load, &candidate->load, sign);
  account->jobs += (uint32_t)sign;
}

void tmx_admission_control_hold(struct tmx_admission_control *admission,
                                const struct tmx_candidate *candidate) {
  count_on_its_way(admission, candidate, 1);
}

void tmx_admission_control_release(struct tmx_admission_control *admission,
                                   const struct tmx_candidate *candidate) {
  count_on_its_way(admission, candidate, -1);
}

int tmx_admission_control_retry_after(const struct tmx_ruling *ruling) {
  double wait = tmx_admission_retry_s(ruling);
  int spread = (int)ceil(wait * TMX_ADMISSION_SPREAD);
  return (int)wait + tmx_random_below(spread + 1);
}

/* ------------------------------------------------------------ what is seen */

void tmx_admission_control_count_answer(struct tmx_admission_control *admission,
                                        const struct tmx_candidate *candidate,
                                        enum tmx_admission_verdict verdict) {
  if (!admission || candidate->team < 0) return;
  tmx_statistics_ruling(admission->statistics, (size_t)candidate->team, candidate->account,
                        verdict);
}

/* By account: how long its oldest job has waited for its first task, s. */
struct oldest {
  double wait_s[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

static void find_oldest(const struct tmx_replica *replica, struct oldest *oldest) {
  struct tmx_job *job, *next;
  double now = tmx_clock_wall();
  HASH_ITER(hh, replica->jobs, job, next) {
    if (!job->in_account || job->n_placed || job->n_done || tmx_job_is_blocked(job)) continue;
    double *wait = &oldest->wait_s[job->team][job->account];
    *wait = fmax(*wait, now - job->released_at);
  }
}

static void account_name(const struct tmx_backlog *backlog, size_t account, char *out, size_t cap) {
  if (account < backlog->n_listed)
    snprintf(out, cap, "%s", backlog->listed[account]);
  else
    snprintf(out, cap, "(other classes, %zu)", account - backlog->n_listed);
}

static void report_account(const struct tmx_admission_control *admission, size_t team, size_t i,
                           double oldest_s, const struct tmx_rates *rates) {
  const struct tmx_account *account = &admission->backlog.accounts[team][i];
  struct tmx_account_figures f = tmx_statistics_figures(admission->statistics, team, i);
  char name[TMX_NAME_MAX];
  if (!account->jobs && !f.admitted && !f.refused_team && !f.refused_class && !f.starts) return;
  account_name(&admission->backlog, i, name, sizeof name);
  tmx_log(TMX_LOG_INFO,
          "admission: %s %s: %u jobs, backlog %.1f s, oldest waits %.0f s; admitted %lu, refused "
          "%lu by team, %lu by class; %lu began, after %.1f s (median), %.1f s (99%%), %.1f s "
          "(most)",
          admission->settings->teams[team].name, name, account->jobs,
          tmx_load_seconds(&account->load, rates), oldest_s, f.admitted, f.refused_team,
          f.refused_class, f.starts, f.start_median_s, f.start_p99_s, f.start_most_s);
}

void tmx_admission_control_log_accounts(const struct tmx_admission_control *admission) {
  if (!admission) return;
  struct oldest *oldest = tmx_allocate(1, sizeof *oldest);
  find_oldest(admission->replica, oldest);
  struct tmx_rates rates = rates_now(admission);
  tmx_log(TMX_LOG_INFO, "admission: backlog %.1f s of %.0f s, %.0f CPUs",
          tmx_total_seconds(&admission->backlog, &rates),
          admission->settings->operators.admission.backlog_s,
          rates.per_s[TMX_ADMISSION_CPU] / TMX_MILLI);
  for (size_t team = 0; team < admission->backlog.n_teams; team++)
    for (size_t i = 0; i < tmx_backlog_accounts(&admission->backlog); i++)
      report_account(admission, team, i, oldest->wait_s[team][i], &rates);
  free(oldest);
}

void tmx_admission_control_tick(struct tmx_admission_control *admission) {
  if (!admission || tmx_clock_steady() - admission->reported_at < TMX_ADMISSION_LOG_S) return;
  admission->reported_at = tmx_clock_steady();
  tmx_admission_control_log_accounts(admission);
}
