#include "late_copy_history.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "controller_fixture.h"
#include "net/http.h"
#include "tmx/wire.h"

enum {
  WORKERS = 3,
  CONTROLLERS = 2,
  JOBS_MAX = 64,
  TASKS_MAX = 3, /* of one job */
  KEPT_REPORTS = 32,
  HTTP_CREATED = 201,
  HTTP_OK = 200
};

/* s; longest time between two checks of the leases */
static const double TICK_S = 0.25;
/* s; time between two heartbeats of a worker */
static const double HEARTBEAT_PERIOD_S = 2;
/* s; the cluster runs for this long after the last event */
static const unsigned QUIET_S = 30;
/* s; settings of the workers, short so that histories are short */
static const double LEASE_S = 10, CANCEL_S = 20;

/* A machine as the test sees it, besides its fake worker. */
struct machine {
  struct fake_worker *worker;
  struct fake_request_record record; /* all command requests that it received */
  bool away;                         /* it hangs or is cut off: no message arrives or leaves */
  size_t first_held;                 /* requests from this one on were held up by the absence */
  double heartbeat_at;               /* s: when the last heartbeat was sent */
  double renewed_at;                 /* s: when the last heartbeat that was answered was sent */
  unsigned starts_seen;              /* executed_starts when the tasks were last judged */
};

struct job {
  char id[16];
  uint32_t shape;      /* the random number that its submission follows */
  double cancelled_at; /* s: when a user was told; 0: not cancelled */
  bool done;           /* a user was told that it is done */
  uint32_t last_attempt[TASKS_MAX];
  int last_machine[TASKS_MAX];
};

/* A report that was sent, to be sent again. */
struct kept_report {
  struct tmx_buffer body;
};

static struct {
  struct machine machines[WORKERS];
  struct job jobs[JOBS_MAX];
  size_t n_jobs;
  struct kept_report reports[KEPT_REPORTS];
  size_t n_reports; /* reports that were kept so far */
  struct late_copy_report result;
} history;

static struct tmx_controller **controller_slot(size_t index) {
  return index ? &second_controller : &first_controller;
}

static struct tmx_controller *running_controller(size_t index) {
  struct tmx_controller *controller = *controller_slot(index % CONTROLLERS);
  return controller ? controller : *controller_slot(!(index % CONTROLLERS));
}

static struct job *find_job(const char *task, uint32_t *index) {
  for (size_t i = 0; i < history.n_jobs; i++) {
    size_t length = strlen(history.jobs[i].id);
    if (strncmp(task, history.jobs[i].id, length) || task[length] != '/') continue;
    *index = (uint32_t)strtoul(task + length + 1, NULL, 10);
    return *index < TASKS_MAX ? &history.jobs[i] : NULL;
  }
  return NULL;
}

static bool is_on_machine(const struct fake_reported_task *task) {
  return strcmp(task->state, WV_EXITED) != 0;
}

static bool runs_elsewhere(const struct machine *machine, const char *task) {
  for (size_t i = 0; i < WORKERS; i++) {
    const struct fake_worker *other = history.machines[i].worker;
    for (size_t k = 0; k < other->n_tasks && other != machine->worker; k++)
      if (!strcmp(other->tasks[k].task, task) && is_on_machine(&other->tasks[k])) return true;
  }
  return false;
}

static void judge_task(struct machine *machine, const struct fake_reported_task *task) {
  struct late_copy_report *result = &history.result;
  uint32_t index;
  struct job *job = find_job(task->task, &index);
  int number = (int)(machine - history.machines);
  if (!job || !is_on_machine(task)) return;
  result->ran_twice += runs_elsewhere(machine, task->task);
  if (job->cancelled_at) result->ran_cancelled += tmx_clock_steady() > job->cancelled_at + CANCEL_S;
  if (task->attempt <= job->last_attempt[index]) return;
  result->ran_done += job->done;
  result->moves += job->last_attempt[index] && job->last_machine[index] != number;
  job->last_attempt[index] = task->attempt;
  job->last_machine[index] = number;
}

