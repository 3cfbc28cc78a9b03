/* Judges a history line by line: what every party knew is kept in three tables. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "cluster/history.h"
#include "tmx/constants.h"
#include "tmx/wire.h"

enum { LINE_MAX_BYTES = 4096, NAME_BYTES = 96 };

struct job {
  char id[NAME_BYTES];
  bool accepted, asked_to_cancel, known_at_the_end;
  unsigned tasks, tasks_done;
  char final_state[16]; /* done or withdrawn, once told */
  UT_hash_handle hh;
};
struct task {
  char id[NAME_BYTES];
  char on[NAME_BYTES];     /* the machine that it is on; empty: none */
  char placed[NAME_BYTES]; /* where the log has its latest attempt */
  unsigned attempt;
  bool done;
  UT_hash_handle hh;
};
struct machine {
  char id[NAME_BYTES];
  uint64_t term;
  int node; /* whose orders of this term it executed */
  UT_hash_handle hh;
};
struct check {
  struct history_findings findings;
  struct job *jobs;
  struct task *tasks;
  struct machine *machines;
  FILE *out;
  const char *line;
};

static void found(struct check *c, unsigned *count, const char *rule) {
  ++*count;
  fprintf(c->out, "%s: %s", rule, c->line);
}

/* The record of that name, made when it is new. */
#define RECORD(table, name, record)                         \
  do {                                                      \
    HASH_FIND_STR(table, name, record);                     \
    if (record) break;                                      \
    record = calloc(1, sizeof *(record));                   \
    if (!(record)) abort();                                 \
    snprintf((record)->id, sizeof(record)->id, "%s", name); \
    HASH_ADD_STR(table, id, record);                        \
  } while (0)

static struct job *job_of(struct check *c, const char *id) {
  struct job *job;
  RECORD(c->jobs, id, job);
  return job;
}
static struct task *task_of(struct check *c, const char *id) {
  struct task *task;
  RECORD(c->tasks, id, task);
  return task;
}

static void on_answer(struct check *c, const char *ask, const char *id, unsigned tasks, int status,
                      const char *state, bool final) {
  struct job *job = job_of(c, id);
  struct history_findings *f = &c->findings;
  if (tasks) job->tasks = tasks;
  if (!strcmp(ask, "cancel")) job->asked_to_cancel = true;
  if (status == 404 && job->accepted) found(c, &f->went_back, "an accepted job is unknown");
  if (status != 200 && status != 201) return;
  job->accepted = true;
  job->known_at_the_end |= final;
  bool is_final = !strcmp(state, WV_DONE) || !strcmp(state, WV_CANCELLED);
  if (job->final_state[0] && strcmp(job->final_state, state))
    found(c, &f->went_back, "a final state changed");
  if (!is_final || job->final_state[0]) return;
  snprintf(job->final_state, sizeof job->final_state, "%s", state);
  if (!strcmp(state, WV_CANCELLED) && !job->asked_to_cancel)
    found(c, &f->not_done, "cancelled, and nobody asked");
  if (!strcmp(state, WV_DONE) && job->tasks_done < job->tasks)
    found(c, &f->not_done, "called done before its tasks were");
}

static void on_order(struct check *c, const char *machine_id, int node, uint64_t token) {
  struct machine *machine;
  RECORD(c->machines, machine_id, machine);
  uint64_t term = token >> TMX_TOKEN_SEQUENCE_BITS;
  bool other = term == machine->term && node != machine->node;
  if (term < machine->term || other) found(c, &c->findings.two_owners, "orders of two owners");
  machine->term = term;
  machine->node = node;
}

static void on_begin(struct check *c, const char *id, unsigned attempt, const char *machine) {
  struct task *task = task_of(c, id);
  if (task->on[0]) found(c, &c->findings.overlaps, "began while on a machine");
  if (strcmp(task->placed, machine) || task->attempt != attempt)
    found(c, &c->findings.unplanned, "started without a placement in the log");
  snprintf(task->on, sizeof task->on, "%s", machine);
}

static void on_end(struct check *c, const char *id, const char *how) {
  struct task *task = task_of(c, id);
  char name[NAME_BYTES];
  task->on[0] = 0;
  if (strcmp(how, WV_DONE) || task->done) return;
  task->done = true;
  snprintf(name, sizeof name, "%.*s", (int)strcspn(id, "/"), id);
  job_of(c, name)->tasks_done++;
}

static void judge_event(struct check *c, json_t *event) {
  const char *what = "", *ask = "", *job = "", *state = "", *machine = "", *task = "", *how = "";
  int tasks = 0, status = 0, node = 0, attempt = 0, final = 0;
  json_int_t token = 0;
  json_unpack(event, "{s?s s?s s?s s?s s?s s?s s?s}", "what", &what, "ask", &ask, "job", &job,
              "state", &state, "machine", &machine, "task", &task, "how", &how);
  json_unpack(event, "{s?i s?i s?i s?i s?b s?I}", "tasks", &tasks, "status", &status, "node", &node,
              "attempt", &attempt, "final", &final, "token", &token);
  if (!strcmp(what, "answer")) {
    on_answer(c, ask, job, (unsigned)tasks, status, state, final);
  } else if (!strcmp(what, "order")) {
    on_order(c, machine, node, (uint64_t)token);
  } else if (!strcmp(what, "placed")) {
    struct task *t = task_of(c, task);
    snprintf(t->placed, sizeof t->placed, "%s", machine);
    t->attempt = (unsigned)attempt;
  } else if (!strcmp(what, "begin")) {
    on_begin(c, task, (unsigned)attempt, machine);
  } else if (!strcmp(what, "end")) {
    on_end(c, task, how);
  } else {
    c->findings.unreadable++;
  }
}

static void judge_end(struct check *c) {
  struct job *job, *next;
  HASH_ITER(hh, c->jobs, job, next) {
    c->line = job->id;
    if (job->accepted && !job->known_at_the_end) {
      found(c, &c->findings.lost, "not known at the end");
      fputc('\n', c->out);
    }
    HASH_DEL(c->jobs, job);
    free(job);
  }
}

struct history_findings history_check(FILE *in, FILE *out) {
  struct check c = {.out = out};
  char line[LINE_MAX_BYTES];
  c.line = line;
  while (fgets(line, sizeof line, in)) {
    json_t *event = json_loads(line, 0, NULL);
    c.findings.lines++;
    if (event)
      judge_event(&c, event);
    else
      c.findings.unreadable++;
    json_decref(event);
  }
  judge_end(&c);
  struct task *task, *next_task;
  HASH_ITER(hh, c.tasks, task, next_task) {
    HASH_DEL(c.tasks, task);
    free(task);
  }
  struct machine *machine, *next_machine;
  HASH_ITER(hh, c.machines, machine, next_machine) {
    HASH_DEL(c.machines, machine);
    free(machine);
  }
  return c.findings;
}

unsigned history_broken(const struct history_findings *f) {
  return f->unreadable + f->lost + f->overlaps + f->two_owners + f->unplanned + f->went_back +
         f->not_done;
}
