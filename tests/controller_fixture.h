/** @file
 *  A fixture for tests of one or two controllers. It runs a fake store, a fake cloud and three fake
 *  workers on the test's event loop. A test registers one of the setup functions below and
 *  teardown_controllers. */
#ifndef TMX_CONTROLLER_FIXTURE_H
#define TMX_CONTROLLER_FIXTURE_H
#include "fake.h"

/** The controllers of the current test; NULL: not running. */
extern struct tmx_controller *first_controller, *second_controller;
/** The workers of machines n-000001, n-000002 and n-000003. Only `worker` is used by the functions
 *  below that take no worker. */
extern struct fake_worker worker, other_workers[2];

/** Starts one controller and waits until it is ready. */
int setup_one_controller(void **state);
/** Starts two controllers and waits until both are ready. */
int setup_two_controllers(void **state);
/** Like setup_two_controllers, then runs the loop for 0.5 s so that the controllers exchange
 *  heartbeats. */
int setup_two_settled_controllers(void **state);
/** Stops the controllers, the workers, the store and the cloud. */
int teardown_controllers(void **state);

/** Stops the first controller like a killed process, restarts it and waits until it is ready. */
void restart_first_controller(void);

/** Whether the machine is registered in this controller's replica. */
bool is_registered(const struct tmx_controller *controller, const struct fake_worker *machine);
/** Sends reports of the machine to its owner until each running controller has it registered. */
void register_worker(struct fake_worker *machine);
/** Sends reports of `worker` to this controller, which must own it, until it is registered. */
void register_worker_at(struct tmx_controller *controller);
/** Sends reports of `worker` to the controller that owns it until both controllers have it
 *  registered. */
void register_worker_at_owner(void);
/** Sends one report of `worker` to the controller that owns it. */
void report_worker_to_owner(void);
/** Completes all running tasks of `worker`, reports that, and executes the commands of the
 *  response. */
void complete_running_tasks(void);
/** Completes one task of `worker` and reports that. */
void complete_task(const char *task, uint32_t attempt);

/** Waits until `worker` has executed at least `count` starts. */
void wait_for_starts(unsigned count);
/** Waits until exactly `count` tasks are placed in the log. */
void wait_for_placed(unsigned count);
/** Asserts that `count` tasks stay placed in the log for `seconds`. */
void assert_stays_placed(unsigned count, double seconds);
/** Waits until `worker` has received more than `before` command requests, and then 0.1 s for the
 *  controller to see that the request failed. */
void wait_for_unanswered_command(unsigned before);
/** Waits until the first controller reports this state of the job to users. */
void wait_for_job_state(const char *id, const char *state);

/* Conditions for run_loop_until. Arguments named `unused` are ignored. */
bool any_task_is_placed(void *unused);
bool no_task_is_placed(void *unused);
bool any_task_was_started(void *unused);
/** @param controller a struct tmx_controller */
bool worker_is_registered_at(void *controller);
/** Whether the first controller's replica holds the outcome of a job.
 *  @param job_id a string */
bool first_controller_knows_outcome(void *job_id);
#endif
