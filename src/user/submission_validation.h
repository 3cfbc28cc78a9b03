/** @file
 * Whether a submission could ever run. Pure functions of settings, catalog and replica. */
#ifndef TMX_SUBMISSION_VALIDATION_H
#define TMX_SUBMISSION_VALIDATION_H
#include "user/user_internal.h"

/** Whether a job could ever run, by its specification. */
enum tmx_spec_validity {
  TMX_SPEC_RUNNABLE,       /**< on some machine type */
  TMX_SPEC_NEVER_RUNNABLE, /**< team or zone unknown, over the team's limit, or no type fits */
  TMX_SPEC_UNDECIDED,      /**< the machine types are not known yet */
};
/** Whether team, zone and sizes of the job allow it to run on some type of machine. */
enum tmx_spec_validity tmx_user_validate_spec(const struct tmx_users *users,
                                              const struct tmx_job_spec *spec);

/** Whether a job could ever start, by the jobs that it depends on. */
enum tmx_dependency_validity {
  TMX_DEPENDENCIES_VALID,      /**< all are known; none is the job itself or a service */
  TMX_DEPENDENCIES_UNKNOWN,    /**< a job that it names is not known to this replica */
  TMX_DEPENDENCIES_NEVER_DONE, /**< it would wait for itself, or for a service */
};
/** Whether the dependencies of a submission are known and can finish.
 * Jobs are never forgotten, so an id once known stays known; that one is unknown is certain only
 * after a read of the state that began after the request came. */
enum tmx_dependency_validity tmx_user_validate_dependencies(
    const struct tmx_replica *replica, const struct tmx_submission *submission);
#endif
