#include "admission/admission_policy.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "admission/shares.h"

/* ------------------------------------------------------------ rates */

static double guaranteed(const struct tmx_settings *settings, bool gpus) {
  double sum = 0;
  for (size_t i = 0; i < settings->n_teams; i++)
    sum += gpus ? settings->teams[i].gpus : settings->teams[i].cpus;
  return sum;
}

/* Before the first machine is registered nothing tells how much there is: machines bound nothing
 * then, and the log and the memory do. */
struct tmx_rates tmx_admission_rates(const struct tmx_settings *settings,
                                     const struct tmx_machine_size *present,
                                     const struct tmx_machine_size *largest) {
  struct tmx_rates rates;
  double expected = fmax(guaranteed(settings, false), settings->operators.admission.capacity_cpus);
  double cpus = fmax(present->cpus, expected);
  double gpus = fmax(present->gpus, guaranteed(settings, true));
  double gb_per_cpu = largest->cpus > 0 ? largest->mem_gb / largest->cpus : 0;
  double puts = settings->write_rps * TMX_WRITE_SHARE;
  double held_bytes = settings->ram_mb * TMX_BYTES_PER_MB * TMX_HELD_SHARE;
  rates.per_s[TMX_ADMISSION_CPU] = cpus * TMX_MILLI;
  rates.per_s[TMX_ADMISSION_GPU] = gpus * TMX_MILLI;
  rates.per_s[TMX_ADMISSION_MEMORY] = fmax(present->mem_gb, expected * gb_per_cpu) * TMX_MB_PER_GB;
  rates.per_s[TMX_ADMISSION_LOG] = puts * TMX_LINES_SHARE * (double)tmx_value_room(settings);
  rates.per_s[TMX_ADMISSION_PUTS] = puts * TMX_FINALS_SHARE;
  /* memory is not worked off: its share of the bound is that of what may be held */
  rates.per_s[TMX_ADMISSION_HELD] = held_bytes / settings->operators.admission.backlog_s;
  return rates;
}

double tmx_load_seconds(const struct tmx_load *load, const struct tmx_rates *rates) {
  double most = 0;
  for (size_t i = 0; i < TMX_ADMISSION_RESOURCES; i++)
    if (rates->per_s[i] > 0) most = fmax(most, (double)load->amount[i] / rates->per_s[i]);
  return most;
}

/* ------------------------------------------------------------ sums of accounts */

static void add_accounts(struct tmx_load *sum, const struct tmx_backlog *backlog, size_t team,
                         size_t from, size_t to) {
  for (size_t i = from; i < to; i++) tmx_load_add(sum, &backlog->accounts[team][i].load, 1);
}

static double seconds_of(const struct tmx_backlog *backlog, const struct tmx_backlog *on_its_way,
                         size_t team, size_t from, size_t to, const struct tmx_rates *rates) {
  struct tmx_load sum = {{0}};
  add_accounts(&sum, backlog, team, from, to);
  if (on_its_way) add_accounts(&sum, on_its_way, team, from, to);
  return tmx_load_seconds(&sum, rates);
}

double tmx_team_seconds(const struct tmx_backlog *backlog, size_t team,
                        const struct tmx_rates *rates) {
  return seconds_of(backlog, NULL, team, 0, tmx_backlog_accounts(backlog), rates);
}

double tmx_total_seconds(const struct tmx_backlog *backlog, const struct tmx_rates *rates) {
  double sum = 0;
  for (size_t team = 0; team < backlog->n_teams; team++)
    sum += tmx_team_seconds(backlog, team, rates);
  return sum;
}

/* ------------------------------------------------------------ judgement */

/* What a judgement looks at. */
struct hearing {
  const struct tmx_settings *settings;
  const struct tmx_backlog *backlog, *on_its_way;
  const struct tmx_rates *rates;
  const struct tmx_candidate *candidate;
};

/* A range of the accounts of the candidate's team, with the candidate if it belongs there. */
static double range_seconds(const struct hearing *h, size_t from, size_t to, bool with) {
  struct tmx_load sum = {{0}};
  size_t team = (size_t)h->candidate->team;
  add_accounts(&sum, h->backlog, team, from, to);
  if (h->on_its_way) add_accounts(&sum, h->on_its_way, team, from, to);
  if (with) tmx_load_add(&sum, &h->candidate->load, 1);
  return tmx_load_seconds(&sum, h->rates);
}

static struct tmx_ruling rule(enum tmx_admission_verdict otherwise, double backlog_s,
                              double ceiling_s) {
  enum tmx_admission_verdict verdict = backlog_s <= ceiling_s ? TMX_ADMITTED : otherwise;
  return (struct tmx_ruling){verdict, backlog_s, ceiling_s};
}

static struct tmx_ruling judge_team(const struct hearing *h) {
  double used[TMX_TEAMS_MAX];
  const struct tmx_admission_settings *own = &h->settings->operators.admission;
  size_t all = tmx_backlog_accounts(h->backlog), team = (size_t)h->candidate->team;
  for (size_t i = 0; i < h->backlog->n_teams; i++)
    used[i] = seconds_of(h->backlog, h->on_its_way, i, 0, all, h->rates);
  struct tmx_division division = {.bound = own->backlog_s,
                                  .reserve = own->reserve,
                                  .weight = own->share,
                                  .parties = h->backlog->n_teams};
  double ceiling = tmx_share_ceiling(&division, used, team);
  /* a pipeline that has begun is carried on somewhat longer: bounded, whatever it consists of */
  if (h->candidate->awaits_open) ceiling *= 1 + TMX_PIPELINE_EXTRA;
  return rule(TMX_REFUSED_TEAM, range_seconds(h, 0, all, true), ceiling);
}

