/** A history of a cluster: what its parties did, one JSON object a line, with times of one clock.
 *  cluster_load writes it, history_checker judges it. */
#ifndef CLUSTER_HISTORY_H
#define CLUSTER_HISTORY_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Starts to write. @param path NULL: nothing is written */
void history_open(const char *path);
/** Ends the file. */
void history_close(void);

/** A user got an answer.
 *  @param ask "submit", "poll" or "cancel"
 *  @param final it was asked after all failures had ended */
void history_answer(const char *ask, const char *job, unsigned tasks, int status, const char *state,
                    bool final);
/** A placement was committed. */
void history_placed(const char *task, uint32_t attempt, const char *machine);
/** The store committed a value: each placement in a batch is recorded by history_placed. For
 *  fake_on_write. */
void history_commit(const char *key, const uint8_t *value, size_t length);
/** A worker received a command. @param node whose it was @param token its fencing token */
void history_command(const char *machine, int node, uint64_t token, const char *operation,
                     const char *task, uint32_t attempt);
/** A task started on a machine. */
void history_begin(const char *machine, const char *task, uint32_t attempt);
/** A task ended on a machine. @param how "done", or why else */
void history_end(const char *machine, const char *task, uint32_t attempt, const char *how);

/** How often each rule is violated. */
struct history_findings {
  unsigned lines, unreadable;
  unsigned lost;       /**< jobs accepted, and unknown at the end */
  unsigned overlaps;   /**< a task started on a machine while it ran on one */
  unsigned two_owners; /**< commands of two controllers with one term, or of an earlier term */
  unsigned unplanned;  /**< a task started where no committed placement had it */
  unsigned went_back;  /**< an answer older than one given before */
  unsigned not_done;   /**< done before all tasks were, or cancelled without a request */
};

/** Judges a history. @param out each violation is printed there, with its line */
struct history_findings history_check(FILE *in, FILE *out);
/** The sum of all violations, unreadable lines included. */
unsigned history_count_violations(const struct history_findings *findings);

#endif
