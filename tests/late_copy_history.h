/** @file
 *  Random histories of two controllers and three workers for property tests: starts, ends, moves,
 *  cancellations, short absences of controllers and machines, and late copies of requests. The
 *  result is judged by what the workers ran. Each random number is one event. */
#ifndef LATE_COPY_HISTORY_H
#define LATE_COPY_HISTORY_H
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif
/** Counts of events, and of broken rules. */
struct late_copy_report {
  unsigned starts;             /**< tasks that the workers started */
  unsigned moves;              /**< attempts that started on another machine than the last one */
  unsigned cancellations;      /**< cancellations that a user was told of */
  unsigned controller_returns; /**< controllers that ended and began again */
  unsigned machine_returns;    /**< machines that answered again after an absence */
  unsigned copies;             /**< copies of executed requests that arrived at a worker */
  unsigned late_requests;      /**< requests that were executed after an absence */
  unsigned started_by_copy;    /**< broken: tasks that a copy of an executed request started */
  unsigned ran_twice;          /**< broken: tasks found on two machines at once */
  unsigned ran_cancelled;      /**< broken: tasks on a machine more than cancel_s after a user was
                                  told of the cancellation */
  unsigned ran_done;           /**< broken: tasks that started after their job was done */
  unsigned log_differs;        /**< broken: tasks that run at the end and are not in the log, or
                                  that the log places and that do not run */
};
/** Runs one event for each step, and then the cluster without further events.
 *  @param steps random numbers that determine the events */
struct late_copy_report run_late_copy_history(const uint32_t *steps, size_t n);
#ifdef __cplusplus
}
#endif
#endif