/* Within the team's ceiling: each listed class is a party, and all others together are one. */
static struct tmx_ruling judge_class(const struct hearing *h, double team_ceiling) {
  double used[TMX_LISTED_MAX + 1];
  size_t listed = h->backlog->n_listed, account = h->candidate->account;
  size_t party = account < listed ? account : listed;
  for (size_t i = 0; i < listed; i++) used[i] = range_seconds(h, i, i + 1, false);
  used[listed] = range_seconds(h, listed, tmx_backlog_accounts(h->backlog), false);
  struct tmx_division division = {.bound = team_ceiling,
                                  .reserve = h->settings->operators.admission.reserve,
                                  .parties = listed + 1};
  double ceiling = tmx_share_ceiling(&division, used, party);
  size_t to = party < listed ? party + 1 : tmx_backlog_accounts(h->backlog);
  return rule(TMX_REFUSED_CLASS, range_seconds(h, party, to, true), ceiling);
}

/* Among the accounts that unlisted class names share. */
static struct tmx_ruling judge_hashed(const struct hearing *h, double unlisted_ceiling) {
  double used[TMX_HASHED_ACCOUNTS];
  size_t listed = h->backlog->n_listed, account = h->candidate->account;
  for (size_t i = 0; i < TMX_HASHED_ACCOUNTS; i++)
    used[i] = range_seconds(h, listed + i, listed + i + 1, false);
  struct tmx_division division = {.bound = unlisted_ceiling,
                                  .reserve = h->settings->operators.admission.reserve,
                                  .parties = TMX_HASHED_ACCOUNTS};
  double ceiling = tmx_share_ceiling(&division, used, account - listed);
  return rule(TMX_REFUSED_CLASS, range_seconds(h, account, account + 1, true), ceiling);
}

static bool is_newcomer(const struct hearing *h) {
  size_t team = (size_t)h->candidate->team, account = h->candidate->account;
  uint32_t jobs = h->backlog->accounts[team][account].jobs;
  if (h->on_its_way) jobs += h->on_its_way->accounts[team][account].jobs;
  return !jobs;
}

struct tmx_ruling tmx_admission_judge(const struct tmx_settings *settings,
                                      const struct tmx_backlog *backlog,
                                      const struct tmx_backlog *on_its_way,
                                      const struct tmx_rates *rates,
                                      const struct tmx_candidate *candidate) {
  struct hearing h = {settings, backlog, on_its_way, rates, candidate};
  struct tmx_ruling ruling = judge_team(&h);
  /* An account without work has room for one job however large: else the largest would never be
   * admitted. Jobs of a pipeline are judged by their team alone. */
  if (is_newcomer(&h)) ruling.verdict = TMX_ADMITTED;
  if (ruling.verdict != TMX_ADMITTED || candidate->awaits_open || is_newcomer(&h)) return ruling;
  ruling = judge_class(&h, ruling.ceiling_s);
  if (ruling.verdict != TMX_ADMITTED || candidate->account < backlog->n_listed) return ruling;
  return judge_hashed(&h, ruling.ceiling_s);
}

/* The whole cluster works a second off in a second; of one account that is at worst its reserve's
 * share, at best all. The excess itself is the middle of the two and needs no guess of the mix. */
double tmx_admission_retry_s(const struct tmx_ruling *ruling) {
  double excess = ruling->backlog_s - ruling->ceiling_s;
  return fmin(fmax(ceil(excess), 1), TMX_ADMISSION_RETRY_MAX_S);
}

/* ------------------------------------------------------------ settings */

static bool bad_share(char *err, size_t cap, const char *team, const char *why) {
  snprintf(err, cap, "operator settings: admission.team_shares%s%s: %s", team[0] ? "." : "", team,
           why);
  return false;
}

bool tmx_admission_resolve(struct tmx_settings *settings, char *err, size_t cap) {
  struct tmx_admission_settings *own = &settings->operators.admission;
  bool named[TMX_TEAMS_MAX] = {false};
  double sum = 0;
  for (size_t i = 0; i < own->n_named; i++) {
    int team = tmx_team_index(settings, own->named[i].team);
    if (team < 0) return bad_share(err, cap, own->named[i].team, "no such team");
    named[team] = true;
    own->share[team] = own->named[i].share;
    sum += own->named[i].share;
  }
  size_t others = settings->n_teams - own->n_named;
  if (sum > 1 + TMX_SHARE_EPSILON) return bad_share(err, cap, "", "add up to more than 1");
  if (others && sum > 1 - TMX_SHARE_EPSILON)
    return bad_share(err, cap, "", "leave nothing to the teams that are not named");
  if (!others && own->n_named && sum < 1 - TMX_SHARE_EPSILON)
    return bad_share(err, cap, "", "add up to less than 1");
  for (size_t i = 0; i < settings->n_teams; i++)
    if (!named[i]) own->share[i] = (1 - sum) / (double)others;
  return true;
}
