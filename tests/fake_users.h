/** @file
 *  Fake users, who submit, poll and cancel jobs over HTTP and wait for the response. */
#ifndef TMX_FAKE_USERS_H
#define TMX_FAKE_USERS_H
#include <stdbool.h>
#include <stdint.h>

#include "net/cbor.h"
#include "controller/controller_internal.h"

/** The response to a user's request. */
struct fake_response {
  bool done;      /**< a response or a failure was received within the wait */
  int status;     /**< HTTP status; 0: the connection failed or timed out */
  char state[16]; /**< state of the job; empty: the response has none */
};

/** A submission. Fields that are NULL or 0 get defaults: kind array, class "c", priority "normal",
 *  an estimate of 10 s. `id` and `team` have no default. */
struct fake_job {
  const char *id, *kind, *class, *team, *priority;
  uint32_t tasks;
  double cpus, estimate_s;
  /** The encoded list of the ids of jobs that this job depends on; NULL: none. */
  const struct tmx_buffer *dependencies;
  const struct tmx_buffer *types; /**< the encoded list of machine types; NULL: any */
  const char *zone;               /**< the only allowed zone; NULL: any */
  bool one_zone;                  /**< all tasks must be in the same zone */
  bool spread;                    /**< at most half of the tasks may be in one zone */
};

/** Appends the request body that submits `job`. */
void encode_job_submission(struct tmx_buffer *buffer, const struct fake_job *job);
/** Appends the request body that submits a job with these fields and defaults for the others. */
void encode_submission(struct tmx_buffer *buffer, const char *id, const char *kind, uint32_t tasks,
                       double cpus, const char *team);
/** Like encode_submission, for a job that depends on other jobs.
 *  @param dependencies the encoded list of their ids; NULL: none */
void encode_submission_with_dependencies(struct tmx_buffer *buffer, const char *id,
                                         const char *kind, uint32_t tasks, double cpus,
                                         const char *team, const struct tmx_buffer *dependencies);

/** Submits `job`. @return the HTTP status */
int submit_job(struct tmx_controller *controller, const struct fake_job *job);
/** Submits a job with these fields and defaults for the others. @return the HTTP status */
int submit_simple_job(struct tmx_controller *controller, const char *id, const char *kind,
                      uint32_t tasks, double cpus, const char *team);
/** Requests the state of a job. */
struct fake_response poll_job(struct tmx_controller *controller, const char *id);
/** Cancels a job. */
struct fake_response cancel_job(struct tmx_controller *controller, const char *id);

/** Sends a request and runs the loop until the response is received.
 *  @param body NULL: none; the caller keeps ownership */
struct fake_response send_request(struct tmx_controller *controller, const char *method,
                                  const char *path, const struct tmx_buffer *body);

#endif