static void judge_machine(struct machine *machine) {
  const struct fake_worker *worker_now = machine->worker;
  history.result.starts += worker_now->executed_starts - machine->starts_seen;
  machine->starts_seen = worker_now->executed_starts;
  for (size_t i = 0; i < worker_now->n_tasks; i++) judge_task(machine, &worker_now->tasks[i]);
}

static struct machine *machine_of(const struct fake_worker *wanted) {
  for (size_t i = 0; i < WORKERS; i++)
    if (history.machines[i].worker == wanted) return &history.machines[i];
  return NULL;
}

static void on_command(struct fake_worker *commanded, const struct fake_command_request *request) {
  (void)request;
  judge_machine(machine_of(commanded));
}

/* The worker kills and forgets its tasks and goes on with the next session. */
static void begin_session(struct machine *machine) {
  machine->worker->session++;
  machine->worker->n_tasks = 0;
  machine->renewed_at = tmx_clock_steady();
}

static void keep_report(const struct fake_worker *sender) {
  struct tmx_buffer *body = &history.reports[history.n_reports++ % KEPT_REPORTS].body;
  tmx_buffer_free(body);
  fake_worker_encode_report(sender, body);
}

static void send_heartbeat(struct machine *machine) {
  machine->heartbeat_at = tmx_clock_steady();
  for (size_t i = 0; i < CONTROLLERS && !machine->away; i++) {
    struct tmx_controller *controller = *controller_slot(i);
    double sent_at = tmx_clock_steady();
    if (!controller) continue;
    fake_worker_send_heartbeat(machine->worker, controller);
    keep_report(machine->worker);
    if (machine->worker->report_status != HTTP_OK ||
        machine->worker->response_token < machine->worker->token)
      continue;
    machine->renewed_at = sent_at;
    fake_worker_execute_commands(machine->worker);
    judge_machine(machine);
    return;
  }
}

static void tick_machine(struct machine *machine) {
  double now = tmx_clock_steady();
  if (now - machine->renewed_at > LEASE_S) begin_session(machine);
  if (now - machine->heartbeat_at >= HEARTBEAT_PERIOD_S) send_heartbeat(machine);
  judge_machine(machine);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)events;
  *(bool *)timer->data = true;
  ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop for one tick. Unlike run_loop_for(), it wakes only when there is something to do.
 */
static void run_tick(void) {
  bool passed = false;
  ev_timer timer;
  ev_now_update(test_loop);
  ev_timer_init(&timer, on_tick, TICK_S, 0);
  timer.data = &passed;
  ev_timer_start(test_loop, &timer);
  while (!passed) ev_run(test_loop, EVRUN_ONCE);
  ev_timer_stop(test_loop, &timer);
}

static void run_for(double seconds) {
  for (double end = tmx_clock_steady() + seconds; tmx_clock_steady() < end;) {
    run_tick();
    for (size_t i = 0; i < WORKERS; i++) tick_machine(&history.machines[i]);
  }
}

/* Submits the job, or repeats its submission. Returns the HTTP status. */
static int submit_to(struct tmx_controller *controller, const struct job *job) {
  const bool urgent = job->shape % 4 == 3;
  const struct fake_job submitted = {.id = job->id,
                                     .team = "t",
                                     .kind = job->shape % 3 ? WV_ARRAY : "service",
                                     .priority = urgent ? "prod" : "idle",
                                     .tasks = 1 + job->shape / 7 % TASKS_MAX,
                                     .cpus = urgent ? 12 : 6,
                                     .estimate_s = 60};
  return submit_job(controller, &submitted);
}

static void submit(uint32_t random) {
  struct tmx_controller *controller = running_controller(random);
  if (history.n_jobs == JOBS_MAX || !controller) return;
  struct job *job = &history.jobs[history.n_jobs];
  snprintf(job->id, sizeof job->id, "wk-%06zu", history.n_jobs);
  job->shape = random;
  int status = submit_to(controller, job);
  /* 200: an earlier submission of this id was accepted, and its response was lost */
  if (status == HTTP_CREATED || status == HTTP_OK) history.n_jobs++;
}

