#include "admission/admission_settings.h"

#include <stdio.h>

static bool reject_shares(char *error, size_t capacity, const char *team, const char *reason) {
  snprintf(error, capacity, "operator settings: admission.team_shares%s%s: %s", team[0] ? "." : "",
           team, reason);
  return false;
}

bool tmx_admission_settings_resolve(struct tmx_settings *settings, char *error, size_t capacity) {
  struct tmx_admission_settings *admission = &settings->operators.admission;
  bool has_share[TMX_TEAMS_MAX] = {false};
  double sum = 0;
  for (size_t i = 0; i < admission->n_team_shares; i++) {
    int team = tmx_team_index(settings, admission->team_shares[i].team);
    if (team < 0)
      return reject_shares(error, capacity, admission->team_shares[i].team, "no such team");
    has_share[team] = true;
    admission->share_by_team[team] = admission->team_shares[i].share;
    sum += admission->team_shares[i].share;
  }
  size_t others = settings->n_teams - admission->n_team_shares;
  if (sum > 1 + TMX_SHARE_EPSILON)
    return reject_shares(error, capacity, "", "add up to more than 1");
  if (others && sum > 1 - TMX_SHARE_EPSILON)
    return reject_shares(error, capacity, "", "leave nothing to the teams that are not named");
  if (!others && admission->n_team_shares && sum < 1 - TMX_SHARE_EPSILON)
    return reject_shares(error, capacity, "", "add up to less than 1");
  for (size_t i = 0; i < settings->n_teams; i++)
    if (!has_share[i]) admission->share_by_team[i] = (1 - sum) / (double)others;
  return true;
}
