#include "admission/admission_policy.h"

#include <math.h>

#include "admission/shares.h"

/* The inputs of a decision. */
struct decision_context {
  const struct tmx_settings *settings;
  const struct tmx_backlog *backlog, *in_flight;
  const struct tmx_resource_rates *rates;
  const struct tmx_admission_request *request;
};

/* A range of accounts of one team, from `first` to `end` exclusive. */
struct account_range {
  size_t team, first, end;
};

static struct tmx_load range_load(const struct decision_context *context,
                                  const struct account_range *range) {
  struct tmx_load sum = {{0}};
  for (size_t i = range->first; i < range->end; i++) {
    tmx_load_add(&sum, &context->backlog->accounts[range->team][i].load, 1);
    if (context->in_flight)
      tmx_load_add(&sum, &context->in_flight->accounts[range->team][i].load, 1);
  }
  return sum;
}

static double used_seconds(const struct decision_context *context, size_t team, size_t first,
                           size_t end) {
  struct tmx_load load = range_load(context, &(struct account_range){team, first, end});
  return tmx_load_seconds(&load, context->rates);
}

/* Returns the backlog of a range of accounts of the request's team, in seconds of the whole
 * cluster, with the request added. The range must include the request's account. */
static double requested_seconds(const struct decision_context *context, size_t first, size_t end) {
  size_t team = (size_t)context->request->team;
  struct tmx_load load = range_load(context, &(struct account_range){team, first, end});
  tmx_load_add(&load, &context->request->load, 1);
  return tmx_load_seconds(&load, context->rates);
}

static struct tmx_admission_decision compare_with_ceiling(double backlog_s, double ceiling_s,
                                                          enum tmx_admission_result result_above) {
  enum tmx_admission_result result = backlog_s <= ceiling_s ? TMX_ADMITTED : result_above;
  return (struct tmx_admission_decision){result, backlog_s, ceiling_s};
}

/* A job that depends on accepted ones may exceed the team's ceiling by TMX_PIPELINE_EXTRA_SHARE,
 * whatever its class. This allows a pipeline that has started to continue, up to a limit. */
static struct tmx_admission_decision decide_by_team(const struct decision_context *context) {
  double used[TMX_TEAMS_MAX];
  const struct tmx_admission_settings *settings = &context->settings->operators.admission;
  size_t n_teams = context->backlog->n_teams;
  size_t n_accounts = tmx_backlog_account_count(context->backlog);
  for (size_t team = 0; team < n_teams; team++)
    used[team] = used_seconds(context, team, 0, n_accounts);
  struct tmx_division division = {.bound = settings->backlog_s,
                                  .reserve = settings->reserve,
                                  .weight = settings->share_by_team,
                                  .parties = n_teams};
  double ceiling = tmx_share_ceiling(&division, used, (size_t)context->request->team);
  if (context->request->has_open_dependencies) ceiling *= 1 + TMX_PIPELINE_EXTRA_SHARE;
  return compare_with_ceiling(requested_seconds(context, 0, n_accounts), ceiling, TMX_REFUSED_TEAM);
}

/* Divides the team's ceiling: each listed class is a party, and all unlisted classes together are
 * one more party. */
static struct tmx_admission_decision decide_by_class(const struct decision_context *context,
                                                     double team_ceiling) {
  double used[TMX_LISTED_CLASSES_MAX + 1];
  size_t team = (size_t)context->request->team, account = context->request->account;
  size_t n_listed = context->backlog->n_listed;
  size_t n_accounts = tmx_backlog_account_count(context->backlog);
  for (size_t i = 0; i < n_listed; i++) used[i] = used_seconds(context, team, i, i + 1);
  used[n_listed] = used_seconds(context, team, n_listed, n_accounts);
  struct tmx_division division = {.bound = team_ceiling,
                                  .reserve = context->settings->operators.admission.reserve,
                                  .parties = n_listed + 1};
  bool listed = account < n_listed;
  size_t party = listed ? account : n_listed;
  double ceiling = tmx_share_ceiling(&division, used, party);
  double requested = requested_seconds(context, party, listed ? party + 1 : n_accounts);
  return compare_with_ceiling(requested, ceiling, TMX_REFUSED_CLASS);
}

/* Divides the ceiling of the unlisted classes. These classes share a fixed number of accounts by a
 * hash of their names, and each of the accounts is a party. */
static struct tmx_admission_decision decide_by_unlisted_class(
    const struct decision_context *context, double unlisted_ceiling) {
  double used[TMX_HASHED_ACCOUNTS];
  size_t team = (size_t)context->request->team, account = context->request->account;
  size_t n_listed = context->backlog->n_listed;
  for (size_t i = 0; i < TMX_HASHED_ACCOUNTS; i++)
    used[i] = used_seconds(context, team, n_listed + i, n_listed + i + 1);
  struct tmx_division division = {.bound = unlisted_ceiling,
                                  .reserve = context->settings->operators.admission.reserve,
                                  .parties = TMX_HASHED_ACCOUNTS};
  double ceiling = tmx_share_ceiling(&division, used, account - n_listed);
  return compare_with_ceiling(requested_seconds(context, account, account + 1), ceiling,
                              TMX_REFUSED_CLASS);
}

static bool has_empty_account(const struct decision_context *context) {
  size_t team = (size_t)context->request->team, account = context->request->account;
  uint32_t jobs = context->backlog->accounts[team][account].n_open_jobs;
  if (context->in_flight) jobs += context->in_flight->accounts[team][account].n_open_jobs;
  return !jobs;
}

/* An account without open jobs may take one job of any size, since the largest jobs would never be
 * admitted otherwise. A job that depends on accepted jobs is bounded by the team's ceiling only. */
struct tmx_admission_decision tmx_admission_decide(const struct tmx_settings *settings,
                                                   const struct tmx_backlog *backlog,
                                                   const struct tmx_backlog *in_flight,
                                                   const struct tmx_resource_rates *rates,
                                                   const struct tmx_admission_request *request) {
  struct decision_context context = {settings, backlog, in_flight, rates, request};
  struct tmx_admission_decision decision = decide_by_team(&context);
  if (has_empty_account(&context)) {
    decision.result = TMX_ADMITTED;
    return decision;
  }
  if (decision.result != TMX_ADMITTED || request->has_open_dependencies) return decision;
  decision = decide_by_class(&context, decision.ceiling_s);
  if (decision.result != TMX_ADMITTED || request->account < backlog->n_listed) return decision;
  return decide_by_unlisted_class(&context, decision.ceiling_s);
}

/* The whole cluster completes one second of backlog per second. An account gets at least the share
 * of this rate that corresponds to its reserve, and at most the whole rate. The excess over the
 * ceiling is the estimate of the wait. This estimate requires no assumption about the mix of work.
 */
double tmx_admission_retry_s(const struct tmx_admission_decision *decision) {
  double excess = decision->backlog_s - decision->ceiling_s;
  return fmin(fmax(ceil(excess), 1), TMX_ADMISSION_RETRY_MAX_S);
}
