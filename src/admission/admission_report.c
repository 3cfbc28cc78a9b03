/* What admission did, account by account, in the log. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission/admission_internal.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"

/* By account: how long its oldest job has waited for its first task, s. */
struct oldest_waits {
  double wait_s[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

static void find_oldest(const struct tmx_replica *replica, struct oldest_waits *oldest) {
  struct tmx_job *job, *next;
  double now = tmx_clock_wall();
  HASH_ITER(hh, replica->jobs, job, next) {
    if (!job->in_account || job->n_placed || job->n_done || tmx_job_is_blocked(job)) continue;
    double *wait = &oldest->wait_s[job->team][job->account];
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

static void report_account(const struct tmx_admission_control *admission, size_t team, size_t i,
                           double oldest_s, const struct tmx_rates *rates) {
  const struct tmx_account *account = &admission->backlog.accounts[team][i];
  struct tmx_account_figures figures = tmx_statistics_figures(admission->statistics, team, i);
  char name[TMX_NAME_MAX];
  if (!account->n_open_jobs && !figures.admitted && !figures.refused_team &&
      !figures.refused_class && !figures.starts)
    return;
  print_account_name(&admission->backlog, i, name, sizeof name);
  tmx_log(TMX_LOG_INFO,
          "admission: %s %s: %u jobs, backlog %.1f s, oldest waits %.0f s; admitted %lu, refused "
          "%lu by team, %lu by class; %lu began, after %.1f s (median), %.1f s (99%%), %.1f s "
          "(most)",
          admission->settings->teams[team].name, name, account->n_open_jobs,
          tmx_load_seconds(&account->load, rates), oldest_s, figures.admitted, figures.refused_team,
          figures.refused_class, figures.starts, figures.start_median_s, figures.start_p99_s,
          figures.start_max_s);
}

void tmx_admission_control_log_accounts(const struct tmx_admission_control *admission) {
  if (!admission) return;
  struct oldest_waits *oldest = tmx_allocate(1, sizeof *oldest);
  find_oldest(admission->replica, oldest);
  struct tmx_rates rates = tmx_admission_control_rates(admission);
  tmx_log(TMX_LOG_INFO, "admission: backlog %.1f s of %.0f s, %.0f CPUs",
          tmx_total_seconds(&admission->backlog, &rates),
          admission->settings->operators.admission.backlog_s,
          rates.per_s[TMX_ADMISSION_CPU] / TMX_MILLI);
  for (size_t team = 0; team < admission->backlog.n_teams; team++)
    for (size_t i = 0; i < tmx_backlog_account_count(&admission->backlog); i++)
      report_account(admission, team, i, oldest->wait_s[team][i], &rates);
  free(oldest);
}

void tmx_admission_control_tick(struct tmx_admission_control *admission) {
  if (!admission || tmx_clock_steady() - admission->reported_at < TMX_ADMISSION_LOG_S) return;
  admission->reported_at = tmx_clock_steady();
  tmx_admission_control_log_accounts(admission);
}
