/**
 * @file
 * Task operations of the log, and their encoding as lines of text.
 *
 * The lines are stored, so their format must not change. All functions are pure: any thread may
 * call them.
 */
#ifndef TMX_OPERATION_H
#define TMX_OPERATION_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tmx/constants.h"

/** Kind of an operation on a task. The value is the first letter of the operation's line. */
enum tmx_operation_kind {
  TMX_OPERATION_PLACE = 'p', /**< starts an attempt on a machine */
  TMX_OPERATION_STOP = 's',  /**< requests that an attempt stop */
  TMX_OPERATION_END = 'e'    /**< records how an attempt ended */
};
/** First letter of a line that holds a group: several operations of one kind on one job. */
enum tmx_operation_group_kind {
  TMX_OPERATION_GROUP_PLACE = 'P', /**< several placements */
  TMX_OPERATION_GROUP_END = 'E'    /**< several ends */
};
/** How an attempt ended. The value is the letter in the operation's line. */
enum tmx_end_reason {
  TMX_END_DONE = 'd',    /**< the task completed */
  TMX_END_STOPPED = 's', /**< the attempt stopped on request */
  TMX_END_ERROR = 'e',   /**< the attempt failed */
  TMX_END_REFUSED = 'r', /**< the worker rejected the attempt */
  TMX_END_LOST = 'l'     /**< the attempt was lost with its machine or worker */
};

/** One operation on one task. */
struct tmx_operation {
  char kind;                  /**< enum tmx_operation_kind */
  char job[TMX_ID_BYTES];     /**< id of the job */
  uint32_t task,              /**< index of the task within its job */
      attempt;                /**< number of the attempt */
  char machine[TMX_ID_BYTES]; /**< target machine; placements only */
  char reason;          /**< ends: enum tmx_end_reason; stops: enum tmx_stop_mode as a digit */
  uint32_t machine_cap; /**< maximum number of the job's tasks on the machine; 0: no limit;
                           placements only; not part of the line */
};

/** The `reason` of an operation that requests a stop of this mode (enum tmx_stop_mode). */
static inline char tmx_operation_stop_reason(int stop_mode) { return (char)('0' + stop_mode); }

/** Writes the operation's line. @return the line's length, as snprintf() does. */
int tmx_operation_print(char *out, size_t capacity, const struct tmx_operation *operation);
/** Parses a line that holds one operation. @return false if the line is anything else. */
bool tmx_operation_parse(const char *line, struct tmx_operation *operation);

/** Returns whether operations of this kind can be grouped in one line. */
bool tmx_operation_can_group(const struct tmx_operation *operation);
/**
 * Returns whether two operations, both of a kind that can be grouped, fit in the same group. They
 * do if they have the same job, kind and attempt number, and ends also the same reason.
 */
bool tmx_operation_same_group(const struct tmx_operation *left, const struct tmx_operation *right);
/** Writes the start of a group's line from the group's first operation. @return bytes written. */
int tmx_operation_group_head_print(char *out, size_t capacity,
                                   const struct tmx_operation *operation);
/** Writes the text that one operation adds to its group's line. @return bytes written. */
int tmx_operation_group_item_print(char *out, size_t capacity,
                                   const struct tmx_operation *operation);

/** Receives an operation. The operation is valid only during the call. */
typedef void (*tmx_operation_cb)(void *context, const struct tmx_operation *operation);
/**
 * Calls `callback` for each operation in the line, in order. Lines that are malformed or hold no
 * operations yield no calls; a malformed item of a group is skipped.
 */
void tmx_log_line_for_each_operation(const char *line, tmx_operation_cb callback, void *context);

/**
 * Parses `JOB/INDEX`.
 * @param text the text to parse.
 * @param job receives the job's id with a terminating zero.
 * @param capacity size of `job` in bytes.
 * @param index receives the index of the task within its job.
 * @return false if the text is malformed or the id does not fit.
 */
bool tmx_task_parse(const char *text, char *job, size_t capacity, uint32_t *index);
#endif
