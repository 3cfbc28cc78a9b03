/**
 * @file
 * Operations of the log on tasks, and the lines that tell of them.
 *
 * The lines are stored: their form must not change. Pure functions without shared state: any
 * thread may call them.
 */
#ifndef TMX_OPERATION_H
#define TMX_OPERATION_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tmx/constants.h"

/** What an operation does to a task; the value is the letter with which its line begins. */
enum tmx_operation_kind {
  TMX_OPERATION_PLACE = 'p', /**< begins an attempt on a machine */
  TMX_OPERATION_STOP = 's',  /**< asks an attempt to stop */
  TMX_OPERATION_END = 'e'    /**< tells how an attempt ended */
};
/** First letter of a line that tells of several operations on one job. */
enum tmx_operation_group_kind {
  TMX_OPERATION_GROUP_PLACE = 'P', /**< several placements */
  TMX_OPERATION_GROUP_END = 'E'    /**< several ends */
};
/** How an attempt ended; the value is the letter in its line. */
enum tmx_end_reason {
  TMX_END_DONE = 'd',    /**< the task completed */
  TMX_END_STOPPED = 's', /**< it was asked to stop, and has */
  TMX_END_ERROR = 'e',   /**< it failed */
  TMX_END_REFUSED = 'r', /**< the worker did not take it */
  TMX_END_LOST = 'l'     /**< it is gone with its machine or worker */
};

/** One operation on one task. */
struct tmx_operation {
  char kind;                /**< enum tmx_operation_kind */
  char job[TMX_ID_MAX];     /**< id of the job */
  uint32_t task,            /**< index of the task within its job */
      attempt;              /**< number of the attempt */
  char machine[TMX_ID_MAX]; /**< of a placement */
  char reason;              /**< of an end: enum tmx_end_reason; of a stop: enum tmx_stop_mode as a
                               digit */
  uint32_t machine_cap; /**< of a placement, not in the log: how many tasks of the job may be on the
                           machine; 0: any number */
};

/** Prints the operation's line. @return its length, as snprintf() does. */
int tmx_operation_print(char *out, size_t capacity, const struct tmx_operation *operation);
/** Reads the line of one operation. @return false if it is none. */
bool tmx_operation_parse(const char *line, struct tmx_operation *operation);

/** Tells whether operations of this kind may share a line. */
bool tmx_operation_can_group(const struct tmx_operation *operation);
/** Tells whether two operations may share a line: of one job and attempt, and of one kind of end.
 */
bool tmx_operation_same_group(const struct tmx_operation *left, const struct tmx_operation *right);
/** Prints what a group's line begins with, taken from its first operation. @return its length. */
int tmx_operation_group_head_print(char *out, size_t capacity,
                                   const struct tmx_operation *operation);
/** Prints what a group's line grows by with one operation. @return its length. */
int tmx_operation_group_item_print(char *out, size_t capacity,
                                   const struct tmx_operation *operation);

/** Receives an operation, which is valid during the call only. */
typedef void (*tmx_operation_cb)(void *context, const struct tmx_operation *operation);
/** Calls back for each operation that the line tells of, in its order; for none if it is malformed.
 */
void tmx_log_line_each_operation(const char *line, tmx_operation_cb callback, void *context);

/** Reads `JOB/INDEX`. @return false if it is malformed or the id is too long. */
bool tmx_task_parse(const char *text, char *job, size_t capacity, uint32_t *index);
#endif
