/* The judgement whether a submission is admitted: a pure function of the accounts that the log
 * gives, of the settings, and of the sizes of the machine types. See docs/admission.md. */
#ifndef TMX_ADMISSION_POLICY_H
#define TMX_ADMISSION_POLICY_H
#include "admission/backlog.h"

/* What the cluster works off in a second, by resource. 0: it has none, which then bounds nothing.
 */
struct tmx_rates {
  double per_s[TMX_ADMISSION_RESOURCES];
};
struct tmx_machine_size {
  double cpus, gpus, mem_gb;
};

enum tmx_admission_verdict {
  TMX_ADMITTED,
  TMX_REFUSED_TEAM,  /* the team has reached its ceiling */
  TMX_REFUSED_CLASS, /* the class has reached its ceiling within the team */
};
struct tmx_ruling {
  enum tmx_admission_verdict verdict;
  double backlog_s; /* of the account that decided, with the submission: s of the whole cluster */
  double ceiling_s; /* what that account may have now */
};
struct tmx_candidate { /* a submission to be judged */
  int team;
  size_t account;
  struct tmx_load load;
  bool awaits_open; /* it awaits accepted jobs that are not over: part of a pipeline begun */
};

/* Rates of the machines that are `present`, at least what the teams are guaranteed and what the
 * operators expect, with memory in the proportion of the `largest` machine; the log's and the
 * controllers' memory from the settings. */
struct tmx_rates tmx_admission_rates(const struct tmx_settings *settings,
                                     const struct tmx_machine_size *present,
                                     const struct tmx_machine_size *largest);
/* `on_its_way`: accounts of submissions of this controller that are being committed. */
struct tmx_ruling tmx_admission_judge(const struct tmx_settings *settings,
                                      const struct tmx_backlog *backlog,
                                      const struct tmx_backlog *on_its_way,
                                      const struct tmx_rates *rates,
                                      const struct tmx_candidate *candidate);
/* Time that the whole cluster needs for a load: its most-asked resource, s. */
double tmx_load_seconds(const struct tmx_load *load, const struct tmx_rates *rates);
/* ... for all that a team has in its accounts, and for all teams. */
double tmx_team_seconds(const struct tmx_backlog *backlog, size_t team,
                        const struct tmx_rates *rates);
double tmx_total_seconds(const struct tmx_backlog *backlog, const struct tmx_rates *rates);
/* When room for a refused submission is expected, s from now; at least 1. */
double tmx_admission_retry_s(const struct tmx_ruling *ruling);
/* false: err names the key. Checks the teams' shares against the platform's settings, and gives
 * teams that are not named equal parts of what is left. */
bool tmx_admission_resolve(struct tmx_settings *settings, char *err, size_t cap);
#endif
