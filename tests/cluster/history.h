/* What the parties of a cluster did, one JSON object a line, with one clock: written by the load
 * program, judged by the checker. */
#ifndef CLUSTER_HISTORY_H
#define CLUSTER_HISTORY_H
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* ------------------------------------------------------------ writing */

void history_open(const char *path); /* NULL: nothing is written */
void history_close(void);
/* A user's answer. ask: "submit", "poll" or "cancel"; final: asked after all troubles. */
void history_answer(const char *ask, const char *job, unsigned tasks, int status, const char *state,
                    bool final);
void history_placed(const char *task, uint32_t attempt, const char *machine); /* committed */
/* An order that a worker executed, by whom and with which token. */
void history_order(const char *machine, int node, uint64_t token, const char *verb,
                   const char *task, uint32_t attempt);
/* A task began or ended on a machine; how: "done", or why else. */
void history_begin(const char *machine, const char *task, uint32_t attempt);
void history_end(const char *machine, const char *task, uint32_t attempt, const char *how);

/* ------------------------------------------------------------ checking */

/* The rules that a history breaks; each finding is printed to `out`. */
struct history_findings {
  unsigned lines, unreadable;
  unsigned lost;       /* accepted, and not known at the end */
  unsigned overlaps;   /* a task began on a machine while it was on one */
  unsigned two_owners; /* orders of two controllers with one term, or of an earlier term */
  unsigned unplanned;  /* started, and no commit had placed it there */
  unsigned went_back;  /* an answer older than one given before */
  unsigned not_done;   /* called done before all tasks were, or cancelled without being asked */
};
struct history_findings history_check(FILE *input, FILE *out);
unsigned history_broken(const struct history_findings *findings);
#endif
