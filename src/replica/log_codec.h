/**
 * @file
 * Lines of the log, and the values of batches and pages that hold them.
 *
 * A value holds records of jobs (job_record.h) and lines. A line is text: a letter that says what
 * it tells of, and fields separated by spaces. Lines on tasks are described in operation.h. All of
 * this is stored: its form must not change. Pure functions without shared state.
 */
#ifndef TMX_LOG_CODEC_H
#define TMX_LOG_CODEC_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "replica/job.h"
#include "replica/job_ids.h"
#include "replica/machine.h"

struct tmx_replica;

/** First letter of a line that tells of something else than operations on tasks. */
enum tmx_line_kind {
  TMX_LINE_MACHINE = 'm',          /**< a machine is registered */
  TMX_LINE_MACHINE_DRAINING = 'd', /**< a machine is to be returned, or no longer */
  TMX_LINE_MACHINE_REMOVED = 'x',  /**< a machine is proved to be gone */
  TMX_LINE_TASK_RUN = 't',         /**< of a page: adjacent tasks of a job that are alike */
  TMX_LINE_TYPE = 'y',             /**< one more machine type that a job permits */
  TMX_LINE_DEPENDENCIES = 'w'      /**< ids that a job names, from a position on */
};

/** State of the tasks of a TMX_LINE_TASK_RUN. A task that is asked to stop has its stop mode as a
 * digit instead. */
enum tmx_task_run_state {
  TMX_TASK_RUN_DONE = 'd',    /**< completed */
  TMX_TASK_RUN_WAITING = 'w', /**< waiting to be placed again */
  TMX_TASK_RUN_PLACED = 'p'   /**< placed, and not asked to stop */
};

/**
 * Splits a line at its spaces, in place: lines are read by the thousand when a controller starts.
 * @param line the line; its spaces are overwritten.
 * @param fields receives at most `max` fields, which point into the line.
 * @param max size of `fields`.
 * @return how many there are, at most `max`.
 */
size_t tmx_log_line_split(char *line, char **fields, size_t max);
/** Reads a field that holds nothing but a decimal number. @return false otherwise. */
bool tmx_log_line_parse_u32(const char *text, uint32_t *value);

/** Prints the line of one machine type that the job with this id permits. */
void tmx_type_print(char *out, size_t capacity, const char *id, const char *type);
/** Prints a line with ids from `*from` on, as many as fit; `*from` moves behind them. */
void tmx_dependency_line_print(char *out, size_t capacity, const char *id,
                               const struct tmx_job_ids *ids, uint32_t *from);
/** Prints the line of a machine as it stands. @return its length, as snprintf() does. */
int tmx_machine_print(char *out, size_t capacity, const struct tmx_replica *replica,
                      const struct tmx_machine *machine);
/**
 * Prints the line of the tasks of a job from index `from` on that are alike, for a page.
 * @param out receives the line with a terminating zero.
 * @param capacity size of `out` in bytes.
 * @param job the job.
 * @param from index of the first task.
 * @param length receives the line's length; 0 if the tasks were never placed and need no line.
 * @return how many tasks the line tells of.
 */
uint32_t tmx_task_run_print(char *out, size_t capacity, const struct tmx_job *job, uint32_t from,
                            int *length);

/** Appends a batch's or a page's value: encoded records of jobs, and encoded lines. */
void tmx_log_value_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
                          const struct tmx_buffer *lines, size_t n_lines);
/** The records of jobs in a value; NULL: none. */
const cbor_item_t *tmx_log_value_jobs(const cbor_item_t *value);
/** The lines in a value; NULL: none. */
const cbor_item_t *tmx_log_value_lines(const cbor_item_t *value);
#endif
