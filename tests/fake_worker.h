/** Scripted workers: the agents of machines. A worker sends a heartbeat when the test says so, and
 *  answers the commands and the probes of controllers at its own address at any time. */
#ifndef TMX_FAKE_WORKER_H
#define TMX_FAKE_WORKER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "controller/controller_internal.h"

enum {
  FAKE_WORKER_TASKS_MAX = 64,   /**< tasks that a worker reports, those that ended included */
  FAKE_WORKER_COMMANDS_MAX = 64 /**< commands that it takes from one message */
};

/** A command as the worker received it. */
struct fake_command {
  char operation[8]; /**< WV_START, WV_STOP or WV_FORGET */
  char task[48];
  uint32_t attempt;
};

/** A task as the worker reports it. */
struct fake_reported_task {
  char task[48];
  char state[12]; /**< as on the wire */
  char why[12];   /**< how it ended; empty: it has not */
  uint32_t attempt;
};

struct fake_worker {
  char id[TMX_ID_BYTES]; /**< of its machine */
  char address[32];      /**< where it takes commands */
  struct tmx_http_server *server;
  bool fails_commands; /**< answers commands with 500 and executes none; probes are answered */
  bool unresponsive;   /**< answers commands and probes with 500 */
  uint64_t session;    /**< of the agent's process: a later one has a larger number */
  uint64_t sequence;   /**< of its latest report in this session */
  uint64_t token;      /**< fencing token: the largest that it saw; older ones are refused */
  struct fake_reported_task tasks[FAKE_WORKER_TASKS_MAX];
  size_t n_tasks;

  int report_status;                  /**< of the answer to the latest heartbeat */
  char redirected_to[TMX_NAME_BYTES]; /**< the controller that answer named; empty: none */
  uint64_t response_token;            /**< fencing token in that answer */

  struct fake_command commands_received[FAKE_WORKER_COMMANDS_MAX]; /**< not executed yet */
  size_t n_commands_received;
  unsigned command_requests; /**< requests with commands so far, the failed ones included */
  unsigned executed_starts;  /**< tasks started so far */
  /** Called after the commands of a controller with this token were executed; NULL: not. */
  void (*on_command)(struct fake_worker *worker, uint64_t token);
};

/** Makes a worker without tasks, in its first session, which listens on an address of its own. The
 *  test frees worker->server. */
void fake_worker_open(struct fake_worker *worker, const char *id);

/** Sends a heartbeat to `controller` and runs the loop until its answer is taken. */
void fake_worker_send_heartbeat(struct fake_worker *worker, struct tmx_controller *controller);
/** Appends the worker's report as it stands, for a test that sends it by its own means. */
void fake_worker_encode_report(const struct fake_worker *worker, struct tmx_buffer *buffer);
/** Takes the answer to a report that the test sent by its own means. */
void fake_worker_take_response(struct fake_worker *worker, int status, const uint8_t *body,
                               size_t length);

/** Whether the latest answer held this command. */
bool fake_worker_was_commanded(const struct fake_worker *worker, const char *operation,
                               const char *task, uint32_t attempt);
/** Executes the commands of the latest answer; the commands of a request are executed at once. */
void fake_worker_execute_commands(struct fake_worker *worker);
/** Sets how the worker reports an attempt of a task.
 *  @param state as on the wire; NULL: the attempt is reported no longer
 *  @param why how it ended; NULL: it has not */
void fake_worker_set_task(struct fake_worker *worker, const char *task, uint32_t attempt,
                          const char *state, const char *why);

#endif
