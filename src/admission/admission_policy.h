/**
 * @file
 * The decision whether a submission is admitted: a pure function of the accounts that follow from
 * the log, of the settings, and of the sizes of the machine types. See docs/admission.md.
 */
#ifndef TMX_ADMISSION_POLICY_H
#define TMX_ADMISSION_POLICY_H
#include "admission/admission_rates.h"
#include "admission/admission_settings.h"
#include "replica/backlog.h"

/** A submission on which admission decides. */
struct tmx_admission_request {
  int team;             /**< index */
  size_t account;       /**< of its class within the team */
  struct tmx_load load; /**< what the job needs of each resource */
  /** It depends on accepted jobs that are not over: it is part of a pipeline that has begun. */
  bool has_open_dependencies;
};

/** The outcome of a decision. */
enum tmx_admission_result {
  TMX_ADMITTED,      /**< the submission may be committed */
  TMX_REFUSED_TEAM,  /**< the team has reached its ceiling */
  TMX_REFUSED_CLASS, /**< the class has reached its ceiling within the team */
};

/** A decision, with the figures that it rests on. */
struct tmx_admission_decision {
  /** Whether it is admitted, and if not, which ceiling refused it. */
  enum tmx_admission_result result;
  double backlog_s, /**< of the team or account that decided, with the submission; s of the whole
                       cluster's time */
      ceiling_s;    /**< the backlog that this team or account may have now, s */
};

/** `in_flight`: accounts of submissions of this controller whose commits have no answer yet; NULL:
 * none. */
struct tmx_admission_decision tmx_admission_decide(const struct tmx_settings *settings,
                                                   const struct tmx_backlog *backlog,
                                                   const struct tmx_backlog *in_flight,
                                                   const struct tmx_rates *rates,
                                                   const struct tmx_admission_request *request);
/** When room for a refused submission is expected, s from now; at least 1. */
double tmx_admission_retry_s(const struct tmx_admission_decision *decision);
#endif
