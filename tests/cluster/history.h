/** @file A history of the events in a cluster: one JSON object per line, with times of one steady
 * clock. cluster_load writes it, history_checker checks it for violations. */
#ifndef CLUSTER_HISTORY_H
#define CLUSTER_HISTORY_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Opens the file of the history. @param path path of the file; NULL: nothing is written */
void history_open(const char *path);
/** Closes the file. */
void history_close(void);

/** Records a response to a user.
 *  @param ask the request: "submit", "poll" or "cancel"
 *  @param final whether the final polls had begun, which come after all submissions and failures */
void history_response(const char *ask, const char *job, unsigned tasks, int status,
                      const char *state, bool final);
/** Records that a placement was committed. */
void history_placed(const char *task, uint32_t attempt, const char *machine);
/** Records each placement in a value that the store committed, if the value is a log batch. A
 * handler for fake_on_write. */
void history_commit(const char *key, const uint8_t *value, size_t length);
/** Records that a worker received a command.
 *  @param node index of the controller that sent it
 *  @param token its fencing token */
void history_command(const char *machine, int node, uint64_t token, const char *operation,
                     const char *task, uint32_t attempt);
/** Records that a task started on a machine. */
void history_begin(const char *machine, const char *task, uint32_t attempt);
/** Records that a task ended on a machine. @param how "done" or another reason; "lease": the
 * worker's session ended, and the worker has forgotten the attempt, which may have ended before */
void history_end(const char *machine, const char *task, uint32_t attempt, const char *how);

/** The number of lines, and the number of violations of each rule. */
struct history_findings {
  unsigned lines, unreadable;
  unsigned lost;       /**< accepted jobs that no final poll found */
  unsigned overlaps;   /**< starts of a task that was already running */
  unsigned restarts;   /**< starts of an attempt that ended before in the same session */
  unsigned two_owners; /**< commands of two controllers with the same term, or of an earlier term */
  unsigned unplanned;  /**< starts on another machine or of another attempt than last placed */
  unsigned went_back;  /**< responses that lose an accepted job or change a final state */
  unsigned
      not_done; /**< jobs reported done before all tasks were, or cancelled without a request */
};

/** Checks a history. @param out receives each violation, with its line */
struct history_findings history_check(FILE *in, FILE *out);
/** Returns the sum of all violations, including unreadable lines. */
unsigned history_count_violations(const struct history_findings *findings);

#endif
