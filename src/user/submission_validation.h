/** @file
 * Validates submissions: decides whether a job could ever run. The functions depend only on the
 * settings, the machine catalog and the replica, and change none of them. Loop's thread only. */
#ifndef TMX_SUBMISSION_VALIDATION_H
#define TMX_SUBMISSION_VALIDATION_H
#include "user/user_internal.h"

/** Whether a job's specification allows it to run. */
enum tmx_spec_validity {
  TMX_SPEC_RUNNABLE,       /**< at least one machine type fits */
  TMX_SPEC_NEVER_RUNNABLE, /**< unknown team or zone, team limit exceeded, or no type fits */
  TMX_SPEC_UNDECIDED,      /**< the cloud has not sent its machine types yet */
};
/** Returns whether a job of this team, zone and task size could run on any machine type that it
 * allows. */
enum tmx_spec_validity tmx_user_validate_spec(const struct tmx_user_api *api,
                                              const struct tmx_job_spec *spec);

/** Whether a job's prerequisites allow it to start. */
enum tmx_dependency_validity {
  TMX_DEPENDENCIES_VALID,   /**< all prerequisites are in the replica; none is the job itself or a
                               service */
  TMX_DEPENDENCIES_UNKNOWN, /**< at least one prerequisite is not in the replica */
  TMX_DEPENDENCIES_NEVER_DONE, /**< a prerequisite is the job itself or a service */
};
/** Returns whether the prerequisites of a submission exist and can finish. Jobs are never removed,
 * so a prerequisite that exists continues to exist. That a prerequisite does not exist is certain
 * only after a linearizable read that began after the request was received. */
enum tmx_dependency_validity tmx_user_validate_dependencies(
    const struct tmx_replica *replica, const struct tmx_submission *submission);
#endif
