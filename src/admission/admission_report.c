/* Logs the state and the decisions of admission control, by account. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission/admission_internal.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"

/* The longest current wait of a job for its first task, s, by team and account. */
struct longest_waits {
  double wait_s[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

static void find_longest_waits(const struct tmx_replica *replica, struct longest_waits *longest) {
  struct tmx_job *job, *next;
  double now = tmx_clock_wall();
  HASH_ITER(hh, replica->jobs, job, next) {
    if (!job->in_account || job->n_placed || job->n_done || tmx_job_is_blocked(job)) continue;
    double *wait = &longest->wait_s[job->team][job->account];
    *wait = fmax(*wait, now - job->released_at);
  }
}

static void print_account_name(const struct tmx_backlog *backlog, size_t account, char *name,
                               size_t capacity) {
  if (account < backlog->n_listed)
    snprintf(name, capacity, "%s", backlog->listed[account]);
  else
    snprintf(name, capacity, "(other classes, %zu)", account - backlog->n_listed);
}

static void log_account(const struct tmx_admission_control *admission, size_t team, size_t i,
                        double longest_wait_s, const struct tmx_resource_rates *rates) {
  const struct tmx_account *account = &admission->backlog.accounts[team][i];
  struct tmx_account_figures figures =
      tmx_admission_statistics_figures(admission->statistics, team, i);
  char name[TMX_NAME_BYTES];
  if (!account->n_open_jobs && !figures.admitted && !figures.refused_team &&
      !figures.refused_class && !figures.starts)
    return;
  print_account_name(&admission->backlog, i, name, sizeof name);
  tmx_log(TMX_LOG_INFO,
          "admission: %s %s: %u jobs, backlog %.1f s, longest current wait %.0f s; admitted %lu, "
          "refused %lu at the team's ceiling, %lu at the class's ceiling; %lu started, wait %.1f s "
          "(median), %.1f s (99th percentile), %.1f s (maximum)",
          admission->settings->teams[team].name, name, account->n_open_jobs,
          tmx_load_seconds(&account->load, rates), longest_wait_s, figures.admitted,
          figures.refused_team, figures.refused_class, figures.starts, figures.start_median_s,
          figures.start_p99_s, figures.start_max_s);
}

void tmx_admission_control_log_accounts(const struct tmx_admission_control *admission) {
  if (!admission) return;
  struct longest_waits *longest = tmx_allocate(1, sizeof *longest);
  find_longest_waits(admission->replica, longest);
  struct tmx_resource_rates rates = tmx_admission_control_rates(admission);
  tmx_log(TMX_LOG_INFO, "admission: backlog %.1f s of %.0f s, %.0f CPUs",
          tmx_total_backlog_seconds(&admission->backlog, &rates),
          admission->settings->operators.admission.backlog_s,
          rates.per_s[TMX_ADMISSION_CPU] / TMX_MILLI);
  for (size_t team = 0; team < admission->backlog.n_teams; team++)
    for (size_t i = 0; i < tmx_backlog_account_count(&admission->backlog); i++)
      log_account(admission, team, i, longest->wait_s[team][i], &rates);
  free(longest);
}

void tmx_admission_control_tick(struct tmx_admission_control *admission) {
  if (!admission || tmx_clock_steady() - admission->accounts_logged_at < TMX_ADMISSION_LOG_PERIOD_S)
    return;
  admission->accounts_logged_at = tmx_clock_steady();
  tmx_admission_control_log_accounts(admission);
}
