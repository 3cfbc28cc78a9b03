/**
 * @file
 * The decision whether a submission is admitted. It is a pure function of the accounts, which the
 * replica derives from the log, of the settings, and of the sizes of the machine types. See
 * docs/admission.md.
 */
#ifndef TMX_ADMISSION_POLICY_H
#define TMX_ADMISSION_POLICY_H
#include "admission/admission_rates.h"
#include "admission/admission_settings.h"
#include "replica/backlog.h"

/** A submission to be admitted or refused. */
struct tmx_admission_request {
  int team;             /**< index of the team in the settings; negative: none */
  size_t account;       /**< index of the class's account within the team */
  struct tmx_load load; /**< amount of each resource that the job needs */
  /** The job depends on accepted jobs that are not over: it continues a started pipeline. */
  bool has_open_dependencies;
};

/** The outcome of a decision. */
enum tmx_admission_result {
  TMX_ADMITTED,      /**< the submission may be committed */
  TMX_REFUSED_TEAM,  /**< the team has reached its ceiling */
  TMX_REFUSED_CLASS, /**< the class has reached its ceiling within the team */
};

/** A decision, with the values that were compared. */
struct tmx_admission_decision {
  /** Whether the submission is admitted, and if not, at which ceiling it was refused. */
  enum tmx_admission_result result;
  double backlog_s; /**< backlog of the team or accounts that decided, with the submission added:
                       seconds of the whole cluster */
  double ceiling_s; /**< the backlog that this team or these accounts may have now, s */
};

/**
 * Decides whether a submission is admitted. `in_flight` contains the submissions of this controller
 * whose commits have no response yet; NULL: none.
 */
struct tmx_admission_decision tmx_admission_decide(const struct tmx_settings *settings,
                                                   const struct tmx_backlog *backlog,
                                                   const struct tmx_backlog *in_flight,
                                                   const struct tmx_resource_rates *rates,
                                                   const struct tmx_admission_request *request);
/** Returns the seconds until a refused submission is expected to be admitted: whole, at least 1, at
 * most TMX_ADMISSION_RETRY_MAX_S. */
double tmx_admission_retry_s(const struct tmx_admission_decision *decision);
#endif
