/** @file
 *  Jobs with prerequisites, for tests of one or two controllers. */
#ifndef TMX_DEPENDENCY_FIXTURE_H
#define TMX_DEPENDENCY_FIXTURE_H
#include "controller_fixture.h"

/** Submits a job of one task with the given prerequisites; their ids are separated by spaces. */
struct fake_response submit_with_dependencies(struct tmx_controller *controller, const char *id,
                                              const char *prerequisite_ids);
/** Submits such a job to the first controller, and asserts that it is accepted. */
void assert_accepted(const char *id, const char *prerequisite_ids);
/** Asserts that the job stays pending for `duration_s` seconds and that `worker` starts nothing. */
void assert_stays_pending(const char *id, double duration_s);
#endif
