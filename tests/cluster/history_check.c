/* Checks a history line by line, with a table each of jobs, tasks and machines. */
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
  bool accepted, asked_to_cancel, known_at_end;
  unsigned tasks, tasks_done;
  char final_state[16]; /* done or cancelled, once a response reported it */
  UT_hash_handle hh;
};
struct task {
  char id[NAME_BYTES];
  char machine[NAME_BYTES]; /* machine that runs the task; empty: none */
  char placed[NAME_BYTES];  /* machine of the latest attempt in the log */
  unsigned attempt;
  unsigned ended_attempt; /* latest attempt that ended within its worker's session; 0: none */
  bool done;
  UT_hash_handle hh;
};
struct machine {
  char id[NAME_BYTES];
  uint64_t term;
  int owner; /* controller whose commands it received in this term */
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

static void add_finding(struct check *check, unsigned *count, const char *rule) {
  ++*count;
  fprintf(check->out, "%s: %s", rule, check->line);
}

/* Finds the record with the given name, or adds one. `table` is an lvalue, and `record` is the
 * variable that receives the record. */
#define FIND_OR_ADD(table, name, record)                    \
  do {                                                      \
    HASH_FIND_STR((table), (name), (record));               \
    if (record) break;                                      \
    (record) = calloc(1, sizeof *(record));                 \
    if (!(record)) abort();                                 \
    snprintf((record)->id, sizeof(record)->id, "%s", name); \
    HASH_ADD_STR(table, id, record);                        \
  } while (0)

static struct job *job_of(struct check *check, const char *id) {
  struct job *job;
  FIND_OR_ADD(check->jobs, id, job);
  return job;
}
static struct task *task_of(struct check *check, const char *id) {
  struct task *task;
  FIND_OR_ADD(check->tasks, id, task);
  return task;
}

static void on_user_response(struct check *check, const char *ask, const char *id, unsigned tasks,
                             int status, const char *state, bool final) {
  struct job *job = job_of(check, id);
  struct history_findings *findings = &check->findings;
  if (tasks) job->tasks = tasks;
  if (!strcmp(ask, "cancel")) job->asked_to_cancel = true;
  if (status == 404 && job->accepted)
    add_finding(check, &findings->went_back, "an accepted job is unknown");
  if (status != 200 && status != 201) return;
  job->accepted = true;
  job->known_at_end |= final;
  bool is_final = !strcmp(state, WV_DONE) || !strcmp(state, WV_CANCELLED);
  if (job->final_state[0] && strcmp(job->final_state, state))
    add_finding(check, &findings->went_back, "a final state changed");
  if (!is_final || job->final_state[0]) return;
  snprintf(job->final_state, sizeof job->final_state, "%s", state);
  if (!strcmp(state, WV_CANCELLED) && !job->asked_to_cancel)
    add_finding(check, &findings->not_done, "cancelled without a request");
  if (!strcmp(state, WV_DONE) && job->tasks_done < job->tasks)
    add_finding(check, &findings->not_done, "reported done before its tasks were");
}

static void on_command(struct check *check, const char *machine_id, int node, uint64_t token) {
  struct machine *machine;
  FIND_OR_ADD(check->machines, machine_id, machine);
  uint64_t term = token >> TMX_TOKEN_SEQUENCE_BITS;
  bool other = term == machine->term && node != machine->owner;
  if (term < machine->term || other)
    add_finding(check, &check->findings.two_owners,
                "commands of two owners in one term, or of an earlier term");
  machine->term = term;
  machine->owner = node;
}

static void on_begin(struct check *check, const char *id, unsigned attempt, const char *machine) {
  struct task *task = task_of(check, id);
  if (task->machine[0])
    add_finding(check, &check->findings.overlaps, "started while already running");
  if (attempt <= task->ended_attempt)
    add_finding(check, &check->findings.restarts, "an ended attempt was started again");
  if (strcmp(task->placed, machine) || task->attempt != attempt)
    add_finding(check, &check->findings.unplanned, "started without a committed placement");
  snprintf(task->machine, sizeof task->machine, "%s", machine);
}

/* The end of a session makes the worker forget all attempts. Those whose ends were not recorded in
 * the log may then be started again. */
static void record_ended_attempt(struct task *task, unsigned attempt, const char *how) {
  if (strcmp(how, "lease"))
    task->ended_attempt = attempt;
  else if (task->ended_attempt == attempt)
    task->ended_attempt = 0;
}

static void on_end(struct check *check, const char *id, unsigned attempt, const char *machine,
                   const char *how) {
  struct task *task = task_of(check, id);
  char name[NAME_BYTES];
  record_ended_attempt(task, attempt, how);
  if (!strcmp(task->machine, machine)) task->machine[0] = 0;
  if (strcmp(how, WV_DONE) || task->done) return;
  task->done = true;
  snprintf(name, sizeof name, "%.*s", (int)strcspn(id, "/"), id);
  job_of(check, name)->tasks_done++;
}

static void check_event(struct check *check, json_t *event) {
  const char *what = "", *ask = "", *job = "", *state = "", *machine = "", *task = "", *how = "";
  int tasks = 0, status = 0, node = 0, attempt = 0, final = 0;
  json_int_t token = 0;
  json_unpack(event, "{s?s s?s s?s s?s s?s s?s s?s}", "what", &what, "ask", &ask, "job", &job,
              "state", &state, "machine", &machine, "task", &task, "how", &how);
  json_unpack(event, "{s?i s?i s?i s?i s?b s?I}", "tasks", &tasks, "status", &status, "node", &node,
              "attempt", &attempt, "final", &final, "token", &token);
  if (!strcmp(what, "answer")) {
    on_user_response(check, ask, job, (unsigned)tasks, status, state, final);
  } else if (!strcmp(what, "order")) {
    on_command(check, machine, node, (uint64_t)token);
  } else if (!strcmp(what, "placed")) {
    struct task *placed = task_of(check, task);
    snprintf(placed->placed, sizeof placed->placed, "%s", machine);
    placed->attempt = (unsigned)attempt;
  } else if (!strcmp(what, "begin")) {
    on_begin(check, task, (unsigned)attempt, machine);
  } else if (!strcmp(what, "end")) {
    on_end(check, task, (unsigned)attempt, machine, how);
  } else {
    check->findings.unreadable++;
  }
}

static void check_jobs_known_at_end(struct check *check) {
  struct job *job, *next;
  HASH_ITER(hh, check->jobs, job, next) {
    check->line = job->id;
    if (job->accepted && !job->known_at_end) {
      add_finding(check, &check->findings.lost, "unknown at the end");
      fputc('\n', check->out);
    }
    HASH_DEL(check->jobs, job);
    free(job);
  }
}

struct history_findings history_check(FILE *input, FILE *out) {
  struct check check = {.out = out};
  char line[LINE_MAX_BYTES];
  check.line = line;
  while (fgets(line, sizeof line, input)) {
    json_t *event = json_loads(line, 0, NULL);
    check.findings.lines++;
    if (event)
      check_event(&check, event);
    else
      check.findings.unreadable++;
    json_decref(event);
  }
  check_jobs_known_at_end(&check);
  struct task *task, *next_task;
  HASH_ITER(hh, check.tasks, task, next_task) {
    HASH_DEL(check.tasks, task);
    free(task);
  }
  struct machine *machine, *next_machine;
  HASH_ITER(hh, check.machines, machine, next_machine) {
    HASH_DEL(check.machines, machine);
    free(machine);
  }
  return check.findings;
}

unsigned history_count_violations(const struct history_findings *findings) {
  return findings->unreadable + findings->lost + findings->overlaps + findings->restarts +
         findings->two_owners + findings->unplanned + findings->went_back + findings->not_done;
}
