/* A fixture for tests of one or two controllers with scripted peers: a store, a cloud and three
 * workers on the test's event loop. A test's own setup is one of the setup functions below; it ends
 * with teardown_controllers. */
#ifndef TMX_CONTROLLER_FIXTURE_H
#define TMX_CONTROLLER_FIXTURE_H
#include "fake.h"

/* The controllers of the test at hand; NULL: not running. */
extern struct tmx_controller *first_controller, *second_controller;
/* Machine n-000001, and two more that report only where a test has them report. */
extern struct fake_worker worker, other_workers[2];

/* One controller that is ready. */
int setup_one_controller(void **state);
/* Two controllers that are ready. */
int setup_two_controllers(void **state);
/* Two controllers that are ready and have had half a second to hear each other. */
int setup_two_settled_controllers(void **state);
int teardown_controllers(void **state);

/* Ends the first controller as a killed process does, and starts it anew. */
void restart_first_controller(void);

/* Whether the machine is in the log as this controller has it. */
bool is_registered(const struct tmx_controller *controller, const struct fake_worker *machine);
/* Has the machine report to its owner until every running controller knows it. */
void register_worker(struct fake_worker *machine);
/* Has `worker` report to this controller, which must own it, until it is registered. */
void register_worker_at(struct tmx_controller *controller);
/* Has `worker` report to whichever of the two controllers owns it; both must then know it. */
void register_worker_at_owner(void);
/* One report of `worker` to whichever controller owns it. */
void report_to_owner(void);
/* All tasks that run on `worker` complete, and their reports are answered. */
void complete_running_tasks(void);
/* One task of `worker` completes, and is reported. */
void complete_task(const char *task, uint32_t attempt);

/* Each waits until so many starts were executed by `worker`, or tasks are placed in the log. */
void wait_for_starts(unsigned count);
void wait_for_placed(unsigned count);
/* So many tasks stay placed for this long, s. */
void assert_stays_placed(unsigned count, double seconds);
/* A command beyond the first `before` came to `worker` and is known to be without an answer. */
void wait_for_unanswered_command(unsigned before);
/* The first controller tells users this state of the job. */
void wait_for_job_state(const char *id, const char *state);

/* Conditions for run_loop_until; the argument is unused unless said. */
bool any_task_is_placed(void *unused);
bool no_task_is_placed(void *unused);
bool any_task_was_started(void *unused);
bool worker_is_registered_at(void *controller);
bool first_knows_outcome(void *job_id);
#endif
