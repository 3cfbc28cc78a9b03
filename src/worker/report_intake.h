/**
 * @file
 * Parses reports of workers and takes them into the workers' records. Loop's thread only.
 */
#ifndef TMX_WORKER_REPORT_INTAKE_H
#define TMX_WORKER_REPORT_INTAKE_H
#include "net/cbor.h"
#include "worker/workers_internal.h"

/** How a report came here. */
enum tmx_report_source {
  TMX_REPORT_FROM_HEARTBEAT, /**< the worker sent it unasked, and waits for an answer */
  TMX_REPORT_FROM_ANSWER,    /**< the answer to a probe or a command of this controller */
};

/** What became of a report. */
enum tmx_intake_result {
  TMX_INTAKE_REFUSED,         /**< malformed, or the table of workers is full */
  TMX_INTAKE_MACHINE_REMOVED, /**< a late copy of a machine that the log has removed: dropped */
  TMX_INTAKE_OLDER,           /**< not newer than what is known: dropped */
  TMX_INTAKE_NEWER,           /**< taken in */
};

/** Outcome of taking a report in. */
struct tmx_intake {
  enum tmx_intake_result result; /**< whether it was taken in, and if not, why */
  struct tmx_worker *worker;     /**< whose report it is, owned by the table; NULL: refused, or the
                                    machine is removed */
  uint64_t session;              /**< that the report names */
};

/** Takes a report in. */
struct tmx_intake tmx_workers_take_report(struct tmx_workers *workers, const cbor_item_t *map,
                                          enum tmx_report_source source);
/** Takes the body of an answer to a probe or a command in; false: it is not a report of this
 * worker. */
bool tmx_worker_take_answer(struct tmx_worker *worker, const uint8_t *body, size_t length);
#endif
