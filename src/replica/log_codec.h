/**
 * @file
 * Encoding of the log's lines, and of the values of batches and snapshot pages.
 *
 * A value holds job records (job_record.h) and lines. A line is text: a letter for its kind, then
 * fields separated by spaces. operation.h describes the lines of task operations. Values are
 * stored, so their format must not change. All functions are pure: any thread may call them.
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

/** First letter of a line that holds no task operations. */
enum tmx_line_kind {
  TMX_LINE_MACHINE = 'm',          /**< registers a machine */
  TMX_LINE_MACHINE_DRAINING = 'd', /**< starts or stops draining a machine */
  TMX_LINE_MACHINE_REMOVED = 'x',  /**< removes a machine that is confirmed to be gone */
  TMX_LINE_TASK_RANGE = 't',       /**< pages only: consecutive tasks with the same state */
  TMX_LINE_PERMITTED_TYPE = 'y',   /**< adds a machine type that a job permits */
  TMX_LINE_DEPENDENCIES = 'w' /**< ids of some of a job's prerequisites, from a given position */
};

/**
 * State of the tasks in a TMX_LINE_TASK_RANGE. A placed task that was asked to stop has its enum
 * tmx_stop_mode as a digit instead.
 */
enum tmx_task_range_state {
  TMX_TASK_RANGE_DONE = 'd',    /**< completed */
  TMX_TASK_RANGE_WAITING = 'w', /**< waiting to be placed again */
  TMX_TASK_RANGE_PLACED = 'p'   /**< placed, and not asked to stop */
};

/**
 * Splits a line at its spaces. Works in place, since a starting controller reads thousands of
 * lines.
 * @param line the line; its spaces are overwritten.
 * @param fields receives at most `max` fields, which point into the line.
 * @param max size of `fields`.
 * @return number of fields, at most `max`.
 */
size_t tmx_log_line_split(char *line, char **fields, size_t max);
/**
 * Parses a field that consists of decimal digits.
 * @return false if the field is anything else or exceeds 32 bits.
 */
bool tmx_log_line_parse_u32(const char *text, uint32_t *value);

/** Writes a line with one machine type that the job with this id permits. */
void tmx_permitted_type_line_print(char *out, size_t capacity, const char *id, const char *type);
/**
 * Writes a line with the ids of as many of a job's prerequisites as fit.
 * @param out receives the line with a terminating zero.
 * @param capacity size of `out` in bytes.
 * @param id the job's id.
 * @param ids the ids of all prerequisites of the job.
 * @param from position of the first id to write; moves past the last id written.
 */
void tmx_dependency_line_print(char *out, size_t capacity, const char *id,
                               const struct tmx_job_ids *ids, uint32_t *from);
/** Writes the line that registers a machine as it is now. @return its length, as snprintf() does.
 */
int tmx_machine_line_print(char *out, size_t capacity, const struct tmx_replica *replica,
                           const struct tmx_machine *machine);
/**
 * Writes a page's line for a range of tasks that share their state and attempt number.
 * @param out receives the line with a terminating zero.
 * @param capacity size of `out` in bytes.
 * @param job the job.
 * @param from index of the range's first task.
 * @param length receives the line's length; 0 if the tasks were never placed and get no line.
 * @return number of tasks in the range.
 */
uint32_t tmx_task_range_line_print(char *out, size_t capacity, const struct tmx_job *job,
                                   uint32_t from, int *length);

/**
 * Appends the value of a batch or page.
 * @param buffer receives the value at its end.
 * @param jobs the encoded job records.
 * @param n_jobs number of records in `jobs`.
 * @param lines the encoded lines.
 * @param n_lines number of lines in `lines`.
 */
void tmx_log_value_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
                          const struct tmx_buffer *lines, size_t n_lines);
/** The list of job records in a value; NULL: none. */
const cbor_item_t *tmx_log_value_jobs(const cbor_item_t *value);
/** The list of lines in a value; NULL: none. */
const cbor_item_t *tmx_log_value_lines(const cbor_item_t *value);
#endif
