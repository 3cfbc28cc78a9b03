/** @file
 *  Fake workers, the agents that run on machines. A worker sends a heartbeat only when the test
 *  requests it. It answers commands and probes of controllers at its own address at any time. */
#ifndef TMX_FAKE_WORKER_H
#define TMX_FAKE_WORKER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "controller/controller_internal.h"

enum {
  FAKE_WORKER_TASKS_MAX = 64,      /**< maximum number of reported tasks, ended ones included */
  FAKE_WORKER_COMMANDS_MAX = 64,   /**< commands read from one message; more are ignored */
  FAKE_RECORDED_REQUESTS_MAX = 512 /**< command requests that one record can hold */
};

/** A command as the worker received it. */
struct fake_command {
  char operation[8]; /**< WV_START, WV_STOP or WV_FORGET */
  char task[48];
  uint32_t attempt;
};

/** A command request as the worker received it. */
struct fake_command_request {
  uint64_t token, session;
  struct fake_command commands[FAKE_WORKER_COMMANDS_MAX];
  size_t n_commands;
};

/** The command requests that arrived at a worker, failed ones included. */
struct fake_request_record {
  struct fake_command_request requests[FAKE_RECORDED_REQUESTS_MAX];
  bool executed[FAKE_RECORDED_REQUESTS_MAX]; /**< by request: it got 200 */
  size_t n_requests;
};

/** A task as the worker reports it. */
struct fake_reported_task {
  char task[48];
  char state[12];  /**< as on the wire */
  char reason[12]; /**< how it ended; empty: not ended */
  uint32_t attempt;
};

struct fake_worker {
  char id[TMX_ID_BYTES]; /**< id of the machine */
  char address[32];      /**< listen address for commands and probes */
  const char *zone;      /**< zone of the machine, by default "a" */
  struct tmx_http_server *server;
  bool fails_commands; /**< commands get 500 and are not executed; probes succeed */
  bool unresponsive;   /**< commands and probes get 500 */
  uint64_t session;    /**< number of the agent's process; a restart increases it */
  uint64_t sequence;   /**< number of the latest report in this session */
  uint64_t token;      /**< highest fencing token received; lower ones are rejected */
  struct fake_reported_task tasks[FAKE_WORKER_TASKS_MAX];
  size_t n_tasks;

  int report_status;                  /**< HTTP status of the latest heartbeat's response */
  char redirected_to[TMX_NAME_BYTES]; /**< owner named by that response; empty: none */
  uint64_t response_token;            /**< fencing token in that response; 0: none */

  struct fake_command commands_received[FAKE_WORKER_COMMANDS_MAX]; /**< commands not executed yet */
  size_t n_commands_received;
  unsigned command_requests;          /**< command requests so far, failed ones included */
  unsigned executed_starts;           /**< tasks started so far */
  struct fake_request_record *record; /**< not owned; NULL: requests are not recorded */
  /** Called after the commands of a request have been executed; NULL: no callback. */
  void (*on_command)(struct fake_worker *worker, const struct fake_command_request *request);
};

/** Initializes a worker without tasks, in session 1, that listens on its own address. The test
 *  frees worker->server. */
void fake_worker_open(struct fake_worker *worker, const char *id);

/** Sends a heartbeat to `controller` and runs the loop until the response has been handled. */
void fake_worker_send_heartbeat(struct fake_worker *worker, struct tmx_controller *controller);
/** Appends the worker's current report, for a test that sends the report itself. */
void fake_worker_encode_report(const struct fake_worker *worker, struct tmx_buffer *buffer);
/** Handles the response to a report that the test sent itself. */
void fake_worker_handle_response(struct fake_worker *worker, int status, const uint8_t *body,
                                 size_t length);

/** Whether this command was received and has not been executed yet. */
bool fake_worker_was_commanded(const struct fake_worker *worker, const char *operation,
                               const char *task, uint32_t attempt);
/** Executes the commands of the latest heartbeat response. Commands of a controller's request are
 *  executed on receipt. */
void fake_worker_execute_commands(struct fake_worker *worker);
/** Executes a command request if its token and session match. A test passes a recorded request as
 *  a late copy, whose response reaches no controller.
 *  @return the HTTP status of the response: 200 or 409 */
int fake_worker_execute_request(struct fake_worker *worker,
                                const struct fake_command_request *request);
/** Sets how the worker reports an attempt of a task.
 *  @param state as on the wire; NULL: the attempt is removed from the report
 *  @param reason how it ended, as on the wire; NULL: not ended */
void fake_worker_set_task(struct fake_worker *worker, const char *task, uint32_t attempt,
                          const char *state, const char *reason);

#endif