static void repeat_submission(uint32_t random) {
  struct tmx_controller *controller = running_controller(random);
  if (history.n_jobs && controller)
    submit_to(controller, &history.jobs[random / CONTROLLERS % history.n_jobs]);
}

static void cancel(uint32_t random) {
  if (!history.n_jobs || !running_controller(random)) return;
  struct job *job = &history.jobs[random / 2 % history.n_jobs];
  struct fake_response response = cancel_job(running_controller(random), job->id);
  if (response.status != HTTP_OK) return;
  if (!strcmp(response.state, WV_DONE)) job->done = true;
  if (strcmp(response.state, WV_CANCELLED) || job->cancelled_at) return;
  job->cancelled_at = tmx_clock_steady();
  history.result.cancellations++;
}

static void end_task(uint32_t random) {
  static const char *const reasons[] = {WV_DONE, WV_DONE, WV_ERROR, "no_room"};
  struct fake_worker *chosen = history.machines[random % WORKERS].worker;
  if (!chosen->n_tasks || history.machines[random % WORKERS].away) return;
  struct fake_reported_task *task = &chosen->tasks[random / 3 % chosen->n_tasks];
  if (strcmp(task->state, WV_RUNNING)) return;
  snprintf(task->state, sizeof task->state, WV_EXITED);
  snprintf(task->reason, sizeof task->reason, "%s", reasons[random / 64 % 4]);
  send_heartbeat(&history.machines[random % WORKERS]);
}

static void leave(uint32_t random) {
  struct machine *machine = &history.machines[random % WORKERS];
  if (machine->away) return;
  machine->away = machine->worker->unresponsive = true;
  machine->first_held = machine->record.n_requests;
}

/* The machine answers again. The network or the machine held back the requests of the meantime, and
 * it executes them, if token and session still match, before it sends anything. Its tasks may be
 * gone. */
static void come_back(uint32_t random) {
  struct machine *machine = &history.machines[random % WORKERS];
  if (!machine->away) return;
  if (random / 3 % 3 == 0) begin_session(machine);
  for (size_t i = machine->first_held; i < machine->record.n_requests; i++) {
    if (fake_worker_execute_request(machine->worker, &machine->record.requests[i]) != HTTP_OK)
      continue;
    machine->record.executed[i] = true;
    history.result.late_requests++;
    judge_machine(machine);
  }
  machine->away = machine->worker->unresponsive = false;
  history.result.machine_returns++;
  if (random / 16 % 2) send_heartbeat(machine);
}

static void restart_controller(uint32_t random) {
  static const double absences_s[] = {0, 0.2, 0.7, 8};
  size_t index = random % CONTROLLERS;
  struct tmx_controller **slot = controller_slot(index);
  if (!*slot) return;
  stop_controller(*slot);
  *slot = NULL;
  if (random / 2 % 4) run_for(absences_s[random / 2 % 4]);
  *slot = start_controller((int)index, CONTROLLERS);
  history.result.controller_returns++;
}

/* A copy of an executed request arrives. Its response reaches no controller. */
static void deliver_copy(struct machine *machine, size_t request) {
  if (machine->away || !machine->record.executed[request]) return;
  unsigned starts_before = machine->worker->executed_starts;
  history.result.copies++;
  fake_worker_execute_request(machine->worker, &machine->record.requests[request]);
  history.result.started_by_copy += machine->worker->executed_starts - starts_before;
  judge_machine(machine);
}

static void deliver_any_copy(uint32_t random) {
  struct machine *machine = &history.machines[random % WORKERS];
  if (machine->record.n_requests)
    deliver_copy(machine, random / WORKERS % machine->record.n_requests);
}

