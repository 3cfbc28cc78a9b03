/** Users: they submit, poll and cancel jobs over HTTP and wait for the answer. */
#ifndef TMX_FAKE_USERS_H
#define TMX_FAKE_USERS_H
#include <stdbool.h>
#include <stdint.h>

#include "net/cbor.h"
#include "controller/controller_internal.h"

/** What a user gets back. */
struct fake_answer {
  bool done;      /**< an answer came within the time that a user waits */
  int status;     /**< of HTTP; 0: the connection failed or timed out */
  char state[16]; /**< of the job, as in the answer; empty: it names none */
};

/** A submission. What is left out is 0: an array of class "c", of priority "normal", that runs
 *  10 s. */
struct fake_job {
  const char *id, *kind, *class, *team, *priority;
  uint32_t tasks;
  double cpus, estimate_s;
  const struct tmx_buffer *awaits; /**< the encoded list of the jobs it depends on; NULL: none */
  const struct tmx_buffer *types;  /**< the encoded list of machine types; NULL: any */
};

/** Appends the body of the submission of `job`. */
void encode_submission_of(struct tmx_buffer *buffer, const struct fake_job *job);
/** Appends the body of a submission with these fields; the others are left out. */
void encode_submission(struct tmx_buffer *buffer, const char *id, const char *kind, uint32_t tasks,
                       double cpus, const char *team);
/** Like encode_submission, for a job that depends on others.
 *  @param awaits the encoded list of their ids; NULL: none */
void encode_submission_awaiting(struct tmx_buffer *buffer, const char *id, const char *kind,
                                uint32_t tasks, double cpus, const char *team,
                                const struct tmx_buffer *awaits);

/** Submits `job`. @return the status of the answer */
int submit_job(struct tmx_controller *controller, const struct fake_job *job);
/** Submits a job with these fields; the others are left out. @return the status of the answer */
int submit_simple_job(struct tmx_controller *controller, const char *id, const char *kind,
                      uint32_t tasks, double cpus, const char *team);
/** Asks for the state of a job. */
struct fake_answer poll_job(struct tmx_controller *controller, const char *id);
/** Cancels a job. */
struct fake_answer cancel_job(struct tmx_controller *controller, const char *id);

/** Sends any request and runs the loop until its answer is here.
 *  @param body NULL: none; stays the caller's */
struct fake_answer send_request(struct tmx_controller *controller, const char *method,
                                const char *path, const struct tmx_buffer *body);

#endif