static void deliver_all_copies(void) {
  for (size_t i = 0; i < WORKERS; i++)
    for (size_t k = 0; k < history.machines[i].record.n_requests; k++)
      deliver_copy(&history.machines[i], k);
}

static void ignore_response(void *argument, int status, const uint8_t *body, size_t length) {
  (void)status;
  (void)body;
  (void)length;
  *(bool *)argument = true;
}

static bool is_true(void *argument) { return *(bool *)argument; }

static void send_late_report(uint32_t random) {
  size_t kept = history.n_reports < KEPT_REPORTS ? history.n_reports : KEPT_REPORTS;
  struct tmx_controller *controller = running_controller(random);
  if (!kept || !controller) return;
  const struct tmx_buffer *body = &history.reports[random / 2 % kept].body;
  struct tmx_http_client *client = new_controller_client(controller);
  bool answered = false;
  if (tmx_http_client_call(client, "POST", WP_REPORT, body, 5, ignore_response, &answered))
    run_loop_until(is_true, &answered);
  tmx_http_client_free(client);
}

static void play_event(uint32_t random) {
  const uint32_t rest = random / 16;
  switch (random % 16) {
    case 0:
    case 1:
    case 2:
      submit(rest);
      break;
    case 3:
      cancel(rest);
      break;
    case 4:
    case 5:
      end_task(rest);
      break;
    case 6:
      leave(rest);
      break;
    case 7:
    case 8:
      come_back(rest);
      break;
    case 9:
      restart_controller(rest);
      break;
    case 10:
    case 11:
    case 12:
      deliver_any_copy(rest);
      break;
    case 13:
      if (rest % 2)
        send_late_report(rest / 2);
      else
        repeat_submission(rest / 2);
      break;
    case 14:
      begin_session(&history.machines[rest % WORKERS]);
      break;
    case 15:
      run_for(1 + rest % 4);
      break;
    default:
      break;
  }
}

static void adjust_settings(struct tmx_settings *settings) {
  settings->teams[0].cpus_max = 0;
  settings->lease_s = LEASE_S;
  settings->cancel_s = CANCEL_S;
  fake_cloud.refuse_delete = true; /* the machines stay, so that absences can end */
}

static void open_history(void) {
  memset(&history.result, 0, sizeof history.result);
  memset(history.jobs, 0, sizeof history.jobs);
  history.n_jobs = history.n_reports = 0;
  tmx_log_init("history");
  fake_adjust_settings = adjust_settings;
  setup_two_settled_controllers(NULL);
  for (size_t i = 0; i < WORKERS; i++) {
    struct machine *machine = &history.machines[i];
    memset(machine, 0, sizeof *machine);
    machine->worker = i ? &other_workers[i - 1] : &worker;
    machine->worker->record = &machine->record;
    machine->worker->on_command = on_command;
    machine->renewed_at = tmx_clock_steady();
    register_worker(machine->worker);
  }
}

static void close_history(void) {
  teardown_controllers(NULL);
  for (size_t i = 0; i < KEPT_REPORTS; i++) tmx_buffer_free(&history.reports[i].body);
}

static unsigned count_on_machines(void) {
  unsigned count = 0;
  for (size_t i = 0; i < WORKERS; i++)
    for (size_t k = 0; k < history.machines[i].worker->n_tasks; k++)
      count += is_on_machine(&history.machines[i].worker->tasks[k]);
  return count;
}

struct late_copy_report run_late_copy_history(const uint32_t *steps, size_t n) {
  open_history();
  for (size_t i = 0; i < n; i++) {
    play_event(steps[i]);
    run_for(TICK_S);
  }
  for (uint32_t i = 0; i < WORKERS; i++) come_back(i + WORKERS);
  deliver_all_copies();
  run_for(QUIET_S);
  deliver_all_copies();
  unsigned on_machines = count_on_machines(), placed = fake_count_placed_tasks();
  history.result.log_differs = on_machines > placed ? on_machines - placed : placed - on_machines;
  close_history();
  return history.result;
}
